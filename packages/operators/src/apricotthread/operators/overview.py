"""Builds the status of the system for operators, as known to this node."""

import collections

from apricotthread.control import replica
from apricotthread.nodes import messages
from apricotthread.operators import bodies
from apricotthread.routing import scheduler
from apricotthread.routing import view


class Overview:
    """Builds statuses of nodes, services and groups from local state."""

    def __init__(
        self,
        *,
        system: view.SystemView,
        raft: replica.Replica,
        schedule: scheduler.Scheduler,
    ) -> None:
        self._system = system
        self._raft = raft
        self._schedule = schedule

    def node_statuses(self) -> list[bodies.NodeStatus]:
        """Return every node's status, with the version it has confirmed."""
        members = self._system.members
        voters = self._raft.voters.disk_by_voter()
        statuses = []
        for node_id, node in sorted(members.node_by_id.items()):
            if node_id == self._system.own.node_id:
                version = self._system.agreed_state.version
                draining = self._system.draining
            else:
                reported = members.state_by_id.get(node_id)
                version = reported.heartbeat.version if reported else 0
                draining = reported.heartbeat.draining if reported else False
            statuses.append(
                bodies.NodeStatus(
                    node_id=node_id,
                    data_centre=node.data_centre,
                    alive=members.is_alive(node_id),
                    draining=draining,
                    voter=node_id in voters,
                    version=version,
                )
            )
        return statuses

    def not_confirmed(self, version: int) -> list[str]:
        """Return the ids of the nodes that have not confirmed the version.

        Nodes that are not alive count as not confirmed.
        """
        return [
            node.node_id
            for node in self.node_statuses()
            if node.version < version or not node.alive
        ]

    def confirmed(self, version: int) -> list[str]:
        """Return the ids of the nodes in which the version is in force."""
        missing = set(self.not_confirmed(version))
        return [
            node.node_id
            for node in self.node_statuses()
            if node.node_id not in missing
        ]

    def service_statuses(self) -> list[bodies.ServiceStatus]:
        """Return the capacity of each service, summed over all entries."""
        heartbeats = self._system.members.fresh_heartbeats()
        reported = [
            *self._schedule.capacities(),
            *(c for h in heartbeats.values() for c in h.capacities),
        ]
        capacities_by_service: dict[str, list[messages.Capacity]] = (
            collections.defaultdict(list)
        )
        for capacity in reported:
            capacities_by_service[capacity.service].append(capacity)
        return [
            bodies.ServiceStatus(
                name=name,
                limit_requests=sum(
                    c.limit_requests for c in capacities_by_service[name]
                ),
                free_requests=sum(
                    c.free_requests for c in capacities_by_service[name]
                ),
                queued=sum(c.queued for c in capacities_by_service[name]),
            )
            for name in self._system.service_names()
        ]

    def group_statuses(self) -> list[bodies.GroupStatus]:
        """Return the status of each group of the ledger."""
        groups = self._system.agreed_state.content.group_ledger.groups()
        return [
            bodies.GroupStatus(
                group=group,
                whole=bool(group.members)
                and self._system.group_is_whole(group),
            )
            for group in groups
        ]

    def make_status(self) -> bodies.StatusBody:
        """Return the status of the whole system."""
        group_by_vm_id = (
            self._system.agreed_state.content.group_ledger.group_by_vm()
        )
        return bodies.StatusBody(
            node_id=self._system.own.node_id,
            data_centre=self._system.own.data_centre,
            version=self._system.agreed_state.version,
            leader=self._raft.leader_id,
            has_majority=self._raft.has_majority(),
            taken_out=self._system.agreed_state.content.taken_out,
            taken_out_locally=self._system.is_out_locally(),
            nodes=self.node_statuses(),
            services=self.service_statuses(),
            groups=self.group_statuses(),
            idle_vms=sorted(
                name
                for name, report in self._system.vm_reports().items()
                if name not in group_by_vm_id and self._system.is_fresh(report)
            ),
        )
