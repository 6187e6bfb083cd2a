"""Runs a cluster of real nodes in one process, on fake networks and disks.

The nodes have no HTTP listeners.
"""

import asyncio
import contextlib
import random
import typing

from apricotthread.base import environment
from apricotthread.base import metrics
from apricotthread.base import settings as node_settings
from apricotthread.control import commands
from apricotthread.control import folders
from apricotthread.control import tables
from apricotthread.daemon import node
from apricotthread.fakes import announcers
from apricotthread.fakes import directclient
from apricotthread.fakes import disks
from apricotthread.fakes import engines
from apricotthread.fakes import networks
from apricotthread.fakes import workers

SETTLE_S = 30.0
POLL_S = 0.05


class MemoryCluster:
    """A cluster in memory; its nodes can crash, restart and be isolated.

    Voters are named v1, v2 and so on, learners l1, l2 and so on. Nodes are
    spread over the data centres dc1, dc2 and dc3 in turn.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        voters: int = 3,
        learners: int = 0,
        **settings: typing.Any,
    ) -> None:
        self.env = env
        self._settings = settings
        self.fake_network = networks.FakeNetwork(env=env)
        names = [f'v{number}' for number in range(1, voters + 1)]
        names += [f'l{number}' for number in range(1, learners + 1)]
        self.address_by_id = {
            name: node_settings.NodeAddress(
                node_id=name,
                data_centre=f'dc{1 + index % 3}',
                host='127.0.0.1',
                peer_port=1 + index,
                roles=frozenset(
                    {node_settings.Role.ENTRY, node_settings.Role.CONTROL}
                    if name.startswith('v')
                    else {node_settings.Role.ENTRY}
                ),
            )
            for index, name in enumerate(names)
        }
        self.disk_by_id = {
            name: disks.FakeDisk(timer=env.timer) for name in names
        }
        self.fleet = engines.EngineFleet(env=env, base_url='')
        self.pool = workers.WorkerPool(env=env, base_url='')
        self.node_by_id: dict[str, node.Node] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}
        self._announce_tasks: list[asyncio.Task] = []

    @property
    def voter_ids(self) -> list[str]:
        """Return the ids of the voters."""
        return [n for n, a in self.address_by_id.items() if a.is_voter]

    def start(self, node_id: str) -> node.Node:
        """Start a node with what is on its disk."""
        address = self.address_by_id[node_id]
        settings = node_settings.Settings(
            node_id=node_id,
            data_centre=address.data_centre,
            data_folder='fake',
            listen_host=address.host,
            caller_port=1,
            endpoint_port=2,
            operator_port=3,
            node_by_id=self.address_by_id,
            **self._settings,
        )
        env = environment.Environment(
            timer=self.env.timer,
            random=random.Random(self.env.random.random()),
            metrics=metrics.Metrics(),
        )
        disk = self.disk_by_id[node_id]
        disk.reboot()
        started = node.Node(
            settings=settings,
            env=env,
            network=networks.NodeNetwork(
                fake_network=self.fake_network, node_id=node_id
            ),
            folder=disk if address.is_voter else folders.NoFolder(),
            endpoint_client=directclient.DirectClient(
                env=env,
                fleet=self.fleet,
                pool=self.pool,
                stall_s=settings.stall_s,
            ),
        )
        self.node_by_id[node_id] = started
        task = asyncio.create_task(started.run_components())
        self._task_by_id[node_id] = task
        return started

    def has_ended(self, node_id: str) -> bool:
        """Whether a node that was not stopped has ended by itself."""
        return self._task_by_id[node_id].done()

    def start_all(self) -> None:
        """Start every node."""
        for node_id in self.address_by_id:
            self.start(node_id)

    def start_endpoints(self) -> None:
        """Start announcing every fake endpoint in its own data centre."""
        for endpoint in (
            *self.fleet.vm_by_id.values(),
            *self.pool.worker_by_id.values(),
        ):
            task = asyncio.create_task(self._announce(endpoint))
            self._announce_tasks.append(task)

    async def _announce(
        self, endpoint: engines.EngineVm | workers.PlainWorker
    ) -> None:
        """Announce to the first running node of its data centre."""
        async for _ in self.env.timer.subscribe(
            period_s=announcers.ANNOUNCE_S
        ):
            entry = next(
                (
                    live_node
                    for live_node in self.node_by_id.values()
                    if live_node.settings.data_centre == endpoint.data_centre
                    and not live_node.system.draining
                ),
                None,
            )
            announcement = endpoint.announce()
            if entry is not None and announcement is not None:
                entry.endpoints.announce(announcement)

    async def crash(self, node_id: str) -> None:
        """Kill a node; it keeps only what was synced to its disk."""
        self.disk_by_id[node_id].has_crashed = True
        self.fake_network.crash(node_id)
        self.node_by_id.pop(node_id, None)
        task = self._task_by_id.pop(node_id, None)
        if task is None:
            return
        task.cancel()
        with contextlib.suppress(
            asyncio.CancelledError, Exception, BaseExceptionGroup
        ):
            await task

    async def stop_all(self) -> None:
        """Crash every node and stop announcing the endpoints."""
        for task in self._announce_tasks:
            task.cancel()
        for node_id in list(self._task_by_id):
            await self.crash(node_id)

    async def stop_crashed_nodes(self) -> list[str]:
        """Stop the nodes that died in a disk write; return their ids."""
        crashed = [
            n for n in self.node_by_id if self.disk_by_id[n].has_crashed
        ]
        for node_id in crashed:
            await self.crash(node_id)
        return crashed

    def isolate(self, node_id: str) -> None:
        """Cut the links between a node and all others."""
        for other in self.address_by_id:
            if other != node_id:
                self.fake_network.cut_both(node_id, other)

    def leaders(self) -> list[str]:
        """Return the nodes that hold a valid lease as leader."""
        return [
            name
            for name, live_node in self.node_by_id.items()
            if live_node.raft.holds_lease()
        ]

    async def wait_for_leader(self) -> str:
        """Return the id of the leader once there is one."""
        async with self.env.timer.timeout(SETTLE_S):
            while True:
                leaders = self.leaders()
                if leaders:
                    return leaders[0]
                await self.env.timer.sleep(POLL_S)

    async def wait_for_version(self, version: int) -> None:
        """Return once every running node has applied the version."""
        async with self.env.timer.timeout(SETTLE_S):
            while any(
                live_node.raft.state.version < version
                for live_node in self.node_by_id.values()
            ):
                await self.env.timer.sleep(POLL_S)

    def make_change(
        self, name: str, *, limit: int, base: int, command_id: str
    ) -> commands.ChangeRows:
        """Return a command that sets an account's limit."""
        row = tables.AccountRow(name=name, limit=limit)
        return commands.ChangeRows(
            origin=commands.Origin(
                command_id=command_id,
                operator='tester',
                source='test',
                wall_time_s=self.env.timer.wall_time(),
            ),
            base_version=base,
            edits=[commands.RowEdit(key=tables.key_of(row), row=row)],
        )
