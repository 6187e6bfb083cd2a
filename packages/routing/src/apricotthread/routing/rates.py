"""The rate at which a queue is served."""

from apricotthread.base import environment

RATE_WINDOW_S = 5.0
MIN_RATE_SAMPLE_S = 0.5


class RateMeter:
    """The cost a second at which a queue is served while it is one.

    Time without waiting requests does not count: what is served then
    tells of the demand, not of what the places can do.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._since: float | None = None
        self._cost = 0.0

    def start(self) -> None:
        """Begin to measure, as a request has to wait."""
        if self._since is None:
            self._since = self._env.timer.now()
            self._cost = 0.0

    def add(self, cost: float) -> None:
        """Count a request that waited and was served."""
        self._cost += cost
        elapsed_s = self._elapsed_s()
        if elapsed_s > RATE_WINDOW_S:
            self._cost *= RATE_WINDOW_S / elapsed_s
            self._since = self._env.timer.now() - RATE_WINDOW_S

    def stop(self) -> None:
        """End the measurement, as nothing waits any more."""
        self._since = None

    def _elapsed_s(self) -> float:
        if self._since is None:
            return 0.0
        return self._env.timer.now() - self._since

    def rate(self) -> float:
        """Return the cost a second, 0 when it is not known."""
        elapsed_s = self._elapsed_s()
        if elapsed_s < MIN_RATE_SAMPLE_S:
            return 0.0
        return self._cost / elapsed_s
