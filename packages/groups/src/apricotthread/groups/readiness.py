"""How soon a VM can be a member of a group of a model."""

import dataclasses
import math

from apricotthread.control import routetables
from apricotthread.groups import steps

# A member of a group that ran the same model before (the platform's
# protocol).
REJOIN_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Staging:
    """A load onto a VM's host that is under way."""

    model: str
    started_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Readiness:
    """The models that VMs have loaded, are loading and have run last.

    `warm_model_by_incarnation` holds the model that each VM was last ready
    to run, `staging_by_incarnation` the load that it was ordered to do.
    """

    profile: routetables.EngineProfile
    warm_model_by_incarnation: dict[steps.IncarnationId, str]
    staging_by_incarnation: dict[steps.IncarnationId, Staging]
    now: float

    def ready_in_s(self, vm: steps.Vm, model: str) -> float:
        """Return the seconds until a VM that joins now is ready."""
        known = self.profile.model_by_name().get(model)
        if known is None:
            return math.inf
        if model in vm.last_announcement.staged:
            is_warm = (
                self.warm_model_by_incarnation.get(vm.incarnation_id) == model
            )
            return REJOIN_S if is_warm else known.warm_load_s
        staging = self.staging_by_incarnation.get(vm.incarnation_id)
        if staging is not None and staging.model == model:
            left_s = known.load_s - (self.now - staging.started_at)
            return known.warm_load_s + max(0.0, left_s)
        return known.load_s + known.warm_load_s

    def is_warm(self, vm: steps.Vm, model: str) -> bool:
        """Whether a VM has the model and ran it last."""
        return self.warm_model_by_incarnation.get(vm.incarnation_id) == model

    def needs_load(self, vm: steps.Vm, model: str) -> bool:
        """Whether a VM has to fetch the weights first."""
        return model not in vm.last_announcement.staged

    def sort(self, vms: list[steps.Vm], model: str) -> None:
        """Put the VMs that are ready soonest first."""
        vms.sort(key=lambda vm: self.ready_in_s(vm, model))
