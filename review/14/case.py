"""A target fails a part of its requests with 503 after it has run them."""

import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from harness import BROKEN, HELD, CannotRunError, Fleet, run, send
from target import Target

PROMISES = (408, 421, 429, 503)
REQUEST_COUNT = 40


class GreyTarget(Target):
    """Runs each request, and fails two of five afterwards; its liveness check stays good."""

    is_grey = False

    def serve(self, request, connection):
        if not self.is_grey or len(self.runs) % 5 > 1:
            return super().serve(request, connection)
        self.run(request)
        connection.answer(request, 503, b"a part of the work failed")


def main(record, trouble):
    with Fleet(record, count=2) as fleet:
        targets = [GreyTarget(f"i-{number}", fleet).start() for number in range(3)]
        fleet.start()
        if send(fleet.gateways[0], "/unsafe/x", "POST", b"x", record=record).status != 200:
            raise CannotRunError("an ordinary request is not served")
        targets[0].is_grey = trouble
        record.line(f"{targets[0].name} fails a part of its requests: {trouble}")
        answers = []

        def call(number):
            gateway = fleet.gateways[number % 2]
            answers.append(send(gateway, "/unsafe/x", "POST", b"x", record=record))

        for number in range(REQUEST_COUNT):
            thread = threading.Thread(target=call, args=(number,))
            thread.start()
            thread.join(0.1)
        thread.join()
        is_broken = False
        for answer in answers:
            ran = [target.name for target in targets if target.has_run(answer.request_id)]
            if answer.status in PROMISES and ran:
                record.line(
                    f"broken: {answer.request_id} was answered {answer.status},"
                    f" {answer.headers}, and has run at {ran}"
                )
                is_broken = True
        return BROKEN if is_broken else HELD


run(main, Path(__file__).parent)
