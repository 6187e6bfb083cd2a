"""Tests that buffers for slow readers are bounded and lose nothing."""

import asyncio

import pytest

from apricotthread.fakes import virtualclock
from apricotthread.nodes import messages
from apricotthread.routing import buffers

BOUND_BYTES = 4096


def piece(offset, size=40):
    """Return a piece of one token."""
    return messages.DispatchPiece(offset=offset, tokens=1, data=b'x' * size)


def open_buffer(env, budget):
    """Return a buffer for one answer."""
    return buffers.AnswerBuffer(
        env=env, budget=budget, bound_bytes=BOUND_BYTES
    )


def test_buffered_pieces_are_read_as_one(env):
    async def main():
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=10**6)
        buffer = open_buffer(env, budget)
        for offset in range(10):
            buffer.put(piece(offset))
        buffer.finish()
        joined = await buffer.read()
        assert (joined.offset, joined.tokens) == (0, 10)
        assert await buffer.read() is None
        assert budget.held_bytes == 0

    virtualclock.run(main())


def test_all_answers_of_a_node_stay_within_its_limit(env):
    """Fills 1000 buffers that no reader drains until each reports full."""

    async def main():
        limit = 2 * 1024 * 1024
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=limit)
        opened = [open_buffer(env, budget) for _ in range(1000)]
        for buffer in opened:
            offset = 0
            while not buffer.is_full:
                buffer.put(piece(offset))
                offset += 1
        assert budget.peak_bytes <= limit
        for buffer in opened:
            buffer.close()
        assert budget.held_bytes == 0
        assert budget.open_buffers == 0

    virtualclock.run(main())


def test_buffers_opened_later_stay_within_the_node_limit(env):
    """Buffers filled while few were open once took the sum over the limit."""

    async def main():
        limit = 16384
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=limit)
        opened = []
        for _ in range(30):
            buffer = open_buffer(env, budget)
            opened.append(buffer)
            offset = 0
            while not buffer.is_full:
                buffer.put(piece(offset))
                offset += 1
        assert budget.peak_bytes <= limit + len(opened) * 160

    virtualclock.run(main())


def test_a_full_buffer_has_room_once_its_reader_has_caught_up(env):
    async def main():
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=10**6)
        buffer = open_buffer(env, budget)
        offset = 0
        while not buffer.is_full:
            buffer.put(piece(offset))
            offset += 1
        waiting = asyncio.create_task(buffer.wait_for_room())
        await env.timer.sleep(1.0)
        assert not waiting.done()
        assert buffer.predict_wait_s() == float('inf')
        await buffer.read()
        await waiting

    virtualclock.run(main())


def test_an_aborted_buffer_returns_no_more_pieces(env):
    async def main():
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=10**6)
        buffer = open_buffer(env, budget)
        buffer.put(piece(0))
        buffer.abort(ConnectionError('left'))
        buffer.put(piece(1))
        with pytest.raises(ConnectionError):
            await buffer.read()
        buffer.close()
        assert budget.held_bytes == 0

    virtualclock.run(main())


def test_the_error_of_an_answer_is_raised_after_its_pieces(env):
    async def main():
        budget = buffers.NodeBufferBudget(env=env, limit_bytes=10**6)
        buffer = open_buffer(env, budget)
        buffer.put(piece(0))
        buffer.finish(ValueError('cut'))
        assert (await buffer.read()).tokens == 1
        try:
            await buffer.read()
        except ValueError as error:
            assert str(error) == 'cut'
        else:
            raise AssertionError('the answer ended without its error')

    virtualclock.run(main())
