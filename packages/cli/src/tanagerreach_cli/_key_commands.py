"""Commands that create and withdraw keys."""

import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from tanagerreach_core.config import (
    ApiKey,
    Change,
    Kind,
    hash_key,
)

from ._command import Command
from ._errors import ChangeConflictError, ExitCode, UnknownOutcomeError
from ._object_changes import change_object, get_object
from ._session import Session

KEY_PREFIX = "tgr_"
KEY_RANDOM_BYTES = 32
KEY_NAME_RANDOM_BYTES = 4


@cappa.command(name="create", help="Create a key for a workspace and print it once.")
@dataclass(kw_only=True)
class KeyCreate(Command):
    """Creates a key for a workspace."""

    workspace: Annotated[str, cappa.Arg(help="Workspace whose requests the key admits.")]
    name: Annotated[
        str, cappa.Arg(long="--name", help="Name of the key (default: made from the workspace's).")
    ] = ""

    def run(self, session: Session) -> ExitCode:
        """Create the key; only its hash is sent."""
        get_object(session, Kind.WORKSPACE, self.workspace)
        name = self.name or f"{self.workspace}-{secrets.token_hex(KEY_NAME_RANDOM_BYTES)}"
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)
        changed_by = session.changed_by()
        item = ApiKey(name=name, workspace=self.workspace, key_hash=hash_key(key))
        change = Change(
            kind=Kind.KEY, name=name, base_version=None, object=item, changed_by=changed_by
        )
        try:
            revision = session.submit([change])
        except ChangeConflictError as error:
            raise _key_exists_error(name, error) from error
        except UnknownOutcomeError as error:
            raise UnknownOutcomeError(
                f"{error}; the new key is not shown: delete key {name} if it exists, "
                "and create another one",
                **error.details,
            ) from error
        session.print_message("the key is shown only now; it can't be read again")
        return session.finish_change(revision, {"name": name, "key": key}, f"{name} {key}")


def _key_exists_error(name: str, error: ChangeConflictError) -> ChangeConflictError:
    """Build the error without the usual remedy: a repeated change would replace the other key."""
    details = error.details
    remedy = "choose another --name, or leave it out to have one made"
    return ChangeConflictError(
        f"key {name} already exists (changed by {details['changed_by'] or 'unknown'} in revision "
        f"{details['current_version']}); {remedy}",
        **{**details, "remedy": remedy},
    )


@cappa.command(name="withdraw", help="Withdraw a key, also for connected callers.")
@dataclass(kw_only=True)
class KeyWithdraw(Command):
    """Withdraws a key."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]

    def run(self, session: Session) -> ExitCode:
        """Withdraw the key."""
        item = get_object(session, Kind.KEY, self.name)
        new = msgspec.structs.replace(item, withdrawn=True)
        return change_object(session, item, new, f"key {self.name} withdrawn")


@cappa.command(name="key", help="Create and withdraw keys.")
@dataclass(kw_only=True)
class Key:
    """Creates and withdraws keys."""

    command: cappa.Subcommands[KeyCreate | KeyWithdraw]
