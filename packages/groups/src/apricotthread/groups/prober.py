"""Asks members of doubtful groups whether they are still there."""

import asyncio
import collections
import collections.abc
import typing

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.control import ledger
from apricotthread.control import replica
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence

CHECK_PERIOD_S = 0.1
PROBE_TIMEOUT_S = 0.3  # a VM that is up answers within milliseconds
FAILURES_FOR_LOST = 2
DOUBT_S = 1.0  # how long a stall that was seen casts doubt on a group
# One missed heartbeat of the platform's workers (1.2 s) and its way.
SILENT_S = 1.6


class EndpointProbe(typing.Protocol):
    """Asks an endpoint for a sign of life."""

    async def is_there(
        self, told: directory.Announcement, *, timeout_s: float
    ) -> bool:
        """Whether the endpoint, in the same life, answers in time."""


class Prober:
    """Probes while this node leads; most members are never asked.

    Members are asked when an entry saw their group stall, and when they
    have missed a heartbeat.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        agreed: replica.Replica,
        endpoints: directory.Directory,
        seen: evidence.EvidenceStore,
        probe: EndpointProbe,
    ) -> None:
        self._env = env
        self._agreed = agreed
        self._endpoints = endpoints
        self._seen = seen
        self._probe = probe
        self._failures = collections.Counter()
        self._asked_at: dict[str, float] = {}
        self._running: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probe doubtful members until cancelled."""
        async for now in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            if not self._agreed.holds_lease():
                continue
            groups = self._agreed.state.content.group_ledger.groups()
            self._seen.keep_only({(g.group_id, g.fencing) for g in groups})
            for endpoint_id in self._find_doubtful(groups, now):
                self._start(endpoint_id, now)

    def _find_doubtful(
        self, groups: collections.abc.Iterable[ledger.Group], now: float
    ) -> set[str]:
        doubtful = set()
        for group in groups:
            seen = self._seen.of(group.group_id, group.fencing)
            has_stalled = (
                now - seen.stalled_at < DOUBT_S
                and seen.stalled_at > seen.progressed_at
            )
            works = now - seen.progressed_at < DOUBT_S
            for member in group.members:
                entry = self._endpoints.entry_by_id.get(member.endpoint_id)
                if entry is None or entry.lost or entry.gone:
                    continue
                is_silent = now - entry.heard_at > SILENT_S and not works
                if has_stalled or is_silent:
                    doubtful.add(member.endpoint_id)
        return doubtful

    def _start(self, endpoint_id: str, now: float) -> None:
        asked_at = self._asked_at.get(endpoint_id, float('-inf'))
        if now - asked_at < PROBE_TIMEOUT_S + CHECK_PERIOD_S / 2:
            return
        self._asked_at[endpoint_id] = now
        task = asyncio.create_task(self._ask(endpoint_id))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _ask(self, endpoint_id: str) -> None:
        entry = self._endpoints.entry_by_id[endpoint_id]
        heard_at = entry.heard_at
        self._env.metrics.count('member_probes')
        if await self._probe.is_there(
            entry.announcement, timeout_s=PROBE_TIMEOUT_S
        ):
            self._failures.pop(endpoint_id, None)
            return
        if entry.heard_at > heard_at:
            return
        self._failures[endpoint_id] += 1
        logs.log_event(
            'member_silent',
            endpoint=endpoint_id,
            failures=self._failures[endpoint_id],
            heard_ms_ago=int((self._env.timer.now() - heard_at) * 1000),
        )
        if self._failures[endpoint_id] >= FAILURES_FOR_LOST:
            del self._failures[endpoint_id]
            self._endpoints.mark_silent(endpoint_id)
