"""Decides which new groups are assembled from which idle VMs."""

import collections.abc
import dataclasses

from apricotthread.control import commands
from apricotthread.control import routetables
from apricotthread.groups import pool
from apricotthread.groups import steps

# Idle VMs that a new group must leave in its domain: a second member may
# be lost right after a repair has used the first spare.
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

    `loads` counts the members that would have to load weights,
    `displaced_groups` the groups of the largest size that would no longer
    fit into the domain.
    """

    model: routetables.ModelProfile
    domain: str
    loads: int
    displaced_groups: int


@dataclasses.dataclass(kw_only=True)
class Assembler:
    """Assembles groups from idle VMs, using the VMs ready soonest first.

    While VMs are still being found (`is_fleet_growing`), small groups are
    assembled only in domains that have one of the largest size already, so
    that they do not take the VMs that it needs.

    `is_domain_settled` tells whether the idle VMs of a domain are all back.

    Designed for domains whose VMs come back together, some of them with
    weights.
    """

    service: str
    vms: pool.Pool
    is_fleet_growing: bool
    is_domain_settled: collections.abc.Callable[[str], bool]
    make_id: collections.abc.Callable[[], str]

    def plan(self) -> list[steps.Propose]:
        """Return the groups to assemble now."""
        proposals = []
        while (pick := self._pick()) is not None:
            proposals.append(self._assemble(pick))
        return proposals

    def _assemble(self, pick: _Pick) -> steps.Propose:
        model = pick.model
        free = self.vms.free_by_domain[pick.domain]
        self.vms.ready.sort(free, model.name)
        members = free[: model.group_size]
        del free[: model.group_size]
        self.vms.count_by_model[model.name] += 1
        self._planned_large_domains.add(pick.domain)
        return steps.Propose(
            command=commands.AssembleGroup(
                group_id=self.make_id(),
                service=self.service,
                model=model.name,
                version='',
                data_centre=members[0].last_announcement.data_centre,
                fabric_domain=pick.domain,
                members=[vm.member for vm in members],
            ),
            reason=f'model {model.name} has the least capacity for its load',
        )

    def __post_init__(self) -> None:
        self._planned_large_domains: set[str] = set()

    def _pick(self) -> _Pick | None:
        """Return the model to assemble next, and the domain for it.

        Takes the model with the least capacity per load that has room, but
        a group that needs no load comes before one that does. If a small
        group would take the VMs that a larger one needs, the larger one is
        assembled instead, unless its model has more than twice the
        capacity per load.
        """
        models = sorted(
            self.vms.models,
            key=lambda m: (self.vms.capacity_per_load(m), -m.group_size),
        )
        picks = [p for p in map(self._pick_domain, models) if p is not None]
        picks.sort(key=lambda pick: pick.loads > 0)
        for pick in picks:
            if not pick.displaced_groups:
                return pick
            return self._yield_to_larger(pick, models)
        return None

    def _yield_to_larger(
        self, pick: _Pick, models: list[routetables.ModelProfile]
    ) -> _Pick:
        free_count = len(self.vms.free_by_domain[pick.domain])
        capacity_per_load = self.vms.capacity_per_load(pick.model)
        for larger in models:
            if (
                larger.group_size > pick.model.group_size
                and free_count >= larger.group_size
                and self.vms.capacity_per_load(larger) <= 2 * capacity_per_load
            ):
                return dataclasses.replace(pick, model=larger)
        return pick

    def _pick_domain(self, model: routetables.ModelProfile) -> _Pick | None:
        """Return the best domain with room for a group of a model.

        Prefers the domain where the group displaces the fewest groups of
        the largest size, then the one with the fewest loads, then the one
        that keeps the most VMs as spares.
        """
        choices = [
            (
                self._count_displaced_groups(model, len(free)),
                self._count_loads(model, free),
                model.group_size - len(free),
                domain,
            )
            for domain, free in self.vms.free_by_domain.items()
            if len(free)
            >= model.group_size + self._count_reserved(model, domain)
            and self.is_domain_settled(domain)
            and self._may_hold_group(model, domain)
        ]
        if not choices:
            return None
        displaced_groups, loads, _, domain = min(choices)
        return _Pick(
            model=model,
            domain=domain,
            loads=loads,
            displaced_groups=displaced_groups,
        )

    def _may_hold_group(
        self, model: routetables.ModelProfile, domain: str
    ) -> bool:
        if (
            not self.is_fleet_growing
            or model.group_size == self.vms.largest_group_size
        ):
            return True
        return (
            domain in self._planned_large_domains
            or self.vms.has_largest_group(domain)
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
        """Return how many idle VMs a new group must leave in its domain."""
        if self.vms.count_by_model[model.name] < GROUPS_BEFORE_SPARES:
            return 0
        return SPARES_PER_DOMAIN if self.vms.groups_by_domain[domain] else 0
