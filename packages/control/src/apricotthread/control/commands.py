"""Commands of the replicated log, and their results."""

import msgspec

from apricotthread.control import tables


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field='command'):
    """The base of every command."""


class StartTerm(Command, tag='start_term'):
    """The first entry of a leader's term; the very first sets the voters."""

    data_centres: list[str]
    disk_by_voter: dict[str, str]


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """Who sent an operator's command, from where and when.

    `base_index` is the last log entry that was known to be committed while
    the operator waited for the command: any order after it may be newer.
    None if the receiving node does not tell, as those of older releases.
    """

    command_id: str
    operator: str
    source: str
    wall_time_s: float
    base_index: int | None = None


class RowEdit(msgspec.Struct, frozen=True, kw_only=True):
    """The new content of one row; None deletes it."""

    key: tables.RowKey
    row: tables.AnyRow | None


class ChangeRows(Command, tag='change_rows'):
    """Changes rows, if none was changed since the base version."""

    origin: Origin
    base_version: int
    edits: list[RowEdit]


class MarkDataCentre(Command, tag='mark_data_centre'):
    """Takes a data centre out or brings it back."""

    origin: Origin
    base_version: int
    data_centre: str
    out: bool
    force: bool = False


class ReplaceTable(Command, tag='replace_table'):
    """Puts a whole routing table in force, if its version is the highest.

    Both the document as received and the table decoded from it are
    compressed.
    """

    origin: Origin
    version: int
    document: bytes
    table: bytes


class AdmitVoter(Command, tag='admit_voter'):
    """Admits the disk of a control node as a voter."""

    origin: Origin
    node_id: str
    disk_id: str


class RemoveVoter(Command, tag='remove_voter'):
    """Removes a control node, or its lost disk, from the voters."""

    origin: Origin
    node_id: str


class GroupMember(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of a group; the first member is the head, rank 0."""

    endpoint_id: str
    incarnation: int
    url: str


class AssembleGroup(Command, tag='assemble_group'):
    """Adds a new group to the ledger, before any order is sent."""

    group_id: str
    service: str
    model: str
    version: str
    data_centre: str
    fabric_domain: str
    members: list[GroupMember]


class RepairGroup(Command, tag='repair_group'):
    """Replaces lost members of a group under a new fencing number."""

    group_id: str
    fencing: int
    members: list[GroupMember]


class SetGroupState(Command, tag='set_group_state'):
    """Sets a later state of a group that still has the fencing number."""

    group_id: str
    fencing: int
    state: str


class DissolveGroup(Command, tag='dissolve_group'):
    """Dissolves a group; it holds each VM until that is known to be free."""

    group_id: str
    fencing: int


class ReleaseVm(Command, tag='release_vm'):
    """Frees a departed VM that has announced idle or has restarted."""

    group_id: str
    endpoint_id: str


AnyCommand = (
    StartTerm
    | ChangeRows
    | MarkDataCentre
    | ReplaceTable
    | AdmitVoter
    | RemoveVoter
    | AssembleGroup
    | RepairGroup
    | SetGroupState
    | DissolveGroup
    | ReleaseVm
)


class RowConflict(msgspec.Struct, frozen=True, kw_only=True):
    """A row that was changed since the base version, as it is now."""

    key: tables.RowKey
    changed_in: int
    now: tables.AnyRow | None


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a command.

    The code is empty if the command was accepted, else an error code.
    `rebase_index` is set if an order after the command's base index was
    found. It is the base index to propose the command again with, if its
    operator still waits.
    """

    version: int
    code: str = ''
    message: str = ''
    conflicts: list[RowConflict] = []
    group_fencing: int = 0
    # Not in the results that snapshots keep.
    rebase_index: int | msgspec.UnsetType = msgspec.UNSET

    @property
    def accepted(self) -> bool:
        """Whether the command was accepted."""
        return not self.code

    @property
    def may_be_superseded(self) -> bool:
        """Whether it was refused as a newer order may have replaced it."""
        return self.rebase_index is not msgspec.UNSET


def encode_command(command: AnyCommand) -> bytes:
    """Return a command as JSON."""
    return msgspec.json.encode(command)


_COMMAND_DECODER = msgspec.json.Decoder(AnyCommand)
_RESULT_DECODER = msgspec.json.Decoder(Result)


def decode_command(encoded: bytes) -> AnyCommand:
    """Return the command decoded from JSON."""
    return _COMMAND_DECODER.decode(encoded)


def encode_result(result: Result) -> bytes:
    """Return a result as JSON."""
    return msgspec.json.encode(result)


def decode_result(encoded: bytes) -> Result:
    """Return the result decoded from JSON."""
    return _RESULT_DECODER.decode(encoded)
