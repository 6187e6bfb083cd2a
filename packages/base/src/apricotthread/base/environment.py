"""The clock, randomness and metrics that components get as a parameter.

They are passed instead of being globals, so that tests can replace them.
"""

import dataclasses
import random
import uuid

from apricotthread.base import metrics
from apricotthread.base import timers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """The clock, randomness and metrics of one process."""

    timer: timers.TimerService
    random: random.Random
    metrics: metrics.Metrics

    def new_id(self) -> str:
        """Return a new 128-bit identifier as 32 hexadecimal digits."""
        return uuid.UUID(int=self.random.getrandbits(128), version=4).hex

    def jitter(self, seconds: float) -> float:
        """Return a random duration from half of `seconds` up to `seconds`."""
        return seconds * (0.5 + self.random.random() / 2)


def make_environment() -> Environment:
    """Return the environment of a real process."""
    return Environment(
        timer=timers.BootTimerService(),
        random=random.SystemRandom(),
        metrics=metrics.Metrics(),
    )
