"""A restarted instance gets placements of its earlier run, at a target that has drained since."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet as fl  # noqa: E402

REQUESTS = 20


def case():
    routes = {
        "r-reserve": fl.route(
            prefix="/puka111/",
            kind="unsafe",
            service="reservations",
            timeout_ms=3000,
            objective_ms=1000,
        )
    }
    configuration = fl.configuration(routes=routes, services=["reservations"])
    with fl.Fleet(folder=FOLDER, instance_count=4, configuration=configuration) as fleet:
        for number in range(3):
            fleet.add_target(f"i-res-{number}", "reservations", work_s=lambda _path: 0.05)
        fleet.start()
        send = lambda instance: fleet.send(  # noqa: E731
            instance, "/puka111/2f", method="POST", body=b"x" * 200, deadline_ms=6000
        )
        for _ in range(3):
            send(fleet.instances[0])
        home = fleet.homes().get("reservations")
        restarted = next(entry for entry in fleet.instances if entry.name != home)
        fleet.record(f"home of the service: {home}; instance to restart: {restarted.name}")
        for _ in range(REQUESTS):
            send(restarted)
        if fl.TROUBLE:
            restarted.end(signal.SIGTERM)
            restarted.start()
            restarted.wait_ready()
        time.sleep(fl.CONTACT_S + 1.0)
        leaving = max(fleet.targets, key=lambda target: len(target.runs))
        leaving.drain()
        time.sleep(fl.DRAIN_S + 1.0)
        sent_from_s = time.monotonic()
        for _ in range(REQUESTS):
            send(restarted)
        late = [run for run in leaving.runs if run["arrived_s"] >= sent_from_s]
        for run in late:
            after_s = run["arrived_s"] - leaving.acked_leaving_s
            fleet.record(
                f"BROKEN: {run['id']} reached {leaving.name} {after_s:.2f} s after the ack of its"
                " draining"
            )
        print(f"{len(late)} of {REQUESTS} requests reached the draining target too late")
        return bool(late)


fl.main(case)
