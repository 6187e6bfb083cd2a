"""The control node's side: telling peers and entries what changes."""

import asyncio
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import replica
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence
from apricotthread.fleet import updates
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server

UNCHANGED_BATCH_S = 0.25
BATCH_S = 0.02  # collects the news of one moment into one message
FIND_LOST_PERIOD_S = 0.1
MAX_KEPT_INDEXES = 128  # a subscriber further behind gets everything
MAX_KEPT_PAYLOADS = 32  # subscribers are at the same place but for a few


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sent:
    """How far a subscriber has been told."""

    complete: bool = True
    revision: int = 0
    applied_index: int = 0
    table_version: int = 0
    entry_count: int = 0


class Publisher:
    """Spreads announcements among control nodes, and all to entries."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        members: membership.Membership,
        endpoints: directory.Directory,
        seen: evidence.EvidenceStore,
    ) -> None:
        self._env = env
        self._raft = raft
        self._members = members
        self._endpoints = endpoints
        self._seen = seen
        self._payload_by_step: dict[tuple[_Sent, _Sent], bytes] = {}
        self._groups_by_index: dict[int, dict[str, updates.GroupNews]] = {}
        self._pending: list[directory.Heard] = []
        self._told_connections: dict[str, int] = {}
        self._has_change = asyncio.Event()
        self._changed = asyncio.Event()

    def on_change(self) -> None:
        """Wake subscriptions; called when the directory changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Spread news until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._spread())
            tasks.create_task(self._find_lost())
            tasks.create_task(self._watch_agreed())

    async def _find_lost(self) -> None:
        async for _ in self._env.timer.subscribe(period_s=FIND_LOST_PERIOD_S):
            self._endpoints.find_lost()

    async def _watch_agreed(self) -> None:
        while True:
            await self._raft.applied.wait()
            self.on_change()

    # Announcements

    def announce(self, told: directory.Announcement) -> None:
        """Take an endpoint's announcement, and spread it."""
        heard = directory.Heard(announcement=told, age_s=0.0)
        revision = self._endpoints.revision
        if self._endpoints.take(heard):
            self._pend(heard, is_change=self._endpoints.revision > revision)

    def leave(self, endpoint_id: str) -> bool:
        """Take an endpoint for gone; return whether it was known."""
        heard = self._endpoints.leave(endpoint_id)
        if heard is not None:
            self._pend(heard, is_change=True)
        return heard is not None

    def born_ms(self, endpoint_id: str) -> int | None:
        """Return when an endpoint was started, None if it is unknown."""
        entry = self._endpoints.entry_by_id.get(endpoint_id)
        return entry.announcement.born_ms if entry is not None else None

    def _pend(self, heard: directory.Heard, *, is_change: bool) -> None:
        self._pending.append(heard)
        if is_change:
            self._has_change.set()

    async def _spread(self) -> None:
        """Send announcements on to the other control nodes, in batches.

        Those that only say that nothing has changed may wait a little. A
        node that has just been connected to gets all that are known.
        """
        while True:
            try:
                async with self._env.timer.timeout(UNCHANGED_BATCH_S):
                    await self._has_change.wait()
            except TimeoutError:
                pass  # what has not changed has waited long enough
            await self._env.timer.sleep(BATCH_S)
            self._has_change.clear()
            batch, self._pending = self._pending, []
            news = messages.EndpointNews(payload=updates.encode_heard(batch))
            for link in list(self._members.link_by_id.values()):
                if not link.peer.is_voter or not link.is_connected:
                    continue
                if self._is_new(link):
                    await link.send(self._make_all_news())
                elif batch:
                    await link.send(news)

    def _is_new(self, link: links.PeerLink) -> bool:
        """Whether a link was made since news were sent over it."""
        told = self._told_connections.get(link.peer_id)
        self._told_connections[link.peer_id] = link.connections_made
        return told != link.connections_made

    def _make_all_news(self) -> messages.EndpointNews:
        heard = [told for told, _ in self._endpoints.heard_since(0)]
        return messages.EndpointNews(payload=updates.encode_heard(heard))

    async def on_endpoint_news(
        self, peer: messages.Greeting, body: messages.EndpointNews
    ) -> messages.Message:
        """Take announcements that another control node has heard."""
        try:
            batch = updates.decode_heard(body.payload)
        except msgspec.DecodeError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.PROTOCOL,
                message=f'announcements can not be decoded: {error}',
            ) from error
        for heard in batch:
            self._endpoints.take(heard)
        return messages.Done()

    # Subscriptions

    async def on_subscribe(
        self,
        peer: messages.Greeting,
        body: messages.Subscribe,
        sink: server.ReplySink,
    ) -> None:
        """Send updates to an entry until it cancels or is lost."""
        logs.log_event('subscriber_found', peer=peer.node_id)
        sent = _Sent(table_version=body.table_version)
        try:
            while True:
                changed = self._changed
                now = self._present(sent.table_version)
                if now != sent:
                    await sink.send(
                        messages.Update(payload=self._encode(sent, now))
                    )
                    sent = now
                await self._wait(changed)
                await self._env.timer.sleep(BATCH_S)
        finally:
            logs.log_event('subscriber_lost', peer=peer.node_id)

    def _present(self, table_version: int) -> '_Sent':
        """Return how far a subscriber is that gets everything now."""
        content = self._raft.state.content
        return _Sent(
            complete=False,
            revision=self._endpoints.revision,
            applied_index=self._raft.applied_index,
            table_version=max(table_version, content.routes_version),
            entry_count=self.count_entries(),
        )

    def _encode(self, sent: '_Sent', now: '_Sent') -> bytes:
        """Return the update between two states, encoded once for all."""
        if sent.applied_index not in self._groups_by_index:
            sent = _Sent(table_version=sent.table_version)
        payload = self._payload_by_step.get((sent, now))
        if payload is None:
            payload = updates.encode_update(self._make_update(sent, now))
            if len(self._payload_by_step) >= MAX_KEPT_PAYLOADS:
                self._payload_by_step.clear()
            self._payload_by_step[sent, now] = payload
        return payload

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            async with self._env.timer.timeout(1.0):
                await changed.wait()
        except TimeoutError:
            pass  # the number of entries is looked at once a second

    def count_entries(self) -> int:
        """Return how many entries there are in the whole fleet.

        The leader knows from their reports, the others from its
        heartbeat; without either, the entries that link here are counted.
        """
        linked = sum(
            node_id not in self._members.link_by_id
            for node_id in self._members.fresh_heartbeats()
        )
        leader = self._members.fresh_heartbeats().get(self._raft.leader_id)
        told = leader.entries if leader is not None else 0
        return max(linked, told, self._seen.count_entries())

    def _make_update(self, sent: '_Sent', now: '_Sent') -> updates.FleetUpdate:
        content = self._raft.state.content
        changed, ended = self._group_changes(sent, now)
        has_table = now.table_version > sent.table_version
        return updates.FleetUpdate(
            complete=sent.complete,
            applied_index=now.applied_index,
            table_version=content.routes_version,
            entry_count=now.entry_count,
            table=content.routes_table if has_table else b'',
            taken_out=tuple(content.taken_out),
            changed_groups=changed,
            ended_groups=ended,
            endpoints=tuple(
                updates.EndpointNews(heard=heard, lost=lost)
                for heard, lost in self._endpoints.heard_since(sent.revision)
            ),
        )

    def _group_changes(
        self, sent: '_Sent', now: '_Sent'
    ) -> tuple[tuple[updates.GroupNews, ...], tuple[str, ...]]:
        """Return the groups that differ between two entries of the log."""
        self._note_groups(now.applied_index)
        present = self._groups_by_index[now.applied_index]
        before = self._groups_by_index.get(sent.applied_index, {})
        if sent.complete:
            before = {}
        changed = tuple(
            group
            for group_id, group in present.items()
            if before.get(group_id) != group
        )
        return changed, tuple(before.keys() - present.keys())

    def _note_groups(self, index: int) -> None:
        """Keep the groups as they are, to compare with later ones."""
        if index in self._groups_by_index:
            return
        while len(self._groups_by_index) >= MAX_KEPT_INDEXES:
            del self._groups_by_index[next(iter(self._groups_by_index))]
        self._groups_by_index[index] = {
            group.group_id: updates.GroupNews(
                group_id=group.group_id,
                service=group.service,
                model=group.model,
                epoch=group.fencing,
                member_ids=tuple(m.endpoint_id for m in group.members),
            )
            for group in self._raft.state.content.group_ledger.groups()
            if group.members
        }
