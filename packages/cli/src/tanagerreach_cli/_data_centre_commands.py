"""Commands that take data centres out of service and back."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from tanagerreach_core.config import (
    STATE_LABEL,
    STATE_OUT,
    ConfigObject,
    Kind,
    Selector,
)

from ._command import Command
from ._errors import CommandError, ExitCode
from ._object_changes import change_object, get_object
from ._session import Session


@cappa.command(name="take-out", help="Take a data centre out of service.")
@dataclass(kw_only=True)
class TakeOut(Command):
    """Takes a data centre out of service."""

    data_centre: Annotated[str, cappa.Arg(help="Name of the data centre.")]
    force: Annotated[
        bool,
        cappa.Arg(
            long="--force", help="Proceed even if a service keeps fewer targets than its floor."
        ),
    ] = False

    def run(self, session: Session) -> ExitCode:
        """Take the data centre out."""
        item = get_object(session, Kind.DATA_CENTRE, self.data_centre)
        new = msgspec.structs.replace(item, labels={**item.labels, STATE_LABEL: STATE_OUT})
        self._check_effect(session, new)
        text = f"data centre {self.data_centre} taken out of service"
        return change_object(session, item, new, text)

    def _check_effect(self, session: Session, new: ConfigObject) -> None:
        configuration = session.client.configuration()
        data_centres = {**configuration.data_centres, new.name: new}
        below_floor = []
        for service in configuration.services.values():
            selector = Selector.parse(service.data_centres)
            picked = {name for name, item in data_centres.items() if selector.picks(item)}
            if new.name in picked and any(
                target.data_centre == new.name for target in service.targets
            ):
                session.print_message(
                    f"warning: service {service.name} keeps its targets there: its selector "
                    f'data_centres = "{service.data_centres}" still picks {new.name}'
                )
            remaining = sum(target.data_centre in picked for target in service.targets)
            if remaining < max(service.floor, 1) and service.targets:
                below_floor.append(f"{service.name} ({remaining} left, floor {service.floor})")
        if below_floor and not self.force:
            raise CommandError(
                f"taking out {new.name} leaves services below their floor: "
                f"{', '.join(below_floor)}; use --force to do it anyway",
                services=below_floor,
            )


@cappa.command(name="bring-back", help="Bring a data centre back into service.")
@dataclass(kw_only=True)
class BringBack(Command):
    """Brings a data centre back into service."""

    data_centre: Annotated[str, cappa.Arg(help="Name of the data centre.")]

    def run(self, session: Session) -> ExitCode:
        """Bring the data centre back."""
        item = get_object(session, Kind.DATA_CENTRE, self.data_centre)
        labels = dict(item.labels)
        if labels.get(STATE_LABEL) == STATE_OUT:
            del labels[STATE_LABEL]
        new = msgspec.structs.replace(item, labels=labels)
        text = f"data centre {self.data_centre} brought back into service"
        return change_object(session, item, new, text)
