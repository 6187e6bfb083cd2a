"""A fake network between nodes, with cuts, delays and crashes."""

import asyncio

from apricotthread.base import environment
from apricotthread.base import settings
from apricotthread.nodes import connections
from apricotthread.nodes import framing

LATENCY_S = 0.001
ORDER_S = 1e-6  # between frames of a connection, to keep their order


class FakeNetwork:
    """All connections of a fake network, and which ways are cut."""

    def __init__(self, *, env: environment.Environment) -> None:
        self.env = env
        self.latency_s = LATENCY_S
        self.jitter_s = 0.0
        self.handler_by_node: dict[str, connections.ConnectionHandler] = {}
        self.sent_frames = 0
        self.sent_bytes = 0
        self._cuts: set[tuple[str, str]] = set()
        self._open: list[MemoryConnection] = []
        self._tasks: set[asyncio.Task] = set()

    def cut(self, source: str, target: str) -> None:
        """Lose what the source sends to the target from now on."""
        self._cuts.add((source, target))

    def cut_both(self, one: str, other: str) -> None:
        """Lose everything between two nodes from now on."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Undo every cut."""
        self._cuts.clear()

    def silence(self, node_id: str) -> None:
        """Lose everything on a node's open connections, not on new ones."""
        for connection in self._open:
            if node_id in (connection.source, connection.target):
                connection.is_silent = True

    def is_cut(self, source: str, target: str) -> bool:
        """Whether what the source sends to the target is lost."""
        return (source, target) in self._cuts

    def connect(self, source: str, target: str) -> 'MemoryConnection':
        """Open a connection and have the target serve it."""
        handler = self.handler_by_node.get(target)
        if handler is None or self.is_cut(source, target):
            raise ConnectionRefusedError(target)
        near = MemoryConnection(
            fake_network=self, source=source, target=target
        )
        far = MemoryConnection(fake_network=self, source=target, target=source)
        near.other = far
        far.other = near
        self._open = [c for c in self._open if not c.is_closed]
        self._open.extend((near, far))
        task = asyncio.create_task(handler(far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    def crash(self, node_id: str) -> None:
        """End a node's connections as the death of its process does."""
        self.handler_by_node.pop(node_id, None)
        for connection in self._open:
            if connection.source == node_id:
                connection.close()


class MemoryConnection:
    """One end of a connection in memory."""

    def __init__(
        self, *, fake_network: FakeNetwork, source: str, target: str
    ) -> None:
        self._hub = fake_network
        self.source = source
        self.target = target
        self.other: MemoryConnection | None = None
        self.is_closed = False
        self.is_silent = False
        self._incoming: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._last_at = 0.0

    async def send(self, frame: framing.Frame) -> None:
        """Send a frame; it is lost when the way is cut."""
        if self.is_closed:
            raise ConnectionResetError('connection is closed')
        encoded = framing.encode_frame(frame)
        self._hub.sent_frames += 1
        self._hub.sent_bytes += len(encoded)
        if self.is_silent or self._hub.is_cut(self.source, self.target):
            return
        env = self._hub.env
        delay_s = self._hub.latency_s
        delay_s += self._hub.jitter_s * env.random.random()
        at = max(env.timer.now() + delay_s, self._last_at + ORDER_S)
        self._last_at = at
        loop = asyncio.get_running_loop()
        loop.call_at(at, self._arrive, encoded)

    def _arrive(self, encoded: bytes) -> None:
        if not self._hub.is_cut(self.source, self.target):
            self.other._incoming.put_nowait(encoded)

    async def receive(self) -> framing.Frame:
        """Return the next frame."""
        if self.is_closed:
            raise ConnectionError('connection is closed')
        encoded = await self._incoming.get()
        if encoded is None:
            raise ConnectionError('connection ended')
        return framing.decode_frame(encoded[framing.LENGTH_PREFIX.size :])

    def close(self) -> None:
        """Close both ends, unless the news is lost in a cut."""
        if self.is_closed:
            return
        self.is_closed = True
        self._incoming.put_nowait(None)
        if not (self.is_silent or self._hub.is_cut(self.source, self.target)):
            self.other.close()


class NodeNetwork:
    """The fake network as one node uses it."""

    def __init__(self, *, fake_network: FakeNetwork, node_id: str) -> None:
        self._hub = fake_network
        self._node_id = node_id

    async def dial(
        self, address: settings.NodeAddress
    ) -> connections.Connection:
        """Open a connection to a peer."""
        await self._hub.env.timer.sleep(self._hub.latency_s)
        return self._hub.connect(self._node_id, address.node_id)

    async def serve(
        self,
        address: settings.NodeAddress,
        handle: connections.ConnectionHandler,
    ) -> None:
        """Accept connections until cancelled."""
        self._hub.handler_by_node[self._node_id] = handle
        try:
            await asyncio.Event().wait()
        finally:
            self._hub.crash(self._node_id)
