"""The planner's view of VMs, and the actions that it decides on.

The group manager carries the actions out.
"""

import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import tables
from apricotthread.nodes import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class FabricDomain:
    """A fabric domain; all VMs of a group are in the same one."""

    data_centre: str
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An engine VM as the leader knows it.

    `has_fresh_report` is false once its last report is too old to rely on.
    """

    report: messages.VmReport
    data_centre: str
    has_fresh_report: bool

    @property
    def domain(self) -> FabricDomain:
        """The fabric domain that the VM belongs to."""
        return FabricDomain(
            data_centre=self.data_centre, name=self.report.fabric_domain
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assemble:
    """Add a new group to the ledger."""

    service: tables.ServiceRow
    domain: FabricDomain
    members: tuple[commands.GroupMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Repair:
    """Replace the lost members of a group with idle VMs of its domain."""

    group: ledger.Group
    members: tuple[commands.GroupMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """Send no new work to a group that is about to be dissolved."""

    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dissolve:
    """Dissolve a group."""

    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """Release a VM that has left its group, so that it can be reused."""

    group: ledger.Group
    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRelease:
    """Order a VM to leave the group that it is in, whichever it is."""

    endpoint_id: str
    fencing: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Advance:
    """Order members to join; start serving when all of them have."""

    group: ledger.Group


Action = (
    Assemble | Repair | Drain | Dissolve | Release | OrderRelease | Advance
)
