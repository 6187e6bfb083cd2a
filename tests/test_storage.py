"""The data folder: torn last records are cut off, damage is reported."""

import asyncio
import time

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.base import timers
from apricotthread.control import folders
from apricotthread.control import journal
from apricotthread.control import logstore
from apricotthread.fakes import disks
from apricotthread.fakes import virtualclock
from apricotthread.nodes import messages

RECORDS = strategies.lists(strategies.binary(max_size=30), min_size=1)


@hypothesis.given(records=RECORDS, cut=strategies.integers(0, 200))
def test_a_torn_tail_loses_only_the_last_record(records, cut):
    whole = b''.join(journal.encode_record(record) for record in records)
    last = len(journal.encode_record(records[-1]))
    torn = whole[: len(whole) - min(cut, last)]
    kept, _ = journal.decode_records(torn, name='j')
    assert kept == (records if cut == 0 else records[:-1])


@hypothesis.given(records=RECORDS, place=strategies.integers(0, 10**6))
def test_a_changed_byte_before_the_last_record_is_reported(records, place):
    first = journal.encode_record(b'first record')
    rest = b''.join(journal.encode_record(record) for record in records)
    position = journal.HEADER.size + place % 12
    damaged = bytearray(first + rest)
    damaged[position] ^= 0xFF
    with pytest.raises(errors.ApricotError) as caught:
        journal.decode_records(bytes(damaged), name='journal.log')
    assert caught.value.code is errors.ErrorCode.DAMAGED
    assert 'journal.log' in caught.value.message
    assert 'offset 0' in caught.value.message


def test_concurrent_writers_share_one_sync(env):
    async def main():
        disk = disks.FakeDisk(timer=env.timer)
        records = journal.Journal(folder=disk, name='j')
        await asyncio.gather(
            *(records.append([bytes([n])]) for n in range(50))
        )
        assert disk.sync_count <= 2
        reread = journal.Journal(folder=disk, name='j')
        assert await reread.load() == [bytes([n]) for n in range(50)]

    virtualclock.run(main())


def test_a_write_in_progress_is_not_treated_as_failed(env):
    """Guards against treating a write in progress as a failed one.

    A second writer then truncated the entry that was about to be synced.
    """

    async def main():
        disk = disks.FakeDisk(timer=env.timer)
        store = logstore.LogStore(folder=disk)
        await store.load()
        await asyncio.gather(store.append([entry(1)]), store.save_commit(0))
        assert store.last_index == 1
        reread = logstore.LogStore(folder=disk)
        await reread.load()
        assert reread.last_index == 1

    virtualclock.run(main())


def test_after_a_full_disk_the_journal_has_no_gap(env):
    async def main():
        disk = disks.FakeDisk(timer=env.timer)
        store = logstore.LogStore(folder=disk)
        await store.load()
        await store.append([entry(1)])
        disk.is_full = True
        with pytest.raises(errors.ApricotError):
            await store.append([entry(2)])
        disk.is_full = False
        await store.append([entry(2, term=2)])
        reread = logstore.LogStore(folder=disk)
        await reread.load()
        assert (reread.last_index, reread.last_term) == (2, 2)

    virtualclock.run(main())


def test_a_stalled_rewrite_that_lands_late_leaves_no_gap(env):
    """Guards against appending where the journal used to end.

    The shorter journal was in place by then, so zeros filled the gap.
    """

    async def main():
        disk = disks.FakeDisk(timer=env.timer)
        store = logstore.LogStore(folder=disk)
        await store.load()
        await store.append([entry(n) for n in range(1, 9)])
        await store.save_snapshot(
            logstore.SnapshotRecord(index=8, term=1, data=b'state')
        )
        disk.is_stalled = True
        with pytest.raises(errors.ApricotError) as caught:
            await store.compact_journal()
        assert caught.value.code is errors.ErrorCode.STORAGE
        disk.is_stalled = False
        await store.append([entry(9)])
        reread = logstore.LogStore(folder=disk)
        await reread.load()
        assert (reread.snapshot.index, reread.last_index) == (8, 9)

    virtualclock.run(main())


def entry(index, term=1):
    """Return a log entry."""
    return messages.LogEntry(index=index, term=term, payload=b'x')


def test_files_without_identity_are_refused(env):
    async def main():
        disk = disks.FakeDisk(timer=env.timer)
        store = logstore.LogStore(folder=disk)
        await store.load()
        await store.append([entry(1)])
        del disk.files[logstore.IDENTITY_NAME]
        with pytest.raises(errors.ApricotError) as caught:
            await logstore.LogStore(folder=disk).load()
        assert caught.value.code is errors.ErrorCode.DAMAGED

    virtualclock.run(main())


def test_a_real_folder_keeps_what_was_synced(tmp_path):
    async def main():
        folder = folders.DiskFolder(
            path=str(tmp_path), timer=timers.TimerService()
        )
        records = journal.Journal(folder=folder, name='j')
        for number in range(20):
            await records.append([b'%d' % number])
        reread = journal.Journal(folder=folder, name='j')
        assert len(await reread.load()) == 20
        await reread.rewrite([b'only'])
        await reread.append([b'more'])
        third = journal.Journal(folder=folder, name='j')
        assert await third.load() == [b'only', b'more']

    asyncio.run(main())


def test_a_node_outwaits_a_slow_disk_as_it_starts(tmp_path):
    """Guards against nodes that end by themselves on a busy machine."""

    class SlowFolder(folders.DiskFolder):
        def _read(self, name):
            time.sleep(folders.DISK_TIMEOUT_S + 0.2)
            return super()._read(name)

    async def main():
        folder = SlowFolder(path=str(tmp_path), timer=timers.TimerService())
        (tmp_path / 'file').write_bytes(b'content')
        assert await folder.read('file') == b'content'

    asyncio.run(main())
