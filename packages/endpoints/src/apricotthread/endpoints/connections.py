"""HTTP connections to endpoints, kept and reused."""

import asyncio
import collections
import dataclasses
import socket

import httptools

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units

# A VM in the same region that is up accepts within milliseconds.
CONNECT_TIMEOUT_S = 0.4
# The part of the endpoint's idle timeout in which a connection is reused.
REUSE_SHARE = 0.5
# A call that must not be repeated only uses what was busy just now.
FRESH_IDLE_S = 0.25
DEFAULT_IDLE_S = 5.0  # where an endpoint names no idle timeout
READ_AHEAD_BYTES = 64 * units.KIB
# Linux: how long sent bytes may stay without an acknowledgement.
USER_TIMEOUT_MS = 3000


class ConnectionLost(Exception):
    """The connection ended, or broke the protocol, before a whole answer.

    A call whose request was not sent can not have run.
    """

    def __init__(self, *, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(kw_only=True)
class Answer:
    """The start of an endpoint's answer; names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> str:
        """Return the first value of a header, empty if there is none."""
        for known, value in self.headers:
            if known == name:
                return value.decode('latin-1')
        return ''


class EndpointConnection(asyncio.Protocol):
    """One connection, with one request at a time on it."""

    def __init__(self, *, env: environment.Environment, address: str) -> None:
        self._env = env
        self.address = address
        self.idle_limit_s = DEFAULT_IDLE_S
        self.used_at = env.timer.now()
        self.is_new = True
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._answer: Answer | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._complete = False
        self._ends_with_connection = False
        self._busy = False
        self._broken = ''
        self._may_be_kept = True
        self._waiter: asyncio.Future | None = None
        self.received_at = 0.0

    # Callbacks of the transport

    def connection_made(self, transport) -> None:
        """Set the options by which a dead peer is noticed."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those that belong to no request break it off."""
        self.received_at = self._env.timer.now()
        if not self._busy or self._complete:
            self._break('bytes after the answer')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break(f'not an HTTP answer: {type(error).__name__}')
            return
        if self._buffered_bytes > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Have the transport closed."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End an answer without a length, or break off another one."""
        if (
            error is None
            and self._busy
            and self._answer is not None
            and self._ends_with_connection
            and not self._broken
        ):
            self._complete = True
            self._may_be_kept = False
        self._break('reset' if error else 'closed')

    def _break(self, reason: str) -> None:
        self._broken = self._broken or reason
        self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Refuse a second answer in the bytes of the first."""
        if self._complete:
            self._may_be_kept = False
            self._broken = self._broken or 'a second answer'
            return
        self._headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the status, and how the answer ends."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        names = {name for name, _ in self._headers}
        self._answer = Answer(status=status, headers=self._headers)
        self._ends_with_connection = not (
            names & {b'content-length', b'transfer-encoding'}
        ) and status not in (204, 304)
        if not self._parser.should_keep_alive():
            self._may_be_kept = False
        for part in self._answer.get(b'keep-alive').split(','):
            key, _, value = part.strip().partition('=')
            if key == 'timeout' and value.isdigit():
                self.idle_limit_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if not self._complete:
            self._chunks.append(body)
            self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if self._answer is not None:
            self._complete = True

    # What callers use

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open, as far as is known."""
        return not self._broken and not self._transport.is_closing()

    def start(self, request: bytes) -> None:
        """Send a whole request.

        Raises ConnectionLost, sent False, when the connection is closed.
        """
        if not self.is_usable:
            raise ConnectionLost(
                reason=self._broken or 'closed before use', sent=False
            )
        self._parser = httptools.HttpResponseParser(self)
        self._answer = None
        self._complete = False
        self._ends_with_connection = False
        self._busy = True
        self._transport.write(request)

    async def read_head(self) -> Answer:
        """Return the start of the answer; raises ConnectionLost."""
        while self._answer is None:
            if self._broken:
                raise ConnectionLost(reason=self._broken, sent=True)
            await self._wait()
        return self._answer

    async def read(self) -> bytes:
        """Return more of the body, empty at its end.

        Raises ConnectionLost when the answer is not whole.
        """
        while not self._chunks:
            if self._complete:
                return b''
            if self._broken:
                raise ConnectionLost(reason=self._broken, sent=True)
            await self._wait()
        data = (
            self._chunks.popleft()
            if len(self._chunks) == 1
            else b''.join(self._chunks)
        )
        self._chunks.clear()
        if self._buffered_bytes > READ_AHEAD_BYTES and self.is_usable:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def finish(self) -> bool:
        """End the use for a request; return whether it may be kept."""
        kept = (
            self._complete
            and self._may_be_kept
            and self.is_usable
            and not self._chunks
            and self._transport.get_write_buffer_size() == 0
        )
        self._busy = False
        self.is_new = False
        self.used_at = self._env.timer.now()
        if not kept:
            self.close()
        return kept

    def close(self) -> None:
        """Close the connection at once, which cancels its request."""
        self._broken = self._broken or 'closed by this node'
        if self._transport is not None:
            self._transport.abort()


class ConnectionPool:
    """Opens connections to endpoints, and keeps them for reuse."""

    def __init__(self, *, env: environment.Environment, max_idle: int) -> None:
        self._env = env
        self._max_idle = max_idle
        self._idle_by_address: dict[str, list[EndpointConnection]] = (
            collections.defaultdict(list)
        )

    async def acquire(
        self, address: str, *, must_be_fresh: bool = False
    ) -> EndpointConnection:
        """Return a connection, a kept one if it is surely still good.

        Raises ConnectionLost, sent False, when none can be opened.
        """
        idle = self._idle_by_address.get(address)
        now = self._env.timer.now()
        while idle:
            connection = idle.pop()
            limit_s = connection.idle_limit_s * REUSE_SHARE
            if must_be_fresh:
                limit_s = min(limit_s, FRESH_IDLE_S)
            if connection.is_usable and now - connection.used_at < limit_s:
                return connection
            connection.close()
        return await self.open_new(address)

    async def open_new(self, address: str) -> EndpointConnection:
        """Open a connection; raises ConnectionLost, sent False."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._env.metrics.count('endpoint_connections_opened')
        try:
            async with self._env.timer.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(env=self._env, address=address),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectionLost(
                reason=f'no connection: {type(error).__name__}', sent=False
            ) from error
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not connection.finish():
            return
        idle = self._idle_by_address[connection.address]
        if len(idle) >= self._max_idle:
            idle.pop(0).close()
        idle.append(connection)

    def drop_address(self, address: str) -> None:
        """Close what is kept to an address that is gone."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def drop_stale(self) -> None:
        """Close kept connections that are too old to be used again."""
        now = self._env.timer.now()
        for address, idle in list(self._idle_by_address.items()):
            fresh = []
            for connection in idle:
                limit_s = connection.idle_limit_s * REUSE_SHARE
                if connection.is_usable and (
                    now - connection.used_at < limit_s
                ):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close everything that is kept."""
        for address in list(self._idle_by_address):
            self.drop_address(address)


async def fetch(
    pool: ConnectionPool,
    env: environment.Environment,
    *,
    address: str,
    request: bytes,
    timeout_s: float,
) -> tuple[Answer, bytes]:
    """Send a small request and return the whole answer.

    Raises ApricotError with code ENDPOINT_FAILED, ran NO if it was not
    sent, else UNKNOWN.
    """
    connection = None
    try:
        async with env.timer.timeout(timeout_s):
            connection = await pool.acquire(address)
            connection.start(request)
            answer = await connection.read_head()
            parts = []
            while part := await connection.read():
                parts.append(part)
        return answer, b''.join(parts)
    except (ConnectionLost, TimeoutError) as error:
        sent = connection is not None and getattr(error, 'sent', True)
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'{address}: {error or "no answer in time"}',
            ran=errors.Ran.UNKNOWN if sent else errors.Ran.NO,
        ) from error
    finally:
        if connection is not None:
            pool.release(connection)
