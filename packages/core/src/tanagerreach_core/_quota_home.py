"""Quotas of the workspaces whose home is one instance, and their move to the next home.

Load pattern: a workspace sends many times its rate while its home is cut off, returns, pauses or
starts again, and instances disagree on the home for a while. Each instance's part of the rate has
one holder at a time: a home counts an instance only once that instance has certainly come to use
it, and a home that another one replaces gives its part up before it tells the other of it.
"""

from dataclasses import dataclass

from ._peer_table import SETTLED_S, PeerTable
from ._placement_messages import QuotaHandover
from ._rate import WorkspaceLimit
from ._rendezvous import workspace_rendezvous_key
from ._workspace_quota import WorkspaceQuota

# An instance acts as a workspace's home until so long after its last request for it.
ACTIVE_S = 3.0
# Of the instances that start together, so many preferred ones issue some units before they know how
# many use them. The units are fewer than the fleet did not issue while it was down.
NEW_HOMES_MAX = 8
NEW_HOME_BURST_SHARE = 0.25
# A handover from an instance that was not heard for this long may be from before a pause.
HANDOVER_SENDER_HEARD_S = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaDecision:
    """Decision on a request for one unit.

    :param wait_s: 0 when it is granted, otherwise the time until a unit is available.
    :param lent_share: share of the fleet whose part of the rate is issued here, from 0 to 1.
    """

    wait_s: float
    lent_share: float


@dataclass(slots=True, kw_only=True)
class _Use:
    """Use of this instance as a workspace's home.

    :param lent_share: share of the fleet that used it when that was last checked.
    """

    lent_share: float
    used_s: float = 0.0


class QuotaHome:
    """Quotas that one instance issues.

    :param peer_table: the instance's view of the fleet.
    """

    __slots__ = ("_inherited", "_peer_table", "_quota", "_uses")

    def __init__(self, *, peer_table: PeerTable) -> None:
        self._peer_table = peer_table
        self._quota = WorkspaceQuota()
        self._uses: dict[str, _Use] = {}
        # Share that a former home handed over, and the time until which it counts, by workspace.
        self._inherited: dict[str, tuple[float, float]] = {}

    def take(
        self, workspace: str, limit: WorkspaceLimit, now_s: float, *, is_own_part: bool = False
    ) -> QuotaDecision:
        """Decide on a request for one unit of a workspace's quota.

        :param is_own_part: whether only this instance's own part of the rate may be issued, as
            this instance decides alone.
        """
        rendezvous_key = workspace_rendezvous_key(workspace)
        initial_share = None
        if is_own_part:
            fleet_share = lent_share = self._peer_table.own_share(now_s)
        else:
            fleet_share = self._peer_table.fleet_share(now_s)
            inherited = self._inherited_share(workspace, now_s)
            lent_share = self._peer_table.lent_share(rendezvous_key, now_s, inherited=inherited)
            use = self._uses.setdefault(workspace, _Use(lent_share=lent_share))
            use.used_s = now_s
            if self._peer_table.own_is_new(now_s):
                is_first = self._peer_table.starts_with_fleet(now_s)
                is_preferred = self._peer_table.own_rank(rendezvous_key) < NEW_HOMES_MAX
                issues_first = is_first and is_preferred and lent_share
                initial_share = NEW_HOME_BURST_SHARE if issues_first else 0.0
        wait_s = self._quota.take(
            workspace,
            limit,
            now_s,
            fleet_share=fleet_share,
            lent_share=lent_share,
            is_disputed=self._peer_table.has_competing_home(rendezvous_key, now_s),
            initial_share=initial_share,
        )
        return QuotaDecision(wait_s=wait_s, lent_share=lent_share)

    def give_back(self, workspace: str) -> None:
        """Take back one unit that was granted to a request that did not run."""
        self._quota.give_back(workspace)

    def drop_all_except(self, workspaces: set[str]) -> None:
        """Drop the quotas of workspaces that no longer exist."""
        self._quota.drop_all_except(workspaces)
        for name in (self._uses.keys() | self._inherited.keys()) - workspaces:
            self._uses.pop(name, None)
            self._inherited.pop(name, None)

    def handovers(self, now_s: float) -> list[tuple[str, QuotaHandover]]:
        """Hand over the parts of the instances that use another home by now.

        :returns: the addresses of the new homes, and the messages for them.
        """
        messages = []
        for workspace, use in list(self._uses.items()):
            if now_s - use.used_s > ACTIVE_S:
                del self._uses[workspace]
                continue
            rendezvous_key = workspace_rendezvous_key(workspace)
            before, use.lent_share = (
                use.lent_share,
                self._peer_table.lent_share(
                    rendezvous_key, now_s, inherited=self._inherited_share(workspace, now_s)
                ),
            )
            home = self._peer_table.preferred_home(rendezvous_key, now_s)
            # What belongs to instances that are silent here is not this one's to hand over.
            most = min(before, self._peer_table.lendable_share(now_s))
            given_up = most - use.lent_share
            if home is None or given_up <= 0:
                continue
            self._inherited.pop(workspace, None)
            level = given_up / before * self._quota.take_level(workspace)
            handover = QuotaHandover(workspace=workspace, lent_share=given_up, level=level)
            messages.append((home.address, handover))
        return messages

    def adopt(self, sender: str, message: QuotaHandover, now_s: float) -> bool:
        """Adopt parts that a former home has given up.

        :returns: false when the message may be an old one, so that it is ignored.
        """
        peer = self._peer_table.peer(sender)
        if peer is None or now_s - peer.live_since_s < HANDOVER_SENDER_HEARD_S:
            return False
        share = self._inherited_share(message.workspace, now_s) + message.lent_share
        self._inherited[message.workspace] = (min(1.0, share), now_s + SETTLED_S)
        self._quota.add_level(message.workspace, message.level)
        return True

    def _inherited_share(self, workspace: str, now_s: float) -> float:
        share, until_s = self._inherited.get(workspace, (0.0, 0.0))
        if share and now_s >= until_s:
            del self._inherited[workspace]
            return 0.0
        return share
