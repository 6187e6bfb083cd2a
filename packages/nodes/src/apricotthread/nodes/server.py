"""The accepting side of connections: handling of peers' requests."""

import asyncio
import collections.abc
import contextlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.nodes import connections
from apricotthread.nodes import faults
from apricotthread.nodes import framing
from apricotthread.nodes import links
from apricotthread.nodes import messages

CallHandler = collections.abc.Callable[
    [messages.Greeting, messages.Message],
    collections.abc.Awaitable[messages.Message],
]
StreamHandler = collections.abc.Callable[
    [messages.Greeting, messages.Message, 'ReplySink'],
    collections.abc.Awaitable[None],
]


class ReplySink:
    """Sends the replies to one request within its flow control window."""

    def __init__(
        self, *, connection: connections.Connection, request_id: int
    ) -> None:
        self._connection = connection
        self._request_id = request_id
        self._window_bytes = links.INITIAL_WINDOW_BYTES
        self._window_grew = asyncio.Event()

    def extend_window(self, extra_bytes: int) -> None:
        """Allow further bytes after the requesting node consumed some."""
        self._window_bytes += extra_bytes
        self._window_grew.set()

    async def send(
        self, body: messages.Message, *, last: bool = False
    ) -> None:
        """Send a reply; wait until the window allows one that has data."""
        if isinstance(body, messages.DispatchPiece):
            while self._window_bytes <= 0:
                self._window_grew.clear()
                await self._window_grew.wait()
            self._window_bytes -= len(body.data)
        await self._connection.send(
            framing.Frame(request_id=self._request_id, body=body, last=last)
        )


class PeerServer:
    """Accepts connections from peers and passes requests to handlers."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        network: connections.Network,
        own: settings.NodeAddress,
        greeting: messages.Greeting,
        silence_timeout_s: float,
        on_greeting: collections.abc.Callable[
            [messages.Greeting], None
        ] = lambda greeting: None,
    ) -> None:
        self._env = env
        self._on_greeting = on_greeting
        self._network = network
        self._own = own
        self._greeting = greeting
        self._silence_timeout_s = silence_timeout_s
        self._call_handler_by_type: dict[type, CallHandler] = {}
        self._stream_handler_by_type: dict[type, StreamHandler] = {}
        self._running_tasks: set[asyncio.Task] = set()

    def add_call_handler(
        self, body_type: type[messages.Message], handler: CallHandler
    ) -> None:
        """Register the handler of requests with one reply.

        The handler runs to its end even if the peer cancels the request or
        the connection is lost, so that a synced write is never left half
        done.
        """
        self._call_handler_by_type[body_type] = handler

    def add_stream_handler(
        self, body_type: type[messages.Message], handler: StreamHandler
    ) -> None:
        """Register the handler of requests with a stream of replies."""
        self._stream_handler_by_type[body_type] = handler

    async def run(self) -> None:
        """Accept connections until cancelled."""
        await self._network.serve(self._own, self._serve_connection)

    async def _serve_connection(
        self, connection: connections.Connection
    ) -> None:
        try:
            async with self._env.timer.timeout(self._silence_timeout_s):
                frame = await connection.receive()
            peer = links.check_greeting(frame.body)
            self._on_greeting(peer)
            await connection.send(
                framing.Frame(request_id=links.ONE_WAY, body=self._greeting)
            )
            with logs.log_action('peer_connection', peer=peer.node_id):
                await self._serve_requests(connection, peer)
        except (OSError, TimeoutError):
            pass
        except errors.ApricotError as error:
            logs.log_fault('connection_closed', error)
        finally:
            connection.close()

    async def _serve_requests(
        self, connection: connections.Connection, peer: messages.Greeting
    ) -> None:
        sink_by_request_id: dict[int, ReplySink] = {}
        task_by_request_id: dict[int, asyncio.Task] = {}
        try:
            while True:
                async with self._env.timer.timeout(self._silence_timeout_s):
                    frame = await connection.receive()
                request_id = frame.request_id
                match frame.body:
                    case messages.Window(bytes=extra_bytes):
                        sink = sink_by_request_id.get(request_id)
                        if sink is not None:
                            sink.extend_window(extra_bytes)
                    case messages.Cancel():
                        task = task_by_request_id.get(request_id)
                        if task is not None:
                            task.cancel()
                    case body:
                        sink = ReplySink(
                            connection=connection, request_id=request_id
                        )
                        task = asyncio.create_task(
                            self._handle(peer, body, sink)
                        )
                        self._running_tasks.add(task)
                        task.add_done_callback(self._running_tasks.discard)
                        if type(body) in self._call_handler_by_type:
                            continue
                        sink_by_request_id[request_id] = sink
                        task_by_request_id[request_id] = task

                        def forget(_, request_id=request_id) -> None:
                            sink_by_request_id.pop(request_id, None)
                            task_by_request_id.pop(request_id, None)

                        task.add_done_callback(forget)
        finally:
            for task in list(task_by_request_id.values()):
                task.cancel()

    async def _handle(
        self,
        peer: messages.Greeting,
        body: messages.Message,
        sink: ReplySink,
    ) -> None:
        """Handle a request; reply with a fault if the handler fails."""
        reply = messages.Fault(
            code=errors.ErrorCode.PROTOCOL.label,
            message=f'{type(body).__name__} could not be handled',
            ran=errors.Ran.UNKNOWN.value,
        )
        replied = False
        try:
            await self._dispatch(peer, body, sink)
            replied = True
        except errors.ApricotError as error:
            reply = faults.make_fault(error)
        except (OSError, asyncio.CancelledError):
            replied = True
        finally:
            if not replied:
                with contextlib.suppress(OSError):
                    await sink.send(reply, last=True)

    async def _dispatch(
        self,
        peer: messages.Greeting,
        body: messages.Message,
        sink: ReplySink,
    ) -> None:
        call_handler = self._call_handler_by_type.get(type(body))
        if call_handler is not None:
            await sink.send(await call_handler(peer, body), last=True)
            return
        stream_handler = self._stream_handler_by_type.get(type(body))
        if stream_handler is not None:
            await stream_handler(peer, body, sink)
            return
        raise errors.ApricotError(
            code=errors.ErrorCode.PROTOCOL,
            message=f'{type(body).__name__} is not served by this node',
        )
