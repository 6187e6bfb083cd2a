"""The dialling side of a connection to one peer."""

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
REDIAL_S = 0.25
DIAL_TIMEOUT_S = 1.0
ONE_WAY = 0


class ReplyStream:
    """The replies to one request, in order, as they arrive."""

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

        Raises the error of a fault, and ApricotError with code
        PEER_UNREACHABLE and an unknown outcome when the link is lost.
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
        """Allow the peer to send what has been consumed, in few frames."""
        self._consumed_bytes += consumed_bytes
        if self._consumed_bytes < INITIAL_WINDOW_BYTES // 2 or self.finished:
            return
        window = messages.Window(bytes=self._consumed_bytes)
        self._consumed_bytes = 0
        await self._link.send(window, request_id=self._request_id)


class PeerLink:
    """Keeps one connection to a peer and sends requests over it."""

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
        # How often a connection was made: what was sent before the newest
        # one may have been lost.
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
            await self._env.timer.sleep(self._env.jitter(REDIAL_S))

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
        """Pass replies on; a silent connection ends with TimeoutError."""
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
        """Tell every waiting request that the link is lost."""
        for stream in self._stream_by_request_id.values():
            stream.put(None)
        self._stream_by_request_id.clear()

    async def send(
        self, body: messages.Message, *, request_id: int = ONE_WAY
    ) -> None:
        """Send a message that wants no reply; lost if not connected."""
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
        """Send a request and give the stream of its replies.

        A request left before its last reply is cancelled at the peer.
        Raises ApricotError with code PEER_UNREACHABLE: with ran NO when
        no byte can have left, else with ran UNKNOWN.
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
            known = self._stream_by_request_id.pop(request_id, None)
            if known is not None and not stream.finished:
                await self.send(messages.Cancel(), request_id=request_id)

    async def call(
        self, body: messages.Message, *, timeout_s: float
    ) -> messages.Message:
        """Send a request and return its one reply.

        Raises the error of a fault, ApricotError with code
        PEER_UNREACHABLE, or TimeoutError.
        """
        async with self._env.timer.timeout(timeout_s):
            async with self.open_stream(body) as stream:
                return await stream.receive()

    async def try_call(
        self, body: messages.Message, *, timeout_s: float
    ) -> messages.Message | None:
        """Like call, but return None when no reply comes."""
        try:
            return await self.call(body, timeout_s=timeout_s)
        except (TimeoutError, errors.ApricotError):
            return None

    def drop(self) -> None:
        """Close a connection that has gone silent; run dials a new one."""
        if self._connection is not None:
            self._connection.close()


def check_greeting(
    body: messages.Message, *, expected_id: str | None = None
) -> messages.Greeting:
    """Return the greeting, or raise ApricotError with code PROTOCOL."""
    match body:
        case messages.Greeting(protocol=protocol, node_id=node_id):
            if protocol != PROTOCOL_VERSION:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PROTOCOL,
                    message=f'peer {node_id} speaks protocol {protocol}, '
                    f'this node {PROTOCOL_VERSION}',
                )
            if expected_id is not None and node_id != expected_id:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PROTOCOL,
                    message=f'peer is {node_id}, expected {expected_id}',
                )
            return body
    raise errors.ApricotError(
        code=errors.ErrorCode.PROTOCOL,
        message=f'first message is {type(body).__name__}, not a greeting',
    )
