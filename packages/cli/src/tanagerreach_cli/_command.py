"""Base class of the commands."""

from abc import ABC, abstractmethod

from ._errors import ExitCode
from ._session import Session


class Command(ABC):
    """One command with its arguments."""

    @abstractmethod
    def run(self, session: Session) -> ExitCode:
        """Run the command.

        :raises CommandError: when the command fails.
        """
