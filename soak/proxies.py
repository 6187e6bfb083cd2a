"""Loopback TCP proxies that inject link faults between processes."""

import asyncio
import collections
import collections.abc
import contextlib
import os
import socket
import struct

# SO_LINGER on with a timeout of 0: a close drops unsent data and sends a
# reset to the peer.
NO_LINGER = struct.pack('ii', 1, 0)
CHUNK_BYTES = 64 * 1024
# One socket is looked up by its addresses, see sock_diag(7). /proc/net/tcp
# lists all sockets of the machine, thousands beside other tests.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
NETLINK_HEADER = struct.Struct('=IHHII')
# Family, protocol, extensions, padding and states, before the socket's id.
DIAG_REQUEST = struct.Struct('=BBBxI')
DIAG_PORTS = struct.Struct('>HH')
DIAG_COOKIE = struct.Struct('=III')
# In a response: family, state and two more bytes, the socket's id, four
# numbers, the inode.
DIAG_INODE = struct.Struct('=I')
DIAG_INODE_AT = NETLINK_HEADER.size + 4 + 48 + 16
DIAG_BYTES = 4096
Address = tuple[str, int]  # host and port
SOAK_PROCESS = 'outside'  # the process of the soak test itself
ANY_PROCESS = '*'


class Links:
    """Blocks, delays and resets the links between processes.

    A link has a direction, from a source to a target process, both given by
    name; ANY_PROCESS stands for all processes when a link is blocked.
    """

    def __init__(self) -> None:
        self._block_counts = collections.Counter()
        self._delay_s: dict[tuple[str, str], float] = {}
        self._unblocked = asyncio.Event()
        self._open_pairs: set['_Pair'] = set()

    def block(self, source: str, target: str) -> None:
        """Block a link; it stays blocked until each call has been undone."""
        self._block_counts[source, target] += 1

    def unblock(self, source: str, target: str) -> None:
        """Undo one call of block."""
        self._block_counts[source, target] -= 1
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    def delay(self, source: str, target: str, seconds: float) -> None:
        """Delay every chunk on a link by some seconds; 0 ends the delay."""
        self._delay_s[source, target] = seconds

    def reset(self, one: str, other: str) -> None:
        """Reset the connections between two processes."""
        for pair in list(self._open_pairs):
            if {pair.source, pair.target} == {one, other}:
                pair.abort()

    def _is_blocked(self, source: str, target: str) -> bool:
        return any(
            self._block_counts[key] > 0
            for key in (
                (source, target),
                (source, ANY_PROCESS),
                (ANY_PROCESS, target),
            )
        )

    async def wait(self, source: str, target: str) -> None:
        """Wait until a chunk may pass a link."""
        delay_s = self._delay_s.get((source, target), 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        while self._is_blocked(source, target):
            await self._unblocked.wait()

    def add(self, pair: '_Pair') -> None:
        """Add a pair of open connections, so that reset finds it."""
        self._open_pairs.add(pair)

    def remove(self, pair: '_Pair') -> None:
        """Remove a pair of connections."""
        self._open_pairs.discard(pair)


class _Pair:
    """The two connections of a proxy: from the source and to the target."""

    def __init__(self, *, source: str, target: str, writers) -> None:
        self.source = source
        self.target = target
        self._writers = writers

    def abort(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            reset(writer)


class Proxy:
    """Forwards the connections to one address of one process.

    `name` is the name of this process. `find_process_name` returns the name
    of the process that has connected, by both ends' addresses.
    """

    def __init__(
        self,
        *,
        links: Links,
        name: str,
        forward_to: tuple[str, int],
        find_process_name: collections.abc.Callable[[Address, Address], str],
    ) -> None:
        self._links = links
        self._name = name
        self._forward_to = forward_to
        self._find_process_name = find_process_name
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int = 0) -> tuple[str, int]:
        """Listen, and return the host and port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening, and cut all open connections."""
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
        source = self._find_process_name(
            writer.get_extra_info('peername'),
            writer.get_extra_info('sockname'),
        )
        try:
            await self._links.wait(source, self._name)
            target_reader, target_writer = await asyncio.open_connection(
                *self._forward_to
            )
        except OSError:
            reset(writer)
            return
        pair = _Pair(
            source=source, target=self._name, writers=(writer, target_writer)
        )
        self._links.add(pair)
        try:
            async with asyncio.TaskGroup() as task_group:
                task_group.create_task(
                    self._forward(reader, target_writer, source, self._name)
                )
                task_group.create_task(
                    self._forward(target_reader, writer, self._name, source)
                )
        except* OSError:
            pair.abort()
        finally:
            self._links.remove(pair)
            for open_writer in (writer, target_writer):
                open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            await self._links.wait(source, target)
            writer.write(chunk)
            await writer.drain()
        await self._links.wait(source, target)
        with contextlib.suppress(OSError):
            writer.write_eof()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer sees a reset."""
    with contextlib.suppress(OSError):  # already closed
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
    writer.transport.abort()


def find_connection_owner(
    client: Address, server: Address, name_by_pid: dict[int, str]
) -> str:
    """Return the name of the process that has connected from a local address.

    Returns SOAK_PROCESS if it is none of `name_by_pid`.
    """
    inode = find_inode(client, server)
    for pid, name in name_by_pid.items():
        folder = f'/proc/{pid}/fd'
        try:
            links = [os.readlink(entry.path) for entry in os.scandir(folder)]
        except OSError:
            continue  # the process has exited
        if f'socket:[{inode}]' in links:
            return name
    return SOAK_PROCESS


def find_inode(client: Address, server: Address) -> int:
    """Return the inode of the client's socket, 0 if it is closed."""
    socket_id = (
        DIAG_PORTS.pack(client[1], server[1])
        + socket.inet_aton(client[0]).ljust(16, b'\0')
        + socket.inet_aton(server[0]).ljust(16, b'\0')
        + DIAG_COOKIE.pack(0, NO_COOKIE, NO_COOKIE)
    )
    request = (
        DIAG_REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, ANY_STATE)
        + socket_id
    )
    header = NETLINK_HEADER.pack(
        NETLINK_HEADER.size + len(request),
        SOCK_DIAG_BY_FAMILY,
        NLM_F_REQUEST,
        0,
        0,
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(header + request)
        response = kernel.recv(DIAG_BYTES)
    _, kind, *_ = NETLINK_HEADER.unpack_from(response)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return DIAG_INODE.unpack_from(response, DIAG_INODE_AT)[0]
