"""Callers' requests in every writing that HTTP allows, and unsound ones."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.base import uris
from apricotthread.daemon import listeners
from apricotthread.gateway import routes
from apricotthread.platform import callers
from apricotthread.platform import configs
from tests import test_platform
from tests import test_uris

UPGRADE = (
    b'Connection: Upgrade, HTTP2-Settings',
    b'Upgrade: h2c',
    b'HTTP2-Settings: AAMAAABkAAQAAP__',
)
ANSWER_HEAD = b'HTTP/1.1 200 '


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """What a request means, and the bytes that say so."""

    method: str
    target: bytes
    body: bytes
    written: bytes


@strategies.composite
def requests(draw):
    """Draw a sound request in some writing."""
    method = draw(strategies.sampled_from(('POST', 'PUT', 'GET')))
    target = draw(
        strategies.sampled_from(
            (b'/a/b', b'/a/b?', b'/a/b?x=%20&y', b'/%61/b', b'/a//b;p?/?')
        )
    )
    host = draw(strategies.sampled_from((b'Host: ', b'host:', b'HOST: \t')))
    is_absolute = draw(strategies.booleans())
    lines = [host + (b'other.example' if is_absolute else b'a.example')]
    if draw(strategies.booleans()):
        lines.extend(UPGRADE)
    body = b''.join(
        pieces := draw(strategies.lists(strategies.binary(min_size=1)))
    )
    match draw(strategies.sampled_from(('length', 'chunks'))):
        case 'length':
            lines.append(b'Content-Length: %d' % len(body))
            written = body
        case 'chunks':
            lines.append(b'transfer-encoding: , Chunked ')
            written = b''.join(
                b'%X;x=y\r\n%b\r\n' % (len(piece), piece) for piece in pieces
            )
            written += draw(
                strategies.sampled_from(
                    (b'0\r\n\r\n', b'0\r\nX-Api-Key: k2\r\nHost: c\r\n\r\n')
                )
            )
    lines.append(draw(strategies.sampled_from((b'X: 1', b'x:1 \t', b'X:\t1'))))
    start = b'http://A.example:80' if is_absolute else b''
    head = method.encode() + b' ' + start + target + b' HTTP/1.1\r\n'
    return Request(
        method=method,
        target=target,
        body=body,
        written=head + b'\r\n'.join(lines) + b'\r\n\r\n' + written,
    )


class RecordingApplication:
    """Records the requests that it gets, and answers each."""

    def __init__(self):
        self.seen = []

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        body = b''
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            if not message['more_body']:
                break
        value_by_name = dict(scope['headers'])
        self.seen.append(
            (
                scope['method'],
                scope[uris.REQUEST_TARGET],
                body,
                uris.normalize_host(value_by_name[b'host'].decode()),
                value_by_name.get(b'x'),
                b'x-api-key' in value_by_name,
            )
        )
        start = {'type': 'http.response.start', 'status': 200}
        await send(start | {'headers': [(b'content-length', b'0')]})
        await send({'type': 'http.response.body', 'body': b''})


async def exchange(application, parts, answers):
    """Send bytes in parts on one connection; return what comes back."""
    listening = listeners.open_socket('127.0.0.1', 0, send_buffer_bytes=65536)
    listener = listeners.make_listener(application)
    task = asyncio.create_task(listeners.run_listener(listener, listening))
    reader, writer = await asyncio.open_connection(*listening.getsockname())
    received = b''
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.001)
        async with asyncio.timeout(2.0):
            while received.count(b'HTTP/1.1 ') < answers and (
                part := await reader.read(65536)
            ):
                received += part
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
        listener.force_exit = True
        listeners.stop_listener(listener)
        await task
    return received


def cut(data, positions):
    """Return data in parts, cut at some positions."""
    ends = sorted({0, len(data), *(p for p in positions if p < len(data))})
    return [
        data[start:end] for start, end in zip(ends, ends[1:], strict=False)
    ]


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    drawn=strategies.lists(requests(), min_size=1, max_size=3),
    positions=strategies.lists(strategies.integers(0, 700), max_size=5),
)
def test_a_request_means_the_same_in_every_writing(drawn, positions):
    """Guards against bodies that are run as requests of their own."""
    application = RecordingApplication()
    data = b''.join(request.written for request in drawn)
    received = asyncio.run(
        exchange(application, cut(data, positions), len(drawn))
    )
    assert received.count(ANSWER_HEAD) == len(drawn)
    assert application.seen == [
        (
            request.method,
            request.target,
            request.body,
            'a.example',
            b'1',
            False,
        )
        for request in drawn
    ]


@pytest.mark.parametrize('pause_at', [0, 1])
def test_the_body_after_an_offer_of_an_upgrade_is_no_request(pause_at):
    """Guards against a request that is smuggled inside another one."""
    body = b'POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
    lines = [b'Host: a', *UPGRADE, b'X: 1', b'Content-Length: %d' % len(body)]
    head = b'POST /outer HTTP/1.1\r\n' + b'\r\n'.join(lines) + b'\r\n\r\n'
    application = RecordingApplication()
    parts = [head + body[:pause_at], body[pause_at:]]
    asyncio.run(exchange(application, parts, 1))
    assert application.seen == [('POST', b'/outer', body, 'a', b'1', False)]


UNSOUND = {
    'an unknown transfer coding': (
        501,
        b'Host: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    ),
    'a transfer coding twice': (
        400,
        b'Host: a\r\nTransfer-Encoding: chunked\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ),
    'two hosts': (400, b'Host: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n'),
    'two lengths': (
        400,
        b'Host: a\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\n',
    ),
    'a length and chunks': (
        400,
        b'Host: a\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ),
}


@pytest.mark.parametrize('kind', UNSOUND)
def test_a_request_that_may_be_read_in_two_ways_is_refused(kind):
    """Guards against requests whose end is found elsewhere by another."""
    status, head = UNSOUND[kind]
    application = RecordingApplication()
    data = b'POST /a HTTP/1.1\r\n' + head
    received = asyncio.run(exchange(application, [data], 2))
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert received.count(b'HTTP/1.1') == 1
    assert application.seen == []


@pytest.mark.parametrize(
    'odd',
    [
        b'no request\r\n\r\n',
        b'POST /a HTTP/1.1\r\n' + UNSOUND['two hosts'][1],
        b'POST /a HTTP/1.1\r\nX: ' + b'x' * 50000,
    ],
)
def test_an_error_is_no_answer_to_the_request_before(odd):
    """Guards against 400 for a request that is sound and runs."""

    async def answer_late(scope, receive, send):
        await asyncio.sleep(0.1)
        await application(scope, receive, send)

    application = RecordingApplication()
    sound = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
    for parts in ([sound * 2 + odd], [sound * 2, odd, odd]):
        received = asyncio.run(exchange(answer_late, parts, 9))
        assert received.count(b'HTTP/1.1 ') == 2
        assert received.count(ANSWER_HEAD) == 2
    assert len(application.seen) == 4


@pytest.mark.parametrize(
    'start',
    [
        b'CONNECT a:80 HTTP/1.1',
        b'CONNECT /a HTTP/1.1',
        b'CONNECT * HTTP/1.1\r\nContent-Length: 3',
        b'GET /a#b HTTP/1.1',
    ],
)
def test_a_target_that_is_none_is_refused(start):
    application = RecordingApplication()
    data = start + b'\r\nHost: a\r\n\r\n'
    received = asyncio.run(exchange(application, [data], 2))
    assert received.startswith(b'HTTP/1.1 400 ')
    assert application.seen == []


def test_a_caller_that_leaves_ends_the_request_that_runs():
    """Guards against work for a caller that had sent a second request."""
    ended = asyncio.Event()

    async def wait_for_caller(scope, receive, send):
        while (await receive())['type'] != 'http.disconnect':
            pass
        ended.set()

    async def main():
        request = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
        listening = listeners.open_socket('127.0.0.1', 0, send_buffer_bytes=1)
        listener = listeners.make_listener(wait_for_caller)
        task = asyncio.create_task(listeners.run_listener(listener, listening))
        _, writer = await asyncio.open_connection(*listening.getsockname())
        writer.write(request * 2)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(2.0):
            await ended.wait()
        listener.force_exit = True
        listeners.stop_listener(listener)
        await task

    asyncio.run(main())


@pytest.mark.parametrize(
    ('prefix', 'path'),
    [
        ('/lots/', b'/%6Cots/2f'),
        ('/%6cots/', b'/lots/2f'),
        ('/pr\u00e9cio/', b'/pr%c3%A9cio/1'),
        ('/pr%C3%A9cio/', 'pr\u00e9cio/1'.encode().join((b'/', b''))),
        ('/a%2fb/', b'/a%2Fb/1'),
    ],
)
def test_a_route_is_found_however_its_path_is_written(prefix, path):
    """Guards against 404 for paths with characters encoded otherwise."""
    config = test_uris.make_config('a.example')
    config['routes'][0]['path-prefix'] = prefix
    table = configs.read_config(test_platform.encode(config))
    caller = callers.PlatformDialect().parse_request(
        'GET', path, [(b'host', b'a.example')]
    )
    index = routes.RouteIndex(table=table)
    assert index.find_route(caller.host, caller.path) == table.routes[0]
    assert caller.target == path


def test_an_encoded_slash_is_no_slash():
    assert uris.normalize_path('/a%2fb/') != uris.normalize_path('/a/b/')


def parse(*headers):
    """Parse a request with these headers."""
    return callers.PlatformDialect().parse_request('GET', b'/a', list(headers))


def test_a_list_may_come_in_several_headers():
    """Guards against parts of a prompt that count for nothing."""
    split = parse(
        (b'token-usage', b'40'),
        (b'prompt-prefix', b'a:800, b:2'),
        (b'token-usage', b'80'),
        (b'prompt-prefix', b'c:7'),
    )
    assert (split.prompt_tokens, split.output_tokens) == (40, 80)
    assert split.shared_parts == ('a', 'b')


@pytest.mark.parametrize('name', [b'x-api-key', b'attempt-id', b'deadline-ms'])
def test_two_values_where_one_may_be_are_refused(name):
    """Guards against a key or an id other than the endpoint takes."""
    assert parse((name, b'1'), (name, b'1')) is not None
    with pytest.raises(errors.ApricotError) as refused:
        parse((name, b'1'), (name, b'2'))
    assert refused.value.code is errors.ErrorCode.BAD_REQUEST
