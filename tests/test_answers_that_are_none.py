"""Answers in every writing that HTTP allows, and bytes that are none."""

import asyncio

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.gateway import requesttrace
from tests import test_errors_after_broken_streams
from tests import test_forwarder
from tests import test_unframed_streams

SOUND = b'HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 2\r\n\r\nok'
PIECES = strategies.lists(strategies.binary(min_size=1, max_size=9))
HEADERS = strategies.lists(
    strategies.sampled_from(
        (
            b'Date: today',
            b'X-Empty:',
            b'connection:keep-alive',
            b'KEEP-ALIVE: \t timeout=5 \t',
            b'Trailer: X-Sum',
            b'Upgrade: h2c',
        )
    ),
    max_size=3,
)
LAST_CHUNKS = (
    b'0\r\n\r\n',
    b'000\r\n\r\n',
    b'0;last\r\n\r\n',
    b'0\r\nX-Sum: 1\r\n\r\n',
)


def write_head(status, headers, reason=b'X'):
    """Return a head of HTTP/1.1; `status` is a number or bytes."""
    status = status if isinstance(status, bytes) else b'%03d' % status
    lines = [b'HTTP/1.1 ' + status + b' ' + reason, *headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def write_chunks(draw, pieces):
    """Return pieces as chunks, in any writing of their sizes."""
    sizes = draw(strategies.sampled_from((b'%x', b'%X', b'00%x', b'%x;a=b')))
    return b''.join(
        sizes % len(piece) + b'\r\n' + piece + b'\r\n' for piece in pieces
    ) + draw(strategies.sampled_from(LAST_CHUNKS))


@strategies.composite
def interim_answers(draw):
    """Draw interim answers without a body."""
    return b''.join(
        write_head(status, draw(HEADERS))
        for status in draw(
            strategies.lists(
                strategies.sampled_from((100, 102, 103, 199)), max_size=2
            )
        )
    )


@strategies.composite
def sound_answers(draw):
    """Draw an answer: its bytes, status, body, and whether it ends by EOF."""
    status = draw(strategies.integers(200, 599))
    headers = draw(HEADERS)
    pieces = draw(PIECES)
    reason = draw(strategies.sampled_from((b'', b'OK', b'Not \xe4')))
    start = draw(interim_answers())
    framing = draw(strategies.sampled_from(('length', 'chunks', 'end')))
    if status in (204, 304):
        sizes = [b'Content-Length: %d' % len(b''.join(pieces))]
        length = sizes if status == 304 and framing == 'length' else []
        return (
            start + write_head(status, headers + length, reason),
            status,
            b'',
            False,
        )
    body = b''.join(pieces)
    match framing:
        case 'length':
            header = draw(
                strategies.sampled_from(
                    (b'Content-Length: %d', b'content-length:00%d')
                )
            )
            written = body
            headers.append(header % len(body))
        case 'chunks':
            headers.append(
                draw(
                    strategies.sampled_from(
                        (
                            b'Transfer-Encoding: chunked',
                            b'transfer-encoding:Chunked',
                        )
                    )
                )
            )
            written = write_chunks(draw, pieces)
        case 'end':
            written = body
    return (
        start + write_head(status, headers, reason) + written,
        status,
        body,
        framing == 'end',
    )


@strategies.composite
def no_answers(draw):
    """Draw bytes that are no answer, with a sound one after them."""
    length = b'Content-Length: 4'
    chunked = b'Transfer-Encoding: chunked'
    start = draw(interim_answers())
    kind = draw(strategies.integers(0, 5))
    match kind:
        case 0:
            status = draw(
                strategies.sampled_from((b'000', b'099', b'600', b'999'))
            )
            framing = draw(strategies.sampled_from((length, chunked)))
            body = b'4\r\nbody\r\n0\r\n\r\n' if framing is chunked else b'body'
            odd = write_head(status, [framing]) + body
        case 1:
            odd = write_head(101, [b'Upgrade: h2c', b'Connection: upgrade'])
        case 2:
            odd = write_head(103, [length]) + b'body'
        case 3:
            odd = write_head(100, [chunked]) + b'4\r\nbody\r\n0\r\n\r\n'
        case 4:
            odd = write_head(200, [length, b'Content-Length: 5']) + b'body5'
        case 5:
            coding = draw(
                strategies.sampled_from(
                    (b'gzip, chunked', b'gzip', b'chunked, chunked', b'x')
                )
            )
            odd = write_head(200, [b'Transfer-Encoding: ' + coding])
            odd += b'4\r\nbody\r\n0\r\n\r\n'
    return start + odd + draw(strategies.sampled_from((b'', SOUND)))


def feed(reader, data, positions):
    """Feed bytes that are cut at some positions."""
    ends = sorted({0, len(data), *(p for p in positions if p < len(data))})
    for start, end in zip(ends, ends[1:], strict=False):
        reader.feed(data[start:end])


cuts = strategies.lists(strategies.integers(0, 300), max_size=6)


@hypothesis.given(answer=sound_answers(), positions=cuts)
def test_a_sound_answer_means_the_same_in_every_writing(answer, positions):
    data, status, body, ends_with_connection = answer
    reader = answerreader.AnswerReader()
    feed(reader, data, positions)
    assert reader.failure == ''
    assert reader.answer.status == status
    for name, value in reader.answer.headers:
        # Guards against trailers and white space that count as headers.
        assert name != b'x-sum'
        assert value == value.strip()
    assert reader.ends_with_connection == ends_with_connection
    reader.end()
    assert reader.is_complete
    assert reader.take_body() == body


@hypothesis.given(data=no_answers(), positions=cuts)
def test_bytes_that_are_no_answer_fail_at_once(data, positions):
    """Guards against answers with status 000 that pass as answers."""
    reader = answerreader.AnswerReader()
    feed(reader, data, positions)
    assert reader.failure
    assert reader.answer is None
    assert not reader.is_complete
    assert not reader.buffered_bytes


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('status', [200, 204, 304])
def test_a_length_without_a_body_is_waited_for_only_where_one_comes(
    method, status
):
    """Guards against heads whose body never comes."""
    reader = answerreader.AnswerReader(expects_body=method != 'HEAD')
    reader.feed(write_head(status, [b'Content-Length: 4']))
    assert reader.is_complete == (method == 'HEAD' or status != 200)
    assert not reader.ends_with_connection


class CountingServer:
    """Answers each request with the same bytes, and counts them."""

    def __init__(self, answer):
        self._answer = answer
        self.requests = 0

    async def accept(self, reader, writer):
        """Answer the requests of a connection."""
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                writer.write(self._answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def play(answers, route):
    """Forward a request to servers that answer so.

    Return the sink, the error if there was one, the number of requests that
    the servers got, and the seconds that it took.
    """
    env = environment.make_environment()
    servers = [CountingServer(answer) for answer in answers]
    listening = [
        await asyncio.start_server(server.accept, '127.0.0.1', 0)
        for server in servers
    ]
    addresses = [
        '%s:%d' % listener.sockets[0].getsockname() for listener in listening
    ]
    pool = connections.ConnectionPool(env=env, max_idle=4)
    forward = test_forwarder.make_forwarder(env, pool, addresses)
    forward._dialect.build_request = test_unframed_streams.build_stub_request
    sink = test_errors_after_broken_streams.CollectingSink()
    started_at = env.timer.now()
    error = None
    try:
        await forward.forward(
            test_forwarder.make_request(env, route, time_left_s=5.0),
            sink,
            requesttrace.RequestTrace(env=env, request_id='r-1'),
        )
    except errors.ApricotError as caught:
        error = caught
    finally:
        pool.close()
        for listener in listening:
            listener.close()
    requests = sum(server.requests for server in servers)
    return sink, error, requests, env.timer.now() - started_at


NO_ANSWERS = {
    'status 000': write_head(b'000', [b'Attempt-Id: r-1']),
    'status 000 with a body': write_head(
        b'000', [b'Attempt-Id: r-1', b'Content-Length: 2']
    )
    + b'no',
    'status 000 with chunks': write_head(
        b'000', [b'Attempt-Id: r-1', b'Transfer-Encoding: chunked']
    )
    + b'2\r\nno\r\n0\r\n\r\n',
    'status 099': write_head(b'099', [b'Attempt-Id: r-1']),
    'status 600': write_head(600, [b'Attempt-Id: r-1', b'Content-Length: 0']),
    'status 999': write_head(999, [b'Attempt-Id: r-1', b'Content-Length: 0']),
    'switch of protocols': write_head(
        101, [b'Connection: upgrade', b'Upgrade: h2c']
    ),
    'interim answer with a body': write_head(103, [b'Content-Length: 2'])
    + b'no',
}


@pytest.mark.parametrize('kind', NO_ANSWERS)
@pytest.mark.parametrize('more', [b'', SOUND])
def test_a_call_that_gets_no_answer_fails_at_once(kind, more):
    """Guards against calls that wait for their deadline, or for nothing."""
    route = msgspec.structs.replace(
        test_forwarder.ROUTE, repeat=routetables.Repeat.NEVER
    )
    sink, error, requests, took_s = asyncio.run(
        play([NO_ANSWERS[kind] + more], route)
    )
    assert error.code is errors.ErrorCode.ENDPOINT_FAILED
    assert error.ran is errors.Ran.UNKNOWN
    assert (sink.started, requests) == (False, 1)
    assert took_s < 2.0


@pytest.mark.parametrize('kind', NO_ANSWERS)
def test_a_call_that_may_be_repeated_is_answered_elsewhere(kind):
    """Guards against bytes of no answer in the answer of the next attempt."""
    odd = NO_ANSWERS[kind] + SOUND
    for _ in range(4):
        sink, error, requests, took_s = asyncio.run(
            play([odd, SOUND], test_forwarder.ROUTE)
        )
        assert error is None
        assert (sink.status, sink.body, sink.starts) == (200, b'ok', 1)
        assert requests <= 2
        assert took_s < 2.0


@pytest.mark.parametrize('status', [204, 304])
def test_an_answer_that_never_has_a_body_is_passed_on(status):
    """Guards against a length of no body that ends the connection."""
    answer = write_head(status, [b'Attempt-Id: r-1', b'Content-Length: 4'])
    route = msgspec.structs.replace(
        test_forwarder.ROUTE, repeat=routetables.Repeat.NEVER
    )
    sink, error, _, took_s = asyncio.run(play([answer], route))
    assert error is None
    assert (sink.status, sink.body, sink.has_ended) == (status, b'', True)
    assert took_s < 2.0
