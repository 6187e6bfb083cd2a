"""Nodes of a fleet on a virtual clock, before workers that mostly fail.

The nodes have all their components but the HTTP listeners. Workers record
each request that reaches them.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import types

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import metrics
from apricotthread.base import settings
from apricotthread.control import folders
from apricotthread.control import routetables
from apricotthread.daemon import fleetnode
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.endpoints import directory
from apricotthread.fakes import disks
from apricotthread.fakes import networks
from apricotthread.gateway import forwarder
from apricotthread.gateway import requests
from apricotthread.gateway import requesttrace

RATIO = 0.2
SLACK = 130.0
WINDOW_S = 10.0
COLD_PER_S = 20.0
COLD_OVERSHOOT = 1.5
# What may reach a cold endpoint within a second, with the platform's slack.
COLD_BOUND = COLD_PER_S * COLD_OVERSHOOT + 5
DATA_CENTRES = ('a', 'b', 'c')
ANNOUNCE_S = 0.5
ANSWER_S = 0.03
# As long as the bench's callers wait for these requests.
CALLER_S = 2.0
NEVER_S = 1000.0
SERVICE = routetables.Service(
    name='models',
    health_path='/health',
    max_connections=100,
    cold_start_s=3.0,
    cold_requests_per_s=COLD_PER_S,
)
ROUTE = routetables.Route(
    name='answers',
    host='a.example',
    prefix='/',
    shares=(routetables.Share(service='models', weight=1.0),),
    repeat=routetables.Repeat.ANY,
    is_stream=False,
    timeout_s=CALLER_S,
    target_s=0.2,
    priority=1,
    max_attempts=3,
)
TABLE = routetables.RouteTable(version=1, routes=(ROUTE,), services=(SERVICE,))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that has reached a worker, and whether for the first time."""

    at: float
    address: str
    is_repeat: bool
    node_id: str


class Connection:
    """A connection of a node to a worker; its answer is drawn by lot."""

    def __init__(self, *, world, node_id, address):
        self._world = world
        self._node_id = node_id
        self._address = address
        self._request_id = ''
        self._closed = asyncio.Event()

    def start(self, request, *, expects_body=True):
        """Have a request arrive at the worker."""
        for line in request.split(b'\r\n'):
            if line.startswith(b'attempt-id: '):
                self._request_id = line.partition(b' ')[2].decode()
        self._world.note_arrival(
            self._address, self._request_id, self._node_id
        )

    async def read_head(self):
        """Return an answer, or fail, as the draw says."""
        world = self._world
        draw = world.random.random()
        refusal = world.refuse(self._address, self._node_id)
        if refusal is not None:
            return answerreader.Answer(
                status=503,
                headers=[
                    (b'attempt-id', self._request_id.encode()),
                    (b'not-executed', b'1'),
                    *refusal,
                ],
            )
        wait_s = NEVER_S if draw < 0.1 * world.failing else ANSWER_S
        with contextlib.suppress(TimeoutError):
            async with world.env.timer.timeout(wait_s):
                await self._closed.wait()
        await world.wait_while_paused(self._node_id)
        if self._closed.is_set() or draw < 0.6 * world.failing:
            raise connections.ConnectionLost(reason='closed', sent=True)
        headers = [
            (b'attempt-id', self._request_id.encode()),
            *world.name_limit(self._address, self._node_id),
        ]
        if draw < world.failing:
            headers.append((b'not-executed', b'1'))
            return answerreader.Answer(status=503, headers=headers)
        headers.append((b'response-seal', b'1'))
        return answerreader.Answer(status=200, headers=headers)

    async def read(self):
        """Return the end of the body."""
        return b''

    def close(self):
        """Close the connection, so that a request that hangs fails."""
        self._closed.set()


class Pool:
    """The connections of a node; one that is paused gets none."""

    def __init__(self, *, world, node_id):
        self._world = world
        self._node_id = node_id

    async def acquire(self, address, *, must_be_fresh=False):
        """Return a new connection to a worker."""
        await self._world.env.timer.sleep(networks.LATENCY_S)
        await self._world.wait_while_paused(self._node_id)
        return Connection(
            world=self._world, node_id=self._node_id, address=address
        )

    def release(self, connection):
        """Ignore a connection that is given back."""

    def drop_stale(self):
        """Keep no idle connections."""


class Sink:
    """Takes the answer of one request."""

    started = False
    status = 0

    async def start(self, status, headers):
        """Record the status."""
        self.started = True
        self.status = status

    async def write(self, data):
        """Ignore the body."""

    async def end(self):
        """Ignore the end."""


class RetryWorld:
    """Control nodes c1 to c3 and entries e1, e2 and so on, with callers."""

    table = TABLE

    def __init__(self, *, env, seed, entries=9, workers=12):
        self.env = env
        self.random = random.Random(seed)
        self.fake_network = networks.FakeNetwork(env=env)
        self.workers = workers
        self.failing = 0.0  # the share of attempts that fail
        self.cold_s = 0.0
        self.born_ms = 1
        self.born_ms_by_address = {}
        self.control_ids = ['c1', 'c2', 'c3']
        self.entry_ids = [f'e{number + 1}' for number in range(entries)]
        self.address_by_id = {
            node_id: settings.NodeAddress(
                node_id=node_id,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                host='127.0.0.1',
                peer_port=number + 1,
                roles=frozenset({role}),
            )
            for role, ids in (
                (settings.Role.CONTROL, self.control_ids),
                (settings.Role.ENTRY, self.entry_ids),
            )
            for number, node_id in enumerate(ids)
        }
        self.disk_by_id = {
            node_id: disks.FakeDisk(timer=env.timer)
            for node_id in self.control_ids
        }
        self.node_by_id = {}
        # These outlast the nodes.
        self.metrics_by_id = {}
        self.callers_at = list(self.entry_ids)
        self.requested_at = []
        self.arrivals = []
        self.statuses = []
        # How long refused callers waited, and when they may return.
        self.refused_after_s = []
        self.retry_after_s = []
        self._arrived_ids = set()
        self._cuts_by_pair = collections.Counter()
        self._resumed_by_id = {}
        self._tasks_by_id = {}

    # Nodes

    def data_centre_ids(self, data_centre):
        """Return the ids of all nodes in a data centre."""
        return [
            node_id
            for node_id, address in self.address_by_id.items()
            if address.data_centre == data_centre
        ]

    def start(self, node_id, *, first_start=False):
        """Start a node with what is on its disk."""
        own = self.address_by_id[node_id]
        disk = self.disk_by_id.get(node_id)
        if disk is not None:
            disk.reboot()
        seeds = tuple(self.address_by_id[name] for name in self.control_ids)
        node = fleetnode.FleetNode(
            settings=settings.Settings(
                node_id=node_id,
                data_centre=own.data_centre,
                data_folder='fake',
                listen_host=own.host,
                node_by_id={node.node_id: node for node in (*seeds, own)},
                heartbeat_s=0.2 if own.is_voter else 0.5,
                lease_s=1.0 if own.is_voter else 2.0,
                endpoint_lease_s=2.9,
                discovery=settings.Discovery(
                    seeds=seeds,
                    first_start=first_start,
                    data_centres=DATA_CENTRES,
                    retry_ratio=RATIO,
                    retry_slack=SLACK,
                    retry_window_s=WINDOW_S,
                    cold_overshoot=COLD_OVERSHOOT,
                ),
            ),
            settings_path=__file__,
            env=environment.Environment(
                timer=self.env.timer,
                random=random.Random(self.random.random()),
                metrics=self.metrics_by_id.setdefault(
                    node_id, metrics.Metrics()
                ),
            ),
            log_writer=types.SimpleNamespace(
                refill=lambda seconds: None, flush=lambda: None
            ),
            open_folder=lambda path, *, timer: disk or folders.NoFolder(),
            network=networks.NodeNetwork(
                fake_network=self.fake_network, node_id=node_id
            ),
            pool=Pool(world=self, node_id=node_id),
        )
        self.node_by_id[node_id] = node
        self.spawn(self._run(node), node_id)

    async def _run(self, node):
        if node.control is not None:
            await node.control.raft.load()
        await node.run_components()

    def spawn(self, coroutine, node_id=''):
        """Start a task that ends with a node, or with the world."""
        tasks = self._tasks_by_id.setdefault(node_id, set())
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def kill(self, *node_ids):
        """End nodes at once, with the requests they have."""
        ended = []
        for node_id in node_ids:
            if node_id in self.disk_by_id:
                self.disk_by_id[node_id].lose_power(self.random)
            self.fake_network.crash(node_id)
            self.node_by_id.pop(node_id, None)
            ended.extend(self._tasks_by_id.pop(node_id, ()))
        for task in ended:
            task.cancel()
        await asyncio.gather(*ended, return_exceptions=True)

    async def restart(self, *node_ids, down_s=0.5):
        """Kill nodes and start them a while later."""
        await self.kill(*node_ids)
        await self.env.timer.sleep(down_s)
        for node_id in node_ids:
            if node_id not in self.node_by_id:
                self.start(node_id)

    @contextlib.contextmanager
    def _cut(self, pairs):
        """Cut pairs of nodes off from each other meanwhile."""
        for pair in pairs:
            self._cuts_by_pair[pair] += 1
            self.fake_network.cut_both(*pair)
        try:
            yield
        finally:
            for pair in pairs:
                self._cuts_by_pair[pair] -= 1
                if not self._cuts_by_pair[pair]:
                    self.fake_network.heal_both(*pair)

    async def isolate(self, *node_ids, seconds):
        """Cut nodes off from all others but each other for a while."""
        others = self.address_by_id.keys() - set(node_ids)
        with self._cut(_pairs(node_ids, others)):
            await self.env.timer.sleep(seconds)

    async def pause(self, *node_ids, seconds):
        """Have nodes stand still, so that they neither hear nor send."""
        resumed = asyncio.Event()
        self._resumed_by_id.update(dict.fromkeys(node_ids, resumed))
        with self._cut(_pairs(node_ids, self.address_by_id)):
            await self.env.timer.sleep(seconds)
        for node_id in node_ids:
            if self._resumed_by_id.get(node_id) is resumed:
                del self._resumed_by_id[node_id]
        resumed.set()

    async def wait_while_paused(self, node_id):
        """Return once a node is not paused."""
        while (resumed := self._resumed_by_id.get(node_id)) is not None:
            await resumed.wait()

    def leader_id(self):
        """Return the node that holds the lease of a leader, if any."""
        return next(
            (
                node_id
                for node_id in self.control_ids
                if node_id in self.node_by_id
                and self.node_by_id[node_id].control.raft.holds_lease()
            ),
            None,
        )

    # Workers

    def name_limit(self, address, node_id):
        """Return the headers by which a worker names its limit to a node."""
        return []

    def refuse(self, address, node_id):
        """Return the headers of a refusal that comes at once, if one does."""
        return None

    def note_arrival(self, address, request_id, node_id):
        """Record a request of a node that has reached a worker."""
        self.arrivals.append(
            Arrival(
                at=self.env.timer.now(),
                address=address,
                is_repeat=request_id in self._arrived_ids,
                node_id=node_id,
            )
        )
        self._arrived_ids.add(request_id)

    async def _announce(self):
        sequence = 0
        async for now in self.env.timer.subscribe(period_s=ANNOUNCE_S):
            sequence += 1
            running = [n for n in self.control_ids if n in self.node_by_id]
            for number in range(self.workers if running else 0):
                node = self.node_by_id[self.random.choice(running)]
                # Unknown services are refused until the table is there.
                with contextlib.suppress(errors.ApricotError):
                    node.control.service.announce(
                        directory.Announcement(
                            endpoint_id=f'w{number}',
                            service=SERVICE.name,
                            address=f'w{number}',
                            data_centre=DATA_CENTRES[number % 3],
                            born_ms=self.born_ms_by_address.get(
                                f'w{number}', self.born_ms
                            ),
                            sequence=sequence,
                            slots=50,
                            cold_s=self.cold_s,
                        )
                    )

    # Callers

    async def start_first(self):
        """Start all nodes and workers; return once all entries can serve."""
        for node_id in self.address_by_id:
            self.start(node_id, first_start=True)
        async with self.env.timer.timeout(20.0):
            while self.leader_id() is None:
                await self.env.timer.sleep(0.05)
            leader = self.node_by_id[self.leader_id()]
            await leader.control.service.replace_table(
                msgspec.json.encode({}), self.table, source='test'
            )
            self.spawn(self._announce())
            while not all(
                self.node_by_id[node_id].entry.fleet.table is not None
                and self.node_by_id[node_id].entry.fleet.replicas('models')
                for node_id in self.entry_ids
            ):
                await self.env.timer.sleep(0.05)

    async def offer(self, *, rate, seconds):
        """Send requests to the entries that callers know, at a rate."""
        for _ in range(int(rate * seconds)):
            await self.env.timer.sleep(self.random.expovariate(rate))
            node_id = self.random.choice(self.callers_at)
            self.requested_at.append(self.env.timer.now())
            if node_id in self.node_by_id:
                self.spawn(
                    self._request(node_id, f'r{len(self.requested_at)}'),
                    node_id,
                )
            else:
                self.statuses.append(0)

    async def _request(self, node_id, request_id):
        now = self.env.timer.now()
        node = self.node_by_id[node_id]
        await self.wait_while_paused(node_id)
        if node.entry.fleet.table is None:
            self.statuses.append(503)
            return
        sink = Sink()
        try:
            await node.entry.forwarder.forward(
                requests.RoutedRequest(
                    caller=requests.CallerRequest(
                        request_id=request_id,
                        method='POST',
                        target=b'/1',
                        host='a.example',
                        path='/1',
                        headers=[(b'attempt-id', request_id.encode())],
                        key='',
                        time_left_s=None,
                        last_event_id=None,
                        model='',
                        prompt_tokens=0,
                        output_tokens=0,
                    ),
                    body=b'',
                    route=ROUTE,
                    service=SERVICE,
                    account='',
                    deadline=now + CALLER_S,
                    received_at=now,
                ),
                sink,
                requesttrace.RequestTrace(env=self.env, request_id=request_id),
            )
            self.statuses.append(sink.status)
        except errors.ApricotError as error:
            self.statuses.append(error.code.http_status)
            if error.ran is errors.Ran.NO:
                self.refused_after_s.append(self.env.timer.now() - now)
                self.retry_after_s.append(error.retry_after_s)
        except forwarder.AnswerCut:
            self.statuses.append(0)

    async def close(self):
        """End all tasks."""
        await self.kill(*list(self._tasks_by_id))

    # What the workers have seen

    def worst_excess(self):
        """Return by how many repeats the worst window passes the bound.

        The bound is for all entries together: RATIO times the requests of
        the window, or of the one before it or half a window before it if
        these had more, plus SLACK. 0 or less if every window keeps to it.
        """
        repeats = [a.at for a in self.arrivals if a.is_repeat]
        worst = -SLACK
        for first, start in enumerate(repeats):
            count = _count_within(repeats[first:], start)
            most_requests = max(
                _count_within(self.requested_at, start - earlier_s)
                for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, count - RATIO * most_requests - SLACK)
        return worst

    def repeats(self):
        """Return how many requests reached a worker once more."""
        return sum(arrival.is_repeat for arrival in self.arrivals)

    def most_in_a_cold_second(self):
        """Return how many requests an endpoint got in a second, at most."""
        most = 0
        for address in {a.address for a in self.arrivals}:
            times = [a.at for a in self.arrivals if a.address == address]
            for first, start in enumerate(times):
                count = _count_within(times[first:], start, length_s=1.0)
                most = max(most, count)
        return most

    def served_share(self):
        """Return the share of the requests that were answered with success."""
        return self.statuses.count(200) / len(self.requested_at)


def _pairs(node_ids, peer_ids):
    return {
        tuple(sorted((node_id, peer_id)))
        for node_id in node_ids
        for peer_id in peer_ids
        if node_id != peer_id
    }


def _count_within(times, start, *, length_s=WINDOW_S):
    return sum(start <= at < start + length_s for at in times)
