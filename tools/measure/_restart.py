"""Failed requests of a rolling restart under load, by reason and time since the latest stop.

The failed requests and the timeline events are written to ``rolling-restart.json`` in the log
directory of the fleet, so that the order of events around each stop can be examined.
"""

import msgspec

from ._evaluation import cut_requests, failures_by_reason, refused_requests, since_latest_s
from ._figures import Figure
from ._planned_work import rolling_restart, under_load
from ._testbed import Testbed

NAME = "rolling-restart"
STOP_EVENT = "instance-drains"


def run(testbed: Testbed) -> list[Figure]:
    """Restart all instances, one group after the other, under load with uploads."""
    record_count = len(testbed.records)
    figures = under_load(testbed, "rolling restart", rolling_restart)
    records = testbed.records[record_count:]
    events = testbed.events()
    stops_s = [event["at_s"] for event in events if event["kind"] == STOP_EVENT]
    failed = [*refused_requests(records), *cut_requests(records)]
    for record in failed:
        record["since_stop_s"] = since_latest_s(record["at_s"], stops_s)
    path = testbed.group.log_directory / f"{NAME}.json"
    path.write_bytes(msgspec.json.encode({"failed": failed, "events": events}))
    return [
        *figures,
        Figure(
            measure=NAME,
            name="failed requests by reason, service, and seconds since the latest stop",
            value=float(len(failed)),
            unit="requests",
            note=", ".join(f"{key}: {count}" for key, count in failures_by_reason(failed)),
        ),
    ]
