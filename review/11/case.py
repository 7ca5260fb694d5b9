"""Instances get SIGTERM in turn, while a service has many targets with long ids."""

import hashlib
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from crowd import Crowd
from harness import BROKEN, HELD, CannotRunError, Fleet, run, send, wait_ready

TARGET_COUNT = 220
WORK_S = 0.5
GRACE_S = 6.0


def main(record, trouble):
    names = [hashlib.sha256(str(number).encode()).hexdigest() for number in range(TARGET_COUNT)]
    with Fleet(record, count=3) as fleet:
        crowd = Crowd(fleet, names, work_s=WORK_S)
        try:
            fleet.start()
            return roll(record, fleet, crowd, trouble)
        finally:
            crowd.close()


def roll(record, fleet, crowd, trouble):
    if send(fleet.gateways[0], "/unsafe/x", "POST", b"x", record=record).status != 200:
        raise CannotRunError("an ordinary request is not served")
    lost = []
    for gateway in fleet.gateways:
        answers = []

        def call(gateway=gateway, answers=answers):
            answers.append(send(gateway, "/unsafe/x", "POST", b"x", record=record))

        threads = [threading.Thread(target=call) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.25)
        stopped_s = time.monotonic()
        if trouble:
            record.line(f"SIGTERM to {gateway.name}")
            gateway.signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        for answer in answers:
            ran = sum(target.has_run(answer.request_id) for target in crowd.targets)
            if answer.status is None and ran:
                record.line(
                    f"broken: {answer.request_id} was passed on to a target, and its connection"
                    f" ended {answer.error!r}"
                )
                lost.append(answer)
        if trouble:
            gateway.process.wait(GRACE_S + 2)
            record.line(
                f"{gateway.name} ended with {gateway.process.returncode}"
                f" {time.monotonic() - stopped_s:.2f} s after SIGTERM"
            )
            for line in gateway.log_path.read_text().splitlines()[-2:]:
                record.line(f"its log: {line[:300]}")
            gateway.start()
            wait_ready(gateway)
            time.sleep(2.0)
    return BROKEN if lost else HELD


run(main, Path(__file__).parent)
