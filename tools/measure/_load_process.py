"""Runs one load plan in a separate process: ``python -m measure._load_process PLAN``.

The records and the summary are written beside ``PLAN``, with the suffixes ``.records`` and
``.summary``.
"""

import gc
import signal
import sys
from pathlib import Path

import gevent
import msgspec
from tanagerreach_standins.load import LoadPlan, LoadRun


def main() -> None:
    """Run the load until it is complete or SIGTERM arrives."""
    path = Path(sys.argv[1])
    plan = msgspec.json.decode(path.read_bytes(), type=LoadPlan)
    gc.freeze()
    with path.with_suffix(".records").open("wb") as records:
        run = LoadRun(plan=plan, records=records)
        gevent.signal_handler(signal.SIGTERM, run.stop)
        results = run.run()
    path.with_suffix(".summary").write_bytes(msgspec.json.encode(results.summary()))


if __name__ == "__main__":
    main()
