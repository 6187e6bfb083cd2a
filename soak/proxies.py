"""Loopback proxies that stand between any two processes."""

import asyncio
import collections
import collections.abc
import contextlib
import os
import pathlib
import socket
import struct

# On, for no time: what was not sent is dropped and the peer told so.
NO_LINGER = struct.pack('ii', 1, 0)
PIECE_BYTES = 64 * 1024
SOAK_PROCESS = 'outside'  # the process of the soak itself
ANY_PROCESS = '*'


class Links:
    """Which bytes pass from one process to another, and how late."""

    def __init__(self) -> None:
        self._held = collections.Counter()
        self._delay_s: dict[tuple[str, str], float] = {}
        self._changed = asyncio.Event()
        self._open: set['_Pair'] = set()

    def block(self, source: str, target: str) -> None:
        """Let no byte pass until it is released."""
        self._held[source, target] += 1

    def unblock(self, source: str, target: str) -> None:
        """Take a hold back."""
        self._held[source, target] -= 1
        self._changed.set()
        self._changed = asyncio.Event()

    def delay(self, source: str, target: str, seconds: float) -> None:
        """Pass every piece so much later; 0 takes it back."""
        self._delay_s[source, target] = seconds

    def reset(self, one: str, other: str) -> None:
        """Reset the connections between two processes."""
        for pair in list(self._open):
            if {pair.source, pair.target} == {one, other}:
                pair.abort()

    def _is_held(self, source: str, target: str) -> bool:
        return any(
            self._held[key] > 0
            for key in (
                (source, target),
                (source, ANY_PROCESS),
                (ANY_PROCESS, target),
            )
        )

    async def wait(self, source: str, target: str) -> None:
        """Wait until a piece may pass."""
        delay_s = self._delay_s.get((source, target), 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        while self._is_held(source, target):
            await self._changed.wait()

    def add(self, pair: '_Pair') -> None:
        """Count a pair of connections that was opened."""
        self._open.add(pair)

    def remove(self, pair: '_Pair') -> None:
        """Stop counting a pair of connections."""
        self._open.discard(pair)


class _Pair:
    """A connection from a source, and the one to its target."""

    def __init__(self, *, source: str, target: str, writers) -> None:
        self.source = source
        self.target = target
        self._writers = writers

    def abort(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            reset(writer)


class Proxy:
    """Passes the connections to one address of one process on."""

    def __init__(
        self,
        *,
        links: Links,
        name: str,
        forward_to: tuple[str, int],
        find_process_name: collections.abc.Callable[[int], str],
    ) -> None:
        self._links = links
        self._name = name
        self._forward_to = forward_to
        self._find_process_name = find_process_name
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int = 0) -> tuple[str, int]:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening, and cut what is open."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self._find_process_name(writer.get_extra_info('peername')[1])
        try:
            await self._links.wait(source, self._name)
            far_reader, far_writer = await asyncio.open_connection(
                *self._forward_to
            )
        except OSError:
            reset(writer)
            return
        pair = _Pair(
            source=source, target=self._name, writers=(writer, far_writer)
        )
        self._links.add(pair)
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(
                    self._pump(reader, far_writer, source, self._name)
                )
                both.create_task(
                    self._pump(far_reader, writer, self._name, source)
                )
        except* OSError:
            pair.abort()
        finally:
            self._links.remove(pair)
            for open_writer in (writer, far_writer):
                open_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
    ) -> None:
        while piece := await reader.read(PIECE_BYTES):
            await self._links.wait(source, target)
            writer.write(piece)
            await writer.drain()
        await self._links.wait(source, target)
        with contextlib.suppress(OSError):
            writer.write_eof()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection so that the far end sees a reset."""
    with contextlib.suppress(OSError):  # it is closed already
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
    writer.transport.abort()


def find_connection_owner(port: int, name_by_pid: dict[int, str]) -> str:
    """Return which of the processes has a connection from a local port."""
    inode = _find_inode(port)
    for pid, name in name_by_pid.items():
        folder = f'/proc/{pid}/fd'
        try:
            links = [os.readlink(entry.path) for entry in os.scandir(folder)]
        except OSError:
            continue  # the process has ended meanwhile
        if f'socket:[{inode}]' in links:
            return name
    return SOAK_PROCESS


def _find_inode(port: int) -> str:
    """Return the inode of the socket with a local port, '' without one."""
    suffix = f':{port:04X}'
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        if columns[1].endswith(suffix):
            return columns[9]
    return ''
