"""The audit trail: JSON lines of every change and refusal."""

import msgspec

from apricotthread.base import errors
from apricotthread.control import folders
from apricotthread.control import state
from apricotthread.nodes import messages

AUDIT_NAME = 'audit.jsonl'


class AuditTrail:
    """Appends audit records to a file and keeps the newest in memory."""

    def __init__(
        self, *, folder: folders.Folder, max_records: int = 10000
    ) -> None:
        self._folder = folder
        self._max_records = max_records
        self._offset = 0
        self.records: list[state.AuditRecord] = []

    @property
    def last_index(self) -> int:
        """The log index of the newest record."""
        return self.records[-1].index if self.records else 0

    async def load(self) -> None:
        """Read the file; a last line that was cut short is dropped."""
        data = await self._folder.read(AUDIT_NAME) or b''
        end = data.rfind(b'\n') + 1
        records = self._decode_lines(data[:end])
        self.records = records[-self._max_records :]
        self._offset = end

    def _decode_lines(self, data: bytes) -> list[state.AuditRecord]:
        decoder = msgspec.json.Decoder(state.AuditRecord)
        records = []
        offset = 0
        for line in data.splitlines(keepends=True):
            try:
                records.append(decoder.decode(line))
            except msgspec.DecodeError as error:
                raise errors.ApricotError(
                    code=errors.ErrorCode.DAMAGED,
                    message=f'{AUDIT_NAME}: damaged at offset {offset}: '
                    f'{error}; restore the file or move it away',
                ) from error
            offset += len(line)
        return records

    async def append(self, records: list[state.AuditRecord]) -> None:
        """Append the records that are newer than the last one."""
        new_records = [r for r in records if r.index > self.last_index]
        if not new_records:
            return
        lines = b''.join(msgspec.json.encode(r) + b'\n' for r in new_records)
        try:
            await self._folder.write_at(AUDIT_NAME, self._offset, lines)
        except OSError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.STORAGE,
                message=f'{AUDIT_NAME}: {error}',
            ) from error
        self._offset += len(lines)
        self.records.extend(new_records)
        del self.records[: -self._max_records]

    async def on_audit_request(
        self, peer: messages.Greeting, body: messages.AuditRequest
    ) -> messages.Message:
        """Send the records after an index to a replica that lacks them."""
        return messages.AuditReply(
            lines=[
                msgspec.json.encode(record).decode()
                for record in self.records
                if record.index > body.since
            ]
        )

    async def fill_gap(
        self, reply: messages.AuditReply, before_index: int
    ) -> None:
        """Append the records of a peer's reply, up to an index."""
        decoder = msgspec.json.Decoder(state.AuditRecord)
        records = [decoder.decode(line) for line in reply.lines]
        await self.append([r for r in records if r.index <= before_index])
