"""Estimates how soon a VM can be a ready member of a group of a model."""

import dataclasses
import math

from apricotthread.control import routetables
from apricotthread.groups import steps

# Time to join for a VM whose last group ran the same model, as the
# platform's protocol gives it.
REJOIN_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Staging:
    """A load of a model's weights onto a VM's host that is in progress."""

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
        """Return in how many seconds a VM that joins now is ready.

        Infinite for an unknown model.
        """
        model_profile = self.profile.model_by_name().get(model)
        if model_profile is None:
            return math.inf
        if not self.needs_load(vm, model):
            is_warm = (
                self.warm_model_by_incarnation.get(vm.incarnation_id) == model
            )
            return REJOIN_S if is_warm else model_profile.warm_load_s
        staging = self.staging_by_incarnation.get(vm.incarnation_id)
        if staging is not None and staging.model == model:
            remaining_s = model_profile.load_s - (
                self.now - staging.started_at
            )
            return model_profile.warm_load_s + max(0.0, remaining_s)
        return model_profile.load_s + model_profile.warm_load_s

    def is_warm(self, vm: steps.Vm, model: str) -> bool:
        """Whether a VM was last ready to run this model."""
        return self.warm_model_by_incarnation.get(vm.incarnation_id) == model

    def needs_load(self, vm: steps.Vm, model: str) -> bool:
        """Whether a VM has to load the weights of the model first.

        So it has if it holds them, but is loading others in their place.
        """
        staged = vm.last_announcement.staged
        if model not in staged:
            return True
        staging = self.staging_by_incarnation.get(vm.incarnation_id)
        return (
            staging is not None
            and staging.model != model
            and len(staged) >= self.profile.staged_limit
        )

    def sort(self, vms: list[steps.Vm], model: str) -> None:
        """Sort VMs in place, the soonest ready first."""
        vms.sort(key=lambda vm: self.ready_in_s(vm, model))
