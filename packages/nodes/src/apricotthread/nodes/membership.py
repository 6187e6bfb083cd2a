"""Tracks which nodes are alive by their heartbeats."""

import asyncio
import collections.abc
import dataclasses

from apricotthread.base import environment
from apricotthread.base import settings
from apricotthread.nodes import connections
from apricotthread.nodes import links
from apricotthread.nodes import messages

MakeHeartbeat = collections.abc.Callable[
    [settings.NodeAddress, int], messages.Heartbeat
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerState:
    """The newest heartbeat of a peer and when it was received."""

    heartbeat: messages.Heartbeat
    received_at: float


class Membership:
    """Sends heartbeats to all peers and stores the newest from each."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        network: connections.Network,
        own: settings.NodeAddress,
        node_by_id: dict[str, settings.NodeAddress],
        greeting: messages.Greeting,
        heartbeat_s: float,
        lease_s: float,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._env = env
        self._heartbeat_s = heartbeat_s
        self._lease_s = lease_s
        self._on_change = on_change
        self._network = network
        self._greeting = greeting
        self._make_heartbeat: MakeHeartbeat | None = None
        self._task_group: asyncio.TaskGroup | None = None
        self._tasks_by_id: dict[str, tuple[asyncio.Task, ...]] = {}
        self.own = own
        self.node_by_id = node_by_id
        self.state_by_id: dict[str, PeerState] = {}
        self.link_by_id = {
            node_id: self._make_link(node)
            for node_id, node in node_by_id.items()
            if node_id != own.node_id
        }

    def _make_link(self, node: settings.NodeAddress) -> links.PeerLink:
        return links.PeerLink(
            env=self._env,
            network=self._network,
            peer=node,
            greeting=self._greeting,
            silence_timeout_s=self._lease_s,
        )

    async def run(self, make_heartbeat: MakeHeartbeat) -> None:
        """Run the links and send heartbeats over them until cancelled."""
        self._make_heartbeat = make_heartbeat
        async with asyncio.TaskGroup() as task_group:
            self._task_group = task_group
            for link in self.link_by_id.values():
                self._start_link(link)
            # Keeps the task group open for links that are added later.
            await asyncio.get_running_loop().create_future()

    def _start_link(self, link: links.PeerLink) -> None:
        self._tasks_by_id[link.peer_id] = (
            self._task_group.create_task(link.run()),
            self._task_group.create_task(
                self._send_heartbeats(link, self._make_heartbeat)
            ),
        )

    def add_node(self, node: settings.NodeAddress) -> links.PeerLink | None:
        """Add a link to a node; return it, or None if it is not new."""
        current = self.link_by_id.get(node.node_id)
        if node.node_id == self.own.node_id or current is not None:
            return None
        self.node_by_id[node.node_id] = node
        link = self._make_link(node)
        self.link_by_id[node.node_id] = link
        if self._task_group is not None:
            self._start_link(link)
        return link

    def remove_node(self, node_id: str) -> None:
        """Remove a node that is permanently gone and end its link."""
        self.node_by_id.pop(node_id, None)
        self.state_by_id.pop(node_id, None)
        self.link_by_id.pop(node_id, None)
        for task in self._tasks_by_id.pop(node_id, ()):
            task.cancel()

    async def _send_heartbeats(
        self, link: links.PeerLink, make_heartbeat: MakeHeartbeat
    ) -> None:
        sequence = 0
        async for _ in self._env.timer.subscribe(period_s=self._heartbeat_s):
            if not link.is_connected:
                continue
            sequence += 1
            heartbeat = make_heartbeat(link.peer, sequence)
            reply = await link.try_call(heartbeat, timeout_s=self._lease_s)
            if reply is None:
                link.drop()

    async def on_heartbeat(
        self, peer: messages.Greeting, heartbeat: messages.Heartbeat
    ) -> messages.Message:
        """Store a heartbeat unless a newer one was received before."""
        current = self.state_by_id.get(peer.node_id)
        now = self._env.timer.now()
        if current is None or self._is_newer(heartbeat, current, now):
            self.state_by_id[peer.node_id] = PeerState(
                heartbeat=heartbeat, received_at=now
            )
            self._on_change()
        return messages.Done()

    def _is_newer(
        self, heartbeat: messages.Heartbeat, current: PeerState, now: float
    ) -> bool:
        """Whether a heartbeat is newer than the stored one.

        A node whose clock went back across a restart has a lower
        incarnation. It is accepted once the old incarnation has been
        silent for the lease.
        """
        old = current.heartbeat
        if heartbeat.incarnation < old.incarnation:
            return now - current.received_at > self._lease_s
        return (heartbeat.incarnation, heartbeat.sequence) > (
            old.incarnation,
            old.sequence,
        )

    def fresh_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the heartbeats received within the lease, by node id."""
        oldest = self._env.timer.now() - self._lease_s
        return {
            node_id: state.heartbeat
            for node_id, state in self.state_by_id.items()
            if state.received_at >= oldest
        }

    def is_alive(self, node_id: str) -> bool:
        """Whether a peer is connected and sent a heartbeat in the lease."""
        if node_id == self.own.node_id:
            return True
        link = self.link_by_id.get(node_id)
        state = self.state_by_id.get(node_id)
        return (
            link is not None
            and link.is_connected
            and state is not None
            and self._env.timer.now() - state.received_at <= self._lease_s
        )
