"""A request whose path equals a route's prefix without its last slash goes to that route."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet as fl  # noqa: E402

# configApplyMs of kranfind-sofia, and a margin.
APPLY_S = 2.0 + 1.0
REQUESTS = 10


def case():
    all_paths = fl.route(
        prefix="/", kind="unsafe", service="reservations", timeout_ms=3000, objective_ms=1000
    )
    below_browse = fl.route(
        prefix="/browse/", kind="safe", service="catalogue", timeout_ms=3000, objective_ms=1000
    )
    services = ["catalogue", "reservations"]
    first = fl.configuration(routes={"r-all": all_paths}, services=services, version=7)
    second = fl.configuration(
        routes={"r-all": all_paths, "r-browse": below_browse}, services=services, version=9
    )
    with fl.Fleet(folder=FOLDER, instance_count=3, configuration=first) as fleet:
        for service in services:
            for number in range(2):
                fleet.add_target(f"i-{service}-{number}", service)
        fleet.start()
        if fl.TROUBLE:
            fleet.store.state.put_json("op/config", second)
            fleet.record("the store has acknowledged version 9, which adds the route /browse/")
        time.sleep(APPLY_S)
        for number in range(REQUESTS):
            fleet.send(
                fleet.instances[number % 3], "/browse", method="POST", body=b"x", deadline_ms=5000
            )
        wrong = [run for run in fleet.runs() if run["service"] != "reservations"]
        for run in wrong:
            fleet.record(
                f"BROKEN: POST /browse {run['id']} was run by {run['target']} of catalogue; no"
                " prefix of a route to catalogue begins this path"
            )
        print(f"{len(wrong)} of {REQUESTS} requests were run by a service of no configuration")
        return bool(wrong)


fl.main(case)
