"""The agreed state, which every replica computes from the log."""

import msgspec

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import tables

MAX_REMEMBERED_COMMANDS = 4096


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed what, from where, and with which result."""

    index: int
    wall_time_s: float
    operator: str
    source: str
    command_id: str
    action: str
    subject: str
    before: str
    after: str
    version: int
    result: str


class Content(msgspec.Struct, kw_only=True):
    """The agreed state as stored in snapshots."""

    version: int = 0
    table: tables.Table = tables.Table()
    row_version_by_key: dict[str, int] = {}
    mark_version_by_data_centre: dict[str, int] = {}
    taken_out: list[str] = []
    data_centres: list[str] = []
    group_ledger: ledger.Ledger = msgspec.field(default_factory=ledger.Ledger)
    result_by_command_id: dict[str, commands.Result] = {}
    disk_by_voter: dict[str, str] = {}
    routes_version: int = 0
    routes_document: bytes = b''
    routes_table: bytes = b''

    @property
    def has_routes(self) -> bool:
        """Whether there is a routing table; its version may be 0."""
        return bool(self.routes_document)


class AgreedState:
    """Applies commands in the order of the log."""

    def __init__(self, *, content: Content | None = None) -> None:
        self.content = content or Content()

    @property
    def version(self) -> int:
        """The number of the newest accepted change by an operator."""
        return self.content.version

    @property
    def table(self) -> tables.Table:
        """The operators' table that is in force."""
        return self.content.table

    def encode(self) -> bytes:
        """Return the state encoded for a snapshot."""
        return msgspec.json.encode(self.content)

    @classmethod
    def decode(cls, encoded: bytes) -> 'AgreedState':
        """Return the state decoded from a snapshot."""
        return cls(content=msgspec.json.decode(encoded, type=Content))

    def apply(
        self, command: commands.AnyCommand, *, index: int
    ) -> tuple[commands.Result, list[AuditRecord]]:
        """Apply one command; return its result and audit records."""
        origin = getattr(command, 'origin', None)
        if origin is None:
            return self._apply_internal(command), []
        previous_result = self.content.result_by_command_id.get(
            origin.command_id
        )
        if previous_result is not None:
            return previous_result, []
        result, changes = self._apply_operator(command)
        self._store_result(origin.command_id, result)
        records = [
            AuditRecord(
                index=index,
                wall_time_s=origin.wall_time_s,
                operator=origin.operator,
                source=origin.source,
                command_id=origin.command_id,
                action=type(command).__struct_config__.tag,
                subject=change.subject,
                before=change.before,
                after=change.after,
                version=result.version,
                result=result.code or 'accepted',
            )
            for change in changes
        ]
        return result, records

    def _store_result(self, command_id: str, result: commands.Result) -> None:
        """Store a result for resent commands, dropping the oldest ones."""
        stored_results = self.content.result_by_command_id
        stored_results[command_id] = result
        while len(stored_results) > MAX_REMEMBERED_COMMANDS:
            del stored_results[next(iter(stored_results))]

    def _apply_operator(
        self, command: commands.AnyCommand
    ) -> tuple[commands.Result, list['_Change']]:
        match command:
            case commands.ChangeRows():
                return self._change_rows(command)
            case commands.MarkDataCentre():
                return self._mark_data_centre(command)
            case commands.ReplaceTable():
                return self._replace_table(command)
            case commands.AdmitVoter():
                return self._admit_voter(command)
            case commands.RemoveVoter():
                return self._remove_voter(command)
        raise TypeError(command)

    def _apply_internal(self, command: commands.AnyCommand) -> commands.Result:
        match command:
            case commands.StartTerm():
                return self._start_term(command)
        outcome = self.content.group_ledger.apply(command)
        if outcome.refusal:
            return self._make_refused(
                errors.ErrorCode.CONFLICT, outcome.refusal
            )
        return self._make_accepted(group_fencing=outcome.fencing)

    def _start_term(self, command: commands.StartTerm) -> commands.Result:
        self.content.data_centres = command.data_centres
        if not self.content.disk_by_voter:
            self.content.disk_by_voter = command.disk_by_voter
        return self._make_accepted()

    def _make_accepted(self, *, group_fencing: int = 0) -> commands.Result:
        return commands.Result(
            version=self.version, group_fencing=group_fencing
        )

    def _make_refused(
        self,
        code: errors.ErrorCode,
        message: str,
        conflicts: list[commands.RowConflict] | None = None,
    ) -> commands.Result:
        return commands.Result(
            version=self.version,
            code=code.label,
            message=message,
            conflicts=conflicts or [],
        )

    def _change_rows(
        self, command: commands.ChangeRows
    ) -> tuple[commands.Result, list['_Change']]:
        content = self.content
        rows = content.table.row_by_key()
        changes = [
            _Change(
                subject=str(edit.key),
                before=_format_row(rows.get(edit.key)),
                after=_format_row(edit.row),
            )
            for edit in command.edits
        ]
        conflicts = [
            commands.RowConflict(
                key=edit.key,
                changed_in=content.row_version_by_key[str(edit.key)],
                now=rows.get(edit.key),
            )
            for edit in command.edits
            if content.row_version_by_key.get(str(edit.key), 0)
            > command.base_version
        ]
        if conflicts:
            names = ', '.join(str(conflict.key) for conflict in conflicts)
            return (
                self._make_refused(
                    errors.ErrorCode.CONFLICT,
                    f'changed since version {command.base_version}: {names}',
                    conflicts,
                ),
                changes,
            )
        for edit in command.edits:
            if edit.row is None:
                rows.pop(edit.key, None)
            else:
                rows[edit.key] = edit.row
        table = tables.make_table(rows.values())
        faults = tables.check_table(table)
        if faults:
            message = '\n'.join(str(fault) for fault in faults)
            return self._make_refused(errors.ErrorCode.TABLE, message), changes
        content.version += 1
        content.table = table
        for edit in command.edits:
            content.row_version_by_key[str(edit.key)] = content.version
        return self._make_accepted(), changes

    def _mark_data_centre(
        self, command: commands.MarkDataCentre
    ) -> tuple[commands.Result, list['_Change']]:
        content = self.content
        name = command.data_centre
        is_out = name in content.taken_out
        change = _Change(
            subject=f'data_centre:{name}',
            before='out' if is_out else 'in',
            after='out' if command.out else 'in',
        )
        if is_out == command.out:
            return self._make_accepted(), [change]
        changed_in = content.mark_version_by_data_centre.get(name, 0)
        if changed_in > command.base_version:
            return (
                self._make_refused(
                    errors.ErrorCode.CONFLICT,
                    f'data centre {name} was changed in version '
                    f'{changed_in} and is {change.before} now',
                ),
                [change],
            )
        in_service = set(content.data_centres) - set(content.taken_out)
        if command.out and in_service <= {name} and not command.force:
            return (
                self._make_refused(
                    errors.ErrorCode.CONFLICT,
                    f'{name} is the last data centre that is in; use --force '
                    'to stop all service',
                ),
                [change],
            )
        content.version += 1
        content.mark_version_by_data_centre[name] = content.version
        if command.out:
            content.taken_out = sorted([*content.taken_out, name])
        else:
            content.taken_out = [n for n in content.taken_out if n != name]
        return self._make_accepted(), [change]

    def _replace_table(
        self, command: commands.ReplaceTable
    ) -> tuple[commands.Result, list['_Change']]:
        content = self.content
        change = _Change(
            subject='routes',
            before=f'version {content.routes_version}',
            after=f'version {command.version}',
        )
        if not content.has_routes or command.version > content.routes_version:
            content.routes_version = command.version
            content.routes_document = command.document
            content.routes_table = command.table
        return self._make_accepted(), [change]

    def _admit_voter(
        self, command: commands.AdmitVoter
    ) -> tuple[commands.Result, list['_Change']]:
        disks = self.content.disk_by_voter
        change = _Change(
            subject=f'voter:{command.node_id}',
            before=disks.get(command.node_id, ''),
            after=command.disk_id,
        )
        if disks.get(command.node_id) == command.disk_id:
            return self._make_accepted(), [change]
        if command.node_id in disks:
            return (
                self._make_refused(
                    errors.ErrorCode.CONFLICT,
                    f'{command.node_id} is a voter with another disk; remove '
                    'it first',
                ),
                [change],
            )
        disks[command.node_id] = command.disk_id
        self.content.version += 1
        return self._make_accepted(), [change]

    def _remove_voter(
        self, command: commands.RemoveVoter
    ) -> tuple[commands.Result, list['_Change']]:
        disks = self.content.disk_by_voter
        change = _Change(
            subject=f'voter:{command.node_id}',
            before=disks.get(command.node_id, ''),
            after='',
        )
        if command.node_id not in disks:
            return self._make_accepted(), [change]
        if len(disks) == 1:
            return (
                self._make_refused(
                    errors.ErrorCode.CONFLICT,
                    'the last voter stays',
                ),
                [change],
            )
        del disks[command.node_id]
        self.content.version += 1
        return self._make_accepted(), [change]


class _Change(msgspec.Struct, frozen=True, kw_only=True):
    """One change that a command asks for."""

    subject: str
    before: str
    after: str


def _format_row(row: tables.AnyRow | None) -> str:
    """Return a row as JSON for the audit trail, empty for none."""
    return msgspec.json.encode(row).decode() if row is not None else ''
