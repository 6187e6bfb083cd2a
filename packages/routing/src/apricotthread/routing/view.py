"""A node's view of the whole system and of what it may use now."""

import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import settings
from apricotthread.base import units
from apricotthread.control import ledger
from apricotthread.control import replica
from apricotthread.control import state
from apricotthread.control import tables
from apricotthread.endpoints import registry
from apricotthread.nodes import membership
from apricotthread.nodes import messages

READY = 'ready'
REPORTS_MAX_AGE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalMark:
    """A mark that takes this data centre out without a majority."""

    operator: str
    source: str
    command_id: str


class SystemView:
    """Combines the agreed state, heartbeats and announcements."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        own: settings.NodeAddress,
        raft: replica.Replica,
        members: membership.Membership,
        endpoints: registry.Registry,
        lease_s: float,
        ready_grace_s: float,
    ) -> None:
        self._env = env
        self._lease_s = lease_s
        self._ready_grace_s = ready_grace_s
        self._taken_out_since: float | None = None
        self._raft = raft
        self._endpoints = endpoints
        self.own = own
        self.members = members
        self.local_mark: LocalMark | None = None
        self._draining_since: float | None = None
        self._cached_reports: dict[str, messages.VmReport] = {}
        self._reports_collected_at = float('-inf')

    @property
    def agreed_state(self) -> state.AgreedState:
        """The agreed state, as far as this node has applied it."""
        return self._raft.state

    @property
    def has_table(self) -> bool:
        """Whether this node has received any agreed table."""
        return self._raft.applied_index > 0 and self.agreed_state.version > 0

    @property
    def is_cut_off(self) -> bool:
        """Whether no leader with a majority was heard within the lease."""
        return not self._raft.has_majority()

    def is_out(self, data_centre: str) -> bool:
        """Whether a data centre is taken out and gets no new requests."""
        if data_centre in self.agreed_state.content.taken_out:
            return True
        return data_centre == self.own.data_centre and self.is_out_locally()

    @property
    def draining(self) -> bool:
        """Whether this node is draining before it stops."""
        return self._draining_since is not None

    def start_draining(self) -> None:
        """Fail the readiness check from now on."""
        self._draining_since = self._env.timer.now()

    def has_drain_grace_passed(self) -> bool:
        """Whether the load balancer had time to notice the draining."""
        if self._draining_since is None:
            return False
        draining_s = self._env.timer.now() - self._draining_since
        return draining_s > self._ready_grace_s

    def is_refusing_callers(self) -> bool:
        """Whether this entry refuses callers as its data centre is out.

        The readiness check fails at once. The entry still forwards
        requests to other data centres for the grace period in which the
        load balancer notices.
        """
        now = self._env.timer.now()
        if not self.is_out(self.own.data_centre):
            self._taken_out_since = None
            return False
        if self._taken_out_since is None:
            self._taken_out_since = now
        return now - self._taken_out_since > self._ready_grace_s

    def is_out_locally(self) -> bool:
        """Whether a node of this data centre has a local take-out mark."""
        if self.local_mark is not None:
            return True
        return any(
            heartbeat.local_out
            for node_id, heartbeat in self.members.fresh_heartbeats().items()
            if node_id in self.members.node_by_id
            and self.members.node_by_id[node_id].data_centre
            == self.own.data_centre
        )

    def vm_reports(self) -> dict[str, messages.VmReport]:
        """Return the newest report from each engine VM, by endpoint id."""
        now = self._env.timer.now()
        if now - self._reports_collected_at > REPORTS_MAX_AGE_S:
            self._cached_reports = self._collect_vm_reports()
            self._reports_collected_at = now
        return self._cached_reports

    def on_announcement(self) -> None:
        """Discard the cached VM reports, as an endpoint has changed."""
        self._reports_collected_at = float('-inf')

    def _collect_vm_reports(self) -> dict[str, messages.VmReport]:
        reports: dict[str, messages.VmReport] = {}
        now = self._env.timer.now()
        for node_id, peer in self.members.state_by_id.items():
            elapsed_ms = int((now - peer.received_at) * units.MS_PER_S)
            if not self.members.is_alive(node_id):
                continue
            for report in peer.heartbeat.vms:
                _keep_newer(reports, _add_age(report, elapsed_ms))
        for report in self.own_vm_reports():
            _keep_newer(reports, report)
        return reports

    def own_vm_reports(self) -> list[messages.VmReport]:
        """Return reports on the engine VMs that announce to this entry."""
        return [
            messages.VmReport(
                endpoint_id=endpoint.endpoint_id,
                incarnation=endpoint.announcement.incarnation,
                fabric_domain=endpoint.announcement.fabric_domain,
                url=endpoint.announcement.url,
                accelerators=endpoint.announcement.accelerators,
                checks_fencing=endpoint.announcement.checks_fencing,
                member_state=endpoint.announcement.member_state,
                group_id=endpoint.announcement.group_id,
                fencing=endpoint.announcement.fencing,
                leaving=endpoint.announcement.leaving,
                cold=endpoint.announcement.cold,
                age_ms=int(self._endpoints.age_s(endpoint) * units.MS_PER_S),
                running=max(
                    endpoint.outstanding, endpoint.announcement.running
                ),
            )
            for endpoint in self._endpoints.endpoint_by_id.values()
            if endpoint.announcement.kind == 'engine'
        ]

    def find_entry_of_vm(self, endpoint_id: str) -> str | None:
        """Return the entry to which an engine VM announces itself.

        If several have heard from it, it is the one with the newest
        report. Returns None if no entry that is alive has.
        """
        report_by_entry = {
            node_id: report
            for node_id, peer in self.members.state_by_id.items()
            if self.members.is_alive(node_id)
            for report in peer.heartbeat.vms
            if report.endpoint_id == endpoint_id
        }
        for report in self.own_vm_reports():
            if report.endpoint_id == endpoint_id:
                report_by_entry[self.own.node_id] = report
        return min(
            report_by_entry,
            key=lambda name: report_by_entry[name].age_ms,
            default=None,
        )

    def is_fresh(self, report: messages.VmReport) -> bool:
        """Whether the report is no older than the endpoint lease."""
        return report.age_ms <= self._lease_s * units.MS_PER_S

    def group_is_whole(self, group: ledger.Group) -> bool:
        """Whether the group serves and all its members are ready for it.

        A member that has restarted since it joined does not count: its
        incarnation differs.
        """
        if group.state != 'serving':
            return False
        reports = self.vm_reports()
        return all(
            self.member_is_ready(group, reports.get(member.endpoint_id))
            and reports[member.endpoint_id].incarnation == member.incarnation
            for member in group.members
        )

    def member_is_ready(
        self, group: ledger.Group, report: messages.VmReport | None
    ) -> bool:
        """Whether a VM reports ready with the group's fencing number."""
        return (
            report is not None
            and self.is_fresh(report)
            and not report.leaving
            and report.member_state == READY
            and report.group_id == group.group_id
            and report.fencing == group.fencing
        )

    def serves(self, endpoint: registry.Endpoint, service: str) -> bool:
        """Whether an endpoint of this entry may take a service's requests.

        Of a group, only the head takes requests, and only while the
        group is whole.
        """
        if not self._endpoints.is_usable(endpoint):
            return False
        announcement = endpoint.announcement
        if announcement.data_centre != self.own.data_centre:
            return False
        if announcement.kind == 'plain':
            return announcement.service == service
        group = self.agreed_state.content.group_ledger.group_by_id.get(
            announcement.group_id
        )
        return (
            group is not None
            and bool(group.members)
            and group.service == service
            and group.head.endpoint_id == announcement.endpoint_id
            and self.group_is_whole(group)
        )

    def own_endpoints(self, service: str) -> list[registry.Endpoint]:
        """Return the endpoints that this entry may use for a service."""
        if self.is_out(self.own.data_centre):
            return []
        return [
            endpoint
            for endpoint in self._endpoints.endpoint_by_id.values()
            if self.serves(endpoint, service)
        ]

    def find_endpoint(self, endpoint_id: str) -> registry.Endpoint:
        """Return an endpoint of this entry; raise KeyError if unknown."""
        return self._endpoints.endpoint_by_id[endpoint_id]

    def service_names(self) -> list[str]:
        """Return the names of all services in the table."""
        return list(self.agreed_state.table.service_by_name())

    def find_account(self, key_sha256: str) -> tables.AccountRow | None:
        """Return the account that has a key, None if there is none."""
        for row in self.agreed_state.table.account_by_name().values():
            if row.key_sha256 == key_sha256:
                return row
        return None


def _add_age(report: messages.VmReport, elapsed_ms: int) -> messages.VmReport:
    return msgspec.structs.replace(report, age_ms=report.age_ms + elapsed_ms)


def _keep_newer(
    reports: dict[str, messages.VmReport], report: messages.VmReport
) -> None:
    """Keep the report of the newest incarnation, then the most recent."""
    previous = reports.get(report.endpoint_id)
    if previous is None or (report.incarnation, -report.age_ms) > (
        previous.incarnation,
        -previous.age_ms,
    ):
        reports[report.endpoint_id] = report
