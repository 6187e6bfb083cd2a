"""Tests of the soak test: schedules, checks, workers and proxies.

Each check has to find a violation that its test plants.
"""

import asyncio
import dataclasses
import os
import socket
import time

import pytest

from soak import backends
from soak import checks
from soak import deployment
from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

CLOSED_CONNECTIONS = 2000
LOOKUPS = 50
MAX_LOOKUP_S = 0.002
TOPOLOGY = deployment.make_topology(controls=3, entries=3)


@pytest.fixture
def plan():
    """Return a schedule whose faults do not disturb entry-3."""
    return schedule.Schedule(
        faults=(
            schedule.Fault(
                at_s=5.0,
                duration_s=2.0,
                kind=schedule.Kind.NODE_PAUSE,
                target='entry-1',
                other='entry-2',
            ),
        ),
        storm_ends_s=10.0,
        planned_from_s=22.0,
        ends_s=36.0,
    )


@pytest.fixture
def observations():
    """Return observations without a violation."""
    recorded = record.Observations()
    recorded.attempts.append(make_attempt('a-1'))
    recorded.attempts.append(make_attempt('a-9', began_s=25.0, ended_s=25.1))
    recorded.runs.append(
        record.Run(attempt_id='a-1', worker='bid-1', at_s=1.0)
    )
    recorded.acknowledged_tables.append(
        record.AcknowledgedTable(version=1, at_s=0.0)
    )
    recorded.read_back.append(record.ReadBack(version=1, asked_s=4.0))
    return recorded


def make_attempt(attempt_id, **changes):
    """Return the attempt of a bid that was answered whole, with changes."""
    whole = record.Attempt(
        attempt_id=attempt_id,
        kind=record.CallKind.BID,
        entry='entry-3',
        began_s=1.0,
        ended_s=1.1,
        outcome=record.Outcome.WHOLE,
        status=200,
    )
    return dataclasses.replace(whole, **changes)


def find_broken_promises(observations, plan):
    """Return the names of the broken promises."""
    return {
        name
        for name, found in checks.check_all(observations, plan).items()
        if found
    }


# Schedules


def test_a_seed_gives_the_same_faults_each_time():
    first, again, other = (
        schedule.make_schedule(seed=seed, storm_s=14.0, topology=TOPOLOGY)
        for seed in (7, 7, 8)
    )
    assert first == again
    assert first != other


def test_every_kind_of_fault_is_scheduled_and_all_end_with_the_storm():
    kinds = set()
    for seed in range(50):
        plan = schedule.make_schedule(
            seed=seed, storm_s=14.0, topology=TOPOLOGY
        )
        for fault in plan.faults:
            kinds.add(fault.kind)
            if fault.kind is schedule.Kind.WORKER_PAUSES:
                assert fault.at_s >= plan.planned_from_s
                assert fault.at_s + fault.duration_s <= plan.ends_s
            elif not fault.is_planned:
                assert (
                    fault.at_s + fault.duration_s
                    <= 14.0 + schedule.MIN_DURATION_S
                )
    assert kinds == set(schedule.Kind)


# Each check finds the violation that its test plants


def test_no_broken_promise_is_found_when_all_went_well(observations, plan):
    assert find_broken_promises(observations, plan) == set()


def test_a_wrong_answer_is_found(observations, plan):
    observations.attempts.append(
        make_attempt('a-2', violation='not the events')
    )
    assert find_broken_promises(observations, plan) == {'answers whole'}


def test_a_bid_that_ran_twice_is_found(observations, plan):
    observations.runs.append(
        record.Run(attempt_id='a-1', worker='bid-2', at_s=1.0)
    )
    assert find_broken_promises(observations, plan) == {'at most once'}


def test_a_request_refused_as_not_run_that_runs_later_is_found(
    observations, plan
):
    refused = {'outcome': record.Outcome.REFUSED, 'status': 503}
    observations.attempts.append(make_attempt('a-2', **refused))
    assert find_broken_promises(observations, plan) == set()
    observations.runs.append(
        record.Run(attempt_id='a-2', worker='bid-2', at_s=9.0)
    )
    assert find_broken_promises(observations, plan) == {'no false "not run"'}


def test_a_run_in_a_partial_group_is_found(observations, plan):
    observations.runs.append(
        record.Run(
            attempt_id='s-1', worker='vm-1', at_s=1.0, violation='never ready'
        )
    )
    assert find_broken_promises(observations, plan) == {'whole groups'}


@pytest.mark.parametrize('version', [0, 1])
def test_the_loss_of_an_acknowledged_table_is_found(
    observations, plan, version
):
    observations.acknowledged_tables.append(
        record.AcknowledgedTable(version=2, at_s=5.0)
    )
    observations.read_back.append(record.ReadBack(version=2, asked_s=8.0))
    assert find_broken_promises(observations, plan) == set()
    observations.read_back.append(
        record.ReadBack(version=version, asked_s=9.0)
    )
    assert find_broken_promises(observations, plan) == {'tables kept'}


def test_an_undisturbed_entry_with_an_old_table_is_found(observations, plan):
    missing_route_probe = record.Probe(
        entry='entry-1', asked_s=6.0, expected=1, status=checks.NO_ROUTE_STATUS
    )
    observations.probes.append(missing_route_probe)
    assert find_broken_promises(observations, plan) == set()
    observations.probes.append(
        dataclasses.replace(missing_route_probe, entry='entry-3')
    )
    assert find_broken_promises(observations, plan) == {'tables in force'}


def test_an_answer_cut_by_planned_work_is_found(observations, plan):
    cut = make_attempt(
        'a-2', began_s=23.0, ended_s=23.1, outcome=record.Outcome.CUT
    )
    whole = [
        make_attempt(f'w-{n}', began_s=23.0, ended_s=23.1) for n in range(99)
    ]
    observations.attempts.extend([cut, *whole])
    assert find_broken_promises(observations, plan) == set()
    observations.runs.append(
        record.Run(attempt_id='a-2', worker='bid-2', at_s=23.0)
    )
    assert find_broken_promises(observations, plan) == {
        'planned work cuts nothing'
    }


def test_a_late_refusal_is_found(observations, plan):
    held = make_attempt(
        'a-2', ended_s=1.9, outcome=record.Outcome.REFUSED, status=503
    )
    observations.attempts.append(held)
    assert find_broken_promises(observations, plan) == {'refused at once'}


def test_a_lack_of_recovery_after_the_faults_is_found(observations, plan):
    observations.attempts.extend(
        make_attempt(
            f'w-{n}',
            began_s=25.0,
            ended_s=25.1,
            outcome=record.Outcome.FAILED,
            status=502,
        )
        for n in range(9)
    )
    assert find_broken_promises(observations, plan) == {'served again'}


def test_guilty_prompts_that_go_on_to_workers_are_found(observations, plan):
    for number in range(9):
        attempt_id = f'guilty-{number}'
        observations.entry_by_guilty_attempt[attempt_id] = 'entry-3'
        observations.guilty_runs.append(
            record.GuiltyRun(
                attempt_id=attempt_id,
                at_s=10.0 + number * 1.1,
                crashed=number < 5,
            )
        )
    # The fifth crash is at 14.4 s; two runs are within contact time.
    assert find_broken_promises(observations, plan) == set()
    observations.guilty_runs.extend(
        record.GuiltyRun(attempt_id='guilty-0', at_s=at_s, crashed=False)
        for at_s in (20.0, 20.5)
    )
    assert find_broken_promises(observations, plan) == {
        'guilty prompts kept away'
    }


def test_sound_prompts_that_are_not_served_are_found(observations, plan):
    observations.attempts.extend(
        make_attempt(
            f's-{number}',
            kind=record.CallKind.STREAM,
            began_s=26.0,
            ended_s=26.1,
            outcome=record.Outcome.REFUSED,
            status=503,
        )
        for number in range(2)
    )
    observations.attempts.extend(
        make_attempt(f'b-{number}', began_s=26.0, ended_s=26.1)
        for number in range(30)
    )
    assert find_broken_promises(observations, plan) == {'sound prompts served'}


def test_repeats_beyond_the_bound_of_all_entries_are_found(observations, plan):
    allowed = int(checks.RETRY_RATIO * 100 + checks.RETRY_SLACK)
    for number in range(100):
        observations.note_sent(record.CallKind.STREAM)
        observations.arrivals.extend(
            record.Arrival(
                attempt_id=f'r-{number}',
                service='models',
                worker='w',
                at_s=at,
            )
            for at in ([1.0, 9.0] if number < allowed else [1.0])
        )
    assert find_broken_promises(observations, plan) == set()
    observations.arrivals.append(
        record.Arrival(
            attempt_id='r-99', service='models', worker='w', at_s=9.5
        )
    )
    assert find_broken_promises(observations, plan) == {
        'repeats within the bound'
    }


def test_an_unexpected_exit_of_a_node_is_found(observations, plan):
    observations.exits.append('entry-1 ended with status 1')
    assert find_broken_promises(observations, plan) == {'no exits'}


@pytest.mark.parametrize(('disk_fails', 'found'), [(True, 0), (False, 1)])
def test_an_exit_counts_unless_the_disk_of_the_node_fails(
    children, observations, tmp_path, disk_fails, found
):
    async def main():
        soak_deployment = deployment.Deployment(
            children=children,
            folder=tmp_path,
            topology=TOPOLOGY,
            observations=observations,
        )
        soak_deployment.set_fault(
            'control-1', **({'disk': 'fails'} if disk_fails else {})
        )
        process = await children.start('false')
        await soak_deployment.watch('control-1', process)
        assert len(observations.exits) == found

    asyncio.run(main())


# Checks of the worker monitor


def make_order(members, *, group='g1', epoch=3):
    """Return an order to join a group."""
    return platformstandin.Order(
        kind='join', group_id=group, epoch=epoch, member_ids=tuple(members)
    )


def test_a_group_may_serve_once_every_member_was_ready(observations):
    worker_monitor = backends.WorkerMonitor(observations=observations)
    order = make_order(['vm-1', 'vm-2', 'vm-3'])
    for vm in ('vm-1', 'vm-2'):
        worker_monitor.record_ready(vm, order)
    assert 'vm-3' in worker_monitor.find_group_violation(order)
    worker_monitor.record_ready(
        'vm-3', make_order(['vm-1', 'vm-2', 'vm-3'], epoch=2)
    )
    assert 'vm-3' in worker_monitor.find_group_violation(order)
    worker_monitor.record_ready('vm-3', order)
    assert worker_monitor.find_group_violation(order) == ''
    assert (
        worker_monitor.find_group_violation(make_order(['vm-1', 'vm-2']))
        == 'a group of 2'
    )


def test_a_vm_that_leaves_an_open_group_for_another_is_found(
    observations, plan
):
    worker_monitor = backends.WorkerMonitor(observations=observations)
    head = backends.Backend(
        worker_monitor=worker_monitor,
        links=proxies.Links(),
        name='vm-1',
        service='models',
        controls=[],
    )
    held = make_order(['vm-1', 'vm-2', 'vm-3'])
    other = make_order(['vm-2', 'vm-4', 'vm-5'], group='g2', epoch=4)
    head.is_up = True
    head.place = platformstandin.Place(
        group_id='g1', epoch=3, rank=0, state='ready'
    )
    worker_monitor.check_join('vm-2', held, other)
    assert find_broken_promises(observations, plan) == set()
    head.place.state = 'open'
    worker_monitor.check_join('vm-2', held, other)
    assert find_broken_promises(observations, plan) == {'whole groups'}


def test_a_run_long_after_a_data_centre_was_taken_out_is_found(
    observations, plan
):
    worker_monitor = backends.WorkerMonitor(observations=observations)
    worker = backends.Backend(
        worker_monitor=worker_monitor,
        links=proxies.Links(),
        name='bid-1',
        service='bids',
        controls=[],
        data_centre='south',
    )
    worker_monitor.taken_out_at_by_data_centre['south'] = observations.now_s()
    worker_monitor.record_run(worker, 'a-5', '')
    assert find_broken_promises(observations, plan) == set()
    worker_monitor.taken_out_at_by_data_centre['south'] -= (
        backends.TAKE_OUT_LIMIT_S + 0.1
    )
    worker_monitor.record_run(worker, 'a-6', '')
    assert find_broken_promises(observations, plan) == {'taken out'}


# Proxies


def test_a_proxy_blocks_one_direction_and_resets_connections():
    async def main():
        received = []

        async def answer(reader, writer):
            while data := await reader.read(100):
                received.append(data)
                writer.write(data.upper())
                await writer.drain()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        links = proxies.Links()
        proxy = proxies.Proxy(
            links=links,
            name='far',
            forward_to=server.sockets[0].getsockname(),
            find_process_name=lambda client, server: 'near',
        )
        reader, writer = await asyncio.open_connection(
            *await proxy.open('127.0.0.1')
        )
        writer.write(b'one')
        assert await reader.read(100) == b'ONE'
        links.block('far', 'near')
        writer.write(b'two')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(100), 0.2)
        assert received == [b'one', b'two']
        links.unblock('far', 'near')
        assert await reader.read(100) == b'TWO'
        links.reset('near', 'far')
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        proxy.close()
        server.close()

    asyncio.run(main())


def connect_pair():
    """Return the client and server sockets of a local connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = make_reusing_socket()
        client.bind(('127.0.0.1', 0))
        client.connect(listener.getsockname())
        return client, listener.accept()[0]


def make_reusing_socket():
    """Return a socket whose port can be bound again once it is closed."""
    reusing = socket.socket()
    reusing.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reusing


@pytest.fixture
def connection():
    """Return the client and server sockets of a local connection."""
    client, server = connect_pair()
    with client, server:
        yield client, server


def test_the_owner_of_a_connection_is_found(connection):
    client, server = connection
    addresses = client.getsockname(), server.getsockname()
    name_by_pid = {os.getpid(): 'self'}
    assert proxies.find_connection_owner(*addresses, name_by_pid) == 'self'
    assert (
        proxies.find_connection_owner(*addresses, {}) == proxies.SOAK_PROCESS
    )


def test_each_end_of_a_connection_is_told_from_the_other(connection):
    client, server = connection
    ends = client.getsockname(), server.getsockname()
    assert proxies.find_inode(*ends) == os.fstat(client.fileno()).st_ino
    assert proxies.find_inode(*ends[::-1]) == os.fstat(server.fileno()).st_ino


def test_a_closed_connection_at_the_same_port_is_not_the_owner(connection):
    client, server = connection
    port = client.getsockname()[1]
    old_ends = client.getsockname(), server.getsockname()
    # The end that closes first waits, and keeps the port for a minute.
    client.close()
    server.close()
    name_by_pid = {os.getpid(): 'self'}
    assert (
        proxies.find_connection_owner(*old_ends, name_by_pid)
        == proxies.SOAK_PROCESS
    )
    with (
        socket.create_server(('127.0.0.1', 0)) as other,
        make_reusing_socket() as again,
    ):
        again.bind(('127.0.0.1', port))
        again.connect(other.getsockname())
        ends = again.getsockname(), again.getpeername()
        assert proxies.find_connection_owner(*ends, name_by_pid) == 'self'


def test_connections_of_other_programs_do_not_hold_up_the_proxies(connection):
    """Guards against a storm whose workers all pause beside other tests."""
    client, server = connection
    for _ in range(CLOSED_CONNECTIONS):
        for closed in connect_pair():
            closed.close()
    addresses = client.getsockname(), server.getsockname()
    before_s = time.process_time()
    for _ in range(LOOKUPS):
        proxies.find_connection_owner(*addresses, {})
    taken_s = time.process_time() - before_s
    assert taken_s / LOOKUPS < MAX_LOOKUP_S


def make_unwilling_world(times, *, began_s=None, born_ms=0):
    """Return requests of an entry to a worker, at these times."""
    observations = record.Observations()
    for number, at_s in enumerate(times):
        observations.attempts.append(
            make_attempt(
                f'r-{number}',
                entry='entry-1',
                began_s=at_s if began_s is None else began_s,
                ended_s=at_s + 0.1,
            )
        )
        observations.arrivals.append(
            record.Arrival(
                attempt_id=f'r-{number}',
                service='bids',
                worker='w',
                at_s=at_s,
                born_ms=0 if number == 0 else born_ms,
            )
        )
    return observations


@pytest.mark.parametrize(
    ('values', 'told', 'paused', 'is_kept'),
    [
        ({'times': (1.0, 3.2)}, {}, 9.0, False),
        ({'times': (1.0, 3.0)}, {}, 9.0, True),
        ({'times': (1.0, 3.2), 'began_s': 1.0}, {}, 9.0, True),
        ({'times': (1.0, 3.2), 'born_ms': 7}, {}, 9.0, True),
        ({'times': (1.0, 3.2)}, {'worker': 'w-2'}, 9.0, True),
        ({'times': (1.0, 3.2)}, {}, 2.0, True),
        ({'times': (1.0, 1.6, 1.7, 1.8)}, {'busy_s': 1.5}, 9.0, False),
        ({'times': (1.0, 1.4, 1.7, 1.8)}, {'busy_s': 1.5}, 9.0, True),
        ({'times': (1.0, 1.6, 1.7, 2.6)}, {'busy_s': 1.5}, 9.0, True),
        ({'times': (1.0, 1.6, 1.7, 1.8)}, {'busy_s': 1.5}, 2.0, True),
    ],
)
def test_requests_to_workers_that_want_none_are_a_violation(
    values, told, paused, is_kept
):
    observations = make_unwilling_world(**values)
    unwilling = {'attempt_id': 'r-0', 'worker': 'w', 'at_s': 1.0, 'born_ms': 0}
    observations.unwilling.append(record.Unwilling(**unwilling | told))
    plan = schedule.Schedule(
        faults=(
            schedule.Fault(
                at_s=paused,
                duration_s=0.5,
                kind=schedule.Kind.NODE_PAUSE,
                target='entry-1',
            ),
        ),
        storm_ends_s=20.0,
        planned_from_s=30.0,
        ends_s=40.0,
    )
    violations = [
        *checks.check_leaving(observations, plan),
        *checks.check_busy(observations, plan),
    ]
    assert (violations == []) is is_kept


@pytest.mark.parametrize(('count', 'is_kept'), [(17, True), (18, False)])
def test_requests_beyond_the_limit_of_a_worker_are_a_violation(count, is_kept):
    """Half of them come from an entry that has not been told."""
    observations = record.Observations()
    for number in range(2 * count + 1):
        observations.attempts.append(
            record.Attempt(
                attempt_id=f'r-{number}',
                kind=record.CallKind.READ,
                entry=f'entry-{number % 2}',
                began_s=0.0,
                ended_s=1.0,
                outcome=record.Outcome.WHOLE,
            )
        )
        observations.arrivals.append(
            record.Arrival(
                attempt_id=f'r-{number}',
                service='bids',
                worker='w',
                at_s=1.0 if number == 0 else 5.0 + 0.05 * number,
            )
        )
    observations.named_limits.append(
        record.NamedLimit(attempt_id='r-0', worker='w', at_s=1.0)
    )
    plan = schedule.Schedule(
        faults=(), storm_ends_s=20.0, planned_from_s=30.0, ends_s=40.0
    )
    violations = checks.check_named_limits(observations, plan)
    assert (violations == []) is is_kept


def test_answers_without_end_name_the_limit_of_their_worker():
    """Guards against a limit that ends with an answer that is sealed."""
    worker = platformstandin.Worker(
        name='w', service='bids', data_centre='north', controls=()
    )
    worker.limit_per_s = 2.0
    worker.is_leaving = True
    head = worker.make_head({'attempt-id': 'r-1'})
    assert b'Server-Limit: 2.0\r\n' in head
    assert b'Server-Leaving: 1\r\n' in head
