"""Decides how groups of several models are formed from one pool of VMs.

A plan is made from ledger and announcements alone, so a new leader goes
on where the old one stopped. Nothing here waits or talks to anybody.
"""

import collections
import collections.abc
import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence

# Entries report what they see twice a second.
PROGRESS_S = 1.5
UNREACHABLE_S = 3.0
SPARES_BY_DOMAIN = 2  # a second VM may be lost right after a repair
# With so many groups one more gains less than a repair without a spare,
# which waits for a load, loses.
GROUPS_BEFORE_SPARES = 4
# A data centre of which less than this share is heard is cut off: its
# groups go on serving there, and can not be reached from here.
HEARD_SHARE = 0.25
NEEDS_LOAD = 2  # the rank of a VM that has to load a model first
WARM_PREFIX = 'warm-'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An engine VM as the leader sees it."""

    told: directory.Announcement
    lost: bool
    gone: bool
    slow: bool = False

    @property
    def endpoint_id(self) -> str:
        """By which the VM is known."""
        return self.told.endpoint_id

    @property
    def life(self) -> tuple[str, int]:
        """Which start of which VM this is."""
        return (self.endpoint_id, self.told.born_ms)

    @property
    def is_sound(self) -> bool:
        """Whether the VM may be in a group that is to serve."""
        return not (self.lost or self.gone or self.told.leaving)

    @property
    def member(self) -> commands.GroupMember:
        """The VM as a member in the ledger."""
        return commands.GroupMember(
            endpoint_id=self.endpoint_id,
            incarnation=self.told.born_ms,
            url=self.told.address,
        )

    def place_in(self, group: ledger.Group) -> directory.GroupPlace | None:
        """Return what the VM says of a group under its present epoch."""
        place = self.told.place
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


@dataclasses.dataclass(kw_only=True)
class Planner:
    """One service's VMs, models and groups, and what to do next.

    While VMs are still being found (`is_growing`), small groups only go
    where a large one stands already, so that they do not take its room.

    `warm_models` holds the model that each VM, by id and birth, has been
    ready for last; `broken_heads` holds, by group id and epoch, since when
    a head that is silent has stood still, as the others have left it.
    """

    service: str
    profile: routetables.EngineProfile
    vm_by_id: dict[str, Vm]
    groups: collections.abc.Iterable[ledger.Group]
    now: float
    stall_s: float
    knows_all: bool
    is_growing: bool
    make_id: collections.abc.Callable[[], str]
    broken_heads: dict[tuple[str, int], float]
    warm_models: dict[tuple[str, int], str]
    last_epoch: int
    evidence_of: collections.abc.Callable[[str, int], evidence.GroupEvidence]
    steps: list[Step] = dataclasses.field(default_factory=list)

    def plan(self) -> list[Step]:
        """Return every step that is due now."""
        groups = [g for g in self.groups if g.service == self.service]
        self._held = {
            member.endpoint_id
            for group in groups
            for member in (*group.members, *group.departed)
        }
        self._model_by_name = {m.name: m for m in self.profile.models}
        self._count_by_model = collections.Counter(
            group.model for group in groups if group.members
        )
        self._groups_by_domain = collections.defaultdict(list)
        for group in groups:
            if group.members:
                self._groups_by_domain[group.fabric_domain].append(group)
        largest = max(model.group_size for model in self.profile.models)
        self._has_large = {
            domain
            for domain, here in self._groups_by_domain.items()
            if any(len(group.members) == largest for group in here)
        }
        self._free_by_domain = self._find_free()
        for group in groups:
            self._release_departed(group)
        cut_off = self._find_cut_off()
        for group in groups:
            if group.members and group.data_centre not in cut_off:
                self._advance(group)
        self._free_strays(groups)
        if self.knows_all:
            self._assemble()
            self._rebalance()
            self._stage_spares(groups)
        return self.steps

    def _find_cut_off(self) -> set[str]:
        """Return the data centres that this node can not hear."""
        heard = collections.Counter()
        known = collections.Counter()
        for vm in self.vm_by_id.values():
            if not vm.gone:
                known[vm.told.data_centre] += 1
                heard[vm.told.data_centre] += not vm.lost
        return {
            name
            for name, count in known.items()
            if heard[name] < HEARD_SHARE * count
        }

    def _find_free(self) -> dict[str, list[Vm]]:
        """Return the idle VMs by domain, those of the longest life first."""
        free = collections.defaultdict(list)
        for vm in sorted(
            self.vm_by_id.values(), key=lambda vm: vm.told.born_ms
        ):
            if vm.is_sound and vm.endpoint_id not in self._held:
                if vm.told.place is None and not vm.slow:
                    free[vm.told.fabric_domain].append(vm)
        return free

    # Groups that are there

    def _advance(self, group: ledger.Group) -> None:
        """Bring a group closer to serving, or repair it."""
        vms = [self._member_vm(member) for member in group.members]
        if self._works_unheard(group, vms):
            return
        if all(vm is not None and vm.is_sound for vm in vms):
            if group.state == 'serving' and any(vm.slow for vm in vms):
                self._replace_slow(group, vms)
                return
            self._bring_up(group, vms)
        elif self.knows_all:
            self._take_apart(group, vms)

    def _replace_slow(self, group: ledger.Group, vms: list[Vm]) -> None:
        """Replace slow members, if spares stand ready for all of them.

        Without these a slow group is better than one that waits for a
        load.
        """
        slow = [vm for vm in vms if vm.slow]
        free = self._free_by_domain[group.fabric_domain]
        ready = [
            vm for vm in free if self._slowness(vm, group.model) < NEEDS_LOAD
        ]
        if len(ready) < len(slow):
            return
        if self._stop_head(group, vms, after_requests=False):
            return
        chosen = ready[: len(slow)]
        for vm in chosen:
            free.remove(vm)
        kept = [vm for vm in vms if not vm.slow]
        self._propose(
            commands.RepairGroup(
                group_id=group.group_id,
                fencing=group.fencing,
                members=[vm.member for vm in (*kept, *chosen)],
            ),
            'a member is slow',
        )

    def _works_unheard(
        self, group: ledger.Group, vms: list[Vm | None]
    ) -> bool:
        """Whether members are silent, but the group makes progress.

        They are cut off from control only, and callers are served.
        """
        if any(vm is None or vm.gone or vm.told.leaving for vm in vms):
            return False
        seen = self.evidence_of(group.group_id, group.fencing)
        return (
            any(vm.lost for vm in vms)
            and self.now - seen.progressed_at < PROGRESS_S
            and seen.progressed_at > seen.stalled_at
        )

    def _member_vm(self, member: commands.GroupMember) -> Vm | None:
        """Return a member's VM, None if it is not the same life."""
        vm = self.vm_by_id.get(member.endpoint_id)
        if vm is None or vm.told.born_ms != member.incarnation:
            return None
        return vm

    def _bring_up(self, group: ledger.Group, vms: list[Vm]) -> None:
        places = [vm.place_in(group) for vm in vms]
        if any(
            place is not None and place.state is directory.MemberState.BROKEN
            for place in places
        ):
            self._renew(group, vms, 'the head is broken')
            return
        if any(place is None for place in places):
            if group.state == 'serving':
                self._renew(group, vms, 'a member has left')
                return
            for vm, place in zip(vms, places, strict=True):
                if place is None:
                    self._join(vm, group)
            return
        match places[0].state:
            case directory.MemberState.OPEN:
                if group.state == 'assembling':
                    self._propose(
                        commands.SetGroupState(
                            group_id=group.group_id,
                            fencing=group.fencing,
                            state='serving',
                        ),
                        'the head is open',
                    )
            case directory.MemberState.READY:
                if all(
                    place.state is directory.MemberState.READY
                    for place in places
                ):
                    self.steps.append(Open(vm=vms[0], group=group))

    def _renew(self, group: ledger.Group, vms: list[Vm], why: str) -> None:
        """Form a group anew from members that have fallen out of it."""
        if self._stop_head(group, vms, after_requests=False):
            return
        self._propose(
            commands.RepairGroup(
                group_id=group.group_id,
                fencing=group.fencing,
                members=[vm.member for vm in vms],
            ),
            why,
        )

    def _join(self, vm: Vm, group: ledger.Group) -> None:
        held = vm.told.place
        if held is not None and held.group_id != group.group_id:
            self._get_out(vm)
            return
        self.steps.append(
            Join(
                vm=vm,
                group=group,
                needs_load=group.model not in vm.told.staged,
            )
        )

    def _stop_head(
        self,
        group: ledger.Group,
        vms: list[Vm | None],
        *,
        after_requests: bool,
    ) -> bool:
        """Have the head stop; return whether to wait for that."""
        head = vms[0]
        if head is None or head.gone:
            # A VM that ended, or started anew, serves nothing any more.
            return False
        place = head.place_in(group)
        if head.lost:
            return self._wait_for_silent_head(group, vms)
        if place is None or place.state not in (
            directory.MemberState.OPEN,
            directory.MemberState.CLOSING,
        ):
            return False
        if place.state is directory.MemberState.OPEN or not after_requests:
            self.steps.append(
                Close(
                    vm=head,
                    group_id=group.group_id,
                    epoch=group.fencing,
                    after_requests=after_requests,
                )
            )
        return True

    def _wait_for_silent_head(
        self, group: ledger.Group, vms: list[Vm | None]
    ) -> bool:
        """Have the others leave, so that the head breaks if it still runs.

        Return whether it may still be serving. An entry next door that
        can not reach it either takes it for dead.
        """
        seen = self.evidence_of(group.group_id, group.fencing)
        if (
            self.now - seen.unreachable_at < UNREACHABLE_S
            and seen.unreachable_at > seen.progressed_at
        ):
            return False
        staying = [
            vm
            for vm in vms[1:]
            if vm is not None and vm.is_sound and vm.place_in(group)
        ]
        for vm in staying:
            self.steps.append(
                Leave(vm=vm, group_id=group.group_id, epoch=group.fencing)
            )
        if staying and len(staying) == sum(
            1 for vm in vms[1:] if vm is not None and vm.is_sound
        ):
            return True
        since = self.broken_heads.setdefault(
            (group.group_id, group.fencing), self.now
        )
        return self.now - since < self.stall_s

    def _take_apart(self, group: ledger.Group, vms: list[Vm | None]) -> None:
        """Replace lost members, or end the group where none can."""
        only_leaving = all(
            vm is not None and not vm.lost and not vm.gone for vm in vms
        )
        if self._stop_head(group, vms, after_requests=only_leaving):
            return
        survivors = [vm for vm in vms if vm is not None and vm.is_sound]
        missing = len(group.members) - len(survivors)
        free = self._free_by_domain[group.fabric_domain]
        free.sort(key=lambda vm: self._slowness(vm, group.model))
        if len(free) < missing:
            if len(free) + self._count_coming(group) >= missing:
                return
            donor = self._find_donor(group, missing - len(free))
            if donor is not None:
                self._give_up(donor, f'{group.model} is in greater need')
                return
            self._propose(
                commands.DissolveGroup(
                    group_id=group.group_id, fencing=group.fencing
                ),
                'no spare VM in the domain',
            )
            return
        chosen = free[:missing]
        del free[:missing]
        self._propose(
            commands.RepairGroup(
                group_id=group.group_id,
                fencing=group.fencing,
                members=[vm.member for vm in (*survivors, *chosen)],
            ),
            'a member was lost or leaves',
        )

    def _count_coming(self, group: ledger.Group) -> int:
        """Return how many VMs of the domain are about to become free."""
        return sum(
            vm is not None and vm.is_sound
            for other in self.groups
            if other.fabric_domain == group.fabric_domain
            for vm in map(self._member_vm, other.departed)
        )

    def _release_departed(self, group: ledger.Group) -> None:
        """Free the VMs that are surely out of a group."""
        for member in group.departed:
            vm = self.vm_by_id.get(member.endpoint_id)
            if vm is not None and vm.told.born_ms == member.incarnation:
                if vm.lost and not vm.gone:
                    continue
                place = vm.told.place
                if place is not None and place.group_id == group.group_id:
                    if not vm.gone:
                        self._get_out(vm)
                        continue
            elif vm is None and not self.knows_all:
                continue
            self._propose(
                commands.ReleaseVm(
                    group_id=group.group_id, endpoint_id=member.endpoint_id
                ),
                'the VM is out of the group',
            )

    def _get_out(self, vm: Vm) -> None:
        """Have a VM leave the group that it says it is in."""
        place = vm.told.place
        if place.state in (
            directory.MemberState.OPEN,
            directory.MemberState.CLOSING,
        ):
            self.steps.append(
                Close(
                    vm=vm,
                    group_id=place.group_id,
                    epoch=place.epoch,
                    after_requests=False,
                )
            )
        else:
            self.steps.append(
                Leave(vm=vm, group_id=place.group_id, epoch=place.epoch)
            )

    def _free_strays(self, groups: list[ledger.Group]) -> None:
        """Have VMs leave groups that the ledger does not give them."""
        for vm in self.vm_by_id.values():
            place = vm.told.place
            if place is None or not vm.is_sound:
                continue
            if (
                place.group_id.startswith(WARM_PREFIX)
                and place.state is directory.MemberState.JOINING
            ):
                continue
            if vm.endpoint_id not in self._held:
                self._get_out(vm)

    def _propose(self, command: commands.AnyCommand, reason: str) -> None:
        self.steps.append(Propose(command=command, reason=reason))

    def _slowness(self, vm: Vm, model: str) -> int:
        """Return a rank by how long a VM takes to join a model's group."""
        if model not in vm.told.staged:
            return NEEDS_LOAD
        return 0 if self.warm_models.get(vm.life) == model else 1

    # New groups

    def _assemble(self) -> None:
        """Assemble groups, always of the model that is most in need."""
        count_by_model = self._count_by_model
        models = [m for m in self.profile.models if m.load_share > 0]
        while models:
            models.sort(
                key=lambda m: (
                    self._supply(m),
                    -m.group_size,
                )
            )
            picked = self._pick(models)
            if picked is None:
                return
            model, domain = picked
            free = self._free_by_domain[domain]
            free.sort(key=lambda vm: self._slowness(vm, model.name))
            members = free[: model.group_size]
            del free[: model.group_size]
            count_by_model[model.name] += 1
            self._has_large.add(domain)
            self._propose(
                commands.AssembleGroup(
                    group_id=self.make_id(),
                    service=self.service,
                    model=model.name,
                    version='',
                    data_centre=members[0].told.data_centre,
                    fabric_domain=domain,
                    members=[vm.member for vm in members],
                ),
                f'model {model.name} has the least capacity for its load',
            )

    def _pick(
        self,
        models: list[routetables.ModelProfile],
    ) -> tuple[routetables.ModelProfile, str] | None:
        """Return the neediest model that fits, and the domain for it.

        A small group that would take the room of a larger one yields to
        it, unless the larger model has far more than it needs.
        """
        for model in models:
            found = self._pick_domain(model)
            if found is None:
                continue
            domain, is_costly = found
            if is_costly:
                supply = self._supply(model)
                for larger in models:
                    if (
                        larger.group_size > model.group_size
                        and len(self._free_by_domain[domain])
                        >= larger.group_size
                        and self._supply(larger) <= 2 * supply
                    ):
                        return larger, domain
            return model, domain
        return None

    def _pick_domain(
        self, model: routetables.ModelProfile
    ) -> tuple[str, bool] | None:
        """Return the best domain with room, and if it costs a large group.

        Prefers the domain that keeps most VMs as spares.
        """
        largest = max(m.group_size for m in self.profile.models)
        choices = [
            (
                len(free) // largest
                - (len(free) - model.group_size) // largest
                if model.group_size < largest
                else 0,
                model.group_size - len(free),
                domain,
            )
            for domain, free in self._free_by_domain.items()
            if len(free) >= model.group_size + self._spares(model, domain)
            and (
                not self.is_growing
                or model.group_size == largest
                or domain in self._has_large
            )
        ]
        if not choices:
            return None
        lost_groups, _, domain = min(choices)
        return domain, lost_groups > 0

    def _spares(self, model: routetables.ModelProfile, domain: str) -> int:
        """Return how many VMs a new group has to leave in its domain."""
        if self._count_by_model[model.name] < GROUPS_BEFORE_SPARES:
            return 0
        return SPARES_BY_DOMAIN if self._groups_by_domain[domain] else 0

    def _supply(
        self, model: routetables.ModelProfile, *, change: int = 0
    ) -> float:
        """Return the VMs of a model's groups against its share of work."""
        count = self._count_by_model[model.name] + change
        return count * model.group_size / model.load_share

    def _find_donor(
        self, needy: ledger.Group, wanted: int
    ) -> ledger.Group | None:
        """Return a group of the domain whose model can spare it better."""
        model = self._model_by_name.get(needy.model)
        if model is None or model.load_share <= 0:
            return None
        return self._pick_donor(
            self._groups_by_domain[needy.fabric_domain],
            wanted=wanted,
            supply=self._supply(model, change=-1),
        )

    def _pick_donor(
        self,
        groups: list[ledger.Group],
        *,
        wanted: int,
        supply: float,
    ) -> ledger.Group | None:
        """Return the group whose model has most beyond a supply."""
        richest = None
        most = supply
        for group in groups:
            model = self._model_by_name.get(group.model)
            if model is None or model.load_share <= 0:
                return group
            left = self._supply(model, change=-1)
            if left > most and len(group.members) >= wanted:
                richest = group
                most = left
        return richest

    def _give_up(self, group: ledger.Group, why: str) -> None:
        """End a group after its requests, for the sake of another."""
        vms = [self._member_vm(member) for member in group.members]
        if self._stop_head(group, vms, after_requests=True):
            return
        self._propose(
            commands.DissolveGroup(
                group_id=group.group_id, fencing=group.fencing
            ),
            why,
        )

    def _rebalance(self) -> None:
        """Give up a group where another model is in greater need.

        One at a time, and only while all groups stand, so that what is
        lost to forming groups stays small.
        """
        if self.is_growing or self.steps:
            return
        models = [m for m in self.profile.models if m.load_share > 0]
        if not models:
            return
        needy = min(models, key=self._supply)
        best = None
        for domain, groups in sorted(self._groups_by_domain.items()):
            if any(group.state != 'serving' for group in groups):
                return
            free = len(self._free_by_domain[domain])
            donor = self._pick_donor(
                [group for group in groups if group.model != needy.name],
                wanted=needy.group_size - free,
                supply=self._supply(needy),
            )
            if donor is not None and (best is None or free > best[0]):
                best = (free, donor)
        if best is not None:
            self._give_up(best[1], f'{needy.name} is in greater need')

    def _stage_spares(self, groups: list[ledger.Group]) -> None:
        """Load onto spare VMs what the groups of their domain run."""
        for domain, free in self._free_by_domain.items():
            here = [
                group.model
                for group in groups
                if group.fabric_domain == domain and group.members
            ]
            if not here:
                continue
            wanted = sorted(
                set(here),
                key=lambda name: -self._model_by_name[name].group_size,
            )
            staged = {name for vm in free for name in vm.told.staged}
            missing = [name for name in wanted if name not in staged]
            idle = [vm for vm in free if not set(vm.told.staged) & set(wanted)]
            for vm in idle[:SPARES_BY_DOMAIN]:
                name = missing.pop(0) if missing else wanted[0]
                self.steps.append(Stage(vm=vm, model=name))
            self._warm_spares(free, wanted)

    def _warm_spares(self, free: list[Vm], wanted: list[str]) -> None:
        """Get the spares ready that hold what groups of their domain run."""
        for vm in free:
            model = next((m for m in vm.told.staged if m in wanted), None)
            if model is not None and self._slowness(vm, model):
                self.steps.append(
                    Warm(vm=vm, model=model, epoch=self.last_epoch)
                )
