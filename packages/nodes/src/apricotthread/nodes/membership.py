"""Which nodes are there, by their heartbeats."""

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
    """The newest heartbeat of a peer and when it came."""

    heartbeat: messages.Heartbeat
    received_at: float


class Membership:
    """Sends heartbeats to peers and keeps the newest from each."""

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
        self.own = own
        self.node_by_id = node_by_id
        self.state_by_id: dict[str, PeerState] = {}
        self.link_by_id = {
            node_id: links.PeerLink(
                env=env,
                network=network,
                peer=node,
                greeting=greeting,
                silence_s=lease_s,
            )
            for node_id, node in node_by_id.items()
            if node_id != own.node_id
        }

    async def run(self, make_heartbeat: MakeHeartbeat) -> None:
        """Run the link and the heartbeats of every peer."""
        async with asyncio.TaskGroup() as tasks:
            for link in self.link_by_id.values():
                tasks.create_task(link.run())
                tasks.create_task(self._send_heartbeats(link, make_heartbeat))

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
        """Keep a heartbeat unless a newer one came before it."""
        known = self.state_by_id.get(peer.node_id)
        now = self._env.timer.now()
        if known is None or self._replaces(heartbeat, known, now):
            self.state_by_id[peer.node_id] = PeerState(
                heartbeat=heartbeat, received_at=now
            )
            self._on_change()
        return messages.Done()

    def _replaces(
        self, heartbeat: messages.Heartbeat, known: PeerState, now: float
    ) -> bool:
        """Whether a heartbeat is newer than the one known.

        A node whose clock went back over a restart has a lower
        incarnation; it counts once the old one has been silent.
        """
        old = known.heartbeat
        if heartbeat.incarnation < old.incarnation:
            return now - known.received_at > self._lease_s
        return (heartbeat.incarnation, heartbeat.sequence) > (
            old.incarnation,
            old.sequence,
        )

    def fresh_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the heartbeats by node id that are within the lease."""
        oldest = self._env.timer.now() - self._lease_s
        return {
            node_id: state.heartbeat
            for node_id, state in self.state_by_id.items()
            if state.received_at >= oldest
        }

    def is_alive(self, node_id: str) -> bool:
        """Whether a peer was heard within the lease and can be called."""
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
