"""JSON bodies of operators' requests and of their answers."""

import msgspec

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import state
from apricotthread.control import tables


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /changes, which changes rows of the table.

    With `dry_run` the changes are only checked and listed.
    """

    command_id: str
    operator: str
    base_version: int
    edits: list[commands.RowEdit]
    dry_run: bool = False


class MarkBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /data-centres/{name}.

    It takes a data centre out or brings it back.
    """

    command_id: str
    operator: str
    base_version: int
    out: bool
    force: bool = False


class VoterBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /voters/{name}, which admits or removes a voter."""

    command_id: str
    operator: str
    admit: bool


class QuarantinedPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of prompts that has crashed endpoints.

    Its `condition` is quarantined, on_probation or released, and ends in
    `remaining_s` seconds. `strikes` counts its quarantines, `crashes` those
    that led to the first. It is `tentative` while another part may be the
    cause in its place.
    """

    part: str
    condition: str
    remaining_s: float
    crashes: int
    strikes: int
    tentative: bool


class QuarantineBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of GET /quarantine."""

    parts: list[QuarantinedPart]


class ReleaseBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /quarantine/{part}/release."""

    part: str
    released: bool


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one node, as known to the answering node."""

    node_id: str
    data_centre: str
    alive: bool
    draining: bool
    voter: bool
    version: int


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The capacity of one service's endpoints and its queued requests.

    The numbers are sums over all entries.
    """

    name: str
    limit_requests: int
    free_requests: int
    queued: int


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A group of the ledger, and whether it is whole now."""

    group: ledger.Group
    whole: bool


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the system, as known to one node."""

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
    """The agreed table and its version."""

    version: int
    table: tables.Table


class OutcomeBody(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a command, and the nodes in which it is in force.

    `local_only` means that there was no majority, and that the data
    centre was taken out only on its nodes that the answering node reaches.
    """

    command_id: str
    result: commands.Result
    changes: list[tables.RowChange] = []
    local_only: bool = False
    in_force: list[str] = []
    not_confirmed: list[str] = []


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The error of a command that could not be carried out."""

    code: str
    message: str
    ran: str


class AuditBody(msgspec.Struct, frozen=True, kw_only=True):
    """Records of the audit trail, oldest first."""

    node_id: str
    records: list[state.AuditRecord]
