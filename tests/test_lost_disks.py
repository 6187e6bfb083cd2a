"""What was acknowledged outlives two lost disks and a loss of power."""

import asyncio
import functools
import random

import pytest

from apricotthread.base import errors
from apricotthread.control import replica
from tests import controlworld

DELAYS_S = (0.0, 0.006, 0.4)  # from a change to the loss of power


@pytest.fixture
def run_world(env):
    """Return a function that runs a scenario on started control nodes."""

    return functools.partial(controlworld.run, env)


async def lose_disks(world, lost):
    """Play the loss of disks while all others lose power, and the return."""
    node_ids = list(world.address_by_id)
    await world.stop(*node_ids, wiped=lost)
    await world.env.timer.sleep(0.3)
    world.env.random.shuffle(node_ids)
    for node_id in node_ids:
        world.start(node_id)


def pick_lost(world, how, chance):
    """Return the two voters whose disks are lost."""
    leader = world.leader()
    voters = sorted(world.voters(), key=lambda _: chance.random())
    match how:
        case 'leader and follower':
            return [leader, next(v for v in voters if v != leader)]
        case 'oldest':
            return world.seed_ids[:2]
        case 'synced first':
            voters.sort(
                key=lambda v: -world.node_by_id[v].raft.store.synced_index
            )
    return voters[:2]


@pytest.mark.parametrize(
    'how', ['leader and follower', 'oldest', 'synced first']
)
def test_two_lost_disks_and_power_take_nothing_acknowledged(
    run_world, monkeypatch, how
):
    """Cut the power up to 400 ms after changes of two operators were sent.

    Snapshots are frequent, so that some are being saved.
    """
    monkeypatch.setattr(replica, 'SNAPSHOT_EVERY_ENTRIES', 6)

    async def scenario(world):
        chance = random.Random(how)
        for disk in world.disk_by_id.values():
            disk.sync_s = chance.choice((0.001, 0.02, 0.1))
        await world.put(1)
        acknowledged = version = 1
        is_out = False

        async def submit(version, node_id):
            nonlocal acknowledged
            await world.put(version, at=node_id)
            acknowledged = max(acknowledged, version)

        for delay_s in DELAYS_S:
            is_out = not is_out
            await world.mark('dc1', out=is_out)
            tasks = []
            for node_id in chance.sample(sorted(world.node_by_id), 4):
                version += 2
                tasks.append(asyncio.create_task(submit(version, node_id)))
            await world.env.timer.sleep(delay_s)
            lost = pick_lost(world, how, chance)
            for task in tasks:
                task.cancel()
            await lose_disks(world, lost)
            await world.wait_for(world.leader, 'a leader')
            answer = await world.wait_for_version()
            assert acknowledged <= answer <= version
            content = world.node_by_id[world.leader()].raft.state.content
            assert content.taken_out == (['dc1'] if is_out else [])
            acknowledged = answer
            await world.wait_for(world.has_live_voters, 'other voters')
            assert await world.wait_for_version() == answer

    run_world(scenario)


def test_a_voter_that_lacks_its_own_admission_still_votes(run_world):
    """Guards against control nodes that never elect a leader again.

    Three of five voters were left. One had not synced that it was admitted,
    and refused its vote.
    """

    async def scenario(world):
        for node_id in world.address_by_id:
            world.start(node_id, first_start=True)
        await world.wait_for(lambda: len(world.voters()) == 4, 'voters')
        leader = world.node_by_id[world.leader()]
        await world.wait_for(
            lambda: all(
                node.raft.store.synced_index == leader.raft.store.last_index
                for node in world.node_by_id.values()
            ),
            'all have the log',
        )
        learners = world.address_by_id.keys() - world.voters().keys()
        for node_id in learners:
            world.disk_by_id[node_id].is_stalled = True
        await world.wait_for(lambda: len(world.voters()) == 5, 'voters')
        await world.put(1)
        followers = sorted(world.voters().keys() - learners - {world.leader()})
        lost = [world.leader(), followers[0]]
        for disk in world.disk_by_id.values():
            disk.is_stalled = False
        await lose_disks(world, lost)
        assert await world.wait_for_version() == 1

    run_world(scenario, has_started=False)


def test_an_empty_disk_is_not_admitted_for_what_the_lost_one_had(run_world):
    """Guards against a voter with an empty log, which weakens a majority.

    It takes a control node that does not vote, on a slow new disk, until
    after a voter is lost to get the log.
    """

    async def scenario(world):
        await world.put(1)
        spare = next(n for n in world.address_by_id if n not in world.voters())
        await world.stop(spare, wiped=[spare])
        world.disk_by_id[spare].sync_s = 0.9
        world.start(spare)
        lost = next(v for v in sorted(world.voters()) if v != world.leader())
        await world.stop(lost)
        await world.wait_for(lambda: spare in world.voters(), 'admission')
        assert world.node_by_id[spare].raft.store.synced_index > 0

    run_world(scenario, nodes=6)


def test_a_mark_that_arrives_late_does_not_undo_a_newer_one(run_world):
    """Guards against a resent call that takes a data centre out again.

    The node that got the call first was cut off. The operators had sent it
    to another one, and brought the data centre back since.
    """

    async def scenario(world):
        await world.mark('dc2', out=True)
        cut_off, other = (n for n in world.seed_ids if n != world.leader())
        world.cut_off(cut_off)
        late = asyncio.create_task(world.mark('dc1', out=True, at=cut_off))
        await world.env.timer.sleep(1.0)
        await world.mark('dc1', out=True, at=other)
        await world.mark('dc1', out=False, at=other)
        world.fake_network.heal()
        with pytest.raises(errors.ApricotError) as caught:
            await late
        assert caught.value.code is errors.ErrorCode.NO_QUORUM
        content = world.node_by_id[world.leader()].raft.state.content
        assert content.taken_out == ['dc2']
        await world.mark('dc1', out=True, at=cut_off)
        content = world.node_by_id[world.leader()].raft.state.content
        assert content.taken_out == ['dc1', 'dc2']

    run_world(scenario)


def test_a_mark_whose_caller_has_left_does_not_take_effect(run_world):
    """Guards against an order that its operator has replaced by a newer one.

    It had waited in the network, or in the buffers of a node.
    """

    async def scenario(world):
        await world.mark('dc1', out=True)
        for node_id in world.seed_ids:
            with pytest.raises(errors.ApricotError) as caught:
                await world.mark('dc1', out=False, at=node_id, waits_s=0.0)
            assert caught.value.code is errors.ErrorCode.NO_QUORUM
        content = world.node_by_id[world.leader()].raft.state.content
        assert content.taken_out == ['dc1']

    run_world(scenario)


def test_a_mark_read_after_a_pause_does_not_take_effect(run_world):
    """Guards against an old withdrawal that a frozen node reads on waking."""

    async def scenario(world):
        await world.mark('dc1', out=True)
        asyncio.get_running_loop().pause_process(6.0)
        for node_id in world.seed_ids:
            with pytest.raises(errors.ApricotError) as caught:
                await world.mark('dc1', out=False, at=node_id)
            assert caught.value.code is errors.ErrorCode.NO_QUORUM
        await world.env.timer.sleep(6.5)
        assert world.voters()
        content = world.node_by_id[world.leader()].raft.state.content
        assert content.taken_out == ['dc1']
        await world.mark('dc1', out=False)
        content = world.node_by_id[world.leader()].raft.state.content
        assert content.taken_out == []

    run_world(scenario)
