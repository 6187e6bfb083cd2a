"""Routing of each request, from admission to the end of its answer."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import claims
from apricotthread.endpoints import client
from apricotthread.routing import buffers
from apricotthread.routing import calls
from apricotthread.routing import credits
from apricotthread.routing import dispatcher
from apricotthread.routing import reassembly
from apricotthread.routing import retries
from apricotthread.routing import scheduler
from apricotthread.routing import view

RESUME_COST_S = 0.5  # engine time that resuming an answer costs
MAX_STORED_BODY_BYTES = 16384
CLAIM_TIMEOUT_S = 5.0
OUTCOME_WAIT_S = 0.5
MAX_TRIES = 8
REPLAYED_HEADER = ('Idempotent-Replayed', 'true')
UNAVAILABLE_CODES = (
    errors.ErrorCode.NO_CAPACITY,
    errors.ErrorCode.TAKEN_OUT,
    errors.ErrorCode.DRAINING,
    errors.ErrorCode.PEER_UNREACHABLE,
    errors.ErrorCode.GROUP_NOT_WHOLE,
)
ENDPOINT_FAILURE_CODES = (
    errors.ErrorCode.ENDPOINT_FAILED,
    errors.ErrorCode.PEER_UNREACHABLE,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CompleteAnswer:
    """A plain service's answer that has been read completely."""

    head: client.PlainHead
    body: bytes


class Router:
    """Admits requests, dispatches them, and resumes or retries them."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        schedule: scheduler.Scheduler,
        dispatch: dispatcher.Dispatcher,
        limits: credits.AccountLimits,
        claimant: claims.Claimant,
        budget: buffers.NodeBufferBudget,
        answer_buffer_bytes: int,
        request_timeout_s: float,
    ) -> None:
        self._env = env
        self._system = system
        self._schedule = schedule
        self._dispatch = dispatch
        self._limits = limits
        self._claimant = claimant
        self._budget = budget
        self._answer_buffer_bytes = answer_buffer_bytes
        self._request_timeout_s = request_timeout_s
        self._retry_budget = retries.RetryBudget(env=env)
        self._idempotent_runs: set[asyncio.Task] = set()
        self.open_requests = 0

    def check_open(self) -> None:
        """Raise ApricotError if this node takes no new requests."""
        if self._system.is_refusing_callers():
            raise errors.ApricotError(
                code=errors.ErrorCode.TAKEN_OUT,
                message='this data centre is taken out; the request was not '
                'run',
                retry_after_s=1.0,
            )
        if self._system.has_drain_grace_passed():
            raise errors.ApricotError(
                code=errors.ErrorCode.DRAINING,
                message='this node is about to stop; the request was not run',
                retry_after_s=1.0,
            )
        if not self._system.has_table:
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_TABLE,
                message='this node has no table yet; the request was not run',
                retry_after_s=1.0,
            )

    @contextlib.contextmanager
    def _count_open(self) -> collections.abc.Iterator[None]:
        """Count a request as open while in the context."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1

    async def _acquire(self, call: calls.AnyCall) -> scheduler.Slot:
        """Acquire a credit of the account and a slot.

        Both are held while an endpoint processes the request, not while
        the caller reads what is still buffered. Raises ApricotError with
        ran NO.
        """
        await self._limits.acquire(call.account)
        try:
            return await self._schedule.acquire(call)
        except BaseException:
            self._limits.release(call.account)
            raise

    def _release(self, call: calls.AnyCall, slot: scheduler.Slot) -> None:
        """Release the slot and the credit."""
        self._schedule.release(slot)
        self._limits.release(call.account)

    # Model services

    @contextlib.asynccontextmanager
    async def open_model(
        self, call: calls.ModelCall
    ) -> collections.abc.AsyncIterator[buffers.AnswerBuffer]:
        """Yield the buffer that receives the answer.

        Waits until the answer has begun. Raises ApricotError if the
        request is refused or fails before that.
        """
        self.check_open()
        with self._count_open():
            slot = await self._acquire(call)
            buffer = buffers.AnswerBuffer(
                env=self._env,
                budget=self._budget,
                bound_bytes=self._answer_buffer_bytes,
            )
            task = asyncio.create_task(self._fill(call, slot, buffer))
            try:
                await buffer.wait_for_start()
                yield buffer
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                buffer.close()

    async def _fill(
        self,
        call: calls.ModelCall,
        slot: scheduler.Slot,
        buffer: buffers.AnswerBuffer,
    ) -> None:
        """Read the answer into the buffer, resuming it when necessary."""
        history = retries.AttemptHistory()
        try:
            with history.checked():
                await self._fill_with_resumes(call, slot, buffer, history)
            buffer.finish()
        except errors.ApricotError as error:
            logs.log_fault('answer_failed', error, request_id=call.request_id)
            buffer.finish(error)

    async def _fill_with_resumes(
        self,
        call: calls.ModelCall,
        slot: scheduler.Slot,
        buffer: buffers.AnswerBuffer,
        history: retries.AttemptHistory,
    ) -> None:
        """Read the answer in one or more attempts, each from the offset.

        An attempt ends when the answer is complete, when it fails, when
        it has run for the request timeout, or when it is parked for a
        slow reader.
        """
        self._retry_budget.earn(call.service)
        limit = retries.DeliveryLimit()
        offset = call.offset
        tries = 0
        deadline = call.deadline
        while True:
            first_offset = offset
            failure = None
            is_finished = False
            try:
                async with (
                    self._env.timer.timeout(self._request_timeout_s),
                    self._dispatch.open_model(slot, call, offset) as pieces,
                ):
                    async for piece in pieces:
                        if not reassembly.accept_piece(offset, piece):
                            continue
                        buffer.put(piece)
                        offset += piece.tokens
                        is_finished = bool(piece.finish)
                        if is_finished or await self._should_park(buffer):
                            break
            except errors.ApricotError as error:
                history.note(error)
                failure = error
                self._report_refusal(slot, error)
            except TimeoutError:
                self._env.metrics.count('answers_renewed')
            finally:
                self._release(call, slot)
            if is_finished:
                return
            if failure is not None:
                limit.note(failure, tokens=offset - first_offset)
                if offset > first_offset:
                    tries = 0
                    deadline = self._env.timer.now() + self._request_timeout_s
                tries += 1
                await self._wait_before_retry(
                    call,
                    failure,
                    tries,
                    deadline,
                    has_begun=offset > call.offset,
                )
            else:
                self._env.metrics.count('answers_parked')
                self._env.metrics.count('tokens_resumed_over', offset)
                await buffer.wait_for_room()
                tries = 0
                deadline = self._env.timer.now() + self._request_timeout_s
            slot = await self._acquire_again(call, offset)

    async def _should_park(self, buffer: buffers.AnswerBuffer) -> bool:
        """Wait for a slow reader, or return True to free the engine.

        Keeping the slot costs the time until the reader has made room;
        resuming the answer later costs RESUME_COST_S.
        """
        if not buffer.is_full:
            return False
        if buffer.predict_wait_s() > RESUME_COST_S:
            return True
        try:
            async with self._env.timer.timeout(RESUME_COST_S):
                await buffer.wait_for_room()
        except TimeoutError:
            return True
        return False

    def _report_refusal(
        self, slot: scheduler.Slot, error: errors.ApricotError
    ) -> None:
        """Tell the scheduler if another entry has refused a request."""
        if error.ran is not errors.Ran.NO:
            return
        match slot:
            case scheduler.RemoteSlot():
                self._schedule.on_remote_refusal(slot)

    async def _wait_before_retry(
        self,
        call: calls.AnyCall,
        failure: errors.ApricotError,
        tries: int,
        deadline: float,
        *,
        has_begun: bool = False,
    ) -> None:
        """Wait until the request may be retried, or raise the failure.

        A retry is free if the target refused as it was unavailable, or if
        it is the first one since the answer last made progress and the
        endpoint failed: the requests that an endpoint held when it died
        were all admitted before, so retrying them adds no load. For the
        same reason an answer that has begun is not given up because of a
        refusal. Other retries draw on the service's retry budget. The
        first retry has no backoff. Nothing is retried after the deadline.
        """
        is_refusal = failure.ran is errors.Ran.NO and (
            has_begun or failure.code in UNAVAILABLE_CODES
        )
        is_free = is_refusal or (
            tries == 1 and failure.code in ENDPOINT_FAILURE_CODES
        )
        may_retry = is_free or (
            tries <= MAX_TRIES and self._retry_budget.spend(call.service)
        )
        if not may_retry:
            raise failure
        delay_s = 0.0 if tries == 1 else self._retry_budget.backoff_s(tries)
        if self._env.timer.now() + delay_s >= deadline:
            raise failure
        await self._env.timer.sleep(delay_s)

    async def _acquire_again(
        self, call: calls.ModelCall, offset: int
    ) -> scheduler.Slot:
        """Acquire a slot again to resume an answer that has begun.

        The caller already has a part of the answer, so this retries
        through a short overload or the repair of a group.
        """
        now = self._env.timer.now()
        resume_deadline = now + self._request_timeout_s
        resumed_call = dataclasses.replace(
            call, offset=offset, deadline=resume_deadline
        )
        while True:
            try:
                return await self._acquire(resumed_call)
            except errors.ApricotError:
                delay_s = self._retry_budget.backoff_s(MAX_TRIES)
                if self._env.timer.now() + delay_s >= resume_deadline:
                    raise
                await self._env.timer.sleep(delay_s)

    # Plain services

    @contextlib.asynccontextmanager
    async def open_plain(
        self, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[dispatcher.PlainAnswer]:
        """Yield the answer of a plain service.

        Raises ApricotError if the request is refused or fails.
        """
        self.check_open()
        with self._count_open():
            if call.repeatable or not call.idempotency_key:
                async with self._open_with_retries(call) as answer:
                    yield answer
                return
            task = asyncio.create_task(self._run_once(call))
            self._idempotent_runs.add(task)
            task.add_done_callback(self._idempotent_runs.discard)
            result = await asyncio.shield(task)
            yield dispatcher.PlainAnswer(
                head=result.head,
                body=_iterate_once(result.body),
            )

    @contextlib.asynccontextmanager
    async def _open_with_retries(
        self, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[dispatcher.PlainAnswer]:
        """Open the answer, retrying as long as that is safe.

        A request that may not be repeated is retried only if no byte of
        it can have been sent.
        """
        self._retry_budget.earn(call.service)
        history = retries.AttemptHistory()
        limit = retries.DeliveryLimit()
        tries = 0
        while True:
            with history.checked():
                slot = await self._acquire(call)
            async with contextlib.AsyncExitStack() as stack:
                stack.callback(self._release, call, slot)
                try:
                    answer = await stack.enter_async_context(
                        self._dispatch.open_plain(slot, call)
                    )
                except errors.ApricotError as error:
                    self._report_refusal(slot, error)
                    if not call.repeatable and error.ran is not errors.Ran.NO:
                        raise
                    history.note(error)
                    failure = error
                else:
                    yield answer
                    return
            tries += 1
            with history.checked():
                limit.note(failure)
                await self._wait_before_retry(
                    call, failure, tries, call.deadline
                )

    async def _run_once(self, call: calls.PlainCall) -> CompleteAnswer:
        """Run a request under its idempotency key, at most once ever.

        It continues after its caller has disconnected, so that the
        outcome is recorded for the caller's next attempt.
        """
        now = self._env.timer.now()
        decision = await self._claimant.claim(
            key=claims.make_key(
                call.account, call.service, call.idempotency_key
            ),
            digest=claims.make_digest(call.method, call.path, call.body),
            request_id=call.request_id,
            timeout_s=min(CLAIM_TIMEOUT_S, call.deadline - now),
        )
        match decision:
            case claims.Answered() as answered:
                return _replay(answered)
            case claims.Granted() as granted:
                return await self._run_granted(call, granted)

    async def _run_granted(
        self, call: calls.PlainCall, granted: claims.Granted
    ) -> CompleteAnswer:
        """Run a request whose claim was granted, and record its outcome."""
        try:
            async with self._open_with_retries(call) as answer:
                body = bytearray()
                async for data in answer.body:
                    body += data
                result = CompleteAnswer(head=answer.head, body=bytes(body))
        except errors.ApricotError as error:
            outcome = (
                claims.NOT_RUN
                if error.ran is errors.Ran.NO
                else claims.UNKNOWN
            )
            await self._record_outcome(granted, outcome)
            raise
        except BaseException:
            await self._record_outcome(granted, claims.UNKNOWN)
            raise
        await self._record_outcome(granted, claims.DONE, result)
        return result

    async def _record_outcome(
        self,
        granted: claims.Granted,
        outcome: str,
        result: CompleteAnswer | None = None,
    ) -> None:
        """Record an outcome; wait for a majority for OUTCOME_WAIT_S at most.

        A body larger than MAX_STORED_BODY_BYTES is not stored.
        """
        is_small = (
            result is not None and len(result.body) <= MAX_STORED_BODY_BYTES
        )
        task = self._claimant.record(
            key=granted.key,
            attempt=granted.attempt,
            claim=granted.claim,
            outcome=outcome,
            status=result.head.status if result is not None else 0,
            content_type=_content_type(result) if result is not None else '',
            body=result.body if is_small else b'',
        )
        with contextlib.suppress(TimeoutError):
            async with self._env.timer.timeout(OUTCOME_WAIT_S):
                await asyncio.shield(task)

    def cancel_idempotent_runs(self) -> None:
        """Cancel the requests that run under an idempotency key."""
        for task in self._idempotent_runs:
            task.cancel()

    @property
    def open_idempotent_runs(self) -> int:
        """The number of requests that run under an idempotency key.

        Their callers may have disconnected.
        """
        return len(self._idempotent_runs)


def _content_type(result: CompleteAnswer) -> str:
    for name, value in result.head.headers:
        if name.lower() == 'content-type':
            return value
    return ''


def _replay(answered: claims.Answered) -> CompleteAnswer:
    """Return the stored first answer of a request that ran before."""
    headers = [REPLAYED_HEADER, ('Original-Request-Id', answered.request_id)]
    if answered.content_type:
        headers.append(('Content-Type', answered.content_type))
    return CompleteAnswer(
        head=client.PlainHead(status=answered.status, headers=tuple(headers)),
        body=answered.body,
    )


async def _iterate_once(
    body: bytes,
) -> collections.abc.AsyncIterator[bytes]:
    if body:
        yield body
