"""The budget that keeps retries from adding to an overload."""

from apricotthread.base import environment

EARNED_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Allows retries up to a tenth of the requests of a service."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._saved_by_service: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count a first try."""
        saved = self._saved_by_service.get(service, MAX_SAVED_RETRIES)
        self._saved_by_service[service] = min(
            MAX_SAVED_RETRIES, saved + EARNED_PER_REQUEST
        )

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; False when it is used up."""
        saved = self._saved_by_service.get(service, MAX_SAVED_RETRIES)
        if saved < 1.0:
            self._env.metrics.count('retries_refused')
            return False
        self._saved_by_service[service] = saved - 1.0
        self._env.metrics.count('retries')
        return True

    def backoff_s(self, tries: int) -> float:
        """Return how long to wait before a retry, with jitter."""
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**tries)
        return self._env.jitter(longest)
