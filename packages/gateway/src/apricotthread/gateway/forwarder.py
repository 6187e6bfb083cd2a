"""Forwards requests to endpoints, with retries and resumed streams."""

import collections.abc
import contextlib
import dataclasses
import typing
import zlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import connections
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import events
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import loads
from apricotthread.gateway import placement
from apricotthread.gateway import requests
from apricotthread.gateway import requesttrace
from apricotthread.gateway import stallwatch

# An answer up to this size is read completely before any of it is passed on,
# so that the request can be retried where that is allowed.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
# A call that may be retried counts as stalled after this many times the
# target of its route.
ATTEMPT_TIMEOUT_TARGETS = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.25
MIN_TIME_LEFT_S = 0.02
# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RETRY_AFTER_S = 0.2


class Sink(typing.Protocol):
    """Sends one answer to the caller.

    `started` is set when the head is sent.
    """

    started: bool

    async def start(self, status: int, headers: requests.Headers) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting for a slow caller."""

    async def end(self) -> None:
        """End the body."""


class AnswerCut(Exception):
    """An answer that was begun can not be completed."""


@dataclasses.dataclass(kw_only=True)
class _AttemptFailure(Exception):
    """An attempt that gave no complete, valid answer.

    `not_run` says that the endpoint certainly did not run the request.
    """

    reason: str
    not_run: bool = False
    # A whole answer, sealed by the endpoint, that may be passed on as it is.
    answer: connections.Answer | None = None
    body: bytes = b''
    # The endpoint has ended or was cut off, so the attempt does not count.
    is_endpoint_lost: bool = False


@dataclasses.dataclass(kw_only=True)
class _AttemptState:
    """The attempts at one request so far."""

    attempts: int = 0
    may_have_run: bool = False
    tried_endpoint_ids: set[str] = dataclasses.field(default_factory=set)
    last_endpoint_id: str = ''
    # How long the last endpoint had been sending events, in seconds.
    answered_for_s: float | None = None
    # Where the request goes on once its present attempt is given up. It is
    # counted there already.
    reserved: placement.Choice | None = None
    is_counted: bool = False
    # The endpoint that was given up for the reserved one.
    given_up: placement.Choice | None = None


class Forwarder:
    """Forwards requests; retries and resumes them where that is allowed."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        pool: connections.ConnectionPool,
        dialect: requests.Dialect,
        load_table: loads.LoadTable,
        budget: budgets.RetryBudget,
        stall_watch: stallwatch.StallWatch,
        observations: groupmonitor.GroupMonitor,
        own_data_centre: str,
        cold_overshoot: float,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._loads = load_table
        self._budget = budget
        self._watch = stall_watch
        self._group_monitor = observations
        self._own_data_centre = own_data_centre
        self._cold_overshoot = cold_overshoot
        self._salt = env.new_id()

    async def forward(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
    ) -> None:
        """Forward a request and pass its answer on to the sink.

        Raises ApricotError if it fails before the answer has begun, and
        AnswerCut if it fails later. An error with `ran` NO can be relied
        on: nothing was sent, or each endpoint that was tried stated that
        it did not run the request.
        """
        self._budget.note_request(request.service.name)
        self._group_monitor.has_callers = True
        state = _AttemptState()
        remaining_s = request.deadline - self._env.timer.now()
        try:
            async with self._env.timer.timeout(remaining_s):
                if request.route.is_stream:
                    await self._forward_stream(
                        request, sink, request_trace, state
                    )
                else:
                    await self._forward_call(
                        request, sink, request_trace, state
                    )
        except TimeoutError:
            if sink.started:
                raise AnswerCut('the deadline has passed') from None
            raise errors.ApricotError(
                code=errors.ErrorCode.DEADLINE,
                message='no endpoint answered in time',
                ran=errors.Ran.UNKNOWN,
            ) from None
        finally:
            if state.reserved is not None:
                self._loads.end(state.reserved.candidate.replica.endpoint_id)

    # Choosing a replica

    def _place(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        *,
        leave_out_suspects: bool = False,
    ) -> placement.Choice | placement.Refusal:
        model_name = request.caller.model if request.service.engine else ''
        replicas = [
            replica
            for replica in self._fleet.replicas(request.service.name)
            if replica.model == model_name
        ]
        deferred_share = self._loads.estimate_deferred_share(
            replica.endpoint_id for replica in replicas
        )
        candidates = [
            self._make_candidate(request, replica, deferred_share)
            for replica in replicas
            if replica.endpoint_id not in state.tried_endpoint_ids
        ]
        if leave_out_suspects:
            candidates = [c for c in candidates if not c.is_suspect]
        time_left_s = request.deadline - self._env.timer.now()
        engine = request.service.engine
        if engine is None:
            return placement.place_on_worker(
                candidates, time_left_s=time_left_s
            )
        model = next(
            (m for m in engine.models if m.name == request.caller.model), None
        )
        if model is None:
            return placement.Refusal(
                reason=f'no model {request.caller.model!r}', retry_after_s=1.0
            )
        return placement.place_on_engine(
            candidates,
            engine=engine,
            model=model,
            prompt_tokens=request.caller.prompt_tokens,
            output_tokens=request.caller.output_tokens,
            time_left_s=time_left_s,
            target_s=request.route.target_s,
            patience_s=request.route.patience_s,
            can_be_on_time=request.can_be_on_time,
            draw=self._env.random.random(),
        )

    def _make_candidate(
        self,
        request: requests.RoutedRequest,
        replica: view.Replica,
        deferred_share: float,
    ) -> placement.Candidate:
        cold_allowance = 1
        if (
            request.service.cold_requests_per_s > 0
            and self._fleet.cold_for_s(replica.endpoint_id) > 0
        ):
            cold_allowance = budgets.cold_allowance(
                requests_per_s=request.service.cold_requests_per_s,
                overshoot=self._cold_overshoot,
                entries=self._fleet.entry_count,
                sent=self._loads.sent_within_cold_window(replica.endpoint_id),
                draw=self._draw(replica.endpoint_id),
            )
        load = self._loads.estimate(replica.endpoint_id, model=replica.model)
        return placement.Candidate(
            replica=replica,
            load=load,
            deferred_load=deferred_share * load,
            is_near=replica.data_centre == self._own_data_centre,
            cold_allowance=cold_allowance,
            is_suspect=self._loads.is_ejected(replica.endpoint_id)
            or self._group_monitor.is_stalled(replica)
            or self._is_silent(replica),
            slowness=self._group_monitor.slowness(replica),
        )

    def _draw(self, endpoint_id: str) -> float:
        """Return a uniform pseudo-random number from 0 to 1.

        It changes each second and differs by endpoint and entry.
        """
        second = int(self._env.timer.now() / loads.COLD_WINDOW_S)
        text = f'{self._salt} {endpoint_id} {second}'.encode()
        return zlib.crc32(text) / (1 << 32)

    def _is_silent(self, replica: view.Replica) -> bool:
        """Whether neither control nodes nor this entry hear from a replica."""
        return not self._fleet.is_available(replica.endpoint_id) and (
            not self._group_monitor.is_progressing(replica)
        )

    def _choose(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        request_trace: requesttrace.RequestTrace,
    ) -> placement.Choice:
        """Return the choice for the next attempt.

        Raises ApricotError if no replica can take it.
        """
        state.is_counted = state.reserved is not None
        placed = state.reserved or self._place(request, state)
        state.reserved = None
        match placed:
            case placement.Refusal(reason=reason, retry_after_s=retry_s):
                request_trace.add(
                    'refused',
                    reason=reason,
                    retry_after_s=retry_s,
                    attempts=state.attempts,
                    applied_index=self._fleet.applied_index,
                )
                raise self._make_placement_error(
                    request, state, reason, retry_s
                )
            case placement.Choice(candidate=candidate):
                request_trace.add(
                    'placed',
                    endpoint=candidate.replica.endpoint_id,
                    group=candidate.replica.group_id,
                    load=round(candidate.load, 1),
                    first_event_ms=placement.milliseconds(
                        placed.first_event_s
                    ),
                    near=candidate.is_near,
                    urgency=placed.urgency.value,
                )
        return placed

    def _make_placement_error(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        reason: str,
        retry_after_s: float,
    ) -> errors.ApricotError:
        if state.may_have_run:
            may_repeat = request.route.repeat is not routetables.Repeat.NEVER
            return errors.ApricotError(
                code=errors.ErrorCode.OUTCOME_UNKNOWN,
                message=reason,
                ran=errors.Ran.UNKNOWN,
                retry_after_s=retry_after_s if may_repeat else None,
            )
        return errors.ApricotError(
            code=errors.ErrorCode.NO_CAPACITY,
            message=reason,
            ran=errors.Ran.NO,
            retry_after_s=retry_after_s,
        )

    def _may_retry(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        failure: _AttemptFailure,
        request_trace: requesttrace.RequestTrace,
    ) -> bool:
        """Whether a failed attempt may be retried at another endpoint.

        Takes the retry from the budget if so.
        """
        if failure.is_endpoint_lost:
            state.attempts -= 1
        why_not = ''
        if state.reserved is None:
            why_not = self._find_why_not_retry(
                request, not_run=failure.not_run, attempts=state.attempts
            ) or self._take_retry(request)
        if (
            why_not
            and failure.not_run
            and self._return_to_given_up(request, state)
        ):
            why_not = ''
        request_trace.add(
            'attempt_failed',
            endpoint=state.last_endpoint_id,
            reason=failure.reason,
            shared_parts=','.join(request.caller.shared_parts),
            answered_for_ms=placement.milliseconds(state.answered_for_s or 0),
            not_run=failure.not_run,
            attempts=state.attempts,
            again=not why_not,
            why_not=why_not,
        )
        return not why_not

    def _find_why_not_retry(
        self,
        request: requests.RoutedRequest,
        *,
        not_run: bool,
        attempts: int,
    ) -> str:
        """Return why a request may not be retried, empty if it may."""
        time_left_s = request.deadline - self._env.timer.now()
        if not not_run and (request.route.repeat is routetables.Repeat.NEVER):
            return 'the request may have run'
        if attempts >= request.route.max_attempts:
            return 'no attempt is left'
        if time_left_s < MIN_TIME_LEFT_S:
            return 'no time is left'
        return ''

    def _take_retry(self, request: requests.RoutedRequest) -> str:
        """Take a retry from the budget; return why not, empty if taken."""
        if self._budget.take(
            request.service.name, entries=self._fleet.entry_count
        ):
            return ''
        return 'the retry budget is used up'

    def _reserve_retry(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        choice: placement.Choice,
    ) -> bool:
        """Reserve an endpoint for a request whose present one is silent.

        Takes the retry from the budget and returns True if there is one that
        works.
        """
        endpoint_id = choice.candidate.replica.endpoint_id
        attempts = state.attempts - self._fleet.has_ended(endpoint_id)
        if self._find_why_not_retry(request, not_run=False, attempts=attempts):
            return False
        placed = self._place(request, state, leave_out_suspects=True)
        if isinstance(placed, placement.Refusal):
            return False
        candidate = placed.candidate
        is_full = candidate.load + 1 > candidate.replica.slots
        if request.service.engine is not None and is_full:
            return False
        if self._take_retry(request):
            return False
        self._reserve(state, placed)
        state.given_up = choice
        return True

    def _reserve(self, state: _AttemptState, choice: placement.Choice) -> None:
        self._loads.start(choice.candidate.replica.endpoint_id)
        state.reserved = choice

    def _return_to_given_up(
        self, request: requests.RoutedRequest, state: _AttemptState
    ) -> bool:
        """Reserve the endpoint that was given up for one that then refused.

        So a request is sent to no more endpoints than its route allows.
        """
        choice = state.given_up
        state.given_up = None
        if (
            choice is None
            or self._fleet.is_lost(choice.candidate.replica)
            or self._take_retry(request)
        ):
            return False
        self._reserve(state, choice)
        return True

    # Calls with a single answer

    async def _forward_call(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
        state: _AttemptState,
    ) -> None:
        while True:
            choice = self._choose(request, state, request_trace)
            try:
                await self._call_once(
                    request, sink, request_trace, state, choice
                )
                return
            except _AttemptFailure as failure:
                state.may_have_run |= not failure.not_run
                if self._may_retry(request, state, failure, request_trace):
                    continue
                if failure.answer is not None and not sink.started:
                    await self._pass_on_answer(
                        failure.answer, failure.body, sink
                    )
                    return
                raise self._make_attempt_error(
                    request, state, failure
                ) from failure

    def _make_attempt_error(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        failure: _AttemptFailure,
    ) -> errors.ApricotError:
        if state.may_have_run:
            return errors.ApricotError(
                code=errors.ErrorCode.ENDPOINT_FAILED,
                message=failure.reason,
                ran=errors.Ran.UNKNOWN,
            )
        return errors.ApricotError(
            code=errors.ErrorCode.NO_CAPACITY,
            message=failure.reason,
            ran=errors.Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _call_once(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
        state: _AttemptState,
        choice: placement.Choice,
    ) -> None:
        """Send a call to one endpoint and pass its answer on.

        Raises _AttemptFailure.
        """
        replica = choice.candidate.replica
        async with _AttemptContext(self, request, state, choice) as connection:
            attempt = self._make_attempt(request, state, choice, connection)
            attempt.answer_within_s = max(
                MIN_ATTEMPT_TIMEOUT_S,
                ATTEMPT_TIMEOUT_TARGETS * request.route.target_s,
            )
            with self._watch_attempt(request, request_trace, attempt):
                answer = await connection.read_head()
                self._check_answer(request, replica, answer)
                body, is_whole = await self._read_body(connection)
            if not 200 <= answer.status < 300:
                raise self._make_status_failure(
                    replica, answer, body, is_whole
                )
            if not is_whole:
                await self._pass_on_long_answer(connection, answer, body, sink)
            else:
                await self._pass_on_answer(answer, body, sink)
            self._loads.note_success(replica.endpoint_id)

    async def _read_body(
        self, connection: connections.EndpointConnection
    ) -> tuple[bytes, bool]:
        """Return the body, and whether it is complete.

        Stops reading once the body is over MAX_BUFFERED_ANSWER_BYTES.
        """
        parts = []
        size = 0
        while part := await connection.read():
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_ANSWER_BYTES:
                return b''.join(parts), False
        return b''.join(parts), True

    async def _pass_on_long_answer(
        self,
        connection: connections.EndpointConnection,
        answer: connections.Answer,
        buffered: bytes,
        sink: Sink,
    ) -> None:
        await sink.start(answer.status, self._dialect.answer_headers(answer))
        await sink.write(buffered)
        try:
            while part := await connection.read():
                await sink.write(part)
        except connections.ConnectionLost as error:
            raise AnswerCut(error.reason) from error
        await sink.end()

    async def _pass_on_answer(
        self, answer: connections.Answer, body: bytes, sink: Sink
    ) -> None:
        await sink.start(answer.status, self._dialect.answer_headers(answer))
        await sink.write(body)
        await sink.end()

    def _check_answer(
        self,
        request: requests.RoutedRequest,
        replica: view.Replica,
        answer: connections.Answer,
    ) -> requests.AnswerMetadata:
        """Check that an answer belongs to the request and is signed.

        Updates the load of the endpoint. Raises _AttemptFailure.
        """
        metadata = self._dialect.parse_answer(answer)
        if metadata.request_id != request.caller.request_id:
            # Its statement that a request was not run is about another one.
            self._note_failure(replica)
            raise _AttemptFailure(
                reason='the answer belongs to another request'
            )
        self._loads.note_byte(replica.endpoint_id)
        if metadata.running is not None:
            self._loads.note_load(
                replica.endpoint_id,
                model=replica.model,
                running=metadata.running,
                waiting=metadata.waiting,
            )
        if metadata.not_run:
            raise _AttemptFailure(
                reason=f'not run, status {answer.status}', not_run=True
            )
        if 200 <= answer.status < 300 and not metadata.is_sealed:
            self._note_failure(replica)
            raise _AttemptFailure(
                reason='the successful answer has no signature'
            )
        return metadata

    def _make_status_failure(
        self,
        replica: view.Replica,
        answer: connections.Answer,
        body: bytes,
        is_whole: bool,
    ) -> _AttemptFailure:
        if answer.status >= 500:
            self._note_failure(replica)
        says_not_run = answer.status in NOT_RUN_STATUSES
        return _AttemptFailure(
            reason=f'status {answer.status}',
            answer=answer if is_whole and not says_not_run else None,
            body=body,
        )

    def _note_failure(self, replica: view.Replica) -> None:
        if self._loads.note_failure(replica.endpoint_id):
            self._env.metrics.count('endpoints_ejected')

    # Stalled attempts

    def _make_attempt(
        self,
        request: requests.RoutedRequest,
        state: _AttemptState,
        choice: placement.Choice,
        connection: connections.EndpointConnection,
    ) -> stallwatch.Attempt:
        replica = choice.candidate.replica
        return stallwatch.Attempt(
            connection=connection,
            replica=replica,
            started_at=self._env.timer.now(),
            first_event_s=choice.first_event_s,
            patience_s=request.route.patience_s,
            reserve_retry=lambda: self._reserve_retry(request, state, choice),
        )

    @contextlib.contextmanager
    def _watch_attempt(
        self,
        request: requests.RoutedRequest,
        request_trace: requesttrace.RequestTrace,
        attempt: stallwatch.Attempt,
    ) -> collections.abc.Iterator[None]:
        """Watch an attempt that may be repeated for stalls meanwhile.

        Raises _AttemptFailure if it was given up for a stall, or if its
        stream is broken.
        """
        replica = attempt.replica
        if request.route.repeat is not routetables.Repeat.NEVER:
            self._watch.add(attempt)
        try:
            yield
        except connections.ConnectionLost:
            if attempt.stall is None:
                raise
            silent_s = attempt.silent_s(self._env.timer.now())
            request_trace.add(
                'attempt_stalled',
                endpoint=replica.endpoint_id,
                silent_ms=placement.milliseconds(silent_s),
                takes_requests=self._fleet.takes_requests(replica),
            )
            if attempt.stall is stallwatch.Stall.SLOW_ANSWER:
                self._note_failure(replica)
            raise _AttemptFailure(
                reason=attempt.stall.value,
                is_endpoint_lost=self._fleet.has_ended(replica.endpoint_id),
            ) from None
        except events.BrokenStream as error:
            self._note_failure(replica)
            raise _AttemptFailure(reason=str(error)) from error
        finally:
            self._watch.remove(attempt)

    # Streams of events

    async def _forward_stream(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
        state: _AttemptState,
    ) -> None:
        splitter = events.EventSplitter(last_id=request.caller.last_event_id)
        while True:
            try:
                choice = self._choose(request, state, request_trace)
            except errors.ApricotError as error:
                if sink.started:
                    raise AnswerCut(error.message) from error
                raise
            try:
                await self._stream_once(
                    request, sink, request_trace, state, choice, splitter
                )
                return
            except _AttemptFailure as failure:
                state.may_have_run |= not failure.not_run
                if self._may_retry(request, state, failure, request_trace):
                    splitter.restart()
                    continue
                if sink.started:
                    raise AnswerCut(failure.reason) from failure
                if failure.answer is not None:
                    await self._pass_on_answer(
                        failure.answer, failure.body, sink
                    )
                    return
                raise self._make_attempt_error(
                    request, state, failure
                ) from failure

    async def _stream_once(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
        state: _AttemptState,
        choice: placement.Choice,
        splitter: events.EventSplitter,
    ) -> None:
        """Pass on the events of a stream from one endpoint.

        Raises _AttemptFailure.
        """
        replica = choice.candidate.replica
        context = _AttemptContext(
            self, request, state, choice, last_event_id=splitter.last_id
        )
        async with context as connection:
            attempt = self._make_attempt(request, state, choice, connection)
            with (
                self._note_answered_time(state, attempt),
                self._watch_attempt(request, request_trace, attempt),
            ):
                answer = await connection.read_head()
                context.note_begun()
                self._check_answer(request, replica, answer)
                if not 200 <= answer.status < 300:
                    body, is_whole = await self._read_body(connection)
                    raise self._make_status_failure(
                        replica, answer, body, is_whole
                    )
                await self._pass_on_events(attempt, answer, sink, splitter)
                self._loads.note_success(replica.endpoint_id)

    async def _pass_on_events(
        self,
        attempt: stallwatch.Attempt,
        answer: connections.Answer,
        sink: Sink,
        splitter: events.EventSplitter,
    ) -> None:
        while data := await attempt.connection.read():
            complete_events = splitter.feed(data)
            if not complete_events:
                continue
            if events.has_data(complete_events):
                self._note_progress(attempt)
            attempt.is_caller_slow = True
            if not sink.started:
                await sink.start(
                    answer.status, self._dialect.answer_headers(answer)
                )
            await sink.write(complete_events)
            attempt.is_caller_slow = False
        if not splitter.is_between_events:
            raise _AttemptFailure(reason='the stream ends inside an event')
        if not sink.started:
            await sink.start(
                answer.status, self._dialect.answer_headers(answer)
            )
        await sink.end()

    @contextlib.contextmanager
    def _note_answered_time(
        self, state: _AttemptState, attempt: stallwatch.Attempt
    ) -> collections.abc.Iterator[None]:
        """Record for how long the endpoint has sent events."""
        try:
            yield
        finally:
            if attempt.begun_at is not None:
                state.answered_for_s = self._env.timer.now() - attempt.begun_at

    def _note_progress(self, attempt: stallwatch.Attempt) -> None:
        """Record that an attempt has just brought a whole event."""
        now = self._env.timer.now()
        if attempt.begun_at is None:
            attempt.begun_at = now
        self._loads.note_byte(attempt.replica.endpoint_id)
        if attempt.replica.group_id and attempt.progressed_at is not None:
            self._group_monitor.note_progress(
                attempt.replica, now - attempt.progressed_at
            )
        attempt.progressed_at = now


class _AttemptContext:
    """Context of one attempt: holds its connection and counts its load.

    Turns a lost connection into _AttemptFailure.
    """

    def __init__(
        self,
        owner: Forwarder,
        request: requests.RoutedRequest,
        state: _AttemptState,
        choice: placement.Choice,
        *,
        last_event_id: int = 0,
    ) -> None:
        self._forwarder = owner
        self._request = request
        self._state = state
        self._replica = choice.candidate.replica
        self._last_event_id = last_event_id
        self._urgency = (
            placement.Urgency.RESUMED if last_event_id else choice.urgency
        )
        self._is_deferred = False
        self._connection: connections.EndpointConnection | None = None

    async def __aenter__(self) -> connections.EndpointConnection:
        forwarder = self._forwarder
        request = self._request
        replica = self._replica
        self._state.tried_endpoint_ids.add(replica.endpoint_id)
        self._state.last_endpoint_id = replica.endpoint_id
        self._state.answered_for_s = None
        if not self._state.is_counted:
            forwarder._loads.start(replica.endpoint_id)
        self._state.is_counted = False
        if self._urgency is placement.Urgency.DEFERRED:
            self._is_deferred = True
            forwarder._loads.get_load(replica.endpoint_id).deferred += 1
        try:
            connection = await forwarder._pool.acquire(
                replica.address,
                must_be_fresh=request.route.repeat is routetables.Repeat.NEVER,
            )
            request_bytes = forwarder._dialect.build_request(
                request,
                address=replica.address,
                endpoint_id=replica.endpoint_id,
                time_left_s=request.deadline - forwarder._env.timer.now(),
                last_event_id=self._last_event_id,
                urgency=self._urgency,
            )
            connection.start(request_bytes)
        except connections.ConnectionLost as error:
            self.note_begun()
            forwarder._loads.end(replica.endpoint_id)
            forwarder._note_failure(replica)
            if replica.group_id:
                forwarder._group_monitor.note_stall(replica)
            # Nothing was sent, so the attempt is not counted.
            raise _AttemptFailure(reason=error.reason, not_run=True) from error
        except BaseException:
            self.note_begun()
            forwarder._loads.end(replica.endpoint_id)
            raise
        self._connection = connection
        self._state.attempts += 1
        return connection

    def note_begun(self) -> None:
        """Stop counting the request as deferred, as its answer has begun."""
        if self._is_deferred:
            self._is_deferred = False
            self._forwarder._loads.get_load(
                self._replica.endpoint_id
            ).deferred -= 1

    async def __aexit__(self, kind, error, traceback) -> None:
        forwarder = self._forwarder
        self.note_begun()
        forwarder._loads.end(self._replica.endpoint_id)
        forwarder._pool.release(self._connection)
        match error:
            case connections.ConnectionLost(reason=reason):
                forwarder._note_failure(self._replica)
                raise _AttemptFailure(
                    reason=reason,
                    is_endpoint_lost=forwarder._fleet.has_ended(
                        self._replica.endpoint_id
                    ),
                ) from error
