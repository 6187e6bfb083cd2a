"""HTTP routes for health checks by load balancers, and for metrics."""

import collections.abc

from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import metrics

METRICS_TYPE = 'text/plain; version=0.0.4'


def make_health_routes(
    *, why_not_ready: collections.abc.Callable[[], str]
) -> list[routing.Route]:
    """Return the routes /livez and /readyz.

    `why_not_ready` returns the reason, or an empty string if the node is
    ready.
    """

    async def check_live(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('live\n')

    async def check_ready(request: requests.Request) -> responses.Response:
        reason = why_not_ready()
        if reason:
            return responses.PlainTextResponse(
                f'not ready: {reason}\n', status_code=503
            )
        return responses.PlainTextResponse('ready\n')

    return [
        routing.Route('/livez', check_live),
        routing.Route('/readyz', check_ready),
    ]


def make_metrics_route(
    *,
    process_metrics: metrics.Metrics,
    refresh: collections.abc.Callable[[], None],
    path: str = '/metrics',
) -> routing.Route:
    """Return the route of metrics, which calls `refresh` to set the gauges."""

    async def show_metrics(request: requests.Request) -> responses.Response:
        refresh()
        return responses.PlainTextResponse(
            process_metrics.render(), media_type=METRICS_TYPE
        )

    return routing.Route(path, show_metrics)
