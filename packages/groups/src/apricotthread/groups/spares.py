"""Decides which models spare VMs load, to replace lost members quickly."""

import collections

from apricotthread.control import ledger
from apricotthread.groups import pool
from apricotthread.groups import steps

# How many spares of a domain load weights. More members than this are lost
# in one domain only when the whole domain is.
STAGED_PER_DOMAIN = 4


def allocate_spares(
    groups: list[ledger.Group], spares: int
) -> collections.Counter[str]:
    """Return how many spares should hold each model.

    Any member may be lost. So each spare goes to the model with the most
    members per spare, counting the new spare too; in a tie, to the model
    with fewer spares.
    """
    members = collections.Counter()
    for group in groups:
        members[group.model] += len(group.members)
    spares_by_model = collections.Counter()
    for _ in range(spares if members else 0):
        neediest = max(
            members,
            key=lambda name: (
                members[name] / (spares_by_model[name] + 1),
                -spares_by_model[name],
                name,
            ),
        )
        spares_by_model[neediest] += 1
    return spares_by_model


def plan_spares(vms: pool.Pool, *, last_epoch: int) -> list[steps.Step]:
    """Return the orders that prepare the spares of all domains.

    Designed for members that are lost one after the other, no faster than
    weights are loaded.
    """
    planned = []
    profile_by_name = vms.profile.model_by_name()
    for domain, free in vms.free_by_domain.items():
        groups = [
            group
            for group in vms.groups_by_domain.get(domain, ())
            if group.model in profile_by_name
        ]
        warming = vms.warming_by_domain.get(domain, [])
        count = min(len(free) + len(warming), STAGED_PER_DOMAIN)
        wanted_by_model = allocate_spares(groups, count)
        planned.extend(_stage(vms, [*warming, *free], wanted_by_model))
        planned.extend(_warm(vms, free, wanted_by_model, last_epoch))
    return planned


def _stage(
    vms: pool.Pool,
    spares: list[steps.Vm],
    wanted_by_model: collections.Counter[str],
) -> list[steps.Step]:
    """Have spares load the models that too few hold or are loading."""
    missing = collections.Counter(wanted_by_model)
    replaceable = []
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
            replaceable.append(vm)
    # VMs without any weights come first, as they lose none by a load.
    replaceable.sort(key=lambda vm: bool(vm.last_announcement.staged))
    return [
        steps.Stage(vm=vm, model=name)
        for vm, name in zip(replaceable, missing.elements(), strict=False)
    ]


def _warm(
    vms: pool.Pool,
    free: list[steps.Vm],
    wanted_by_model: collections.Counter[str],
    last_epoch: int,
) -> list[steps.Step]:
    """Warm up the spares that hold a model that their domain runs."""
    planned = []
    for vm in free:
        if vm.incarnation_id in vms.ready.staging_by_incarnation:
            continue
        model = next(
            (m for m in vm.last_announcement.staged if m in wanted_by_model),
            None,
        )
        if model is not None and not vms.ready.is_warm(vm, model):
            planned.append(steps.Warm(vm=vm, model=model, epoch=last_epoch))
    return planned
