"""The bodies of operators' requests and of their answers."""

import msgspec

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import state
from apricotthread.control import tables


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """Changes rows of the table."""

    command_id: str
    operator: str
    base_version: int
    edits: list[commands.RowEdit]
    dry_run: bool = False


class MarkBody(msgspec.Struct, frozen=True, kw_only=True):
    """Takes a data centre out or brings it back."""

    command_id: str
    operator: str
    base_version: int
    out: bool
    force: bool = False


class VoterBody(msgspec.Struct, frozen=True, kw_only=True):
    """Admits or removes a voter."""

    command_id: str
    operator: str
    admit: bool


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One node as the answering node sees it."""

    node_id: str
    data_centre: str
    alive: bool
    draining: bool
    voter: bool
    version: int


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What the endpoints of one service can take, by all entries."""

    name: str
    limit_requests: int
    free_requests: int
    queued: int


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One group of the ledger, and whether it is whole now."""

    group: ledger.Group
    whole: bool


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """The system as one node sees it."""

    node_id: str
    data_centre: str
    version: int
    leader: str
    has_majority: bool
    taken_out: list[str]
    taken_out_locally: bool
    nodes: list[NodeStatus]
    services: list[ServiceStatus]
    groups: list[GroupStatus]
    idle_vms: list[str]


class TableBody(msgspec.Struct, frozen=True, kw_only=True):
    """The table and its version."""

    version: int
    table: tables.Table


class OutcomeBody(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a command, and where it is in force so far."""

    command_id: str
    result: commands.Result
    changes: list[tables.RowChange] = []
    local_only: bool = False
    in_force: list[str] = []
    not_confirmed: list[str] = []


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """A command that could not be carried out."""

    code: str
    message: str
    ran: str


class AuditBody(msgspec.Struct, frozen=True, kw_only=True):
    """Records of the audit trail, oldest first."""

    node_id: str
    records: list[state.AuditRecord]
