"""Reading of configuration documents and instance settings from files."""

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tanagerreach_core.config import (
    ConfigObject,
    Configuration,
    Kind,
    Severity,
    ValidationError,
    check_configuration,
    read_document,
)

from ._errors import InvalidInputError

DOCUMENT_SUFFIX = ".toml"


@dataclass(slots=True, kw_only=True)
class CheckReport:
    """Errors and warnings found in files."""

    errors: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


def find_files(paths: Sequence[Path]) -> list[Path]:
    """List the files to read; a folder stands for all TOML files below it.

    :raises InvalidInputError: when a path does not exist, or a folder has no TOML file.
    """
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            found = sorted(item for item in path.rglob(f"*{DOCUMENT_SUFFIX}") if item.is_file())
            if not found:
                raise InvalidInputError(f"folder {path} contains no {DOCUMENT_SUFFIX} files")
            files += found
        elif path.exists():
            files.append(path)
        else:
            raise InvalidInputError(f"{path}: no such file or folder")
    return list(dict.fromkeys(files))


def read_objects(paths: Sequence[Path]) -> list[ConfigObject]:
    """Read the objects of all documents.

    :raises InvalidInputError: with the errors of all files, and objects that occur twice.
    """
    errors: list[str] = []
    objects = _read_all(find_files(paths), errors)
    if errors:
        raise InvalidInputError("\n".join(errors), errors=errors)
    return objects


def check_files(paths: Sequence[Path]) -> CheckReport:
    """Check all documents as one configuration, and each settings file on its own."""
    report = CheckReport()
    documents: list[Path] = []
    for file in find_files(paths):
        if _is_document(file):
            documents.append(file)
        else:
            report.errors += _check_settings(file)
    objects = _read_all(documents, report.errors)
    if objects and not report.errors:
        for finding in check_configuration(Configuration.from_objects(0, objects)):
            is_error = finding.severity is Severity.ERROR
            (report.errors if is_error else report.warnings).append(str(finding))
    return report


def _read_all(files: Sequence[Path], errors: list[str]) -> list[ConfigObject]:
    objects: list[ConfigObject] = []
    seen: dict[tuple[Kind, str], Path] = {}
    for file in files:
        for item in _read_file(file, errors):
            key = (item.kind, item.name)
            if key in seen:
                errors.append(
                    f"{file}: {item.kind} {item.name} is also in {seen[key]}; keep one of them"
                )
            seen[key] = file
            objects.append(item)
    return objects


def _read_file(file: Path, errors: list[str]) -> list[ConfigObject]:
    try:
        return read_document(_read_text(file))
    except ValidationError as error:
        errors += [f"{file}: {finding}" for finding in error.findings]
    except InvalidInputError as error:
        errors.append(str(error))
    return []


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidInputError(f"{file}: cannot be read ({error.strerror})") from error
    except UnicodeDecodeError as error:
        raise InvalidInputError(f"{file}: is not UTF-8 text") from error


def _is_document(file: Path) -> bool:
    """Return whether a file is a document; one that cannot be parsed counts as a document."""
    try:
        tables: dict[str, Any] = tomllib.loads(_read_text(file))
    except (tomllib.TOMLDecodeError, InvalidInputError, RecursionError):
        return True
    has_kind = any(key in set(Kind) for key in tables)
    return has_kind or all(isinstance(value, list | dict) for value in tables.values())


def _check_settings(file: Path) -> list[str]:
    try:
        from tanagerreachd.settings import load_settings, setting_names
    except ImportError:
        return [f"{file}: looks like instance settings; install tanagerreachd to check them"]
    if not tomllib.loads(_read_text(file)).keys() & setting_names():
        kinds = ", ".join(f"[[{kind}]]" for kind in Kind)
        return [
            f"{file}: contains neither objects nor instance settings; allowed are tables headed "
            f"{kinds}, or options such as instance_name"
        ]
    outcome = load_settings(file)
    return [str(error) for error in outcome.err_value] if outcome.is_err() else []
