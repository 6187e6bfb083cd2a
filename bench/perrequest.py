"""Measures the processor time of a request in an entry, without sockets.

Requests go through the whole forwarder of an entry on a virtual clock. Two
lengths of the same play are compared, so that the start does not count.
"""

import gc
import statistics
import time

from apricotthread.fakes import virtualclock
from bench import rig
from tests import retryworld

SEED = 1
RATE = 400.0
WARM_UP_S = 6.0
LENGTHS_S = (4.0, 24.0)
ROUNDS = 7
WORKERS = (6, 60, 240)


async def play(workers: int, length_s: float) -> tuple[int, float]:
    """Return how many requests were answered, and the processor time."""
    env = virtualclock.make_environment(SEED)
    world = retryworld.RetryWorld(
        env=env, seed=SEED, workers=workers, entries=1
    )
    try:
        await world.start_first()
        await env.timer.sleep(WARM_UP_S)
        started = time.process_time()
        await world.offer(rate=RATE, seconds=length_s)
        return len(world.requested_at), time.process_time() - started
    finally:
        await world.close()


def measure(workers: int) -> list[float]:
    """Return the processor time of a request in us, of each round."""
    times_us = []
    for _ in range(ROUNDS):
        gc.collect()
        (fewer, short_s), (more, long_s) = (
            virtualclock.run(play(workers, length_s)) for length_s in LENGTHS_S
        )
        times_us.append((long_s - short_s) / (more - fewer) * 1e6)
    return times_us


def main() -> None:
    """Measure before few and before many workers, and write the results."""
    rows = []
    for workers in WORKERS:
        times_us = measure(workers)
        rows.append(
            {
                'workers': workers,
                'median us a request': round(statistics.median(times_us), 1),
                'least': round(min(times_us), 1),
                'most': round(max(times_us), 1),
            }
        )
    rig.write_rows('perrequest', rows)


if __name__ == '__main__':
    main()
