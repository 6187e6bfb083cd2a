"""Bounds on what all entries together send again, or send to cold ones."""

import collections

from apricotthread.base import environment

# Parts by chance scatter around their sum.
COLD_SAFETY = 0.6
SAFETY = 0.8  # entries do not see each other's repeats as they happen


class RetryBudget:
    """Limits repeats at a service within a sliding window.

    The bound holds for the sum over all entries: each uses the share of
    its own requests, and an equal part of the constant.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        self._env = env
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._repeats: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._trim(self._requests[service]).append(self._env.timer.now())

    def take(self, service: str, *, entries: int) -> bool:
        """Count a repeat if the budget allows it, and say whether."""
        requests = self._trim(self._requests[service])
        repeats = self._trim(self._repeats[service])
        allowed = SAFETY * (
            self._ratio * len(requests) + self._slack / max(1, entries)
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._env.timer.now())
        return True

    def _trim(
        self, moments: collections.deque[float]
    ) -> collections.deque[float]:
        oldest = self._env.timer.now() - self._window_s
        while moments and moments[0] < oldest:
            moments.popleft()
        return moments


def cold_allowance(
    *,
    requests_per_s: float,
    overshoot: float,
    entries: int,
    sent: int,
    draw: float,
) -> int:
    """Return how many more requests a cold endpoint may get this second.

    The bound holds for the sum over all entries, so each has its part. A
    part below one request is a chance of one, for which `draw` is an even
    number from 0 to 1 that stays the same for a second.
    """
    if requests_per_s <= 0:
        return 1
    part = COLD_SAFETY * requests_per_s * overshoot / max(1, entries)
    whole = int(part)
    return whole + (draw < part - whole) - sent
