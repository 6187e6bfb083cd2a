"""Crowds of clients that misbehave, and keep their connections open."""

import asyncio
import collections.abc
import contextlib
import dataclasses

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
