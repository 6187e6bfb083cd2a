"""Splits a stream of server-sent events into complete events.

The format is that of the HTML standard (9.2.5 and 9.2.6): lines end with LF,
CRLF or CR, a byte order mark may come first, fields come in any order, and of
several ids in an event the last one counts.
"""

import collections.abc
import re

from apricotthread.base import numbers

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
LINE_ENDS = (b'\r', b'\n')
MAX_EVENT_BYTES = 64 * 1024  # a few hundred bytes are usual

# The end of a line, and all empty lines after it. A CR at the end of the
# bytes may be half of a CRLF, so an LF that follows later is an empty line.
_EVENT_END = re.compile(rb'\n[\r\n]+|\r(?:\n[\r\n]+|\r[\r\n]*)')
# The longest part of an end that may come before the end is complete.
_END_OVERLAP = len(b'\r\n')
_DATA = re.compile(rb'(?:\A(?:\xef\xbb\xbf)?|[\r\n])data[:\r\n]')
_KNOWN_LINE = re.compile(rb'(?:id|data|event|retry)(?::|\Z)|:')


def has_data(events: bytes) -> bool:
    """Whether complete events hold data, not only comments."""
    return b'\ndata:' in events or _DATA.search(events) is not None


class BrokenStream(Exception):
    """The stream is not a sequence of events with consecutive ids."""


class EventSplitter:
    """Returns each complete event of a stream once, in order of ids.

    After a stream was resumed at another endpoint, events that were
    returned before are dropped, and a gap in the ids is an error. So is
    anything else before the next id: the endpoint may have answered with the
    text of an error.

    `last_id` is the id of the last event that was returned, None if none was:
    0 is an id like any other.
    """

    def __init__(self, *, last_id: int | None) -> None:
        self.last_id = last_id
        self._incomplete = b''
        # Whether bytes of the present endpoint have come, and of any events
        # have been returned.
        self._is_begun = False
        self._has_returned = False
        # Whether the last event, to which empty lines belong, was returned.
        self._is_passing = True
        self._is_resumed = False
        # Whether the present endpoint has gone on where the last one ended.
        self._has_gone_on = False
        self._has_unnumbered_data = False

    @property
    def can_resume(self) -> bool:
        """Whether another endpoint can go on after the returned events.

        It can't after data without an id, which would be returned twice.
        """
        return not self._has_unnumbered_data

    def restart(self) -> None:
        """Drop an incomplete event, before the stream is resumed elsewhere."""
        self._incomplete = b''
        self._is_begun = False
        self._is_passing = not self._has_returned
        self._is_resumed = self.last_id is not None
        self._has_gone_on = False

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Return the new complete events, joined; buffer an incomplete one.

        Raises BrokenStream if an id is not a number or leaves a gap, if an
        event is longer than MAX_EVENT_BYTES, or if an endpoint at which the
        stream was resumed sends what does not go on with it.
        """
        buffered = len(self._incomplete)
        if buffered:
            data = self._incomplete + data
        start = 0
        if not self._is_begun:
            if data != BYTE_ORDER_MARK and BYTE_ORDER_MARK.startswith(data):
                self._incomplete = data
                return b''
            self._is_begun = True
            buffered = 0
            if data.startswith(BYTE_ORDER_MARK):
                start = len(BYTE_ORDER_MARK)
        returned = []
        if not buffered and (start or data.startswith(LINE_ENDS)):
            end = len(data) - len(data[start:].lstrip(b'\r\n'))
            if self._is_passing:
                returned.append(data[:end])
            start = end
        known = self.last_id
        try:
            for end in _find_ends(data, max(start, buffered - _END_OVERLAP)):
                event = data[start:end]
                start = end
                self._is_passing = self._is_new(event)
                if self._is_passing:
                    returned.append(event)
        except BrokenStream:
            # None of these events is returned, so they are still to come.
            self.last_id = known
            raise
        self._incomplete = data[start:] if start < len(data) else b''
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise BrokenStream('an event is longer than the limit')
        events = returned[0] if len(returned) == 1 else b''.join(returned)
        self._has_returned = self._has_returned or bool(events)
        return events

    def _is_new(self, event: bytes) -> bool:
        """Whether an event has not been returned yet; records its id.

        An event without an id is always new.
        """
        event_id = _read_id(event)
        if event_id is None:
            if self._is_resumed:
                self._check_unnumbered(event)
            if not self._has_unnumbered_data:
                self._has_unnumbered_data = has_data(event)
            return True
        self._has_gone_on = True
        if self.last_id is not None:
            if event_id <= self.last_id:
                return False
            if event_id != self.last_id + 1:
                raise BrokenStream(
                    f'event {event_id} follows event {self.last_id}'
                )
        self.last_id = event_id
        return True

    def _check_unnumbered(self, event: bytes) -> None:
        """Raise BrokenStream if an event without an id may be an error."""
        for line in event.splitlines():
            if line and not _KNOWN_LINE.match(line):
                raise BrokenStream(f'{line[:40]!r} is no field of an event')
        if not self._has_gone_on and has_data(event):
            raise BrokenStream(
                f'{event[:40]!r} comes where event {self.last_id + 1} should'
            )


def _find_ends(data: bytes, start: int) -> collections.abc.Iterator[int]:
    """Yield the end of each complete event, with the empty lines after it."""
    if b'\r' in data:
        for match in _EVENT_END.finditer(data, start):
            yield match.end()
        return
    # A regular expression would take thrice as long.
    while (start := data.find(b'\n\n', start)) >= 0:
        start += len(b'\n\n')
        while data.startswith(b'\n', start):
            start += 1
        yield start


def _read_id(event: bytes) -> int | None:
    """Return the id of an event, None if it has none.

    Raises BrokenStream unless the id is a whole number.
    """
    text = None
    for line in event.splitlines():
        if line.startswith(b'id'):
            name, _, value = line.partition(b':')
            # An id with a NUL is to be ignored.
            if name == b'id' and b'\0' not in value:
                text = value
    if text is None:
        return None
    event_id = numbers.parse_integer(text.decode('latin-1'))
    if event_id is None:
        raise BrokenStream(f'the event id {text[:20]!r} is not a number')
    return event_id
