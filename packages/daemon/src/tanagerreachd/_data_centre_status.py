"""Tracks which data centres are taken out of service, and where slots may move."""

import math
from collections.abc import Callable

from tanagerreach_core.membership import MemberTable

# Delays before slots leave a data centre that is taken out of service, and before they move back
# after its return. A home that moves issues no permits for 10.5 s, and targets that return need
# permits.
EXIT_DELAY_S = 10.0
RETURN_DELAY_S = 60.0


class DataCentreStatus:
    """Tracks whether this instance's data centre, or a peer's, is out of service.

    :param in_service: returns whether the configuration has a data centre in service.
    """

    __slots__ = ("_in_service", "_members", "_now_s", "_last_out_s", "_own_out_since_s")

    def __init__(
        self,
        *,
        members: MemberTable,
        in_service: Callable[[str], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._members = members
        self._in_service = in_service
        self._now_s = now_s
        self._own_out_since_s: float | None = None
        # Time at which each data centre of a peer was last seen out of service.
        self._last_out_s: dict[str, float] = {}

    def update(self) -> None:
        """Record which data centres are out of service; call it about once a second."""
        now_s = self._now_s()
        if not self.is_own_out_of_service():
            self._own_out_since_s = None
        elif self._own_out_since_s is None:
            self._own_out_since_s = now_s
        for data_centre in {record.data_centre for record in self._members.live(now_s)}:
            if not self._in_service(data_centre):
                self._last_out_s[data_centre] = now_s

    def is_own_out_of_service(self) -> bool:
        """Return whether the own data centre is out of service and live peers elsewhere are not."""
        return not self._in_service(self._members.own.data_centre) and any(
            self._in_service(record.data_centre) for record in self._members.live(self._now_s())
        )

    def must_hand_over_slots(self) -> bool:
        """Return whether the own data centre has been out too long to keep slots."""
        since_s = self._own_out_since_s
        return since_s is not None and self._now_s() - since_s >= EXIT_DELAY_S

    def accepts_slots(self, data_centre: str) -> bool:
        """Return whether instances in a data centre may be offered slots."""
        out_at_s = self._last_out_s.get(data_centre, -math.inf)
        return self._in_service(data_centre) and self._now_s() - out_at_s >= RETURN_DELAY_S
