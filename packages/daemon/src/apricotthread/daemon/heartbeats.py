"""Builds the heartbeats that a node sends to its peers."""

from apricotthread.base import environment
from apricotthread.base import settings as node_settings
from apricotthread.control import replica
from apricotthread.nodes import messages
from apricotthread.routing import scheduler
from apricotthread.routing import view


class HeartbeatBuilder:
    """Builds heartbeats from reports that are collected once for all peers.

    Reports older than `max_age_s` are collected again.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        own: node_settings.NodeAddress,
        incarnation: int,
        system: view.SystemView,
        raft: replica.Replica,
        schedule: scheduler.Scheduler,
        max_age_s: float,
    ) -> None:
        self._env = env
        self._own = own
        self._incarnation = incarnation
        self._system = system
        self._raft = raft
        self._schedule = schedule
        self._max_age_s = max_age_s
        self._reports_made_at = float('-inf')
        self._capacities: list[messages.Capacity] = []
        self._vm_reports: list[messages.VmReport] = []

    def make_heartbeat(
        self, peer: node_settings.NodeAddress, sequence: int
    ) -> messages.Heartbeat:
        """Return the next heartbeat to a peer.

        Reports on single VMs go only to peers in the own data centre and to
        voters, which plan the groups. All peers get the sums by service.
        """
        self._refresh_reports()
        is_same_data_centre = peer.data_centre == self._own.data_centre
        return messages.Heartbeat(
            sequence=sequence,
            incarnation=self._incarnation,
            draining=self._system.draining,
            applied_index=self._raft.applied_index,
            version=self._system.agreed_state.version,
            capacities=self._capacities,
            vms=self._vm_reports
            if is_same_data_centre or peer.is_voter
            else [],
            local_out=self._system.local_mark is not None,
        )

    def _refresh_reports(self) -> None:
        now = self._env.timer.now()
        if now - self._reports_made_at > self._max_age_s:
            self._capacities = self._schedule.capacities()
            self._vm_reports = self._system.own_vm_reports()
            self._reports_made_at = now
