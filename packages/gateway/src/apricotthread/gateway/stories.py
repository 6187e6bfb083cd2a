"""The decisions made about one request, written out if it fails."""

import typing

from apricotthread.base import environment
from apricotthread.base import logs

SUCCESS_LINE_EVERY = 200  # of answered requests, one is written out


class RequestTrace:
    """Collects what was decided about a request, and why."""

    def __init__(
        self, *, env: environment.Environment, request_id: str
    ) -> None:
        self._env = env
        self._request_id = request_id
        self._began_at = env.timer.now()
        self._lines: list[tuple[str, float, dict[str, typing.Any]]] = []

    def add(self, event: str, **inputs: typing.Any) -> None:
        """Remember one decision with the inputs that it was made by."""
        self._lines.append(
            (event, self._env.timer.now() - self._began_at, inputs)
        )

    def close(self, outcome: str, *, failed: bool) -> None:
        """Write the decisions of a failed request, or of a sampled one."""
        metrics = self._env.metrics
        metrics.count(f'requests_{outcome}')
        answered = metrics.count_by_name['requests_answered']
        if not failed and answered % SUCCESS_LINE_EVERY != 1:
            logs.count_left_out(len(self._lines) + 1)
            return
        for event, after_s, inputs in self._lines:
            logs.log_event(
                event,
                request=self._request_id,
                after_ms=int(after_s * 1000),
                **inputs,
            )
        logs.log_event(
            'request_ended',
            request=self._request_id,
            outcome=outcome,
            after_ms=int((self._env.timer.now() - self._began_at) * 1000),
        )
