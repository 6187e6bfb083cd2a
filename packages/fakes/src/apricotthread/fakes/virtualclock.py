"""An event loop on a virtual clock that jumps to the next timer.

Tests that wait for seconds or hours run in a fraction of the time.
"""

import asyncio
import collections.abc
import random
import selectors
import typing

from apricotthread.base import environment
from apricotthread.base import metrics
from apricotthread.base import timers

WALL_START_S = 1_700_000_000.0
MAX_VIRTUAL_S = 100_000.0

T = typing.TypeVar('T')


class _VirtualClockSelector(selectors.SelectSelector):
    """Never blocks; advances the clock by the requested timeout instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None or self.now > MAX_VIRTUAL_S:
            raise RuntimeError(
                'test has hung: every task waits for an event that never comes'
            )
        self.now += max(0.0, timeout)
        return []


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock; without real input or output."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualClockSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def pause_process(self, seconds: float) -> None:
        """Let time pass without running anything."""
        self._virtual_selector.now += seconds


class VirtualTimer(timers.TimerService):
    """The timer service on a virtual clock."""

    def wall_time(self) -> float:
        """Return the wall time, which advances with the virtual clock."""
        return WALL_START_S + self.now()


def make_environment(seed: int = 1) -> environment.Environment:
    """Return an environment with a virtual clock and seeded randomness."""
    return environment.Environment(
        timer=VirtualTimer(),
        random=random.Random(seed),
        metrics=metrics.Metrics(),
    )


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to its end on a new loop with a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(main)
