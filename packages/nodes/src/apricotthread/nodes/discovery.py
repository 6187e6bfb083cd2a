"""Finds control nodes from seeds, and forgets those that are gone."""

import collections.abc
import hashlib

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages

ASK_PERIOD_S = 1.0
# An entry needs one link; others take over when it fails.
MAX_LINKS_OF_ENTRY = 3
AVOID_S = 5.0  # how long a control node that did not answer is passed over
FORGET_AFTER_S = 30.0  # longer than any restart on the users' platform


class Discovery:
    """Keeps the links of a node to the control nodes that there are.

    Each node asks the control nodes it knows for those that they know.
    Control nodes link to all others. An entry links to few, one of its own
    data centre first, so that links do not grow with the fleet. A node
    that has been silent for long is forgotten, unless it is a seed or
    votes.
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
        self._known_by_id: dict[str, settings.NodeAddress] = {}
        self._avoid_until_by_id: dict[str, float] = {}

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
            if not self._members.own.is_voter:
                self._choose_links(now)

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

    def _choose_links(self, now: float) -> None:
        """Keep links to the few control nodes that suit an entry best."""
        known = self._known_by_id
        linked = self._members.link_by_id
        if len(known) <= MAX_LINKS_OF_ENTRY and set(linked) <= set(known):
            return
        for node_id, link in list(linked.items()):
            if link.is_connected:
                self._avoid_until_by_id.pop(node_id, None)
            elif now - self._heard_at_by_id.get(node_id, now) > ASK_PERIOD_S:
                self._avoid_until_by_id[node_id] = now + AVOID_S
        wanted = self._rank(now)[:MAX_LINKS_OF_ENTRY]
        for node_id in wanted:
            self._link(known[node_id])
        connected = [n for n in wanted if linked[n].is_connected]
        if not connected:
            return
        for node_id in list(linked):
            if node_id not in wanted:
                self._drop(node_id)

    def _rank(self, now: float) -> list[str]:
        """Return the control nodes, the one to link to first at the front.

        The first is of the own data centre if there is one, the next are
        of others, so that no data centre's loss takes all.
        """
        own = self._members.own

        def order(node: settings.NodeAddress) -> tuple[bool, bytes]:
            avoided = self._avoid_until_by_id.get(node.node_id, 0.0) > now
            pair = f'{own.node_id} {node.node_id}'.encode()
            return avoided, hashlib.blake2b(pair, digest_size=8).digest()

        ranked = sorted(self._known_by_id.values(), key=order)
        near = [n for n in ranked if n.data_centre == own.data_centre]
        far = [n for n in ranked if n.data_centre != own.data_centre]
        chosen = [*near[:1], *far, *near[1:]]
        chosen.sort(
            key=lambda n: self._avoid_until_by_id.get(n.node_id, 0.0) > now
        )
        return [node.node_id for node in chosen]

    def _add(self, node: settings.NodeAddress) -> None:
        """Take note of a node, and link to it unless there are enough."""
        if node.node_id == self._members.own.node_id:
            return
        if node.data_centre or node.node_id not in self._known_by_id:
            self._known_by_id[node.node_id] = node
        is_entry = not self._members.own.is_voter
        if is_entry and len(self._members.link_by_id) >= MAX_LINKS_OF_ENTRY:
            return
        self._link(node)

    def _link(self, node: settings.NodeAddress) -> None:
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
        self._known_by_id.pop(node_id, None)
        self._drop(node_id)

    def _drop(self, node_id: str) -> None:
        self._heard_at_by_id.pop(node_id, None)
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
