"""Records the decisions about a request and logs them if it fails."""

import typing

from apricotthread.base import environment
from apricotthread.base import logs

SUCCESS_LINE_EVERY = 200  # logs one of this many answered requests


class RequestTrace:
    """Collects the decisions about one request, with their reasons."""

    def __init__(
        self, *, env: environment.Environment, request_id: str
    ) -> None:
        self._env = env
        self._request_id = request_id
        self._started_at = env.timer.now()
        self._decisions: list[tuple[str, float, dict[str, typing.Any]]] = []

    def add(self, event: str, **fields: typing.Any) -> None:
        """Record a decision with the values that it was based on."""
        self._decisions.append(
            (event, self._env.timer.now() - self._started_at, fields)
        )

    def close(self, outcome: str, *, failed: bool) -> None:
        """End the trace; log it if the request failed or is sampled.

        Of requests that did not fail, one in SUCCESS_LINE_EVERY is logged.
        """
        metrics = self._env.metrics
        metrics.count(f'requests_{outcome}')
        answered = metrics.count_by_name['requests_answered']
        if not failed and answered % SUCCESS_LINE_EVERY != 1:
            logs.count_unsampled(len(self._decisions) + 1)
            return
        for event, after_s, fields in self._decisions:
            logs.log_event(
                event,
                request=self._request_id,
                after_ms=int(after_s * 1000),
                **fields,
            )
        logs.log_event(
            'request_ended',
            request=self._request_id,
            outcome=outcome,
            after_ms=int((self._env.timer.now() - self._started_at) * 1000),
        )
