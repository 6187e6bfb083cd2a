"""Tests that a short run of the soak test on real nodes passes."""

import asyncio

import pytest

from soak import play

# The second is long enough for prompts that crash workers.
STORM_S_BY_SEED = {5: 6.0, 6: 11.0}


@pytest.mark.parametrize('seed', STORM_S_BY_SEED)
def test_a_short_storm_breaks_no_promise(children, tmp_path, seed):
    played = asyncio.run(
        play.SoakRunner(
            children=children,
            seed=seed,
            storm_s=STORM_S_BY_SEED[seed],
            folder=tmp_path,
            controls=3,
            entries=3,
        ).run()
    )
    assert played.observations.attempts and played.observations.read_back
    assert bool(played.observations.guilty_runs) == (seed == 6)
    assert {
        promise: violations
        for promise, violations in played.violations_by_promise.items()
        if violations
    } == {}
