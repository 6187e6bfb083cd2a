"""A pool of reusable HTTP/1.1 connections to endpoints."""

import asyncio
import collections
import collections.abc
import socket

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import units
from apricotthread.endpoints import answerreader

# A running VM in the same region accepts within milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Idle connections are reused within this share of the endpoint's timeout.
REUSE_SHARE = 0.5
# A request that must not be repeated only reuses connections idle for less.
FRESH_IDLE_S = 0.25
DEFAULT_IDLE_S = 5.0  # if an endpoint names no idle timeout
READ_AHEAD_BYTES = 64 * units.KIB
LOGGED_BYTES = 80  # of an answer that can't be read
MAX_FETCHED_BYTES = 256 * units.KIB  # answers to this node's own requests
# TCP_USER_TIMEOUT (Linux): how long sent bytes may stay unacknowledged.
USER_TIMEOUT_MS = 3000


class ConnectionLost(Exception):
    """The connection failed before the answer was complete.

    It was closed, or the endpoint violated HTTP. A request that was not
    `sent` cannot have run.
    """

    def __init__(self, *, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class EndpointConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        address: str,
        read_ahead_bytes: int = READ_AHEAD_BYTES,
    ) -> None:
        self._env = env
        self.address = address
        self._read_ahead_bytes = read_ahead_bytes
        self.idle_limit_s = DEFAULT_IDLE_S
        self.last_used_at = env.timer.now()
        self.is_new = True
        self._transport: asyncio.Transport | None = None
        self._reader = answerreader.AnswerReader()
        self._is_busy = False
        self._failure = ''
        self._waiter: asyncio.Future | None = None
        self.received_at = 0.0

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Set TCP options, among them the timeout that finds dead peers."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Read bytes; bytes outside an answer close the connection."""
        self.received_at = self._env.timer.now()
        reader = self._reader
        if not self._is_busy or reader.is_complete:
            self._fail('bytes after the answer')
            return
        reader.feed(data)
        if reader.failure and not reader.is_complete:
            self._env.metrics.count('answers_unreadable')
            logs.log_event(
                'answer_unreadable',
                address=self.address,
                reason=reader.failure,
                bytes=repr(data[:LOGGED_BYTES]),
            )
            self._fail(reader.failure)
            return
        if reader.buffered_bytes > self._read_ahead_bytes:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Return False, so that the transport closes itself."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Complete an answer that ends with the connection, or fail it."""
        if error is None and self._is_busy and not self._failure:
            self._reader.end()
        self._fail('reset' if error else 'closed')

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason
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

    # Sending requests and reading answers

    @property
    def ends_with_connection(self) -> bool:
        """Whether the present answer has neither a length nor chunks."""
        return self._reader.ends_with_connection

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open, as far as this node knows."""
        return not self._failure and not self._transport.is_closing()

    def start(self, request: bytes, *, expects_body: bool = True) -> None:
        """Send a whole request, given as bytes.

        `expects_body` is false for a HEAD request, whose answer has none.
        Raises ConnectionLost with sent False if the connection is closed.
        """
        if not self.is_usable:
            raise ConnectionLost(
                reason=self._failure or 'closed before use', sent=False
            )
        self._reader = answerreader.AnswerReader(expects_body=expects_body)
        self._is_busy = True
        self._transport.write(request)

    async def read_head(self) -> answerreader.Answer:
        """Return status and headers; raises ConnectionLost."""
        while self._reader.answer is None:
            if self._failure:
                raise ConnectionLost(reason=self._failure, sent=True)
            await self._wait()
        if self._reader.idle_limit_s is not None:
            self.idle_limit_s = self._reader.idle_limit_s
        return self._reader.answer

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises ConnectionLost if the answer breaks off.
        """
        reader = self._reader
        while not reader.buffered_bytes:
            if reader.is_complete:
                return b''
            if self._failure:
                raise ConnectionLost(reason=self._failure, sent=True)
            await self._wait()
        if reader.buffered_bytes > self._read_ahead_bytes and self.is_usable:
            self._transport.resume_reading()
        return reader.take_body()

    def finish(self) -> bool:
        """End the current request; return whether to keep the connection.

        A connection that cannot be reused is closed.
        """
        reader = self._reader
        can_keep = (
            reader.is_complete
            and reader.may_keep_connection
            and self.is_usable
            and not reader.buffered_bytes
            and self._transport.get_write_buffer_size() == 0
        )
        self._is_busy = False
        self.is_new = False
        self.last_used_at = self._env.timer.now()
        if not can_keep:
            self.close()
        return can_keep

    def close(self) -> None:
        """Abort the connection, which cancels its request."""
        self._failure = self._failure or 'closed by this node'
        if self._transport is not None:
            self._transport.abort()


async def open_connection(
    env: environment.Environment,
    address: str,
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    read_ahead_bytes: int = READ_AHEAD_BYTES,
) -> EndpointConnection:
    """Open a connection; raises ConnectionLost with sent False."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    env.metrics.count('endpoint_connections_opened')
    try:
        async with env.timer.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(
                    env=env, address=address, read_ahead_bytes=read_ahead_bytes
                ),
                host,
                int(port),
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise ConnectionLost(
            reason=f'no connection: {type(error).__name__}', sent=False
        ) from error
    return connection


class ConnectionPool:
    """Opens connections to endpoints, and keeps idle ones for reuse.

    At most `max_idle` idle connections are kept for an address.
    """

    def __init__(self, *, env: environment.Environment, max_idle: int) -> None:
        self._env = env
        self._max_idle = max_idle
        self._idle_by_address: dict[str, list[EndpointConnection]] = (
            collections.defaultdict(list)
        )

    async def acquire(
        self, address: str, *, must_be_fresh: bool = False
    ) -> EndpointConnection:
        """Return an idle connection that is safe to reuse, or a new one.

        With `must_be_fresh` an idle connection is only reused within
        FRESH_IDLE_S. Raises ConnectionLost with sent False if none can
        be opened.
        """
        idle = self._idle_by_address.get(address)
        now = self._env.timer.now()
        while idle:
            connection = idle.pop()
            limit_s = connection.idle_limit_s * REUSE_SHARE
            if must_be_fresh:
                limit_s = min(limit_s, FRESH_IDLE_S)
            if (
                connection.is_usable
                and now - connection.last_used_at < limit_s
            ):
                return connection
            connection.close()
        return await open_connection(self._env, address)

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        if not connection.finish():
            return
        idle = self._idle_by_address[connection.address]
        if len(idle) >= self._max_idle:
            idle.pop(0).close()
        idle.append(connection)

    def drop_address(self, address: str) -> None:
        """Close the idle connections to an address that is gone."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def drop_stale(self) -> None:
        """Close idle connections that are too old to be reused."""
        now = self._env.timer.now()
        for address, idle in list(self._idle_by_address.items()):
            fresh = []
            for connection in idle:
                limit_s = connection.idle_limit_s * REUSE_SHARE
                if connection.is_usable and (
                    now - connection.last_used_at < limit_s
                ):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.drop_address(address)


async def fetch(
    env: environment.Environment,
    *,
    address: str,
    request: bytes,
    timeout_s: float,
    is_allowed: collections.abc.Callable[[], bool] = lambda: True,
) -> tuple[answerreader.Answer, bytes]:
    """Send a small request; return the head and body of its answer.

    The answers to such requests do not say which request they belong to, so
    each has a connection of its own. `is_allowed` is asked once that is open,
    just before the request is sent.

    Raises ApricotError with code ENDPOINT_FAILED, and with ran NO if the
    request was not sent, else UNKNOWN. Its cause is a TimeoutError if nothing
    else went wrong within `timeout_s`.
    """
    connection = None
    try:
        async with env.timer.timeout(timeout_s):
            connection = await open_connection(env, address)
            if not is_allowed():
                raise ConnectionLost(
                    reason='no longer allowed to send', sent=False
                )
            connection.start(request)
            answer = await connection.read_head()
            body = b''
            while part := await connection.read():
                body += part
                if len(body) > MAX_FETCHED_BYTES:
                    raise ConnectionLost(
                        reason='a body without end', sent=True
                    )
        return answer, body
    except (ConnectionLost, TimeoutError) as error:
        sent = connection is not None and getattr(error, 'sent', True)
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'{address}: {error or "no answer in time"}',
            ran=errors.Ran.UNKNOWN if sent else errors.Ran.NO,
        ) from error
    finally:
        if connection is not None:
            connection.close()
