"""The dialling side of a connection: requests to one peer."""

import asyncio
import collections.abc
import contextlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.base import units
from apricotthread.nodes import connections
from apricotthread.nodes import faults
from apricotthread.nodes import framing
from apricotthread.nodes import messages

PROTOCOL_VERSION = 1
INITIAL_WINDOW_BYTES = 32 * units.KIB
REDIAL_DELAY_S = 0.25
DIAL_TIMEOUT_S = 1.0
ONE_WAY = 0  # the request id of messages without a reply


class ReplyStream:
    """The replies to one request, in order of arrival."""

    def __init__(self, *, link: 'PeerLink', request_id: int) -> None:
        self._link = link
        self._request_id = request_id
        self._replies: asyncio.Queue[framing.Frame | None] = asyncio.Queue()
        self._consumed_bytes = 0
        self.finished = False

    def put(self, frame: framing.Frame | None) -> None:
        """Add a reply, or None when the connection is lost."""
        self._replies.put_nowait(frame)

    async def receive(self) -> messages.Message:
        """Return the next reply.

        Raises the error of a fault message, and ApricotError with code
        PEER_UNREACHABLE and ran UNKNOWN if the link is lost.
        """
        frame = await self._replies.get()
        if frame is None:
            self.finished = True
            raise errors.ApricotError(
                code=errors.ErrorCode.PEER_UNREACHABLE,
                message=f'link to {self._link.peer_id} was lost',
                ran=errors.Ran.UNKNOWN,
            )
        self.finished = frame.last
        match frame.body:
            case messages.Fault() as fault:
                raise faults.make_error(fault)
            case messages.DispatchPiece(data=data):
                await self._extend_window(len(data))
        return frame.body

    async def _extend_window(self, consumed_bytes: int) -> None:
        """Let the peer send as much again as was consumed, in few frames."""
        self._consumed_bytes += consumed_bytes
        if self._consumed_bytes < INITIAL_WINDOW_BYTES // 2 or self.finished:
            return
        window = messages.Window(bytes=self._consumed_bytes)
        self._consumed_bytes = 0
        await self._link.send(window, request_id=self._request_id)


class PeerLink:
    """Maintains one connection to a peer and sends requests over it."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        network: connections.Network,
        peer: settings.NodeAddress,
        greeting: messages.Greeting,
        silence_timeout_s: float,
    ) -> None:
        self.peer_id = peer.node_id
        self.peer = peer
        self._env = env
        self._network = network
        self._greeting = greeting
        self._silence_timeout_s = silence_timeout_s
        self.peer_greeting: messages.Greeting | None = None
        # Number of connections made so far. Messages sent over an earlier
        # connection may have been lost.
        self.connections_made = 0
        self._connection: connections.Connection | None = None
        self._stream_by_request_id: dict[int, ReplyStream] = {}
        self._next_request_id = 1

    @property
    def is_connected(self) -> bool:
        """Whether requests can be sent now."""
        return self._connection is not None

    async def run(self) -> None:
        """Dial, serve the connection until it ends, and dial again."""
        while True:
            try:
                await self._run_once()
            except (OSError, TimeoutError):
                pass
            except errors.ApricotError as error:
                logs.log_fault('link_closed', error, peer=self.peer_id)
            await self._env.timer.sleep(self._env.jitter(REDIAL_DELAY_S))

    async def _run_once(self) -> None:
        async with self._env.timer.timeout(DIAL_TIMEOUT_S):
            connection = await self._network.dial(self.peer)
        try:
            async with self._env.timer.timeout(DIAL_TIMEOUT_S):
                await connection.send(
                    framing.Frame(request_id=ONE_WAY, body=self._greeting)
                )
                reply = await connection.receive()
            self.peer_greeting = check_greeting(
                reply.body, expected_id=self.peer_id
            )
            with logs.log_action('peer_link', peer=self.peer_id):
                self._connection = connection
                self.connections_made += 1
                await self._receive_replies(connection)
        finally:
            self._connection = None
            connection.close()
            self._fail_streams()

    async def _receive_replies(
        self, connection: connections.Connection
    ) -> None:
        """Pass replies to their streams; raise TimeoutError on silence."""
        while True:
            async with self._env.timer.timeout(self._silence_timeout_s):
                frame = await connection.receive()
            stream = self._stream_by_request_id.get(frame.request_id)
            if stream is None:
                continue
            stream.put(frame)
            if frame.last:
                del self._stream_by_request_id[frame.request_id]

    def _fail_streams(self) -> None:
        """Fail every open request, as the connection is lost."""
        for stream in self._stream_by_request_id.values():
            stream.put(None)
        self._stream_by_request_id.clear()

    async def send(
        self, body: messages.Message, *, request_id: int = ONE_WAY
    ) -> None:
        """Send a message without a reply; discard it if not connected."""
        if self._connection is None:
            return
        with contextlib.suppress(OSError):
            await self._connection.send(
                framing.Frame(request_id=request_id, body=body)
            )

    @contextlib.asynccontextmanager
    async def open_stream(
        self, body: messages.Message
    ) -> collections.abc.AsyncIterator[ReplyStream]:
        """Send a request and yield the stream of its replies.

        Leaving the context before the last reply cancels the request at
        the peer. Raises ApricotError with code PEER_UNREACHABLE: with ran
        NO if no byte can have been sent, else with ran UNKNOWN.
        """
        connection = self._connection
        if connection is None:
            raise errors.ApricotError(
                code=errors.ErrorCode.PEER_UNREACHABLE,
                message=f'no link to {self.peer_id}',
                ran=errors.Ran.NO,
                retry_after_s=1.0,
            )
        request_id = self._next_request_id
        self._next_request_id += 1
        stream = ReplyStream(link=self, request_id=request_id)
        self._stream_by_request_id[request_id] = stream
        try:
            try:
                await connection.send(
                    framing.Frame(request_id=request_id, body=body)
                )
            except OSError as error:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PEER_UNREACHABLE,
                    message=f'link to {self.peer_id} failed while sending',
                    ran=errors.Ran.UNKNOWN,
                ) from error
            yield stream
        finally:
            registered = self._stream_by_request_id.pop(request_id, None)
            if registered is not None and not stream.finished:
                await self.send(messages.Cancel(), request_id=request_id)

    async def call(
        self, body: messages.Message, *, timeout_s: float
    ) -> messages.Message:
        """Send a request and return its only reply.

        Raises the error of a fault message, ApricotError with code
        PEER_UNREACHABLE, or TimeoutError.
        """
        async with self._env.timer.timeout(timeout_s):
            async with self.open_stream(body) as stream:
                return await stream.receive()

    async def try_call(
        self, body: messages.Message, *, timeout_s: float
    ) -> messages.Message | None:
        """Do the same as call, but return None on an error or a timeout."""
        try:
            return await self.call(body, timeout_s=timeout_s)
        except (TimeoutError, errors.ApricotError):
            return None

    def drop(self) -> None:
        """Close a connection that has gone silent; run() dials a new one."""
        if self._connection is not None:
            self._connection.close()


def check_greeting(
    body: messages.Message, *, expected_id: str | None = None
) -> messages.Greeting:
    """Return a valid greeting, or raise ApricotError with code PROTOCOL."""
    match body:
        case messages.Greeting(protocol=protocol, node_id=node_id):
            if protocol != PROTOCOL_VERSION:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PROTOCOL,
                    message=f'peer {node_id} has protocol version {protocol}, '
                    f'this node has {PROTOCOL_VERSION}',
                )
            if expected_id is not None and node_id != expected_id:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PROTOCOL,
                    message=f'peer has node id {node_id}, '
                    f'expected {expected_id}',
                )
            return body
    raise errors.ApricotError(
        code=errors.ErrorCode.PROTOCOL,
        message=f'first message is {type(body).__name__}, not a greeting',
    )
