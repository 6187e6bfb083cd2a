"""Runs the planner on the leader, to keep groups as the table says."""

import asyncio
import dataclasses

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import units
from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import replica
from apricotthread.endpoints import announcements
from apricotthread.endpoints import client
from apricotthread.groups import actions
from apricotthread.groups import planner
from apricotthread.nodes import messages
from apricotthread.routing import view

PLAN_PERIOD_S = 0.5
ORDER_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 2.0
ASSEMBLY_TIMEOUT_S = 120.0  # loading the weights of a large model is slow
DRAIN_GRACE_S = 2.0  # until every entry has heard that a group drains
PROBE_TOKENS = 1
PROBE_ACTION = 'probe'


@dataclasses.dataclass(kw_only=True)
class Downtime:
    """Time that groups and accelerators did not serve, summed up."""

    group_s: float = 0.0
    stranded_accelerator_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """An order to send a test request through a group before it serves."""

    group_id: str
    fencing: int


def make_order_request(
    endpoint_id: str, order: announcements.Order | Probe
) -> messages.OrderRequest:
    """Return the message that asks an entry to forward an order."""
    match order:
        case Probe():
            return messages.OrderRequest(
                endpoint_id=endpoint_id,
                action=PROBE_ACTION,
                fencing=order.fencing,
                group_id=order.group_id,
                service='',
                model='',
                model_version='',
                rank=0,
                members=[],
                timeout_ms=int(PROBE_TIMEOUT_S * units.MS_PER_S),
            )
        case announcements.Order():
            return messages.OrderRequest(
                endpoint_id=endpoint_id,
                action=order.action,
                fencing=order.fencing,
                group_id=order.group_id,
                service=order.service,
                model=order.model,
                model_version=order.version,
                rank=order.rank,
                members=order.members,
                timeout_ms=int(ORDER_TIMEOUT_S * units.MS_PER_S),
            )


class GroupManager:
    """Plans and carries out changes of groups while this node is leader."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        raft: replica.Replica,
        endpoint_client: client.EndpointClient,
        lease_s: float,
    ) -> None:
        self._env = env
        self._system = system
        self._raft = raft
        self._client = endpoint_client
        self._lease_s = lease_s
        self._leading_since: float | None = None
        self._assembling_since_by_fencing: dict[int, float] = {}
        self._draining_since_by_fencing: dict[int, float] = {}
        self.downtime = Downtime()

    async def run(self) -> None:
        """Plan periodically until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=PLAN_PERIOD_S):
            if not self._raft.holds_lease():
                self._leading_since = None
                self._assembling_since_by_fencing.clear()
                self._draining_since_by_fencing.clear()
                continue
            if self._leading_since is None:
                self._leading_since = self._env.timer.now()
            try:
                await self._run_plan()
            except errors.ApricotError as error:
                logs.log_fault('group_plan_failed', error)

    def _has_heard_all_vms(self) -> bool:
        """Whether this node has led long enough to have heard of every VM."""
        leading_s = self._env.timer.now() - self._leading_since
        return leading_s >= self._lease_s + ORDER_TIMEOUT_S

    async def _run_plan(self) -> None:
        if not self._has_heard_all_vms():
            return
        planned = []
        with logs.contain_bug('plan_broke', self._env.metrics):
            plan_input = self._make_input()
            self._update_metrics(plan_input)
            planned = planner.make_plan(plan_input)
        await asyncio.gather(*(self._execute(a) for a in planned))

    def _make_input(self) -> planner.PlanInput:
        content = self._raft.state.content
        groups = content.group_ledger.groups()
        self._assembling_since_by_fencing = self._track_state_starts(
            groups, 'assembling', self._assembling_since_by_fencing
        )
        self._draining_since_by_fencing = self._track_state_starts(
            groups, 'draining', self._draining_since_by_fencing
        )
        return planner.PlanInput(
            table=content.table,
            groups=groups,
            last_fencing=content.group_ledger.last_fencing,
            vm_by_id=self._vm_by_id(),
            stuck_group_ids=self._older_than(
                groups, self._assembling_since_by_fencing, ASSEMBLY_TIMEOUT_S
            ),
            drained_group_ids=self._older_than(
                groups, self._draining_since_by_fencing, DRAIN_GRACE_S
            ),
        )

    def _track_state_starts(
        self,
        groups: tuple[ledger.Group, ...],
        name: str,
        since_by_fencing: dict[int, float],
    ) -> dict[int, float]:
        """Return since when each group is in a state, by fencing number."""
        now = self._env.timer.now()
        return {
            group.fencing: since_by_fencing.get(group.fencing, now)
            for group in groups
            if group.state == name
        }

    def _older_than(
        self,
        groups: tuple[ledger.Group, ...],
        since_by_fencing: dict[int, float],
        age_s: float,
    ) -> frozenset[str]:
        oldest = self._env.timer.now() - age_s
        return frozenset(
            group.group_id
            for group in groups
            if since_by_fencing.get(group.fencing, oldest) < oldest
        )

    def _vm_by_id(self) -> dict[str, actions.Vm]:
        node_by_id = self._system.members.node_by_id
        vm_by_id = {}
        for endpoint_id, report in self._system.vm_reports().items():
            entry_id = self._system.find_entry_of_vm(endpoint_id)
            if entry_id is None:
                continue
            vm_by_id[endpoint_id] = actions.Vm(
                report=report,
                data_centre=node_by_id[entry_id].data_centre,
                has_fresh_report=self._system.is_fresh(report),
            )
        return vm_by_id

    def _update_metrics(self, plan_input: planner.PlanInput) -> None:
        """Add up downtime of groups and accelerators, and set the gauges."""
        down = sum(
            1
            for group in plan_input.groups
            if group.members
            and (
                group.state != 'serving'
                or planner.lost_members(group, plan_input)
            )
        )
        serving = {
            member.endpoint_id
            for group in plan_input.groups
            if group.state == 'serving'
            and not planner.lost_members(group, plan_input)
            for member in group.members
        }
        stranded = sum(
            vm.report.accelerators
            for endpoint_id, vm in plan_input.vm_by_id.items()
            if vm.has_fresh_report and endpoint_id not in serving
        )
        self.downtime.group_s += down * PLAN_PERIOD_S
        self.downtime.stranded_accelerator_s += stranded * PLAN_PERIOD_S
        metrics = self._env.metrics
        metrics.set_gauge('groups_down', down)
        metrics.set_gauge('accelerators_stranded', stranded)
        metrics.set_gauge('group_downtime_seconds', self.downtime.group_s)
        metrics.set_gauge(
            'stranded_accelerator_seconds',
            self.downtime.stranded_accelerator_s,
        )

    async def _execute(self, action: actions.Action) -> None:
        match action:
            case actions.Assemble():
                await self._propose(
                    commands.AssembleGroup(
                        group_id=self._env.new_id()[:12],
                        service=action.service.name,
                        model=action.service.model,
                        version=action.service.version,
                        data_centre=action.domain.data_centre,
                        fabric_domain=action.domain.name,
                        members=list(action.members),
                    )
                )
            case actions.Repair(group=group, members=members):
                await self._propose(
                    commands.RepairGroup(
                        group_id=group.group_id,
                        fencing=group.fencing,
                        members=list(members),
                    )
                )
            case actions.Drain(group=group):
                await self._set_state(group, 'draining')
            case actions.Dissolve(group=group):
                await self._propose(
                    commands.DissolveGroup(
                        group_id=group.group_id, fencing=group.fencing
                    )
                )
            case actions.Release(group=group, endpoint_id=endpoint_id):
                await self._propose(
                    commands.ReleaseVm(
                        group_id=group.group_id, endpoint_id=endpoint_id
                    )
                )
            case actions.OrderRelease(
                endpoint_id=endpoint_id, fencing=fencing
            ):
                order = announcements.Order(action='release', fencing=fencing)
                await self._order(endpoint_id, order)
            case actions.Advance(group=group):
                await self._advance(group)

    async def _propose(self, command: commands.AnyCommand) -> None:
        """Propose a ledger change; the next plan works with the outcome."""
        payload = commands.encode_command(command)
        result = await self._raft.propose_as_leader(payload)
        kind = type(command).__struct_config__.tag
        logs.log_event(
            'ledger_change',
            change=kind,
            result=result.code or 'accepted',
            fencing=result.group_fencing,
        )
        self._env.metrics.count(f'ledger_{kind}')

    async def _set_state(self, group: ledger.Group, name: str) -> None:
        await self._propose(
            commands.SetGroupState(
                group_id=group.group_id, fencing=group.fencing, state=name
            )
        )

    async def _advance(self, group: ledger.Group) -> None:
        """Order missing members to join, or probe the group when all have.

        The group starts to serve once the probe succeeds.
        """
        reports = self._system.vm_reports()
        missing = [
            (rank, member)
            for rank, member in enumerate(group.members)
            if not self._system.member_is_ready(
                group, reports.get(member.endpoint_id)
            )
        ]
        if not missing:
            if await self._order(
                group.head.endpoint_id,
                Probe(group_id=group.group_id, fencing=group.fencing),
            ):
                await self._set_state(group, 'serving')
            return
        urls = [member.url for member in group.members]
        await asyncio.gather(
            *(
                self._order(
                    member.endpoint_id,
                    announcements.Order(
                        action='join',
                        fencing=group.fencing,
                        group_id=group.group_id,
                        service=group.service,
                        model=group.model,
                        version=group.version,
                        rank=rank,
                        members=urls,
                    ),
                )
                for rank, member in missing
                if not self._has_joined(group, reports, member)
            )
        )

    def _has_joined(
        self,
        group: ledger.Group,
        reports: dict[str, messages.VmReport],
        member: commands.GroupMember,
    ) -> bool:
        """Whether a VM reports the group, so that it has the order to join."""
        report = reports.get(member.endpoint_id)
        return report is not None and (
            report.group_id == group.group_id
            and report.fencing == group.fencing
        )

    async def _order(
        self, endpoint_id: str, order: announcements.Order | Probe
    ) -> bool:
        """Send an order to a VM through the entry that it announces to.

        Return whether it was confirmed. It is sent only if this node's
        lease lasts longer than the order may take.
        """
        entry_id = self._system.find_entry_of_vm(endpoint_id)
        if (
            entry_id is None
            or self._raft.lease_remaining_s() < ORDER_TIMEOUT_S
        ):
            return False
        request = make_order_request(endpoint_id, order)
        if entry_id == self._system.own.node_id:
            reply = await self._forward_order(request)
        else:
            link = self._system.members.link_by_id[entry_id]
            reply = await link.try_call(
                request, timeout_s=request.timeout_ms / units.MS_PER_S
            )
        confirmed = isinstance(reply, messages.OrderReply) and reply.confirmed
        logs.log_event(
            'order_sent',
            endpoint=endpoint_id,
            action=request.action,
            fencing=order.fencing,
            confirmed=confirmed,
        )
        return confirmed

    async def on_order_request(
        self, peer: messages.Greeting, body: messages.OrderRequest
    ) -> messages.Message:
        """Forward an order of the leader to a VM of this entry.

        Only the leader that this node follows may send orders; others are
        refused with the error NOT_LEADER.
        """
        if peer.node_id != self._raft.leader_id:
            raise errors.ApricotError(
                code=errors.ErrorCode.NOT_LEADER,
                message=f'{peer.node_id} is not the leader',
            )
        return await self._forward_order(body)

    async def _forward_order(
        self, body: messages.OrderRequest
    ) -> messages.OrderReply:
        try:
            endpoint = self._system.find_endpoint(body.endpoint_id)
        except KeyError:
            return messages.OrderReply(
                confirmed=False, reason='the VM is not known to this entry'
            )
        if body.action == PROBE_ACTION:
            answered = await self._probe(body, endpoint.announcement.url)
            return messages.OrderReply(confirmed=answered, reason='')
        answer = await self._client.order(
            endpoint.announcement.url,
            announcements.Order(
                action=body.action,
                fencing=body.fencing,
                group_id=body.group_id,
                service=body.service,
                model=body.model,
                version=body.model_version,
                rank=body.rank,
                members=body.members,
            ),
            timeout_s=body.timeout_ms / units.MS_PER_S,
        )
        return messages.OrderReply(
            confirmed=answer.confirmed, reason=answer.reason
        )

    async def _probe(self, body: messages.OrderRequest, url: str) -> bool:
        """Return whether the group as a whole generates a token."""
        request = announcements.GenerateRequest(
            request_id=f'probe-{body.group_id}-{body.fencing}',
            prompt='probe',
            max_tokens=PROBE_TOKENS,
            offset=0,
            priority=0,
            seed='probe',
            group_id=body.group_id,
        )
        try:
            async with self._env.timer.timeout(
                body.timeout_ms / units.MS_PER_S
            ):
                async with self._client.generate(url, request) as pieces:
                    async for piece in pieces:
                        if piece.finish:
                            return True
        except (TimeoutError, errors.ApricotError):
            pass
        return False
