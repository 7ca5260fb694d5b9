"""JSON Lines logs (eliot) without keys and secrets."""

import re
import sys
from collections.abc import Iterable
from typing import IO, Any

import eliot

from ._settings import LOG_LEVELS

REDACTED = "[redacted]"
# A caller's key is sent as a bearer credential. Keys created by ``tanagerreach key create`` also
# have a known prefix.
_KEY_PATTERN = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+|\btgr_[A-Za-z0-9_-]{8,}")
_SENSITIVE_FIELD = re.compile(
    r"(?i)(authorization|secret|credential|password|cookie|token$|^(api_?|caller_?|plain_?)?key$)"
)
_MAX_DEPTH = 8


class SecretFilter:
    """Replaces keys and secrets in log messages.

    :param secrets: strings that are replaced wherever they occur.
    """

    def __init__(self, *, secrets: Iterable[str] = ()) -> None:
        self._secrets = tuple(secret for secret in secrets if secret)

    def clean(self, value: Any, depth: int = 0) -> Any:
        """Return a copy of a JSON-like value without keys and secrets."""
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, str):
            return self._clean_text(value)
        if depth >= _MAX_DEPTH:
            return REDACTED
        if isinstance(value, dict):
            return {
                self._clean_text(str(name)): self._clean_field(str(name), item, depth)
                for name, item in value.items()
            }
        if isinstance(value, list | tuple | set | frozenset):
            return [self.clean(item, depth + 1) for item in value]
        if isinstance(value, bytes | bytearray):
            return self._clean_text(bytes(value).decode("utf-8", "backslashreplace"))
        return self._clean_text(str(value))

    def _clean_field(self, name: str, value: Any, depth: int) -> Any:
        if _SENSITIVE_FIELD.search(name):
            return REDACTED
        return self.clean(value, depth + 1)

    def _clean_text(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        return _KEY_PATTERN.sub(REDACTED, text)


class InstanceLog:
    """Writes the log of one instance; each line is one JSON object.

    :param stream: stream that lines are written to.
    :param level: lowest level that is written, one of :data:`LOG_LEVELS`.
    :param secrets: strings that must never be written.
    :param fields: fields added to every line, such as the instance's name.
    """

    def __init__(
        self,
        *,
        stream: IO[str],
        level: str = "info",
        secrets: Iterable[str] = (),
        fields: dict[str, Any] | None = None,
    ) -> None:
        self._least_rank = LOG_LEVELS.index(level)
        self._filter = SecretFilter(secrets=secrets)
        self._fields = fields or {}
        self._file_destination = eliot.FileDestination(file=stream)
        self._destination = self._write
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop writing; the stream stays open."""
        eliot.remove_destination(self._destination)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event of interest to developers."""
        self._log("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log a normal event."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that degrades the service but needs no immediate action."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log a fault that needs action."""
        self._log("error", event, fields)

    def failure(self, error: BaseException) -> None:
        """Log an unexpected exception, with the file and line that raised it."""
        self.error(
            "unexpected failure", error=type(error).__name__, detail=str(error), at=_location(error)
        )

    def _log(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LOG_LEVELS.index(level) >= self._least_rank:
            eliot.log_message(message_type=event, level=level, **fields)

    def _write(self, message: dict[str, Any]) -> None:
        self._file_destination(self._filter.clean({**message, **self._fields}))


def open_log(
    *, file: str, level: str, secrets: Iterable[str], fields: dict[str, Any]
) -> InstanceLog:
    """Open the log of an instance.

    :param file: path of the log file, or an empty string for standard output.
    :raises OSError: when the file cannot be opened.
    """
    stream = open(file, "a", encoding="utf-8") if file else sys.stdout  # noqa: SIM115
    return InstanceLog(stream=stream, level=level, secrets=secrets, fields=fields)


def _location(error: BaseException) -> str:
    """Return the file and line at which an error was raised."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    name = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{name}:{trace.tb_lineno}"
