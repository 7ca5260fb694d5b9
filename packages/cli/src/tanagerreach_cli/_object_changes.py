"""Reading and changing one object."""

from tanagerreach_core.config import (
    Change,
    ConfigObject,
    Kind,
)

from ._errors import CommandError, ExitCode
from ._session import Session


def get_object(session: Session, kind: Kind, name: str) -> ConfigObject:
    """Fetch one object.

    :raises CommandError: when it does not exist.
    """
    response = session.client.objects(kind, name)
    if not response.objects:
        raise CommandError(
            f"{kind} {name} doesn't exist; list the names with 'tanagerreach get {kind}'"
        )
    return response.objects[0]


def make_change(item: ConfigObject, new: ConfigObject | None, changed_by: str) -> Change:
    """Build a change based on an object's current version; ``None`` removes the object."""
    return Change(
        kind=item.kind,
        name=item.name,
        base_version=item.version,
        object=new,
        changed_by=changed_by,
    )


def change_object(session: Session, item: ConfigObject, new: ConfigObject, text: str) -> ExitCode:
    """Replace an object and wait until the change is in force.

    :param text: message for the operator.
    """
    if item == new:
        return no_change(session, session.client.objects(item.kind, item.name).revision)
    revision = session.submit([make_change(item, new, session.changed_by())])
    return session.finish_change(revision, {"changed": [f"{item.kind} {item.name}"]}, text)


def no_change(session: Session, revision: int) -> ExitCode:
    """Report that nothing needs to change, once the revision is in force."""
    return session.finish_change(revision, {"changed": []}, "nothing to change")
