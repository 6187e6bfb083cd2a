"""Agreed state during network cuts, crashes, races and resent commands."""

import asyncio
import contextlib
import itertools

import pytest

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import disks
from apricotthread.fakes import virtualclock

TIMEOUT_S = 20.0


async def propose(cluster, node_id, name, limit, *, base=10**9, command=None):
    """Propose a change through one node and return the result."""
    change = cluster.make_change(
        name,
        limit=limit,
        base=base,
        command_id=command or f'{name}-{limit}-{node_id}',
    )
    return await cluster.node_by_id[node_id].proposer.propose(
        change, timeout_s=TIMEOUT_S
    )


async def propose_on_any_node(cluster, name, limit):
    """Propose a change; send it to another node when one dies."""
    while True:
        await cluster.stop_crashed_nodes()
        running = sorted(cluster.node_by_id)
        node_id = running[limit % len(running)]
        try:
            return await propose(
                cluster, node_id, name, limit, command=f'{name}-{limit}'
            )
        except disks.ProcessDied:
            continue


def limit_at(cluster, node_id, name):
    """Return an account's limit in the state of a node."""
    state = cluster.node_by_id[node_id].raft.state
    row = state.table.account_by_name().get(name)
    return row.limit if row is not None else None


@pytest.fixture
def run_cluster(env):
    """Return a function that runs a scenario on a started cluster."""

    def run(scenario, **sizes):
        async def main():
            cluster = clusters.MemoryCluster(env=env, **sizes)
            cluster.start_all()
            try:
                await cluster.wait_for_leader()
                return await scenario(cluster)
            finally:
                await cluster.stop_all()

        return virtualclock.run(main())

    return run


def test_a_change_is_in_force_on_every_node(run_cluster):
    async def scenario(cluster):
        result = await propose(cluster, 'l1', 'acme', 7)
        assert result.accepted
        started = cluster.env.timer.now()
        await cluster.wait_for_version(result.version)
        assert cluster.env.timer.now() - started < 6.0
        for node_id in cluster.node_by_id:
            assert limit_at(cluster, node_id, 'acme') == 7

    run_cluster(scenario, learners=4)


def test_leader_crash_loses_no_accepted_change(run_cluster):
    async def scenario(cluster):
        for number in range(5):
            await propose(cluster, 'v1', 'acme', number)
        leader = await cluster.wait_for_leader()
        await cluster.crash(leader)
        other_voter = await cluster.wait_for_leader()
        assert other_voter != leader
        result = await propose(cluster, other_voter, 'bale', 3)
        assert result.version == 6
        assert limit_at(cluster, other_voter, 'acme') == 4

    run_cluster(scenario)


def test_a_leader_that_resigns_is_replaced_within_the_lease(run_cluster):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        await cluster.node_by_id[leader].raft.resign()
        assert not cluster.leaders()
        started = cluster.env.timer.now()
        other_voter = await cluster.wait_for_leader()
        assert other_voter != leader
        lease_s = cluster.node_by_id[leader].settings.lease_s
        assert cluster.env.timer.now() - started < lease_s
        await cluster.env.timer.sleep(10.0)
        assert leader not in cluster.leaders()

    run_cluster(scenario)


def test_never_two_leaders_while_links_are_cut(run_cluster):
    async def scenario(cluster):
        for turn in range(12):
            victim = cluster.voter_ids[turn % 3]
            cluster.isolate(victim)
            for _ in range(60):
                assert len(cluster.leaders()) <= 1
                await cluster.env.timer.sleep(0.1)
            cluster.fake_network.heal()
            await cluster.env.timer.sleep(1.0)

    run_cluster(scenario)


@pytest.mark.parametrize('is_leader', [True, False])
def test_a_minority_refuses_and_the_change_was_not_run(run_cluster, is_leader):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        follower = next(v for v in cluster.voter_ids if v != leader)
        isolated = leader if is_leader else follower
        cluster.isolate(isolated)
        await cluster.env.timer.sleep(5.0)
        with pytest.raises(errors.ApricotError) as caught:
            await propose(cluster, isolated, 'acme', 1)
        assert caught.value.code is errors.ErrorCode.NO_QUORUM
        assert caught.value.ran is errors.Ran.NO
        cluster.fake_network.heal()
        await cluster.env.timer.sleep(10.0)
        for voter in cluster.voter_ids:
            assert limit_at(cluster, voter, 'acme') is None

    run_cluster(scenario)


def test_a_node_cut_off_for_an_hour_forces_no_election(run_cluster):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        isolated = next(v for v in cluster.voter_ids if v != leader)
        cluster.isolate(isolated)
        await cluster.env.timer.sleep(10.0)
        await propose(cluster, leader, 'acme', 5)
        term = cluster.node_by_id[leader].raft.store.term
        await cluster.env.timer.sleep(3600.0)
        cluster.fake_network.heal()
        await cluster.env.timer.sleep(20.0)
        assert cluster.node_by_id[leader].raft.store.term == term
        assert cluster.leaders() == [leader]
        assert limit_at(cluster, isolated, 'acme') == 5

    run_cluster(scenario)


def test_a_voter_with_an_old_log_does_not_lead(run_cluster):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        lagging, other_voter = (v for v in cluster.voter_ids if v != leader)
        cluster.isolate(lagging)
        await cluster.env.timer.sleep(5.0)
        for number in range(20):
            await propose(cluster, leader, 'acme', number)
        await cluster.crash(leader)
        cluster.fake_network.heal()
        for _ in range(100):
            await cluster.env.timer.sleep(0.2)
            assert lagging not in cluster.leaders()
            if limit_at(cluster, lagging, 'acme') == 19:
                break
        assert limit_at(cluster, other_voter, 'acme') == 19

    run_cluster(scenario)


def test_a_one_way_cut_leaves_a_working_leader(run_cluster):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        others = [v for v in cluster.voter_ids if v != leader]
        for other_voter in others:
            cluster.fake_network.cut(leader, other_voter)
        await cluster.env.timer.sleep(15.0)
        result = await propose(cluster, others[0], 'acme', 9)
        assert result.accepted
        assert leader not in cluster.leaders()

    run_cluster(scenario)


def test_a_resent_command_gets_its_first_answer(run_cluster):
    async def scenario(cluster):
        first = await propose(cluster, 'v1', 'acme', 1, command='same')
        await propose(cluster, 'v2', 'acme', 2)
        leader = await cluster.wait_for_leader()
        await cluster.crash(leader)
        cluster.start(leader)
        await cluster.wait_for_leader()
        repeated = await propose(cluster, 'v3', 'acme', 1, command='same')
        assert repeated == first
        await cluster.wait_for_version(2)
        assert limit_at(cluster, 'v3', 'acme') == 2

    run_cluster(scenario)


def test_of_two_operators_one_wins_and_the_other_sees_the_row(run_cluster):
    async def scenario(cluster):
        await propose(cluster, 'v1', 'acme', 1)
        results = await asyncio.gather(
            propose(cluster, 'v1', 'acme', 10, base=1),
            propose(cluster, 'v2', 'acme', 20, base=1),
        )
        accepted = [r for r in results if r.accepted]
        refused = [r for r in results if not r.accepted]
        assert len(accepted) == len(refused) == 1
        await cluster.wait_for_version(2)
        assert refused[0].code == 'conflict'
        now = refused[0].conflicts[0].now
        assert now.limit == limit_at(cluster, 'v3', 'acme')

    run_cluster(scenario)


def test_changes_survive_a_restart_of_every_node(run_cluster):
    async def scenario(cluster):
        for number in range(500):
            await propose(cluster, 'v1', 'acme', number)
        for node_id in list(cluster.node_by_id):
            await cluster.crash(node_id)
        started = cluster.env.timer.now()
        cluster.start_all()
        await cluster.wait_for_leader()
        await cluster.wait_for_version(500)
        assert cluster.env.timer.now() - started < 10.0
        for node_id in cluster.node_by_id:
            assert limit_at(cluster, node_id, 'acme') == 499
            store = cluster.node_by_id[node_id].raft.store
            assert store.entry_count < 300
        lines = cluster.disk_by_id['v2'].files['audit.jsonl'].splitlines()
        assert len(lines) == 500

    run_cluster(scenario)


def test_a_node_far_behind_gets_a_snapshot(run_cluster):
    async def scenario(cluster):
        await cluster.crash('v3')
        await cluster.wait_for_leader()
        for number in range(600):
            await propose(cluster, 'v1', 'acme', number)
        cluster.start('v3')
        await cluster.wait_for_version(600)
        assert limit_at(cluster, 'v3', 'acme') == 599
        trail = cluster.node_by_id['v3'].trail
        assert [r.index for r in trail.records] == [
            r.index for r in cluster.node_by_id['v1'].trail.records
        ]

    run_cluster(scenario)


def test_a_lost_disk_does_not_vote_until_admitted(run_cluster):
    async def scenario(cluster):
        await propose(cluster, 'v1', 'acme', 1)
        await cluster.crash('v1')
        cluster.disk_by_id['v1'].wipe()
        cluster.start('v1')
        await cluster.crash('v2')
        await cluster.env.timer.sleep(30.0)
        assert not cluster.leaders()
        assert not cluster.node_by_id['v1'].raft.voters.is_admitted()
        cluster.start('v2')
        await cluster.wait_for_leader()
        node = cluster.node_by_id['v3']
        origin = cluster.make_change(
            'x', limit=1, base=0, command_id='remove'
        ).origin
        await node.proposer.propose(
            commands.RemoveVoter(origin=origin, node_id='v1'),
            timeout_s=TIMEOUT_S,
        )
        disk_id = await node.raft.voters.fetch_disk_id('v1')
        origin = cluster.make_change(
            'x', limit=1, base=0, command_id='admit'
        ).origin
        result = await node.proposer.propose(
            commands.AdmitVoter(origin=origin, node_id='v1', disk_id=disk_id),
            timeout_s=TIMEOUT_S,
        )
        assert result.accepted
        await cluster.wait_for_version(result.version)
        await cluster.env.timer.sleep(5.0)
        assert cluster.node_by_id['v1'].raft.voters.is_admitted()
        await cluster.crash('v2')
        result = await propose(cluster, 'v1', 'acme', 2)
        assert result.accepted

    run_cluster(scenario)


def test_an_empty_disk_elects_no_voter_with_an_old_log(run_cluster):
    """Guards against a leader that drops what a returning voter has."""

    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        wiped, lagging = (v for v in cluster.voter_ids if v != leader)
        cluster.isolate(lagging)
        await propose(cluster, leader, 'acme', 1)
        await cluster.crash(leader)
        await cluster.crash(wiped)
        cluster.disk_by_id[wiped].wipe()
        cluster.fake_network.heal()
        cluster.start(wiped)
        await cluster.env.timer.sleep(15.0)
        cluster.start(leader)
        await cluster.wait_for_leader()
        await cluster.wait_for_version(1)
        assert limit_at(cluster, leader, 'acme') == 1

    run_cluster(scenario)


@pytest.mark.parametrize(
    ('seed', 'jitter_s', 'syncs_s'),
    [(seed, 0.1, (0.1,)) for seed in (1, 3, 5, 6)]
    + [(seed, 0.0, (0.1, 0.02, 0.02)) for seed in (13, 14, 18, 22)],
)
def test_a_leader_is_not_unseated_by_those_who_voted_for_it(
    seed, jitter_s, syncs_s
):
    """Guards against elections that are held again with slow links or disks.

    Voters became candidates while the election that they had voted in was
    still going on.
    """

    async def main(env):
        cluster = clusters.MemoryCluster(
            env=env, voters=5, lease_s=1.0, heartbeat_s=0.2
        )
        cluster.fake_network.jitter_s = jitter_s
        sync_s = itertools.cycle(syncs_s)
        for disk in cluster.disk_by_id.values():
            disk.sync_s = next(sync_s)
        cluster.start_all()
        await cluster.wait_for_leader()
        await cluster.env.timer.sleep(1.0)
        leader = await cluster.wait_for_leader()
        term = cluster.node_by_id[leader].raft.store.term
        await cluster.crash(leader)
        await cluster.env.timer.sleep(4.0)
        other_voter = await cluster.wait_for_leader()
        assert cluster.node_by_id[other_voter].raft.store.term == term + 1
        await cluster.stop_all()

    virtualclock.run(main(virtualclock.make_environment(seed)))


@pytest.mark.parametrize('fault', ['is_full', 'is_stalled'])
def test_a_leader_whose_disk_fails_steps_down(run_cluster, fault):
    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        others = [v for v in cluster.voter_ids if v != leader]
        setattr(cluster.disk_by_id[leader], fault, True)
        await cluster.env.timer.sleep(1.0)
        result = await propose(cluster, others[0], 'acme', 3)
        assert result.accepted
        await cluster.env.timer.sleep(70.0)
        assert cluster.leaders() != [leader]
        setattr(cluster.disk_by_id[leader], fault, False)
        result = await propose(cluster, leader, 'acme', 4)
        await cluster.env.timer.sleep(70.0)
        assert limit_at(cluster, leader, 'acme') == 4

    run_cluster(scenario)


@pytest.mark.parametrize('seed', range(12))
def test_a_disk_that_fills_up_under_changes_ends_no_node(seed):
    """Guards against applying entries that a failed write has dropped."""

    async def change_forever(cluster, leader, number):
        for step in itertools.count():
            with contextlib.suppress(errors.ApricotError):
                await propose(cluster, leader, f'a{number}', step)
            await cluster.env.timer.sleep(0.01 * cluster.env.random.random())

    async def main(env):
        cluster = clusters.MemoryCluster(env=env)
        cluster.start_all()
        leader = await cluster.wait_for_leader()
        disk = cluster.disk_by_id[leader]
        disk.sync_s = 0.05
        changing = [
            asyncio.create_task(change_forever(cluster, leader, number))
            for number in range(3)
        ]
        await env.timer.sleep(1.0 + env.random.random())
        disk.is_full = True
        await env.timer.sleep(3.0)
        disk.is_full = False
        await env.timer.sleep(5.0)
        for task in changing:
            task.cancel()
        await asyncio.gather(*changing, return_exceptions=True)
        assert not cluster.has_ended(leader)
        result = await propose(cluster, leader, 'last', 7)
        await cluster.wait_for_version(result.version)
        raft = cluster.node_by_id[leader].raft
        assert raft.applied_index <= raft.store.last_index
        await cluster.stop_all()

    virtualclock.run(main(virtualclock.make_environment(seed)))


def test_a_snapshot_that_is_stored_slowly_stops_no_node(run_cluster):
    """Guards against reading entries that the snapshot has replaced.

    The node looked for its voters in them and ended.
    """

    async def scenario(cluster):
        await cluster.crash('v3')
        for number in range(300):
            await propose(cluster, 'v1', 'acme', number)
        cluster.start('v3')
        cluster.disk_by_id['v3'].sync_s = 0.4
        await cluster.wait_for_version(300)
        result = await propose(cluster, 'v1', 'bale', 7)
        await cluster.wait_for_version(result.version)
        assert limit_at(cluster, 'v3', 'bale') == 7

    run_cluster(scenario)


@pytest.mark.parametrize('point', list(disks.CrashPoint))
def test_no_change_is_lost_at_any_sync_point(env, point):
    """Crash the leader at each of its next 12 syncs in turn.

    No accepted change may be lost by a crash around a sync.
    """

    async def scenario(crash_at):
        cluster = clusters.MemoryCluster(env=env)
        cluster.start_all()
        try:
            leader = await cluster.wait_for_leader()
            disk = cluster.disk_by_id[leader]
            disk.crash_point = point
            disk.crash_at = disk.sync_count + crash_at
            accepted = {}
            for number in range(8):
                name = f'account{number}'
                result = await propose_on_any_node(cluster, name, number)
                assert result.accepted
                accepted[name] = number
            assert disk.crash_count == 1
            for node_id in list(cluster.node_by_id):
                await cluster.crash(node_id)
            cluster.start_all()
            await cluster.wait_for_leader()
            await cluster.wait_for_version(8)
            for node_id in cluster.node_by_id:
                for name, number in accepted.items():
                    assert limit_at(cluster, node_id, name) == number
        finally:
            await cluster.stop_all()

    for crash_at in range(1, 13):
        virtualclock.run(scenario(crash_at))
