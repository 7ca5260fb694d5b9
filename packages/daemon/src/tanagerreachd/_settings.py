"""Settings of an instance: schema, TOML reader and generated reference page.

The fields of :class:`Settings` are the only definition of the options. Each field has a type, a
default, allowed values and a description, from which the checks and the reference page are made.
"""

import difflib
import tomllib
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from ._option_kinds import (
    Address,
    AddressKind,
    AddressListKind,
    ChoiceKind,
    NameKind,
    NumberKind,
    OptionKind,
    PathKind,
    SecretKind,
)

FLEET_SECRET_MIN_LENGTH = 32
OPERATOR_CREDENTIAL_MIN_LENGTH = 24
# A claim has five fixed claim slots (docs/design.md, section 2.4).
SLOT_COUNT_MIN = 5
# A home counts only loans with more than this much left (docs/design.md, section 2.2).
GRANT_TERM_MAX_S = 1.0
LOG_LEVELS = ("debug", "info", "warning", "error")
_OPTION = "option"
_MAX_DISPLAYED_CHARS = 60


@dataclass(slots=True, kw_only=True, frozen=True)
class Option:
    """Schema of one option."""

    kind: OptionKind
    section: str
    description: str


def _option(section: str, kind: OptionKind, description: str, default: Any = MISSING) -> Any:
    option = Option(kind=kind, section=section, description=description)
    return field(default=default, repr=not kind.is_secret, metadata={_OPTION: option})


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """Validated settings of one instance."""

    instance_name: str = _option(
        "Instance", NameKind(), "Name of this instance, unique in the fleet."
    )
    data_centre: str = _option(
        "Instance", NameKind(), "Name of the data centre that this instance runs in."
    )
    callers_address: Address = _option(
        "Addresses",
        AddressKind(advertised=False),
        "Callers' listener (HTTP), also for the load balancer's health check.",
    )
    operator_address: Address = _option(
        "Addresses", AddressKind(), "Operators' listener (HTTP); peers are told this address."
    )
    peer_udp_address: Address = _option(
        "Addresses", AddressKind(), "Messages between instances (UDP)."
    )
    peer_http_address: Address = _option(
        "Addresses", AddressKind(), "Configuration chunks and slot hand-over (HTTP)."
    )
    peer_seeds: tuple[Address, ...] = _option(
        "Addresses",
        AddressListKind(),
        "UDP addresses of instances to contact first; an instance's own address is ignored.",
        (),
    )
    store_address: Address = _option("Store", AddressKind(), "The platform's key-value store.")
    store_timeout_s: float = _option(
        "Store",
        NumberKind(0.05, 60),
        "Time after which a call to the store counts as failed.",
        2.0,
    )
    fleet_secret: str = _option(
        "Secrets",
        SecretKind(FLEET_SECRET_MIN_LENGTH),
        "Secret shared by all instances; authenticates messages between them. "
        "Set this option or fleet_secret_file.",
        "",
    )
    fleet_secret_file: str = _option("Secrets", PathKind(), "File that holds the fleet secret.", "")
    operator_credential: str = _option(
        "Secrets",
        SecretKind(OPERATOR_CREDENTIAL_MIN_LENGTH),
        "Bearer credential of the operators' listener. "
        "Set this option or operator_credential_file.",
        "",
    )
    operator_credential_file: str = _option(
        "Secrets", PathKind(), "File that holds the operator credential.", ""
    )
    slot_count: int = _option(
        "Rights",
        NumberKind(SLOT_COUNT_MIN, 1024, whole=True),
        "Number of slots that every right is split into; the same in the whole fleet.",
        32,
    )
    slot_lease_s: float = _option(
        "Rights",
        NumberKind(5, 86400),
        "Term of a slot lease in the store. Slots survive a store outage this long; a crashed "
        "instance's shares are unusable until the lease ends.",
        14400.0,
    )
    loan_term_s: float = _option(
        "Rights", NumberKind(1, 60), "Term of a loan between instances.", 8.0
    )
    exchange_interval_s: float = _option(
        "Rights", NumberKind(0.05, 20), "Interval of the periodic exchange between instances.", 2.0
    )
    freshness_limit_s: float = _option(
        "Rights",
        NumberKind(0.5, 30),
        "Age of the last confirmation of the configuration after which keyed requests are refused.",
        3.0,
    )
    admission_wait_s: float = _option(
        "Requests",
        NumberKind(0, 10),
        "Time that a request over its workspace's rate waits before it is refused.",
        0.5,
    )
    header_limit_bytes: int = _option(
        "Requests",
        NumberKind(1024, 1048576, whole=True),
        "Size limit of a request's line and headers.",
        16384,
    )
    header_time_limit_s: float = _option(
        "Requests", NumberKind(0.1, 300), "Time limit for receiving a request's headers.", 10.0
    )
    body_limit_bytes: int = _option(
        "Requests",
        NumberKind(0, 17179869184, whole=True),
        "Size limit of a request's body.",
        67108864,
    )
    idle_time_limit_s: float = _option(
        "Requests",
        NumberKind(0.1, 3600),
        "Time after which a connection that transfers nothing is closed.",
        60.0,
    )
    drain_notice_s: float = _option(
        "Stopping",
        NumberKind(0, 300),
        "Time from the failing health check to the closing of the callers' listener.",
        5.0,
    )
    drain_limit_s: float = _option(
        "Stopping", NumberKind(0, 3600), "Time limit for finishing running requests.", 60.0
    )
    log_level: str = _option(
        "Observation", ChoiceKind(LOG_LEVELS), "Least level of the lines that are logged.", "info"
    )
    log_file: str = _option(
        "Observation", PathKind(), "File to log to; standard output when empty.", ""
    )
    timeline_event_limit: int = _option(
        "Observation",
        NumberKind(100, 100000, whole=True),
        "Number of time line events kept in memory.",
        4096,
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsError:
    """One error in a settings file.

    :param file: path of the settings file.
    :param key: the option, or an empty string if the error concerns the whole file.
    :param seen: description of the value found, without secrets.
    :param allowed: description of the allowed values.
    """

    file: str
    key: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.seen}; allowed: {self.allowed}"


def load_settings(path: str | Path) -> Result[Settings, list[SettingsError]]:
    """Read and check a settings file.

    :param path: the TOML file.
    :returns: the settings, or all errors found.
    """
    file = Path(path)
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        return Err([_file_error(file, f"cannot be read ({error.strerror})", "a readable file")])
    except UnicodeDecodeError:
        return Err([_file_error(file, "is not UTF-8 text", "TOML text in UTF-8")])
    except tomllib.TOMLDecodeError as error:
        return Err([_file_error(file, f"is not valid TOML ({error})", "a TOML document")])
    return parse_settings(document, file)


def parse_settings(document: dict[str, Any], file: Path) -> Result[Settings, list[SettingsError]]:
    """Check the content of a settings file.

    :param document: the parsed TOML document.
    :param file: path of the settings file, for error messages and relative paths.
    """
    reader = _Reader(file)
    settings = reader.read(document)
    return Err(reader.errors) if settings is None else Ok(settings)


def options() -> list[tuple[Field, Option]]:
    """Return all options in the order of the reference page."""
    return [(entry, entry.metadata[_OPTION]) for entry in fields(Settings)]


def setting_names() -> set[str]:
    """Return the names of all options."""
    return {entry.name for entry, _ in options()}


class _Reader:
    """Parses one settings file and collects its errors."""

    def __init__(self, file: Path) -> None:
        self.errors: list[SettingsError] = []
        self._file = file

    def read(self, document: dict[str, Any]) -> Settings | None:
        self._check_unknown_keys(document)
        values = {}
        for entry, option in options():
            self._read_option(entry, option, document, values)
        self._resolve_secret("fleet_secret", values)
        self._resolve_secret("operator_credential", values)
        self._resolve_log_file(values)
        self._check_addresses_differ(values)
        self._check_terms(values)
        return None if self.errors else Settings(**values)

    def _add_error(self, key: str, seen: str, allowed: str) -> None:
        self.errors.append(SettingsError(file=str(self._file), key=key, seen=seen, allowed=allowed))

    def _check_unknown_keys(self, document: dict[str, Any]) -> None:
        known = [entry.name for entry, _ in options()]
        for key in document:
            if key in known:
                continue
            nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
            hint = f'did you mean "{nearest[0]}"?' if nearest else "see docs/operators/settings.md"
            self._add_error(key, "unknown option", f"known options only; {hint}")

    def _read_option(
        self, entry: Field, option: Option, document: dict[str, Any], values: dict[str, Any]
    ) -> None:
        if entry.name not in document:
            if entry.default is MISSING:
                self._add_error(entry.name, "missing", option.kind.allowed())
            else:
                values[entry.name] = entry.default
            return
        value = document[entry.name]
        try:
            values[entry.name] = option.kind.parse(value)
        except ValueError:
            self._add_error(entry.name, _display_value(value, option.kind), option.kind.allowed())

    def _resolve_secret(self, key: str, values: dict[str, Any]) -> None:
        file_key = f"{key}_file"
        if key not in values or file_key not in values:
            return
        if values[key] and values[file_key]:
            self._add_error(key, f"set together with {file_key}", "one of the two")
        elif values[file_key]:
            self._read_secret_file(key, values)
        elif not values[key]:
            self._add_error(key, "missing", f"{key} or {file_key}")

    def _read_secret_file(self, key: str, values: dict[str, Any]) -> None:
        path = self._file.parent / values[f"{key}_file"]
        kind = Settings.__dataclass_fields__[key].metadata[_OPTION].kind
        allowed = f"a file that holds {kind.allowed()}"
        try:
            text = path.read_text(encoding="utf-8").strip()
            values[key] = kind.parse(text)
        except OSError as error:
            self._add_error(f"{key}_file", f"{path} cannot be read ({error.strerror})", allowed)
        except ValueError:
            self._add_error(f"{key}_file", f"{path} does not contain an allowed value", allowed)
        else:
            if not text:
                self._add_error(f"{key}_file", f"{path} is empty", allowed)

    def _resolve_log_file(self, values: dict[str, Any]) -> None:
        if values.get("log_file"):
            values["log_file"] = str(self._file.parent / values["log_file"])

    def _check_addresses_differ(self, values: dict[str, Any]) -> None:
        seen: dict[Address, str] = {}
        for key in ("callers_address", "operator_address", "peer_http_address", "store_address"):
            address = values.get(key)
            if address is None:
                continue
            other = seen.setdefault(address, key)
            if other != key:
                self._add_error(key, f"{address} is also the {other}", "an address of its own")

    def _check_terms(self, values: dict[str, Any]) -> None:
        interval_s = values.get("exchange_interval_s")
        term_s = values.get("loan_term_s")
        lease_s = values.get("slot_lease_s")
        # After one lost exchange, a loan must still last for a grant of the longest term.
        if interval_s and term_s and term_s < 2 * interval_s + GRANT_TERM_MAX_S:
            least_s = 2 * interval_s + GRANT_TERM_MAX_S
            self._add_error(
                "loan_term_s",
                f"saw {term_s}",
                f"at least {least_s:g} (twice exchange_interval_s, plus {GRANT_TERM_MAX_S:g} s)",
            )
        if term_s and lease_s and lease_s < 2 * term_s:
            self._add_error(
                "slot_lease_s", f"saw {lease_s}", f"at least {2 * term_s:g} (twice loan_term_s)"
            )
        freshness_s = values.get("freshness_limit_s")
        if interval_s and freshness_s and freshness_s <= interval_s:
            self._add_error(
                "freshness_limit_s",
                f"saw {freshness_s}",
                f"more than exchange_interval_s ({interval_s:g}), which carries confirmations",
            )


def _file_error(file: Path, seen: str, allowed: str) -> SettingsError:
    return SettingsError(file=str(file), key="", seen=seen, allowed=allowed)


def _display_value(value: Any, kind: OptionKind) -> str:
    if kind.is_secret:
        length = f" of {len(value)} characters" if isinstance(value, str) else ""
        return f"saw a {type(value).__name__}{length} (not shown)"
    text = f'"{value}"' if isinstance(value, str) else str(value)
    if len(text) > _MAX_DISPLAYED_CHARS:
        text = text[:_MAX_DISPLAYED_CHARS] + "..."
    return f"saw {text}"


def settings_reference() -> str:
    """Render the settings reference page (Markdown)."""
    lines = [
        "# Settings of an instance",
        "",
        "Generated by `python -m tanagerreachd --print-settings-reference`; don't edit.",
        "",
        "An instance reads one TOML file, `tanagerreachd --settings FILE`, and checks all of it",
        "before it starts. `tanagerreach check FILE` runs the same checks.",
    ]
    section = ""
    for entry, option in options():
        if option.section != section:
            section = option.section
            lines += ["", f"## {section}", "", "| option | default | allowed | meaning |"]
            lines += ["|---|---|---|---|"]
        allowed = option.kind.allowed()
        lines.append(
            f"| `{entry.name}` | {_display_default(entry)} | {allowed} | {option.description} |"
        )
    return "\n".join(lines) + "\n"


def _display_default(entry: Field) -> str:
    if entry.default is MISSING:
        return "required"
    if entry.default == ():
        return "`[]`"
    if isinstance(entry.default, str):
        return f'`"{entry.default}"`'
    return f"`{entry.default:g}`" if isinstance(entry.default, float) else f"`{entry.default}`"
