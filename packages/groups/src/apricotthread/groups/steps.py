"""What the formation planner knows of a VM, and the steps it decides."""

import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.endpoints import directory

WARM_PREFIX = 'warm-'

IncarnationId = tuple[str, int]  # the id of a VM, and when it was started


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An engine VM as the leader sees it."""

    last_announcement: directory.Announcement
    lost: bool
    gone: bool
    slow: bool = False
    heard_s_ago: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """By which the VM is known."""
        return self.last_announcement.endpoint_id

    @property
    def incarnation_id(self) -> IncarnationId:
        """Which start of which VM this is."""
        return (self.endpoint_id, self.last_announcement.born_ms)

    @property
    def is_usable(self) -> bool:
        """Whether the VM may be in a group that is to serve."""
        return not (self.lost or self.gone or self.last_announcement.leaving)

    @property
    def is_warming(self) -> bool:
        """Whether the VM is getting ready for its model, alone."""
        place = self.last_announcement.place
        return place is not None and (
            place.group_id.startswith(WARM_PREFIX)
            and place.state is directory.MemberState.JOINING
        )

    @property
    def member(self) -> commands.GroupMember:
        """The VM as a member in the ledger."""
        return commands.GroupMember(
            endpoint_id=self.endpoint_id,
            incarnation=self.last_announcement.born_ms,
            url=self.last_announcement.address,
        )

    def place_in(self, group: ledger.Group) -> directory.GroupPlace | None:
        """Return what the VM says of a group under its present epoch."""
        place = self.last_announcement.place
        if place is None or place.group_id != group.group_id:
            return None
        return place if place.epoch == group.fencing else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """Order a VM into its place in a group."""

    vm: Vm
    group: ledger.Group
    needs_load: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Open:
    """Order the head of a whole group to serve."""

    vm: Vm
    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Close:
    """Order a head to stop serving, after its requests or at once."""

    vm: Vm
    group_id: str
    epoch: int
    after_requests: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """Order a VM out of a group."""

    vm: Vm
    group_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stage:
    """Order an idle VM to load a model onto its host."""

    vm: Vm
    model: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Have a change of the ledger agreed."""

    command: commands.AnyCommand
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Warm:
    """Order a spare VM to get ready for its staged model, alone.

    A VM whose last group ran the model joins another one much sooner.
    """

    vm: Vm
    model: str
    epoch: int

    @property
    def group_id(self) -> str:
        """The name of the group that the VM is in for the while."""
        return WARM_PREFIX + self.vm.endpoint_id


Step = Join | Open | Close | Leave | Stage | Warm | Propose
