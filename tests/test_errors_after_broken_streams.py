"""Streams that broke off, and go on at an endpoint that answers an error."""

import asyncio
import contextlib

import msgspec
import pytest

from apricotthread.base import environment
from apricotthread.control import routetables
from apricotthread.endpoints import connections
from apricotthread.gateway import forwarder
from apricotthread.gateway import requesttrace
from apricotthread.platform import callers
from tests import test_forwarder
from tests import test_unframed_streams

EVENTS = 6
BEGUN = 3  # events that come before the stream breaks off
ROUTE = msgspec.structs.replace(
    test_forwarder.ROUTE,
    repeat=routetables.Repeat.RESUME,
    is_stream=True,
    target_s=1.0,
)
SEALED = b'Attempt-Id: r-1\r\nResponse-Seal: s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
TEXT = b'internal error\n\n'
EVENT_LIKE = b'event: error\ndata: {"error": "overloaded"}\n\n'


def make_events(first, last=EVENTS):
    """Return the events with these numbers as bytes."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def make_answer(status, body, headers=SEALED):
    """Return a whole answer of an endpoint as bytes."""
    return b'HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s' % (
        status,
        headers,
        len(body),
        body,
    )


def make_chunked(status, body, headers=SEALED):
    """Return the same with chunks in place of a length."""
    return (
        b'HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n'
        b'%x\r\n%s\r\n0\r\n\r\n' % (status, headers, len(body), body)
    )


WRONG_ANSWERS = {
    f'{status} {name} {framing.__name__}': framing(status, body, headers)
    for status in (301, 400, 404, 408, 421, 429, 500, 502, 503, 504)
    for framing in (make_answer, make_chunked)
    for name, body, headers in (
        ('text', TEXT, SEALED),
        ('event', EVENT_LIKE, SEALED + EVENT_STREAM),
        ('next event', make_events(BEGUN + 1), SEALED + EVENT_STREAM),
        ('unsealed', TEXT, b'Attempt-Id: r-1\r\n'),
        ('not run', TEXT, SEALED + b'Not-Executed: 1\r\n'),
        ('empty', b'', SEALED),
    )
    if body or framing is make_answer
} | {
    'success without a seal': make_answer(200, TEXT, b'Attempt-Id: r-1\r\n'),
    'success without a seal, events': make_chunked(
        200, make_events(BEGUN + 1), b'Attempt-Id: r-1\r\n'
    ),
    'success for another': make_answer(
        200, make_events(BEGUN + 1), b'Attempt-Id: r-0\r\nResponse-Seal: s\r\n'
    ),
    'unframed error': b'HTTP/1.1 500 X\r\n' + SEALED + b'\r\n' + TEXT,
    'half a head': b'HTTP/1.1 500 X\r\nAttempt-Id: r-1\r\nRespon',
    'no head': TEXT,
    'error in the stream': make_answer(200, TEXT),
    'error event in the stream': make_chunked(200, EVENT_LIKE),
    'a head in the stream': make_chunked(
        200, make_answer(500, TEXT).replace(b'\r\n', b'\n')
    ),
    'a head after an event': make_chunked(
        200,
        make_events(BEGUN + 1, BEGUN + 1) + make_answer(500, TEXT),
    ),
    'a gap': make_answer(200, make_events(BEGUN + 2)),
}


class CollectingSink(test_forwarder.Sink):
    """Collects an answer."""

    def __init__(self):
        self.body = b''
        self.starts = 0

    async def start(self, status, headers):
        """Count the heads."""
        self.starts += 1
        await super().start(status, headers)

    async def write(self, data):
        """Collect a part of the body."""
        self.body += data


async def play(wrong_answer, *, sound_from, begun=BEGUN, more=b''):
    """Break a stream off, and have later attempts answered wrongly.

    The attempt with the number `sound_from` is answered as it should be.
    The first one ends with `more`.
    Return the sink, and whether the answer was cut.
    """
    env = environment.make_environment()
    attempts = 0

    async def accept(reader, writer):
        try:
            await answer(reader, writer)
        finally:
            writer.close()

    async def answer(reader, writer):
        nonlocal attempts
        attempts += 1
        head = await reader.readuntil(b'\r\n\r\n')
        last_event_id = int(head.split(b'last-event-id: ')[1].split()[0])
        if attempts == 1:
            writer.write(
                make_chunked(200, make_events(1, begun) + more).removesuffix(
                    b'0\r\n\r\n'
                )
            )
        elif attempts >= sound_from:
            writer.write(make_chunked(200, make_events(last_event_id + 1)))
        else:
            writer.write(wrong_answer)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        await asyncio.sleep(0.02)

    listening = [
        await asyncio.start_server(accept, '127.0.0.1', 0) for _ in range(4)
    ]
    addresses = [
        '%s:%d' % listener.sockets[0].getsockname() for listener in listening
    ]
    pool = connections.ConnectionPool(env=env, max_idle=4)
    forward = test_forwarder.make_forwarder(env, pool, addresses)
    dialect = callers.PlatformDialect()
    forward._dialect.parse_answer = dialect.parse_answer
    forward._dialect.build_request = test_unframed_streams.build_stub_request
    sink = CollectingSink()
    is_cut = False
    try:
        await forward.forward(
            test_forwarder.make_request(
                env,
                msgspec.structs.replace(ROUTE, max_attempts=3),
                time_left_s=20.0,
            ),
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


@pytest.mark.parametrize('wrong', WRONG_ANSWERS)
def test_an_error_after_a_broken_stream_is_no_part_of_it(wrong):
    sink, is_cut = asyncio.run(play(WRONG_ANSWERS[wrong], sound_from=9))
    assert make_events(1).startswith(sink.body)
    assert sink.body.startswith(make_events(1, BEGUN))
    assert sink.starts == 1
    assert is_cut != sink.has_ended
    assert sink.has_ended == (sink.body == make_events(1))


@pytest.mark.parametrize('wrong', WRONG_ANSWERS)
def test_a_stream_goes_on_after_an_endpoint_that_answers_an_error(wrong):
    sink, is_cut = asyncio.run(play(WRONG_ANSWERS[wrong], sound_from=3))
    assert make_events(1).startswith(sink.body)
    assert is_cut != sink.has_ended
    assert sink.has_ended == (sink.body == make_events(1))


def test_a_stream_that_broke_off_after_its_last_event_ends_elsewhere():
    """The next endpoint says that nothing was left to send."""
    nothing = make_answer(200, b'')
    sink, is_cut = asyncio.run(play(nothing, sound_from=9, begun=EVENTS))
    assert (sink.body, sink.has_ended, is_cut) == (make_events(1), True, False)


def test_a_stream_that_breaks_after_data_without_an_id_is_cut():
    """Guards against that data twice: no id tells the next endpoint of it."""
    sound = make_answer(200, make_events(BEGUN + 1))
    data = b'data: no id\n\n'
    sink, is_cut = asyncio.run(play(sound, sound_from=2, more=data))
    assert (sink.body, sink.has_ended) == (make_events(1, BEGUN) + data, False)
    assert is_cut
