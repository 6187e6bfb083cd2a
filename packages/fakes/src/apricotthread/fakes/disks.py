"""A fake disk that crashes, fills up, stalls or tears a write."""

import enum
import errno

from apricotthread.base import timers
from apricotthread.control import folders

SYNC_S = 0.001


class CrashPoint(enum.Enum):
    """When in a synced write the process dies."""

    BEFORE = 'before anything is written'
    TORN = 'after half of it is on disk'
    AFTER = 'after all is on disk, before the writer learns it'


class ProcessDied(Exception):
    """The process died at a sync point."""


class FakeDisk:
    """Files that survive the process; it is also the node's folder."""

    def __init__(self, *, timer: timers.TimerService) -> None:
        self._timer = timer
        self.files: dict[str, bytes] = {}
        self.is_full = False
        self.is_stalled = False
        self.sync_count = 0
        self.crash_at: int | None = None
        self.crash_point = CrashPoint.BEFORE
        self.has_crashed = False
        self.crash_count = 0

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None when it does not exist."""
        return self.files.get(name)

    async def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Cut the file off at the offset, append the data and sync."""
        before = self.files.get(name, b'')[:offset]
        torn = before + data[: len(data) // 2]
        await self._sync(name, torn, before + data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file, so that a crash leaves old or new."""
        await self._sync(name, self.files.get(name), data)

    async def _sync(self, name: str, torn: bytes | None, whole: bytes) -> None:
        if self.has_crashed:
            raise ProcessDied
        if self.is_stalled:
            await self._timer.sleep(folders.DISK_TIMEOUT_S)
            raise OSError(errno.ETIMEDOUT, 'the disk has stalled')
        if self.is_full:
            raise OSError(errno.ENOSPC, 'no space left on device')
        self.sync_count += 1
        crashes = self.sync_count == self.crash_at
        if crashes and self.crash_point is CrashPoint.BEFORE:
            self._die()
        if crashes and self.crash_point is CrashPoint.TORN:
            if torn is not None:
                self.files[name] = torn
            self._die()
        await self._timer.sleep(SYNC_S)
        if self.has_crashed:
            raise ProcessDied
        self.files[name] = whole
        if crashes:
            self._die()

    def _die(self) -> None:
        self.has_crashed = True
        self.crash_count += 1
        raise ProcessDied

    def reboot(self) -> None:
        """Let a new process use the disk."""
        self.has_crashed = False
        self.crash_at = None

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.files.clear()
