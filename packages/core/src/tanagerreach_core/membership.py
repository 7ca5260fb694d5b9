"""Members of the fleet as one instance sees them."""

from ._members import EXCHANGE_INTERVAL_S, HEARTBEAT_TIMEOUT_S, MemberTable

__all__ = ["EXCHANGE_INTERVAL_S", "HEARTBEAT_TIMEOUT_S", "MemberTable"]
