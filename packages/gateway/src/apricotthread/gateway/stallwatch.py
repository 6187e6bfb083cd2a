"""Closes the connections of attempts whose endpoints have stalled."""

import collections.abc
import dataclasses
import enum

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.endpoints import connections
from apricotthread.fleet import view
from apricotthread.gateway import exposures
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import loads

CHECK_PERIOD_S = 0.1
# A check that is later than this shows that the process was paused.
MAX_LATE_S = 0.1
# An attempt is closed after this silence of its stream and of its group. A
# serving group sends an event of each stream every 50 to 90 ms.
SILENT_GROUP_S = 0.7
# After this silence of a group it is reported, so that the leader checks the
# group's members before the attempt is closed.
PAUSED_GROUP_S = 0.3
# An attempt at a replica that was lost is closed after this silence, as only
# data that is still in transit may come.
LOST_REPLICA_S = 0.25
# An endpoint may say that it is gone and still finish its requests. After
# this silence, a caller at a lost replica is told to ask again.
LOST_SILENCE_S = 1.5
# A caller has left so long after its patience has ended.
LEAVING_S = 0.5
# How often another endpoint is looked for while none has room.
RESERVE_PERIOD_S = 0.3
# A slow group is sound while it sends its events at this many times their
# usual distance, or sooner.
SILENT_GROUP_GAPS = 4.0
# A resumption takes a few hundred milliseconds. So much before a caller's
# patience ends, an attempt is closed for the silence of its stream alone.
RESUMPTION_S = 0.5


class Stall(enum.Enum):
    """Why an attempt counts as stalled."""

    LOST = 'the replica was lost'
    CALLER = 'the caller waits no longer'
    GROUP = 'the endpoint has gone silent'
    SLOW_ANSWER = 'the endpoint is slow'


@dataclasses.dataclass(kw_only=True, eq=False)
class Attempt:
    """A request sent to an endpoint, which may be resumed at another one.

    `first_event_s` is the predicted time to the first event, `patience_s`
    how long the caller waits for an event, and `progressed_at` the time of
    the last complete event. Bytes that complete no event are no progress.
    `reserve_retry` reserves another endpoint for the request if it may go on
    there, and returns whether it may. A call has no events; `answer_within_s`
    is the time that its whole answer may take.
    """

    connection: connections.EndpointConnection
    replica: view.Replica
    started_at: float
    first_event_s: float
    patience_s: float
    reserve_retry: collections.abc.Callable[[], bool]
    answer_within_s: float | None = None
    # The time of the first complete event.
    begun_at: float | None = None
    exposure: exposures.Exposure | None = None
    progressed_at: float | None = None
    # While the caller does not read, the endpoint may be unable to send.
    is_caller_slow: bool = False
    # When to look next for another endpoint.
    reserve_from: float = 0.0
    stall: Stall | None = None

    def silent_s(self, now: float) -> float:
        """Return for how long no event has come, in seconds."""
        if self.progressed_at is None:
            return now - self.started_at
        return now - self.progressed_at


class StallWatch:
    """Finds stalled attempts and closes their connections."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        load_table: loads.LoadTable,
        observations: groupmonitor.GroupMonitor,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._loads = load_table
        self._group_monitor = observations
        self._attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Start watching an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def run(self) -> None:
        """Check for stalled attempts until cancelled.

        A sound endpoint may fall silent and go on. So an attempt is closed
        only if its request can go on elsewhere, if its replica was lost, or
        if its caller has left.
        """
        last_check_at = self._env.timer.now()
        was_left_out = False
        async for now in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            is_late = now - last_check_at - CHECK_PERIOD_S > MAX_LATE_S
            last_check_at = now
            if is_late and not was_left_out:
                # What endpoints sent meanwhile is read before the next check.
                was_left_out = True
                continue
            was_left_out = False
            for attempt in list(self._attempts):
                with logs.contain_bug(
                    'stall_check_broke',
                    self._env.metrics,
                    endpoint=attempt.replica.endpoint_id,
                ):
                    self._check(attempt, now)

    def _check(self, attempt: Attempt, now: float) -> None:
        stall = self._find_stall(attempt, now)
        if stall is not None and self._may_give_up(attempt, stall, now):
            attempt.stall = stall
            attempt.connection.close()
        elif attempt.replica.group_id and self._has_paused(attempt, now):
            self._group_monitor.note_stall(attempt.replica)

    def _may_give_up(self, attempt: Attempt, stall: Stall, now: float) -> bool:
        """Whether a stalled attempt may be closed.

        One whose request can not go on elsewhere is closed in the end, too:
        at a lost replica while its caller can still ask again, and at any
        other once its caller has left.
        """
        if now >= attempt.reserve_from:
            attempt.reserve_from = now + RESERVE_PERIOD_S
            if attempt.reserve_retry():
                return True
        match stall:
            case Stall.SLOW_ANSWER:
                return False
            case Stall.LOST:
                return attempt.silent_s(now) > LOST_SILENCE_S
        return attempt.silent_s(now) > attempt.patience_s + LEAVING_S

    def _has_paused(self, attempt: Attempt, now: float) -> bool:
        """Whether a group has paused after it began to answer an attempt."""
        last_byte_at = self._loads.get_load(
            attempt.replica.endpoint_id
        ).last_byte_at
        return (
            attempt.progressed_at is not None
            and not attempt.is_caller_slow
            and now - last_byte_at > PAUSED_GROUP_S
        )

    def _find_stall(self, attempt: Attempt, now: float) -> Stall | None:
        """Return why an attempt has been silent for too long, None if not.

        Before the first data, the predicted time to the first event is
        allowed in addition.
        """
        silent_s = attempt.silent_s(now)
        if attempt.answer_within_s is not None:
            is_slow = silent_s > attempt.answer_within_s
            return Stall.SLOW_ANSWER if is_slow else None
        if attempt.is_caller_slow or silent_s < LOST_REPLICA_S:
            return None
        if self._fleet.is_lost(attempt.replica):
            return Stall.LOST
        has_begun = attempt.progressed_at is not None
        first_event_s = 0.0 if has_begun else attempt.first_event_s
        if silent_s > attempt.patience_s - RESUMPTION_S + first_event_s:
            return Stall.CALLER
        allowed_silence_s = first_event_s + max(
            SILENT_GROUP_S,
            SILENT_GROUP_GAPS * self._group_monitor.gap_s(attempt.replica),
        )
        group_silent_s = now - max(
            self._loads.get_load(attempt.replica.endpoint_id).last_byte_at,
            attempt.started_at,
        )
        if silent_s > allowed_silence_s and group_silent_s > allowed_silence_s:
            return Stall.GROUP
        return None
