"""The control node's side: telling peers and entries what changes."""

import asyncio

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import replica
from apricotthread.endpoints import directory
from apricotthread.fleet import updates
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server

BATCH_S = 0.02  # collects the news of one moment into one message
FIND_LOST_PERIOD_S = 0.1


class Publisher:
    """Spreads announcements among control nodes, and all to entries."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        agreed: replica.Replica,
        members: membership.Membership,
        endpoints: directory.Directory,
    ) -> None:
        self._env = env
        self._agreed = agreed
        self._members = members
        self._endpoints = endpoints
        self._pending: list[directory.Heard] = []
        self._pending_grew = asyncio.Event()
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
            await self._agreed.applied.wait()
            self.on_change()

    # Announcements

    def announce(self, told: directory.Announcement) -> None:
        """Take an endpoint's announcement, and spread it."""
        heard = directory.Heard(announcement=told, age_s=0.0)
        if self._endpoints.take(heard):
            self._pend(heard)

    def leave(self, endpoint_id: str) -> bool:
        """Take an endpoint for gone; return whether it was known."""
        heard = self._endpoints.leave(endpoint_id)
        if heard is not None:
            self._pend(heard)
        return heard is not None

    def born_ms(self, endpoint_id: str) -> int | None:
        """Return when an endpoint was started, None if it is unknown."""
        entry = self._endpoints.entry_by_id.get(endpoint_id)
        return entry.announcement.born_ms if entry is not None else None

    def _pend(self, heard: directory.Heard) -> None:
        self._pending.append(heard)
        self._pending_grew.set()

    async def _spread(self) -> None:
        """Send announcements on to the other control nodes, in batches."""
        while True:
            await self._pending_grew.wait()
            await self._env.timer.sleep(BATCH_S)
            self._pending_grew.clear()
            batch, self._pending = self._pending, []
            news = messages.EndpointNews(payload=updates.encode_heard(batch))
            for link in list(self._members.link_by_id.values()):
                if link.peer.is_voter and link.is_connected:
                    await link.send(news)

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
        sent_revision = 0
        sent_index = 0
        sent_version = body.table_version
        sent_count = 0
        complete = True
        try:
            while True:
                changed = self._changed
                revision = self._endpoints.revision
                index = self._agreed.applied_index
                content = self._agreed.state.content
                count = self._count_entries()
                has_news = (revision, index, count) != (
                    sent_revision,
                    sent_index,
                    sent_count,
                )
                if complete or has_news:
                    update = self._make_update(
                        complete=complete,
                        after_revision=sent_revision,
                        with_table=content.routes_version > sent_version,
                        with_groups=index != sent_index,
                    )
                    await sink.send(
                        messages.Update(payload=updates.encode_update(update))
                    )
                    complete = False
                    sent_revision = revision
                    sent_index = index
                    sent_count = count
                    sent_version = max(sent_version, content.routes_version)
                await self._wait(changed)
                await self._env.timer.sleep(BATCH_S)
        finally:
            logs.log_event('subscriber_lost', peer=peer.node_id)

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            async with self._env.timer.timeout(1.0):
                await changed.wait()
        except TimeoutError:
            pass  # the number of entries is looked at once a second

    def _count_entries(self) -> int:
        return len(
            [
                node_id
                for node_id in self._members.fresh_heartbeats()
                if node_id not in self._members.link_by_id
            ]
        )

    def _make_update(
        self,
        *,
        complete: bool,
        after_revision: int,
        with_table: bool,
        with_groups: bool,
    ) -> updates.FleetUpdate:
        content = self._agreed.state.content
        groups = ()
        if with_groups or complete:
            groups = tuple(
                updates.GroupNews(
                    group_id=group.group_id,
                    service=group.service,
                    model=group.model,
                    epoch=group.fencing,
                    member_ids=tuple(m.endpoint_id for m in group.members),
                )
                for group in content.group_ledger.groups()
                if group.members
            )
        return updates.FleetUpdate(
            complete=complete,
            applied_index=self._agreed.applied_index,
            table_version=content.routes_version,
            entry_count=self._count_entries(),
            table=content.routes_table if with_table else b'',
            taken_out=tuple(content.taken_out),
            groups=groups,
            endpoints=tuple(
                updates.EndpointNews(heard=heard, lost=lost)
                for heard, lost in self._endpoints.heard_since(after_revision)
            ),
        )
