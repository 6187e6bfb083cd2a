"""Streams that have neither a length nor chunks and end with a connection."""

import asyncio
import contextlib
import socket
import struct

import msgspec
import pytest

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.endpoints import connections
from apricotthread.gateway import forwarder
from apricotthread.gateway import requesttrace
from tests import test_forwarder

EVENTS = 6
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
ROUTE = msgspec.structs.replace(
    test_forwarder.ROUTE, is_stream=True, target_s=1.0
)


def make_events(first, last=EVENTS):
    """Return the events with these numbers as bytes."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


class CollectingSink(test_forwarder.Sink):
    """Collects an answer."""

    def __init__(self):
        self.body = b''

    async def write(self, data):
        """Collect a part of the body."""
        self.body += data


class StreamServer:
    """A server whose first answer is played, and whose others are whole."""

    def __init__(self, *, first_body, resets=False):
        self._first_body = first_body
        self._resets = resets
        self.last_event_ids = []

    async def accept(self, reader, writer):
        """Answer the request of one connection."""
        head = await reader.readuntil(b'\r\n\r\n')
        last_event_id = int(head.split(b'last-event-id: ')[1].split()[0])
        self.last_event_ids.append(last_event_id)
        body, resets = make_events(last_event_id + 1), False
        if len(self.last_event_ids) == 1:
            body, resets = self._first_body, self._resets
        writer.write(HEAD + body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        await asyncio.sleep(0.05)
        if resets:
            reset_on_close(writer)
        writer.close()


def reset_on_close(writer):
    """Have the connection reset when it is closed."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


def build_stub_request(request, *, last_event_id, **values):
    """Return a request that names event 0 if there was none."""
    return b'POST / HTTP/1.1\r\nlast-event-id: %d\r\n\r\n' % (
        last_event_id or 0
    )


async def play(server, *, attempts=2, build_request=build_stub_request):
    """Request the stream; return the sink, and whether it was cut."""
    env = environment.make_environment()
    listening = [
        await asyncio.start_server(server.accept, '127.0.0.1', 0)
        for _ in range(3)
    ]
    addresses = [
        '%s:%d' % listener.sockets[0].getsockname() for listener in listening
    ]
    pool = connections.ConnectionPool(env=env, max_idle=4)
    forward = test_forwarder.make_forwarder(env, pool, addresses)
    forward._dialect.build_request = build_request
    sink = CollectingSink()
    request = test_forwarder.make_request(
        env, msgspec.structs.replace(ROUTE, max_attempts=attempts)
    )
    is_cut = False
    try:
        await forward.forward(
            request,
            sink,
            requesttrace.RequestTrace(env=env, request_id='r-1'),
        )
    except forwarder.AnswerCut:
        is_cut = True
    finally:
        pool.close()
        for listener in listening:
            listener.close()
    return sink, is_cut


def test_an_unframed_stream_ends_with_its_connection():
    """No fault was found: it is passed on whole, and is not run again."""
    server = StreamServer(first_body=make_events(1))
    sink, is_cut = asyncio.run(play(server))
    assert (sink.body, sink.has_ended, is_cut) == (make_events(1), True, False)
    assert server.last_event_ids == [0]


@pytest.mark.parametrize(
    ('first_body', 'resets', 'resumed_after'),
    [
        (make_events(1, 3) + b'id: 4\ndata: pie', False, 3),
        (make_events(1, 3) + b'id: 4\ndata: piece 4\n', False, 3),
        (b'id: 1\nda', False, 0),
        (make_events(1, 3) + b'id: 4\ndata: pie', True, 3),
        (b'', False, 0),
        (b'', True, 0),
    ],
    ids=[
        'inside an event',
        'before the empty line',
        'inside the first event',
        'reset inside an event',
        'before the first event',
        'reset before the first event',
    ],
)
def test_an_unframed_stream_that_was_broken_off_is_resumed(
    first_body, resets, resumed_after
):
    server = StreamServer(first_body=first_body, resets=resets)
    sink, is_cut = asyncio.run(play(server))
    assert (sink.body, sink.has_ended, is_cut) == (make_events(1), True, False)
    assert server.last_event_ids == [0, resumed_after]


@pytest.mark.parametrize('first_body', [b'', make_events(1, 2) + b'id: 3'])
def test_an_unframed_stream_that_cannot_be_resumed_does_not_look_whole(
    first_body,
):
    server = StreamServer(first_body=first_body)
    if first_body:
        sink, is_cut = asyncio.run(play(server, attempts=1))
        assert (is_cut, sink.has_ended) == (True, False)
    else:
        with pytest.raises(errors.ApricotError) as caught:
            asyncio.run(play(server, attempts=1))
        assert caught.value.ran is errors.Ran.UNKNOWN
