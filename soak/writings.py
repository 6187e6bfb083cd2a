"""Draws how workers and callers of the soak write their messages.

Each writing is one that HTTP or the event-stream format allows, and means the
same as the plain one. The odd answers are none.
"""

import random

INTERIM_ANSWER = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
INTERIM_SHARE = 0.1
LINE_ENDS = ('\n', '\r\n', '\r')
SPACES = ((' ', ''), ('', ''), (' \t', ' \t'))
# Lines of an event that say nothing to its reader.
COMMENTS = (': id: 7', 'weight-versions: 4', 'retry: 100', 'event: piece')
HOSTS = ('a.example', 'A.Example', 'a.example.', 'a.example:80')
TARGET_ENDS = ('', '?x', '?x=%2f')
# Bytes in place of an answer, or before a sound one.
ODD_ANSWERS = (
    b'\x00garbled\r\n\r\n',
    b'HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nno',
    b'HTTP/1.1 099 X\r\n\r\n',
    b'HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n'
    b'0\r\n\r\n',
    b'HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n',
)


def write_event(generator: random.Random, number: int) -> str:
    """Return an event with this id, in a drawn writing."""
    lines = [f'id: {number}', f'data: piece {number}']
    lines.extend(generator.sample(COMMENTS, generator.randrange(3)))
    generator.shuffle(lines)
    line_end = generator.choice(LINE_ENDS)
    return line_end.join(lines) + 2 * line_end


def is_written(body: bytes, events: int) -> bool:
    """Whether a stream has only lines that workers write, and ends whole."""
    written = {'', *COMMENTS}
    for number in range(1, events + 1):
        written |= {f'id: {number}', f'data: piece {number}'}
    # Only these ends of lines: str.splitlines knows others, too.
    text = body.decode('latin-1').replace('\r\n', '\n').replace('\r', '\n')
    return text.endswith('\n\n') and written.issuperset(text.split('\n'))


def write_header(generator: random.Random, name: str, value: str) -> str:
    """Return a header line in a drawn writing."""
    name = generator.choice((name, name.lower(), name.upper()))
    before, after = generator.choice(SPACES)
    return f'{name}:{before}{value}{after}\r\n'
