"""Tests that account limits hold across entries, also in a partition."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import virtualclock
from apricotthread.routing import credits

ACCOUNT = 'acme'
REQUEST_TIMEOUT_S = 120.0  # no request runs at an endpoint for longer


@hypothesis.given(
    limit=strategies.integers(0, 500),
    account=strategies.text(max_size=10),
    count=strategies.integers(1, 12),
)
def test_the_parts_of_all_entries_sum_to_the_limit(limit, account, count):
    names = [f'n{number}' for number in range(count)]
    parts = [credits.own_part(limit, account, n, names) for n in names]
    assert sum(parts) == limit
    assert max(parts) - min(parts) <= 1


def run_entries(env, limit, scenario):
    """Run a scenario on six entries with one limited account."""

    async def main():
        cluster = clusters.MemoryCluster(env=env, learners=3)
        cluster.start_all()
        try:
            await cluster.wait_for_leader()
            change = cluster.make_change(
                ACCOUNT, limit=limit, base=10**9, command_id='c'
            )
            node = cluster.node_by_id['v1']
            await node.proposer.propose(change, timeout_s=10.0)
            await env.timer.sleep(5.0)
            return await scenario(cluster)
        finally:
            await cluster.stop_all()

    return virtualclock.run(main())


async def acquire_many(cluster, node_id, attempts):
    """Acquire credits until refused; return how many were granted."""
    granted = 0
    for _ in range(attempts):
        try:
            await cluster.node_by_id[node_id].limits.acquire(ACCOUNT)
        except errors.ApricotError as error:
            assert error.code is errors.ErrorCode.ACCOUNT_LIMIT
            assert error.ran is errors.Ran.NO
            break
        granted += 1
    return granted


def test_one_entry_can_borrow_most_of_the_limit(env):
    async def scenario(cluster):
        return await acquire_many(cluster, 'v1', 1000)

    granted = run_entries(env, 60, scenario)
    assert 50 <= granted <= 60


@pytest.mark.parametrize('limit', [1, 4, 7, 60])
def test_all_entries_together_stay_within_the_limit(env, limit):
    async def scenario(cluster):
        granted = await asyncio.gather(
            *(acquire_many(cluster, n, 1000) for n in cluster.node_by_id)
        )
        return sum(granted)

    granted = run_entries(env, limit, scenario)
    assert granted <= limit
    assert granted >= min(limit, 1)


def test_a_partition_does_not_raise_the_limit(env):
    async def scenario(cluster):
        first = await acquire_many(cluster, 'v1', 30)
        cluster.isolate('v1')
        await cluster.env.timer.sleep(REQUEST_TIMEOUT_S - 10.0)
        rest = await asyncio.gather(
            *(acquire_many(cluster, n, 1000) for n in cluster.node_by_id)
        )
        return first + sum(rest)

    assert run_entries(env, 60, scenario) <= 60


def test_a_lender_that_restarts_does_not_lend_twice(env):
    async def scenario(cluster):
        first = await acquire_many(cluster, 'v1', 50)
        for node_id in list(cluster.node_by_id):
            if node_id != 'v1':
                await cluster.crash(node_id)
                cluster.start(node_id)
        await cluster.wait_for_version(1)
        await cluster.env.timer.sleep(4.0)
        rest = await asyncio.gather(
            *(acquire_many(cluster, n, 1000) for n in cluster.node_by_id)
        )
        return first + sum(rest)

    assert run_entries(env, 60, scenario) <= 60


def test_credits_are_returned_after_the_requests_end(env):
    async def scenario(cluster):
        granted = await acquire_many(cluster, 'v1', 1000)
        for _ in range(granted):
            cluster.node_by_id['v1'].limits.release(ACCOUNT)
        await cluster.env.timer.sleep(5.0)
        return await acquire_many(cluster, 'l2', 1000)

    assert run_entries(env, 60, scenario) >= 50
