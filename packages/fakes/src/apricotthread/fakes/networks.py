"""A fake network in memory between nodes, with cuts, delays and crashes."""

import asyncio

from apricotthread.base import environment
from apricotthread.base import settings
from apricotthread.nodes import connections
from apricotthread.nodes import framing

LATENCY_S = 0.001
# Minimum time between the arrivals of two frames of a connection, so that
# they keep their order.
MIN_FRAME_GAP_S = 1e-6


class FakeNetwork:
    """All connections of a fake network, and the directions that are cut."""

    def __init__(self, *, env: environment.Environment) -> None:
        self.env = env
        self.latency_s = LATENCY_S
        self.jitter_s = 0.0
        self.handler_by_node: dict[str, connections.ConnectionHandler] = {}
        self.sent_frames = 0
        self.sent_bytes = 0
        self._cuts: set[tuple[str, str]] = set()
        # With None for the end of a connection.
        self._held_frames_by_direction: dict[
            tuple[str, str], list[tuple[MemoryConnection, bytes | None]]
        ] = {}
        self._connections: list[MemoryConnection] = []
        self._tasks: set[asyncio.Task] = set()

    def cut(self, source: str, target: str) -> None:
        """Drop all frames from the source to the target from now on."""
        self._cuts.add((source, target))

    def cut_both(self, node: str, peer: str) -> None:
        """Drop all frames between two nodes from now on."""
        self.cut(node, peer)
        self.cut(peer, node)

    def heal_both(self, node: str, peer: str) -> None:
        """Undo the cuts between two nodes."""
        self._cuts -= {(node, peer), (peer, node)}

    def heal(self) -> None:
        """Undo every cut."""
        self._cuts.clear()

    def hold(self, source: str, target: str) -> None:
        """Hold up the frames of one direction until they are released."""
        self._held_frames_by_direction[source, target] = []

    def release(self, source: str, target: str) -> None:
        """Deliver the frames that were held up, in their order."""
        held_frames = self._held_frames_by_direction.pop((source, target))
        for connection, encoded in held_frames:
            connection.put(encoded)

    def hold_up(
        self, sender: 'MemoryConnection', encoded: bytes | None
    ) -> bool:
        """Return whether a frame, or the end, of a connection is held up."""
        held_frames = self._held_frames_by_direction.get(
            (sender.source, sender.target)
        )
        if held_frames is None:
            return False
        held_frames.append((sender.peer, encoded))
        return True

    def silence(self, node_id: str) -> None:
        """Drop all frames on a node's open connections, not on new ones."""
        for connection in self._connections:
            if node_id in (connection.source, connection.target):
                connection.is_silent = True

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether frames from the source to the target are dropped."""
        return (source, target) in self._cuts

    def connect(self, source: str, target: str) -> 'MemoryConnection':
        """Open a connection and have the target serve it."""
        handler = self.handler_by_node.get(target)
        if handler is None or self.is_cut(source, target):
            raise ConnectionRefusedError(target)
        local_end = MemoryConnection(
            fake_network=self, source=source, target=target
        )
        remote_end = MemoryConnection(
            fake_network=self, source=target, target=source
        )
        local_end.peer = remote_end
        remote_end.peer = local_end
        self._connections = [c for c in self._connections if not c.is_closed]
        self._connections.extend((local_end, remote_end))
        task = asyncio.create_task(handler(remote_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return local_end

    def crash(self, node_id: str) -> None:
        """Close a node's connections, as when its process dies."""
        self.handler_by_node.pop(node_id, None)
        for connection in self._connections:
            if connection.source == node_id:
                connection.close()


class MemoryConnection:
    """One end of a connection in memory between two nodes."""

    def __init__(
        self, *, fake_network: FakeNetwork, source: str, target: str
    ) -> None:
        self._hub = fake_network
        self.source = source
        self.target = target
        self.peer: MemoryConnection | None = None
        self.is_closed = False
        self.is_silent = False
        self._incoming: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._last_arrival_at = 0.0

    async def send(self, frame: framing.Frame) -> None:
        """Send a frame; it is dropped when this direction is cut."""
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
        arrival_at = max(
            env.timer.now() + delay_s, self._last_arrival_at + MIN_FRAME_GAP_S
        )
        self._last_arrival_at = arrival_at
        loop = asyncio.get_running_loop()
        loop.call_at(arrival_at, self._arrive, encoded)

    def _arrive(self, encoded: bytes) -> None:
        if self._hub.hold_up(self, encoded):
            return
        if not self._hub.is_cut(self.source, self.target):
            self.peer.put(encoded)

    def put(self, encoded: bytes | None) -> None:
        """Add a frame that has arrived, or None for the other end's end."""
        self._incoming.put_nowait(encoded)

    async def receive(self) -> framing.Frame:
        """Return the next frame."""
        if self.is_closed:
            raise ConnectionError('connection is closed')
        encoded = await self._incoming.get()
        if encoded is None:
            raise ConnectionError('connection ended')
        return framing.decode_frame(encoded[framing.LENGTH_PREFIX.size :])

    def close(self) -> None:
        """Close this end, and the other unless this direction drops frames."""
        if self.is_closed:
            return
        self.is_closed = True
        self._incoming.put_nowait(None)
        if self.is_silent or self._hub.hold_up(self, None):
            return
        if not self._hub.is_cut(self.source, self.target):
            self.peer.close()


class NodeNetwork:
    """The interface of the fake network for one node."""

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
