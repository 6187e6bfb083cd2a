"""Control nodes that discover each other, for tests of lost disks.

They have the components of a fleet's control node that keep the agreed
state, on fake links and disks.
"""

import asyncio
import contextlib
import random

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import metrics
from apricotthread.base import pauses
from apricotthread.base import settings
from apricotthread.control import admissions
from apricotthread.control import audit
from apricotthread.control import logstore
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.control import routetables
from apricotthread.daemon import controlservice
from apricotthread.fakes import disks
from apricotthread.fakes import networks
from apricotthread.fakes import virtualclock
from apricotthread.nodes import discovery
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server

HEARTBEAT_S = 0.2
LEASE_S = 1.0
TOLERATED_LOSSES = 2
TARGET_VOTERS = 2 * TOLERATED_LOSSES + 1
SEED_COUNT = 3
DATA_CENTRES = ('dc1', 'dc2', 'dc3', 'dc4')
SETTLE_S = 30.0
POLL_S = 0.02


class ControlNode:
    """The agreed state of one control node, with what it needs."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        own: settings.NodeAddress,
        seeds: list[settings.NodeAddress],
        network: networks.NodeNetwork,
        disk: disks.FakeDisk,
        first_start: bool,
    ) -> None:
        greeting = messages.Greeting(
            protocol=links.PROTOCOL_VERSION,
            node_id=own.node_id,
            data_centre=own.data_centre,
            incarnation=int(env.timer.wall_time() * 1000),
            host=own.host,
            peer_port=own.peer_port,
            roles=sorted(role.value for role in own.roles),
        )
        node_by_id = {node.node_id: node for node in (*seeds, own)}
        self.members = membership.Membership(
            env=env,
            network=network,
            own=own,
            node_by_id=node_by_id,
            greeting=greeting,
            heartbeat_s=HEARTBEAT_S,
            lease_s=LEASE_S,
            on_change=lambda: None,
        )
        link_by_id = self.members.link_by_id
        self.raft = replica.Replica(
            env=env,
            own=own,
            node_by_id=node_by_id,
            link_by_id=link_by_id,
            store=logstore.LogStore(folder=disk),
            trail=audit.AuditTrail(folder=disk),
            heartbeat_s=HEARTBEAT_S,
            lease_s=LEASE_S,
            initial_voter_ids=frozenset(
                seed.node_id for seed in seeds if first_start
            ),
            data_centres=DATA_CENTRES,
        )
        self.voter_manager = admissions.VoterManager(
            env=env,
            raft=self.raft,
            members=self.members,
            target_voter_count=TARGET_VOTERS,
            lost_after_s=2 * LEASE_S,
        )
        proposer = proposals.Proposer(
            env=env, raft=self.raft, link_by_id=link_by_id, lease_s=LEASE_S
        )
        self.pauses = pauses.PauseDetector(env=env)
        self.service = controlservice.ControlService(
            env=env,
            raft=self.raft,
            proposer=proposer,
            fleet_publisher=None,
            link_by_id=link_by_id,
            pause_detector=self.pauses,
            data_centres=DATA_CENTRES,
            get_table=lambda: None,
        )
        self.discovery = discovery.Discovery(
            env=env,
            members=self.members,
            seed_ids=[seed.node_id for seed in seeds],
            is_voter=lambda node_id: (
                node_id in self.raft.voters.disk_by_voter()
            ),
            on_link=self.raft.add_peer,
            on_gone=self.raft.remove_peer,
        )
        self._server = server.PeerServer(
            env=env,
            network=network,
            own=own,
            greeting=greeting,
            silence_timeout_s=2 * LEASE_S,
            on_greeting=self.discovery.on_greeting,
        )
        raft = self.raft
        for body_type, handler in {
            messages.Heartbeat: self.members.on_heartbeat,
            messages.NodesRequest: self.discovery.on_nodes_request,
            messages.VoteRequest: raft.on_vote_request,
            messages.AppendRequest: raft.on_append_request,
            messages.SnapshotPiece: raft.on_snapshot_piece,
            messages.Resignation: raft.on_resignation,
            messages.Proposal: proposer.on_proposal,
            messages.IdentityRequest: raft.voters.on_identity_request,
            messages.AuditRequest: raft.trail.on_audit_request,
            messages.DocumentRequest: self.service.on_document_request,
        }.items():
            self._server.add_call_handler(body_type, handler)

    def _make_heartbeat(
        self, peer: settings.NodeAddress, sequence: int
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            sequence=sequence,
            incarnation=1,
            draining=False,
            applied_index=self.raft.applied_index,
            version=0,
            capacities=[],
            vms=[],
        )

    async def run(self) -> None:
        """Run until cancelled, or until a component fails."""
        await self.raft.load()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.pauses.run())
            tasks.create_task(self._server.run())
            tasks.create_task(self.members.run(self._make_heartbeat))
            tasks.create_task(self.raft.run())
            tasks.create_task(self.voter_manager.run())
            await asyncio.sleep(0)
            tasks.create_task(self.discovery.run())


class ControlWorld:
    """Control nodes c1, c2 and so on, the first three of them seeds."""

    def __init__(
        self, *, env: environment.Environment, nodes: int = 8
    ) -> None:
        self.env = env
        self.fake_network = networks.FakeNetwork(env=env)
        self.address_by_id: dict[str, settings.NodeAddress] = {}
        self.disk_by_id: dict[str, disks.FakeDisk] = {}
        self.node_by_id: dict[str, ControlNode] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}
        for number in range(1, nodes + 1):
            self.add(f'c{number}', number)
        self.seed_ids = list(self.address_by_id)[:SEED_COUNT]

    def add(self, node_id: str, number: int) -> None:
        """Add a machine with an empty disk, without starting it."""
        self.address_by_id[node_id] = settings.NodeAddress(
            node_id=node_id,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host='127.0.0.1',
            peer_port=number,
            roles=frozenset({settings.Role.CONTROL}),
        )
        self.disk_by_id[node_id] = disks.FakeDisk(timer=self.env.timer)

    def start(self, node_id: str, *, first_start: bool = False) -> None:
        """Start a node with what is on its disk."""
        disk = self.disk_by_id[node_id]
        disk.reboot()
        node = ControlNode(
            env=environment.Environment(
                timer=self.env.timer,
                random=random.Random(self.env.random.random()),
                metrics=metrics.Metrics(),
            ),
            own=self.address_by_id[node_id],
            seeds=[self.address_by_id[name] for name in self.seed_ids],
            network=networks.NodeNetwork(
                fake_network=self.fake_network, node_id=node_id
            ),
            disk=disk,
            first_start=first_start,
        )
        self.node_by_id[node_id] = node
        self._task_by_id[node_id] = asyncio.create_task(node.run())

    async def start_first(self) -> None:
        """Start all for the first time; return when enough disks vote."""
        for node_id in self.address_by_id:
            self.start(node_id, first_start=True)
        await self.wait_for(self.has_live_voters, 'five voters')

    async def stop(self, *node_ids: str, wiped=()) -> None:
        """Cut the power of nodes at once, and empty the disks of some."""
        for node_id in node_ids:
            self.disk_by_id[node_id].lose_power(self.env.random)
            if node_id in wiped:
                self.disk_by_id[node_id].wipe()
        for node_id in node_ids:
            self.fake_network.crash(node_id)
            self.node_by_id.pop(node_id, None)
            task = self._task_by_id.pop(node_id, None)
            if task is not None:
                task.cancel()
                with contextlib.suppress(
                    asyncio.CancelledError, Exception, BaseExceptionGroup
                ):
                    await task

    async def stop_all(self) -> None:
        """Cut the power of all nodes."""
        await self.stop(*list(self._task_by_id))

    async def wait_for(self, is_done, what: str) -> None:
        """Return once the condition holds."""
        try:
            async with self.env.timer.timeout(SETTLE_S):
                while not is_done():
                    await self.env.timer.sleep(POLL_S)
        except TimeoutError:
            raise AssertionError(f'not within {SETTLE_S} s: {what}') from None

    def leader(self) -> str | None:
        """Return the node that holds the lease of a leader, if any."""
        return next(
            (
                node_id
                for node_id, node in self.node_by_id.items()
                if node.raft.holds_lease()
            ),
            None,
        )

    def voters(self) -> dict[str, str]:
        """Return the disks of the voters, as the leader knows them."""
        leader = self.leader()
        if leader is None:
            return {}
        return self.node_by_id[leader].raft.voters.disk_by_voter()

    def has_live_voters(self) -> bool:
        """Whether there are enough voters, all on disks in use."""
        voters = self.voters()
        return len(voters) == TARGET_VOTERS and all(
            node_id in self.node_by_id
            and self.node_by_id[node_id].raft.store.identity.disk_id == disk_id
            for node_id, disk_id in voters.items()
        )

    async def put(self, version: int, *, at: str | None = None) -> None:
        """Submit a table to one node; raise ApricotError like the node."""
        node = self.node_by_id[at or sorted(self.node_by_id)[0]]
        await node.service.replace_table(
            make_document(version),
            routetables.RouteTable(version=version, routes=(), services=()),
            source='test',
        )

    async def mark(
        self,
        data_centre: str,
        *,
        out: bool,
        at: str | None = None,
        waits_s: float = float('inf'),
    ) -> None:
        """Take a data centre out or bring it back, at one node.

        The caller leaves after `waits_s`.
        """
        leaves_at = self.env.timer.now() + waits_s

        async def is_caller_waiting():
            return self.env.timer.now() < leaves_at

        node = self.node_by_id[at or sorted(self.node_by_id)[0]]
        await node.service.mark_data_centre(
            data_centre,
            out=out,
            source='test',
            is_caller_waiting=is_caller_waiting,
        )

    def cut_off(self, node_id: str) -> None:
        """Cut a node off from all others."""
        for other in self.address_by_id:
            self.fake_network.cut_both(node_id, other)

    async def read(self) -> int:
        """Return the version that the nodes answer; all must agree."""
        answers = set()
        for node in self.node_by_id.values():
            with contextlib.suppress(errors.ApricotError):
                document = await node.service.read_document()
                answers.add(msgspec.json.decode(document)['version'])
        return max(answers, default=0) if len(answers) < 2 else -1

    async def wait_for_version(self) -> int:
        """Return the version that is read back once one is."""
        deadline = self.env.timer.now() + SETTLE_S
        while self.env.timer.now() < deadline:
            answer = await self.read()
            if answer:
                return answer
            await self.env.timer.sleep(0.2)
        return 0


def run(env, scenario, *, nodes=8, has_started=True):
    """Run a scenario on control nodes, which have started if it says so."""

    async def main():
        world = ControlWorld(env=env, nodes=nodes)
        if has_started:
            await world.start_first()
        try:
            return await scenario(world)
        finally:
            await world.stop_all()

    return virtualclock.run(main())


def make_document(version: int) -> bytes:
    """Return a table as the operator sends it."""
    return msgspec.json.encode({'version': version, 'routes': []})
