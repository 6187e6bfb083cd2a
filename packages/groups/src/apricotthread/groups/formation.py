"""Plans how groups of several models are formed from one pool of VMs.

A plan follows from the ledger, the announcements of VMs and what entries
report of groups, so a new leader continues where the old one stopped.
Nothing here waits or does any I/O.
"""

import collections
import collections.abc
import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence
from apricotthread.groups import assembly
from apricotthread.groups import pool
from apricotthread.groups import readiness
from apricotthread.groups import spares
from apricotthread.groups import steps

# For how long a report of progress, or of an unreachable head, counts.
# Entries report twice a second.
PROGRESS_MAX_AGE_S = 1.5
UNREACHABLE_MAX_AGE_S = 3.0
# A data centre counts as cut off if less than this share of its VMs is
# heard: its groups go on serving there, but can not be reached from here.
MIN_HEARD_SHARE = 0.35
# The heartbeat period of the platform's workers (1.2 s) plus the delay of
# the network. A VM heard longer ago does not count as heard, even if it is
# not marked lost yet: when a data centre is cut off, probed members are
# marked lost before all other VMs there have missed a heartbeat.
HEARTBEAT_MAX_AGE_S = 1.4


@dataclasses.dataclass(kw_only=True)
class Planner:
    """Plans the next steps for the VMs and groups of one service.

    `knows_most_vms` is true once this node has listened long enough since
    its start to have heard most VMs. `unheard_means_lost` is true once it
    has listened so long that a VM it has not heard counts as lost.

    `taken_out` holds the data centres that operators took out.
    `isolated_since_by_group` holds, by group id and epoch, since when all
    other members of a silent head have left it, so that it stands still.
    `free_since_by_domain` holds the ids of the idle VMs of each domain and
    the time since when this set has not changed.
    """

    service: str
    profile: routetables.EngineProfile
    vm_by_id: dict[str, steps.Vm]
    groups: collections.abc.Iterable[ledger.Group]
    now: float
    stall_s: float
    knows_most_vms: bool
    unheard_means_lost: bool
    is_fleet_growing: bool
    taken_out: frozenset[str]
    has_callers: bool
    make_id: collections.abc.Callable[[], str]
    isolated_since_by_group: dict[tuple[str, int], float]
    free_since_by_domain: dict[str, tuple[frozenset[str], float]]
    ready: readiness.Readiness
    last_epoch: int
    evidence_of: collections.abc.Callable[[str, int], evidence.GroupEvidence]
    planned: list[steps.Step] = dataclasses.field(default_factory=list)

    def plan(self) -> list[steps.Step]:
        """Return all steps to take now."""
        groups = [g for g in self.groups if g.service == self.service]
        self._held_vm_ids = {
            member.endpoint_id
            for group in groups
            for member in (*group.members, *group.departed)
        }
        groups_by_domain = collections.defaultdict(list)
        for group in groups:
            if group.members:
                groups_by_domain[group.fabric_domain].append(group)
        self._pool = pool.Pool(
            profile=self.profile,
            ready=self.ready,
            free_by_domain=self._find_free(),
            warming_by_domain=self._find_warming(),
            groups_by_domain=dict(groups_by_domain),
            taken_out_domains=frozenset(
                vm.last_announcement.fabric_domain
                for vm in self.vm_by_id.values()
                if vm.last_announcement.data_centre in self.taken_out
            ),
            is_domain_settled=self._is_domain_settled,
            count_by_model=collections.Counter(
                group.model
                for group in groups
                if group.members and group.data_centre not in self.taken_out
            ),
        )
        for group in groups:
            self._release_departed(group)
        cut_off = self._find_cut_off()
        for group in groups:
            if group.members and group.data_centre not in cut_off:
                self._advance(group)
        self._remove_strays(groups)
        if self.knows_most_vms:
            self._track_idle_vms()
            self.planned += assembly.Assembler(
                service=self.service,
                vms=self._pool,
                is_fleet_growing=self.is_fleet_growing,
                has_callers=self.has_callers,
                make_id=self.make_id,
            ).plan()
            self._rebalance()
            self.planned += spares.plan_spares(
                self._pool, last_epoch=self.last_epoch
            )
        return self.planned

    def _track_idle_vms(self) -> None:
        """Record since when the set of each domain's idle VMs is the same."""
        for domain, free in self._pool.free_by_domain.items():
            names = frozenset(vm.endpoint_id for vm in free)
            if self.free_since_by_domain.get(domain, (None, 0.0))[0] != names:
                self.free_since_by_domain[domain] = (names, self.now)

    def _is_domain_settled(self, domain: str) -> bool:
        """Whether all idle VMs of a domain that come back are there.

        So it is once their set has not changed for a while. A domain that
        had no idle VM since this node started has none to wait for, and none
        to use. Before the first callers, VMs are found one by one and none
        is waited for.
        """
        if not self.has_callers:
            return True
        tracked = self.free_since_by_domain.get(domain)
        return (
            tracked is not None and self.now - tracked[1] >= assembly.SETTLE_S
        )

    def _find_cut_off(self) -> set[str]:
        """Return the data centres that are cut off from this node."""
        heard_by_data_centre = collections.Counter()
        known_by_data_centre = collections.Counter()
        for vm in self.vm_by_id.values():
            if not vm.gone:
                known_by_data_centre[vm.last_announcement.data_centre] += 1
                heard_by_data_centre[vm.last_announcement.data_centre] += (
                    not vm.lost and vm.heard_s_ago < HEARTBEAT_MAX_AGE_S
                )
        return {
            name
            for name, count in known_by_data_centre.items()
            if heard_by_data_centre[name] < MIN_HEARD_SHARE * count
        }

    def _find_free(self) -> dict[str, list[steps.Vm]]:
        """Return the idle VMs by domain, the longest running first."""
        free = collections.defaultdict(list)
        for vm in sorted(
            self.vm_by_id.values(), key=lambda vm: vm.last_announcement.born_ms
        ):
            if vm.is_usable and vm.endpoint_id not in self._held_vm_ids:
                if vm.last_announcement.place is None and not vm.slow:
                    free[vm.last_announcement.fabric_domain].append(vm)
        return dict(free)

    def _find_warming(self) -> dict[str, list[steps.Vm]]:
        """Return the spares that are warming up for their model, by domain."""
        warming = collections.defaultdict(list)
        for vm in self.vm_by_id.values():
            if vm.is_usable and vm.is_warming:
                if vm.endpoint_id not in self._held_vm_ids:
                    warming[vm.last_announcement.fabric_domain].append(vm)
        return dict(warming)

    # Existing groups

    def _advance(self, group: ledger.Group) -> None:
        """Plan what brings a group closer to serving, or repairs it."""
        vms = [self._member_vm(member) for member in group.members]
        if self._progresses_unheard(group, vms) or self._has_unheard_member(
            group
        ):
            return
        if all(vm is not None and vm.is_usable for vm in vms):
            if group.state == 'serving' and any(vm.slow for vm in vms):
                self._replace_slow(group, vms)
                return
            self._bring_up(group, vms)
        elif self.knows_most_vms:
            self._repair_or_dissolve(group, vms)

    def _replace_slow(self, group: ledger.Group, vms: list[steps.Vm]) -> None:
        """Replace slow members, if loaded spares exist for all of them.

        Without such spares, a slow group is better than one that waits for
        weights to load.
        """
        slow = [vm for vm in vms if vm.slow]
        free = self._pool.free_in(group.fabric_domain)
        ready = [
            vm for vm in free if not self.ready.needs_load(vm, group.model)
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

    def _progresses_unheard(
        self, group: ledger.Group, vms: list[steps.Vm | None]
    ) -> bool:
        """Whether members are silent, but the group makes progress.

        They are cut off from this control node only; callers are served.
        """
        if any(
            vm is None or vm.gone or vm.last_announcement.leaving for vm in vms
        ):
            return False
        return any(vm.lost for vm in vms) and self._makes_progress(group)

    def _makes_progress(self, group: ledger.Group) -> bool:
        """Whether callers get answers from a group, so all members work."""
        group_evidence = self.evidence_of(group.group_id, group.fencing)
        return (
            self.now - group_evidence.progressed_at < PROGRESS_MAX_AGE_S
            and group_evidence.progressed_at > group_evidence.stalled_at
        )

    def _has_unheard_member(self, group: ledger.Group) -> bool:
        """Whether a member is unknown, but may still be heard.

        So it is for a while after this node has started.
        """
        return not self.unheard_means_lost and any(
            member.endpoint_id not in self.vm_by_id for member in group.members
        )

    def _member_vm(self, member: commands.GroupMember) -> steps.Vm | None:
        """Return a member's VM, None if unknown or another incarnation."""
        vm = self.vm_by_id.get(member.endpoint_id)
        if vm is None or vm.last_announcement.born_ms != member.incarnation:
            return None
        return vm

    def _bring_up(self, group: ledger.Group, vms: list[steps.Vm]) -> None:
        places = [vm.place_in(group) for vm in vms]
        if any(
            place is not None and place.state is directory.MemberState.BROKEN
            for place in places
        ):
            self._reassemble(group, vms, 'the head is broken')
            return
        if any(place is None for place in places):
            if group.state == 'serving':
                self._reassemble(group, vms, 'a member has left')
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
                    self.planned.append(steps.Open(vm=vms[0], group=group))

    def _reassemble(
        self, group: ledger.Group, vms: list[steps.Vm], why: str
    ) -> None:
        """Form a group again from the same members, under a new epoch.

        A member has left it, or its head broke.
        """
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

    def _join(self, vm: steps.Vm, group: ledger.Group) -> None:
        announced_place = vm.last_announcement.place
        if (
            announced_place is not None
            and announced_place.group_id != group.group_id
        ):
            self._order_out(vm)
            return
        self.planned.append(
            steps.Join(
                vm=vm,
                group=group,
                needs_load=group.model not in vm.last_announcement.staged,
            )
        )

    def _stop_head(
        self,
        group: ledger.Group,
        vms: list[steps.Vm | None],
        *,
        after_requests: bool,
    ) -> bool:
        """Have the head stop serving; return whether to wait for it."""
        head = vms[0]
        if head is None:
            return False
        if head.gone:
            # One that ended or restarted no longer serves the group; one that
            # said that it leaves may do so for seconds.
            return self._makes_progress(group)
        place = head.place_in(group)
        if head.lost:
            return self._wait_for_silent_head(group, vms)
        if place is None or place.state not in (
            directory.MemberState.OPEN,
            directory.MemberState.CLOSING,
        ):
            return False
        if place.state is directory.MemberState.OPEN or not after_requests:
            self.planned.append(
                steps.Close(
                    vm=head,
                    group_id=group.group_id,
                    epoch=group.fencing,
                    after_requests=after_requests,
                )
            )
        return True

    def _wait_for_silent_head(
        self, group: ledger.Group, vms: list[steps.Vm | None]
    ) -> bool:
        """Have the others leave, so that the head breaks if it still runs.

        Return whether the head may still be serving. It counts as dead if
        an entry of its own data centre can not reach it either, or once it
        has been without the other members for `stall_s`.
        """
        group_evidence = self.evidence_of(group.group_id, group.fencing)
        if (
            self.now - group_evidence.unreachable_at < UNREACHABLE_MAX_AGE_S
            and group_evidence.unreachable_at > group_evidence.progressed_at
        ):
            return False
        remaining = [
            vm
            for vm in vms[1:]
            if vm is not None and vm.is_usable and vm.place_in(group)
        ]
        for vm in remaining:
            self.planned.append(
                steps.Leave(
                    vm=vm, group_id=group.group_id, epoch=group.fencing
                )
            )
        if remaining and len(remaining) == sum(
            1 for vm in vms[1:] if vm is not None and vm.is_usable
        ):
            return True
        isolated_since = self.isolated_since_by_group.setdefault(
            (group.group_id, group.fencing), self.now
        )
        return self.now - isolated_since < self.stall_s

    def _repair_or_dissolve(
        self, group: ledger.Group, vms: list[steps.Vm | None]
    ) -> None:
        """Replace lost members, or dissolve the group if no VM is left.

        While callers are served, only VMs that hold the weights replace
        members: the others of a dissolved group can replace members of
        further groups, until enough VMs have loaded for a new one.
        """
        may_finish = all(vm is not None and not vm.lost for vm in vms) and (
            not any(vm.gone for vm in vms) or self._makes_progress(group)
        )
        if self._stop_head(group, vms, after_requests=may_finish):
            return
        survivors = [vm for vm in vms if vm is not None and vm.is_usable]
        missing = len(group.members) - len(survivors)
        free = self._pool.free_in(group.fabric_domain)
        usable = [vm for vm in free if self._may_join_now(vm, group.model)]
        self.ready.sort(usable, group.model)
        if len(usable) < missing:
            if len(usable) + self._count_soon_free(group) >= missing:
                return
            if not self.has_callers:
                donor = self._find_donor(group, missing - len(usable))
                if donor is not None:
                    self._retire(donor, f'{group.model} needs the VMs more')
                    return
            self._propose(
                commands.DissolveGroup(
                    group_id=group.group_id, fencing=group.fencing
                ),
                'no spare VM in the domain',
            )
            return
        chosen = usable[:missing]
        for vm in chosen:
            free.remove(vm)
        self._propose(
            commands.RepairGroup(
                group_id=group.group_id,
                fencing=group.fencing,
                members=[vm.member for vm in (*survivors, *chosen)],
            ),
            'a member was lost or is leaving',
        )

    def _may_join_now(self, vm: steps.Vm, model: str) -> bool:
        """Whether a VM may join a group of the model, loading it if need be.

        No group may wait for weights while callers are served.
        """
        return not self.has_callers or not self.ready.needs_load(vm, model)

    def _count_soon_free(self, group: ledger.Group) -> int:
        """Return how many VMs of the domain can soon replace a member."""
        return sum(
            vm is not None
            and vm.is_usable
            and self._may_join_now(vm, group.model)
            for other in self.groups
            if other.fabric_domain == group.fabric_domain
            for vm in map(self._member_vm, other.departed)
        )

    def _release_departed(self, group: ledger.Group) -> None:
        """Release the departed VMs that have certainly left a group."""
        for member in group.departed:
            vm = self.vm_by_id.get(member.endpoint_id)
            if (
                vm is not None
                and vm.last_announcement.born_ms == member.incarnation
            ):
                if vm.lost and not vm.gone:
                    continue
                place = vm.last_announcement.place
                if place is not None and place.group_id == group.group_id:
                    if not vm.gone:
                        self._order_out(vm)
                        continue
            elif vm is None and not self.unheard_means_lost:
                continue
            self._propose(
                commands.ReleaseVm(
                    group_id=group.group_id, endpoint_id=member.endpoint_id
                ),
                'the VM has left the group',
            )

    def _order_out(self, vm: steps.Vm) -> None:
        """Have a VM leave the group that it announced."""
        place = vm.last_announcement.place
        if place.state in (
            directory.MemberState.OPEN,
            directory.MemberState.CLOSING,
        ):
            self.planned.append(
                steps.Close(
                    vm=vm,
                    group_id=place.group_id,
                    epoch=place.epoch,
                    after_requests=False,
                )
            )
        else:
            self.planned.append(
                steps.Leave(vm=vm, group_id=place.group_id, epoch=place.epoch)
            )

    def _remove_strays(self, groups: list[ledger.Group]) -> None:
        """Have VMs leave groups that they are not in by the ledger."""
        for vm in self.vm_by_id.values():
            place = vm.last_announcement.place
            if place is None or not vm.is_usable:
                continue
            if vm.is_warming:
                continue
            if vm.endpoint_id not in self._held_vm_ids:
                self._order_out(vm)

    def _propose(self, command: commands.AnyCommand, reason: str) -> None:
        self.planned.append(steps.Propose(command=command, reason=reason))

    def _find_donor(
        self, needy: ledger.Group, min_members: int
    ) -> ledger.Group | None:
        """Return a group of the domain whose model needs it less."""
        model = self.profile.model_by_name().get(needy.model)
        if model is None or model.load_share <= 0:
            return None
        return self._pool.pick_donor(
            self._pool.groups_by_domain.get(needy.fabric_domain, ()),
            min_members=min_members,
            capacity_per_load=self._pool.capacity_per_load(model, change=-1),
        )

    def _retire(self, group: ledger.Group, why: str) -> None:
        """Dissolve a group after its requests, in favour of another model."""
        vms = [self._member_vm(member) for member in group.members]
        if self._stop_head(group, vms, after_requests=True):
            return
        self._propose(
            commands.DissolveGroup(
                group_id=group.group_id, fencing=group.fencing
            ),
            why,
        )

    def _has_unserved_model(self) -> bool:
        """Whether a model has no group, and no VM is loading its weights."""
        loading = {
            staging.model
            for staging in self.ready.staging_by_incarnation.values()
        }
        return any(
            not self._pool.count_by_model[model.name]
            and model.name not in loading
            for model in self._pool.models
        )

    def _rebalance(self) -> None:
        """Dissolve one group whose VMs another model needs more.

        Only one at a time, and only while all groups serve, so that little
        capacity is lost to groups being formed. While callers are served
        only for a model without any group, as all members have to load.
        """
        if self.is_fleet_growing or self.planned:
            return
        if self.has_callers and not self._has_unserved_model():
            return
        models = self._pool.models
        if not models:
            return
        needy = min(models, key=self._pool.capacity_per_load)
        best = None
        for domain, groups in sorted(self._pool.groups_by_domain.items()):
            if any(group.state != 'serving' for group in groups):
                return
            free = len(self._pool.free_in(domain))
            donor = self._pool.pick_donor(
                [group for group in groups if group.model != needy.name],
                min_members=needy.group_size - free,
                capacity_per_load=self._pool.capacity_per_load(needy),
            )
            if donor is not None and (best is None or free > best[0]):
                best = (free, donor)
        if best is not None:
            self._retire(best[1], f'{needy.name} needs the VMs more')
