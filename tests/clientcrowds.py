"""Crowds of clients that misbehave, and keep their connections open."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

# Each client gives up sending once the node has taken nothing for this time.
SEND_TIMEOUT_S = 5.0
READ_LIMIT_BYTES = 2048  # a client that does not read takes hardly more


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients that each send the same bytes, in parts, and then stay.

    `make_parts` returns the parts. A client of a crowd that `reads` takes the
    answers; the others leave them in their sockets.
    """

    clients: int
    make_parts: collections.abc.Callable[[], collections.abc.Iterable[bytes]]
    reads: bool = False


def make_request(path: str, *headers: str, method: str = 'GET') -> bytes:
    """Return the head of a request to the stand-in's host."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: a.example', *headers]
    return '\r\n'.join([*lines, '', '']).encode()


def repeat(part: bytes, total_bytes: int) -> collections.abc.Iterator[bytes]:
    """Yield a part as often as it fits into a size."""
    for _ in range(total_bytes // len(part)):
        yield part


def make_chunk(size: int) -> bytes:
    """Return a chunk of a body (RFC 9112, 7.1)."""
    return b'%x\r\n' % size + b'x' * size + b'\r\n'


def send_chunks(
    head: bytes, chunk_bytes: int, body_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Yield a request whose body in chunks never ends."""
    yield head
    together = max(1, 65536 // chunk_bytes)
    part = make_chunk(chunk_bytes) * together
    for _ in range(body_bytes // (chunk_bytes * together)):
        yield part


HOSTS = ('a.example', 'A.EXAMPLE:80', 'b.example', '')
PATHS = ('/nowhere', '/reads/1', '/bids/1', '/lots/1', '/-/ready', '*')
METHODS = ('GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'CONNECT')
HEADERS = (
    'X-Api-Key: k1',
    'X-Api-Key: unknown',
    'Attempt-Id: drawn',
    'Deadline-Ms: 900',
    'Deadline-Ms: 60000',
    'Model: m0',
    'Token-Usage: 10,80',
    'Expect: 100-continue',
    'Connection: close',
    'Connection: upgrade',
    'Upgrade: websocket',
    'Range: bytes=0-',
)


def draw_head(draw: random.Random) -> bytes:
    """Return the head of a request, mostly a sound one, without framing."""
    lines = [f'{draw.choice(METHODS)} {draw.choice(PATHS)} HTTP/1.1']
    lines.append(f'Host: {draw.choice(HOSTS)}')
    lines.extend(draw.sample(HEADERS, draw.randrange(5)))
    return '\r\n'.join(lines).encode() + b'\r\n'


def draw_parts(draw: random.Random) -> list[bytes]:
    """Return what a client sends: requests, of which the last is not whole."""
    parts = [draw_head(draw) + b'\r\n'] * draw.choice((0, 1, 5, 500, 5000))
    head = draw_head(draw)
    size = draw.choice((1, 1000, 100_000, 4_000_000))
    match draw.choice(('head', 'headers', 'length', 'chunks', 'nothing')):
        case 'head':
            parts.append(head[: draw.randrange(len(head))])
        case 'headers':
            parts.append(head + b'a' * draw.choice((1, 9999)) + b':\r\n')
            parts.append(b'a:\r\n' * draw.randrange(5600))
        case 'length':
            announced = draw.choice((size + 1, 1 << 34))
            parts.append(head + b'Content-Length: %d\r\n\r\n' % announced)
            parts.extend(repeat(b'x' * min(size, 50_000), size))
        case 'chunks':
            chunk = make_chunk(draw.choice((1, 16, 300, 70_000)))
            parts.append(head + b'Transfer-Encoding: chunked\r\n\r\n')
            # Small chunks take long to send, and as long to read.
            parts.extend(repeat(chunk, min(size, 2000 * len(chunk))))
    return parts


def draw_crowd(draw: random.Random) -> Crowd:
    """Return a crowd whose clients all send the same."""
    parts = draw_parts(draw)
    return Crowd(
        clients=draw.choice((1, 20, 100, 300)),
        make_parts=lambda: parts,
        reads=draw.random() < 0.3,
    )


class OpenClients:
    """Connections of crowds, which stay open until they are closed."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []
        self._reading: set[asyncio.Task] = set()

    async def send(self, host: str, port: int, crowd: Crowd) -> None:
        """Have all clients of a crowd connect and send."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(crowd.clients):
                tasks.create_task(self._send_one(host, port, crowd))

    async def _send_one(self, host: str, port: int, crowd: Crowd) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=READ_LIMIT_BYTES
                )
            self._writers.append(writer)
            if crowd.reads:
                task = asyncio.create_task(_read_all(reader))
                self._reading.add(task)
                task.add_done_callback(self._reading.discard)
            for part in crowd.make_parts():
                writer.write(part)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await writer.drain()

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._reading):
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass
