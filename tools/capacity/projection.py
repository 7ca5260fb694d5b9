"""Load of each role in a fleet of a given size, computed from measured slopes."""

from dataclasses import dataclass

EXCHANGE_INTERVAL_S = 2.0
SLOTLESS_PARTNERS = 3
FAILURES_PER_DAY = 20
LEASE_H = 4.0
CLAIM_RETENTION_S = 600
CLAIMS_MAX_PER_SLOT = 20_000
CLAIM_SLOTS = 5


@dataclass(slots=True, kw_only=True, frozen=True)
class Size:
    """Size of a fleet."""

    instances: int
    slots: int
    services: int = 390
    targets: int = 7300
    workspaces: int = 51_000
    requests_per_s: float = 97_000.0

    @property
    def holders(self) -> int:
        """Number of instances that hold a slot."""
        return min(self.instances, self.slots)


class Costs:
    """Measured slopes by name, as ``tools/slopes.py`` writes them."""

    def __init__(self, slopes: dict[str, dict]) -> None:
        self._slopes = slopes

    def at(self, name: str, size: float) -> float:
        """Return the cost on the fitted line at a size."""
        slope = self._slopes[name]
        return slope["intercept"] + slope["slope"] * size

    def last(self, name: str) -> float:
        """Return the value at the largest measured size, for costs that level off."""
        return self._slopes[name]["values"][-1]


def slotless_exchanges_per_s(size: Size) -> float:
    """Return the exchanges per second that a holder receives from instances without slots."""
    others = size.instances - size.holders
    return SLOTLESS_PARTNERS * others / size.holders / EXCHANGE_INTERVAL_S


def holder_exchanges_per_s(size: Size) -> float:
    """Return the exchanges per second that a holder sends to other holders."""
    return (size.holders - 1) / EXCHANGE_INTERVAL_S


def exchange_load(size: Size, costs: Costs) -> dict[str, float]:
    """Return the exchange load of a slot holder, which receives about as much as it sends."""
    to_holders = holder_exchanges_per_s(size)
    to_slotless = slotless_exchanges_per_s(size)
    with_loan = costs.at("bytes_exchange_with_loan", size.slots)
    plain = costs.at("bytes_exchange", size.slots)
    send_us = costs.at("cpu_send_datagram", 0)
    loan_us = sum(
        costs.at(name, size.slots)
        for name in (
            "cpu_decode_exchange_with_loan",
            "cpu_ledger_grant",
            "cpu_held_record",
            "cpu_exchanger_handle_holder",
        )
    )
    peers = to_slotless * EXCHANGE_INTERVAL_S
    reply_us = costs.at("cpu_decode_exchange", size.slots)
    reply_us += costs.at("cpu_exchanger_answer_slotless", peers)
    return {
        "messages_per_s": to_holders + to_slotless,
        "sent_bytes_per_s": to_holders * with_loan + to_slotless * plain,
        "cpu_percent": (to_holders * (loan_us + send_us) + to_slotless * (reply_us + send_us))
        / 1e4,
    }


def token_home_load(size: Size, costs: Costs) -> dict[str, float]:
    """Return the load of token requests at a home if callers use all instances evenly."""
    messages = costs.last("tokens_messages") * size.instances / size.holders
    handling_us = costs.at("cpu_token_home", 1) + costs.at("cpu_decode_token_request", 1)
    handling_us += costs.at("cpu_send_datagram", 0)
    scale = size.instances / size.holders
    sent = costs.last("tokens_received_bytes") * scale
    received = costs.last("tokens_sent_bytes") * scale
    return {
        "messages_per_s": messages,
        "sent_bytes_per_s": sent,
        "received_bytes_per_s": received,
        "cpu_percent": messages * handling_us / 1e4,
    }


def service_home_load(size: Size, costs: Costs) -> dict[str, float]:
    """Return the load of reports at a home if each instance uses all services."""
    scale = size.instances / size.holders
    messages = costs.last("reports_messages") * scale
    targets = size.targets / size.services
    handling_us = costs.at("cpu_service_home", targets) + costs.at("cpu_decode_service_report", 1)
    handling_us += costs.at("cpu_send_datagram", 0)
    return {
        "messages_per_s": messages,
        "sent_bytes_per_s": costs.last("reports_received_bytes") * scale,
        "received_bytes_per_s": costs.last("reports_sent_bytes") * scale,
        "cpu_percent": messages * handling_us / 1e4,
    }


def claims_per_s_limit(size: Size) -> float:
    """Return the rate of claims in the fleet that fills the claim tables of all slots."""
    return CLAIMS_MAX_PER_SLOT * size.slots / CLAIM_SLOTS / CLAIM_RETENTION_S


def stranded(size: Size) -> dict[str, float]:
    """Return how many slots are unavailable after crashes of their holders.

    After a crash, a slot stays unavailable until the holder's lease ends.
    """
    crashes_per_day = FAILURES_PER_DAY * size.holders / size.instances
    slots_per_holder = size.slots / size.holders
    return {
        "percent_per_crash": 100 * slots_per_holder / size.slots,
        "holder_crashes_per_day": crashes_per_day,
        "slots_on_average": crashes_per_day * LEASE_H / 24 * slots_per_holder,
        "percent_of_a_data_centre": 100 / 6,
    }
