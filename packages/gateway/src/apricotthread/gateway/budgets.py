"""Budgets for retries and for requests to cold endpoints.

Each bound holds for all entries together. An entry enforces its own share,
which the leader grants; without a grant it has none.
"""

import collections
import dataclasses

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.fleet import shares

# Leaves a margin, as each entry rounds its share at random and the total
# varies around the bound.
COLD_SAFETY_FACTOR = 0.6
# Leaves a margin, as entries do not see each other's retries as they happen.
RETRY_SAFETY_FACTOR = 0.8
LOG_PERIOD_S = 1.0
# A retry that is sent later than this after it was counted is counted anew.
# Opening a connection takes 0.4 s at most.
RETRY_VALID_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """A retry that was taken from the budget, and when."""

    service: str
    taken_at: float


class RetryBudget:
    """Limits the retries of each service within a sliding window.

    Within `window_s` seconds all entries together may retry `ratio` times
    the number of requests, plus `slack`. Each entry applies the ratio to
    its own requests, for which it needs to know nothing of the others, and
    takes its share of the slack.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        share: shares.ShareHolder,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        self._env = env
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._share = share
        self._request_times_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._retry_times_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._taken_by_service = collections.Counter()
        self._refused_by_service = collections.Counter()

    async def run(self) -> None:
        """Log the retries of each second until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=LOG_PERIOD_S):
            services = self._taken_by_service.keys() | (
                self._refused_by_service.keys()
            )
            for service in sorted(services):
                logs.log_event(
                    'retries_counted',
                    service=service,
                    taken=self._taken_by_service[service],
                    refused=self._refused_by_service[service],
                    requests_in_window=len(
                        self._request_times_by_service[service]
                    ),
                    retries_in_window=len(
                        self._retry_times_by_service[service]
                    ),
                    entries=self._share.entries,
                    share=self._share.fraction(self._window_s),
                )
            self._taken_by_service.clear()
            self._refused_by_service.clear()

    def note_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._drop_expired(self._request_times_by_service[service]).append(
            self._env.timer.now()
        )

    def take(self, service: str) -> Retry | None:
        """Count and return a retry, None if the budget allows none."""
        request_times = self._drop_expired(
            self._request_times_by_service[service]
        )
        retry_times = self._drop_expired(self._retry_times_by_service[service])
        allowed = RETRY_SAFETY_FACTOR * (
            self._ratio * len(request_times)
            + self._slack * self._share.fraction(self._window_s)
        )
        if len(retry_times) + 1 > allowed:
            self._refused_by_service[service] += 1
            self._env.metrics.count('retries_refused')
            return None
        retry = Retry(service=service, taken_at=self._env.timer.now())
        retry_times.append(retry.taken_at)
        self._taken_by_service[service] += 1
        self._env.metrics.count('retries')
        return retry

    def renew(self, retry: Retry) -> Retry | None:
        """Return a retry that may be sent now, None if there is none.

        One that was taken a while ago would reach its endpoint together with
        later ones, so it is given back and another one is taken.
        """
        if self._env.timer.now() - retry.taken_at <= RETRY_VALID_S:
            return retry
        self.give_back(retry)
        return self.take(retry.service)

    def give_back(self, retry: Retry) -> None:
        """Stop counting a retry that was not sent."""
        retry_times = self._retry_times_by_service[retry.service]
        if retry.taken_at in retry_times:
            retry_times.remove(retry.taken_at)

    def _drop_expired(
        self, times: collections.deque[float]
    ) -> collections.deque[float]:
        oldest = self._env.timer.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times


def cold_allowance(
    *,
    requests_per_s: float,
    overshoot: float,
    share: float,
    sent: int,
    draw: float,
) -> int:
    """Return how many more requests this entry may send to a cold endpoint.

    All entries together may send `overshoot` times `requests_per_s` within
    a second; `share` is this entry's, from 0 to 1. `sent` counts the requests
    that this entry sent within the last second. The fraction of a request
    in the share is granted with that probability: `draw` is a uniform random
    number from 0 to 1 that stays the same for a second. Without a limit,
    where `requests_per_s` is 0, the result is 1.
    """
    if requests_per_s <= 0:
        return 1
    allowed = COLD_SAFETY_FACTOR * requests_per_s * overshoot * share
    whole = int(allowed)
    return whole + (draw < allowed - whole) - sent
