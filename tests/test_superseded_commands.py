"""Commands at the operators' port that are late do not undo newer ones.

The newer command may have found nothing to change.
"""

import asyncio
import contextlib

import msgspec
import pytest

from apricotthread.control import replica
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import virtualclock

CALLER_WAITS_S = 1.0
# A command that is repeated once a cut has healed has taken effect by then.
SETTLED_S = 5.0


@pytest.fixture
def run_cluster(env):
    """Return a function that runs a scenario on a started cluster."""

    def run(scenario, *, voters=3):
        async def main():
            cluster = clusters.MemoryCluster(env=env, voters=voters)
            cluster.start_all()
            leader = await cluster.wait_for_leader()
            change = cluster.make_change(
                'acme', limit=1, base=0, command_id='first'
            )
            await cluster.node_by_id[leader].proposer.propose(
                change, timeout_s=5.0
            )
            await cluster.wait_for_version(1)
            try:
                return await scenario(cluster)
            finally:
                await cluster.stop_all()

        return virtualclock.run(main())

    return run


async def post(node, path, body, *, waits_s=CALLER_WAITS_S):
    """Send a command to a node's operator port; the caller may leave.

    Return the status and the document of the answer, or 0 and None.
    """
    application = node.make_applications()[node.settings.operator_port]
    encoded = msgspec.json.encode(body)
    requests = [{'type': 'http.request', 'body': encoded, 'more_body': False}]
    answer = []
    timer = node.env.timer
    leaves_at = timer.now() + waits_s

    async def receive():
        if requests:
            return requests.pop()
        if timer.now() < leaves_at:
            await timer.sleep(leaves_at - timer.now())
        return {'type': 'http.disconnect'}

    async def send(message):
        answer.append(message)

    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': 'POST',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': [],
        'client': ('127.0.0.1', 1),
    }
    served = asyncio.ensure_future(application(scope, receive, send))
    with contextlib.suppress(TimeoutError):
        async with timer.timeout(waits_s):
            await asyncio.shield(served)
            return answer[0]['status'], msgspec.json.decode(answer[1]['body'])
    return 0, None


def make_mark(node, command_id, *, out):
    """Return the body of an order of the command line."""
    return {
        'command_id': command_id,
        'operator': 'thu',
        'base_version': node.raft.state.version,
        'out': out,
    }


async def take_out_locally(cluster, node):
    """Take a data centre out on a node that reaches no majority."""
    status, body = await post(
        node,
        f'/data-centres/{node.settings.data_centre}',
        make_mark(node, 'take-out', out=True),
        waits_s=12.0,
    )
    assert (status, body['local_only']) == (200, True)
    assert node.system.is_out(node.settings.data_centre)


@pytest.mark.parametrize('restarts', [False, True])
def test_a_local_take_out_does_not_undo_a_newer_bring_back(
    run_cluster, monkeypatch, restarts
):
    """Guards against a local mark that is recorded after it was withdrawn.

    A majority had acknowledged that the data centre is in, as it was. All
    may have started again since, from snapshots.
    """
    monkeypatch.setattr(replica, 'SNAPSHOT_EVERY_ENTRIES', 2)

    async def scenario(cluster):
        cluster.isolate('v1')
        await cluster.env.timer.sleep(5.0)
        await take_out_locally(cluster, cluster.node_by_id['v1'])
        v2 = cluster.node_by_id['v2']
        status, body = await post(
            v2, '/data-centres/dc1', make_mark(v2, 'bring-back', out=False)
        )
        assert (status, body['result']['code']) == (200, '')
        if restarts:
            for number in range(3):
                change = cluster.make_change(
                    'acme', limit=number, base=9, command_id=f'{number}'
                )
                await v2.proposer.propose(change, timeout_s=5.0)
            assert v2.raft.store.snapshot.index
            for node_id in cluster.voter_ids:
                await cluster.crash(node_id)
            for node_id in cluster.voter_ids:
                cluster.start(node_id)
            await cluster.env.timer.sleep(5.0)
        cluster.fake_network.heal()
        await cluster.env.timer.sleep(SETTLED_S)
        for node in cluster.node_by_id.values():
            assert node.raft.state.content.taken_out == []
            assert not node.system.is_out('dc1')

    run_cluster(scenario)


def test_a_bring_back_withdraws_a_local_take_out_of_the_same_node(
    run_cluster,
):
    """Guards against a local mark that is recorded after its withdrawal."""

    async def scenario(cluster):
        cluster.isolate('v1')
        await cluster.env.timer.sleep(5.0)
        v1 = cluster.node_by_id['v1']
        await take_out_locally(cluster, v1)
        bring_back = asyncio.create_task(
            post(
                v1,
                '/data-centres/dc1',
                make_mark(v1, 'bring-back', out=False),
                waits_s=12.0,
            )
        )
        await cluster.env.timer.sleep(0.05)
        cluster.fake_network.heal()
        status, body = await bring_back
        assert (status, body['result']['code']) == (200, '')
        await cluster.env.timer.sleep(SETTLED_S)
        for node in cluster.node_by_id.values():
            assert node.raft.state.content.taken_out == []
            assert not node.system.is_out('dc1')

    run_cluster(scenario)


def test_a_take_out_whose_operator_has_left_makes_no_local_mark(run_cluster):
    """Guards against an order that is carried out after it was given up."""

    async def scenario(cluster):
        cluster.isolate('v1')
        await cluster.env.timer.sleep(5.0)
        v1 = cluster.node_by_id['v1']
        status, _ = await post(
            v1, '/data-centres/dc1', make_mark(v1, 'take-out', out=True)
        )
        assert not status
        # The node asked for a majority for 8 s.
        await cluster.env.timer.sleep(10.0)
        assert not v1.system.is_out('dc1')

    run_cluster(scenario)


@pytest.mark.parametrize('admit_at_last', [True, False])
@pytest.mark.parametrize('is_at_leader', [True, False])
def test_a_voter_change_at_a_cut_off_node_does_not_undo_a_newer_one(
    run_cluster, is_at_leader, admit_at_last
):
    """Guards against a voter that is removed, or kept, by an old order."""

    async def change(node, command_id, *, admit):
        body = {'operator': 'thu', 'command_id': command_id, 'admit': admit}
        status, answer = await post(node, f'/voters/{subject}', body)
        return status == 200 and not answer['result']['code']

    async def scenario(cluster):
        leader = await cluster.wait_for_leader()
        voters = set(cluster.voter_ids)
        followers = sorted(voters - {leader, subject})
        at = cluster.node_by_id[leader if is_at_leader else followers[0]]
        newer_at = cluster.node_by_id[followers[1]]
        if not admit_at_last:
            voters.discard(subject)
            assert await change(newer_at, 'first', admit=False)
        cluster.isolate(at.settings.node_id)
        # An admission asks for the disk that the node has.
        cluster.fake_network.heal_both(at.settings.node_id, subject)
        await cluster.env.timer.sleep(0.1)
        assert not await change(at, 'older', admit=not admit_at_last)
        for attempt in range(20):
            if await change(newer_at, f'{attempt}', admit=admit_at_last):
                break
            await cluster.env.timer.sleep(0.1)
        else:
            raise AssertionError('the newer order was not acknowledged')
        cluster.fake_network.heal()
        await cluster.env.timer.sleep(SETTLED_S)
        for node in cluster.node_by_id.values():
            content = node.raft.state.content
            assert content.disk_by_voter.keys() == voters

    subject = 'v5'
    run_cluster(scenario, voters=5)
