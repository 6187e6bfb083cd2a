"""Observes the progress of groups and reports it to the control nodes."""

import asyncio
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.endpoints import connections
from apricotthread.fleet import crashreports
from apricotthread.fleet import evidence
from apricotthread.fleet import limits as fleet_limits
from apricotthread.fleet import shares
from apricotthread.fleet import view
from apricotthread.gateway import exposures
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import standings
from apricotthread.nodes import membership
from apricotthread.nodes import messages

REPORT_PERIOD_S = 0.5
URGENT_PERIOD_S = 0.05  # shortest time between reports, after a stall
ALERT_REPORTS_PER_S = 200.0  # from all entries together, after crashes
REPLY_TIMEOUT_S = 0.4  # longer than the control node waits for the leader
MAX_OBSERVATION_AGE_S = 3.0
HEAD_CHECK_TIMEOUT_S = 0.5  # a VM that is up accepts within milliseconds
GAP_WEIGHT = 0.1  # least weight of the newest gap in the moving average
MIN_GAPS = 10  # about the gaps of one answer
MIN_PEERS = 3
MIN_SLOW_GAP_S = 0.1  # twice the gap of a fully loaded group
# A group that has stalled is the last choice for new requests for this time.
EJECT_S = 1.0


@dataclasses.dataclass(kw_only=True)
class _Observation:
    """What this entry has observed of a group.

    `gap_s` is the moving average of the time between two parts of an
    answer, and `gap_count` how many of these gaps were observed.
    """

    progressed_at: float = evidence.NEVER
    stalled_at: float = evidence.NEVER
    unreachable_at: float = evidence.NEVER
    model: str = ''
    gap_s: float = 0.0
    gap_count: int = 0


class GroupMonitor:
    """Keeps when groups made progress, stalled or were unreachable.

    Reports these times and the entry's requests in flight to the leader,
    which renews the entry's share and its permits in reply.
    `has_callers` says whether any caller's request has come to the entry.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        members: membership.Membership,
        data_centre: str,
        fleet: view.FleetView,
        load_table: loads.LoadTable,
        exposure_monitor: exposures.ExposureMonitor,
        limit_table: limits.LimitTable,
        standing_table: standings.StandingTable,
        share: shares.ShareHolder,
    ) -> None:
        self._env = env
        self._limits = limit_table
        self._standings = standing_table
        self._members = members
        self._exposures = exposure_monitor
        self._share = share
        self._data_centre = data_centre
        self._fleet = fleet
        self._loads = load_table
        self._observation_by_group: dict[tuple[str, int], _Observation] = {}
        self._head_check_by_address: dict[str, asyncio.Task] = {}
        self.has_callers = False
        self._urgent_report_event = asyncio.Event()
        exposure_monitor.subscribe(self._urgent_report_event.set)
        limit_table.subscribe(self._urgent_report_event.set)
        standing_table.subscribe(self._urgent_report_event.set)

    def _get_observation(self, replica: view.Replica) -> _Observation:
        return self._observation_by_group.setdefault(
            (replica.group_id, replica.epoch), _Observation()
        )

    def note_progress(self, replica: view.Replica, gap_s: float) -> None:
        """Record that a group has sent a part of an answer, after a gap."""
        observation = self._get_observation(replica)
        observation.progressed_at = self._env.timer.now()
        observation.model = replica.model
        observation.gap_count += 1
        weight = max(GAP_WEIGHT, 1 / observation.gap_count)
        observation.gap_s += (gap_s - observation.gap_s) * weight

    def gap_s(self, replica: view.Replica) -> float:
        """Return the usual time between the events of a group, 0 if unknown.

        In seconds, as seen by this entry.
        """
        observation = self._observation_by_group.get(
            (replica.group_id, replica.epoch)
        )
        return 0.0 if observation is None else observation.gap_s

    def slowness(self, replica: view.Replica) -> float:
        """Return how many times slower a group is than its peers.

        The result is at least 1; it is 1 while too few gaps or peers are
        known.
        """
        observation = self._observation_by_group.get(
            (replica.group_id, replica.epoch)
        )
        return (
            1.0 if observation is None else self._compute_slowness(observation)
        )

    def _compute_slowness(self, observation: _Observation) -> float:
        if (
            observation.gap_count < MIN_GAPS
            or observation.gap_s < MIN_SLOW_GAP_S
        ):
            return 1.0
        peer_gaps_s = sorted(
            other.gap_s
            for other in self._observation_by_group.values()
            if other.model == observation.model and other.gap_count >= MIN_GAPS
        )
        if len(peer_gaps_s) < MIN_PEERS:
            return 1.0
        return max(1.0, observation.gap_s / peer_gaps_s[len(peer_gaps_s) // 2])

    def note_stall(self, replica: view.Replica) -> None:
        """Record that a group has gone silent; check if its head is up."""
        observation = self._get_observation(replica)
        now = self._env.timer.now()
        if now - observation.stalled_at > EJECT_S:
            logs.log_event(
                'group_stalled',
                group=replica.group_id,
                epoch=replica.epoch,
                endpoint=replica.endpoint_id,
            )
        observation.stalled_at = now
        self._urgent_report_event.set()
        if replica.address not in self._head_check_by_address:
            task = asyncio.create_task(self._check_head(replica, observation))
            self._head_check_by_address[replica.address] = task
            task.add_done_callback(
                lambda _: self._head_check_by_address.pop(
                    replica.address, None
                )
            )

    async def _check_head(
        self, replica: view.Replica, observation: _Observation
    ) -> None:
        """Connect to a head, to tell one that is down from a slow one."""
        try:
            async with self._env.timer.timeout(HEAD_CHECK_TIMEOUT_S):
                connection = await connections.open_connection(
                    self._env, replica.address
                )
        except (connections.ConnectionLost, TimeoutError):
            observation.unreachable_at = self._env.timer.now()
            self._urgent_report_event.set()
            logs.log_event(
                'head_unreachable',
                group=replica.group_id,
                endpoint=replica.endpoint_id,
            )
        else:
            connection.close()

    def is_stalled(self, replica: view.Replica) -> bool:
        """Whether a group has stalled lately and made no progress since."""
        observation = self._observation_by_group.get(
            (replica.group_id, replica.epoch)
        )
        if (
            observation is None
            or observation.progressed_at > observation.stalled_at
        ):
            return False
        return self._env.timer.now() - observation.stalled_at < EJECT_S

    def is_progressing(self, replica: view.Replica) -> bool:
        """Whether this entry has observed progress of a group lately."""
        observation = self._observation_by_group.get(
            (replica.group_id, replica.epoch)
        )
        if observation is None:
            return False
        return self._env.timer.now() - observation.progressed_at < EJECT_S

    async def run(self) -> None:
        """Send reports to the leader until cancelled.

        A report goes through a control node, and through the next one if
        that does not answer.
        """
        while True:
            try:
                async with self._env.timer.timeout(self._report_period_s()):
                    await self._urgent_report_event.wait()
            except TimeoutError:
                pass  # a regular report is due
            self._urgent_report_event.clear()
            report = self._make_report(self._env.timer.now())
            payload = evidence.encode_report(report)
            await self._send(messages.Evidence(payload=payload))
            await self._env.timer.sleep(
                max(URGENT_PERIOD_S, self._alert_period_s())
                if self._limits.has_demand
                else URGENT_PERIOD_S
            )

    def _report_period_s(self) -> float:
        """Return the time between reports.

        It is shorter after crashes, and while requests need permits.
        """
        if not (self._exposures.is_alert or self._limits.has_demand):
            return REPORT_PERIOD_S
        return self._alert_period_s()

    def _alert_period_s(self) -> float:
        """Return the time between reports while there is news.

        The leader gets no more than ALERT_REPORTS_PER_S, unless there are
        more entries than that allows.
        """
        if not self._share.entries:
            return REPORT_PERIOD_S
        return min(REPORT_PERIOD_S, self._share.entries / ALERT_REPORTS_PER_S)

    async def _send(self, report: messages.Evidence) -> None:
        for link in list(self._members.link_by_id.values()):
            if not link.peer.is_voter or not link.is_connected:
                continue
            sent_at = self._env.timer.now()
            reply = await link.try_call(report, timeout_s=REPLY_TIMEOUT_S)
            if isinstance(reply, messages.EvidenceReply):
                with logs.contain_bug('reply_broke', self._env.metrics):
                    self._apply_reply(reply, sent_at)
            if reply is not None:
                return
        logs.log_event('report_lost')

    def _apply_reply(
        self, reply: messages.EvidenceReply, sent_at: float
    ) -> None:
        self._apply_in_flight_sums(reply.payload)
        self._apply_quarantine(reply.quarantine)
        self._apply_share(reply.share, sent_at)
        self._apply_permits(reply.limits, sent_at)

    def _apply_in_flight_sums(self, payload: bytes) -> None:
        """Update the load table from the leader's sums over all entries."""
        try:
            in_flight_by_id = evidence.decode_in_flight(payload)
        except msgspec.DecodeError as error:
            logs.log_event('sums_broken', reason=str(error))
            return
        self._loads.apply_in_flight_sums(
            in_flight_by_id, self._fleet.endpoint_ids_by_model()
        )

    def _apply_quarantine(self, payload: bytes) -> None:
        """Update the quarantine; older leaders send nothing."""
        if not payload:
            return
        try:
            reply = crashreports.decode_reply(payload)
        except msgspec.DecodeError as error:
            logs.log_event('quarantine_broken', reason=str(error))
            return
        self._exposures.apply_reply(reply)

    def _apply_share(self, payload: bytes, sent_at: float) -> None:
        """Renew the lease on the share, unless the leader is uncertain."""
        if not payload:
            return
        try:
            grant = shares.decode_grant(payload)
        except msgspec.DecodeError as error:
            logs.log_event('share_broken', reason=str(error))
            return
        self._share.apply(grant, sent_at=sent_at)

    def _apply_permits(self, payload: bytes, sent_at: float) -> None:
        """Take the limits and permits, unless the leader is uncertain."""
        if not payload:
            return
        try:
            reply = fleet_limits.decode_reply(payload)
        except msgspec.DecodeError as error:
            logs.log_event('permits_broken', reason=str(error))
            return
        self._limits.apply_reply(reply, sent_at=sent_at)

    def _make_report(self, now: float) -> evidence.EntryReport:
        groups = []
        for key, observation in list(self._observation_by_group.items()):
            newest_at = max(
                observation.progressed_at,
                observation.stalled_at,
                observation.unreachable_at,
            )
            if now - newest_at > MAX_OBSERVATION_AGE_S:
                del self._observation_by_group[key]
                continue
            groups.append(
                evidence.GroupSight(
                    group_id=key[0],
                    epoch=key[1],
                    progress_age_s=_age_s(now, observation.progressed_at),
                    stall_age_s=_age_s(now, observation.stalled_at),
                    unreachable_age_s=_age_s(now, observation.unreachable_at),
                    slowness=self._compute_slowness(observation),
                )
            )
        return evidence.EntryReport(
            entry_id=self._members.own.node_id,
            data_centre=self._data_centre,
            has_callers=self.has_callers,
            groups=tuple(groups),
            in_flight=self._loads.report_in_flight(),
            crash_report=self._exposures.make_report(),
            share_claim=self._share.make_claim(),
            limit_report=self._limits.make_report(),
            leavers=self._standings.make_report(),
        )


def _age_s(now: float, observed_at: float) -> float | None:
    age_s = now - observed_at
    return age_s if age_s <= MAX_OBSERVATION_AGE_S else None
