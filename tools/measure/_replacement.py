"""Refusals of an instance that replaces a killed one, whose slot stays leased for a while.

The slot holders remove the silent member after the member expiry and stop exchanging with it. From
then on, the new instance relies on the few holders with which it starts exchanges itself.
"""

from random import Random

from tanagerreach_standins.load import InstanceTarget

from ._evaluation import count_over_limit, refused_requests, result_counts
from ._figures import Figure
from ._rate import ADMISSION_WAIT_S, PERCENT
from ._testbed import Testbed

NAME = "replacement"
# Time after which member tables remove a silent member.
MEMBER_EXPIRY_S = 60.0
MARGIN_S = 20.0
GOAL_PERCENT = 1.0


def run(testbed: Testbed) -> list[Figure]:
    """Replace a killed instance, wait for the member expiry, and send it the regular load."""
    victim = Random(testbed.seed).choice(testbed.fleet.running())
    victim.process.kill()
    testbed.fleet.start_instance(victim)
    testbed.fleet.wait_for_live()
    testbed.settle(MEMBER_EXPIRY_S + MARGIN_S)
    done = testbed.run_load(
        testbed.deployment.workspaces(1.0, uploads=False),
        duration_s=testbed.scale.phase_s,
        instances=[InstanceTarget(address=victim.callers_address)],
    )
    status = testbed.fleet.operator("GET", "/v1/status", instance=victim)
    expected = 0
    for name, (rate_per_s, burst) in testbed.deployment.limits.items():
        arrivals_s = [record["at_s"] for record in done.records_of(name)]
        expected += count_over_limit(arrivals_s, rate_per_s, burst, ADMISSION_WAIT_S)
    wrongful = max(0, len(refused_requests(done.records)) - expected)
    return [
        Figure(
            measure=NAME,
            name="wrongful refusals by an instance that replaces a killed one",
            value=PERCENT * wrongful / max(1, len(done.records)),
            unit="%",
            goal=f"{GOAL_PERCENT}%",
            limit=GOAL_PERCENT,
            note=f"{MEMBER_EXPIRY_S + MARGIN_S:.0f} s after its start; slots {status['slots']}; "
            f"{result_counts(done.records)}",
        )
    ]
