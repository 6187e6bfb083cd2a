"""A fake disk that crashes its node, fills up, stalls or tears a write."""

import asyncio
import collections.abc
import dataclasses
import enum
import errno
import random

from apricotthread.base import timers
from apricotthread.control import folders

SYNC_S = 0.001
STALL_POLL_S = 0.01


class CrashPoint(enum.Enum):
    """At which point of a synced write the process dies."""

    BEFORE = 'before anything is written'
    TORN = 'after half of it is on disk'
    AFTER = 'after all is on disk, before the writer learns it'


class ProcessDied(Exception):
    """The process died during a synced write."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Write:
    """A write that is not synced yet, and what may be left of it."""

    name: str
    content: bytes
    make_torn_content: collections.abc.Callable[[int], bytes | None]
    size: int


class FakeDisk:
    """Files that survive the process; serves as the node's data folder.

    A test sets `crash_at` to the number of the sync, counted in
    `sync_count`, at which the process dies, and `crash_point` to the point
    within that write. Like a real disk, it carries out one write at a time,
    and one that has stalled is carried out later, even if its writer has
    given up.
    """

    def __init__(self, *, timer: timers.TimerService) -> None:
        self._timer = timer
        self.files: dict[str, bytes] = {}
        self.is_full = False
        self.is_stalled = False
        self.sync_s = SYNC_S
        self.sync_count = 0
        self.crash_at: int | None = None
        self.crash_point = CrashPoint.BEFORE
        self.has_crashed = False
        self.crash_count = 0
        self._boot_count = 0
        self._queue = asyncio.Lock()
        self._unsynced: _Write | None = None
        self._tasks: set[asyncio.Task] = set()

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None when it does not exist."""
        return self.files.get(name)

    async def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Cut the file off at the offset, append the data and sync."""

        def make_write() -> _Write:
            # Like a real file, it is filled with zeros up to the offset.
            kept = self.files.get(name, b'')[:offset].ljust(offset, b'\0')
            return _Write(
                name=name,
                content=kept + data,
                make_torn_content=lambda size: kept + data[:size],
                size=len(data),
            )

        await self._run(make_write)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves the old or the new one."""

        def make_write() -> _Write:
            return _Write(
                name=name,
                content=data,
                make_torn_content=lambda size: self.files.get(name),
                size=len(data),
            )

        await self._run(make_write)

    async def _run(
        self, make_write: collections.abc.Callable[[], _Write]
    ) -> None:
        """Write; give up on a stalled write, which the disk finishes later."""
        if not self.is_stalled:
            await self._sync(make_write, self._boot_count)
            return
        task = asyncio.create_task(self._sync(make_write, self._boot_count))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        try:
            async with self._timer.timeout(folders.DISK_TIMEOUT_S):
                await asyncio.shield(task)
        except TimeoutError:
            raise OSError(errno.ETIMEDOUT, 'the disk has stalled') from None

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _sync(
        self,
        make_write: collections.abc.Callable[[], _Write],
        boot_count: int,
    ) -> None:
        async with self._queue:
            while self.is_stalled and boot_count == self._boot_count:
                await self._timer.sleep(STALL_POLL_S)
            if self.has_crashed or boot_count != self._boot_count:
                raise ProcessDied
            if self.is_full:
                raise OSError(errno.ENOSPC, 'no space left on device')
            self.sync_count += 1
            is_crash_due = self.sync_count == self.crash_at
            if is_crash_due and self.crash_point is CrashPoint.BEFORE:
                self._crash()
            write = make_write()
            if is_crash_due and self.crash_point is CrashPoint.TORN:
                torn_content = write.make_torn_content(write.size // 2)
                self._keep(write.name, torn_content)
                self._crash()
            self._unsynced = write
            await self._timer.sleep(self.sync_s)
            if self.has_crashed or boot_count != self._boot_count:
                raise ProcessDied
            self._unsynced = None
            self.files[write.name] = write.content
            if is_crash_due:
                self._crash()

    def _keep(self, name: str, content: bytes | None) -> None:
        if content is not None:
            self.files[name] = content

    def _crash(self) -> None:
        self.has_crashed = True
        self.crash_count += 1
        raise ProcessDied

    def lose_power(self, chance: random.Random) -> None:
        """Keep, lose or tear the write that is not synced, by chance."""
        self.has_crashed = True
        write = self._unsynced
        self._unsynced = None
        if write is None:
            return
        match chance.choice(list(CrashPoint)):
            case CrashPoint.TORN:
                size = chance.randrange(write.size + 1)
                self._keep(write.name, write.make_torn_content(size))
            case CrashPoint.AFTER:
                self.files[write.name] = write.content

    def reboot(self) -> None:
        """Make the disk usable by a new process after a crash."""
        self.has_crashed = False
        self.crash_at = None
        self._boot_count += 1
        self._unsynced = None

    def wipe(self) -> None:
        """Remove all files, as when the disk is replaced by an empty one."""
        self.files.clear()
        self._unsynced = None
