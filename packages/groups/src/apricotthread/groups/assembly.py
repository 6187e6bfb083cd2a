"""Decides which new groups are assembled, of which VMs."""

import collections.abc
import dataclasses

from apricotthread.control import commands
from apricotthread.control import routetables
from apricotthread.groups import pool
from apricotthread.groups import steps

# VMs that a new group leaves in its domain, as a second one may be lost
# right after a repair.
SPARES_BY_DOMAIN = 2
# With so many groups one more gains less than a repair without a spare,
# which waits for a load, loses.
GROUPS_BEFORE_SPARES = 4
# VMs of a domain that come back together announce themselves within this
# time (run: a domain dark for 6 s).
SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pick:
    """A model, and the domain where a group of it is to stand."""

    model: routetables.ModelProfile
    domain: str
    loads: int
    lost_groups: int


@dataclasses.dataclass(kw_only=True)
class Assembler:
    """Makes groups of idle VMs, first those that are ready soonest.

    While VMs are still being found (`is_fleet_growing`), small groups only go
    where a large one stands already, so that they do not take its room.

    Load: domains whose VMs come back together, some with weights.
    """

    service: str
    vms: pool.Pool
    is_fleet_growing: bool
    settled: collections.abc.Callable[[str], bool]
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
        self._planned_large.add(pick.domain)
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
        self._planned_large: set[str] = set()

    def _pick(self) -> _Pick | None:
        """Return the neediest model that fits, and the domain for it.

        A group that needs no load comes before one that does. A small
        group that would take the room of a larger one yields to it,
        unless the larger model has far more than it needs.
        """
        models = sorted(
            self.vms.models,
            key=lambda m: (self.vms.supply(m), -m.group_size),
        )
        picks = [p for p in map(self._pick_domain, models) if p is not None]
        picks.sort(key=lambda pick: pick.loads > 0)
        for pick in picks:
            if not pick.lost_groups:
                return pick
            return self._yield_to_larger(pick, models)
        return None

    def _yield_to_larger(
        self, pick: _Pick, models: list[routetables.ModelProfile]
    ) -> _Pick:
        room = len(self.vms.free_by_domain[pick.domain])
        supply = self.vms.supply(pick.model)
        for larger in models:
            if (
                larger.group_size > pick.model.group_size
                and room >= larger.group_size
                and self.vms.supply(larger) <= 2 * supply
            ):
                return dataclasses.replace(pick, model=larger)
        return pick

    def _pick_domain(self, model: routetables.ModelProfile) -> _Pick | None:
        """Return the best domain with room for a group of a model.

        Prefers the domain where least has to be loaded, and then that
        which keeps most VMs as spares.
        """
        choices = [
            (
                self._lost_groups(model, len(free)),
                self._loads(model, free),
                model.group_size - len(free),
                domain,
            )
            for domain, free in self.vms.free_by_domain.items()
            if len(free) >= model.group_size + self._spares(model, domain)
            and self.settled(domain)
            and self._may_stand(model, domain)
        ]
        if not choices:
            return None
        lost_groups, loads, _, domain = min(choices)
        return _Pick(
            model=model, domain=domain, loads=loads, lost_groups=lost_groups
        )

    def _may_stand(self, model: routetables.ModelProfile, domain: str) -> bool:
        if (
            not self.is_fleet_growing
            or model.group_size == self.vms.largest_size
        ):
            return True
        return domain in self._planned_large or self.vms.has_large(domain)

    def _lost_groups(self, model: routetables.ModelProfile, free: int) -> int:
        """Return how many of the largest groups find no room any more."""
        largest = self.vms.largest_size
        if model.group_size == largest:
            return 0
        return free // largest - (free - model.group_size) // largest

    def _loads(
        self, model: routetables.ModelProfile, free: list[steps.Vm]
    ) -> int:
        """Return how many members of a group here would need a load."""
        ready = sum(
            not self.vms.ready.needs_load(vm, model.name) for vm in free
        )
        return max(0, model.group_size - ready)

    def _spares(self, model: routetables.ModelProfile, domain: str) -> int:
        """Return how many VMs a new group has to leave in its domain."""
        if self.vms.count_by_model[model.name] < GROUPS_BEFORE_SPARES:
            return 0
        return SPARES_BY_DOMAIN if self.vms.groups_by_domain[domain] else 0
