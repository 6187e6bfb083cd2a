"""Decides which models idle VMs load, for new groups and for repairs."""

import collections
import dataclasses
import math

from apricotthread.control import ledger
from apricotthread.control import routetables
from apricotthread.groups import pool
from apricotthread.groups import steps

# How many spares of a domain load weights, beyond those of new groups. More
# members than this are lost in one domain only when the whole domain is.
STAGED_PER_DOMAIN = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Loads:
    """Loads of one model by VMs of one domain.

    `cost` is the time that they keep the weight store busy, in seconds for
    each VM that can serve afterwards, weighted by how much capacity the
    model has already. Loads that `can_wait` leave room for others: those of
    spares, those that replace other weights, and those in data centres that
    operators took out.
    """

    domain: str
    model: str
    vms: tuple[steps.Vm, ...]
    cost: float
    can_wait: bool


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
    """Return the orders that prepare the idle VMs of all domains.

    Designed for members that are lost as fast as weights are loaded, or
    faster: the loads after which the most VMs serve come first.
    """
    loads = []
    warm_steps = []
    for domain, free in vms.free_by_domain.items():
        idle = _IdleVms(vms=vms, domain=domain)
        loads.extend(idle.plan_loads())
        warm_steps.extend(_warm(vms, free, idle.models, last_epoch))
    loads.sort(key=lambda load: (load.can_wait, load.cost))
    return [
        *(
            steps.Stage(vm=vm, model=load.model, can_wait=load.can_wait)
            for load in loads
            for vm in load.vms
        ),
        *warm_steps,
    ]


class _IdleVms:
    """The idle VMs of one domain, by the model that they hold.

    A VM that is loading counts for the model that it loads.
    """

    def __init__(self, *, vms: pool.Pool, domain: str) -> None:
        self._vms = vms
        self._domain = domain
        self._is_taken_out = domain in vms.taken_out_domains
        profile_by_name = vms.profile.model_by_name()
        self._groups = [
            group
            for group in vms.groups_by_domain.get(domain, ())
            if group.model in profile_by_name
        ]
        self.models = {group.model for group in self._groups}
        self._empty: list[steps.Vm] = []
        self._count_by_model = collections.Counter()
        self._loaded_by_model = collections.defaultdict(list)
        for vm in [
            *vms.warming_by_domain.get(domain, ()),
            *vms.free_in(domain),
        ]:
            staging = vms.ready.staging_by_incarnation.get(vm.incarnation_id)
            staged = [
                name
                for name in vm.last_announcement.staged
                if name in profile_by_name
            ]
            if staging is not None:
                self._count_by_model[staging.model] += 1
            elif not staged:
                self._empty.append(vm)
            else:
                self._count_by_model[staged[0]] += 1
                if vm.last_announcement.place is None:
                    self._loaded_by_model[staged[0]].append(vm)

    def plan_loads(self) -> list[_Loads]:
        """Return the loads of the domain, those of whole groups first."""
        planned = []
        if not self._vms.is_domain_settled(self._domain):
            return planned
        while (loads := self._complete_group()) is not None:
            planned.append(loads)
        planned.extend(self._load_spares())
        return planned

    def _complete_group(self) -> _Loads | None:
        """Return the cheapest loads that complete one more group."""
        choices = [
            loads
            for model in self._vms.models
            if (loads := self._complete_group_of(model)) is not None
        ]
        if not choices:
            return None
        best = min(choices, key=lambda loads: loads.cost)
        size = self._vms.profile.model_by_name()[best.model].group_size
        self._count_by_model[best.model] -= size - len(best.vms)
        chosen = {vm.endpoint_id for vm in best.vms}
        for held in (self._empty, *self._loaded_by_model.values()):
            held[:] = [vm for vm in held if vm.endpoint_id not in chosen]
        return best

    def _complete_group_of(
        self, model: routetables.ModelProfile
    ) -> _Loads | None:
        missing = model.group_size - (
            self._count_by_model[model.name] % model.group_size
        )
        usable = [*self._empty, *self._find_surplus(model.name)]
        if missing > len(usable):
            return None
        return _Loads(
            domain=self._domain,
            model=model.name,
            vms=tuple(usable[:missing]),
            can_wait=missing > len(self._empty) or self._is_taken_out,
            cost=missing
            * model.load_s
            / model.group_size
            * self._vms.capacity_per_load(model, change=1),
        )

    def _find_surplus(self, model: str) -> list[steps.Vm]:
        """Return VMs that hold another model and are not its last spare."""
        surplus = []
        for other, loaded in self._loaded_by_model.items():
            if other != model:
                surplus += loaded[1:] if other in self.models else loaded
        return surplus

    def _load_spares(self) -> list[_Loads]:
        """Return loads of VMs that only repairs can use.

        Empty VMs come first, as they lose no weights by a load.
        """
        held = +self._count_by_model
        count = min(held.total() + len(self._empty), STAGED_PER_DOMAIN)
        wanted = allocate_spares(self._groups, count)
        replaceable = list(self._empty)
        for model, loaded in self._loaded_by_model.items():
            excess = max(0, held[model] - wanted[model])
            replaceable += loaded[:excess]
        return [
            _Loads(
                domain=self._domain,
                model=model,
                vms=(vm,),
                cost=math.inf,
                can_wait=True,
            )
            for vm, model in zip(
                replaceable, (wanted - held).elements(), strict=False
            )
        ]


def _warm(
    vms: pool.Pool,
    free: list[steps.Vm],
    models: set[str],
    last_epoch: int,
) -> list[steps.Step]:
    """Warm up the spares that hold a model that their domain runs."""
    planned = []
    for vm in free:
        if vm.incarnation_id in vms.ready.staging_by_incarnation:
            continue
        model = next(
            (m for m in vm.last_announcement.staged if m in models), None
        )
        if model is not None and not vms.ready.is_warm(vm, model):
            planned.append(steps.Warm(vm=vm, model=model, epoch=last_epoch))
    return planned
