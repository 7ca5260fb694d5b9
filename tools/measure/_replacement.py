"""Refusals of an instance that replaces a killed one whose slot is stranded.

The other holders stop exchanging with the killed instance after a time. Only then the new one
depends on the few holders that it exchanges with itself.
"""

from random import Random

from tanagerreach_standins.load import InstanceTarget

from ._evaluation import count_over_limit, refused, result_counts
from ._figures import Figure
from ._rate import ADMISSION_WAIT_S, PERCENT
from ._rig import Rig

NAME = "replacement"
# The members' own time after which a silent one is forgotten.
MEMBER_EXPIRY_S = 60.0
MARGIN_S = 20.0
GOAL_PERCENT = 1.0


def run(rig: Rig) -> list[Figure]:
    """Replace a killed instance, wait until it is on its own, and send it the quiet load."""
    victim = Random(rig.seed).choice(rig.fleet.running())
    victim.process.kill()
    rig.fleet.start_instance(victim)
    rig.fleet.wait_for_live()
    rig.settle(MEMBER_EXPIRY_S + MARGIN_S)
    done = rig.run_load(
        rig.deployment.workspaces(1.0, uploads=False),
        duration_s=rig.scale.phase_s,
        instances=[InstanceTarget(address=victim.callers_address)],
    )
    status = rig.fleet.operator("GET", "/v1/status", instance=victim)
    rightful = 0
    for name, (rate_per_s, burst) in rig.deployment.limits.items():
        arrivals_s = [record["at_s"] for record in done.of(name)]
        rightful += count_over_limit(arrivals_s, rate_per_s, burst, ADMISSION_WAIT_S)
    wrongful = max(0, len(refused(done.records)) - rightful)
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
