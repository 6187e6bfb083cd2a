"""Decides which new groups are assembled from which idle VMs."""

import collections
import collections.abc
import dataclasses

from apricotthread.control import commands
from apricotthread.control import routetables
from apricotthread.groups import pool
from apricotthread.groups import steps

# Idle VMs that a new group must leave in a domain with a larger group: a
# second member may be lost right after a repair has used the first spare.
SPARES_PER_DOMAIN = 2
# Groups of a model before spares are kept. From here on, one more group
# gains less than is lost by a repair without a spare, which has to wait
# for weights to load.
GROUPS_BEFORE_SPARES = 4
# VMs of a domain that come back together announce themselves within this
# time (as seen in a run with a domain dark for 6 s).
SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pick:
    """A model, and the domain where a group of it may be assembled.

    `loads` counts the members that would have to load weights.
    """

    model: routetables.ModelProfile
    domain: str
    loads: int


@dataclasses.dataclass(kw_only=True)
class Assembler:
    """Assembles groups from idle VMs, using the VMs ready soonest first.

    While VMs are still being found (`is_fleet_growing`), only the model with
    the least capacity for its load is assembled, so that small groups do not
    take the VMs that large ones need.

    While callers are served (`has_callers`), members of a new group hold
    its weights already, unless its model has no group at all.

    Designed for domains whose VMs come back together, some of them with
    weights.
    """

    service: str
    vms: pool.Pool
    is_fleet_growing: bool
    has_callers: bool
    make_id: collections.abc.Callable[[], str]

    def plan(self) -> list[steps.Propose]:
        """Return the groups to assemble now."""
        proposals = []
        while (pick := self._pick()) is not None:
            proposals.append(self._assemble(pick))
        return proposals

    def _assemble(self, pick: _Pick) -> steps.Propose:
        model = pick.model
        free = self.vms.free_in(pick.domain)
        self.vms.ready.sort(free, model.name)
        members = free[: model.group_size]
        del free[: model.group_size]
        self.vms.count_by_model[model.name] += 1
        self._planned_models_by_domain[pick.domain].add(model.name)
        data_centre = members[0].last_announcement.data_centre
        self._planned_count[model.name, data_centre] += 1
        return steps.Propose(
            command=commands.AssembleGroup(
                group_id=self.make_id(),
                service=self.service,
                model=model.name,
                version='',
                data_centre=data_centre,
                fabric_domain=pick.domain,
                members=[vm.member for vm in members],
            ),
            reason=f'model {model.name} has the least capacity for its load',
        )

    def __post_init__(self) -> None:
        self._planned_models_by_domain = collections.defaultdict(set)
        self._planned_count = collections.Counter()

    def _pick(self) -> _Pick | None:
        """Return the model to assemble next, and the domain for it.

        Takes the model with the least capacity per load that has room, but
        a group that needs no load comes before one that does.
        """
        models = sorted(
            self.vms.models,
            key=lambda m: (self.vms.capacity_per_load(m), -m.group_size),
        )
        if self.is_fleet_growing:
            del models[1:]
        picks = [
            pick
            for pick in map(self._pick_domain, models)
            if pick is not None and self._may_load(pick)
        ]
        picks.sort(
            key=lambda pick: pick.loads > 0 and self._is_served(pick.model)
        )
        return picks[0] if picks else None

    def _is_served(self, model: routetables.ModelProfile) -> bool:
        return self.vms.count_by_model[model.name] > 0

    def _may_load(self, pick: _Pick) -> bool:
        return (
            not self.has_callers
            or not pick.loads
            or not self._is_served(pick.model)
        )

    def _pick_domain(self, model: routetables.ModelProfile) -> _Pick | None:
        """Return the best domain with room for a group of a model.

        Prefers the domain where the fewest VMs can no longer be in a group,
        then the one where it displaces the fewest groups of the largest
        size, then the one with the fewest loads, then one without groups of
        other models, as groups of one model can use each other's VMs. Of
        these, it takes the data centre with the fewest groups of the model,
        and in it the domain with the most idle VMs.
        """
        choices = [
            (
                self._count_stranded(model, len(free)),
                self._count_displaced_groups(model, len(free)),
                self._count_loads(model, free),
                self._has_other_model(model, domain),
                self._count_in_data_centre(
                    model, free[0].last_announcement.data_centre
                ),
                model.group_size - len(free),
                domain,
            )
            for domain, free in self.vms.free_by_domain.items()
            if len(free)
            >= model.group_size + self._count_reserved(model, domain)
            and self.vms.is_domain_settled(domain)
        ]
        if not choices:
            return None
        _, _, loads, *_, domain = min(choices)
        return _Pick(model=model, domain=domain, loads=loads)

    def _count_stranded(
        self, model: routetables.ModelProfile, free: int
    ) -> int:
        """Return how many more VMs of a domain can not be in any group."""
        return self._max_used(free) - (
            model.group_size + self._max_used(free - model.group_size)
        )

    def _max_used(self, free: int) -> int:
        """Return how many VMs can be members of groups at most."""
        sizes = {model.group_size for model in self.vms.models}
        used = [0] * (free + 1)
        for count in range(1, free + 1):
            with_one_more = [
                size + used[count - size] for size in sizes if size <= count
            ]
            used[count] = max([used[count - 1], *with_one_more])
        return used[free]

    def _has_other_model(
        self, model: routetables.ModelProfile, domain: str
    ) -> bool:
        return any(
            group.model != model.name
            for group in self.vms.groups_by_domain.get(domain, ())
        ) or any(
            name != model.name
            for name in self._planned_models_by_domain.get(domain, ())
        )

    def _count_in_data_centre(
        self, model: routetables.ModelProfile, data_centre: str
    ) -> int:
        """Return how many groups of a model a data centre has."""
        return self._planned_count[model.name, data_centre] + sum(
            group.model == model.name and group.data_centre == data_centre
            for groups in self.vms.groups_by_domain.values()
            for group in groups
        )

    def _count_displaced_groups(
        self, model: routetables.ModelProfile, free: int
    ) -> int:
        """Return how many groups of the largest size no longer fit."""
        largest = self.vms.largest_group_size
        if model.group_size == largest:
            return 0
        return free // largest - (free - model.group_size) // largest

    def _count_loads(
        self, model: routetables.ModelProfile, free: list[steps.Vm]
    ) -> int:
        """Return how many members of a new group would have to load."""
        ready = sum(
            not self.vms.ready.needs_load(vm, model.name) for vm in free
        )
        return max(0, model.group_size - ready)

    def _count_reserved(
        self, model: routetables.ModelProfile, domain: str
    ) -> int:
        """Return how many idle VMs a new group must leave in its domain.

        None while callers are served: its members hold its own weights, so
        they could not replace members of other groups soon.
        """
        if self.has_callers:
            return 0
        if self.vms.count_by_model[model.name] < GROUPS_BEFORE_SPARES:
            return 0
        has_larger_group = any(
            len(group.members) > model.group_size
            for group in self.vms.groups_by_domain.get(domain, ())
        )
        return SPARES_PER_DOMAIN if has_larger_group else 0
