"""A version of the configuration adds a tenant whose name has a blank, and takes a key away."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from harness import BROKEN, HELD, KEY, OTHER_KEY, CannotRunError, Fleet, configuration, run, send
from target import Target

NEW_KEY = "tx5w0vq8m2c7yk4hz1rd"
CONFIG_APPLY_S = 2.0
TENANT = {"ratePerS": 50, "burst": 50}


def version(number, new_tenant=None):
    tenants = {
        "cuka620": {"apiKeys": [KEY], **TENANT},
        "lake01": {"apiKeys": [] if new_tenant else [OTHER_KEY], **TENANT},
    }
    if new_tenant:
        tenants[new_tenant] = {"apiKeys": [NEW_KEY], **TENANT}
    return configuration(number, tenants=tenants)


def main(record, trouble):
    with Fleet(record, count=2, config=version(1)) as fleet:
        targets = [Target(f"i-{number}", fleet).start() for number in range(2)]
        fleet.start()
        for key in (KEY, OTHER_KEY):
            for gateway in fleet.gateways:
                if send(gateway, "/safe/x", key=key, record=record).status != 200:
                    raise CannotRunError("the first version is not served")
        name = "Berg and Sons" if trouble else "berg01"
        record.line(f"operator: version 2 adds the tenant {name!r} and takes lake01's key away")
        acknowledged_s = fleet.configure(version(2, name))
        time.sleep(CONFIG_APPLY_S + 1.0)
        is_broken = False
        for gateway in fleet.gateways:
            for _ in range(3):
                sent_s = time.monotonic()
                answer = send(gateway, "/safe/x", key=NEW_KEY, record=record)
                if answer.status in (401, 403, 404):
                    record.line(
                        f"broken: {answer.request_id} has a key of version 2, sent"
                        f" {sent_s - acknowledged_s:.1f} s after its ack: {answer.status}"
                    )
                    is_broken = True
                sent_s = time.monotonic()
                answer = send(gateway, "/unsafe/x", "POST", b"x", key=OTHER_KEY, record=record)
                if sum(target.has_run(answer.request_id) for target in targets):
                    record.line(
                        f"broken: {answer.request_id} ran with a key that version 2 dropped, sent"
                        f" {sent_s - acknowledged_s:.1f} s after its ack"
                    )
                    is_broken = True
        # Not judged: whether an instance that starts now ever serves.
        gateway = fleet.gateways[1]
        gateway.kill()
        gateway.start()
        time.sleep(10)
        answer = send(gateway, "/safe/x", record=record)
        record.line(f"10 s after a restart of {gateway.name}: ready {gateway.is_ready()}, {answer}")
        return BROKEN if is_broken else HELD


run(main, Path(__file__).parent)
