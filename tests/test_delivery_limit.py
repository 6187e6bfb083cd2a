"""How many endpoints one request may crash, at nodes with fixed peers."""

import contextlib
import types

import pytest

from apricotthread.base import errors
from apricotthread.endpoints import client
from apricotthread.fakes import virtualclock
from apricotthread.nodes import messages
from apricotthread.routing import buffers
from apricotthread.routing import calls
from apricotthread.routing import dispatcher
from apricotthread.routing import router

CRASHES = 3
TOKENS_OF_PIECE = 4
LONG_ANSWER_TOKENS = 400


class CrashingDispatcher:
    """Opens answers of endpoints that end after some pieces.

    It counts the endpoints that ended. Those after the first `crashes` are
    sound.
    """

    def __init__(self, *, crashes, pieces):
        self._crashes_left = crashes
        self._pieces = pieces
        self.ended = 0

    def _end(self):
        self.ended += 1
        self._crashes_left -= 1
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message='the engine ended',
            ran=errors.Ran.UNKNOWN,
        )

    @contextlib.asynccontextmanager
    async def open_model(self, slot, call, offset):
        """Yield the pieces of an answer from an offset on."""

        async def generate():
            for at in range(offset, call.max_tokens, TOKENS_OF_PIECE):
                if self._crashes_left and (
                    at >= offset + self._pieces * TOKENS_OF_PIECE
                ):
                    self._end()
                is_last = at + TOKENS_OF_PIECE >= call.max_tokens
                yield messages.DispatchPiece(
                    offset=at,
                    tokens=TOKENS_OF_PIECE,
                    data=b'text',
                    finish='stop' if is_last else '',
                )

        yield generate()

    @contextlib.asynccontextmanager
    async def open_plain(self, slot, call):
        """Yield an answer, or end."""
        if self._crashes_left:
            self._end()

        async def body():
            yield b'done'

        yield dispatcher.PlainAnswer(
            head=client.PlainHead(status=200, headers=()), body=body()
        )


class Schedule:
    """Grants all slots at once."""

    async def acquire(self, call):
        """Return a slot."""
        return object()

    def release(self, slot):
        """Take a slot back."""


async def acquire_credit(account):
    """Grant a credit of an account."""


def make_router(env, dispatch):
    """Return a router whose endpoints are those of the dispatcher."""
    return router.Router(
        env=env,
        system=types.SimpleNamespace(
            is_refusing_callers=lambda: False,
            has_drain_grace_passed=lambda: False,
            has_table=True,
        ),
        schedule=Schedule(),
        dispatch=dispatch,
        limits=types.SimpleNamespace(
            acquire=acquire_credit, release=lambda account: None
        ),
        claimant=None,
        budget=buffers.NodeBufferBudget(env=env, limit_bytes=1 << 20),
        answer_buffer_bytes=1 << 16,
        request_timeout_s=30.0,
    )


CALL = {
    'request_id': 'r-1',
    'account': 'acme',
    'service': 'models',
    'kind': 'any',
    'cost': 1.0,
    'deadline': 30.0,
}


async def read_model(routing, *, max_tokens):
    """Request an answer of a model; return its text."""
    call = calls.ModelCall(**CALL, prompt='p', max_tokens=max_tokens)
    text = b''
    async with routing.open_model(call) as buffer:
        while (piece := await buffer.read()) is not None:
            text += piece.data
            if piece.finish:
                break
    return text


@pytest.mark.parametrize('pieces', [0, 1, 2])
def test_a_request_that_crashes_engines_does_not_go_on_for_ever(env, pieces):
    """Each engine ends after so many pieces, which is little progress."""

    async def main():
        dispatch = CrashingDispatcher(crashes=50, pieces=pieces)
        with pytest.raises(errors.ApricotError) as caught:
            await read_model(
                make_router(env, dispatch), max_tokens=LONG_ANSWER_TOKENS
            )
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert dispatch.ended <= CRASHES

    virtualclock.run(main())


def test_a_long_answer_outlasts_more_engines_than_end_at_its_beginning(env):
    async def main():
        dispatch = CrashingDispatcher(crashes=CRASHES + 2, pieces=16)
        text = await read_model(
            make_router(env, dispatch), max_tokens=LONG_ANSWER_TOKENS
        )
        assert len(text) == LONG_ANSWER_TOKENS
        assert dispatch.ended == CRASHES + 2

    virtualclock.run(main())


def test_a_repeatable_call_that_crashes_workers_does_not_go_on_to_all(env):
    async def main():
        dispatch = CrashingDispatcher(crashes=50, pieces=0)
        call = calls.PlainCall(
            **CALL,
            method='GET',
            path='/',
            headers=(),
            body=b'',
            repeatable=True,
        )
        with pytest.raises(errors.ApricotError) as caught:
            async with make_router(env, dispatch).open_plain(call):
                pass
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert dispatch.ended <= CRASHES

    virtualclock.run(main())


def test_a_call_with_a_key_that_crashes_its_worker_runs_once(env):
    """No fault was found: the claim allows one run, and its end is kept."""
    outcomes = []

    class Claimant:
        """Grants a claim and records its outcome."""

        async def claim(self, **values):
            """Grant the claim."""
            return router.claims.Granted(key='k', attempt=1, claim='c')

        async def record(self, **values):
            """Record the outcome."""
            outcomes.append(values['outcome'])

    async def main():
        dispatch = CrashingDispatcher(crashes=50, pieces=0)
        routing = make_router(env, dispatch)
        routing._claimant = Claimant()
        call = calls.PlainCall(
            **CALL,
            method='POST',
            path='/',
            headers=(),
            body=b'',
            repeatable=False,
            idempotency_key='key',
        )
        with pytest.raises(errors.ApricotError):
            async with routing.open_plain(call):
                pass
        assert dispatch.ended == 1
        assert outcomes == [router.claims.UNKNOWN]

    virtualclock.run(main())
