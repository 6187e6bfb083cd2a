"""Measurement of the rate at which a queue is served."""

from apricotthread.base import environment

RATE_WINDOW_S = 5.0
MIN_RATE_SAMPLE_S = 0.5


class RateMeter:
    """Measures the cost served per second while requests are queued.

    Time without queued requests is not counted: the rate would then
    reflect the demand, not the capacity of the endpoints.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._window_started_at: float | None = None
        self._served_cost = 0.0

    def start(self) -> None:
        """Start measuring because a request is queued, unless running."""
        if self._window_started_at is None:
            self._window_started_at = self._env.timer.now()
            self._served_cost = 0.0

    def add(self, cost: float) -> None:
        """Add the cost of a queued request that is now served."""
        self._served_cost += cost
        elapsed_s = self._elapsed_s()
        if elapsed_s > RATE_WINDOW_S:
            self._served_cost *= RATE_WINDOW_S / elapsed_s
            self._window_started_at = self._env.timer.now() - RATE_WINDOW_S

    def stop(self) -> None:
        """Stop measuring because the queue is empty."""
        self._window_started_at = None

    def _elapsed_s(self) -> float:
        if self._window_started_at is None:
            return 0.0
        return self._env.timer.now() - self._window_started_at

    def rate(self) -> float:
        """Return the cost served per second, 0 if not known yet."""
        elapsed_s = self._elapsed_s()
        if elapsed_s < MIN_RATE_SAMPLE_S:
            return 0.0
        return self._served_cost / elapsed_s
