"""Reads event streams by the HTML standard alone, and writes them."""

import dataclasses

from hypothesis import strategies


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """An event as a reader of the stream gets it."""

    event_id: str
    data: str


def read(body: bytes) -> list[Event]:
    """Return the events of a stream by section 9.2.6 of the standard."""
    text = body.decode('utf-8', 'replace').removeprefix('\ufeff')
    lines = text.replace('\r\n', '\n').replace('\r', '\n').split('\n')
    found = []
    data = []
    event_id = ''
    for line in lines[:-1]:
        if not line:
            if data:
                found.append(Event(event_id=event_id, data='\n'.join(data)))
            data = []
            continue
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            data.append(value)
        elif name == 'id' and '\0' not in value:
            event_id = value
    return found


def write_event(number: int, fields: list[bytes], line_end: bytes) -> bytes:
    """Return an event with its id where `fields` has b'id'."""
    lines = [line if line != b'id' else b'id: %d' % number for line in fields]
    return line_end.join(lines) + line_end * 2


# Lines without a meaning for a reader of an event, or whose meaning is not
# that of the id in them.
ODD_LINES = (
    b': id: 7',
    b'data: buyer 2 raised the bid: 1007',
    b'data:id: 3',
    b'data',
    b'event: piece',
    b'retry: 100',
    b'weight-versions: 4',
    b'identity: 9',
    b'ID: 9',
    b'id: 9\0',
    b'unknown',
)


@strategies.composite
def writings(draw):
    """Draw how an endpoint writes its stream.

    Returns what comes before the first event, the fields of an event, where
    b'id' stands for its id, and the end of a line.
    """
    fields = [b'data: text', b'id'] + draw(
        strategies.lists(strategies.sampled_from(ODD_LINES), max_size=3)
    )
    return (
        draw(strategies.sampled_from((b'', b'\xef\xbb\xbf'))),
        draw(strategies.permutations(fields)),
        draw(strategies.sampled_from((b'\n', b'\r\n', b'\r'))),
    )


def write_stream(writing, numbers) -> bytes:
    """Return the events with these numbers in a drawn writing."""
    start, fields, line_end = writing
    return start + b''.join(
        write_event(number, fields, line_end) for number in numbers
    )
