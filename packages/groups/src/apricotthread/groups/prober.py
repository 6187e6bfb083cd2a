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
SLOW_PACE = 2.0
SLOW_PROBE_S = 1.0  # while a VM is known to be slow
DOUBT_S = 1.0  # how long a stall that was seen casts doubt on a group
# One missed heartbeat of the platform's workers (1.2 s) and its way.
SILENT_S = 1.6


class EndpointProbe(typing.Protocol):
    """Asks an endpoint for a sign of life."""

    async def ask_pace(
        self, told: directory.Announcement, *, timeout_s: float
    ) -> float | None:
        """Return how slow the endpoint says it is, 1 for usual.

        None if the endpoint, in the same life, does not answer in time.
        """


class Prober:
    """Probes while this node leads; most members are never asked.

    Members are asked when an entry saw their group stall, and when they
    have missed a heartbeat.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        endpoints: directory.Directory,
        seen: evidence.EvidenceStore,
        probe: EndpointProbe,
    ) -> None:
        self._env = env
        self._raft = raft
        self._endpoints = endpoints
        self._seen = seen
        self._probe = probe
        self._failures = collections.Counter()
        self.slow_ids: set[str] = set()
        self._asked_at: dict[str, float] = {}
        self._running: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probe doubtful members until cancelled."""
        async for now in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            if not self._raft.holds_lease():
                continue
            groups = self._raft.state.content.group_ledger.groups()
            self._seen.keep_only({(g.group_id, g.fencing) for g in groups})
            for endpoint_id in self._find_doubtful(groups, now):
                self._start(endpoint_id, now)

    def _find_doubtful(
        self, groups: collections.abc.Iterable[ledger.Group], now: float
    ) -> set[str]:
        doubtful = set()
        for group in groups:
            seen = self._seen.of(group.group_id, group.fencing)
            is_slow = now - seen.slow_at < DOUBT_S
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
                if has_stalled or is_silent or is_slow:
                    doubtful.add(member.endpoint_id)
        return doubtful | {
            name
            for name in self.slow_ids
            if name in self._endpoints.entry_by_id
        }

    def _start(self, endpoint_id: str, now: float) -> None:
        asked_at = self._asked_at.get(endpoint_id, float('-inf'))
        pause_s = PROBE_TIMEOUT_S + CHECK_PERIOD_S / 2
        if endpoint_id in self.slow_ids:
            pause_s = SLOW_PROBE_S
        if now - asked_at < pause_s:
            return
        self._asked_at[endpoint_id] = now
        task = asyncio.create_task(self._ask(endpoint_id))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _note_pace(self, endpoint_id: str, pace: float) -> None:
        """Remember who is slow, as a group is as slow as its slowest."""
        was_slow = endpoint_id in self.slow_ids
        is_slow = pace > (SLOW_PACE / 2 if was_slow else SLOW_PACE)
        if is_slow == was_slow:
            return
        logs.log_event(
            'member_slow' if is_slow else 'member_usual',
            endpoint=endpoint_id,
            pace=pace,
        )
        if is_slow:
            self.slow_ids.add(endpoint_id)
        else:
            self.slow_ids.discard(endpoint_id)

    async def _ask(self, endpoint_id: str) -> None:
        entry = self._endpoints.entry_by_id[endpoint_id]
        heard_at = entry.heard_at
        self._env.metrics.count('member_probes')
        pace = await self._probe.ask_pace(
            entry.announcement, timeout_s=PROBE_TIMEOUT_S
        )
        if pace is not None:
            self._failures.pop(endpoint_id, None)
            self._note_pace(endpoint_id, pace)
            return
        self.slow_ids.discard(endpoint_id)
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
