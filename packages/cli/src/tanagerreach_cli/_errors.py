"""Exit codes of the operator tool, and the errors that cause them."""

from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit codes, documented in docs/operators/exit-codes.md."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN_OUTCOME = 5


class CommandError(Exception):
    """A command failed.

    :param message: what failed, and how to fix it.
    :param details: additional fields of the JSON output.
    """

    exit_code = ExitCode.FAILED

    def __init__(self, message: str, **details: Any) -> None:
        super().__init__(message)
        self.details = details


class InvalidInputError(CommandError):
    """The tool was used incorrectly, or a file or change is invalid."""

    exit_code = ExitCode.INVALID


class ChangeConflictError(CommandError):
    """An object was changed by someone else in the meantime."""

    exit_code = ExitCode.CONFLICT


class UnreachableError(CommandError):
    """No instance responded."""

    exit_code = ExitCode.UNREACHABLE


class UnknownOutcomeError(CommandError):
    """A change may or may not have taken effect."""

    exit_code = ExitCode.UNKNOWN_OUTCOME
