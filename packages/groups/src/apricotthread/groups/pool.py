"""The idle VMs and the groups of one service, by fabric domain."""

import collections
import collections.abc
import dataclasses

from apricotthread.control import ledger
from apricotthread.control import routetables
from apricotthread.groups import readiness
from apricotthread.groups import steps


@dataclasses.dataclass(kw_only=True)
class Pool:
    """The idle VMs, and the capacity that each model has for its load.

    `ready` tells how soon each VM can run a model.
    """

    profile: routetables.EngineProfile
    ready: readiness.Readiness
    free_by_domain: dict[str, list[steps.Vm]]
    # Spares that are warming up for their model; they are idle after that.
    warming_by_domain: dict[str, list[steps.Vm]]
    groups_by_domain: dict[str, list[ledger.Group]]
    # Domains of data centres that operators took out.
    taken_out_domains: frozenset[str]
    # Whether the idle VMs of a domain are all back.
    is_domain_settled: collections.abc.Callable[[str], bool]
    count_by_model: collections.Counter[str]

    def free_in(self, domain: str) -> list[steps.Vm]:
        """Return the idle VMs of a domain, an empty list if it has none."""
        return self.free_by_domain.get(domain, [])

    @property
    def models(self) -> list[routetables.ModelProfile]:
        """The models that have a share of the load."""
        return [m for m in self.profile.models if m.load_share > 0]

    @property
    def largest_group_size(self) -> int:
        """The number of members of the largest group."""
        return max(model.group_size for model in self.profile.models)

    def capacity_per_load(
        self, model: routetables.ModelProfile, *, change: int = 0
    ) -> float:
        """Return the VMs of a model's groups divided by its share of the load.

        `change` is added to the number of its groups first.
        """
        count = self.count_by_model[model.name] + change
        return count * model.group_size / model.load_share

    def pick_donor(
        self,
        groups: collections.abc.Iterable[ledger.Group],
        *,
        min_members: int,
        capacity_per_load: float,
    ) -> ledger.Group | None:
        """Return the group whose model can best do without it.

        This is a group of at least `min_members` VMs whose model, without
        it, has the most capacity per load, and more than the given one.
        A group of a model that is unknown or has no load comes first,
        whatever its size.
        """
        model_by_name = self.profile.model_by_name()
        richest = None
        highest = capacity_per_load
        for group in groups:
            model = model_by_name.get(group.model)
            if model is None or model.load_share <= 0:
                return group
            remaining = self.capacity_per_load(model, change=-1)
            if remaining > highest and len(group.members) >= min_members:
                richest = group
                highest = remaining
        return richest
