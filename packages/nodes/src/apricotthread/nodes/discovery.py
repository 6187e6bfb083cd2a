"""Finds control nodes from seeds, and forgets those that are gone."""

import collections.abc

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages

ASK_PERIOD_S = 1.0
FORGET_AFTER_S = 30.0  # longer than any restart on the users' platform


class Discovery:
    """Keeps the links of a node to the control nodes that there are.

    Each node asks the control nodes it knows for those that they know.
    A node that has been silent for long is forgotten, unless it is a seed
    or votes.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        members: membership.Membership,
        seed_ids: collections.abc.Iterable[str],
        is_voter: collections.abc.Callable[[str], bool],
        on_link: collections.abc.Callable[[links.PeerLink], None],
        on_gone: collections.abc.Callable[[str], None],
    ) -> None:
        self._env = env
        self._members = members
        self._seed_ids = set(seed_ids)
        self._is_voter = is_voter
        self._on_link = on_link
        self._on_gone = on_gone
        self._heard_at_by_id: dict[str, float] = {}

    def set_seeds(
        self, seeds: collections.abc.Iterable[settings.NodeAddress]
    ) -> None:
        """Take other seeds from settings that have changed."""
        seeds = tuple(seeds)
        self._seed_ids = {seed.node_id for seed in seeds}
        for seed in seeds:
            self._add(seed)

    async def run(self) -> None:
        """Ask for nodes until cancelled."""
        for link in self._members.link_by_id.values():
            self._on_link(link)
        async for now in self._env.timer.subscribe(period_s=ASK_PERIOD_S):
            links_by_id = dict(self._members.link_by_id)
            for node_id, link in links_by_id.items():
                if link.is_connected:
                    self._heard_at_by_id[node_id] = now
                    await self._ask(link)
                else:
                    self._forget_if_gone(node_id, now)

    async def _ask(self, link: links.PeerLink) -> None:
        if not link.peer.is_voter:
            return
        reply = await link.try_call(
            messages.NodesRequest(), timeout_s=ASK_PERIOD_S
        )
        match reply:
            case messages.NodesReply(nodes=nodes):
                for node in nodes:
                    self._add(_make_address(node))

    def _add(self, node: settings.NodeAddress) -> None:
        link = self._members.add_node(node)
        if link is None:
            return
        logs.log_event('node_found', peer=node.node_id, host=node.host)
        self._heard_at_by_id[node.node_id] = self._env.timer.now()
        self._on_link(link)

    def _forget_if_gone(self, node_id: str, now: float) -> None:
        heard_at = self._heard_at_by_id.setdefault(node_id, now)
        if now - heard_at < FORGET_AFTER_S:
            return
        if node_id in self._seed_ids or self._is_voter(node_id):
            return
        logs.log_event('node_forgotten', peer=node_id)
        del self._heard_at_by_id[node_id]
        self._members.remove_node(node_id)
        self._on_gone(node_id)

    def on_greeting(self, greeting: messages.Greeting) -> None:
        """Link back to a control node that dialled this one."""
        if settings.Role.CONTROL.value in greeting.roles and greeting.host:
            self._add(
                _make_address(
                    messages.KnownNode(
                        node_id=greeting.node_id,
                        data_centre=greeting.data_centre,
                        host=greeting.host,
                        peer_port=greeting.peer_port,
                        roles=greeting.roles,
                    )
                )
            )

    async def on_nodes_request(
        self, peer: messages.Greeting, body: messages.NodesRequest
    ) -> messages.Message:
        """Tell a peer of the control nodes that are connected."""
        nodes = [_describe(self._members.own)]
        for link in self._members.link_by_id.values():
            if link.is_connected and link.peer.is_voter:
                nodes.append(
                    _describe(
                        link.peer, data_centre=link.peer_greeting.data_centre
                    )
                )
        return messages.NodesReply(nodes=nodes)


def _describe(
    node: settings.NodeAddress, *, data_centre: str = ''
) -> messages.KnownNode:
    return messages.KnownNode(
        node_id=node.node_id,
        data_centre=node.data_centre or data_centre,
        host=node.host,
        peer_port=node.peer_port,
        roles=sorted(role.value for role in node.roles),
    )


def _make_address(node: messages.KnownNode) -> settings.NodeAddress:
    return settings.NodeAddress(
        node_id=node.node_id,
        data_centre=node.data_centre,
        host=node.host,
        peer_port=node.peer_port,
        roles=frozenset(settings.Role(role) for role in node.roles),
    )
