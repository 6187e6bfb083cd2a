"""The group ledger: which group holds which VM."""

import msgspec

from apricotthread.control import commands

GROUP_STATES = ('assembling', 'serving', 'draining')


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """A ledger entry: a group and the VMs that it holds.

    A VM that leaves stays in `departed` until it has announced that it
    is idle or has restarted as a new incarnation. The entry is deleted
    once it holds no VM. A group without members is dissolved.
    """

    group_id: str
    service: str
    model: str
    version: str
    data_centre: str
    fabric_domain: str
    fencing: int
    state: str
    members: list[commands.GroupMember]
    departed: list[commands.GroupMember] = []

    @property
    def head(self) -> commands.GroupMember:
        """The member that receives the requests."""
        return self.members[0]


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The new fencing number, if any, or why the command was refused."""

    fencing: int = 0
    refusal: str = ''


class Ledger(msgspec.Struct, kw_only=True):
    """The groups by id, and the newest fencing number issued."""

    group_by_id: dict[str, Group] = {}
    last_fencing: int = 0

    def apply(self, command: commands.AnyCommand) -> Outcome:
        """Apply one command that changes the ledger."""
        match command:
            case commands.AssembleGroup():
                return self._assemble_group(command)
            case commands.RepairGroup():
                return self._repair_group(command)
            case commands.SetGroupState():
                return self._set_group_state(command)
            case commands.DissolveGroup():
                return self._dissolve_group(command)
            case commands.ReleaseVm():
                return self._release_vm(command)
        raise TypeError(command)

    def groups(self) -> tuple[Group, ...]:
        """Return every group that holds a VM."""
        return tuple(self.group_by_id.values())

    def group_by_vm(self) -> dict[str, Group]:
        """Return the group that holds each VM, by endpoint id."""
        return {
            member.endpoint_id: group
            for group in self.groups()
            for member in (*group.members, *group.departed)
        }

    def _assemble_group(self, command: commands.AssembleGroup) -> Outcome:
        refusal = self._check_members(command.members, own_group_id='')
        if refusal is not None:
            return refusal
        self.last_fencing += 1
        self.group_by_id[command.group_id] = Group(
            group_id=command.group_id,
            service=command.service,
            model=command.model,
            version=command.version,
            data_centre=command.data_centre,
            fabric_domain=command.fabric_domain,
            fencing=self.last_fencing,
            state='assembling',
            members=command.members,
        )
        return Outcome(fencing=self.last_fencing)

    def _check_members(
        self, members: list[commands.GroupMember], *, own_group_id: str
    ) -> Outcome | None:
        """Return a refusal if a VM is listed twice or held elsewhere."""
        holder_by_vm = self.group_by_vm()
        names = [member.endpoint_id for member in members]
        in_use = [
            name
            for name in names
            if name in holder_by_vm
            and holder_by_vm[name].group_id != own_group_id
        ]
        if in_use or len(set(names)) < len(names) or not names:
            return Outcome(
                refusal=f'VMs are held by another group: {in_use}',
            )
        return None

    def _find_group(self, group_id: str, fencing: int) -> Group | None:
        """Return a group that still has members and the fencing number."""
        group = self.group_by_id.get(group_id)
        if group is None or group.fencing != fencing or not group.members:
            return None
        return group

    def _refuse_stale_group(self) -> Outcome:
        return Outcome(
            refusal='the group has another fencing number or is dissolved',
        )

    def _repair_group(self, command: commands.RepairGroup) -> Outcome:
        group = self._find_group(command.group_id, command.fencing)
        if group is None:
            return self._refuse_stale_group()
        refusal = self._check_members(
            command.members, own_group_id=group.group_id
        )
        if refusal is not None:
            return refusal
        kept_ids = {member.endpoint_id for member in command.members}
        departed = {m.endpoint_id for m in group.departed}
        if kept_ids & departed:
            return Outcome(
                refusal='VMs have not been released: '
                f'{sorted(kept_ids & departed)}',
            )
        self.last_fencing += 1
        lost_members = [
            m for m in group.members if m.endpoint_id not in kept_ids
        ]
        self.group_by_id[group.group_id] = msgspec.structs.replace(
            group,
            fencing=self.last_fencing,
            state='assembling',
            members=command.members,
            departed=[*group.departed, *lost_members],
        )
        return Outcome(fencing=self.last_fencing)

    def _set_group_state(self, command: commands.SetGroupState) -> Outcome:
        group = self._find_group(command.group_id, command.fencing)
        if group is None:
            return self._refuse_stale_group()
        is_forward = GROUP_STATES.index(command.state) > GROUP_STATES.index(
            group.state
        )
        if not is_forward:
            return Outcome(refusal=f'the group is {group.state}')
        self.group_by_id[group.group_id] = msgspec.structs.replace(
            group, state=command.state
        )
        return Outcome()

    def _dissolve_group(self, command: commands.DissolveGroup) -> Outcome:
        group = self._find_group(command.group_id, command.fencing)
        if group is None:
            return self._refuse_stale_group()
        self.last_fencing += 1
        self.group_by_id[group.group_id] = msgspec.structs.replace(
            group,
            fencing=self.last_fencing,
            state='draining',
            members=[],
            departed=[*group.departed, *group.members],
        )
        return Outcome(fencing=self.last_fencing)

    def _release_vm(self, command: commands.ReleaseVm) -> Outcome:
        group = self.group_by_id.get(command.group_id)
        if group is None:
            return self._refuse_stale_group()
        departed = [
            member
            for member in group.departed
            if member.endpoint_id != command.endpoint_id
        ]
        if len(departed) == len(group.departed):
            return Outcome(
                refusal=f'{command.endpoint_id} has not left the group',
            )
        if departed or group.members:
            self.group_by_id[group.group_id] = msgspec.structs.replace(
                group, departed=departed
            )
        else:
            del self.group_by_id[group.group_id]
        return Outcome()
