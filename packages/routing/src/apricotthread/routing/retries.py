"""A retry budget, so that retries do not amplify an overload."""

import collections
import collections.abc
import contextlib

from apricotthread.base import environment
from apricotthread.base import errors

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_FAILED_DELIVERIES = 3
TOKENS_OF_BEGINNING = 32  # an engine that fails later has borne the prompt


class RetryBudget:
    """Limits the retries of each service to a tenth of its requests.

    Each request earns a fraction of a retry, and each retry spends one.
    A service saves up at most MAX_SAVED_RETRIES. It starts with none: a node
    that has just started may have spent them before.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._saved_retries_by_service = collections.defaultdict(float)

    def earn(self, service: str) -> None:
        """Credit the budget for the first attempt of a request."""
        self._saved_retries_by_service[service] = min(
            MAX_SAVED_RETRIES,
            self._saved_retries_by_service[service] + RETRIES_PER_REQUEST,
        )

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._saved_retries_by_service[service] < 1.0:
            self._env.metrics.count('retries_refused')
            return False
        self._saved_retries_by_service[service] -= 1.0
        self._env.metrics.count('retries')
        return True

    def backoff_s(self, tries: int) -> float:
        """Return the jittered exponential backoff before a retry."""
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**tries)
        return self._env.jitter(max_delay_s)


class AttemptHistory:
    """Remembers whether an attempt at a request may have run it."""

    def __init__(self) -> None:
        self._failure: errors.ApricotError | None = None

    def note(self, failure: errors.ApricotError) -> None:
        """Record the failure of an attempt."""
        if self._failure is None and failure.ran is not errors.Ran.NO:
            self._failure = failure

    @contextlib.contextmanager
    def checked(self) -> collections.abc.Iterator[None]:
        """Let no refusal out that calls the request not run if it may have.

        The failure of the attempt that may have run it is raised instead.
        """
        try:
            yield
        except errors.ApricotError as error:
            if self._failure is None or error.ran is not errors.Ran.NO:
                raise
            raise self._failure from error


class DeliveryLimit:
    """Limits how many endpoints may fail as they begin one request.

    A request that crashes endpoints would go on to each of them, as an
    endpoint that has died counts neither as a refusal nor as load.
    """

    def __init__(self) -> None:
        self._failures = 0

    def note(self, failure: errors.ApricotError, *, tokens: int = 0) -> None:
        """Record a failed attempt that brought so many tokens.

        Raises the failure if the request may not be delivered again.
        """
        if (
            failure.code is errors.ErrorCode.ENDPOINT_FAILED
            and failure.ran is not errors.Ran.NO
            and tokens < TOKENS_OF_BEGINNING
        ):
            self._failures += 1
            if self._failures >= MAX_FAILED_DELIVERIES:
                raise failure
