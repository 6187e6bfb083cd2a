"""The data folder: small files that are durable once synced."""

import asyncio
import concurrent.futures
import errno
import os
import pathlib
import typing

from apricotthread.base import timers

TEMPORARY_SUFFIX = '.new'
DISK_TIMEOUT_S = 1.5
# Files are read as a node starts, when no other node waits for it yet.
READ_TIMEOUT_S = 30.0


class Folder(typing.Protocol):
    """Durable files of one node; every write is synced on return."""

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None when it does not exist."""

    async def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Truncate the file to the offset, append the data and sync.

        Raises OSError when the disk fails, is full, or has stalled for
        DISK_TIMEOUT_S.
        """

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file; a crash leaves the old or the new one."""


class NoFolder:
    """The folder of a node without a disk: nothing is stored."""

    async def read(self, name: str) -> bytes | None:
        """Return None, because no file exists."""
        return None

    async def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Store nothing."""

    async def replace(self, name: str, data: bytes) -> None:
        """Store nothing."""


class DiskFolder:
    """A folder on a local disk, accessed by one dedicated thread."""

    def __init__(self, *, path: str, timer: timers.TimerService) -> None:
        self._timer = timer
        self._path = pathlib.Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix='disk'
        )

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None when it does not exist.

        Raises OSError when the disk fails, or has stalled for READ_TIMEOUT_S.
        """
        return await self._run(self._read, name, timeout_s=READ_TIMEOUT_S)

    async def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Truncate the file to the offset, append the data and sync."""
        await self._run(self._write_at, name, offset, data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file; a crash leaves the old or the new one."""
        await self._run(self._replace, name, data)

    async def _run(self, function, *arguments, timeout_s=DISK_TIMEOUT_S):
        """Run the function in the disk's thread, in the order of calls.

        A stalled call continues in the thread and later calls wait for
        it, so the files never have two writers at once.
        """
        loop = asyncio.get_running_loop()
        try:
            async with self._timer.timeout(timeout_s):
                return await loop.run_in_executor(
                    self._executor, function, *arguments
                )
        except TimeoutError:
            raise OSError(errno.ETIMEDOUT, 'the disk has stalled') from None

    def _read(self, name: str) -> bytes | None:
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def _write_at(self, name: str, offset: int, data: bytes) -> None:
        path = self._path / name
        is_new = not path.exists()
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(descriptor).st_size != offset:
                os.ftruncate(descriptor, offset)
            os.lseek(descriptor, offset, os.SEEK_SET)
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if is_new:
            self._sync_folder()

    def _replace(self, name: str, data: bytes) -> None:
        temporary_path = self._path / (name + TEMPORARY_SUFFIX)
        descriptor = os.open(
            temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary_path, self._path / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all data, even if each call writes only a part of it."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def open_folder(path: str, *, timer: timers.TimerService) -> Folder:
    """Return the folder at the path, a NoFolder for an empty path."""
    return DiskFolder(path=path, timer=timer) if path else NoFolder()
