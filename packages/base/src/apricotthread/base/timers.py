"""The timer service, from which all components take the time."""

import asyncio
import collections.abc
import time


class TimerService:
    """Provides clocks, sleeps, timeouts and periodic wake-ups.

    All durations are in seconds. The monotonic clock is the clock of the
    running event loop, so a test that controls the loop's clock controls
    all components.
    """

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_time(self) -> float:
        """Return the Unix time in seconds, for use in records only."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> asyncio.Timeout:
        """Return a context manager that raises TimeoutError after a time."""
        return asyncio.timeout(max(0.0, seconds))

    async def subscribe(
        self, *, period_s: float
    ) -> collections.abc.AsyncIterator[float]:
        """Yield the monotonic time immediately and then once each period."""
        while True:
            yield self.now()
            await self.sleep(period_s)


class BootTimerService(TimerService):
    """A timer service whose clock keeps running while the VM is suspended.

    The event loop's clock stops during a suspension. After it, a leader
    would still trust a lease that has expired, and every component would
    trust reports that are too old.
    """

    def now(self) -> float:
        """Return the time since the VM was booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
