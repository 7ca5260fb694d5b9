"""Requests for units of a workspace's quota in a replay, as an instance makes them."""

from home_replay import HOMES_TRIED, Instance
from tanagerreach_core.placement import QuotaHome
from tanagerreach_core.rights import workspace_rendezvous_key

WORKSPACE = "w"
KEY = workspace_rendezvous_key(WORKSPACE)
HANDOVER_INTERVAL_S = 0.1


class QuotaInstance(Instance):
    """An instance with the quotas that it issues."""

    def __init__(self, name, started_s, data_centre_count=3):
        super().__init__(name, started_s, data_centre_count)
        self.quota = QuotaHome(peer_table=self.table)

    def issue(self, limit, now_s, *, is_own_part=False):
        """Return whether a unit is granted here."""
        decision = self.quota.take(WORKSPACE, limit, now_s, is_own_part=is_own_part)
        return decision.wait_s == 0

    def take(self, limit, now_s, *, ask):
        """Request one unit from the homes.

        :param ask: returns whether a peer grants it, ``None`` when the peer does not reply.
        :returns: whether it was granted.
        """
        table = self.table
        homes = table.homes(KEY, now_s, most=HOMES_TRIED)
        uses_own_part = homes and table.uses_own_part(homes[0], now_s)
        if uses_own_part and self.issue(limit, now_s, is_own_part=True):
            return True
        has_reply = False
        for peer in homes:
            if peer is None:
                return self.issue(limit, now_s)
            is_granted = ask(peer)
            if is_granted is None:
                continue
            if is_granted or not table.is_settling(peer, now_s):
                return is_granted
            has_reply = True
        return not has_reply and self.issue(limit, now_s, is_own_part=True)
