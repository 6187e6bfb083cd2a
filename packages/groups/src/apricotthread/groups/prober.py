"""Probes members of groups that may have failed or become slow."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import units
from apricotthread.control import ledger
from apricotthread.control import replica
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence

CHECK_PERIOD_S = 0.1
PROBE_TIMEOUT_S = 0.3  # a running VM answers within milliseconds
FAILURES_FOR_LOST = 2
# A sound VM may fall silent for a second or so. One that answers nothing is
# lost only after this silence; a refused connection needs no such wait.
SOUND_SILENCE_S = 2.0
SLOW_PACE = 2.0  # against the usual pace, 1
SLOW_PROBE_PERIOD_S = 1.0  # while a VM is known to be slow
SUSPICION_S = 1.0  # for how long an entry's report on a group counts
# One heartbeat period of the platform's workers (1.2 s) plus the network
# delay: a VM that is silent for longer has missed a heartbeat.
SILENT_S = 1.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pace:
    """The answer of an endpoint: 1 is usual, higher values are slower."""

    pace: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silence:
    """An endpoint has not answered in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A refused connection, or an answer that is no report.

    An endpoint that started later at the same address answers so, too.
    """


ProbeResult = Pace | Silence | Failure


class EndpointProbe(typing.Protocol):
    """Probes an endpoint."""

    async def fetch_pace(
        self, last_announcement: directory.Announcement, *, timeout_s: float
    ) -> ProbeResult:
        """Return what this incarnation of an endpoint answers."""


class Prober:
    """Probes suspected members of groups while this node is the leader.

    A member is probed when an entry saw its group stall or run slowly, when
    it missed a heartbeat while its group makes no progress, and while it is
    slow. Most members are never probed.

    `slow_ids` holds the members that are slow.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        endpoints: directory.Directory,
        observations: evidence.EvidenceStore,
        probe: EndpointProbe,
    ) -> None:
        self._env = env
        self._raft = raft
        self._endpoints = endpoints
        self._evidence_store = observations
        self._probe = probe
        self._failures_by_id = collections.Counter()
        self.slow_ids: set[str] = set()
        self._probed_at_by_id: dict[str, float] = {}
        # When the VM answered a probe, or its group made progress.
        self._worked_at_by_id: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probe suspected members until cancelled."""
        async for now in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            if not self._raft.holds_lease():
                continue
            with logs.contain_bug('probes_broke', self._env.metrics):
                self._probe_suspects(now)

    def _probe_suspects(self, now: float) -> None:
        groups = self._raft.state.content.group_ledger.groups()
        self._evidence_store.keep_only(
            {(g.group_id, g.fencing) for g in groups}
        )
        suspect_ids = self._find_suspects(groups, now)
        for endpoint_id in self._failures_by_id.keys() - suspect_ids:
            del self._failures_by_id[endpoint_id]
        for endpoint_id in suspect_ids:
            self._start_probe(endpoint_id, now)

    def _find_suspects(
        self, groups: collections.abc.Iterable[ledger.Group], now: float
    ) -> set[str]:
        suspect_ids = set()
        for group in groups:
            observations = self._evidence_store.get_evidence(
                group.group_id, group.fencing
            )
            is_slow = now - observations.slow_at < SUSPICION_S
            has_stalled = (
                now - observations.stalled_at < SUSPICION_S
                and observations.stalled_at > observations.progressed_at
            )
            makes_progress = now - observations.progressed_at < SUSPICION_S
            for member in group.members:
                self._note_work(member.endpoint_id, observations.progressed_at)
                record = self._endpoints.record_by_id.get(member.endpoint_id)
                if record is None or record.lost or record.gone:
                    continue
                is_silent = (
                    now - record.heard_at > SILENT_S and not makes_progress
                )
                if has_stalled or is_silent or is_slow:
                    suspect_ids.add(member.endpoint_id)
        return suspect_ids | {
            name
            for name in self.slow_ids
            if name in self._endpoints.record_by_id
        }

    def _note_work(self, endpoint_id: str, worked_at: float) -> None:
        known_at = self._worked_at_by_id.get(endpoint_id, evidence.NEVER)
        self._worked_at_by_id[endpoint_id] = max(known_at, worked_at)

    def _start_probe(self, endpoint_id: str, now: float) -> None:
        probed_at = self._probed_at_by_id.get(endpoint_id, float('-inf'))
        pause_s = PROBE_TIMEOUT_S + CHECK_PERIOD_S / 2
        if endpoint_id in self.slow_ids:
            pause_s = SLOW_PROBE_PERIOD_S
        if now - probed_at < pause_s:
            return
        self._probed_at_by_id[endpoint_id] = now
        task = asyncio.create_task(self._probe_endpoint(endpoint_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_pace(self, endpoint_id: str, pace: float) -> None:
        """Record slow members, as a group is as slow as its slowest one."""
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

    async def _probe_endpoint(self, endpoint_id: str) -> None:
        record = self._endpoints.record_by_id[endpoint_id]
        heard_at = record.heard_at
        self._env.metrics.count('member_probes')
        result = await self._probe.fetch_pace(
            record.announcement, timeout_s=PROBE_TIMEOUT_S
        )
        match result:
            case Pace(pace=pace):
                self._failures_by_id.pop(endpoint_id, None)
                self._note_work(endpoint_id, self._env.timer.now())
                self._record_pace(endpoint_id, pace)
                return
            case Silence():
                allowed_silence_s = SOUND_SILENCE_S
            case Failure():
                allowed_silence_s = 0.0
        self.slow_ids.discard(endpoint_id)
        if record.heard_at > heard_at:
            return
        self._failures_by_id[endpoint_id] += 1
        silent_s = self._env.timer.now() - max(
            heard_at, self._worked_at_by_id.get(endpoint_id, evidence.NEVER)
        )
        logs.log_event(
            'member_silent',
            endpoint=endpoint_id,
            failures=self._failures_by_id[endpoint_id],
            silent_ms=int(silent_s * units.MS_PER_S),
        )
        if (
            self._failures_by_id[endpoint_id] >= FAILURES_FOR_LOST
            and silent_s >= allowed_silence_s
        ):
            del self._failures_by_id[endpoint_id]
            self._endpoints.mark_silent(endpoint_id)
