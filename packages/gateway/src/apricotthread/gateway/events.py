"""Splits a stream of server-sent events into complete events."""

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
COMMENT_FIELD = b':'
# By the HTML standard.
FIELDS = (ID_FIELD, DATA_FIELD, b'event:', b'retry:', COMMENT_FIELD)
MAX_EVENT_BYTES = 64 * 1024  # a few hundred bytes are usual


def has_data(events: bytes) -> bool:
    """Whether complete events hold data, not only comments."""
    return events.startswith(DATA_FIELD) or b'\n' + DATA_FIELD in events


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
        self._is_resumed = False
        # Whether the present endpoint has gone on where the last one ended.
        self._has_gone_on = False

    def restart(self) -> None:
        """Drop an incomplete event, before the stream is resumed elsewhere."""
        self._incomplete = b''
        self._is_resumed = self.last_id is not None
        self._has_gone_on = False

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._incomplete.strip()

    def feed(self, data: bytes) -> bytes:
        """Return the new complete events, joined; buffer an incomplete one.

        Raises BrokenStream if an id is not a number or leaves a gap, if an
        event is longer than MAX_EVENT_BYTES, or if an endpoint at which the
        stream was resumed sends what does not go on with it.
        """
        data = self._incomplete + data
        complete_end = data.rfind(SEPARATOR) + len(SEPARATOR)
        if complete_end < len(SEPARATOR):
            complete_end = 0
        self._incomplete = data[complete_end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise BrokenStream('an event is longer than the limit')
        if not complete_end:
            return b''
        known = self.last_id
        try:
            return self._select_new(data[:complete_end])
        except BrokenStream:
            # None of these events is returned, so they are still to come.
            self.last_id = known
            raise

    def _select_new(self, complete: bytes) -> bytes:
        if complete.count(SEPARATOR) == 1:
            return complete if self._is_new(complete) else b''
        events = complete.split(SEPARATOR)[:-1]
        return b''.join(
            event + SEPARATOR for event in events if self._is_new(event)
        )

    def _is_new(self, event: bytes) -> bool:
        """Whether an event has not been returned yet; records its id.

        An event without an id is always new.
        """
        if self._is_resumed:
            self._check_fields(event)
        start = event.find(ID_FIELD)
        if start < 0 or (start > 0 and event[start - 1 : start] != b'\n'):
            if self._is_resumed and not self._has_gone_on:
                self._check_is_comment(event)
            return True
        self._has_gone_on = True
        line_end = event.find(b'\n', start)
        text = event[
            start + len(ID_FIELD) : line_end if line_end > 0 else None
        ]
        try:
            event_id = int(text)
        except ValueError:
            raise BrokenStream(
                f'the event id {text[:20]!r} is not a number'
            ) from None
        if self.last_id is not None:
            if event_id <= self.last_id:
                return False
            if event_id != self.last_id + 1:
                raise BrokenStream(
                    f'event {event_id} follows event {self.last_id}'
                )
        self.last_id = event_id
        return True

    def _check_fields(self, event: bytes) -> None:
        for line in event.split(b'\n'):
            if line and not line.startswith(FIELDS):
                raise BrokenStream(f'{line[:40]!r} is no field of an event')

    def _check_is_comment(self, event: bytes) -> None:
        for line in event.split(b'\n'):
            if line and not line.startswith(COMMENT_FIELD):
                raise BrokenStream(
                    f'{line[:40]!r} comes where event {self.last_id + 1} '
                    'should'
                )
