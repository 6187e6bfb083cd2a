"""Workers that leave, are busy or refuse, as they see requests of all entries.

Their announcements say that all is well.
"""

import dataclasses
import types

import msgspec
import pytest

from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock
from apricotthread.fleet import updates
from apricotthread.fleet import view
from apricotthread.gateway import requesttrace
from apricotthread.gateway import standings
from tests import disturbances
from tests import retryworld
from tests import standingworld
from tests import test_forwarder

WARM_UP_S = 4.0
LENGTH_S = 14.0
END_S = WARM_UP_S + LENGTH_S
# By then the entries have shares of what all may do together.
SHARES_S = 15.0
TWO = ('w0', 'w3')
FIRST_EVENT, SECOND_EVENT = b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n'
ALL = tuple(f'w{number}' for number in range(6))


def play(*parts, seed=1, rate=60.0, warm_up_s=WARM_UP_S):
    """Play callers before six workers; return the world.

    The parts run side by side after a while in which all is well.
    """

    async def main():
        env = virtualclock.make_environment(seed)
        world = standingworld.StandingWorld(
            env=env, seed=seed, workers=6, entries=6
        )
        try:
            await world.start_first()
            world.began_at = env.timer.now()
            world.spawn(world.offer(rate=rate, seconds=warm_up_s + LENGTH_S))
            await env.timer.sleep(warm_up_s)
            for part in parts:
                world.spawn(part(world))
            await env.timer.sleep(LENGTH_S)
        finally:
            await world.close()
        return world

    return virtualclock.run(main())


def leave(*addresses):
    """Return a part of a play in which workers leave."""

    async def run(world):
        world.leaving.update(addresses)

    return run


def refuse(*addresses, named=None, seconds=None, rests_s=0.0):
    """Return a part in which workers refuse, naming a time or none.

    They end after `seconds`, and begin again after a rest, if they have one.
    """

    async def run(world):
        while True:
            world.refusing.update(dict.fromkeys(addresses, named))
            await world.env.timer.sleep(seconds or END_S)
            world.refusing.clear()
            world.ended_at = world.env.timer.now()
            await world.env.timer.sleep(rests_s or END_S)

    return run


async def lose_control(world):
    """End all control nodes for good."""
    await world.kill(*world.control_ids)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('others', [(), (lose_control,)])
def test_a_worker_that_says_in_answers_that_it_leaves_gets_nothing_more(
    seed, others
):
    """Guards against requests to workers that exit under them."""
    world = play(*others, leave(*TWO), seed=seed)
    assert set(world.told_entries()) == set(TWO)
    assert world.late_arrivals == []
    assert world.served_share() >= 0.99


def test_all_entries_learn_from_one_that_a_worker_leaves():
    async def move_callers(world):
        world.callers_at = world.entry_ids[:1]
        await world.env.timer.sleep(3.0)
        world.callers_at = world.entry_ids[1:]

    world = play(leave(*TWO), move_callers)
    assert world.told_entries() == dict.fromkeys(TWO, 1)
    moved_at = world.began_at + WARM_UP_S + 3.0
    # Requests of the first entry may be under way.
    assert world.count_arrivals(TWO, moved_at + 0.1) == 0


@pytest.mark.parametrize('disturb', disturbances.ALL)
def test_no_disturbance_sends_requests_to_workers_that_leave(disturb):
    world = play(leave(*TWO), disturb)
    assert world.times_told
    assert world.late_arrivals == []


def test_a_worker_that_leaves_and_only_refuses_gets_nothing_more():
    async def begin(world):
        world.refusals_only = True

    world = play(begin, leave(*TWO), refuse(*TWO))
    assert set(world.told_entries()) == set(TWO)
    assert world.late_arrivals == []
    assert world.served_share() >= 0.99


def test_with_all_workers_leaving_callers_are_refused_at_once():
    world = play(leave(*ALL))
    assert world.late_arrivals == []
    assert set(world.statuses) == {200, 503}
    assert max(world.refused_after_s) < 0.11
    assert min(world.retry_after_s) > 0


def test_another_incarnation_at_the_address_is_used_at_once():
    """Guards against a fresh worker that pays for an earlier one."""
    restarted_after_s = 5.0

    async def restart(world):
        await world.env.timer.sleep(restarted_after_s)
        world.restart_worker(TWO[0])
        world.restarted_at = world.env.timer.now()

    world = play(leave(*TWO), refuse(*TWO, named='9', seconds=4.9), restart)
    since = world.restarted_at
    # An announcement, and the news of it.
    assert world.count_arrivals(TWO[:1], since, since + 1.5) > 5
    assert world.late_arrivals == []


@pytest.mark.parametrize('seed', [1, 2])
def test_workers_that_refuse_at_once_cost_callers_of_others_nothing(seed):
    """Guards against a worker that draws the requests that it refuses.

    The entries have their shares of the retry budget.
    """
    world = play(refuse(*TWO), seed=seed, warm_up_s=SHARES_S)
    assert world.served_share() >= 0.99
    refused = world.count_arrivals(TWO, world.began_at + SHARES_S + 2.0)
    # Each entry asks each of them about once in its longest hold.
    assert refused <= 2 * 6 * (LENGTH_S - 2.0) / 0.8


@pytest.mark.parametrize('named', ['3', '2.5', '0.7'])
@pytest.mark.parametrize('seed', [1, 2])
def test_a_busy_worker_gets_nothing_in_its_time_and_costs_nobody(seed, named):
    """Guards against requests that a worker has said that it refuses."""
    world = play(refuse(*TWO, named=named), seed=seed)
    assert world.most_in_a_busy_time() <= standingworld.MAX_IN_BUSY_TIME
    assert world.served_share() >= 0.99


@pytest.mark.parametrize('disturb', disturbances.ALL)
def test_no_disturbance_sends_requests_to_busy_workers(disturb):
    world = play(refuse(*TWO, named='3', seconds=4.0, rests_s=1.0), disturb)
    assert world.most_in_a_busy_time() <= standingworld.MAX_IN_BUSY_TIME


def test_a_shorter_time_does_not_end_a_longer_one():
    async def shorten(world):
        await world.env.timer.sleep(0.01)
        world.refusing.update(dict.fromkeys(TWO, '0.1'))

    world = play(refuse(*TWO, named='6'), shorten, rate=240.0)
    assert world.most_in_a_busy_time() <= standingworld.MAX_IN_BUSY_TIME


def test_busy_workers_are_used_again_within_a_second_of_their_time():
    world = play(refuse(*ALL, named='2', seconds=0.5))
    ends_at = world.ended_at + 2.0
    assert world.count_arrivals(ALL, ends_at, ends_at + 1.0) > 20
    late = world.count_arrivals(ALL, ends_at + 1.0, ends_at + 3.0)
    # All callers are served again.
    assert late > 0.9 * 2.0 * 60.0


@pytest.mark.parametrize('named', [None, '3'])
def test_with_all_workers_refusing_callers_are_refused_at_once(named):
    """Guards against attempts that learn again what is known."""
    world = play(refuse(*ALL, named=named))
    refused = world.statuses.count(503)
    assert refused > 600
    assert set(world.statuses) == {200, 503}
    assert max(world.refused_after_s) < 0.16
    assert min(world.retry_after_s) > 0
    since = world.began_at + WARM_UP_S
    assert world.count_arrivals(ALL, since) < 0.7 * refused


@pytest.mark.parametrize(
    'named',
    ['', '0', '-3', 'nan', '1e400', '9' * 400, '2026-12-05', '1,2', '7200'],
)
def test_an_odd_time_counts_as_a_refusal_without_one(named):
    world = play(refuse(*TWO, named=named, seconds=4.0))
    assert world.served_share() >= 0.99
    # They are used again soon after they cease to refuse.
    since = world.ended_at + 2.0
    assert world.count_arrivals(TWO, since, since + 3.0) > 15


class HeldUpPool(test_forwarder.Pool):
    """A pool where a connection takes a while, in which something happens."""

    def __init__(self, *, meanwhile):
        super().__init__(dead=())
        self._meanwhile = meanwhile

    async def acquire(self, address, *, must_be_fresh):
        """Return a connection after a while."""
        self._meanwhile(address)
        return await super().acquire(address, must_be_fresh=must_be_fresh)


def test_a_request_held_up_is_not_sent_to_one_that_left_meanwhile(env):
    """Guards against a question that is asked while placing only."""
    left = set()

    async def main():
        pool = HeldUpPool(meanwhile=lambda address: left.update({'w-1'}))
        forward = test_forwarder.make_forwarder(env, pool, ['w-1', 'w-2'])
        forward._fleet.takes_requests = lambda replica: (
            replica.endpoint_id not in left
        )
        # The stub's workers answer with an error.
        with pytest.raises(errors.ApricotError):
            await forward.forward(
                test_forwarder.make_request(env),
                test_forwarder.Sink(),
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert pool.ran_at_addresses == ['w-2']

    virtualclock.run(main())


@pytest.mark.parametrize(
    ('parts', 'is_stream'),
    [
        ([FIRST_EVENT, None, SECOND_EVENT, b''], True),
        ([None, b''], False),
    ],
    ids=['begun stream', 'read that may have run'],
)
def test_a_request_that_may_have_run_waits_for_an_endpoint_that_is_held(
    env, parts, is_stream
):
    """Guards against streams that are cut as the next endpoint refuses."""
    route = msgspec.structs.replace(
        test_forwarder.ROUTE, is_stream=is_stream, timeout_s=5.0
    )

    class BreakingPool(test_forwarder.StreamPool):
        async def acquire(self, address, *, must_be_fresh):
            # By then the other endpoint has refused a request.
            hold('w-2' if address == 'w-1' else 'w-1')
            return await super().acquire(address, must_be_fresh=must_be_fresh)

    def hold(address):
        (other,) = (
            replica
            for replica in forward._fleet.replicas('reads')
            if replica.endpoint_id == address
        )
        if not pool.ran_at_addresses:
            forward._standings.observe(
                other,
                503,
                test_forwarder.make_metadata(not_run=True),
                request_id='r-0',
                sent_at=env.timer.now(),
            )

    pool = BreakingPool(parts)
    forward = test_forwarder.make_forwarder(env, pool, ['w-1', 'w-2'])

    async def main():
        sink = test_forwarder.Sink()
        request = test_forwarder.make_request(env, route, time_left_s=5.0)
        # It came long ago, in terms of the time of a new request.
        await env.timer.sleep(0.2)
        await forward.forward(
            request,
            sink,
            requesttrace.RequestTrace(env=env, request_id='r-1'),
        )
        assert sink.has_ended
        assert len(set(pool.ran_at_addresses)) == 2

    virtualclock.run(main())


@pytest.mark.parametrize(
    ('status', 'may_send'), [(421, True), (429, False), (503, False)]
)
def test_a_misdirected_request_holds_nothing_back(env, status, may_send):
    """Guards against sound workers left out for an order that came late."""
    forward = test_forwarder.make_forwarder(
        env, test_forwarder.Pool(dead=[]), ['w-1']
    )
    (replica,) = forward._fleet.replicas('reads')

    async def main():
        forward._standings.observe(
            replica,
            status,
            test_forwarder.make_metadata(not_run=True, endpoint_id='w-1'),
            request_id='r-1',
            sent_at=env.timer.now(),
        )
        assert forward._standings.find(replica).may_send == may_send

    virtualclock.run(main())


def test_a_refusal_explains_which_endpoints_are_held_back(env):
    """Guards against a refusal whose cause no log line names."""
    endpoint_ids = [f'w-{number}' for number in range(6)]
    forward = test_forwarder.make_forwarder(
        env, test_forwarder.Pool(dead=[]), endpoint_ids
    )
    decisions = []

    async def main():
        for replica in forward._fleet.replicas('reads'):
            forward._standings.observe(
                replica,
                503,
                dataclasses.replace(
                    test_forwarder.make_metadata(not_run=True), busy_s=2.0
                ),
                request_id='r-1',
                sent_at=env.timer.now(),
            )
        with pytest.raises(errors.ApricotError) as caught:
            await forward.forward(
                test_forwarder.make_request(env),
                test_forwarder.Sink(),
                types.SimpleNamespace(
                    add=lambda event, **fields: decisions.append(fields)
                ),
            )
        assert caught.value.ran is errors.Ran.NO

    virtualclock.run(main())
    held = decisions[-1]['held'].split('; ')
    assert len(held) == standings.MAX_DESCRIBED
    assert held[0].startswith('w-0: the endpoint is busy, 2.')


def test_an_endpoint_that_leaves_stays_so_whatever_it_announces(env):
    """Guards against heartbeats that take back what answers said."""

    def make_update(born_ms, sequence):
        return updates.FleetUpdate(
            complete=False,
            applied_index=sequence,
            table_version=1,
            table=routetables.pack_table(retryworld.TABLE),
            endpoints=(
                updates.EndpointNews(
                    heard=directory.Heard(
                        announcement=directory.Announcement(
                            endpoint_id='w1',
                            service='models',
                            address='w1',
                            data_centre='a',
                            born_ms=born_ms,
                            sequence=sequence,
                            slots=8,
                        ),
                        age_s=0.0,
                    ),
                    lost=False,
                ),
            ),
        )

    async def main():
        fleet = view.FleetView(env=env)
        fleet.connect('c1')
        fleet.apply_update('c1', make_update(1, 1))
        assert len(fleet.replicas('models')) == 1
        # A late answer of an earlier incarnation marks nobody else.
        assert not fleet.note_leaving('w1', 0)
        assert fleet.note_leaving('w1', 1)
        assert len(fleet.replicas('models')) == 0
        fleet.apply_update('c1', make_update(1, 2))
        assert len(fleet.replicas('models')) == 0
        fleet.apply_update('c1', make_update(2, 3))
        assert len(fleet.replicas('models')) == 1

    virtualclock.run(main())
