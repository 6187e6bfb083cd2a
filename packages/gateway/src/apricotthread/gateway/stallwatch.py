"""Breaks off attempts at endpoints that have gone silent."""

import dataclasses

from apricotthread.base import environment
from apricotthread.endpoints import connections
from apricotthread.fleet import view
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import loads

CHECK_PERIOD_S = 0.1
# A serving group sends an event of each stream every 50 to 90 ms.
SILENT_GROUP_S = 0.7
# The leader is asked to look after the group's members before that.
DOUBTFUL_GROUP_S = 0.3
# Once the group is known to be broken, only what is on its way counts.
BROKEN_GROUP_S = 0.25
# Callers leave after a pause of two seconds (the platform's protocol); a
# resumption takes a few hundred milliseconds of that.
SILENT_STREAM_S = 1.5


@dataclasses.dataclass(kw_only=True, eq=False)
class Attempt:
    """A request at an endpoint, whose answer may be taken up elsewhere."""

    connection: connections.EndpointConnection
    replica: view.Replica
    started_at: float
    first_event_s: float
    # The caller does not read, so the endpoint may not send.
    caller_is_slow: bool = False
    stalled: bool = False


class StallWatch:
    """Closes the connections of attempts that will not go on."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        load_table: loads.LoadTable,
        seen: groupmonitor.GroupMonitor,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._loads = load_table
        self._seen = seen
        self._attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Watch an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def run(self) -> None:
        """Look for stalled attempts until cancelled."""
        async for now in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            for attempt in list(self._attempts):
                if not attempt.caller_is_slow and self._is_stalled(
                    attempt, now
                ):
                    attempt.stalled = True
                    attempt.connection.close()
                elif attempt.replica.group_id and self._is_doubtful(
                    attempt, now
                ):
                    self._seen.note_stall(attempt.replica)

    def _is_doubtful(self, attempt: Attempt, now: float) -> bool:
        """Whether a group that was at work has stopped sending."""
        last_byte_at = self._loads.get_load(
            attempt.replica.endpoint_id
        ).last_byte_at
        return (
            attempt.connection.received_at >= attempt.started_at
            and not attempt.caller_is_slow
            and now - last_byte_at > DOUBTFUL_GROUP_S
        )

    def _is_stalled(self, attempt: Attempt, now: float) -> bool:
        heard_at = max(attempt.connection.received_at, attempt.started_at)
        silent_s = now - heard_at
        if silent_s < BROKEN_GROUP_S:
            return False
        has_begun = attempt.connection.received_at >= attempt.started_at
        if not self._fleet.is_replica(attempt.replica):
            known = self._fleet.endpoint_by_id.get(attempt.replica.endpoint_id)
            leaves = known is not None and known.told.leaving
            if not leaves or silent_s > SILENT_GROUP_S:
                return True
        patience_s = SILENT_GROUP_S
        if not has_begun:
            patience_s += attempt.first_event_s
        if silent_s > SILENT_STREAM_S + (
            0 if has_begun else attempt.first_event_s
        ):
            return True
        group_silent_s = now - max(
            self._loads.get_load(attempt.replica.endpoint_id).last_byte_at,
            attempt.started_at,
        )
        return silent_s > patience_s and group_silent_s > patience_s
