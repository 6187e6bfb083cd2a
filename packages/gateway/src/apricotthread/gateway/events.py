"""Cuts a stream of server-sent events into whole events."""

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 1 << 20


class BrokenStream(Exception):
    """The stream is not a sequence of events with growing ids."""


class EventSplitter:
    """Passes on whole events, each once and in order of their ids.

    A stream that is taken up elsewhere goes on after the last event; what
    comes again is dropped, and a gap is an error.
    """

    def __init__(self, *, last_id: int) -> None:
        self.last_id = last_id
        self._started = last_id > 0
        self._rest = b''

    def restart(self) -> None:
        """Drop the part of an event that a broken endpoint has sent."""
        self._rest = b''

    @property
    def is_between_events(self) -> bool:
        """Whether no event has been begun."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in the data, joined.

        Raises BrokenStream for an id that leaves a gap.
        """
        data = self._rest + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStream('an event is too long')
            self._rest = data
            return b''
        end += len(SEPARATOR)
        self._rest = data[end:]
        whole = data[:end]
        if whole.count(SEPARATOR) == 1:
            return whole if self._is_next(whole) else b''
        events = whole.split(SEPARATOR)[:-1]
        return b''.join(
            event + SEPARATOR for event in events if self._is_next(event)
        )

    def _is_next(self, event: bytes) -> bool:
        """Whether an event has not been passed on yet."""
        start = event.find(ID_FIELD)
        if start < 0 or (start > 0 and event[start - 1 : start] != b'\n'):
            return True
        line_end = event.find(b'\n', start)
        text = event[
            start + len(ID_FIELD) : line_end if line_end > 0 else None
        ]
        try:
            event_id = int(text)
        except ValueError:
            raise BrokenStream(f'the event id is {text[:20]!r}') from None
        if event_id <= self.last_id and self._started:
            return False
        if self._started and event_id != self.last_id + 1:
            raise BrokenStream(
                f'event {event_id} follows event {self.last_id}'
            )
        self._started = True
        self.last_id = event_id
        return True
