"""Tests of queues, placement, ramps, rates, retries and reassembly."""

import asyncio
import collections

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.endpoints import ramps
from apricotthread.fakes import virtualclock
from apricotthread.nodes import messages
from apricotthread.routing import calls
from apricotthread.routing import fairqueue
from apricotthread.routing import placement
from apricotthread.routing import rates
from apricotthread.routing import reassembly
from apricotthread.routing import retries

ACCOUNTS = ['a', 'b', 'c']
WEIGHT = {'a': 1.0, 'b': 2.0, 'c': 5.0}


def make_call(account, cost=1.0):
    """Return a request of an account."""
    return calls.ModelCall(
        request_id='r',
        account=account,
        service='s',
        kind='k',
        cost=cost,
        deadline=100.0,
        prompt='p',
        max_tokens=1,
    )


class NaiveQueue:
    """Serves the account with the least cost served per weight.

    Of several, it serves the one whose request came first.
    """

    def __init__(self):
        self.requests_by_account = collections.defaultdict(collections.deque)
        self.clock_by_account = collections.defaultdict(float)

    def push(self, number, account, cost):
        """Add the request with a number."""
        self.requests_by_account[account].append((number, cost))

    def pop(self):
        """Serve the next request; return its number."""
        account = min(
            (a for a in ACCOUNTS if self.requests_by_account[a]),
            key=lambda a: (
                self.clock_by_account[a],
                self.requests_by_account[a][0],
            ),
        )
        number, cost = self.requests_by_account[account].popleft()
        self.clock_by_account[account] += cost / WEIGHT[account]
        return number


COSTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACCOUNTS), strategies.integers(1, 4)
    ),
    min_size=30,
    max_size=60,
)


@hypothesis.given(requests=COSTS)
def test_waiting_accounts_are_served_in_proportion_to_weight(requests):
    """Requests are served in the order of the naive queue.

    Served cost per weight differs by at most one request between accounts
    as long as all have requests queued.
    """

    async def main():
        loop = asyncio.get_running_loop()
        queue = fairqueue.FairQueue(length=1000)
        naive = NaiveQueue()
        for number, (account, cost) in enumerate(requests):
            queue.push(
                make_call(account, float(cost)),
                WEIGHT[account],
                loop.create_future(),
            )
            naive.push(number, account, cost)
        served = collections.Counter()
        for _ in requests:
            waiter = queue.peek()
            queue.pop(waiter)
            served[waiter.call.account] += waiter.call.cost
            assert waiter.order == naive.pop()
            if all(naive.requests_by_account[a] for a in ACCOUNTS):
                shares = [served[a] / WEIGHT[a] for a in ACCOUNTS]
                assert max(shares) - min(shares) <= 4 / min(WEIGHT.values())
        assert not len(queue)

    virtualclock.run(main())


def test_shares_under_overload_are_within_five_percent_of_the_table():
    async def main():
        loop = asyncio.get_running_loop()
        queue = fairqueue.FairQueue(length=60)
        served = collections.Counter()
        for _ in range(3000):
            for account in ACCOUNTS:
                if queue.is_full:
                    victim = queue.find_victim(account, WEIGHT[account])
                    if victim is None:
                        continue
                    queue.remove_unserved(victim)
                queue.push(
                    make_call(account), WEIGHT[account], loop.create_future()
                )
            waiter = queue.peek()
            queue.pop(waiter)
            served[waiter.call.account] += 1
        total = sum(served.values())
        for account in ACCOUNTS:
            share = WEIGHT[account] / sum(WEIGHT.values())
            assert abs(served[account] / total - share) <= 0.05 * share

    virtualclock.run(main())


def test_one_account_can_not_fill_the_queue_for_others():
    async def main():
        loop = asyncio.get_running_loop()
        queue = fairqueue.FairQueue(length=10)
        for _ in range(10):
            queue.push(make_call('a'), 1.0, loop.create_future())
        assert queue.find_victim('a', 1.0) is None
        victim = queue.find_victim('b', 1.0)
        assert victim.call.account == 'a'
        assert victim.order == 9

    virtualclock.run(main())


@hypothesis.given(
    candidates=strategies.lists(
        strategies.builds(
            placement.Candidate,
            node_id=strategies.sampled_from(['n1', 'n2']),
            endpoint_id=strategies.text('xyz', max_size=3),
            free=strategies.integers(0, 8),
            limit=strategies.integers(1, 8),
            distance_penalty=strategies.sampled_from([0.0, 0.15, 0.35]),
            seconds_per_token=strategies.sampled_from([0.0, 0.01, 0.05]),
            has_prefix=strategies.booleans(),
        ),
        max_size=6,
    )
)
def test_the_chosen_candidate_is_the_best_and_has_a_free_slot(candidates):
    chosen = placement.choose_candidate(candidates)
    with_free_slot = [c for c in candidates if c.free > 0]
    if chosen is None:
        return
    assert chosen in with_free_slot
    comparable = [
        c
        for c in with_free_slot
        if (c.limit, c.distance_penalty, c.seconds_per_token, c.has_prefix)
        == (
            chosen.limit,
            chosen.distance_penalty,
            chosen.seconds_per_token,
            chosen.has_prefix,
        )
    ]
    assert chosen.free == max(c.free for c in comparable)


def test_a_straggler_gets_less_than_its_peers():
    candidates = [
        placement.Candidate(
            node_id='n',
            endpoint_id=name,
            free=free,
            limit=8,
            distance_penalty=0.0,
            seconds_per_token=speed,
        )
        for name, free, speed in (
            ('fast', 4, 0.01),
            ('other', 4, 0.01),
            ('slow', 6, 0.05),
        )
    ]
    assert placement.choose_candidate(candidates).endpoint_id != 'slow'


def test_a_cached_prefix_is_preferred_only_within_bounds():
    def candidate(name, free, has_prefix):
        return placement.Candidate(
            node_id='n',
            endpoint_id=name,
            free=free,
            limit=10,
            distance_penalty=0.0,
            has_prefix=has_prefix,
        )

    small_gap = [candidate('cached', 6, True), candidate('idle', 8, False)]
    assert placement.choose_candidate(small_gap).endpoint_id == 'cached'
    large_gap = [candidate('cached', 2, True), candidate('idle', 10, False)]
    assert placement.choose_candidate(large_gap).endpoint_id == 'idle'


def test_a_cold_endpoint_gets_only_what_it_bears_and_then_ramps():
    ramp = ramps.Ramp(limit=16, cold_limit=2, cold=True)
    for _ in range(5):
        ramp.on_completed()
        assert ramp.limit == 2
    ramp.update(limit=16, cold_limit=2, cold=False)
    assert ramp.limit == 2
    ramp.on_completed()
    assert ramp.limit == 3
    for _ in range(20):
        ramp.on_completed()
    assert ramp.limit == 16
    ramp.update(limit=16, cold_limit=2, cold=True)
    assert ramp.limit == 2


def test_low_demand_is_not_measured_as_low_capacity(env):
    """A low rate measured while demand was low once caused refusals."""

    async def main():
        meter = rates.RateMeter(env=env)
        for _ in range(10):
            meter.start()
            meter.add(1.0)
            meter.stop()
            await env.timer.sleep(10.0)
        meter.start()
        assert meter.rate() == 0.0
        for _ in range(20):
            await env.timer.sleep(0.1)
            meter.add(1.0)
        assert 9.0 < meter.rate() < 11.0

    virtualclock.run(main())


def test_retries_stay_within_a_tenth_of_the_requests(env):
    budget = retries.RetryBudget(env=env)
    granted = 0
    for _ in range(1000):
        budget.earn('s')
        granted += budget.spend('s')
    assert granted <= 1000 * 0.1 + retries.MAX_SAVED_RETRIES + 1


def test_a_node_that_restarts_again_and_again_earns_its_retries(env):
    granted = 0
    for _ in range(20):
        budget = retries.RetryBudget(env=env)
        for _ in range(50):
            budget.earn('s')
            granted += budget.spend('s')
    assert granted <= 20 * 50 * 0.1 + retries.MAX_SAVED_RETRIES


@hypothesis.given(data=strategies.data())
def test_duplicate_pieces_are_dropped_and_gaps_are_errors(data):
    """The text equals the joined words, whatever pieces are repeated."""
    words = [f'w{index} ' for index in range(12)]
    text = ''
    offset = 0
    while offset < len(words):
        start = data.draw(strategies.integers(0, len(words) - 1))
        size = data.draw(strategies.integers(1, 3))
        piece = messages.DispatchPiece(
            offset=start,
            tokens=len(words[start : start + size]),
            data=''.join(words[start : start + size]).encode(),
        )
        try:
            if reassembly.accept_piece(offset, piece):
                text += piece.data.decode()
                offset += piece.tokens
        except errors.ApricotError:
            assert start > offset or start + piece.tokens > offset
            break
    assert text == ''.join(words[:offset])


def test_a_gap_between_pieces_is_an_error():
    piece = messages.DispatchPiece(offset=5, tokens=1, data=b'x')
    with pytest.raises(errors.ApricotError):
        reassembly.accept_piece(3, piece)
