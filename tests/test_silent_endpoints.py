"""What a silence of a sound endpoint does to the requests that it runs."""

import asyncio
import contextlib
import dataclasses

import msgspec
import pytest

from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.endpoints import directory
from apricotthread.fakes import fixedshares
from apricotthread.fakes import virtualclock
from apricotthread.fleet import updates
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import exposures
from apricotthread.gateway import forwarder
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import requests
from apricotthread.gateway import requesttrace
from apricotthread.gateway import stallwatch
from apricotthread.gateway import standings

EVENTS = 12
EVENT_GAP_S = 0.05
PATIENCE_S = 2.4
MODEL = 'large'
ENGINE = routetables.EngineProfile(
    slots=4,
    memory_tokens=1_000_000,
    models=(
        routetables.ModelProfile(
            name=MODEL,
            group_size=2,
            load_share=1.0,
            pace=1.0,
            load_s=16.0,
            warm_load_s=1.6,
        ),
    ),
    step_s=0.00645,
    step_s_per_sequence=0.0002,
    step_s_per_context_token=0.0,
    prefill_tokens_per_s=56_000.0,
    steps_per_event=6,
    loads_per_s=5.0,
    concurrent_loads=8,
    staged_limit=1,
    forming_s=0.3,
)
TABLE = routetables.RouteTable(
    version=1,
    routes=(
        routetables.Route(
            name='plans',
            host='a.example',
            prefix='/plans/',
            shares=(routetables.Share(service='models', weight=1.0),),
            repeat=routetables.Repeat.RESUME,
            is_stream=True,
            timeout_s=8.0,
            target_s=0.4,
            priority=1,
            max_attempts=2,
            target_gap_s=0.3,
            patience_s=PATIENCE_S,
        ),
        routetables.Route(
            name='reads',
            host='a.example',
            prefix='/reads/',
            shares=(routetables.Share(service='app', weight=1.0),),
            repeat=routetables.Repeat.ANY,
            is_stream=False,
            timeout_s=8.0,
            target_s=0.2,
            priority=1,
            max_attempts=2,
        ),
    ),
    services=(
        routetables.Service(
            name='models',
            health_path='/health',
            max_connections=100,
            cold_start_s=0.0,
            cold_requests_per_s=0.0,
            engine=ENGINE,
        ),
        routetables.Service(
            name='app',
            health_path='/health',
            max_connections=100,
            cold_start_s=0.0,
            cold_requests_per_s=0.0,
        ),
    ),
)
CALLER = requests.CallerRequest(
    request_id='r-1',
    method='POST',
    target=b'/plans/1',
    host='a.example',
    path='/plans/1',
    headers=[],
    key='',
    time_left_s=None,
    last_event_id=None,
    model=MODEL,
    prompt_tokens=500,
    output_tokens=EVENTS * 6,
)


@dataclasses.dataclass(kw_only=True)
class Endpoint:
    """An endpoint that answers, but is silent for a while in between.

    The silence begins before the event, or before the answer of a call, with
    the number `silent_before`. It lasts `silent_s` seconds.
    """

    env: object
    silent_before: int = 0
    silent_s: float = 0.0
    runs: int = 0
    cancelled: int = 0


class _Connection:
    """A connection to an Endpoint, for one request."""

    def __init__(self, *, endpoint, is_stream, first_event):
        self._endpoint = endpoint
        self._is_stream = is_stream
        self._next = first_event
        self._closed = asyncio.Event()
        self._is_whole = False

    def start(self, request, *, expects_body=True):
        """Count a run."""
        self._endpoint.runs += 1

    async def read_head(self):
        """Return the head, which a call has only with its answer."""
        if not self._is_stream:
            await self._pause()
        return answerreader.Answer(status=200, headers=[])

    async def read(self):
        """Return the next event, or the body of a call; then the end."""
        last = EVENTS if self._is_stream else 1
        if self._next > last:
            self._is_whole = True
            return b''
        number = self._next
        self._next += 1
        if not self._is_stream:
            return b'answer'
        await self._pause(number)
        return b'id: %d\ndata: piece %d\n\n' % (number, number)

    async def _pause(self, number=1):
        endpoint = self._endpoint
        seconds = EVENT_GAP_S
        if number == endpoint.silent_before and endpoint.runs == 1:
            seconds = endpoint.silent_s
        with contextlib.suppress(TimeoutError):
            async with endpoint.env.timer.timeout(seconds):
                await self._closed.wait()
        if self._closed.is_set():
            raise connections.ConnectionLost(reason='closed', sent=True)

    def close(self):
        """Cancel the request."""
        self._closed.set()

    def release(self):
        """Note whether the request was cancelled before its end."""
        self._endpoint.cancelled += not self._is_whole


class Pool:
    """Connects to the endpoints by address."""

    def __init__(self, *, endpoint_by_address):
        self._endpoint_by_address = endpoint_by_address
        self.first_event = 1

    async def acquire(self, address, *, must_be_fresh):
        """Return a new connection."""
        return _Connection(
            endpoint=self._endpoint_by_address[address],
            is_stream=address.startswith('vm'),
            first_event=self.first_event,
        )

    def release(self, connection):
        """Close a connection."""
        connection.release()


class Dialect:
    """A dialect whose answers all belong to the request and are sealed."""

    def __init__(self, *, pool):
        self._pool = pool

    def build_request(self, request, *, last_event_id, **values):
        """Have the next connection go on after an event."""
        self._pool.first_event = (last_event_id or 0) + 1
        return b''

    def parse_answer(self, answer):
        """Return metadata that fits the request."""
        return requests.AnswerMetadata(
            request_id='r-1', is_sealed=True, not_run=False, endpoint_id=''
        )

    def answer_headers(self, answer):
        """Return no headers."""
        return []


class Sink:
    """Collects an answer."""

    def __init__(self):
        self.started = False
        self.has_ended = False
        self.body = b''

    async def start(self, status, headers):
        """Note the start of the answer."""
        self.started = True

    async def write(self, data):
        """Collect a part of the body."""
        self.body += data

    async def end(self):
        """Note the end of the answer."""
        self.has_ended = True


def announce(
    name,
    *,
    sequence=1,
    service='models',
    state=directory.MemberState.OPEN,
    rank=0,
    leaving=False,
):
    """Return news of an endpoint; names begin with the group's."""
    place = None
    if service == 'models':
        place = directory.GroupPlace(
            group_id=name[:4], epoch=1, rank=rank, state=state
        )
    return updates.EndpointNews(
        heard=directory.Heard(
            announcement=directory.Announcement(
                endpoint_id=name,
                service=service,
                address=name,
                data_centre='north' if name[3] == '1' else 'south',
                born_ms=1,
                sequence=sequence,
                slots=4,
                leaving=leaving,
                models=(MODEL,),
                place=place,
            ),
            age_s=0.0,
        ),
        lost=False,
    )


class World:
    """An entry with groups of two VMs each, or with plain workers."""

    def __init__(self, *, env, names, table=TABLE, budget_slack=100.0):
        self.env = env
        self.endpoint_by_address = {name: Endpoint(env=env) for name in names}
        self.fleet = view.FleetView(env=env)
        self.fleet.connect('control')
        self._table = table
        self._applied_index = 0
        groups = sorted({name[:4] for name in names if name[0] == 'v'})
        news = []
        for group in groups:
            news.append(announce(f'{group}-0'))
            news.append(announce(f'{group}-1', rank=1))
        for name in names:
            if name[0] == 'w':
                news.append(announce(name, service='app'))
        self.group_news = tuple(
            updates.GroupNews(
                group_id=group,
                service='models',
                model=MODEL,
                epoch=1,
                member_ids=(f'{group}-0', f'{group}-1'),
            )
            for group in groups
        )
        self.update(
            complete=True,
            table=routetables.pack_table(table),
            table_version=table.version,
            endpoints=tuple(news),
            changed_groups=self.group_news,
        )
        self.loads = loads.LoadTable(env=env)
        self.pool = Pool(endpoint_by_address=self.endpoint_by_address)
        exposure_monitor = exposures.ExposureMonitor(
            env=env, fleet=self.fleet, entry_id='entry'
        )
        share = fixedshares.FixedShare()
        limit_table = limits.LimitTable(env=env, fleet=self.fleet)
        standing_table = standings.StandingTable(env=env, fleet=self.fleet)
        monitor = groupmonitor.GroupMonitor(
            env=env,
            members=None,
            data_centre='north',
            fleet=self.fleet,
            load_table=self.loads,
            exposure_monitor=exposure_monitor,
            limit_table=limit_table,
            standing_table=standing_table,
            share=share,
        )
        # Entries look at the head of a silent group; this one is up.
        monitor._check_head = self._check_head
        self.watch = stallwatch.StallWatch(
            env=env,
            fleet=self.fleet,
            load_table=self.loads,
            observations=monitor,
        )
        self.forwarder = forwarder.Forwarder(
            env=env,
            fleet=self.fleet,
            pool=self.pool,
            dialect=Dialect(pool=self.pool),
            load_table=self.loads,
            limit_table=limit_table,
            standing_table=standing_table,
            budget=budgets.RetryBudget(
                env=env,
                share=share,
                ratio=0.0,
                slack=budget_slack,
                window_s=10.0,
            ),
            share=share,
            stall_watch=self.watch,
            observations=monitor,
            exposure_monitor=exposure_monitor,
            own_data_centre='north',
            cold_overshoot=1.0,
        )

    async def _check_head(self, replica, observation):
        """Find a head that can be reached."""

    def update(self, **fields):
        """Apply an update of the control node."""
        self._applied_index += 1
        self.fleet.apply_update(
            'control',
            updates.FleetUpdate(
                **{
                    'complete': False,
                    'applied_index': self._applied_index,
                    'table_version': 1,
                    **fields,
                }
            ),
        )

    def fill(self, name):
        """Have other callers use all slots of a group, and more."""
        for _ in range(4 * ENGINE.slots):
            self.loads.start(name)

    async def play(self, route_name='plans', *, during=None):
        """Send a request; return its sink, and an error if it was cut.

        `during` is called 0.1 s after the request has been sent.
        """
        now = self.env.timer.now()
        route = next(r for r in self._table.routes if r.name == route_name)
        service = self._table.service_by_name()[route.shares[0].service]
        caller = CALLER
        if service.engine is None:
            caller = dataclasses.replace(CALLER, model='')
        request = requests.RoutedRequest(
            caller=caller,
            body=b'',
            route=route,
            service=service,
            account='',
            deadline=now + route.timeout_s,
            received_at=now,
        )
        sink = Sink()
        trace = requesttrace.RequestTrace(env=self.env, request_id='r-1')
        watching = asyncio.create_task(self.watch.run())
        if during is not None:
            asyncio.get_running_loop().call_later(0.1, during)
        try:
            await self.forwarder.forward(request, sink, trace)
        except (errors.ApricotError, forwarder.AnswerCut) as error:
            return sink, error
        finally:
            watching.cancel()
        return sink, None


WHOLE = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number)
    for number in range(1, EVENTS + 1)
)


def set_max_attempts(number):
    """Return the table with another limit of attempts."""
    return msgspec.structs.replace(
        TABLE,
        routes=tuple(
            msgspec.structs.replace(route, max_attempts=number)
            for route in TABLE.routes
        ),
    )


@pytest.mark.parametrize('silent_before', [1, 2, EVENTS])
@pytest.mark.parametrize('silent_s', [0.8, 1.2, 1.8])
@pytest.mark.parametrize(
    'why_not_elsewhere', ['no other group', 'full', 'attempts', 'budget']
)
def test_a_stream_of_a_silent_endpoint_is_not_given_up_with_nowhere_to_go(
    env, why_not_elsewhere, silent_s, silent_before
):
    async def main():
        names = ['vm-1-0', 'vm-2-0']
        if why_not_elsewhere == 'no other group':
            names = ['vm-1-0']
        world = World(
            env=env,
            names=names,
            table=set_max_attempts(
                1 if why_not_elsewhere == 'attempts' else 2
            ),
            budget_slack=0.0 if why_not_elsewhere == 'budget' else 100.0,
        )
        if why_not_elsewhere == 'full':
            world.fill('vm-2-0')
        silent = world.endpoint_by_address['vm-1-0']
        silent.silent_before = silent_before
        silent.silent_s = silent_s
        sink, error = await world.play()
        assert error is None
        assert sink.body == WHOLE
        assert sink.has_ended
        assert silent.cancelled == 0

    virtualclock.run(main())


def test_a_stream_of_a_silent_endpoint_goes_on_elsewhere_where_it_can(env):
    """The endpoint may have died, and the caller does not wait for long."""

    async def main():
        world = World(env=env, names=['vm-1-0', 'vm-2-0'])
        silent = world.endpoint_by_address['vm-1-0']
        silent.silent_before = 3
        silent.silent_s = 60.0
        started_at = env.timer.now()
        sink, error = await world.play()
        assert error is None
        assert sink.body == WHOLE
        assert world.endpoint_by_address['vm-2-0'].runs == 1
        assert env.timer.now() - started_at < PATIENCE_S

    virtualclock.run(main())


def leave(world):
    """Have the second member of the first group announce its leaving."""
    world.update(
        endpoints=(announce('vm-1-1', rank=1, sequence=2, leaving=True),)
    )


def close(world):
    """Have the head finish its requests before a repair of its group."""
    leave(world)
    world.update(
        endpoints=(
            announce(
                'vm-1-0', sequence=2, state=directory.MemberState.CLOSING
            ),
        )
    )


def take_out(world):
    """Take the data centre of the first group out."""
    world.update(taken_out=('north',))


def change_slots(world):
    """Put a table in force that has another number of slots."""
    table = msgspec.structs.replace(
        TABLE,
        version=2,
        services=tuple(
            msgspec.structs.replace(
                service,
                engine=msgspec.structs.replace(service.engine, slots=5),
            )
            if service.engine
            else service
            for service in TABLE.services
        ),
    )
    world.update(table=routetables.pack_table(table), table_version=2)


def drop_service(world):
    """Put a table in force that has the service and its routes no more."""
    table = msgspec.structs.replace(
        TABLE,
        version=2,
        routes=TABLE.routes[1:],
        services=TABLE.services[1:],
    )
    world.update(table=routetables.pack_table(table), table_version=2)


def play_short_silence(env, *, silent_before, has_other_group, during):
    """Play a stream whose endpoint pauses for 0.5 s; return the endpoint.

    The stream has to come whole. `during` is called while it runs.
    """

    async def main():
        names = ['vm-1-0', 'vm-2-0'] if has_other_group else ['vm-1-0']
        world = World(env=env, names=names)
        if has_other_group:
            world.loads.start('vm-2-0')
        serving = world.endpoint_by_address['vm-1-0']
        serving.silent_before = silent_before
        serving.silent_s = 0.5
        sink, error = await world.play(during=lambda: during(world))
        assert error is None
        assert sink.body == WHOLE
        return serving

    return virtualclock.run(main())


@pytest.mark.parametrize('silent_before', [1, 4])
@pytest.mark.parametrize(
    'planned_work', [leave, close, take_out, change_slots, drop_service]
)
@pytest.mark.parametrize('has_other_group', [False, True])
def test_planned_work_does_not_move_a_stream_after_a_short_silence(
    env, planned_work, silent_before, has_other_group
):
    serving = play_short_silence(
        env,
        silent_before=silent_before,
        has_other_group=has_other_group,
        during=planned_work,
    )
    assert serving.runs == 1
    assert serving.cancelled == 0


def dissolve(world):
    """Dissolve the first group."""
    world.update(ended_groups=('vm-1',))


def rejoin(world):
    """Have the head announce that it is in another epoch of its group."""
    world.update(
        endpoints=(
            updates.EndpointNews(
                heard=msgspec.structs.replace(
                    announce('vm-1-0').heard,
                    announcement=msgspec.structs.replace(
                        announce('vm-1-0').heard.announcement,
                        sequence=2,
                        place=directory.GroupPlace(
                            group_id='vm-1',
                            epoch=2,
                            rank=0,
                            state=directory.MemberState.JOINING,
                        ),
                    ),
                ),
                lost=False,
            ),
        )
    )


def break_group(world):
    """Have the head announce that its group is broken."""
    world.update(
        endpoints=(
            announce('vm-1-0', sequence=2, state=directory.MemberState.BROKEN),
        )
    )


@pytest.mark.parametrize('loss', [dissolve, rejoin, break_group])
def test_a_stream_of_a_group_that_is_known_to_be_lost_moves_at_once(env, loss):
    async def main():
        world = World(env=env, names=['vm-1-0', 'vm-2-0'])
        lost = world.endpoint_by_address['vm-1-0']
        lost.silent_before = 2
        lost.silent_s = 60.0
        started_at = env.timer.now()
        sink, error = await world.play(during=lambda: loss(world))
        assert error is None
        assert sink.body == WHOLE
        assert env.timer.now() - started_at < 1.3

    virtualclock.run(main())


@pytest.mark.parametrize('silent_s', [0.5, 1.2, 3.0])
@pytest.mark.parametrize(
    'why_not_elsewhere', ['no other worker', 'attempts', 'budget']
)
def test_a_call_at_a_silent_worker_is_not_given_up_with_nowhere_to_go(
    env, why_not_elsewhere, silent_s
):
    async def main():
        names = ['w-1', 'w-2']
        if why_not_elsewhere == 'no other worker':
            names = ['w-1']
        world = World(
            env=env,
            names=[f'{name}-0' for name in names],
            table=set_max_attempts(
                1 if why_not_elsewhere == 'attempts' else 2
            ),
            budget_slack=0.0 if why_not_elsewhere == 'budget' else 100.0,
        )
        for endpoint in world.endpoint_by_address.values():
            endpoint.silent_before = 1
            endpoint.silent_s = silent_s
        sink, error = await world.play('reads')
        assert error is None
        assert sink.body == b'answer'

    virtualclock.run(main())


def test_a_call_at_a_silent_worker_goes_on_elsewhere_where_it_can(env):
    async def main():
        world = World(env=env, names=['w-1-0', 'w-2-0'])
        world.loads.start('w-2-0')
        silent = world.endpoint_by_address['w-1-0']
        silent.silent_before = 1
        silent.silent_s = 60.0
        started_at = env.timer.now()
        sink, error = await world.play('reads')
        assert error is None
        assert sink.body == b'answer'
        assert env.timer.now() - started_at < 1.0

    virtualclock.run(main())


def table_with(**changes):
    """Return the table with changed fields of its plain service."""
    return msgspec.structs.replace(
        TABLE,
        services=(
            TABLE.services[0],
            msgspec.structs.replace(TABLE.services[1], **changes),
        ),
    )


async def play_many(world, count, route_name):
    """Send requests, 1 ms apart, with one watch; return their outcomes."""
    run_watch = world.watch.run

    async def run_nothing():
        pass

    world.watch.run = run_nothing
    watching = asyncio.create_task(run_watch())
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(world.play(route_name)))
        await world.env.timer.sleep(0.001)
    outcomes = await asyncio.gather(*tasks)
    watching.cancel()
    return outcomes


def test_requests_of_a_silent_worker_do_not_overload_a_cold_one(env):
    async def main():
        world = World(
            env=env,
            names=['w-1-0', 'w-2-0'],
            table=table_with(cold_requests_per_s=5.0, cold_start_s=30.0),
        )
        # One worker is warm and gets all requests; the other has just started.
        world.loads.start('w-2-0')
        cold = announce('w-2-0', service='app', sequence=2)
        cold = msgspec.structs.replace(
            cold,
            heard=msgspec.structs.replace(
                cold.heard,
                announcement=msgspec.structs.replace(
                    cold.heard.announcement, cold_s=30.0
                ),
            ),
        )
        for _ in range(40):
            world.loads.start('w-2-0')
        world.update(endpoints=(cold,))
        first = world.endpoint_by_address['w-1-0']
        _keep_silent(first, 3.0)
        await play_many(world, 20, 'reads')
        sent = list(world.loads.get_load('w-2-0').send_times)[41:]
        busiest = max(
            (sum(at <= t < at + 1.0 for t in sent) for at in sent), default=0
        )
        assert busiest <= 5

    virtualclock.run(main())


def _keep_silent(endpoint, seconds):
    """Have an endpoint be silent in every run, not only in its first."""
    endpoint.silent_before = 1
    endpoint.silent_s = seconds

    class _Runs(int):
        def __add__(self, other):
            return _Runs(1)

        def __eq__(self, other):
            return other == 1

        __hash__ = int.__hash__

    endpoint.runs = _Runs(0)


def test_streams_of_a_silent_group_are_spread_over_the_others(env):
    async def main():
        world = World(env=env, names=['vm-1-0', 'vm-2-0', 'vm-3-0', 'vm-4-0'])
        others = ['vm-2-0', 'vm-3-0', 'vm-4-0']
        for name in others:
            for _ in range(3):
                world.loads.start(name)
        _keep_silent(world.endpoint_by_address['vm-1-0'], 3.0)
        # Three streams, all at the first group, which has the best times.
        results = await play_many(world, 3, 'plans')
        assert [error for _, error in results] == [None, None, None]
        runs = [world.endpoint_by_address[name].runs for name in others]
        assert runs == [1, 1, 1]

    virtualclock.run(main())


def leave_first(world):
    """Have the head say that it leaves, and go on for a while.

    Some workers never announce that they are about to leave. The leader
    repairs the group at once.
    """
    news = announce('vm-1-0', sequence=2)
    world.update(
        endpoints=(
            msgspec.structs.replace(
                news, heard=msgspec.structs.replace(news.heard, gone=True)
            ),
            announce('vm-1-2', rank=2),
        ),
        changed_groups=(
            updates.GroupNews(
                group_id='vm-1',
                service='models',
                model=MODEL,
                epoch=2,
                member_ids=('vm-1-1', 'vm-1-2'),
            ),
        ),
    )


@pytest.mark.parametrize('silent_before', [1, 4])
@pytest.mark.parametrize('has_other_group', [False, True])
def test_a_head_that_leaves_at_once_finishes_its_streams(
    env, silent_before, has_other_group
):
    serving = play_short_silence(
        env,
        silent_before=silent_before,
        has_other_group=has_other_group,
        during=leave_first,
    )
    assert serving.cancelled == 0


def test_a_suspect_endpoint_does_not_hide_a_sound_one(env):
    async def main():
        world = World(env=env, names=['w-1-0', 'w-2-0', 'w-3-0'])
        # Ejected, with no load; the third is sound and busy.
        for _ in range(3):
            world.loads.note_failure('w-2-0')
        world.loads.get_load('w-2-0').ejected_until = env.timer.now() + 60
        for _ in range(6):
            world.loads.start('w-3-0')
        first = world.endpoint_by_address['w-1-0']
        first.silent_before = 1
        first.silent_s = 60.0
        started_at = env.timer.now()
        sink, error = await world.play('reads')
        assert error is None
        assert sink.body == b'answer'
        assert env.timer.now() - started_at < 2.0

    virtualclock.run(main())


def test_a_busy_node_still_gives_up_the_streams_of_a_lost_group(env):
    async def main():
        world = World(env=env, names=['vm-1-0', 'vm-2-0'])
        lost = world.endpoint_by_address['vm-1-0']
        lost.silent_before = 2
        lost.silent_s = 60.0
        loop = asyncio.get_running_loop()

        async def keep_busy():
            while True:
                loop.pause_process(0.25)
                await asyncio.sleep(0.001)

        busy = asyncio.create_task(keep_busy())
        started_at = env.timer.now()
        sink, error = await world.play(during=lambda: dissolve(world))
        busy.cancel()
        assert error is None
        assert sink.body == WHOLE
        assert env.timer.now() - started_at < 4.0

    virtualclock.run(main())


def test_a_sound_stream_is_not_given_up_for_an_endpoint_that_refuses(env):
    """Load is reported with a lag, so the other endpoint may be full."""

    async def main():
        world = World(env=env, names=['vm-1-0', 'vm-2-0'])
        first = world.endpoint_by_address['vm-1-0']
        first.silent_before = 4
        first.silent_s = 1.2
        acquire = world.pool.acquire

        async def acquire_full(address, *, must_be_fresh):
            connection = await acquire(address, must_be_fresh=must_be_fresh)
            if address == 'vm-2-0':

                async def refuse():
                    return answerreader.Answer(status=503, headers=[])

                connection.read_head = refuse
            return connection

        world.pool.acquire = acquire_full
        parse_answer = world.forwarder._dialect.parse_answer
        world.forwarder._dialect.parse_answer = lambda answer: (
            dataclasses.replace(
                parse_answer(answer), not_run=answer.status == 503
            )
        )
        sink, error = await world.play()
        assert error is None
        assert sink.body == WHOLE

    virtualclock.run(main())
