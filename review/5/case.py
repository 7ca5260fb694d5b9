"""An answer that stops midway keeps its client waiting far beyond the route's time limit."""

import contextlib
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet as fl  # noqa: E402

REQUESTS = 190
REQUESTS_PER_S = 30.0
WORK_S = 0.1
TIMEOUT_MS = 2500
DEADLINE_MS = 5000
# RULES.md: an answer is due half a second after the route's time limit.
SLACK_S = 0.5
PART = b"p" * 200
# The faulty target stops in four of seven answers (srv_grey, x = 0.57).
HANGS = (True, False, True, False, True, False, True)


class Request(threading.Thread):
    """A client that sends one safe request and waits until its own deadline."""

    def __init__(self, fleet, instance, number):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.instance = instance
        self.request_id = f"h{number:03d}"
        self.sent_s = 0.0
        # Time of the end of the answer or of the connection, None without one.
        self.ended_s = None
        self.outcome = "no final answer"

    def run(self):
        """Send the request and read its answer."""
        address = (self.instance.host, self.instance.front_port)
        with contextlib.closing(socket.create_connection(address)) as connection:
            connection.sendall(
                f"GET /leny950/2f HTTP/1.1\r\nHost: {fl.HOST}\r\n"
                f"Tanagerreach-Request-Id: {self.request_id}\r\n"
                f"Tanagerreach-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Tanagerreach-Key: {fl.KEY}\r\n\r\n".encode()
            )
            self.sent_s = time.monotonic()
            self.fleet.record(f"client sends {self.request_id} to {self.instance.name}")
            data = b""
            while (left_s := self.sent_s + DEADLINE_MS / 1000 - time.monotonic()) > 0:
                connection.settimeout(left_s)
                try:
                    part = connection.recv(65536)
                except TimeoutError:
                    break
                except OSError:
                    part = b""
                data += part
                if not part or is_complete(data):
                    self.ended_s = time.monotonic()
                    self.outcome = data[9:12].decode() if part else "the end of the connection"
                    break
        waited_s = time.monotonic() - self.sent_s
        self.fleet.record(
            f"client: {self.request_id} has {self.outcome} after {waited_s:.2f} s,"
            f" {len(data)} bytes were received"
        )

    def is_open_at(self, at_s):
        """Return whether the request had no final answer at a time."""
        return self.ended_s is None or self.ended_s > at_s


def is_complete(data):
    """Return whether the bytes are a whole answer."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


def case():
    """Run the case."""
    routes = {
        "r-browse": fl.route(
            prefix="/leny950/",
            kind="safe",
            service="catalogue",
            timeout_ms=TIMEOUT_MS,
            objective_ms=1000,
            priority=2,
        )
    }
    configuration = fl.configuration(routes=routes, services=["catalogue"])
    with fl.Fleet(folder=FOLDER, instance_count=3, configuration=configuration) as fleet:
        for number in range(7):
            target = fleet.add_target(
                f"i-cat-{number}", "catalogue", slots=4, work_s=lambda _path: WORK_S
            )
            target.parts = [PART] * 3
        if fl.TROUBLE:
            fleet.targets[0].hangs = HANGS
        fleet.start()
        requests = []
        for number in range(REQUESTS):
            request = Request(fleet, fleet.instances[number % 3], number)
            request.start()
            requests.append(request)
            time.sleep(1 / REQUESTS_PER_S)
        for request in requests:
            request.join()
        limit_s = TIMEOUT_MS / 1000
        at_limit = [entry for entry in requests if entry.is_open_at(entry.sent_s + limit_s)]
        late = [entry for entry in at_limit if entry.is_open_at(entry.sent_s + limit_s + SLACK_S)]
        for request in late:
            fleet.record(
                f"LATE: {request.request_id} had no final answer {SLACK_S} s after its route's"
                f" limit of {limit_s} s"
            )
        print(
            f"{len(at_limit)} requests had no final answer at their route's limit, {len(late)} of"
            " them none half a second later"
        )
        # Both forms of the rule: more than half, and eight or more.
        return len(late) >= 8 and 2 * len(late) > len(at_limit)


fl.main(case)
