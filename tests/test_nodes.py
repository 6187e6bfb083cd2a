"""Single nodes: cut-off data centres, restarts and ramps of engines."""

import asyncio

import pytest

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import tables
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import engines
from apricotthread.fakes import virtualclock
from apricotthread.routing import calls

TIMEOUT_S = 10.0


def test_a_warm_engine_ramps_up_to_its_limit(env):
    """The limit of a warm engine once stayed at its cold value.

    The reader of an answer stops at the last piece, so the accounting
    that came after that piece never ran.
    """

    async def main():
        cluster = clusters.MemoryCluster(env=env, voters=1)
        vm = cluster.fleet.add_vm(
            endpoint_id='vm',
            data_centre='dc1',
            fabric_domain='f',
            traits=engines.EngineTraits(cold_requests=2),
        )
        cluster.start_all()
        cluster.start_endpoints()
        await cluster.wait_for_leader()
        node = cluster.node_by_id['v1']
        rows = [
            tables.ServiceRow(name='describe', type='model'),
            tables.AccountRow(name='acme', limit=100),
        ]
        change = cluster.make_change('x', limit=1, base=0, command_id='c')
        await node.proposer.propose(
            commands.ChangeRows(
                origin=change.origin,
                base_version=0,
                edits=[
                    commands.RowEdit(key=tables.key_of(row), row=row)
                    for row in rows
                ],
            ),
            timeout_s=TIMEOUT_S,
        )
        await env.timer.sleep(10.0)
        endpoint = node.endpoints.endpoint_by_id['vm']
        assert endpoint.ramp.limit == vm.traits.bear_requests
        for number in range(40):
            call = calls.ModelCall(
                request_id=f'r{number}',
                account='acme',
                service='describe',
                kind='k',
                cost=1.0,
                deadline=env.timer.now() + TIMEOUT_S,
                prompt='p',
                max_tokens=40,
            )
            async with node.router.open_model(call) as buffer:
                while await buffer.read() is not None:
                    pass
        assert endpoint.ramp.limit == vm.traits.max_requests
        assert endpoint.seconds_per_token > 0
        await cluster.stop_all()

    virtualclock.run(main())


def run_cluster(env, scenario):
    """Run a scenario on three voters and three learners."""

    async def main():
        cluster = clusters.MemoryCluster(env=env, learners=3)
        cluster.start_all()
        try:
            await cluster.wait_for_leader()
            change = cluster.make_change(
                'acme', limit=5, base=0, command_id='first'
            )
            node = cluster.node_by_id['v2']
            await node.proposer.propose(change, timeout_s=TIMEOUT_S)
            await cluster.wait_for_version(1)
            await scenario(cluster)
        finally:
            await cluster.stop_all()

    virtualclock.run(main())


def cut_off(cluster, node_ids):
    """Cut the given nodes off from all others."""
    for node_id in node_ids:
        for other in cluster.address_by_id:
            if other not in node_ids:
                cluster.fake_network.cut_both(node_id, other)


def make_take_out(cluster, name):
    """Return a command that takes a data centre out."""
    change = cluster.make_change('x', limit=1, base=0, command_id='out')
    return commands.MarkDataCentre(
        origin=change.origin, base_version=1, data_centre=name, out=True
    )


def test_a_local_take_out_spreads_survives_a_crash_and_is_replicated(env):
    async def scenario(cluster):
        cut_off(cluster, ['v1', 'l1'])
        await env.timer.sleep(5.0)
        v1, l1 = cluster.node_by_id['v1'], cluster.node_by_id['l1']
        assert v1.system.is_cut_off
        assert not v1.why_not_ready()
        await v1.marks.set(make_take_out(cluster, 'dc1'))
        await env.timer.sleep(2.0)
        await cluster.crash('v1')
        v1 = cluster.start('v1')
        await env.timer.sleep(3.0)
        for node in (v1, l1):
            assert node.system.is_out('dc1')
            assert 'taken out' in node.why_not_ready()
        assert not cluster.node_by_id['v2'].system.is_out('dc1')
        cluster.fake_network.heal()
        await env.timer.sleep(15.0)
        assert v1.system.local_mark is None
        for node in cluster.node_by_id.values():
            assert node.raft.state.content.taken_out == ['dc1']
        subjects = [r.subject for r in v1.trail.records]
        assert 'data_centre:dc1' in subjects

    run_cluster(env, scenario)


def test_a_draining_node_refuses_once_the_balancer_has_noticed(env):
    async def scenario(cluster):
        node = cluster.node_by_id['l1']
        node.system.start_draining()
        assert node.why_not_ready() == 'draining'
        node.router.check_open()
        await env.timer.sleep(node.settings.ready_grace_s + 0.1)
        with pytest.raises(errors.ApricotError) as caught:
            node.router.check_open()
        assert caught.value.code is errors.ErrorCode.DRAINING
        assert caught.value.ran is errors.Ran.NO

    run_cluster(env, scenario)


def test_a_node_restarted_while_cut_off_takes_the_table_of_a_peer(env):
    async def scenario(cluster):
        cut_off(cluster, ['v1', 'l1'])
        await env.timer.sleep(5.0)
        await cluster.crash('l1')
        restarted = cluster.start('l1')
        assert not restarted.system.has_table
        await env.timer.sleep(5.0)
        assert restarted.raft.state.version == 1
        assert not restarted.why_not_ready()

    run_cluster(env, scenario)


def test_a_node_without_any_table_is_not_ready(env):
    async def scenario(cluster):
        cut_off(cluster, ['l1'])
        await cluster.crash('l1')
        restarted = cluster.start('l1')
        await env.timer.sleep(20.0)
        assert restarted.why_not_ready() == 'no table yet'

    run_cluster(env, scenario)


def test_a_restarted_voter_serves_the_table_that_it_had(env):
    """All voters crash and two stay down; the third still has a table."""

    async def scenario(cluster):
        for voter in cluster.voter_ids:
            await cluster.crash(voter)
        alone = cluster.start('v3')
        await asyncio.sleep(10.0)
        assert alone.raft.state.version == 1
        assert alone.system.has_table

    run_cluster(env, scenario)
