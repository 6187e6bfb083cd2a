"""Decides what idle VMs load, so that they can replace a lost member."""

import collections

from apricotthread.control import ledger
from apricotthread.groups import pool
from apricotthread.groups import steps

# More are lost in one domain only with the whole of it.
STAGED_BY_DOMAIN = 4


def allocate_spares(
    groups: list[ledger.Group], spares: int
) -> collections.Counter[str]:
    """Return how many spares should hold each model.

    Each spare goes to the model with most members, that is, with most
    that may be lost, for each spare it has and one more; the first ones
    to models that have none.
    """
    members = collections.Counter()
    for group in groups:
        members[group.model] += len(group.members)
    held = collections.Counter()
    for _ in range(spares if members else 0):
        neediest = max(
            members,
            key=lambda name: (
                members[name] / (held[name] + 1),
                -held[name],
                name,
            ),
        )
        held[neediest] += 1
    return held


def plan_spares(vms: pool.Pool, *, last_epoch: int) -> list[steps.Step]:
    """Return the orders that get the spares of all domains ready.

    Load: members lost one after the other, as fast as weights load.
    """
    planned = []
    known = vms.profile.model_by_name()
    for domain, free in vms.free_by_domain.items():
        groups = [
            group
            for group in vms.groups_by_domain.get(domain, ())
            if group.model in known
        ]
        warming = vms.warming_by_domain.get(domain, [])
        count = min(len(free) + len(warming), STAGED_BY_DOMAIN)
        wanted = allocate_spares(groups, count)
        planned.extend(_stage(vms, [*warming, *free], wanted))
        planned.extend(_warm(vms, free, wanted, last_epoch))
    return planned


def _stage(
    vms: pool.Pool, spares: list[steps.Vm], wanted: collections.Counter[str]
) -> list[steps.Step]:
    """Have spares load what too few of them hold or are loading."""
    missing = collections.Counter(wanted)
    left = []
    for vm in spares:
        staging = vms.ready.staging_by_incarnation.get(vm.incarnation_id)
        names = (
            [staging.model]
            if staging is not None
            else vm.last_announcement.staged
        )
        name = next((name for name in names if missing[name] > 0), None)
        if name is not None:
            missing[name] -= 1
        elif vm.last_announcement.place is None:
            left.append(vm)
    # Those without any weights have nothing to lose.
    left.sort(key=lambda vm: bool(vm.last_announcement.staged))
    return [
        steps.Stage(vm=vm, model=name)
        for vm, name in zip(left, missing.elements(), strict=False)
    ]


def _warm(
    vms: pool.Pool,
    free: list[steps.Vm],
    wanted: collections.Counter[str],
    last_epoch: int,
) -> list[steps.Step]:
    """Get the spares ready that hold what groups of their domain run."""
    planned = []
    for vm in free:
        if vm.incarnation_id in vms.ready.staging_by_incarnation:
            continue
        model = next(
            (m for m in vm.last_announcement.staged if m in wanted), None
        )
        if model is not None and not vms.ready.is_warm(vm, model):
            planned.append(steps.Warm(vm=vm, model=model, epoch=last_epoch))
    return planned
