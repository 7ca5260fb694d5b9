"""Open-loop caller load: sends requests at planned times and checks every response.

Run it with ``python -m tanagerreach_standins.load --plan FILE`` or with ``--instance`` and
``--workspace``, or use :class:`LoadRun` as a library. It speaks HTTP/1.1 to the callers' listeners
of instances on 127.0.0.1, with ``Authorization: Bearer <key>``, ``Idempotency-Key`` where the plan
sets it, and a ``Caller-Token``, which the backend server stand-in returns in its response. A
response is whole when its body matches ``Body-Sha256`` and has the token, path and body hash of the
request.

The plan is a TOML file with the fields of :class:`LoadPlan`: ``[[instances]]``, ``[[workspaces]]``
and ``[[kinds]]``. The summary is one JSON object on the standard output; ``--records FILE`` adds
one JSON line for each request.
"""

import contextlib
import gc
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, BinaryIO

import cappa
import msgspec

from ._load_client import Call, InstanceClient, Outcome, check_response
from ._load_plan import (
    CallerWorkspace,
    InstanceTarget,
    LoadPlan,
    PlanError,
    RateChange,
    RequestKind,
    read_plan,
)
from ._load_results import LoadResults, Tally
from ._load_run import Balancer, LoadRun, Record

__all__ = [
    "Balancer",
    "Call",
    "CallerWorkspace",
    "InstanceClient",
    "InstanceTarget",
    "LoadPlan",
    "LoadResults",
    "LoadRun",
    "Outcome",
    "PlanError",
    "RateChange",
    "Record",
    "RequestKind",
    "Tally",
    "check_response",
    "read_plan",
]


@cappa.command(name="load")
@dataclass(slots=True, kw_only=True)
class LoadOptions:
    """Run a caller load."""

    plan: Annotated[Path | None, cappa.Arg(long=True, help="TOML file")] = None
    instance: Annotated[
        list[str], cappa.Arg(long=True, help="HOST:PORT or HOST:PORT=WEIGHT; may be repeated")
    ] = field(default_factory=list)
    workspace: Annotated[
        list[str], cappa.Arg(long=True, help="NAME=KEY=RATE_PER_S; may be repeated")
    ] = field(default_factory=list)
    path: Annotated[str, cappa.Arg(long=True, help="request path without a plan")] = "/"
    method: Annotated[str, cappa.Arg(long=True, help="request method without a plan")] = "GET"
    duration_s: Annotated[float | None, cappa.Arg(long=True, help="overrides the plan")] = None
    seed: Annotated[int | None, cappa.Arg(long=True, help="overrides the plan")] = None
    use_health: Annotated[bool, cappa.Arg(long=True, help="leave out unhealthy instances")] = False
    records: Annotated[
        Path | None, cappa.Arg(long=True, help="file for JSON lines, one for each request")
    ] = None


def parse_instance(text: str) -> InstanceTarget:
    """Parse ``HOST:PORT`` or ``HOST:PORT=WEIGHT``."""
    address, _, weight = text.partition("=")
    return InstanceTarget(address=address, weight=float(weight or 1.0))


def parse_workspace(text: str) -> CallerWorkspace:
    """Parse ``NAME=KEY=RATE_PER_S``.

    :raises PlanError: when a part is missing.
    """
    parts = text.split("=")
    if len(parts) != 3:
        raise PlanError(f"workspace is {text!r}; use NAME=KEY=RATE_PER_S")
    name, key, rate_per_s = parts
    return CallerWorkspace(name=name, key=key, rate_per_s=float(rate_per_s))


def build_plan(options: LoadOptions) -> LoadPlan:
    """Build the plan from the file and the command line."""
    given = {
        "instances": [parse_instance(text) for text in options.instance] or None,
        "workspaces": [parse_workspace(text) for text in options.workspace] or None,
        "duration_s": options.duration_s,
        "seed": options.seed,
        "use_health": options.use_health or None,
    }
    if options.plan is not None:
        return read_plan(options.plan, **given)
    fields = {name: value for name, value in given.items() if value is not None}
    if "instances" not in fields or "workspaces" not in fields:
        raise PlanError("give --plan, or --instance and --workspace")
    kind = RequestKind(name="request", method=options.method, path=options.path)
    return LoadPlan(kinds=[kind], **fields)


def main() -> None:
    """Run the load and print its summary."""
    options = cappa.parse(LoadOptions)
    try:
        plan = build_plan(options)
    except (PlanError, ValueError) as error:
        sys.exit(f"load: {error}")
    # The plan lives as long as the process; freezing it spares later collections from scanning it.
    gc.freeze()
    with contextlib.ExitStack() as stack:
        records: BinaryIO | None = None
        if options.records is not None:
            records = stack.enter_context(options.records.open("wb"))
        results = LoadRun(plan=plan, records=records).run()
    summary = msgspec.json.format(msgspec.json.encode(results.summary()))
    print(summary.decode())


if __name__ == "__main__":
    main()
