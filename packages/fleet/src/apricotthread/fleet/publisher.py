"""Sends changes from a control node to other control nodes and entries."""

import asyncio
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import replica
from apricotthread.endpoints import directory
from apricotthread.fleet import updates
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server

UNCHANGED_BATCH_S = 0.25  # for announcements that change nothing
BATCH_S = 0.02  # collects changes that come together into one message
FIND_LOST_PERIOD_S = 0.1
MAX_KEPT_INDEXES = 128  # a subscriber further behind gets a full update
MAX_KEPT_PAYLOADS = 32  # nearly all subscribers have the same state
NO_TABLE = -1  # the version of a table may be 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sent:
    """The state up to which a subscriber has received updates."""

    complete: bool = True
    revision: int = 0
    applied_index: int = 0
    table_version: int = NO_TABLE


class Publisher:
    """Forwards announcements to control nodes and sends updates to entries."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        members: membership.Membership,
        endpoints: directory.Directory,
    ) -> None:
        self._env = env
        self._raft = raft
        self._members = members
        self._endpoints = endpoints
        self._payload_by_transition: dict[tuple[_Sent, _Sent], bytes] = {}
        self._groups_by_index: dict[int, dict[str, updates.GroupNews]] = {}
        self._pending: list[directory.Heard] = []
        self._connections_made_by_id: dict[str, int] = {}
        self._has_pending_change = asyncio.Event()
        self._state_changed = asyncio.Event()

    def on_change(self) -> None:
        """Wake subscriptions after a change of directory or agreed state."""
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    async def run(self) -> None:
        """Forward announcements and watch for changes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._forward_announcements())
            tasks.create_task(self._find_lost())
            tasks.create_task(self._watch_agreed())

    async def _find_lost(self) -> None:
        async for _ in self._env.timer.subscribe(period_s=FIND_LOST_PERIOD_S):
            self._endpoints.find_lost()

    async def _watch_agreed(self) -> None:
        while True:
            await self._raft.applied.wait()
            self.on_change()

    # Announcements of endpoints

    def announce(self, reported: directory.Announcement) -> None:
        """Store an endpoint's announcement and forward it if it is new."""
        heard = directory.Heard(announcement=reported, age_s=0.0)
        revision = self._endpoints.revision
        if self._endpoints.apply(heard):
            self._enqueue(heard, is_change=self._endpoints.revision > revision)

    def leave(self, endpoint_id: str, born_ms: int) -> bool:
        """Mark an endpoint as gone; return False if it has started since.

        `born_ms` is the start that ends in Unix ms, 0 if it is unknown.
        """
        heard = self._endpoints.leave(endpoint_id, born_ms)
        if heard is not None:
            self._enqueue(heard, is_change=True)
        return heard is not None

    def note_leaving(self, endpoint_id: str, born_ms: int) -> None:
        """Mark an incarnation of an endpoint as leaving, if that is news."""
        heard = self._endpoints.note_leaving(endpoint_id, born_ms)
        if heard is not None:
            self._enqueue(heard, is_change=True)

    def _enqueue(self, heard: directory.Heard, *, is_change: bool) -> None:
        self._pending.append(heard)
        if is_change:
            self._has_pending_change.set()

    async def _forward_announcements(self) -> None:
        """Forward announcements to the other control nodes, in batches.

        Announcements that change nothing wait up to UNCHANGED_BATCH_S. A
        newly connected node gets the announcements of all endpoints.
        """
        while True:
            try:
                async with self._env.timer.timeout(UNCHANGED_BATCH_S):
                    await self._has_pending_change.wait()
            except TimeoutError:
                pass  # announcements that change nothing are due as well
            await self._env.timer.sleep(BATCH_S)
            self._has_pending_change.clear()
            batch, self._pending = self._pending, []
            news = messages.EndpointNews(
                payload=updates.encode_announcements(batch)
            )
            for link in list(self._members.link_by_id.values()):
                if not link.peer.is_voter or not link.is_connected:
                    continue
                if self._is_new(link):
                    await link.send(self._make_full_news())
                elif batch:
                    await link.send(news)

    def _is_new(self, link: links.PeerLink) -> bool:
        """Whether the link has a new connection since the last call."""
        reported = self._connections_made_by_id.get(link.peer_id)
        self._connections_made_by_id[link.peer_id] = link.connections_made
        return reported != link.connections_made

    def _make_full_news(self) -> messages.EndpointNews:
        heard = [reported for reported, _ in self._endpoints.changes_since(0)]
        return messages.EndpointNews(
            payload=updates.encode_announcements(heard)
        )

    async def on_endpoint_news(
        self, peer: messages.Greeting, body: messages.EndpointNews
    ) -> messages.Message:
        """Store announcements that another control node has received."""
        try:
            batch = updates.decode_announcements(body.payload)
        except msgspec.DecodeError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.PROTOCOL,
                message=f'announcements cannot be decoded: {error}',
            ) from error
        for heard in batch:
            self._endpoints.apply(heard)
        return messages.Done()

    # Subscriptions of entries

    async def on_subscribe(
        self,
        peer: messages.Greeting,
        body: messages.Subscribe,
        sink: server.ReplySink,
    ) -> None:
        """Send updates to an entry until it cancels or disconnects."""
        logs.log_event('subscriber_found', peer=peer.node_id)
        # A subscriber with the table of version 0 gets it once more.
        sent = _Sent(table_version=body.table_version or NO_TABLE)
        try:
            while True:
                changed = self._state_changed
                current = self._current_state(sent.table_version)
                if current != sent:
                    await sink.send(
                        messages.Update(
                            payload=self._encode_update(sent, current)
                        )
                    )
                    sent = current
                await changed.wait()
                await self._env.timer.sleep(BATCH_S)
        finally:
            logs.log_event('subscriber_lost', peer=peer.node_id)

    def _current_state(self, table_version: int) -> '_Sent':
        """Return the state of a subscriber that has received everything."""
        content = self._raft.state.content
        if content.has_routes:
            table_version = max(table_version, content.routes_version)
        return _Sent(
            complete=False,
            revision=self._endpoints.revision,
            applied_index=self._raft.applied_index,
            table_version=table_version,
        )

    def _encode_update(self, sent: '_Sent', current: '_Sent') -> bytes:
        """Return the encoded update between two states, from a cache."""
        if sent.applied_index not in self._groups_by_index:
            sent = _Sent(table_version=sent.table_version)
        payload = self._payload_by_transition.get((sent, current))
        if payload is None:
            payload = updates.encode_update(self._make_update(sent, current))
            if len(self._payload_by_transition) >= MAX_KEPT_PAYLOADS:
                self._payload_by_transition.clear()
            self._payload_by_transition[sent, current] = payload
        return payload

    def _make_update(
        self, sent: '_Sent', current: '_Sent'
    ) -> updates.FleetUpdate:
        content = self._raft.state.content
        changed, ended = self._group_changes(sent, current)
        has_table = current.table_version > sent.table_version
        return updates.FleetUpdate(
            complete=sent.complete,
            applied_index=current.applied_index,
            table_version=content.routes_version,
            table=content.routes_table if has_table else b'',
            taken_out=tuple(content.taken_out),
            changed_groups=changed,
            ended_groups=ended,
            endpoints=tuple(
                updates.EndpointNews(heard=heard, lost=lost)
                for heard, lost in self._endpoints.changes_since(sent.revision)
            ),
        )

    def _group_changes(
        self, sent: '_Sent', current: '_Sent'
    ) -> tuple[tuple[updates.GroupNews, ...], tuple[str, ...]]:
        """Return the changed and the ended groups between two states."""
        self._store_groups(current.applied_index)
        current_groups = self._groups_by_index[current.applied_index]
        previous_groups = self._groups_by_index.get(sent.applied_index, {})
        if sent.complete:
            previous_groups = {}
        changed = tuple(
            group
            for group_id, group in current_groups.items()
            if previous_groups.get(group_id) != group
        )
        return changed, tuple(previous_groups.keys() - current_groups.keys())

    def _store_groups(self, index: int) -> None:
        """Store the current groups to compare them with later ones."""
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
