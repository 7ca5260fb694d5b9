"""Progress messages of long waits."""

import time

from rich.console import Console
from rich.text import Text

# Interval of the lines when the output is not a terminal but, for example, a log file.
LINE_INTERVAL_S = 5.0


class Progress:
    """Shows what the tool waits for: a spinner on a terminal, otherwise a line at intervals.

    :param console: console that shows the progress.
    :param text: initial description of the wait.
    """

    def __init__(self, *, console: Console, text: str = "") -> None:
        self._console = console
        self._status = console.status(Text(text))
        self._printed_s = time.monotonic()

    def __enter__(self) -> "Progress":
        self._status.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self._status.stop()

    def update(self, text: str) -> None:
        """Change the description of the wait."""
        self._status.update(Text(text))
        now_s = time.monotonic()
        if not self._console.is_terminal and now_s - self._printed_s >= LINE_INTERVAL_S:
            self._printed_s = now_s
            self._console.print(Text(text), soft_wrap=True)
