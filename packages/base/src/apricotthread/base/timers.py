"""The timer service: the only source of time for every part."""

import asyncio
import collections.abc
import time


class TimerService:
    """Gives the time, sleeps, bounds waits and wakes subscribers.

    All durations are seconds. The monotonic clock is that of the running
    event loop, so a test that drives the loop's clock drives every part.
    """

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_time(self) -> float:
        """Return the seconds since the epoch, for records only."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> asyncio.Timeout:
        """Return a context that raises TimeoutError after the seconds."""
        return asyncio.timeout(max(0.0, seconds))

    async def subscribe(
        self, *, period_s: float
    ) -> collections.abc.AsyncIterator[float]:
        """Yield the monotonic time once each period, the first at once."""
        while True:
            yield self.now()
            await self.sleep(period_s)


class BootTimerService(TimerService):
    """A timer service whose clock goes on while the VM is suspended.

    The loop's clock stands still in a suspension, so that a leader would
    trust its lease, and everybody old reports, after waking.
    """

    def now(self) -> float:
        """Return the seconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
