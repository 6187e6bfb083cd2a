"""Notes what this entry sees of groups, and tells the control nodes."""

import asyncio
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.endpoints import connections
from apricotthread.fleet import evidence
from apricotthread.fleet import view
from apricotthread.gateway import loads
from apricotthread.nodes import membership
from apricotthread.nodes import messages

REPORT_PERIOD_S = 0.5
URGENT_PERIOD_S = 0.05  # when a group has stalled just now
REPLY_TIMEOUT_S = 0.4  # longer than the control node waits for the leader
OLDEST_SIGHT_S = 3.0
REACH_TIMEOUT_S = 0.5  # a VM that is up accepts within milliseconds
GAP_WEIGHT = 0.1  # of the newest gap in the mean of a group
LEAST_GAPS = 10  # about one answer
LEAST_PEERS = 3
LEAST_SLOW_GAP_S = 0.1  # a full group takes half of that
EJECT_S = 1.0  # a group that stalls gets nothing new for this time


@dataclasses.dataclass(kw_only=True)
class _Sight:
    progressed_at: float = evidence.NEVER
    stalled_at: float = evidence.NEVER
    unreachable_at: float = evidence.NEVER
    model: str = ''
    gap_s: float = 0.0
    gaps: int = 0


class GroupMonitor:
    """The newest moments of progress, stalls and failed connections."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        members: membership.Membership,
        pool: connections.ConnectionPool,
        data_centre: str,
        fleet: view.FleetView,
        load_table: loads.LoadTable,
    ) -> None:
        self._env = env
        self._members = members
        self._pool = pool
        self._data_centre = data_centre
        self._fleet = fleet
        self._loads = load_table
        self._sight_by_group: dict[tuple[str, int], _Sight] = {}
        self._reaching: dict[str, asyncio.Task] = {}
        self.has_callers = False
        self._is_urgent = asyncio.Event()

    def _of(self, replica: view.Replica) -> _Sight:
        return self._sight_by_group.setdefault(
            (replica.group_id, replica.epoch), _Sight()
        )

    def note_progress(self, replica: view.Replica, gap_s: float) -> None:
        """Remember that a group has sent a part of an answer, after a gap."""
        sight = self._of(replica)
        sight.progressed_at = self._env.timer.now()
        sight.model = replica.model
        sight.gaps += 1
        weight = max(GAP_WEIGHT, 1 / sight.gaps)
        sight.gap_s += (gap_s - sight.gap_s) * weight

    def slowness(self, replica: view.Replica) -> float:
        """Return how slow a group is against its peers, at least 1."""
        sight = self._sight_by_group.get((replica.group_id, replica.epoch))
        return 1.0 if sight is None else self._slowness(sight)

    def _slowness(self, sight: _Sight) -> float:
        if sight.gaps < LEAST_GAPS or sight.gap_s < LEAST_SLOW_GAP_S:
            return 1.0
        peers = sorted(
            other.gap_s
            for other in self._sight_by_group.values()
            if other.model == sight.model and other.gaps >= LEAST_GAPS
        )
        if len(peers) < LEAST_PEERS:
            return 1.0
        return max(1.0, sight.gap_s / peers[len(peers) // 2])

    def note_stall(self, replica: view.Replica) -> None:
        """Remember that a group has gone silent; see if its head is up."""
        sight = self._of(replica)
        now = self._env.timer.now()
        if now - sight.stalled_at > EJECT_S:
            logs.log_event(
                'group_stalled',
                group=replica.group_id,
                epoch=replica.epoch,
                endpoint=replica.endpoint_id,
            )
        sight.stalled_at = now
        self._is_urgent.set()
        if replica.address not in self._reaching:
            task = asyncio.create_task(self._reach(replica, sight))
            self._reaching[replica.address] = task
            task.add_done_callback(
                lambda _: self._reaching.pop(replica.address, None)
            )

    async def _reach(self, replica: view.Replica, sight: _Sight) -> None:
        """Open a connection to a head, to tell a dead one from a slow one."""
        try:
            async with self._env.timer.timeout(REACH_TIMEOUT_S):
                connection = await self._pool.open_new(replica.address)
        except (connections.ConnectionLost, TimeoutError):
            sight.unreachable_at = self._env.timer.now()
            self._is_urgent.set()
            logs.log_event(
                'head_unreachable',
                group=replica.group_id,
                endpoint=replica.endpoint_id,
            )
        else:
            connection.close()

    def is_stalled(self, replica: view.Replica) -> bool:
        """Whether a group has stalled just now and not gone on since."""
        sight = self._sight_by_group.get((replica.group_id, replica.epoch))
        if sight is None or sight.progressed_at > sight.stalled_at:
            return False
        return self._env.timer.now() - sight.stalled_at < EJECT_S

    def is_progressing(self, replica: view.Replica) -> bool:
        """Whether this entry has seen a group make progress just now."""
        sight = self._sight_by_group.get((replica.group_id, replica.epoch))
        if sight is None:
            return False
        return self._env.timer.now() - sight.progressed_at < EJECT_S

    async def run(self) -> None:
        """Send reports to the leader until cancelled.

        They go through a control node, the next one if it does not answer.
        """
        while True:
            try:
                async with self._env.timer.timeout(REPORT_PERIOD_S):
                    await self._is_urgent.wait()
            except TimeoutError:
                pass  # the time of a usual report has come
            self._is_urgent.clear()
            report = self._make_report(self._env.timer.now())
            payload = evidence.encode_report(report)
            await self._send(messages.Evidence(payload=payload))
            await self._env.timer.sleep(URGENT_PERIOD_S)

    async def _send(self, report: messages.Evidence) -> None:
        for link in list(self._members.link_by_id.values()):
            if not link.peer.is_voter or not link.is_connected:
                continue
            reply = await link.try_call(report, timeout_s=REPLY_TIMEOUT_S)
            if isinstance(reply, messages.EvidenceReply):
                self._take_sums(reply.payload)
            if reply is not None:
                return
        logs.log_event('report_lost')

    def _take_sums(self, payload: bytes) -> None:
        """Take the work of all entries, as the leader knows it."""
        try:
            in_flight_by_id = evidence.decode_sums(payload)
        except msgspec.DecodeError as error:
            logs.log_event('sums_broken', reason=str(error))
            return
        self._loads.apply_in_flight_sums(
            in_flight_by_id, self._fleet.endpoint_ids_by_model()
        )

    def _make_report(self, now: float) -> evidence.EntryReport:
        groups = []
        for key, sight in list(self._sight_by_group.items()):
            newest = max(
                sight.progressed_at, sight.stalled_at, sight.unreachable_at
            )
            if now - newest > OLDEST_SIGHT_S:
                del self._sight_by_group[key]
                continue
            groups.append(
                evidence.GroupSight(
                    group_id=key[0],
                    epoch=key[1],
                    progress_age_s=_age(now, sight.progressed_at),
                    stall_age_s=_age(now, sight.stalled_at),
                    unreachable_age_s=_age(now, sight.unreachable_at),
                    slowness=self._slowness(sight),
                )
            )
        return evidence.EntryReport(
            entry_id=self._members.own.node_id,
            data_centre=self._data_centre,
            has_callers=self.has_callers,
            groups=tuple(groups),
            in_flight=self._loads.report_in_flight(),
        )


def _age(now: float, moment: float) -> float | None:
    age_s = now - moment
    return age_s if age_s <= OLDEST_SIGHT_S else None
