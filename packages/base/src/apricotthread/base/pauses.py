"""Notices pauses of the process, after which it reads what has become old.

While a process stands still, as when its VM is frozen, what others send it
waits in its buffers. Their senders may have given it up meanwhile, and have
sent something else elsewhere.
"""

import math

from apricotthread.base import environment
from apricotthread.base import logs

TICK_S = 0.05
# Callers wait at least this long for an answer.
MIN_PAUSE_S = 0.5
# Senders repeat unacknowledged packets at intervals that double, so those of
# a pause may come as long after it as it lasted.
MIN_OLD_S = 1.0
MAX_OLD_S = 10.0


class PauseDetector:
    """Records the last pause of the process."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._ticked_at = math.inf
        self._old_until = -math.inf

    async def run(self) -> None:
        """Watch the clock until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=TICK_S):
            self._tick()

    def _tick(self) -> None:
        now = self._env.timer.now()
        pause_s = now - self._ticked_at - TICK_S
        self._ticked_at = now
        if pause_s < MIN_PAUSE_S:
            return
        self._old_until = now + max(MIN_OLD_S, min(pause_s, MAX_OLD_S))
        self._env.metrics.count('pauses')
        logs.log_event('process_paused', pause_s=round(pause_s, 3))

    def may_be_old(self) -> bool:
        """Whether what has just been read may have waited in a pause."""
        self._tick()
        return self._env.timer.now() < self._old_until
