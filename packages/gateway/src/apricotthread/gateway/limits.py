"""Limits that endpoints name, as this entry knows them.

An endpoint in need names in its answers how many requests a second it takes
from all entries together, for as long as it says so.
"""

import collections
import dataclasses

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.fleet import view
from apricotthread.gateway import requests

LOG_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownLimit:
    """The limit of an incarnation of an endpoint, 0 if it names none.

    `observed_at` is when the request was sent whose answer said so.
    """

    born_ms: int
    limit_per_s: float
    observed_at: float


class LimitTable:
    """Keeps the limits of endpoints by id, and counts what they are sent."""

    def __init__(
        self, *, env: environment.Environment, fleet: view.FleetView
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._known_by_id: dict[str, KnownLimit] = {}
        self._sent_by_id = collections.Counter()

    async def run(self) -> None:
        """Log what limited endpoints got in each second until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=LOG_PERIOD_S):
            for endpoint_id, sent in sorted(self._sent_by_id.items()):
                logs.log_event(
                    'limited_endpoint_sent',
                    endpoint=endpoint_id,
                    sent=sent,
                    limit_per_s=self.find_limit(endpoint_id),
                )
            self._sent_by_id.clear()

    def observe(
        self,
        endpoint_id: str,
        answer: requests.AnswerMetadata,
        *,
        sent_at: float,
    ) -> None:
        """Take over what an answer says to a request that was sent then.

        Only an answer that the endpoint has signed ends a limit.
        """
        if answer.is_limit_odd:
            self._env.metrics.count('odd_limits')
            logs.log_event('limit_odd', endpoint=endpoint_id)
            return
        if answer.limit_per_s is None and (
            not answer.is_sealed or not self.find_limit(endpoint_id)
        ):
            return
        endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        self.take_over(
            endpoint_id,
            KnownLimit(
                born_ms=endpoint.announced.born_ms,
                limit_per_s=answer.limit_per_s or 0.0,
                observed_at=sent_at,
            ),
            source='answer',
        )

    def take_over(
        self, endpoint_id: str, limit: KnownLimit, *, source: str
    ) -> None:
        """Replace what is known of an endpoint by something newer."""
        known = self._known_by_id.get(endpoint_id)
        if known is not None and (limit.born_ms, limit.observed_at) < (
            known.born_ms,
            known.observed_at,
        ):
            return
        self._known_by_id[endpoint_id] = limit
        before = known.limit_per_s if known is not None else 0.0
        if limit.limit_per_s != before:
            logs.log_event(
                'limit_changed',
                endpoint=endpoint_id,
                before=before,
                limit_per_s=limit.limit_per_s,
                age_s=self._env.timer.now() - limit.observed_at,
                source=source,
            )

    def find_limit(self, endpoint_id: str) -> float:
        """Return the limit that an endpoint names at present, 0 for none."""
        known = self._known_by_id.get(endpoint_id)
        if known is None or not known.limit_per_s:
            return 0.0
        endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint.announced.born_ms != known.born_ms:
            return 0.0
        return known.limit_per_s

    def note_sent(self, endpoint_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        if self.find_limit(endpoint_id):
            self._sent_by_id[endpoint_id] += 1
