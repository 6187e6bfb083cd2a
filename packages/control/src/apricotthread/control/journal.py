"""An append-only file of records with checksums."""

import asyncio
import struct
import zlib

from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import folders

HEADER = struct.Struct('<II')  # length of the record, CRC-32 of the record


def encode_record(record: bytes) -> bytes:
    """Return the bytes of one record with its header."""
    return HEADER.pack(len(record), zlib.crc32(record)) + record


def decode_records(data: bytes, *, name: str) -> tuple[list[bytes], int]:
    """Return the complete records in the data and the offset after them.

    A last record that is cut short or has a wrong checksum was being
    written when the process died; it is left out. A wrong checksum in
    an earlier record is damage and raises ApricotError with code
    DAMAGED.
    """
    records = []
    offset = 0
    while offset < len(data):
        start = offset + HEADER.size
        if start > len(data):
            break
        length, checksum = HEADER.unpack_from(data, offset)
        record = data[start : start + length]
        if len(record) < length:
            break
        if zlib.crc32(record) != checksum:
            if start + length == len(data):
                break
            raise errors.ApricotError(
                code=errors.ErrorCode.DAMAGED,
                message=f'{name}: wrong checksum at offset {offset}; restore '
                'the data folder, or empty it and admit the node again',
            )
        records.append(record)
        offset = start + length
    return records, offset


class _Batch:
    """Records that are written and synced together."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.is_written = False
        self.task: asyncio.Task | None = None


class Journal:
    """A journal file; writers that wait at the same time share a sync."""

    def __init__(self, *, folder: folders.Folder, name: str) -> None:
        self._folder = folder
        self._name = name
        self._offset = 0
        self._open_batch = _Batch()
        self._lock = asyncio.Lock()
        self.has_failed = False

    @property
    def size(self) -> int:
        """The size of the journal on disk, in bytes."""
        return self._offset

    async def load(self) -> list[bytes]:
        """Read all records; a torn last record is cut off and logged."""
        data = await self._folder.read(self._name) or b''
        records, self._offset = decode_records(data, name=self._name)
        if self._offset < len(data):
            logs.log_event(
                'torn_record_cut_off',
                file=self._name,
                offset=self._offset,
                lost_bytes=len(data) - self._offset,
            )
        return records

    async def append(self, records: list[bytes]) -> None:
        """Append records and return once they are synced.

        Raises ApricotError with code STORAGE when the disk fails. Then
        no record of the batch counts as written, and every append fails
        until the journal has been rewritten, so that it never has a gap.
        """
        batch = self._open_batch
        batch.records.extend(encode_record(record) for record in records)
        if batch.task is None:
            batch.task = asyncio.create_task(self._write(batch))
        await asyncio.shield(batch.task)
        if not batch.is_written:
            raise errors.ApricotError(
                code=errors.ErrorCode.STORAGE,
                message=f'{self._name}: the batch was not written',
            )

    async def _write(self, batch: _Batch) -> None:
        """Write a batch; it accepts records until the lock is free."""
        async with self._lock:
            self._open_batch = _Batch()
            await self._write_locked(batch)

    async def _write_locked(self, batch: _Batch) -> None:
        if self.has_failed:
            return
        data = b''.join(batch.records)
        try:
            await self._folder.write_at(self._name, self._offset, data)
        except OSError as error:
            self.has_failed = True
            logs.log_event('disk_failed', file=self._name, reason=str(error))
            return
        self._offset += len(data)
        batch.is_written = True

    async def rewrite(self, records: list[bytes]) -> None:
        """Replace all records at once; raises OSError if the disk fails.

        Then the old or the new file may be in place, also later, so every
        append fails until a rewrite has succeeded.
        """
        async with self._lock:
            data = b''.join(encode_record(record) for record in records)
            try:
                await self._folder.replace(self._name, data)
            except OSError:
                self.has_failed = True
                raise
            self._offset = len(data)
            self.has_failed = False
