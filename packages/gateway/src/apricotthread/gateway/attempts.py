"""Attempts at endpoints: their connections, their load, how they fail."""

import dataclasses

from apricotthread.base import environment
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import exposures
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import placement
from apricotthread.gateway import requests
from apricotthread.gateway import standings


# An endpoint that breaks off sooner did so as it began to answer.
BEGINNING_S = 0.5


@dataclasses.dataclass(kw_only=True)
class AttemptFailure(Exception):
    """An attempt that gave no complete, valid answer.

    `not_run` says that the endpoint certainly did not run the request.
    """

    reason: str
    not_run: bool = False
    # The endpoint has answered that it did not run the request.
    is_refusal: bool = False
    # A whole answer, sealed by the endpoint, that may be passed on as it is.
    answer: answerreader.Answer | None = None
    body: bytes = b''
    # The endpoint has ended or was cut off, so the attempt does not count.
    is_endpoint_lost: bool = False
    # The answer has stalled, or ended where it could not be whole.
    is_broken_off: bool = False


@dataclasses.dataclass(kw_only=True)
class AttemptState:
    """The attempts at one request so far."""

    attempts: int = 0
    # Whether the request has been sent to any endpoint.
    was_sent: bool = False
    may_have_run: bool = False
    tried_endpoint_ids: set[str] = dataclasses.field(default_factory=set)
    last_endpoint_id: str = ''
    # How long the last endpoint had been sending events, in seconds.
    answered_for_s: float | None = None
    exposure: exposures.Exposure | None = None
    # Refusals that do not count as attempts.
    refusals: int = 0
    # How many endpoints broke off as they began to answer.
    broken_off: int = 0
    # Where the request goes on once its present attempt is given up. It is
    # counted there already.
    reserved: placement.Choice | None = None
    is_counted: bool = False
    # The endpoint that was given up for the reserved one.
    given_up: placement.Choice | None = None
    # A retry that was taken from the budget and is not sent yet.
    unsent_retry: budgets.Retry | None = None
    # A permit that is reserved for the next endpoint and not used yet.
    permit: limits.Permit | None = None

    def give_back_permit(self, limit_table: limits.LimitTable) -> None:
        """Return the permit that is not used, if there is one."""
        if self.permit is not None:
            limit_table.give_back(self.permit)
            self.permit = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAccess:
    """What attempts need to reach endpoints and to record what they did."""

    env: environment.Environment
    fleet: view.FleetView
    pool: connections.ConnectionPool
    dialect: requests.Dialect
    loads: loads.LoadTable
    limits: limits.LimitTable
    standings: standings.StandingTable
    budget: budgets.RetryBudget
    group_monitor: groupmonitor.GroupMonitor
    exposure_monitor: exposures.ExposureMonitor

    def note_failure(self, replica: view.Replica) -> None:
        """Count a failure, which may eject the endpoint."""
        if self.loads.note_failure(replica.endpoint_id):
            self.env.metrics.count('endpoints_ejected')


class AttemptContext:
    """Context of one attempt: holds its connection and counts its load.

    Turns a lost connection into AttemptFailure.
    """

    def __init__(
        self,
        endpoints: EndpointAccess,
        request: requests.RoutedRequest,
        state: AttemptState,
        choice: placement.Choice,
        *,
        last_event_id: int | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._request = request
        self._state = state
        self._replica = choice.candidate.replica
        self._last_event_id = last_event_id
        self._urgency = (
            choice.urgency
            if last_event_id is None
            else placement.Urgency.RESUMED
        )
        self._is_deferred = False
        self._connection: connections.EndpointConnection | None = None

    async def __aenter__(self) -> connections.EndpointConnection:
        endpoints = self._endpoints
        request = self._request
        replica = self._replica
        self._state.tried_endpoint_ids.add(replica.endpoint_id)
        self._state.last_endpoint_id = replica.endpoint_id
        self._state.answered_for_s = None
        if not self._state.is_counted:
            endpoints.loads.start(replica.endpoint_id)
        self._state.is_counted = False
        if self._urgency is placement.Urgency.DEFERRED:
            self._is_deferred = True
            endpoints.loads.get_load(replica.endpoint_id).deferred += 1
        try:
            connection = await endpoints.pool.acquire(
                replica.address,
                must_be_fresh=request.route.repeat is routetables.Repeat.NEVER,
            )
            self._check_standing(connection)
            request_bytes = endpoints.dialect.build_request(
                request,
                address=replica.address,
                endpoint_id=replica.endpoint_id,
                time_left_s=request.deadline - endpoints.env.timer.now(),
                last_event_id=self._last_event_id,
                urgency=self._urgency,
            )
            self._renew_retry(connection)
            self._use_permit(connection)
            endpoints.standings.note_sent(replica)
            connection.start(
                request_bytes, expects_body=request.caller.method != 'HEAD'
            )
        except connections.ConnectionLost as error:
            self.note_begun()
            self._state.give_back_permit(endpoints.limits)
            endpoints.loads.end(replica.endpoint_id)
            endpoints.note_failure(replica)
            if replica.group_id:
                endpoints.group_monitor.note_stall(replica)
            # Nothing was sent, so the attempt is not counted.
            raise AttemptFailure(reason=error.reason, not_run=True) from error
        except BaseException:
            self.note_begun()
            self._state.give_back_permit(endpoints.limits)
            endpoints.loads.end(replica.endpoint_id)
            raise
        self._connection = connection
        self._state.unsent_retry = None
        self._state.was_sent = True
        self._state.attempts += 1
        self._state.exposure = endpoints.exposure_monitor.begin(
            replica, request.caller.shared_parts
        )
        return connection

    def _check_standing(
        self, connection: connections.EndpointConnection
    ) -> None:
        """Raise AttemptFailure if the endpoint takes no request by now."""
        standing = self._endpoints.standings.find(self._replica)
        if not standing.may_send:
            self._endpoints.env.metrics.count('requests_held_back')
            self._endpoints.pool.release(connection)
            raise AttemptFailure(reason=standing.reason, not_run=True)

    def _renew_retry(self, connection: connections.EndpointConnection) -> None:
        """Raise AttemptFailure if a retry was held up and none is left."""
        if self._state.unsent_retry is None:
            return
        self._state.unsent_retry = self._endpoints.budget.renew(
            self._state.unsent_retry
        )
        if self._state.unsent_retry is None:
            self._endpoints.pool.release(connection)
            raise AttemptFailure(
                reason='the retry was held up, and the budget is used up',
                not_run=True,
            )

    def _use_permit(self, connection: connections.EndpointConnection) -> None:
        """Raise AttemptFailure if the endpoint is at its limit by now."""
        permit, self._state.permit = self._state.permit, None
        if not self._endpoints.limits.use(self._replica.endpoint_id, permit):
            self._endpoints.pool.release(connection)
            raise AttemptFailure(
                reason='the endpoint is at its limit', not_run=True
            )

    def note_begun(self) -> None:
        """Stop counting the request as deferred, as its answer has begun."""
        if self._is_deferred:
            self._is_deferred = False
            self._endpoints.loads.get_load(
                self._replica.endpoint_id
            ).deferred -= 1

    async def __aexit__(self, kind, error, traceback) -> None:
        endpoints = self._endpoints
        self.note_begun()
        endpoints.loads.end(self._replica.endpoint_id)
        endpoints.pool.release(self._connection)
        match error:
            case None:
                if self._state.exposure is not None:
                    endpoints.exposure_monitor.note_whole(self._state.exposure)
            case AttemptFailure(is_broken_off=True):
                self._note_broken_off()
            case connections.ConnectionLost(reason=reason):
                self._note_broken_off()
                endpoints.note_failure(self._replica)
                raise AttemptFailure(
                    reason=reason,
                    is_endpoint_lost=endpoints.fleet.has_ended(
                        self._replica.endpoint_id
                    ),
                ) from error

    def _note_broken_off(self) -> None:
        """Count an endpoint that broke off as it began to answer."""
        state = self._state
        if (state.answered_for_s or 0.0) <= BEGINNING_S:
            state.broken_off += 1
        if state.exposure is not None:
            self._endpoints.exposure_monitor.note_broken_off(state.exposure)
