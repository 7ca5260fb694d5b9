"""A grant for a killed instance's queued request sends another request to the wrong service."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet as fl  # noqa: E402

SLOTS = 4
TARGETS_A_SERVICE = 2
FILLING = SLOTS * TARGETS_A_SERVICE
QUEUED = 8
# 1.4 times the mean work of the requests' kinds (SYSTEM.md), in seconds, but for the lookups.
WORK_S = {"/leny950/": 0.45, "/puka111/": 0.34, "/cufi502/": 0.39, "/matu310/": 0.096}
ROUTE_SERVICES = {
    "/leny950/": "catalogue",
    "/puka111/": "reservations",
    "/cufi502/": "catalogue",
    "/matu310/": "matcher",
}


def work_s(path):
    return next(value for prefix, value in WORK_S.items() if path.startswith(prefix))


def routes():
    return {
        "r-browse": fl.route(
            prefix="/leny950/",
            kind="safe",
            service="catalogue",
            timeout_ms=5000,
            objective_ms=1000,
            priority=2,
        ),
        "r-reserve": fl.route(
            prefix="/puka111/",
            kind="unsafe",
            service="reservations",
            timeout_ms=6000,
            objective_ms=1000,
        ),
        "r-upload": fl.route(
            prefix="/cufi502/",
            kind="upload",
            service="catalogue",
            timeout_ms=6000,
            objective_ms=1000,
        ),
        "r-lookup": fl.route(
            prefix="/matu310/",
            kind="safe",
            service="matcher",
            timeout_ms=2000,
            objective_ms=300,
        ),
    }


def case():
    configuration = fl.configuration(
        routes=routes(), services=["catalogue", "reservations", "matcher"]
    )
    with fl.Fleet(folder=FOLDER, instance_count=5, configuration=configuration) as fleet:
        for service in ("catalogue", "reservations", "matcher"):
            for number in range(TARGETS_A_SERVICE):
                fleet.add_target(f"i-{service}-{number}", service, slots=SLOTS, work_s=work_s)
        fleet.start()
        for path in WORK_S:
            method = "GET" if path in ("/leny950/", "/matu310/") else "POST"
            fleet.send(fleet.instances[0], path + "first", method=method)
        homes = fleet.homes()
        busy = next(
            entry for entry in reversed(fleet.instances) if entry.name not in homes.values()
        )
        fleet.record(f"homes: {homes}; instance with the clients: {busy.name}")
        replies = []
        threads = []

        def send(path, method, deadline_ms, body=None):
            threads.append(
                fleet.send_later(
                    replies, busy, path, method=method, deadline_ms=deadline_ms, body=body
                )
            )
            time.sleep(0.004)

        # The clients of one instance begin: all slots of two services are in use, and some
        # uploads wait for a slot.
        for number in range(FILLING):
            send(f"/puka111/a{number}", "POST", 6000, b"x" * 200)
        for number in range(FILLING):
            send(f"/leny950/a{number}", "GET", 5000)
        for number in range(QUEUED):
            send(f"/cufi502/a{number}", "POST", 6000, b"p" * 20000)
        time.sleep(0.08)
        if fl.TROUBLE:
            busy.end(signal.SIGKILL)
            busy.start()
            busy.wait_ready()
        else:
            time.sleep(1.0)
        # Clients come back with the next requests.
        for number in range(2 * FILLING):
            fleet.send(busy, f"/matu310/b{number}", deadline_ms=2000)
        for number in range(2 * QUEUED):
            send(f"/puka111/b{number}", "POST", 6000, b"x" * 200)
        for thread in threads:
            thread.join(12)
        wrong = []
        for run in fleet.runs():
            prefix = "/" + run["path"].split("/")[1] + "/"
            if run["service"] != ROUTE_SERVICES[prefix]:
                wrong.append(run)
                fleet.record(
                    f"BROKEN: {run['method']} {run['path']} {run['id']} was run by"
                    f" {run['target']} of {run['service']}; the only configuration sends it to"
                    f" {ROUTE_SERVICES[prefix]}"
                )
        foreign = {run["id"] for run in wrong}
        answered = [reply for reply in replies if reply.request_id in foreign]
        successes = sum(reply.status == 200 for reply in answered)
        print(
            f"{len(wrong)} requests were run by a service of no configuration;"
            f" {successes} clients got that service's answer as a success"
        )
        return bool(wrong)


fl.main(case)
