"""Plans the next actions for each VM and group, without side effects.

The plan follows from the table, the ledger and what the VMs announced.
It uses only VMs that announced themselves idle and that no group in the
ledger holds.
"""

import collections
import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import tables
from apricotthread.groups import actions
from apricotthread.nodes import messages

IDLE = 'idle'


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanInput:
    """All inputs of a plan.

    A stuck group has been assembling for too long. For a drained group
    every entry has had time to stop sending new work.
    """

    table: tables.Table
    groups: tuple[ledger.Group, ...]
    last_fencing: int
    vm_by_id: dict[str, actions.Vm]
    stuck_group_ids: frozenset[str] = frozenset()
    drained_group_ids: frozenset[str] = frozenset()


def make_plan(plan_input: PlanInput) -> list[actions.Action]:
    """Return the next actions, each of which may safely be repeated."""
    return [
        *_plan_departed(plan_input),
        *_plan_strays(plan_input),
        *_plan_existing(plan_input),
        *_plan_new(plan_input),
    ]


def _plan_departed(plan_input: PlanInput) -> list[actions.Action]:
    """Release departed VMs that have left; order the others to leave."""
    planned: list[actions.Action] = []
    for group in plan_input.groups:
        for member in group.departed:
            vm = plan_input.vm_by_id.get(member.endpoint_id)
            if vm is None or not vm.has_fresh_report:
                continue
            if has_left(group, member, vm.report):
                planned.append(
                    actions.Release(
                        group=group, endpoint_id=member.endpoint_id
                    )
                )
            else:
                planned.append(
                    actions.OrderRelease(
                        endpoint_id=member.endpoint_id,
                        fencing=group.fencing,
                    )
                )
    return planned


def _plan_strays(plan_input: PlanInput) -> list[actions.Action]:
    """Order VMs to leave that no group in the ledger holds.

    A late order to join can put a restarted VM into a group after it was
    released.
    """
    held = _held_ids(plan_input)
    return [
        actions.OrderRelease(
            endpoint_id=endpoint_id, fencing=plan_input.last_fencing
        )
        for endpoint_id, vm in sorted(plan_input.vm_by_id.items())
        if vm.has_fresh_report
        and endpoint_id not in held
        and (vm.report.group_id or vm.report.member_state != IDLE)
    ]


def _held_ids(plan_input: PlanInput) -> set[str]:
    return {
        member.endpoint_id
        for group in plan_input.groups
        for member in (*group.members, *group.departed)
    }


def has_left(
    group: ledger.Group,
    member: commands.GroupMember,
    report: messages.VmReport,
) -> bool:
    """Whether a VM has certainly left its group.

    So it is if it announces itself idle, and either is a new incarnation
    or has a fencing number no lower than that of the order to leave.
    """
    if report.incarnation > member.incarnation:
        return report.member_state == IDLE
    return (
        report.incarnation == member.incarnation
        and report.member_state == IDLE
        and not report.group_id
        and report.fencing >= group.fencing
    )


def lost_members(
    group: ledger.Group, plan_input: PlanInput
) -> list[commands.GroupMember]:
    """Return the members that can no longer serve in the group."""
    return [
        member
        for member in group.members
        if not _can_serve(group, member, plan_input)
    ]


def _can_serve(
    group: ledger.Group, member: commands.GroupMember, plan_input: PlanInput
) -> bool:
    vm = plan_input.vm_by_id.get(member.endpoint_id)
    if vm is None or not vm.has_fresh_report or vm.report.leaving:
        return False
    report = vm.report
    if report.incarnation != member.incarnation:
        return False
    if group.state == 'assembling':
        is_ready = (
            report.member_state == 'ready' and report.fencing == group.fencing
        )
        return is_ready or group.group_id not in plan_input.stuck_group_ids
    return report.group_id == group.group_id and report.fencing == (
        group.fencing
    )


def _plan_existing(plan_input: PlanInput) -> list[actions.Action]:
    """Repair, dissolve or advance each group in the ledger."""
    planned: list[actions.Action] = []
    idle = _idle_by_domain(plan_input)
    services = plan_input.table.service_by_name()
    for group in plan_input.groups:
        if not group.members:
            continue
        lost = lost_members(group, plan_input)
        if group.state == 'draining':
            if _has_failed_member(lost, plan_input) or _is_drained(
                group, plan_input
            ):
                planned.append(actions.Dissolve(group=group))
        elif lost:
            planned.append(_plan_repair(group, lost, idle, plan_input))
        elif group.state == 'assembling':
            planned.append(actions.Advance(group=group))
    if not planned and _is_settled(plan_input):
        planned.extend(_plan_changes(plan_input, services))
    return planned


def _is_drained(group: ledger.Group, plan_input: PlanInput) -> bool:
    """Whether entries have stopped sending work and none is running."""
    vm = plan_input.vm_by_id.get(group.head.endpoint_id)
    is_idle = vm is None or vm.report.running == 0
    return is_idle and group.group_id in plan_input.drained_group_ids


def _has_failed_member(
    lost: list[commands.GroupMember], plan_input: PlanInput
) -> bool:
    """Whether a member was lost in another way than by leaving."""
    return any(not _is_leaving(member, plan_input) for member in lost)


def _is_leaving(member: commands.GroupMember, plan_input: PlanInput) -> bool:
    vm = plan_input.vm_by_id.get(member.endpoint_id)
    return (
        vm is not None
        and vm.has_fresh_report
        and vm.report.leaving
        and vm.report.incarnation == member.incarnation
    )


def _plan_repair(
    group: ledger.Group,
    lost: list[commands.GroupMember],
    idle: dict[actions.FabricDomain, list[actions.Vm]],
    plan_input: PlanInput,
) -> actions.Action:
    """Replace lost members from the same domain, or dissolve the group.

    A member that is leaving still finishes its requests, so a serving
    group whose members only leave drains first.
    """
    only_leaving = not _has_failed_member(lost, plan_input)
    if only_leaving and group.state == 'serving':
        return actions.Drain(group=group)
    domain = actions.FabricDomain(
        data_centre=group.data_centre, name=group.fabric_domain
    )
    spares = idle.get(domain, [])
    if len(spares) < len(lost):
        return actions.Dissolve(group=group)
    replacements = [make_member(vm) for vm in spares[: len(lost)]]
    del spares[: len(lost)]
    survivors = [member for member in group.members if member not in lost]
    return actions.Repair(group=group, members=(*survivors, *replacements))


def make_member(vm: actions.Vm) -> commands.GroupMember:
    """Return the ledger entry for a VM."""
    return commands.GroupMember(
        endpoint_id=vm.report.endpoint_id,
        incarnation=vm.report.incarnation,
        url=vm.report.url,
    )


def _idle_by_domain(
    plan_input: PlanInput,
) -> dict[actions.FabricDomain, list[actions.Vm]]:
    """Return the VMs that may be used for groups, by domain."""
    held = _held_ids(plan_input)
    idle: dict[actions.FabricDomain, list[actions.Vm]] = (
        collections.defaultdict(list)
    )
    for endpoint_id, vm in sorted(plan_input.vm_by_id.items()):
        is_idle = (
            vm.has_fresh_report
            and not vm.report.leaving
            and vm.report.member_state == IDLE
            and not vm.report.group_id
        )
        if is_idle and endpoint_id not in held:
            idle[vm.domain].append(vm)
    return idle


def _is_settled(plan_input: PlanInput) -> bool:
    """Whether all groups serve and no new one could be assembled.

    A departed VM that still reports will soon be free and is waited for.
    A silent one may stay silent, so it is not waited for.
    """
    if any(g.members and g.state != 'serving' for g in plan_input.groups):
        return False
    for group in plan_input.groups:
        for member in group.departed:
            vm = plan_input.vm_by_id.get(member.endpoint_id)
            if vm is not None and vm.has_fresh_report:
                return False
    return not _plan_new(plan_input)


def _plan_changes(
    plan_input: PlanInput, services: dict[str, tables.ServiceRow]
) -> list[actions.Action]:
    """Drain one group that no longer matches the table.

    The next one follows once the VMs of this one serve again, so a change
    of all groups takes no more than one at a time out of service.
    """
    groups = [group for group in plan_input.groups if group.members]
    for group in groups:
        if _is_outdated(group, services.get(group.service)):
            return [actions.Drain(group=group)]
    groups_by_service = collections.defaultdict(list)
    for group in groups:
        groups_by_service[group.service].append(group)
    return _plan_rebalance(services, groups_by_service)


def _is_outdated(
    group: ledger.Group, service: tables.ServiceRow | None
) -> bool:
    return (
        service is None
        or service.type != 'model'
        or service.group_vms != len(group.members)
        or (service.model, service.version) != (group.model, group.version)
    )


def _plan_rebalance(
    services: dict[str, tables.ServiceRow],
    groups_by_service: dict[str, list[ledger.Group]],
) -> list[actions.Action]:
    """Drain one group of the service that has the most VMs per weight.

    This is done only if it brings the pool closer to the weights.
    """
    for pool in sorted({s.pool for s in services.values()}):
        rows = [
            s
            for s in services.values()
            if s.pool == pool and s.type == 'model'
        ]
        if len(rows) < 2:
            continue
        vms_per_weight = {
            s.name: len(groups_by_service[s.name]) * s.group_vms / s.weight
            for s in rows
        }
        poorest = min(rows, key=lambda s: (vms_per_weight[s.name], s.name))
        richest = max(rows, key=lambda s: (vms_per_weight[s.name], s.name))
        if not groups_by_service[richest.name]:
            continue
        after_gain = (
            vms_per_weight[poorest.name] + poorest.group_vms / poorest.weight
        )
        after_loss = (
            vms_per_weight[richest.name] - richest.group_vms / richest.weight
        )
        if max(after_gain, after_loss) < vms_per_weight[richest.name] and (
            after_loss >= vms_per_weight[poorest.name]
        ):
            large_enough = [
                g
                for g in groups_by_service[richest.name]
                if len(g.members) >= poorest.group_vms
            ]
            if large_enough:
                return [actions.Drain(group=large_enough[-1])]
    return []


def _plan_new(plan_input: PlanInput) -> list[actions.Action]:
    """Assemble groups from idle VMs, by the weights in each pool."""
    planned: list[actions.Action] = []
    idle = _idle_by_domain(plan_input)
    reserved_by_domain = _lost_by_domain(plan_input)
    for domain, count in reserved_by_domain.items():
        del idle[domain][:count]
    for pool in sorted(
        {r.pool for r in plan_input.table.service_by_name().values()}
    ):
        rows = [
            r
            for r in plan_input.table.service_by_name().values()
            if r.pool == pool and r.type == 'model'
        ]
        held = collections.Counter()
        for group in plan_input.groups:
            held[group.service] += len(group.members)
        while True:
            chosen = _choose_next(rows, held, idle)
            if chosen is None:
                break
            planned.append(chosen)
            held[chosen.service.name] += len(chosen.members)
            taken = {m.endpoint_id for m in chosen.members}
            idle[chosen.domain] = [
                vm
                for vm in idle[chosen.domain]
                if vm.report.endpoint_id not in taken
            ]
    return planned


def _lost_by_domain(plan_input: PlanInput) -> dict[actions.FabricDomain, int]:
    """Return how many idle VMs are reserved for repairs, by domain."""
    count: dict[actions.FabricDomain, int] = collections.Counter()
    for group in plan_input.groups:
        if group.members and group.state != 'draining':
            domain = actions.FabricDomain(
                data_centre=group.data_centre, name=group.fabric_domain
            )
            count[domain] += len(lost_members(group, plan_input))
    return count


def _choose_next(
    rows: list[tables.ServiceRow],
    held: collections.Counter,
    idle: dict[actions.FabricDomain, list[actions.Vm]],
) -> actions.Assemble | None:
    """Return the new group that brings the pool closest to its weights.

    It goes to the domain with the fewest idle VMs that has enough, so that
    domains with more keep them, as spares or for larger groups.
    """
    by_need = sorted(rows, key=lambda r: (held[r.name] / r.weight, r.name))
    for row in by_need:
        fitting = [
            (len(vms), domain.data_centre, domain.name, domain)
            for domain, vms in idle.items()
            if len(vms) >= row.group_vms
        ]
        if not fitting:
            continue
        domain = min(fitting, key=lambda item: item[:3])[3]
        chosen = idle[domain][: row.group_vms]
        return actions.Assemble(
            service=row,
            domain=domain,
            members=tuple(make_member(vm) for vm in chosen),
        )
    return None
