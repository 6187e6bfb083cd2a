"""Streams are resumed after any event, whatever number it has."""

import asyncio
import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.gateway import events
from apricotthread.platform import callers
from tests import test_gateway_parts
from tests import test_platform
from tests import test_unframed_streams

# Ids beyond 2^53 are not all floating-point numbers.
FIRST_IDS = (0, 1, 2**53, 2**63 - 20)


def read_header(request: bytes) -> int | None:
    """Return the last event id in the head of a request to a worker."""
    head = request.partition(b'\r\n\r\n')[0]
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'last-event-id':
            return int(value)
    return None


def build_for(last_event_id):
    """Return the request to a worker of a caller with this last event."""
    headers = [
        (name, value)
        for name, value in test_platform.make_headers()
        if name != b'last-event-id'
    ]
    if last_event_id is not None:
        headers.append((b'last-event-id', b'%d' % last_event_id))
    dialect = callers.PlatformDialect()
    caller = dialect.parse_request('POST', b'/lots/2f?x=1', headers)
    return test_platform.build_worker_request(
        dialect, headers, last_event_id=caller.last_event_id
    )


@pytest.mark.parametrize('last_event_id', [None, *FIRST_IDS])
def test_the_last_event_id_of_a_caller_reaches_the_worker(last_event_id):
    """Guards against 0 that is taken for none, and against rounded ids."""
    assert read_header(build_for(last_event_id)) == last_event_id


@pytest.mark.parametrize(
    'value',
    [b'-1', b'1.5', b'1e3', b'nan', b'1e400', b'9' * 400, b'1_0', b'soon'],
)
def test_a_last_event_id_that_is_no_number_of_an_event_is_refused(value):
    with pytest.raises(errors.ApricotError) as refused:
        callers.PlatformDialect().parse_request(
            'GET', b'/', [(b'last-event-id', value)]
        )
    assert refused.value.code is errors.ErrorCode.BAD_REQUEST


@pytest.mark.parametrize('first_id', FIRST_IDS)
@hypothesis.given(broken_at=strategies.integers(0, 200))
def test_a_stream_that_breaks_anywhere_goes_on_after_its_last_event(
    first_id, broken_at
):
    """Guards against a stream that begins anew after event 0."""
    ids = range(first_id, first_id + 6)
    whole = b''.join(map(test_gateway_parts.make_event, ids))
    splitter = events.EventSplitter(last_id=None)
    returned = splitter.feed(whole[:broken_at])
    splitter.restart()
    # An endpoint goes on after the event that it is told, if any.
    rest = [n for n in ids if splitter.last_id is None or n > splitter.last_id]
    returned += splitter.feed(
        b''.join(map(test_gateway_parts.make_event, rest))
    )
    assert returned == whole


def test_a_caller_that_has_event_0_does_not_get_it_again():
    splitter = events.EventSplitter(last_id=0)
    both = test_gateway_parts.make_event(0) + test_gateway_parts.make_event(1)
    assert splitter.feed(both) == test_gateway_parts.make_event(1)


class ResumingServer:
    """Breaks its first answer off after some events, and resumes streams."""

    def __init__(self, *, first_id, sent):
        self._first_id = first_id
        self._sent = sent
        self.resumed_after = []

    async def accept(self, reader, writer):
        """Answer the request of one connection."""
        last_id = read_header(await reader.readuntil(b'\r\n\r\n'))
        self.resumed_after.append(last_id)
        begin = self._first_id if last_id is None else last_id + 1
        end = self._first_id + 6
        if len(self.resumed_after) == 1:
            end = self._first_id + self._sent
        body = b''.join(map(test_gateway_parts.make_event, range(begin, end)))
        if len(self.resumed_after) == 1:
            body += b'id: '
        writer.write(test_unframed_streams.HEAD + body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


@pytest.mark.parametrize('sent', [0, 1, 2])
@pytest.mark.parametrize('first_id', FIRST_IDS)
def test_a_stream_is_resumed_once_after_the_event_that_its_caller_has(
    first_id, sent
):
    """Guards against event 0 that comes twice as an endpoint breaks off."""
    server = ResumingServer(first_id=first_id, sent=sent)

    def build_request(request, *, last_event_id, **values):
        line = b''
        if last_event_id is not None:
            line = b'last-event-id: %d\r\n' % last_event_id
        return b'POST / HTTP/1.1\r\n' + line + b'\r\n'

    sink, is_cut = asyncio.run(
        test_unframed_streams.play(server, build_request=build_request)
    )
    whole = b''.join(
        map(test_gateway_parts.make_event, range(first_id, first_id + 6))
    )
    assert (sink.body, is_cut) == (whole, False)
    assert server.resumed_after == [
        None,
        first_id + sent - 1 if sent else None,
    ]
