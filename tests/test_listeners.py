"""Listeners that stop while connections bring requests."""

import asyncio
import contextlib
import gc
import socket
import time

import pytest
import uvloop

from apricotthread.control import routetables
from apricotthread.daemon import connectiontable
from apricotthread.daemon import listeners

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


async def answer_slowly(scope, receive, send):
    """Answer after a moment, as an ASGI application."""
    await asyncio.sleep(0.05)
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'4')],
        }
    )
    await send({'type': 'http.response.body', 'body': b'body'})


async def refuse_unread(scope, receive, send):
    """Refuse a request without reading its body, as an ASGI application."""
    await send(
        {
            'type': 'http.response.start',
            'status': 413,
            'headers': [(b'content-length', b'0')],
        }
    )
    await send({'type': 'http.response.body'})


async def answer_after_body(scope, receive, send):
    """Read the whole body, then answer, as an ASGI application."""
    while (await receive()).get('more_body'):
        pass
    await answer_slowly(scope, receive, send)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def run_while_stopping(request):
    """Return a function that runs a client against a listener that stops.

    The client gets the address, and a function that starts the stop.
    """

    def run(client, application=answer_slowly, *, table=None, **limits):
        async def main():
            listening = listeners.open_socket(
                '127.0.0.1', 0, send_buffer_bytes=65536
            )
            host, port = listening.getsockname()
            listener = listeners.make_listener(
                application,
                limits=lambda: routetables.CallerLimits(**limits),
                table=table,
            )
            task = asyncio.create_task(
                listeners.run_listener(listener, listening)
            )
            while not listener.started:
                await asyncio.sleep(0.01)

            async def stop():
                listeners.stop_listener(listener)
                while listener.servers[0].is_serving():
                    await asyncio.sleep(0.005)

            await client(host, port, stop)
            async with asyncio.timeout(5):
                await task

        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(main())

    return run


@pytest.mark.parametrize('sent_before', [0, 1, len(REQUEST) - 1])
def test_a_request_on_a_connection_just_accepted_is_answered(
    run_while_stopping, sent_before
):
    async def client(host, port, stop):
        opened = [await asyncio.open_connection(host, port) for _ in range(20)]
        for _, writer in opened:
            writer.write(REQUEST[:sent_before])
        await asyncio.sleep(0.02)
        await stop()
        await asyncio.sleep(0.1)
        for _, writer in opened:
            writer.write(REQUEST[sent_before:])
        for reader, writer in opened:
            assert (await reader.read()).endswith(b'\r\n\r\nbody')
            writer.close()

    run_while_stopping(client)


def test_a_connection_that_stays_idle_is_closed_soon(run_while_stopping):
    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        await asyncio.sleep(listeners.RECENT_S + 0.1)
        await stop()
        async with asyncio.timeout(0.5):
            assert await reader.read() == b''
        writer.close()

    run_while_stopping(client)


@pytest.mark.parametrize('sent_of_body', [0, 1, 999])
def test_a_request_whose_body_comes_during_a_stop_is_answered(
    run_while_stopping, sent_of_body
):
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n'
    request = head + b'x' * 1000

    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(request[: len(head) + sent_of_body])
        await asyncio.sleep(0.02)
        await stop()
        await asyncio.sleep(2 * listeners.RECENT_S)
        writer.write(request[len(head) + sent_of_body :])
        assert (await reader.read()).endswith(b'\r\n\r\nbody')
        writer.close()

    run_while_stopping(client, answer_after_body)


@pytest.mark.parametrize('pause_s', [0.0, 0.01, 0.04, 0.06, 0.1])
def test_pipelined_requests_are_answered_during_a_stop(
    run_while_stopping, pause_s
):
    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST * 3)
        await asyncio.sleep(pause_s)
        await stop()
        assert (await reader.read()).count(b'\r\n\r\nbody') == 3
        writer.close()

    run_while_stopping(client)


@pytest.mark.parametrize(
    ('head', 'endless'),
    [
        (b'GET / HTTP/1.1\r\n', b'X-Filler: more\r\n' * 100),
        (b'GET / HTTP/1.1\r\nX-Filler: ', b'more and more ' * 100),
        (b'GET /', b'more' * 400),
        (b'', b'\r\n' * 500),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=',
            b'more and more ' * 100,
        ),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'400\r\n' + b'x' * 1024 + b'\r\n',
        ),
    ],
    ids=['headers', 'header', 'path', 'empty lines', 'extension', 'body'],
)
def test_a_caller_that_sends_without_end_is_cut_off(
    run_while_stopping, head, endless
):
    async def client(host, port, stop):
        _, writer = await asyncio.open_connection(host, port)
        writer.write(head)
        sent_bytes = 0
        with pytest.raises(ConnectionError):
            while sent_bytes < 64 * 1024 * 1024:
                writer.write(endless)
                await writer.drain()
                sent_bytes += len(endless)
        assert sent_bytes < 16 * 1024 * 1024
        writer.close()
        await stop()

    run_while_stopping(client, refuse_unread)


@pytest.mark.parametrize('drip', [b'', b'x', b'\r\n'])
@pytest.mark.parametrize('head', [b'', b'GET / HTTP/1.1\r\nX-A: ', b'POST'])
def test_a_request_that_never_becomes_whole_is_cut_off(
    run_while_stopping, monkeypatch, head, drip
):
    monkeypatch.setattr(listeners, 'BODY_PERIOD_S', 0.3)
    if head == b'POST':
        head = b'POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n'

    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(head)
        async with asyncio.timeout(2):
            reading = asyncio.create_task(reader.read())
            while not reading.done():
                writer.write(drip)
                await asyncio.sleep(0.05)
        writer.close()
        await stop()

    run_while_stopping(
        client, answer_after_body, header_timeout_s=0.3, idle_timeout_s=0.4
    )


def test_a_request_that_arrives_slowly_is_answered(
    run_while_stopping, monkeypatch
):
    monkeypatch.setattr(listeners, 'BODY_PERIOD_S', 0.5)
    parts = [b'x' * 1000] * 30

    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'POST / HTTP/1.1\r\nHost: a\r\n')
        await asyncio.sleep(0.6)
        writer.write(b'Connection: close\r\nContent-Length: 30000\r\n\r\n')
        for part in parts:
            await asyncio.sleep(0.07)
            writer.write(part)
        assert (await reader.read()).endswith(b'\r\n\r\nbody')
        writer.close()
        await stop()

    run_while_stopping(client, answer_after_body, header_timeout_s=1.0)


def test_a_request_that_waits_behind_a_long_answer_is_not_cut_off(
    run_while_stopping,
):
    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST * 4 + REQUEST[:9])
        for _ in range(4):
            assert b'200 OK' in await reader.readuntil(b'body')
        writer.write(REQUEST[9:])
        assert b'200 OK' in await reader.readuntil(b'body')
        await stop()
        writer.close()

    run_while_stopping(client, header_timeout_s=0.1)


@pytest.mark.parametrize('idle_s', [0.0, 0.4])
def test_an_idle_connection_is_kept_as_long_as_the_limits_say(
    run_while_stopping, idle_s
):
    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(3):
            await asyncio.sleep(idle_s)
            writer.write(REQUEST)
            assert b'200 OK' in await reader.readuntil(b'body')
        async with asyncio.timeout(1):
            assert await reader.read() == b''
        await stop()
        writer.close()

    run_while_stopping(client, idle_timeout_s=0.5)


def test_a_pause_of_the_node_cuts_no_request_off(run_while_stopping):
    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST[:9])
        await asyncio.sleep(0.05)
        writer.write(REQUEST[9:])
        time.sleep(2 * listeners.MAX_LATE_S)
        assert b'200 OK' in await reader.readuntil(b'body')
        await stop()
        writer.close()

    run_while_stopping(client, header_timeout_s=0.1)


def test_requests_with_large_bodies_follow_each_other(run_while_stopping):
    body = b'x' * (2 * listeners.MAX_UNREAD_BYTES)
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'

    async def client(host, port, stop):
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(3):
            writer.write(head[:9])
            await asyncio.sleep(0.01)
            writer.write(head[9:] % len(body) + body)
            assert b'200 OK' in await reader.readuntil(b'body')
        await stop()
        writer.close()

    run_while_stopping(client, answer_after_body)


def make_body_answer(size):
    """Return an ASGI application that answers with a body of a size."""

    async def answer(scope, receive, send):
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'%d' % size)],
            }
        )
        await send({'type': 'http.response.body', 'body': b'x' * size})

    return answer


async def connect_unread(host, port):
    """Return a non-blocking socket from which nothing is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, port))
    return sock


@pytest.mark.parametrize('more', [b'', b'Connection: close\r\n'])
@pytest.mark.parametrize('size', [300_000, 3_000_000])
def test_a_client_that_reads_nothing_is_disconnected(
    run_while_stopping, monkeypatch, size, more
):
    """Guards against connections that last as long as their client likes."""
    monkeypatch.setattr(listeners, 'UNREAD_PERIOD_S', 0.3)

    async def client(host, port, stop):
        sock = await connect_unread(host, port)
        request = b'GET / HTTP/1.1\r\nHost: a\r\n' + more + b'\r\n'
        await asyncio.get_running_loop().sock_sendall(sock, request)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(2.0):
            while find_protocols():
                await asyncio.sleep(0.05)
        sock.close()
        await stop()

    run_while_stopping(client, make_body_answer(size))


def test_a_client_that_reads_slowly_gets_its_whole_answer(
    run_while_stopping, monkeypatch
):
    monkeypatch.setattr(listeners, 'UNREAD_PERIOD_S', 0.3)
    size = 1_000_000

    async def client(host, port, stop):
        sock = await connect_unread(host, port)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, REQUEST)
        received = 0
        while received < size:
            # More than the receive buffer, so that its window opens.
            for _ in range(8):
                received += len(await loop.sock_recv(sock, 16384))
                if received >= size:
                    break
            await asyncio.sleep(0.02)
        sock.close()
        await stop()

    run_while_stopping(client, make_body_answer(size))


def test_a_body_that_stops_after_its_answer_is_cut_off(run_while_stopping):
    """Guards against connections that no timer watches."""

    async def client(host, port, stop):
        for rest in (b'', b'x' * 99):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx'
            )
            assert b' 413 ' in await reader.readuntil(b'\r\n\r\n')
            writer.write(rest)
            async with asyncio.timeout(1.0):
                assert await reader.read() == b''
            writer.close()
        await stop()

    run_while_stopping(client, refuse_unread, idle_timeout_s=0.3)


def test_requests_sent_ahead_are_read_one_by_one(run_while_stopping):
    """Guards against objects for all requests that a read brings."""
    seen = []
    go_on = asyncio.Event()

    async def answer_in_turn(scope, receive, send):
        seen.append(scope['path'])
        await go_on.wait()
        await answer_slowly(scope, receive, send)

    async def client(host, port, stop):
        requests = [
            b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n' % number
            for number in range(5)
        ]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b''.join(requests))
        await asyncio.sleep(0.1)
        (protocol,) = find_protocols()
        assert seen == ['/0']
        assert not protocol.pipeline
        go_on.set()
        for _ in requests:
            assert b' 200 ' in await reader.readuntil(b'body')
        assert seen == [f'/{number}' for number in range(5)]
        writer.close()
        await stop()

    run_while_stopping(client, answer_in_turn)


def find_protocols():
    """Return the open connections of all listeners of this process."""
    return [
        each
        for each in gc.get_objects()
        if isinstance(each, listeners.BoundedProtocol)
        and each in each.connections
    ]


@pytest.mark.parametrize('whole', [False, True])
def test_a_request_that_is_refused_for_others_does_not_run(
    run_while_stopping, whole
):
    """Guards against 503 for a request that runs all the same."""
    seen = []

    async def run(scope, receive, send):
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            if not message['more_body']:
                seen.append(scope['path'])
                await answer_slowly(scope, receive, send)
                return

    table = connectiontable.ConnectionTable(max_connections=10, max_bytes=1000)

    async def client(host, port, stop):
        head = b'POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n'
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(head % b'first' + b'x' * 800)
        await asyncio.sleep(0.05)
        other_reader, other_writer = await asyncio.open_connection(host, port)
        other_writer.write(head % b'second' + b'x' * (900 if whole else 800))
        refused = await reader.read()
        assert b' 503 ' in refused and b'retry-after: ' in refused
        other_writer.write(b'x' * (0 if whole else 100))
        assert b' 200 ' in await other_reader.readuntil(b'body')
        other_writer.close()
        writer.close()
        await stop()
        assert seen == ['/second']

    run_while_stopping(client, run, table=table)


def test_a_whole_request_that_finds_no_room_does_not_run(run_while_stopping):
    """Guards against 503 for a request that was passed on meanwhile."""
    seen = []
    go_on = asyncio.Event()

    async def run(scope, receive, send):
        while (message := await receive()).get('more_body'):
            pass
        if message['type'] == 'http.request':
            seen.append(scope['path'])
            await go_on.wait()
            await answer_slowly(scope, receive, send)

    table = connectiontable.ConnectionTable(max_connections=10, max_bytes=1000)

    async def client(host, port, stop):
        head = b'POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n'
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(head % b'first' + b'x' * 900)
        await asyncio.sleep(0.05)
        other_reader, other_writer = await asyncio.open_connection(host, port)
        other_writer.write(head % b'second' + b'x' * 900)
        async with asyncio.timeout(2.0):
            assert b' 503 ' in await other_reader.read()
        go_on.set()
        assert b' 200 ' in await reader.readuntil(b'body')
        other_writer.close()
        writer.close()
        await stop()
        assert seen == ['/first']

    run_while_stopping(client, run, table=table)


class BusyCaller:
    """Sends requests with blocking sockets while the event loop is busy."""

    def __init__(self, address) -> None:
        self._address = address
        self._sockets = []

    def connect(self, count):
        """Open connections, which wait in the backlog."""
        for _ in range(count):
            self._sockets.append(socket.create_connection(self._address))

    def send(self, request):
        """Send a request on each connection."""
        for each in self._sockets:
            each.sendall(request)

    async def read_answers(self):
        """Return what arrives on each connection until it is closed."""
        return await asyncio.gather(
            *(asyncio.to_thread(self._read, each) for each in self._sockets)
        )

    def _read(self, connection):
        received = b''
        with connection, contextlib.suppress(ConnectionError):
            connection.settimeout(5)
            while data := connection.recv(65536):
                received += data
        return received


def stay_busy(seconds):
    """Block the event loop."""
    time.sleep(seconds)


@pytest.mark.parametrize('busy_s', [0.0, 0.05, 0.1, 0.15, 0.3])
@pytest.mark.parametrize('sent_before', [0, 10, len(REQUEST)])
def test_a_connection_in_the_backlog_of_a_stop_is_answered(
    run_while_stopping, busy_s, sent_before
):
    async def client(host, port, stop):
        caller = BusyCaller((host, port))
        stopping = asyncio.create_task(stop())
        await asyncio.sleep(0)
        caller.connect(20)
        caller.send(REQUEST[:sent_before])
        stay_busy(busy_s)
        await stopping
        caller.send(REQUEST[sent_before:])
        for answer in await caller.read_answers():
            assert answer.endswith(b'\r\n\r\nbody')

    run_while_stopping(client)


@pytest.mark.parametrize('busy_s', [0.0, 0.05, 0.1, 0.15, 0.3])
def test_a_request_that_waits_while_the_node_is_busy_is_answered(
    run_while_stopping, busy_s
):
    async def client(host, port, stop):
        caller = BusyCaller((host, port))
        caller.connect(20)
        await asyncio.sleep(2 * listeners.RECENT_S)
        stopping = asyncio.create_task(stop())
        await asyncio.sleep(0)
        caller.send(REQUEST)
        stay_busy(busy_s)
        await stopping
        for answer in await caller.read_answers():
            assert answer.endswith(b'\r\n\r\nbody')

    run_while_stopping(client)


@pytest.mark.parametrize(
    'make_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_a_request_that_came_before_a_stop_closes_connections_is_answered(
    make_loop,
):
    """Guards against a stop that is quicker than the reads of its turn."""

    async def main():
        listening = listeners.open_socket(
            '127.0.0.1', 0, send_buffer_bytes=65536
        )
        listener = listeners.make_listener(answer_slowly)
        task = asyncio.create_task(listeners.run_listener(listener, listening))
        while not listener.started:
            await asyncio.sleep(0.01)
        caller = BusyCaller(listening.getsockname())
        caller.connect(20)
        await asyncio.sleep(2 * listeners.RECENT_S)
        # The stop goes on in the next turn, before what it reads.
        listeners.stop_listener(listener)
        stopping = asyncio.create_task(listener.shutdown([listening]))
        caller.send(REQUEST)
        for answer in await caller.read_answers():
            assert answer.endswith(b'\r\n\r\nbody')
        await asyncio.wait([stopping, task], timeout=5)
        task.cancel()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(main())
