"""Durable storage of a replica: log entries, term, vote and snapshot."""

import uuid

import msgspec

from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import folders
from apricotthread.control import journal
from apricotthread.nodes import messages

JOURNAL_NAME = 'journal.log'
SNAPSHOT_NAME = 'snapshot.log'
IDENTITY_NAME = 'identity.log'


class TermRecord(msgspec.Struct, frozen=True, kw_only=True, tag='term'):
    """The newest term and the candidate that this node voted for in it."""

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag='entry'):
    """One log entry; it replaces all entries from its index on."""

    index: int
    term: int
    payload: bytes


class CommitRecord(msgspec.Struct, frozen=True, kw_only=True, tag='commit'):
    """The index of the newest committed entry, for restarts without peers."""

    index: int


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The agreed state up to an entry."""

    index: int
    term: int
    data: bytes


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The disk id of a node, and the voters that it was admitted with."""

    disk_id: str
    admitted: bool = False
    disk_by_voter: dict[str, str] = {}


_RECORD_DECODER = msgspec.msgpack.Decoder(
    TermRecord | EntryRecord | CommitRecord
)


def _decode_single(data: bytes, *, name: str, record_type: type):
    """Return the single record of a file that is replaced as a whole."""
    records, end = journal.decode_records(data, name=name)
    if len(records) != 1 or end != len(data):
        raise errors.ApricotError(
            code=errors.ErrorCode.DAMAGED,
            message=f'{name}: damaged at offset {end if records else 0}; '
            'restore the data folder, or empty it and admit the node again',
        )
    return msgspec.msgpack.decode(records[0], type=record_type)


class LogStore:
    """The log in memory, and its journal and snapshot in the folder.

    The replica ensures that only one task changes the log at a time.
    """

    def __init__(self, *, folder: folders.Folder) -> None:
        self._folder = folder
        self._journal = journal.Journal(folder=folder, name=JOURNAL_NAME)
        self.term = 0
        self.voted_for = ''
        self.identity = Identity(disk_id='')
        self.snapshot = SnapshotRecord(index=0, term=0, data=b'')
        self._entries: list[messages.LogEntry] = []
        self.synced_index = 0
        self.committed_index = 0

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def entry_count(self) -> int:
        """The number of entries after the snapshot."""
        return len(self._entries)

    async def load(self) -> None:
        """Load the files of the folder; an empty folder gets an identity.

        Raises ApricotError with code DAMAGED when a file is damaged.
        """
        identity = await self._folder.read(IDENTITY_NAME)
        snapshot = await self._folder.read(SNAPSHOT_NAME)
        records = await self._journal.load()
        if identity is not None:
            self.identity = _decode_single(
                identity, name=IDENTITY_NAME, record_type=Identity
            )
        elif snapshot is not None or records:
            raise errors.ApricotError(
                code=errors.ErrorCode.DAMAGED,
                message=f'{IDENTITY_NAME}: missing at offset 0, though other '
                'files exist; restore it, or empty the data folder and '
                'admit the node again',
            )
        else:
            await self.save_identity(Identity(disk_id=uuid.uuid4().hex))
        if snapshot is not None:
            self.snapshot = _decode_single(
                snapshot, name=SNAPSHOT_NAME, record_type=SnapshotRecord
            )
        for encoded in records:
            self._replay(_RECORD_DECODER.decode(encoded))
        self.synced_index = self.last_index

    def _replay(self, record: TermRecord | EntryRecord | CommitRecord) -> None:
        match record:
            case TermRecord(term=term, voted_for=voted_for):
                self.term = term
                self.voted_for = voted_for
            case CommitRecord(index=index):
                self.committed_index = index
            case EntryRecord(index=index, term=term, payload=payload):
                if index <= self.snapshot.index:
                    return
                if index > self.last_index + 1:
                    raise errors.ApricotError(
                        code=errors.ErrorCode.DAMAGED,
                        message=f'{JOURNAL_NAME}: entry {index} follows '
                        f'{self.last_index} before offset '
                        f'{self._journal.size}; restore the data folder, or '
                        'empty it and admit the node again',
                    )
                self._truncate(index)
                self._entries.append(
                    messages.LogEntry(index=index, term=term, payload=payload)
                )

    async def save_identity(self, identity: Identity) -> None:
        """Store the identity of this node."""
        record = journal.encode_record(msgspec.msgpack.encode(identity))
        await self._replace(IDENTITY_NAME, record)
        self.identity = identity

    async def _replace(self, name: str, data: bytes) -> None:
        try:
            await self._folder.replace(name, data)
        except OSError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.STORAGE, message=f'{name}: {error}'
            ) from error

    async def save_term(self, term: int, voted_for: str) -> None:
        """Store a term and vote; both are set in memory once synced."""
        await self._recover()
        record = TermRecord(term=term, voted_for=voted_for)
        await self._journal.append([msgspec.msgpack.encode(record)])
        self.term = term
        self.voted_for = voted_for

    async def save_commit(self, index: int) -> None:
        """Store the index up to which the log is committed."""
        await self._recover()
        record = CommitRecord(index=index)
        await self._journal.append([msgspec.msgpack.encode(record)])
        self.committed_index = index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def entries_from(
        self, index: int, *, limit: int, limit_bytes: int
    ) -> list[messages.LogEntry]:
        """Return entries from the index on, within the limits."""
        start = index - self.snapshot.index - 1
        selected_entries = []
        size = 0
        for entry in self._entries[start : start + limit]:
            size += len(entry.payload)
            if selected_entries and size > limit_bytes:
                break
            selected_entries.append(entry)
        return selected_entries

    def entry_at(self, index: int) -> messages.LogEntry:
        """Return one entry, which must be in the log."""
        return self._entries[index - self.snapshot.index - 1]

    async def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries, replacing those from the first index on.

        They are in memory at once, and synced on return.
        """
        await self._recover()
        self._truncate(entries[0].index)
        self._entries.extend(entries)
        try:
            await self._journal.append(
                [
                    msgspec.msgpack.encode(
                        EntryRecord(
                            index=entry.index,
                            term=entry.term,
                            payload=entry.payload,
                        )
                    )
                    for entry in entries
                ]
            )
        except errors.ApricotError:
            self._truncate(self.synced_index + 1)
            raise
        last = entries[-1]
        if self.term_at(last.index) == last.term:
            self.synced_index = max(self.synced_index, last.index)

    async def _recover(self) -> None:
        """Rewrite the journal with the synced entries after a failed write."""
        if self._journal.has_failed:
            self._truncate(self.synced_index + 1)
            await self._rewrite_journal()

    def _truncate(self, index: int) -> None:
        """Drop the entries from the index on, if there are any."""
        index = max(index, self.snapshot.index + 1)
        del self._entries[index - self.snapshot.index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    async def save_snapshot(self, record: SnapshotRecord) -> None:
        """Store a snapshot and drop the entries that it includes.

        If the log does not reach the snapshot, or has another term at
        its index, all entries are dropped. They are still in the journal,
        until it is rewritten by compact_journal.
        """
        encoded = journal.encode_record(msgspec.msgpack.encode(record))
        await self._replace(SNAPSHOT_NAME, encoded)
        if self.term_at(record.index) == record.term:
            kept_entries = self._entries[record.index - self.snapshot.index :]
        else:
            kept_entries = []
        self._entries = kept_entries
        self.snapshot = record
        self.synced_index = max(
            record.index, min(self.synced_index, self.last_index)
        )
        logs.log_event('snapshot_saved', index=record.index)

    async def compact_journal(self) -> None:
        """Remove the entries that the snapshot includes from the journal."""
        await self._rewrite_journal()

    async def _rewrite_journal(self) -> None:
        records = [
            TermRecord(term=self.term, voted_for=self.voted_for),
            CommitRecord(index=self.committed_index),
        ]
        records.extend(
            EntryRecord(index=e.index, term=e.term, payload=e.payload)
            for e in self._entries
        )
        try:
            await self._journal.rewrite(
                [msgspec.msgpack.encode(record) for record in records]
            )
        except OSError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.STORAGE,
                message=f'{JOURNAL_NAME}: {error}',
            ) from error
