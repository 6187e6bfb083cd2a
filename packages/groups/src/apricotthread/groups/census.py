"""Counts the VMs of a service by what they do, to explain idle ones."""

import collections
import collections.abc
import enum

from apricotthread.control import ledger
from apricotthread.groups import steps


class VmState(enum.Enum):
    """What a VM that can be used does.

    A member of a group is SERVING or FORMING with a whole group, and
    DISRUPTED if another member was lost or is leaving. A DEPARTED one is
    held until it has left its group. The others are in no group.
    """

    SERVING = 'serving'
    FORMING = 'forming'
    DISRUPTED = 'disrupted'
    DEPARTED = 'departed'
    SLOW = 'slow'
    LOADING = 'loading'
    WARMING = 'warming'
    EMPTY = 'empty'
    SPARE = 'spare'


def count_vms(
    *,
    vm_by_id: dict[str, steps.Vm],
    groups: collections.abc.Iterable[ledger.Group],
    loading: frozenset[steps.IncarnationId],
) -> collections.Counter[VmState]:
    """Return the number of usable VMs in each state.

    `loading` holds the VMs that were ordered to load weights.
    """
    state_by_id = {}
    for group in groups:
        members = [vm_by_id.get(m.endpoint_id) for m in group.members]
        state = VmState.FORMING
        if group.state == 'serving':
            state = VmState.SERVING
        if not all(vm is not None and vm.is_usable for vm in members):
            state = VmState.DISRUPTED
        for member in group.members:
            state_by_id[member.endpoint_id] = state
        for member in group.departed:
            state_by_id.setdefault(member.endpoint_id, VmState.DEPARTED)
    return collections.Counter(
        state_by_id.get(vm.endpoint_id) or _state_of_idle(vm, loading)
        for vm in vm_by_id.values()
        if vm.is_usable
    )


def list_spares(
    *,
    vm_by_id: dict[str, steps.Vm],
    groups: collections.abc.Iterable[ledger.Group],
    loading: frozenset[steps.IncarnationId],
) -> list[str]:
    """Return how many spares of each domain hold which model, as text.

    Spares are idle although they hold weights: fewer than a group needs.
    """
    held_ids = {
        member.endpoint_id
        for group in groups
        for member in (*group.members, *group.departed)
    }
    count_by_place = collections.Counter(
        (
            vm.last_announcement.fabric_domain,
            vm.last_announcement.staged[0],
        )
        for vm in vm_by_id.values()
        if vm.is_usable
        and vm.endpoint_id not in held_ids
        and _state_of_idle(vm, loading) is VmState.SPARE
    )
    return [
        f'{domain} {model} {count}'
        for (domain, model), count in sorted(count_by_place.items())
    ]


def _state_of_idle(
    vm: steps.Vm, loading: frozenset[steps.IncarnationId]
) -> VmState:
    if vm.slow:
        return VmState.SLOW
    if vm.incarnation_id in loading:
        return VmState.LOADING
    if vm.is_warming:
        return VmState.WARMING
    if not vm.last_announcement.staged:
        return VmState.EMPTY
    return VmState.SPARE
