"""Selection of the endpoint for an attempt, from what this entry knows."""

import collections.abc
import zlib

from apricotthread.base import environment
from apricotthread.fleet import shares
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import placement
from apricotthread.gateway import requests
from apricotthread.gateway import standings


class ReplicaSelector:
    """Selects replicas by their load, speed, distance and condition."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        load_table: loads.LoadTable,
        limit_table: limits.LimitTable,
        standing_table: standings.StandingTable,
        observations: groupmonitor.GroupMonitor,
        share: shares.ShareHolder,
        own_data_centre: str,
        cold_overshoot: float,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._loads = load_table
        self._limits = limit_table
        self._standings = standing_table
        self._group_monitor = observations
        self._share = share
        self._own_data_centre = own_data_centre
        self._cold_overshoot = cold_overshoot
        self._salt = env.new_id()

    def place(
        self,
        request: requests.RoutedRequest,
        tried_endpoint_ids: collections.abc.Collection[str],
        *,
        leave_out_suspects: bool = False,
    ) -> placement.Choice | placement.Refusal:
        """Return the best endpoint for a request, or why there is none."""
        model_name = request.caller.model if request.service.engine else ''
        replicas = [
            replica
            for replica in self._fleet.replicas(request.service.name)
            if replica.model == model_name
        ]
        deferred_share = self._loads.estimate_deferred_share(
            replica.endpoint_id for replica in replicas
        )
        candidates = [
            self._make_candidate(request, replica, deferred_share)
            for replica in replicas
            if replica.endpoint_id not in tried_endpoint_ids
        ]
        limited_ids = tuple(
            candidate.replica.endpoint_id
            for candidate in candidates
            if candidate.permits is not None
        )
        if limited_ids:
            self._limits.note_demand(model_name, limited_ids)
        if leave_out_suspects:
            candidates = [c for c in candidates if not c.is_suspect]
        time_left_s = request.deadline - self._env.timer.now()
        engine = request.service.engine
        if engine is None:
            return placement.place_on_worker(
                candidates, time_left_s=time_left_s
            )
        model = next(
            (m for m in engine.models if m.name == request.caller.model), None
        )
        if model is None:
            return placement.Refusal(
                reason=f'no model {request.caller.model!r}', retry_after_s=1.0
            )
        return placement.place_on_engine(
            candidates,
            engine=engine,
            model=model,
            prompt_tokens=request.caller.prompt_tokens,
            output_tokens=request.caller.output_tokens,
            time_left_s=time_left_s,
            target_s=request.route.target_s,
            patience_s=request.route.patience_s,
            can_be_on_time=request.can_be_on_time,
            draw=self._env.random.random(),
        )

    def _make_candidate(
        self,
        request: requests.RoutedRequest,
        replica: view.Replica,
        deferred_share: float,
    ) -> placement.Candidate:
        cold_allowance = 1
        if (
            request.service.cold_requests_per_s > 0
            and self._fleet.cold_for_s(replica.endpoint_id) > 0
        ):
            cold_allowance = budgets.cold_allowance(
                requests_per_s=request.service.cold_requests_per_s,
                overshoot=self._cold_overshoot,
                share=self._share.fraction(loads.COLD_WINDOW_S),
                sent=self._loads.sent_within_cold_window(replica.endpoint_id),
                draw=self._draw(replica.endpoint_id),
            )
        load = self._loads.estimate(replica.endpoint_id, model=replica.model)
        return placement.Candidate(
            replica=replica,
            load=load,
            deferred_load=deferred_share * load,
            is_near=replica.data_centre == self._own_data_centre,
            cold_allowance=cold_allowance,
            is_suspect=self._loads.is_ejected(replica.endpoint_id)
            or self._group_monitor.is_stalled(replica)
            or self._is_silent(replica),
            slowness=self._group_monitor.slowness(replica),
            permits=self._limits.count_allowed(replica.endpoint_id),
            held_s=self._standings.find_hold(replica).wait_s,
        )

    def _draw(self, endpoint_id: str) -> float:
        """Return a uniform pseudo-random number from 0 to 1.

        It changes each second and differs by endpoint and entry.
        """
        second = int(self._env.timer.now() / loads.COLD_WINDOW_S)
        text = f'{self._salt} {endpoint_id} {second}'.encode()
        return zlib.crc32(text) / (1 << 32)

    def _is_silent(self, replica: view.Replica) -> bool:
        """Whether neither control nodes nor this entry hear from a replica."""
        return not self._fleet.is_available(replica.endpoint_id) and (
            not self._group_monitor.is_progressing(replica)
        )
