"""Forwards one request to endpoints until its answer is whole."""

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
from apricotthread.gateway import stallwatch
from apricotthread.gateway import stories

# A short answer is read whole before any of it goes on, so that it can be
# asked for again where that is allowed.
HELD_ANSWER_BYTES = 256 * 1024
# An idempotent call is sent again when it takes this many targets.
REPEAT_AFTER_TARGETS = 2.0
LEAST_REPEAT_AFTER_S = 0.25
LEAST_TIME_LEFT_S = 0.02
# These tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RETRY_AFTER_S = 0.2


class Sink(typing.Protocol):
    """Takes an answer to the caller."""

    started: bool

    async def start(self, status: int, headers: requests.Headers) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting for a slow caller."""

    async def end(self) -> None:
        """End the body."""


class AnswerCut(Exception):
    """An answer that has begun can not be completed."""


@dataclasses.dataclass(kw_only=True)
class _Failure(Exception):
    """An attempt that gave no whole answer."""

    reason: str
    not_run: bool = False
    # Sealed by the endpoint: may go to the caller as it is.
    answer: connections.Answer | None = None
    body: bytes = b''
    # The attempt does not count, as the endpoint has ended or was cut off.
    endpoint_is_lost: bool = False


@dataclasses.dataclass(kw_only=True)
class _State:
    """What has become of a request so far."""

    attempts: int = 0
    may_have_run: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)


class Forwarder:
    """Places requests, sends them, and repeats what may be repeated."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        pool: connections.ConnectionPool,
        dialect: requests.Dialect,
        load_table: loads.LoadTable,
        budget: budgets.RetryBudget,
        watch: stallwatch.StallWatch,
        seen: groupmonitor.GroupMonitor,
        own_data_centre: str,
        cold_overshoot: float,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._loads = load_table
        self._budget = budget
        self._watch = watch
        self._seen = seen
        self._own_data_centre = own_data_centre
        self._cold_overshoot = cold_overshoot
        self._salt = env.new_id()

    async def forward(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: stories.RequestTrace,
    ) -> None:
        """Have a request answered.

        Raises ApricotError when no answer has begun, AnswerCut when one
        has. A refusal with ran NO is true: nothing was sent, or each
        endpoint said that it has not run the request.
        """
        self._budget.note_request(request.service.name)
        self._seen.has_callers = True
        state = _State()
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
                raise AnswerCut('the time is over') from None
            raise errors.ApricotError(
                code=errors.ErrorCode.DEADLINE,
                message='no endpoint answered in time',
                ran=errors.Ran.UNKNOWN,
            ) from None

    # Placing

    def _place(
        self, request: requests.RoutedRequest, state: _State
    ) -> placement.Choice | placement.Refusal:
        candidates = [
            self._make_candidate(request, replica)
            for replica in self._fleet.replicas(request.service.name)
            if replica.endpoint_id not in state.tried
            and replica.model
            == (request.caller.model if request.service.engine else '')
        ]
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
        )

    def _make_candidate(
        self, request: requests.RoutedRequest, replica: view.Replica
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
        return placement.Candidate(
            replica=replica,
            load=self._loads.estimate(
                replica.endpoint_id, model=replica.model
            ),
            is_near=replica.data_centre == self._own_data_centre,
            cold_allowance=cold_allowance,
            is_suspect=self._loads.is_ejected(replica.endpoint_id)
            or self._seen.is_stalled(replica)
            or self._is_silent(replica),
            slowness=self._seen.slowness(replica),
        )

    def _draw(self, endpoint_id: str) -> float:
        """Return a number from 0 to 1, a new one for each second."""
        second = int(self._env.timer.now() / loads.COLD_WINDOW_S)
        text = f'{self._salt} {endpoint_id} {second}'.encode()
        return zlib.crc32(text) / (1 << 32)

    def _is_silent(self, replica: view.Replica) -> bool:
        """Whether neither control nodes nor this entry hear a replica."""
        return not self._fleet.is_sound(replica.endpoint_id) and (
            not self._seen.is_progressing(replica)
        )

    def _choose(
        self,
        request: requests.RoutedRequest,
        state: _State,
        request_trace: stories.RequestTrace,
    ) -> placement.Choice:
        """Return where to send the next attempt, or raise a refusal."""
        placed = self._place(request, state)
        match placed:
            case placement.Refusal(reason=reason, retry_after_s=retry_s):
                request_trace.add(
                    'refused',
                    reason=reason,
                    retry_after_s=retry_s,
                    attempts=state.attempts,
                    applied_index=self._fleet.applied_index,
                )
                raise self._make_refusal(request, state, reason, retry_s)
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
                )
        return placed

    def _make_refusal(
        self,
        request: requests.RoutedRequest,
        state: _State,
        reason: str,
        retry_after_s: float,
    ) -> errors.ApricotError:
        if (
            state.may_have_run
            and request.route.repeat is routetables.Repeat.NEVER
        ):
            return errors.ApricotError(
                code=errors.ErrorCode.OUTCOME_UNKNOWN,
                message=reason,
                ran=errors.Ran.UNKNOWN,
            )
        return errors.ApricotError(
            code=errors.ErrorCode.NO_CAPACITY,
            message=reason,
            ran=errors.Ran.NO,
            retry_after_s=retry_after_s,
        )

    def _may_try_again(
        self,
        request: requests.RoutedRequest,
        state: _State,
        failure: _Failure,
        request_trace: stories.RequestTrace,
    ) -> bool:
        """Whether a failed attempt may be followed by one elsewhere."""
        if failure.endpoint_is_lost:
            state.attempts -= 1
        why_not = ''
        time_left_s = request.deadline - self._env.timer.now()
        if not failure.not_run and (
            request.route.repeat is routetables.Repeat.NEVER
        ):
            why_not = 'it may have run'
        elif state.attempts >= request.route.max_attempts:
            why_not = 'no attempt is left'
        elif time_left_s < LEAST_TIME_LEFT_S:
            why_not = 'no time is left'
        elif not self._budget.take(
            request.service.name, entries=self._fleet.entry_count
        ):
            why_not = 'the budget of repeats is used up'
        request_trace.add(
            'attempt_failed',
            reason=failure.reason,
            not_run=failure.not_run,
            attempts=state.attempts,
            again=not why_not,
            why_not=why_not,
        )
        return not why_not

    # Calls with a short answer

    async def _forward_call(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: stories.RequestTrace,
        state: _State,
    ) -> None:
        while True:
            choice = self._choose(request, state, request_trace)
            try:
                await self._call_once(request, sink, state, choice)
                return
            except _Failure as failure:
                state.may_have_run |= not failure.not_run
                if self._may_try_again(request, state, failure, request_trace):
                    continue
                if failure.answer is not None and not sink.started:
                    await self._pass_on(failure.answer, failure.body, sink)
                    return
                raise self._make_failure(request, state, failure) from failure

    def _make_failure(
        self, request: requests.RoutedRequest, state: _State, failure: _Failure
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
        state: _State,
        choice: placement.Choice,
    ) -> None:
        """Send a call to one endpoint; raises _Failure."""
        may_repeat = (
            request.route.repeat is not routetables.Repeat.NEVER
            and state.attempts + 1 < request.route.max_attempts
        )
        patience_s = request.deadline - self._env.timer.now()
        if may_repeat:
            patience_s = min(
                patience_s,
                max(
                    LEAST_REPEAT_AFTER_S,
                    REPEAT_AFTER_TARGETS * request.route.target_s,
                ),
            )
        replica = choice.candidate.replica
        async with _Sending(self, request, state, choice) as connection:
            try:
                async with self._env.timer.timeout(patience_s):
                    answer = await connection.read_head()
                    self._check_answer(request, replica, answer)
                    body, is_whole = await self._read_body(connection)
            except TimeoutError:
                self._note_failure(replica)
                raise _Failure(reason='the endpoint is slow') from None
            if not 200 <= answer.status < 300:
                raise self._judge_status(replica, answer, body, is_whole)
            if not is_whole:
                await self._pass_long(connection, answer, body, sink)
            else:
                await self._pass_on(answer, body, sink)
            self._loads.note_success(replica.endpoint_id)

    async def _read_body(
        self, connection: connections.EndpointConnection
    ) -> tuple[bytes, bool]:
        """Return a body, and whether it is whole or too long to hold."""
        parts = []
        size = 0
        while part := await connection.read():
            parts.append(part)
            size += len(part)
            if size > HELD_ANSWER_BYTES:
                return b''.join(parts), False
        return b''.join(parts), True

    async def _pass_long(
        self,
        connection: connections.EndpointConnection,
        answer: connections.Answer,
        held: bytes,
        sink: Sink,
    ) -> None:
        await sink.start(answer.status, self._dialect.answer_headers(answer))
        await sink.write(held)
        try:
            while part := await connection.read():
                await sink.write(part)
        except connections.ConnectionLost as error:
            raise AnswerCut(error.reason) from error
        await sink.end()

    async def _pass_on(
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
        """Raise _Failure for an answer that is not one to this request."""
        facts = self._dialect.parse_answer(answer)
        self._loads.note_byte(replica.endpoint_id)
        if facts.running is not None:
            self._loads.note_load(
                replica.endpoint_id,
                model=replica.model,
                running=facts.running,
                waiting=facts.waiting,
            )
        if facts.not_run:
            raise _Failure(
                reason=f'not run, status {answer.status}', not_run=True
            )
        if facts.request_id != request.caller.request_id:
            self._note_failure(replica)
            raise _Failure(reason='the answer belongs to another request')
        if 200 <= answer.status < 300 and not facts.is_sealed:
            self._note_failure(replica)
            raise _Failure(reason='a success without a signature')
        return facts

    def _judge_status(
        self,
        replica: view.Replica,
        answer: connections.Answer,
        body: bytes,
        is_whole: bool,
    ) -> _Failure:
        if answer.status >= 500:
            self._note_failure(replica)
        is_promise = answer.status in NOT_RUN_STATUSES
        return _Failure(
            reason=f'status {answer.status}',
            answer=answer if is_whole and not is_promise else None,
            body=body,
        )

    def _note_failure(self, replica: view.Replica) -> None:
        if self._loads.note_failure(replica.endpoint_id):
            self._env.metrics.count('endpoints_ejected')

    # Streams of events

    async def _forward_stream(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: stories.RequestTrace,
        state: _State,
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
                await self._stream_once(request, sink, state, choice, splitter)
                return
            except _Failure as failure:
                state.may_have_run |= not failure.not_run
                if self._may_try_again(request, state, failure, request_trace):
                    splitter.restart()
                    continue
                if sink.started:
                    raise AnswerCut(failure.reason) from failure
                if failure.answer is not None:
                    await self._pass_on(failure.answer, failure.body, sink)
                    return
                raise self._make_failure(request, state, failure) from failure

    async def _stream_once(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        state: _State,
        choice: placement.Choice,
        splitter: events.EventSplitter,
    ) -> None:
        """Pass on the events of one endpoint; raises _Failure."""
        replica = choice.candidate.replica
        async with _Sending(
            self, request, state, choice, last_event_id=splitter.last_id
        ) as connection:
            attempt = stallwatch.Attempt(
                connection=connection,
                replica=replica,
                started_at=self._env.timer.now(),
                first_event_s=choice.first_event_s,
            )
            if request.route.repeat is not routetables.Repeat.NEVER:
                self._watch.add(attempt)
            try:
                answer = await connection.read_head()
                self._check_answer(request, replica, answer)
                if not 200 <= answer.status < 300:
                    body, is_whole = await self._read_body(connection)
                    raise self._judge_status(replica, answer, body, is_whole)
                await self._pass_events(attempt, answer, sink, splitter)
                self._loads.note_success(replica.endpoint_id)
            except connections.ConnectionLost:
                if attempt.stalled:
                    raise _Failure(
                        reason='the endpoint has gone silent',
                        endpoint_is_lost=not self._fleet.is_replica(replica),
                    ) from None
                raise
            except events.BrokenStream as error:
                self._note_failure(replica)
                raise _Failure(reason=str(error)) from error
            finally:
                self._watch.remove(attempt)

    async def _pass_events(
        self,
        attempt: stallwatch.Attempt,
        answer: connections.Answer,
        sink: Sink,
        splitter: events.EventSplitter,
    ) -> None:
        endpoint_id = attempt.replica.endpoint_id
        heard_at = None
        while data := await attempt.connection.read():
            self._loads.note_byte(endpoint_id)
            now = self._env.timer.now()
            if attempt.replica.group_id and heard_at is not None:
                self._seen.note_progress(attempt.replica, now - heard_at)
            heard_at = now
            whole = splitter.feed(data)
            if not whole:
                continue
            attempt.caller_is_slow = True
            if not sink.started:
                await sink.start(
                    answer.status, self._dialect.answer_headers(answer)
                )
            await sink.write(whole)
            attempt.caller_is_slow = False
        if not splitter.is_between_events:
            raise _Failure(reason='the stream ends inside an event')
        if not sink.started:
            await sink.start(
                answer.status, self._dialect.answer_headers(answer)
            )
        await sink.end()


class _Sending:
    """One attempt: its connection, and the counts of the load table."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: requests.RoutedRequest,
        state: _State,
        choice: placement.Choice,
        *,
        last_event_id: int = 0,
    ) -> None:
        self._of = forwarder
        self._job = request
        self._state = state
        self._replica = choice.candidate.replica
        self._last_event_id = last_event_id
        self._connection: connections.EndpointConnection | None = None

    async def __aenter__(self) -> connections.EndpointConnection:
        of = self._of
        request = self._job
        replica = self._replica
        self._state.tried.add(replica.endpoint_id)
        of._loads.start(replica.endpoint_id)
        try:
            connection = await of._pool.acquire(
                replica.address,
                must_be_fresh=request.route.repeat is routetables.Repeat.NEVER,
            )
            request_bytes = of._dialect.build_request(
                request,
                address=replica.address,
                endpoint_id=replica.endpoint_id,
                time_left_s=request.deadline - of._env.timer.now(),
                last_event_id=self._last_event_id,
            )
            connection.start(request_bytes)
        except connections.ConnectionLost as error:
            of._loads.end(replica.endpoint_id)
            of._note_failure(replica)
            if replica.group_id:
                of._seen.note_stall(replica)
            # Nothing was sent, so no attempt was counted.
            raise _Failure(reason=error.reason, not_run=True) from error
        except BaseException:
            of._loads.end(replica.endpoint_id)
            raise
        self._connection = connection
        self._state.attempts += 1
        return connection

    async def __aexit__(self, kind, error, traceback) -> None:
        of = self._of
        of._loads.end(self._replica.endpoint_id)
        of._pool.release(self._connection)
        match error:
            case connections.ConnectionLost(reason=reason):
                of._note_failure(self._replica)
                raise _Failure(
                    reason=reason,
                    endpoint_is_lost=not of._fleet.is_replica(self._replica),
                ) from error
