"""Model of the backend server stand-in: failure modes, service times, cold start. No I/O."""

import math
from collections.abc import Callable
from random import Random

import msgspec

MODES = (
    "ok",
    "slow",
    "erring",
    "hanging",
    "short_body",
    "crossed",
    "late",
    "crash_on",
    "flapping",
    "cold_again",
)
RAMPS = ("doubling", "fixed")
DISTRIBUTIONS = ("fixed", "exponential", "lognormal")
LOGNORMAL_SIGMA = 0.5


class Mode(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A gray failure and its parameters.

    ``factor`` multiplies the service time in mode slow. ``ratio`` is the share of requests that the
    failure affects. ``status`` is the response status in mode erring; with ``immediate`` it is sent
    without spending service time, like that of a broken server which attracts traffic because it
    responds fast. In mode late, the response is sent ``delay_s`` after the service time, or after
    the deadline when that is later. In mode crash_on, a request body that contains ``marker``
    crashes the server; with ``crash_exit`` its process exits. In mode flapping, ``flap_to`` and ok
    alternate, each for half of ``period_s``. ``announced`` tells whether the health endpoint
    reports the cold start of mode cold_again.
    """

    mode: str = "ok"
    factor: float = 5.0
    ratio: float = 1.0
    status: int = 500
    immediate: bool = False
    delay_s: float = 0.05
    marker: str = ""
    crash_exit: bool = False
    period_s: float = 4.0
    flap_to: str = "erring"
    announced: bool = False

    def check(self) -> None:
        """Validate the names of the modes.

        :raises ValueError: when a name is unknown.
        """
        for name in (self.mode, self.flap_to):
            if name not in MODES:
                raise ValueError(f"mode is {name!r}; use one of {', '.join(MODES)}")

    def at(self, elapsed_s: float) -> str:
        """Return the effective mode ``elapsed_s`` after this mode was set."""
        if self.mode != "flapping":
            return self.mode
        is_first_half = elapsed_s % self.period_s < self.period_s / 2
        return self.flap_to if is_first_half else "ok"


class ServiceTimes:
    """Draws random service times.

    :param distribution: fixed, exponential or lognormal.
    :param mean_s: mean service time.
    :param random: source of the draws.
    """

    def __init__(self, *, distribution: str, mean_s: float, random: Random) -> None:
        if distribution not in DISTRIBUTIONS:
            names = ", ".join(DISTRIBUTIONS)
            raise ValueError(f"distribution is {distribution!r}; use one of {names}")
        self._distribution = distribution
        self._mean_s = mean_s
        self._random = random

    def draw_s(self) -> float:
        """Draw one service time."""
        if self._mean_s <= 0 or self._distribution == "fixed":
            return max(0.0, self._mean_s)
        if self._distribution == "exponential":
            return self._random.expovariate(1 / self._mean_s)
        mu = math.log(self._mean_s) - LOGNORMAL_SIGMA**2 / 2
        return self._random.lognormvariate(mu, LOGNORMAL_SIGMA)


class ColdStart:
    """Concurrency limit of a server during its cold start.

    With the ramp ``doubling`` the limit starts at ``cold_concurrency`` and doubles after each of
    several equal steps, until it reaches ``slots`` after ``cold_start_s``. With the ramp ``fixed``
    it stays at ``cold_concurrency`` for the whole cold start.

    :param slots: concurrency limit of the warm server.
    :param cold_start_s: duration of the cold start.
    :param cold_concurrency: initial concurrency limit.
    :param ramp: doubling or fixed.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        slots: int,
        cold_start_s: float,
        cold_concurrency: int,
        ramp: str,
        clock: Callable[[], float],
    ) -> None:
        if ramp not in RAMPS:
            raise ValueError(f"ramp is {ramp!r}; use one of {', '.join(RAMPS)}")
        self._slots = slots
        self._cold_start_s = cold_start_s
        self._cold_concurrency = cold_concurrency
        self._ramp = ramp
        self._clock = clock
        self._cold_since_s = clock()
        self.overloads = 0
        self.max_concurrency_cold = 0

    def restart(self) -> None:
        """Restart the cold start from its beginning."""
        self._cold_since_s = self._clock()

    def is_cold(self) -> bool:
        """Tell whether the cold start is still in progress."""
        return self._clock() - self._cold_since_s < self._cold_start_s

    def concurrency_limit(self) -> int:
        """Return the current concurrency limit."""
        if not self.is_cold():
            return self._slots
        if self._ramp == "fixed":
            return min(self._slots, self._cold_concurrency)
        steps = math.ceil(math.log2(max(2.0, self._slots / self._cold_concurrency)))
        elapsed_s = self._clock() - self._cold_since_s
        steps_done = int(elapsed_s * steps / self._cold_start_s)
        return min(self._slots, self._cold_concurrency * 2**steps_done)

    def admit(self, concurrency: int) -> bool:
        """Check the concurrency that a new request results in.

        :param concurrency: number of concurrent requests, including the new one.
        :returns: False when this overloads the cold server, whose cold start then restarts.
        """
        if not self.is_cold():
            return True
        self.max_concurrency_cold = max(self.max_concurrency_cold, concurrency)
        if concurrency <= self.concurrency_limit():
            return True
        self.overloads += 1
        self.restart()
        return False
