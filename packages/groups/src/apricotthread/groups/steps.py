"""The formation planner's view of a VM, and the steps that it plans."""

import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.endpoints import directory

# Starts the id of the group that a VM is alone in while it warms up.
WARM_PREFIX = 'warm-'

IncarnationId = tuple[str, int]  # VM id, start time in ms (born_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An engine VM as the leader knows it.

    `lost` means that it has been silent for too long, `gone` that this
    incarnation has ended. `slow` means that it runs much slower than
    usual.
    """

    last_announcement: directory.Announcement
    lost: bool
    gone: bool
    slow: bool = False
    heard_s_ago: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """The id of the VM, the same after a restart."""
        return self.last_announcement.endpoint_id

    @property
    def incarnation_id(self) -> IncarnationId:
        """The id of this incarnation: the VM id and its start time."""
        return (self.endpoint_id, self.last_announcement.born_ms)

    @property
    def is_usable(self) -> bool:
        """Whether the VM may be a member of a serving group."""
        return not (self.lost or self.gone or self.last_announcement.leaving)

    @property
    def is_warming(self) -> bool:
        """Whether the VM is warming up for a model in a group of its own."""
        place = self.last_announcement.place
        return place is not None and (
            place.group_id.startswith(WARM_PREFIX)
            and place.state is directory.MemberState.JOINING
        )

    @property
    def member(self) -> commands.GroupMember:
        """The ledger entry for the VM as a member of a group."""
        return commands.GroupMember(
            endpoint_id=self.endpoint_id,
            incarnation=self.last_announcement.born_ms,
            url=self.last_announcement.address,
        )

    def place_in(self, group: ledger.Group) -> directory.GroupPlace | None:
        """Return the place that the VM announced in a group.

        None if it announced another group, or another epoch of this one.
        """
        place = self.last_announcement.place
        if place is None or place.group_id != group.group_id:
            return None
        return place if place.epoch == group.fencing else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """Order a VM to join a group; it may have to load the weights."""

    vm: Vm
    group: ledger.Group
    needs_load: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Open:
    """Order the head of a complete group to start serving."""

    vm: Vm
    group: ledger.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Close:
    """Order a head to stop serving.

    It finishes its requests first if `after_requests` is true.
    """

    vm: Vm
    group_id: str
    epoch: int
    after_requests: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """Order a VM to leave a group."""

    vm: Vm
    group_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stage:
    """Order an idle VM to load the weights of a model onto its host.

    A load that `can_wait` leaves room for more urgent ones.
    """

    vm: Vm
    model: str
    can_wait: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Propose a change of the ledger to the control nodes."""

    command: commands.AnyCommand
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Warm:
    """Order a spare VM to warm up for its staged model in a group of its own.

    A VM whose last group ran the model joins another one much sooner.
    """

    vm: Vm
    model: str
    epoch: int

    @property
    def group_id(self) -> str:
        """The id of the group that the VM is in while it warms up."""
        return WARM_PREFIX + self.vm.endpoint_id


Step = Join | Open | Close | Leave | Stage | Warm | Propose
