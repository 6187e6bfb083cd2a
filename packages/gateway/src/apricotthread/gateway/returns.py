"""Recognises callers that return after a refusal, by the time they have left.

Callers do not say that they have asked before. Those of one route mostly
have the same time in all, and a returning one has less of it left.
"""

import dataclasses

from apricotthread.base import environment

# The longest time that callers of a route had is remembered for at least
# this long, and at most twice as long.
WINDOW_S = 30.0


@dataclasses.dataclass(kw_only=True)
class _LongestTime:
    """The longest times left in this window and in the one before, in s."""

    window_ends_at: float
    current_s: float = 0.0
    previous_s: float = 0.0


class ReturnDetector:
    """Estimates for how long each caller has been asking."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._longest_by_route: dict[str, _LongestTime] = {}

    def estimate_elapsed_s(self, route: str, time_left_s: float) -> float:
        """Return the seconds since a caller's first attempt, 0 for a new one.

        Also learns from the caller.
        """
        now = self._env.timer.now()
        longest = self._longest_by_route.get(route)
        if longest is None:
            longest = _LongestTime(window_ends_at=now + WINDOW_S)
            self._longest_by_route[route] = longest
        if now >= longest.window_ends_at:
            longest.window_ends_at = now + WINDOW_S
            longest.previous_s = longest.current_s
            longest.current_s = 0.0
        longest.current_s = max(longest.current_s, time_left_s)
        return max(longest.current_s, longest.previous_s) - time_left_s
