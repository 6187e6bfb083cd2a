"""Forwards requests to endpoints, with retries and resumed streams."""

import collections.abc
import contextlib
import dataclasses
import typing

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.fleet import shares
from apricotthread.fleet import view
from apricotthread.gateway import attempts
from apricotthread.gateway import budgets
from apricotthread.gateway import events
from apricotthread.gateway import exposures
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import placement
from apricotthread.gateway import requests
from apricotthread.gateway import requesttrace
from apricotthread.gateway import selection
from apricotthread.gateway import stallwatch
from apricotthread.gateway import standings

# An answer up to this size is read completely before any of it is passed on,
# so that the request can be retried where that is allowed.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
# A call that may be retried counts as stalled after this many times the
# target of its route.
ATTEMPT_TIMEOUT_TARGETS = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.25
MIN_TIME_LEFT_S = 0.02
# Endpoints that have ended count as no attempt, so a request that is the cause
# would meet no other limit.
MAX_BROKEN_OFF = 3
# An endpoint that refuses a request has not run it, so that counts as no
# attempt either, but few requests need more than two others.
MAX_UNCOUNTED_REFUSALS = 2
# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Another endpoint at the address answers so, or one of another version.
OTHER_ENDPOINT_STATUS = 421
RETRY_AFTER_S = 0.2
# For how long a request may wait for a permit, of the target of its route.
PERMIT_WAIT_TARGETS = 0.125
# For how long it may wait for an endpoint that refuses requests, from when it
# came: after that its answer would mostly be late.
HOLD_WAIT_TARGETS = 0.5
MAX_HOLD_WAIT_S = 0.1
HOLD_STAGGER_S = 0.002  # for each step of priority
RETURN_SPREAD_S = 0.5


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


def _tell_when_permits_come(
    refusal: placement.Refusal, wait_s: float
) -> placement.Refusal:
    """Return a refusal whose caller returns once there may be a permit.

    When that is, is not known without a leader.
    """
    if wait_s == float('inf'):
        return refusal
    return dataclasses.replace(
        refusal, retry_after_s=max(refusal.retry_after_s, wait_s)
    )


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
        limit_table: limits.LimitTable,
        standing_table: standings.StandingTable,
        budget: budgets.RetryBudget,
        stall_watch: stallwatch.StallWatch,
        observations: groupmonitor.GroupMonitor,
        exposure_monitor: exposures.ExposureMonitor,
        share: shares.ShareHolder,
        own_data_centre: str,
        cold_overshoot: float,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._dialect = dialect
        self._loads = load_table
        self._limits = limit_table
        self._standings = standing_table
        self._budget = budget
        self._watch = stall_watch
        self._group_monitor = observations
        self._exposures = exposure_monitor
        self._selector = selection.ReplicaSelector(
            env=env,
            fleet=fleet,
            load_table=load_table,
            limit_table=limit_table,
            standing_table=standing_table,
            observations=observations,
            share=share,
            own_data_centre=own_data_centre,
            cold_overshoot=cold_overshoot,
        )
        self._endpoints = attempts.EndpointAccess(
            env=env,
            fleet=fleet,
            pool=pool,
            dialect=dialect,
            loads=load_table,
            limits=limit_table,
            standings=standing_table,
            budget=budget,
            group_monitor=observations,
            exposure_monitor=exposure_monitor,
        )

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
        self._exposures.note_request(request.caller.shared_parts)
        state = attempts.AttemptState()
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
            if state.unsent_retry is not None:
                self._budget.give_back(state.unsent_retry)
            state.give_back_permit(self._limits)

    # Attempts

    async def _choose(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
        request_trace: requesttrace.RequestTrace,
    ) -> placement.Choice:
        """Return the choice for the next attempt.

        Raises ApricotError if no replica can take it.
        """
        self._check_quarantine(request, state, request_trace)
        state.is_counted = state.reserved is not None
        placed = state.reserved or await self._place(request, state)
        state.reserved = None
        match placed:
            case placement.Refusal(reason=reason, retry_after_s=retry_s):
                request_trace.add(
                    'refused',
                    reason=reason,
                    held=''
                    if placed.held_s is None
                    else self._standings.describe_holds(
                        self._fleet.replicas(request.service.name)
                    ),
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

    async def _place(
        self, request: requests.RoutedRequest, state: attempts.AttemptState
    ) -> placement.Choice | placement.Refusal:
        """Place a request, and reserve a permit if its endpoint has a limit.

        Where endpoints are left out as this entry has no permit for them, it
        waits for one if the leader has some left.
        """
        give_up_at = self._env.timer.now() + (
            PERMIT_WAIT_TARGETS * request.route.target_s
        )
        while True:
            placed = self._selector.place(request, state.tried_endpoint_ids)
            if isinstance(placed, placement.Choice):
                state.permit = self._limits.reserve(
                    placed.candidate.replica.endpoint_id
                )
                return placed
            if placed.held_s is not None and not placed.limited_ids:
                if await self._outwait_hold(request, state, placed.held_s):
                    continue
                return self._tell_when_holds_end(placed)
            if not placed.limited_ids:
                return placed
            wait_s = self._limits.predict_wait_s(placed.limited_ids)
            left_s = give_up_at - self._env.timer.now()
            if wait_s > left_s or not await self._limits.wait_for_permit(
                request.caller.model if request.service.engine else '',
                priority=request.route.priority,
                timeout_s=left_s,
            ):
                self._env.metrics.count('requests_over_limits')
                return _tell_when_permits_come(placed, wait_s)

    async def _outwait_hold(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
        held_s: float,
    ) -> bool:
        """Wait until the first endpoint may be asked again, if it is soon.

        Return False at once if the request could not be on time after that.
        One that may have run can't be refused as not run, and is worth a
        wait for as long as its caller stays. The most urgent requests come
        back first.
        """
        now = self._env.timer.now()
        wait_s = held_s + HOLD_STAGGER_S * request.route.priority
        if state.may_have_run:
            wait_until = min(
                now + request.route.patience_s - stallwatch.RESUMPTION_S,
                request.deadline - MIN_TIME_LEFT_S,
            )
        else:
            wait_until = request.received_at + min(
                HOLD_WAIT_TARGETS * request.route.target_s, MAX_HOLD_WAIT_S
            )
        if now + wait_s > wait_until:
            return False
        await self._env.timer.sleep(wait_s)
        return True

    def _tell_when_holds_end(
        self, refusal: placement.Refusal
    ) -> placement.Refusal:
        """Return a refusal whose caller returns once the first hold has ended.

        Callers that are refused together return one after the other.
        """
        self._env.metrics.count('requests_without_standing')
        spread_s = RETURN_SPREAD_S * self._env.random.random()
        return dataclasses.replace(
            refusal, retry_after_s=refusal.held_s + spread_s
        )

    def _check_quarantine(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
        request_trace: requesttrace.RequestTrace,
    ) -> None:
        """Raise ApricotError if a part of the prompt is quarantined."""
        record = self._exposures.find_kept_away(request.caller.shared_parts)
        if record is None:
            return
        self._env.metrics.count('requests_quarantined')
        request_trace.add(
            'quarantined',
            prompt_part=record.part,
            crashes=record.crashes,
            strikes=record.strikes,
            ends_in_s=record.remaining_s,
            revision=record.revision,
            attempts=state.attempts,
        )
        message = (
            f'the prompt part {record.part} is in quarantine, as endpoints '
            'crashed when they began to answer with it'
        )
        if state.may_have_run:
            raise errors.ApricotError(
                code=errors.ErrorCode.ENDPOINT_FAILED,
                message=message,
                ran=errors.Ran.UNKNOWN,
            )
        raise errors.ApricotError(
            code=errors.ErrorCode.QUARANTINED,
            message=message,
            ran=errors.Ran.NO,
            retry_after_s=record.remaining_s,
        )

    def _make_placement_error(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
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
        state: attempts.AttemptState,
        failure: attempts.AttemptFailure,
        request_trace: requesttrace.RequestTrace,
    ) -> bool:
        """Whether a failed attempt may be retried at another endpoint.

        Takes the retry from the budget if so.
        """
        if failure.is_endpoint_lost:
            state.attempts -= 1
        elif failure.is_refusal and state.refusals < MAX_UNCOUNTED_REFUSALS:
            state.refusals += 1
            state.attempts -= 1
        why_not = ''
        if failure.not_run and self._return_to_given_up(request, state):
            pass
        elif state.reserved is None:
            why_not = self._find_why_not_retry(
                request,
                not_run=failure.not_run,
                attempt_count=state.attempts,
                broken_off=state.broken_off,
            ) or self._take_retry(request, state)
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
        attempt_count: int,
        broken_off: int,
    ) -> str:
        """Return why a request may not be retried, empty if it may."""
        time_left_s = request.deadline - self._env.timer.now()
        if not not_run and (request.route.repeat is routetables.Repeat.NEVER):
            return 'the request may have run'
        if attempt_count >= request.route.max_attempts:
            return 'no attempt is left'
        if broken_off >= MAX_BROKEN_OFF:
            return 'too many endpoints broke off as they began to answer'
        if time_left_s < MIN_TIME_LEFT_S:
            return 'no time is left'
        return ''

    def _take_retry(
        self, request: requests.RoutedRequest, state: attempts.AttemptState
    ) -> str:
        """Take a retry from the budget; return why not, empty if taken.

        One that was taken before and not sent, as the endpoint refused the
        connection, is used. A request that was sent nowhere needs none.
        """
        if not state.was_sent:
            return ''
        if state.unsent_retry is not None:
            state.unsent_retry = self._budget.renew(state.unsent_retry)
        else:
            state.unsent_retry = self._budget.take(request.service.name)
        if state.unsent_retry is None:
            return 'the retry budget is used up'
        return ''

    def _reserve_retry(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
        choice: placement.Choice,
    ) -> bool:
        """Reserve an endpoint for a request whose present one is silent.

        Takes the retry from the budget and returns True if there is one that
        works.
        """
        if self._exposures.find_kept_away(request.caller.shared_parts):
            return False
        endpoint_id = choice.candidate.replica.endpoint_id
        attempt_count = state.attempts - self._fleet.has_ended(endpoint_id)
        if self._find_why_not_retry(
            request,
            not_run=False,
            attempt_count=attempt_count,
            broken_off=state.broken_off,
        ):
            return False
        placed = self._selector.place(
            request, state.tried_endpoint_ids, leave_out_suspects=True
        )
        if isinstance(placed, placement.Refusal):
            return False
        candidate = placed.candidate
        is_full = candidate.load + 1 > candidate.replica.slots
        if request.service.engine is not None and is_full:
            return False
        if self._take_retry(request, state):
            return False
        self._reserve(state, placed)
        state.given_up = choice
        return True

    def _reserve(
        self, state: attempts.AttemptState, choice: placement.Choice
    ) -> None:
        endpoint_id = choice.candidate.replica.endpoint_id
        self._loads.start(endpoint_id)
        state.permit = self._limits.reserve(endpoint_id)
        state.reserved = choice

    def _return_to_given_up(
        self, request: requests.RoutedRequest, state: attempts.AttemptState
    ) -> bool:
        """Reserve the endpoint that was given up for one that then refused.

        So a request is sent to no more endpoints than its route allows.
        """
        choice = state.given_up
        state.given_up = None
        if (
            choice is None
            or not self._standings.find(choice.candidate.replica).may_send
            or self._limits.count_allowed(choice.candidate.replica.endpoint_id)
            == 0
            or self._take_retry(request, state)
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
        state: attempts.AttemptState,
    ) -> None:
        while True:
            choice = await self._choose(request, state, request_trace)
            try:
                await self._call_once(
                    request, sink, request_trace, state, choice
                )
                return
            except attempts.AttemptFailure as failure:
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
        state: attempts.AttemptState,
        failure: attempts.AttemptFailure,
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
        state: attempts.AttemptState,
        choice: placement.Choice,
    ) -> None:
        """Send a call to one endpoint and pass its answer on.

        Raises AttemptFailure.
        """
        replica = choice.candidate.replica
        async with attempts.AttemptContext(
            self._endpoints, request, state, choice
        ) as connection:
            attempt = self._make_attempt(request, state, choice, connection)
            attempt.answer_within_s = max(
                MIN_ATTEMPT_TIMEOUT_S,
                ATTEMPT_TIMEOUT_TARGETS * request.route.target_s,
            )
            with self._watch_attempt(request, request_trace, attempt):
                answer = await connection.read_head()
                self._check_answer(request, attempt, answer)
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
        answer: answerreader.Answer,
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
        self, answer: answerreader.Answer, body: bytes, sink: Sink
    ) -> None:
        await sink.start(answer.status, self._dialect.answer_headers(answer))
        await sink.write(body)
        await sink.end()

    def _check_answer(
        self,
        request: requests.RoutedRequest,
        attempt: stallwatch.Attempt,
        answer: answerreader.Answer,
    ) -> requests.AnswerMetadata:
        """Check that an answer belongs to the request and is signed.

        Updates the load and the limit of the endpoint. Raises AttemptFailure.
        """
        replica = attempt.replica
        metadata = self._dialect.parse_answer(answer)
        if metadata.request_id != request.caller.request_id:
            # Its statement that a request was not run is about another one.
            self._endpoints.note_failure(replica)
            raise attempts.AttemptFailure(
                reason='the answer belongs to another request'
            )
        self._loads.note_byte(replica.endpoint_id)
        if answer.status != OTHER_ENDPOINT_STATUS or metadata.endpoint_id:
            self._standings.observe(
                replica,
                answer.status,
                metadata,
                request_id=request.caller.request_id,
                sent_at=attempt.started_at,
            )
        if answer.status != OTHER_ENDPOINT_STATUS:
            self._limits.observe(
                replica.endpoint_id, metadata, sent_at=attempt.started_at
            )
        self._note_load(request, replica, metadata)
        if metadata.not_run:
            raise attempts.AttemptFailure(
                reason=f'not run, status {answer.status}',
                not_run=True,
                is_refusal=True,
            )
        if 200 <= answer.status < 300 and not metadata.is_sealed:
            self._endpoints.note_failure(replica)
            raise attempts.AttemptFailure(
                reason='the successful answer has no signature'
            )
        return metadata

    def _note_load(
        self,
        request: requests.RoutedRequest,
        replica: view.Replica,
        metadata: requests.AnswerMetadata,
    ) -> None:
        """Update the load of an endpoint, unless it can not have that many.

        Each request at an endpoint holds one of its connections. A load
        beyond them would keep requests away from the endpoint, and raise the
        mean load of its model, for seconds.
        """
        possible = max(request.service.max_connections, replica.slots)
        if metadata.is_load_odd or (
            metadata.load is not None and metadata.load.total > possible
        ):
            self._env.metrics.count('odd_loads')
            return
        if metadata.load is not None:
            self._loads.note_load(
                replica.endpoint_id,
                model=replica.model,
                requests=metadata.load.total,
            )

    def _make_status_failure(
        self,
        replica: view.Replica,
        answer: answerreader.Answer,
        body: bytes,
        is_whole: bool,
    ) -> attempts.AttemptFailure:
        if answer.status >= 500 and not self._standings.is_busy(replica):
            self._endpoints.note_failure(replica)
        says_not_run = answer.status in NOT_RUN_STATUSES
        return attempts.AttemptFailure(
            reason=f'status {answer.status}',
            answer=answer if is_whole and not says_not_run else None,
            body=body,
        )

    # Stalled attempts

    def _make_attempt(
        self,
        request: requests.RoutedRequest,
        state: attempts.AttemptState,
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
            exposure=state.exposure,
        )

    @contextlib.contextmanager
    def _watch_attempt(
        self,
        request: requests.RoutedRequest,
        request_trace: requesttrace.RequestTrace,
        attempt: stallwatch.Attempt,
    ) -> collections.abc.Iterator[None]:
        """Watch an attempt that may be repeated for stalls meanwhile.

        Raises AttemptFailure if it was given up for a stall, or if its stream
        is broken.
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
                self._endpoints.note_failure(replica)
            raise attempts.AttemptFailure(
                reason=attempt.stall.value,
                is_broken_off=attempt.stall is not stallwatch.Stall.CALLER,
                is_endpoint_lost=self._fleet.has_ended(replica.endpoint_id),
            ) from None
        except events.BrokenStream as error:
            self._endpoints.note_failure(replica)
            raise attempts.AttemptFailure(reason=str(error)) from error
        finally:
            self._watch.remove(attempt)

    # Streams of events

    async def _forward_stream(
        self,
        request: requests.RoutedRequest,
        sink: Sink,
        request_trace: requesttrace.RequestTrace,
        state: attempts.AttemptState,
    ) -> None:
        splitter = events.EventSplitter(last_id=request.caller.last_event_id)
        while True:
            try:
                choice = await self._choose(request, state, request_trace)
            except errors.ApricotError as error:
                if sink.started:
                    raise AnswerCut(error.message) from error
                raise
            try:
                await self._stream_once(
                    request, sink, request_trace, state, choice, splitter
                )
                return
            except attempts.AttemptFailure as failure:
                state.may_have_run |= not failure.not_run
                if not splitter.can_resume:
                    raise AnswerCut(failure.reason) from failure
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
        state: attempts.AttemptState,
        choice: placement.Choice,
        splitter: events.EventSplitter,
    ) -> None:
        """Pass on the events of a stream from one endpoint.

        Raises AttemptFailure.
        """
        replica = choice.candidate.replica
        context = attempts.AttemptContext(
            self._endpoints,
            request,
            state,
            choice,
            last_event_id=splitter.last_id,
        )
        async with context as connection:
            attempt = self._make_attempt(request, state, choice, connection)
            with (
                self._note_answered_time(state, attempt),
                self._watch_attempt(request, request_trace, attempt),
            ):
                answer = await connection.read_head()
                context.note_begun()
                self._check_answer(request, attempt, answer)
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
        answer: answerreader.Answer,
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
            raise attempts.AttemptFailure(
                reason='the stream ends inside an event', is_broken_off=True
            )
        if attempt.begun_at is None and (
            attempt.connection.ends_with_connection
        ):
            raise attempts.AttemptFailure(
                reason='the stream ends before its first event',
                is_broken_off=True,
            )
        if not sink.started:
            await sink.start(
                answer.status, self._dialect.answer_headers(answer)
            )
        await sink.end()

    @contextlib.contextmanager
    def _note_answered_time(
        self, state: attempts.AttemptState, attempt: stallwatch.Attempt
    ) -> collections.abc.Iterator[None]:
        """Record for how long the endpoint has sent events."""
        try:
            yield
        finally:
            if attempt.begun_at is not None:
                state.answered_for_s = attempt.progressed_at - attempt.begun_at

    def _note_progress(self, attempt: stallwatch.Attempt) -> None:
        """Record that an attempt has just brought a whole event."""
        now = self._env.timer.now()
        if attempt.begun_at is None:
            attempt.begun_at = now
        self._loads.note_byte(attempt.replica.endpoint_id)
        if attempt.exposure is not None:
            self._exposures.note_event(attempt.exposure)
        if attempt.replica.group_id and attempt.progressed_at is not None:
            self._group_monitor.note_progress(
                attempt.replica, now - attempt.progressed_at
            )
        attempt.progressed_at = now
