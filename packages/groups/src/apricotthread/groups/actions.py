"""What the planner sees and what it decides."""

import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import tables
from apricotthread.nodes import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class FabricDomain:
    """A fabric domain of a data centre."""

    data_centre: str
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An engine VM as the leader sees it."""

    report: messages.VmReport
    data_centre: str
    has_fresh_report: bool

    @property
    def domain(self) -> FabricDomain:
        """Where the VM stands."""
        return FabricDomain(
            data_centre=self.data_centre, name=self.report.fabric_domain
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assemble:
    """Enter a new group into the ledger."""

    service: tables.ServiceRow
    domain: FabricDomain
    members: tuple[commands.GroupMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Repair:
    """Replace the lost members of a group by idle VMs of its domain."""

    group: ledger.Group
    members: tuple[commands.GroupMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """Stop new work to a group that is to end."""

    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dissolve:
    """End a group."""

    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """Free a VM that has left its group."""

    group: ledger.Group
    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRelease:
    """Order a VM to leave whatever group it is in."""

    endpoint_id: str
    fencing: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Advance:
    """Order members to join, and have the group serve when all have."""

    group: ledger.Group


Action = (
    Assemble | Repair | Drain | Dissolve | Release | OrderRelease | Advance
)
