"""The way of one request, from admission to its whole answer."""

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

RESUME_COST_S = 0.5  # what starting an answer again costs an engine
MAX_STORED_BODY_BYTES = 16384
CLAIM_TIMEOUT_S = 5.0
OUTCOME_WAIT_S = 0.5
MAX_TRIES = 8
REPLAYED_HEADER = ('Idempotent-Replayed', 'true')
PLACE_CODES = (
    errors.ErrorCode.NO_CAPACITY,
    errors.ErrorCode.TAKEN_OUT,
    errors.ErrorCode.DRAINING,
    errors.ErrorCode.PEER_UNREACHABLE,
    errors.ErrorCode.GROUP_NOT_WHOLE,
)
DEATH_CODES = (
    errors.ErrorCode.ENDPOINT_FAILED,
    errors.ErrorCode.PEER_UNREACHABLE,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """A plain service's answer, read to its end."""

    head: client.PlainHead
    body: bytes


class Router:
    """Admits requests, places them, and sees their answers through."""

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
        self._single_runs: set[asyncio.Task] = set()
        self.open_requests = 0

    def check_open(self) -> None:
        """Raise ApricotError when this node takes no new requests."""
        if self._system.is_refusing_callers():
            raise errors.ApricotError(
                code=errors.ErrorCode.TAKEN_OUT,
                message='this data centre is taken out; the request was not '
                'run',
                retry_after_s=1.0,
            )
        if self._system.has_drained_long():
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
        """Count a request as open around the block."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1

    async def _acquire(self, call: calls.AnyCall) -> scheduler.Slot:
        """Take a credit of the account and a place.

        Both are held while an endpoint works on the request, not while
        its caller reads what is left. Raises ApricotError with ran NO.
        """
        await self._limits.acquire(call.account)
        try:
            return await self._schedule.acquire(call)
        except BaseException:
            self._limits.release(call.account)
            raise

    def _release(self, call: calls.AnyCall, slot: scheduler.Slot) -> None:
        """Give the place and the credit back."""
        self._schedule.release(slot)
        self._limits.release(call.account)

    # Model services

    @contextlib.asynccontextmanager
    async def open_model(
        self, call: calls.ModelCall
    ) -> collections.abc.AsyncIterator[buffers.AnswerBuffer]:
        """Give the buffer through which the answer comes.

        Returns once the answer has begun. Raises ApricotError when the
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
        """Read the answer into the buffer, resuming it where need be."""
        try:
            await self._fill_until_finished(call, slot, buffer)
            buffer.finish()
        except errors.ApricotError as error:
            logs.log_fault('answer_failed', error, request_id=call.request_id)
            buffer.finish(error)

    async def _fill_until_finished(
        self,
        call: calls.ModelCall,
        slot: scheduler.Slot,
        buffer: buffers.AnswerBuffer,
    ) -> None:
        self._retry_budget.earn(call.service)
        offset = call.offset
        tries = 0
        deadline = call.deadline
        while True:
            begun_at = offset
            failure = None
            finished = False
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
                        finished = bool(piece.finish)
                        if finished or await self._should_park(buffer):
                            break
            except errors.ApricotError as error:
                failure = error
                self._note_refusal(slot, error)
            except TimeoutError:
                self._env.metrics.count('answers_renewed')
            finally:
                self._release(call, slot)
            if finished:
                return
            if failure is not None:
                if offset > begun_at:
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
        """Wait for a slow reader, or tell that the engine be freed.

        Holding an engine's place costs as long as the reader needs to
        make room; starting the answer again costs RESUME_COST_S.
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

    def _note_refusal(
        self, slot: scheduler.Slot, error: errors.ApricotError
    ) -> None:
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
        """Return when the request may be tried again, else raise.

        A place that was gone costs nothing, and neither does the first
        failure since the answer last went on: what an endpoint held when
        it died is no more than was admitted before. For that reason an
        answer that has begun is not given up for a refusal either.
        Further failures and refusals draw on the service's retry budget.
        Nothing is tried after the deadline.
        """
        is_refusal = failure.ran is errors.Ran.NO and (
            has_begun or failure.code in PLACE_CODES
        )
        is_free = is_refusal or (tries == 1 and failure.code in DEATH_CODES)
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
        """Wait for a place for an answer that has begun.

        Its caller already has a part, so a short overload or a group
        that is being repaired does not cut it.
        """
        now = self._env.timer.now()
        until = now + self._request_timeout_s
        resumed = dataclasses.replace(call, offset=offset, deadline=until)
        while True:
            try:
                return await self._acquire(resumed)
            except errors.ApricotError:
                delay_s = self._retry_budget.backoff_s(MAX_TRIES)
                if self._env.timer.now() + delay_s >= until:
                    raise
                await self._env.timer.sleep(delay_s)

    # Plain services

    @contextlib.asynccontextmanager
    async def open_plain(
        self, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[dispatcher.PlainAnswer]:
        """Give the answer of a plain service.

        Raises ApricotError when it is refused or fails.
        """
        self.check_open()
        with self._count_open():
            if call.repeatable or not call.idempotency_key:
                async with self._open_with_retries(call) as answer:
                    yield answer
                return
            task = asyncio.create_task(self._run_once(call))
            self._single_runs.add(task)
            task.add_done_callback(self._single_runs.discard)
            whole = await asyncio.shield(task)
            yield dispatcher.PlainAnswer(
                head=whole.head, body=_iterate_once(whole.body)
            )

    @contextlib.asynccontextmanager
    async def _open_with_retries(
        self, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[dispatcher.PlainAnswer]:
        """Open the answer, trying again while that is certain to be right.

        A call that may not be repeated is tried again only when no byte
        of it can have left.
        """
        self._retry_budget.earn(call.service)
        tries = 0
        while True:
            slot = await self._acquire(call)
            async with contextlib.AsyncExitStack() as stack:
                stack.callback(self._release, call, slot)
                try:
                    answer = await stack.enter_async_context(
                        self._dispatch.open_plain(slot, call)
                    )
                except errors.ApricotError as error:
                    self._note_refusal(slot, error)
                    if not call.repeatable and error.ran is not errors.Ran.NO:
                        raise
                    failure = error
                else:
                    yield answer
                    return
            tries += 1
            await self._wait_before_retry(call, failure, tries, call.deadline)

    async def _run_once(self, call: calls.PlainCall) -> WholeAnswer:
        """Run a call under its idempotency key, at most once ever.

        It goes on when its caller is gone, so that the outcome gets
        recorded for the caller's next try.
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
    ) -> WholeAnswer:
        try:
            async with self._open_with_retries(call) as answer:
                body = bytearray()
                async for data in answer.body:
                    body += data
                whole = WholeAnswer(head=answer.head, body=bytes(body))
        except errors.ApricotError as error:
            outcome = (
                claims.NOT_RUN
                if error.ran is errors.Ran.NO
                else claims.UNKNOWN
            )
            await self._record(granted, outcome)
            raise
        except BaseException:
            await self._record(granted, claims.UNKNOWN)
            raise
        await self._record(granted, claims.DONE, whole)
        return whole

    async def _record(
        self,
        granted: claims.Granted,
        outcome: str,
        whole: WholeAnswer | None = None,
    ) -> None:
        """Record an outcome; wait a little for a majority to have it."""
        is_small = (
            whole is not None and len(whole.body) <= MAX_STORED_BODY_BYTES
        )
        task = self._claimant.record(
            key=granted.key,
            attempt=granted.attempt,
            claim=granted.claim,
            outcome=outcome,
            status=whole.head.status if whole is not None else 0,
            content_type=_content_type(whole) if whole is not None else '',
            body=whole.body if is_small else b'',
        )
        with contextlib.suppress(TimeoutError):
            async with self._env.timer.timeout(OUTCOME_WAIT_S):
                await asyncio.shield(task)

    def cancel_idempotent_runs(self) -> None:
        """Give up calls that run on without their caller."""
        for task in self._single_runs:
            task.cancel()

    @property
    def open_idempotent_runs(self) -> int:
        """How many calls run on although their caller may be gone."""
        return len(self._single_runs)


def _content_type(whole: WholeAnswer) -> str:
    for name, value in whole.head.headers:
        if name.lower() == 'content-type':
            return value
    return ''


def _replay(answered: claims.Answered) -> WholeAnswer:
    """Return the first answer of a call that ran before."""
    headers = [REPLAYED_HEADER, ('Original-Request-Id', answered.request_id)]
    if answered.content_type:
        headers.append(('Content-Type', answered.content_type))
    return WholeAnswer(
        head=client.PlainHead(status=answered.status, headers=tuple(headers)),
        body=answered.body,
    )


async def _iterate_once(
    body: bytes,
) -> collections.abc.AsyncIterator[bytes]:
    if body:
        yield body
