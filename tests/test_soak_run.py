"""A short seed of the soak, on real nodes."""

import asyncio

from soak import play

SEED = 5
STORM_S = 6.0


def test_a_short_storm_breaks_no_promise(tmp_path):
    played = asyncio.run(
        play.Play(
            seed=SEED, storm_s=STORM_S, folder=tmp_path, controls=3, entries=3
        ).run()
    )
    assert played.seen.attempts and played.seen.read_back
    assert {n: found for n, found in played.broken.items() if found} == {}
