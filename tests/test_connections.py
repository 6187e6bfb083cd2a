"""Connections to endpoints that break, add bytes or fall silent."""

import asyncio

import pytest

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.endpoints import connections

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'


@pytest.fixture
def real_env():
    """Return the environment of a real process."""
    return environment.make_environment()


def play(env, answers, body, *, closes=False, resets=False):
    """Run a body against a server that gives answers, one a request."""

    async def serve(reader, writer):
        for answer in answers:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            for part in answer if isinstance(answer, list) else [answer]:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
        if resets:
            writer.transport.abort()
        elif closes:
            writer.close()

    async def main():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = connections.ConnectionPool(env=env, max_idle=4)
        try:
            await body(pool, f'{host}:{port}')
        finally:
            pool.close()
            server.close()

    asyncio.run(main())


async def ask(pool, address, *, fresh=False):
    """Send a request; return connection, status and body."""
    connection = await pool.acquire(address, must_be_fresh=fresh)
    connection.start(REQUEST)
    answer = await connection.read_head()
    parts = []
    while part := await connection.read():
        parts.append(part)
    return connection, answer.status, b''.join(parts)


def test_a_connection_is_used_again_after_a_whole_answer(real_env):
    async def body(pool, address):
        first, status, text = await ask(pool, address)
        assert (status, text) == (200, b'body')
        pool.release(first)
        second, _, _ = await ask(pool, address)
        assert second is first

    play(real_env, [WHOLE, WHOLE], body)


def test_a_second_answer_belongs_to_no_request(real_env):
    async def body(pool, address):
        first, _, text = await ask(pool, address)
        assert text == b'body'
        pool.release(first)
        await asyncio.sleep(0.05)
        second, _, text = await ask(pool, address)
        assert second is not first
        assert text == b'body'

    play(real_env, [WHOLE + WHOLE, WHOLE], body)


def test_a_late_second_answer_ends_the_connection(real_env):
    async def body(pool, address):
        first, _, _ = await ask(pool, address)
        pool.release(first)
        await asyncio.sleep(0.05)
        assert not first.is_usable

    play(real_env, [[WHOLE, WHOLE]], body)


@pytest.mark.parametrize('cut', [1, 20, 39, len(WHOLE) - 1])
@pytest.mark.parametrize('resets', [True, False])
def test_a_cut_answer_never_looks_whole(real_env, cut, resets):
    async def body(pool, address):
        with pytest.raises(connections.ConnectionLost) as caught:
            await ask(pool, address)
        assert caught.value.sent

    play(real_env, [WHOLE[:cut]], body, closes=True, resets=resets)


def test_an_answer_without_a_length_ends_with_its_connection(real_env):
    async def body(pool, address):
        connection, _, text = await ask(pool, address)
        assert text == b'some text'
        pool.release(connection)
        assert not connection.is_usable

    play(
        real_env,
        [b'HTTP/1.1 200 OK\r\n\r\nsome text'],
        body,
        closes=True,
    )


def test_a_chunked_answer_that_breaks_off_is_not_whole(real_env):
    async def body(pool, address):
        with pytest.raises(connections.ConnectionLost):
            await ask(pool, address)

    play(
        real_env,
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'4\r\nbody\r\n'
        ],
        body,
        closes=True,
    )


def test_bytes_that_are_no_answer_break_the_connection(real_env):
    async def body(pool, address):
        with pytest.raises(connections.ConnectionLost) as caught:
            await ask(pool, address)
        assert 'not an HTTP answer' in caught.value.reason

    play(real_env, [b'\x00\x01 garbage \r\n\r\n'], body)


def test_a_call_that_must_not_repeat_gets_no_old_connection(real_env):
    async def body(pool, address):
        first, _, _ = await ask(pool, address)
        pool.release(first)
        await asyncio.sleep(connections.FRESH_IDLE_S + 0.05)
        second, _, _ = await ask(pool, address, fresh=True)
        assert second is not first

    play(real_env, [WHOLE, WHOLE], body)


def test_an_endpoint_that_says_close_is_not_used_again(real_env):
    async def body(pool, address):
        first, _, _ = await ask(pool, address)
        pool.release(first)
        assert not first.is_usable

    play(
        real_env,
        [
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            b'Content-Length: 2\r\n\r\nok'
        ],
        body,
    )


def test_the_idle_timeout_of_an_endpoint_bounds_reuse(real_env):
    async def body(pool, address):
        connection, _, _ = await ask(pool, address)
        assert connection.idle_limit_s == 3.0

    play(
        real_env,
        [
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\n'
            b'Content-Length: 2\r\n\r\nok'
        ],
        body,
    )


def test_a_port_without_a_listener_is_certainly_not_run(real_env):
    async def main():
        pool = connections.ConnectionPool(env=real_env, max_idle=4)
        with pytest.raises(connections.ConnectionLost) as caught:
            await pool.acquire('127.0.0.1:9')
        assert not caught.value.sent
        with pytest.raises(errors.ApricotError) as refused:
            await connections.fetch(
                pool,
                real_env,
                address='127.0.0.1:9',
                request=REQUEST,
                timeout_s=1.0,
            )
        assert refused.value.ran is errors.Ran.NO

    asyncio.run(main())


def test_a_silent_endpoint_may_have_run_the_call(real_env):
    async def body(pool, address):
        with pytest.raises(errors.ApricotError) as refused:
            await connections.fetch(
                pool, real_env, address=address, request=REQUEST, timeout_s=0.1
            )
        assert refused.value.ran is errors.Ran.UNKNOWN

    play(real_env, [b''], body)
