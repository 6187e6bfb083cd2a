"""Discovers control nodes from seeds and removes those that are gone."""

import collections.abc
import hashlib

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages

QUERY_PERIOD_S = 1.0
# An entry needs one link; the others are standbys in case it fails.
MAX_LINKS_OF_ENTRY = 3
# How long a control node that could not be reached is ranked last.
AVOID_UNREACHABLE_S = 5.0
FORGET_AFTER_S = 30.0  # longer than any restart on the users' platform


class Discovery:
    """Maintains the links of a node to the control nodes.

    Each node asks its connected control nodes for the control nodes that
    they are connected to. A control node links to all others. An entry
    links to a few, with one in its own data centre preferred, so that the
    number of links does not grow with the fleet. A node that has not been
    connected for FORGET_AFTER_S is removed, unless it is a seed or a
    voter.
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
        self._address_by_id: dict[str, settings.NodeAddress] = {}
        self._avoid_until_by_id: dict[str, float] = {}

    def set_seeds(
        self, seeds: collections.abc.Iterable[settings.NodeAddress]
    ) -> None:
        """Replace the seeds after the settings have changed."""
        seeds = tuple(seeds)
        self._seed_ids = {seed.node_id for seed in seeds}
        for seed in seeds:
            self._add_node(seed)

    async def run(self) -> None:
        """Query the control nodes and update the links until cancelled."""
        for link in self._members.link_by_id.values():
            self._on_link(link)
        async for now in self._env.timer.subscribe(period_s=QUERY_PERIOD_S):
            links_by_id = dict(self._members.link_by_id)
            for node_id, link in links_by_id.items():
                if link.is_connected:
                    self._heard_at_by_id[node_id] = now
                    await self._query(link)
                else:
                    self._forget_if_gone(node_id, now)
            if not self._members.own.is_voter:
                self._choose_links(now)

    async def _query(self, link: links.PeerLink) -> None:
        if not link.peer.is_voter:
            return
        reply = await link.try_call(
            messages.NodesRequest(), timeout_s=QUERY_PERIOD_S
        )
        match reply:
            case messages.NodesReply(nodes=nodes):
                for node in nodes:
                    self._add_node(_make_address(node))

    def _choose_links(self, now: float) -> None:
        """Link an entry to its highest-ranked control nodes only."""
        address_by_id = self._address_by_id
        current_links = self._members.link_by_id
        if len(address_by_id) <= MAX_LINKS_OF_ENTRY and (
            set(current_links) <= set(address_by_id)
        ):
            return
        for node_id, link in list(current_links.items()):
            if link.is_connected:
                self._avoid_until_by_id.pop(node_id, None)
            elif now - self._heard_at_by_id.get(node_id, now) > QUERY_PERIOD_S:
                self._avoid_until_by_id[node_id] = now + AVOID_UNREACHABLE_S
        chosen_ids = self._rank_nodes(now)[:MAX_LINKS_OF_ENTRY]
        for node_id in chosen_ids:
            self._add_link(address_by_id[node_id])
        connected_ids = [
            n for n in chosen_ids if current_links[n].is_connected
        ]
        if not connected_ids:
            return
        for node_id in list(current_links):
            if node_id not in chosen_ids:
                self._remove(node_id)

    def _rank_nodes(self, now: float) -> list[str]:
        """Return the ids of the control nodes, the most preferred first.

        The first is in the own data centre if possible, the next ones are
        in others, so that the loss of one data centre does not take all
        links. Nodes that could not be reached lately come last.
        """
        own = self._members.own

        def order(node: settings.NodeAddress) -> tuple[bool, bytes]:
            """Return the sort key; the hash spreads entries over nodes."""
            avoided = self._avoid_until_by_id.get(node.node_id, 0.0) > now
            pair = f'{own.node_id} {node.node_id}'.encode()
            return avoided, hashlib.blake2b(pair, digest_size=8).digest()

        ranked = sorted(self._address_by_id.values(), key=order)
        local_nodes = [n for n in ranked if n.data_centre == own.data_centre]
        remote_nodes = [n for n in ranked if n.data_centre != own.data_centre]
        ordered = [*local_nodes[:1], *remote_nodes, *local_nodes[1:]]
        ordered.sort(
            key=lambda n: self._avoid_until_by_id.get(n.node_id, 0.0) > now
        )
        return [node.node_id for node in ordered]

    def _add_node(self, node: settings.NodeAddress) -> None:
        """Store a node, and link to it unless an entry has enough links."""
        if node.node_id == self._members.own.node_id:
            return
        if node.data_centre or node.node_id not in self._address_by_id:
            self._address_by_id[node.node_id] = node
        is_entry = not self._members.own.is_voter
        if is_entry and len(self._members.link_by_id) >= MAX_LINKS_OF_ENTRY:
            return
        self._add_link(node)

    def _add_link(self, node: settings.NodeAddress) -> None:
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
        self._address_by_id.pop(node_id, None)
        self._remove(node_id)

    def _remove(self, node_id: str) -> None:
        self._heard_at_by_id.pop(node_id, None)
        self._members.remove_node(node_id)
        self._on_gone(node_id)

    def on_greeting(self, greeting: messages.Greeting) -> None:
        """Link back to a control node that dialled this one."""
        if settings.Role.CONTROL.value in greeting.roles and greeting.host:
            self._add_node(
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
        """Reply with this node and the control nodes connected to it."""
        nodes = [_make_known_node(self._members.own)]
        for link in self._members.link_by_id.values():
            if link.is_connected and link.peer.is_voter:
                nodes.append(
                    _make_known_node(
                        link.peer, data_centre=link.peer_greeting.data_centre
                    )
                )
        return messages.NodesReply(nodes=nodes)


def _make_known_node(
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
