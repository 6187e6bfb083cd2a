"""A short seed of the soak, on real nodes."""

import asyncio

from soak import runner

SEED = 5
STORM_S = 6.0


def test_a_short_storm_breaks_no_promise(tmp_path):
    played = asyncio.run(
        runner.SoakRunner(
            seed=SEED, storm_s=STORM_S, folder=tmp_path, controls=3, entries=3
        ).run()
    )
    assert played.observations.attempts and played.observations.read_back
    assert {
        n: found for n, found in played.violations_by_promise.items() if found
    } == {}
