"""Claims: a call with a key is dispatched at most once despite failures."""

import asyncio
import collections

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.control import claims
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import virtualclock

TIMEOUT_S = 4.0


class Caller:
    """Calls by key through an entry, as the router does, and counts runs."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.runs = collections.Counter()
        self.call_count_by_node = collections.Counter()

    async def call(self, node_id, key, *, body=b'body', run_s=0.01):
        """Return the answer, or the error code of a refusal and its `ran`."""
        claimant = self.cluster.node_by_id[node_id].claimant
        self.call_count_by_node[node_id] += 1
        request_id = f'{node_id}-{self.call_count_by_node[node_id]}-{key}'
        try:
            decision = await claimant.claim(
                key=key,
                digest=claims.make_digest('POST', '/', body),
                request_id=request_id,
                timeout_s=TIMEOUT_S,
            )
        except errors.ApricotError as error:
            return error.code.label, error.ran.value
        match decision:
            case claims.Answered(body=answer):
                return 'answered', answer.decode()
            case claims.Granted() as granted:
                self.runs[key] += 1
                await self.cluster.env.timer.sleep(run_s)
                await claimant.record(
                    key=key,
                    attempt=granted.attempt,
                    claim=granted.claim,
                    outcome=claims.DONE,
                    status=200,
                    body=request_id.encode(),
                )
                return 'answered', request_id


@pytest.fixture
def run_callers(env):
    """Return a function that runs a scenario with a caller."""

    def run(scenario):
        async def main():
            cluster = clusters.MemoryCluster(env=env, learners=3)
            cluster.start_all()
            try:
                await cluster.wait_for_leader()
                await cluster.env.timer.sleep(1.0)
                return await scenario(cluster, Caller(cluster))
            finally:
                await cluster.stop_all()

        return virtualclock.run(main())

    return run


def test_a_repeated_key_gets_the_first_answer_anywhere(run_callers):
    async def scenario(cluster, caller):
        first = await caller.call('l1', 'k')
        assert await caller.call('v2', 'k') == first
        assert await caller.call('l3', 'k') == first
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_racing_retries_run_once(run_callers):
    async def scenario(cluster, caller):
        for number in range(20):
            key = f'k{number}'
            answers = await asyncio.gather(
                *(caller.call(n, key) for n in ('l1', 'l2', 'v1', 'v3'))
            )
            assert caller.runs[key] == 1
            assert len(set(answers)) == 1

    run_callers(scenario)


@pytest.mark.parametrize('sync_s', [0.002, 0.03, 0.1])
def test_racing_claims_are_decided_on_slow_disks(run_callers, sync_s):
    """Guards against claims that outbid each other until all are refused."""

    async def scenario(cluster, caller):
        for disk in cluster.disk_by_id.values():
            disk.sync_s = sync_s
        for number in range(5):
            key = f'k{number}'
            answers = await asyncio.gather(
                *(caller.call(n, key) for n in ('l1', 'l2', 'l3') * 2)
            )
            assert caller.runs[key] == 1
            assert len(set(answers)) == 1

    run_callers(scenario)


def test_calls_at_the_same_entry_at_the_same_time_run_once(run_callers):
    """Guards against two claims of one node that use the same ballot.

    With a shared ballot both of them were granted.
    """

    async def scenario(cluster, caller):
        answers = await asyncio.gather(
            *(caller.call('l1', 'k') for _ in range(4))
        )
        assert caller.runs['k'] == 1
        assert len(set(answers)) == 1

    run_callers(scenario)


def test_a_key_with_another_body_is_refused(run_callers):
    async def scenario(cluster, caller):
        await caller.call('l1', 'k')
        refusal = await caller.call('l2', 'k', body=b'other')
        assert refusal == ('idempotency_key_reused', 'no')
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_without_a_majority_a_call_is_not_run_and_may_run_later(
    run_callers,
):
    async def scenario(cluster, caller):
        cluster.isolate('v1')
        cluster.isolate('v2')
        refusal = await caller.call('l1', 'k')
        assert refusal == ('no_quorum', 'no')
        assert caller.runs['k'] == 0
        cluster.fake_network.heal()
        await cluster.env.timer.sleep(3.0)
        kind, _ = await caller.call('l2', 'k')
        assert kind == 'answered'
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_a_holder_that_died_leaves_the_outcome_unknown(run_callers):
    async def scenario(cluster, caller):
        running = asyncio.create_task(caller.call('l1', 'k', run_s=10.0))
        await cluster.env.timer.sleep(1.0)
        running.cancel()
        await cluster.crash('l1')
        refusal = await caller.call('l2', 'k')
        assert refusal == ('outcome_unknown', 'unknown')
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_claims_survive_a_restart_of_every_voter(run_callers):
    async def scenario(cluster, caller):
        first = await caller.call('l1', 'k')
        for voter in cluster.voter_ids:
            await cluster.crash(voter)
        for voter in cluster.voter_ids:
            cluster.start(voter)
        await cluster.env.timer.sleep(5.0)
        assert await caller.call('l2', 'k') == first
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_a_voter_on_a_new_disk_does_not_answer_for_claims(run_callers):
    async def scenario(cluster, caller):
        cluster.isolate('v3')
        first = await caller.call('l1', 'k')
        cluster.fake_network.heal()
        await cluster.crash('v1')
        cluster.disk_by_id['v1'].wipe()
        cluster.start('v1')
        await cluster.crash('v2')
        await cluster.env.timer.sleep(5.0)
        refusal = await caller.call('l2', 'k')
        assert refusal == ('no_quorum', 'no')
        cluster.start('v2')
        await cluster.env.timer.sleep(5.0)
        assert await caller.call('l2', 'k') == first
        assert caller.runs['k'] == 1

    run_callers(scenario)


def test_an_old_key_is_refused_and_not_run_again(run_callers):
    async def scenario(cluster, caller):
        await caller.call('l1', 'k')
        await cluster.env.timer.sleep(1.0)
        for node in cluster.node_by_id.values():
            node.registers._retention_ms = 500
        refusal = await caller.call('l2', 'k')
        assert refusal == ('idempotency_key_too_old', 'unknown')
        assert caller.runs['k'] == 1

    run_callers(scenario)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('call'),
            strategies.sampled_from(['l1', 'l2', 'l3', 'v1']),
            strategies.sampled_from(['a', 'b']),
        ),
        strategies.tuples(
            strategies.sampled_from(['isolate', 'crash']),
            strategies.sampled_from(['v1', 'v2', 'v3', 'l1']),
            strategies.just(''),
        ),
        strategies.tuples(
            strategies.sampled_from(['heal', 'wait']),
            strategies.just(''),
            strategies.just(''),
        ),
    ),
    min_size=4,
    max_size=14,
)


@hypothesis.settings(max_examples=60)
@hypothesis.given(steps=STEPS, seed=strategies.integers(0, 1000))
def test_claims_agree_with_a_naive_dictionary(steps, seed):
    """Random calls and failures run each key as a dictionary would.

    The count of runs decides: never 2, and 0 if every answer for the
    key was a refusal that says that the call was not run.
    """

    async def main():
        env = virtualclock.make_environment(seed)
        cluster = clusters.MemoryCluster(env=env, learners=3)
        cluster.fake_network.jitter_s = 0.02
        cluster.start_all()
        caller = Caller(cluster)
        answers_by_key = collections.defaultdict(list)
        calls = []

        async def call(node_id, key):
            answers_by_key[key].append(await caller.call(node_id, key))

        try:
            await cluster.wait_for_leader()
            await env.timer.sleep(1.0)
            for action, node_id, key in steps:
                match action:
                    case 'call' if node_id in cluster.node_by_id:
                        task = asyncio.create_task(call(node_id, key))
                        calls.append((node_id, task))
                        await env.timer.sleep(env.random.random() * 0.05)
                    case 'isolate':
                        cluster.isolate(node_id)
                    case 'crash' if node_id in cluster.node_by_id:
                        for caller_id, task in calls:
                            if caller_id == node_id:
                                task.cancel()
                        await cluster.crash(node_id)
                        cluster.start(node_id)
                    case 'heal':
                        cluster.fake_network.heal()
                    case 'wait':
                        await env.timer.sleep(1.5)
            await asyncio.gather(
                *(task for _, task in calls), return_exceptions=True
            )
        finally:
            await cluster.stop_all()
        for key in ('a', 'b'):
            assert caller.runs[key] <= 1
            answers = answers_by_key[key]
            bodies = {body for kind, body in answers if kind == 'answered'}
            assert len(bodies) <= 1
            interrupted = any(t.cancelled() for _, t in calls)
            if all(ran == 'no' for _, ran in answers) and not interrupted:
                assert caller.runs[key] == 0

    virtualclock.run(main())
