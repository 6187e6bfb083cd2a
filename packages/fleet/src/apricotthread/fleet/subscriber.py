"""Subscriptions of an entry to the updates of control nodes."""

import asyncio
import zlib

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.fleet import updates
from apricotthread.fleet import view
from apricotthread.nodes import links
from apricotthread.nodes import messages

RETRY_S = 0.2


class Subscriber:
    """Maintains a subscription to each control node linked to the entry."""

    def __init__(
        self, *, env: environment.Environment, fleet: view.FleetView
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._task_by_id: dict[str, asyncio.Task] = {}

    def add(self, link: links.PeerLink) -> None:
        """Subscribe over a link, and again whenever the link was lost."""
        if link.peer.is_voter and link.peer_id not in self._task_by_id:
            self._task_by_id[link.peer_id] = asyncio.create_task(
                self._keep_subscribed(link)
            )

    def remove(self, node_id: str) -> None:
        """End the subscription to a node that is gone."""
        task = self._task_by_id.pop(node_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """End every subscription."""
        for node_id in list(self._task_by_id):
            self.remove(node_id)

    async def _keep_subscribed(self, link: links.PeerLink) -> None:
        while True:
            if not link.is_connected:
                await self._env.timer.sleep(RETRY_S / 4)
                continue
            try:
                await self._receive_updates(link)
            except errors.ApricotError as error:
                logs.log_fault('subscription_lost', error, peer=link.peer_id)
            except (msgspec.DecodeError, zlib.error) as error:
                logs.log_event(
                    'update_broken', peer=link.peer_id, reason=str(error)
                )
                link.drop()
            except Exception:
                # The next subscription begins with a complete update.
                self._env.metrics.count('bugs_contained')
                logs.log_bug('update_broke', peer=link.peer_id)
                link.drop()
            finally:
                self._fleet.disconnect(link.peer_id)
            await self._env.timer.sleep(RETRY_S)

    async def _receive_updates(self, link: links.PeerLink) -> None:
        table = self._fleet.table
        request = messages.Subscribe(
            table_version=table.version if table else 0
        )
        async with link.open_stream(request) as stream:
            while not stream.finished:
                match await stream.receive():
                    case messages.Update(payload=payload):
                        update = updates.decode_update(payload)
                        self._fleet.connect(link.peer_id)
                        self._fleet.apply_update(link.peer_id, update)
