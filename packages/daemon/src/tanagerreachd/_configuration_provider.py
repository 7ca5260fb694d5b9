"""Configuration as the operator listener reads and changes it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result
from tanagerreach_core.config import (
    Change,
    ChunkError,
    Configuration,
    ConflictError,
    ValidationError,
    apply_changes,
    check_configuration,
    errors_of,
)

from ._commit import CommitFailure, UnknownOutcomeError
from ._config_manager import ConfigManager

# Holders announce a new revision to each other at once. An instance without slots learns of it with
# its next exchange, by default at most 2 s later.
MAJORITY_WAIT_S = 2.5
MAJORITY_POLL_S = 0.02


@dataclass(slots=True, kw_only=True, frozen=True)
class ChangeReceipt:
    """Accepted change, or for a dry run an acceptable one, with its warnings.

    ``revision`` contains the change; for a dry run it is the current one.
    """

    revision: int
    warnings: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class InvalidChange:
    """Change that would make the configuration invalid."""

    errors: list[str]


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreUnavailable:
    """Change that the store did not confirm.

    ``may_have_taken_effect`` is false if the store certainly did not apply it.
    """

    detail: str
    may_have_taken_effect: bool


ChangeRefusal = ConflictError | InvalidChange | StoreUnavailable


class ConfigurationProvider(ABC):
    """Current configuration, and changes to it."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the configuration in force on this instance."""

    @abstractmethod
    def commit(
        self, changes: Sequence[Change], *, transaction_id: str, changed_by: str, dry_run: bool
    ) -> Result[ChangeReceipt, ChangeRefusal]:
        """Apply changes to the newest configuration in the store.

        A transaction that has already been committed is not applied again.

        :param changes: changes to apply, all or none.
        :param transaction_id: unique text chosen by the caller; a retry uses the same one.
        :param changed_by: name of the operator.
        :param dry_run: only check the changes.
        """


class ManagedConfiguration(ConfigurationProvider):
    """Configuration of the instance's configuration manager.

    :param manager: follows the store and commits changes.
    :param held_by_majority: returns whether holders of at least half of the slots have a revision.
    :param sleep: waits a number of seconds.
    """

    def __init__(
        self,
        *,
        manager: ConfigManager,
        held_by_majority: Callable[[int], bool],
        sleep: Callable[[float], None],
    ) -> None:
        self._manager = manager
        self._held_by_majority = held_by_majority
        self._sleep = sleep

    def configuration(self) -> Configuration:
        """Return the configuration in force on this instance."""
        return self._manager.configuration

    def commit(
        self, changes: Sequence[Change], *, transaction_id: str, changed_by: str, dry_run: bool
    ) -> Result[ChangeReceipt, ChangeRefusal]:
        """Apply changes through the manager, see the base class."""
        if dry_run:
            return check_changes(self._manager.configuration, changes)
        outcome = self._manager.commit(changes, transaction_id, changed_by)
        if isinstance(outcome, Err):
            return Err(_refusal(outcome.err_value))
        receipt = outcome.ok_value
        warnings = [str(warning) for warning in receipt.warnings]
        if not self._wait_for_majority(receipt.revision):
            warnings.append(
                f"revision {receipt.revision} is in the store, but holders of half the slots have "
                "not confirmed it yet; instances that are cut off may use it late"
            )
        return Ok(ChangeReceipt(revision=receipt.revision, warnings=warnings))

    def _wait_for_majority(self, revision: int) -> bool:
        """Wait until an outage of the store can no longer keep the revision from the fleet.

        If the store and this instance failed earlier, a majority without the revision would go on
        with the former one, although the operator got the response that the change was accepted.
        """
        waited_s = 0.0
        while not self._held_by_majority(revision):
            if waited_s >= MAJORITY_WAIT_S:
                return False
            self._sleep(MAJORITY_POLL_S)
            waited_s += MAJORITY_POLL_S
        return True


def check_changes(
    configuration: Configuration, changes: Sequence[Change]
) -> Result[ChangeReceipt, ChangeRefusal]:
    """Check changes against a configuration without applying them."""
    outcome = apply_changes(configuration, changes)
    if isinstance(outcome, Err):
        return outcome
    findings = check_configuration(outcome.ok_value, configuration)
    errors = [str(finding) for finding in errors_of(findings)]
    if errors:
        return Err(InvalidChange(errors=errors))
    return Ok(
        ChangeReceipt(
            revision=configuration.revision, warnings=[str(finding) for finding in findings]
        )
    )


def _refusal(error: CommitFailure) -> ChangeRefusal:
    if isinstance(error, ConflictError):
        return error
    if isinstance(error, ValidationError):
        return InvalidChange(errors=[str(finding) for finding in error.findings])
    if isinstance(error, ChunkError):
        return InvalidChange(errors=[str(error)])
    return StoreUnavailable(
        detail=str(error), may_have_taken_effect=isinstance(error, UnknownOutcomeError)
    )
