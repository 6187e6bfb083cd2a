"""Bounds that all entries hold together, as workers see them."""

import pytest

from apricotthread.fakes import virtualclock
from tests import disturbances
from tests import retryworld

LENGTH_S = 30.0
WARM_UP_S = 16.0  # until the entries have their shares


def play(seed, disturb, *, rate=75.0, failing=0.7, cold_s=0.0, workers=12):
    """Play callers before workers, and disturb the nodes.

    `failing` is the share of attempts that fail once the entries are warm.
    """

    async def main():
        env = virtualclock.make_environment(seed)
        world = retryworld.RetryWorld(env=env, seed=seed, workers=workers)
        world.cold_s = cold_s
        try:
            await world.start_first()
            world.spawn(world.offer(rate=rate, seconds=WARM_UP_S + LENGTH_S))
            await env.timer.sleep(WARM_UP_S)
            world.failing = failing
            world.spawn(disturb(world))
            await env.timer.sleep(LENGTH_S)
        finally:
            await world.close()
        return world

    return virtualclock.run(main())


@pytest.mark.parametrize('disturb', disturbances.ALL)
def test_all_entries_together_never_repeat_beyond_the_bound(disturb):
    world = play(1, disturb)
    assert world.repeats() > 100
    assert world.worst_excess() <= 0


@pytest.mark.parametrize('disturb', disturbances.ALL)
def test_cold_endpoints_never_get_more_than_they_bear(disturb):
    world = play(1, disturb, rate=150.0, failing=0.0, cold_s=100.0, workers=4)
    # Callers press for what all entries together may send.
    assert retryworld.COLD_PER_S / 2 < world.most_in_a_cold_second()
    assert world.most_in_a_cold_second() <= retryworld.COLD_BOUND
