"""A node whose settings list all nodes; creates and runs its components."""

import asyncio
import contextlib

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import settings as node_settings
from apricotthread.base import units
from apricotthread.callers import application as caller_application
from apricotthread.control import audit
from apricotthread.control import claims
from apricotthread.control import folders
from apricotthread.control import logstore
from apricotthread.control import proposals
from apricotthread.control import registers
from apricotthread.control import replica
from apricotthread.control import routetables
from apricotthread.daemon import connectiontable
from apricotthread.daemon import heartbeats
from apricotthread.daemon import listeners
from apricotthread.daemon import signals
from apricotthread.endpoints import announcements
from apricotthread.endpoints import application as endpoint_application
from apricotthread.endpoints import client
from apricotthread.endpoints import registry
from apricotthread.groups import manager
from apricotthread.nodes import connections
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server
from apricotthread.operators import application as operator_application
from apricotthread.operators import health
from apricotthread.operators import localmarks
from apricotthread.operators import overview as overviews
from apricotthread.routing import buffers
from apricotthread.routing import credits
from apricotthread.routing import dispatcher
from apricotthread.routing import router as request_router
from apricotthread.routing import scheduler
from apricotthread.routing import view

WAKE_PERIOD_S = 0.25
FORGET_PERIOD_S = 30.0
ANNOUNCE_EVERY_S = 1.0
FETCH_PERIOD_S = 1.0
DRAIN_POLL_S = 0.05


class Node:
    """A node with the components of the entry and the control role."""

    def __init__(
        self,
        *,
        settings: node_settings.Settings,
        env: environment.Environment,
        network: connections.Network | None = None,
        folder: folders.Folder | None = None,
        endpoint_client: client.EndpointClient | None = None,
    ) -> None:
        self.settings = settings
        self.env = env
        self.client_table = connectiontable.make_table(settings, env.metrics)
        own = settings.own
        incarnation = int(env.timer.wall_time() * units.MS_PER_S)
        greeting = messages.Greeting(
            protocol=links.PROTOCOL_VERSION,
            node_id=own.node_id,
            data_centre=own.data_centre,
            incarnation=incarnation,
        )
        network = network or connections.TcpNetwork(
            max_frame_bytes=settings.max_frame_bytes,
            process_metrics=env.metrics,
        )
        folder = folder or folders.open_folder(
            settings.data_folder, timer=env.timer
        )
        self.members = membership.Membership(
            env=env,
            network=network,
            own=own,
            node_by_id=settings.node_by_id,
            greeting=greeting,
            heartbeat_s=settings.heartbeat_s,
            lease_s=settings.lease_s,
            on_change=self._on_heartbeat,
        )
        link_by_id = self.members.link_by_id
        self.peer_server = server.PeerServer(
            env=env,
            network=network,
            own=own,
            greeting=greeting,
            silence_timeout_s=settings.lease_s * 2,
        )
        self.trail = audit.AuditTrail(folder=folder)
        self.raft = replica.Replica(
            env=env,
            own=own,
            node_by_id=settings.node_by_id,
            link_by_id=link_by_id,
            store=logstore.LogStore(folder=folder),
            trail=self.trail,
            heartbeat_s=settings.heartbeat_s,
            lease_s=settings.lease_s,
        )
        self.proposer = proposals.Proposer(
            env=env,
            raft=self.raft,
            link_by_id=link_by_id,
            lease_s=settings.lease_s,
        )
        self.registers = registers.RegisterStore(
            env=env,
            folder=folder,
            retention_s=settings.claim_retention_s,
            may_answer=self.raft.voters.may_answer_for_claims,
        )
        self.claimant = claims.Claimant(
            env=env,
            node_id=own.node_id,
            incarnation=incarnation,
            link_by_id=link_by_id,
            own_registers=self.registers if own.is_voter else None,
            voters=self.raft.voters.disk_by_voter,
        )
        self.endpoints = registry.Registry(
            env=env,
            lease_s=settings.endpoint_lease_s,
            on_change=self._on_endpoint_change,
        )
        self.system = view.SystemView(
            env=env,
            own=own,
            raft=self.raft,
            members=self.members,
            endpoints=self.endpoints,
            lease_s=settings.endpoint_lease_s,
            ready_grace_s=settings.ready_grace_s,
        )
        self.schedule = scheduler.Scheduler(
            env=env,
            system=self.system,
            queue_length=settings.queue_length,
            queue_wait_s=settings.queue_wait_s,
        )
        self.endpoint_client = endpoint_client or client.EndpointClient(
            env=env, stall_s=settings.stall_s
        )
        self.dispatch = dispatcher.Dispatcher(
            env=env,
            system=self.system,
            schedule=self.schedule,
            endpoint_client=self.endpoint_client,
            link_by_id=link_by_id,
            stall_s=settings.stall_s,
        )
        self.limits = credits.AccountLimits(
            env=env,
            node_id=own.node_id,
            incarnation=incarnation,
            entry_ids=sorted(
                node.node_id
                for node in settings.node_by_id.values()
                if node.is_entry
            ),
            link_by_id=link_by_id,
            limit_of=self._limit_of,
            lease_s=settings.lease_s,
            request_timeout_s=settings.request_timeout_s,
        )
        self.budget = buffers.NodeBufferBudget(
            env=env, limit_bytes=settings.node_buffer_bytes
        )
        self.router = request_router.Router(
            env=env,
            system=self.system,
            schedule=self.schedule,
            dispatch=self.dispatch,
            limits=self.limits,
            claimant=self.claimant,
            budget=self.budget,
            answer_buffer_bytes=settings.answer_buffer_bytes,
            request_timeout_s=settings.request_timeout_s,
        )
        self.group_manager = manager.GroupManager(
            env=env,
            system=self.system,
            raft=self.raft,
            endpoint_client=self.endpoint_client,
            lease_s=settings.lease_s,
        )
        self.marks = localmarks.LocalMarks(
            env=env,
            system=self.system,
            raft=self.raft,
            proposer=self.proposer,
            folder=folder,
        )
        self.heartbeat_builder = heartbeats.HeartbeatBuilder(
            env=env,
            own=own,
            incarnation=incarnation,
            system=self.system,
            raft=self.raft,
            schedule=self.schedule,
            max_age_s=settings.heartbeat_s / 2,
        )
        self._stopping = asyncio.Event()
        self._register_handlers()

    def _limit_of(self, account: str) -> int:
        row = self.system.agreed_state.table.account_by_name().get(account)
        return row.limit if row is not None else 0

    def _on_heartbeat(self) -> None:
        self.schedule.wake()

    def _on_endpoint_change(self) -> None:
        self.system.on_announcement()
        self.schedule.wake()

    def _register_handlers(self) -> None:
        """Register the handler of each type of peer request."""
        handler_by_type = {
            messages.Heartbeat: self.members.on_heartbeat,
            messages.VoteRequest: self.raft.on_vote_request,
            messages.AppendRequest: self.raft.on_append_request,
            messages.SnapshotPiece: self.raft.on_snapshot_piece,
            messages.Resignation: self.raft.on_resignation,
            messages.Proposal: self.proposer.on_proposal,
            messages.IdentityRequest: self.raft.voters.on_identity_request,
            messages.StateRequest: self.raft.on_state_request,
            messages.ClaimPrepare: self.registers.on_prepare,
            messages.ClaimAccept: self.registers.on_accept,
            messages.ClaimOutcome: self.registers.on_outcome,
            messages.OrderRequest: self.group_manager.on_order_request,
            messages.CreditRequest: self.limits.on_credit_request,
            messages.AuditRequest: self.trail.on_audit_request,
        }
        for body_type, handler in handler_by_type.items():
            self.peer_server.add_call_handler(body_type, handler)
        self.peer_server.add_stream_handler(
            messages.Dispatch, self.dispatch.on_dispatch
        )

    def why_not_ready(self) -> str:
        """Return why this node should get no requests, empty if it should."""
        if self.system.draining:
            return 'draining'
        if self.system.is_out(self.settings.data_centre):
            return 'the data centre is taken out'
        if not self.settings.own.is_entry:
            return 'not an entry'
        if not self.system.has_table:
            return 'no table yet'
        if not self.limits.has_recovered_loans:
            return 'credits lent before the last restart are not known yet'
        return ''

    def make_announcement_reply(self) -> announcements.AnnouncementReply:
        """Return the reply to the announcement of an endpoint."""
        return announcements.AnnouncementReply(
            announce_every_s=ANNOUNCE_EVERY_S,
            lease_s=self.settings.endpoint_lease_s,
            draining=self.system.draining,
            entries=[],
        )

    def refresh_gauges(self) -> None:
        """Set the gauges that are computed only when metrics are read."""
        self.budget.publish_gauges()
        self.client_table.publish_gauges()
        metrics = self.env.metrics
        metrics.set_gauge('open_requests', self.router.open_requests)
        metrics.set_gauge('endpoints', len(self.endpoints.endpoint_by_id))
        metrics.set_gauge('agreed_version', self.system.agreed_state.version)
        metrics.set_gauge('log_entries', self.raft.store.entry_count)

    def _make_limits(self) -> routetables.CallerLimits:
        """Return what callers, operators and endpoints may send."""
        return routetables.CallerLimits(
            max_header_bytes=self.settings.max_header_bytes
        )

    async def run_components(self) -> None:
        """Run all components but the HTTP listeners until cancelled."""
        await self.raft.load()
        await self.registers.load()
        await self.marks.load()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.peer_server.run())
                tasks.create_task(
                    self.members.run(self.heartbeat_builder.make_heartbeat)
                )
                tasks.create_task(self.raft.run())
                tasks.create_task(self.limits.run())
                tasks.create_task(self.marks.run())
                tasks.create_task(self._wake_scheduler())
                tasks.create_task(self._fetch_state())
                tasks.create_task(self._forget_silent_endpoints())
                if self.settings.own.is_voter:
                    tasks.create_task(self.group_manager.run())
        finally:
            self.router.cancel_idempotent_runs()
            self.claimant.cancel()

    async def _wake_scheduler(self) -> None:
        """Wake the scheduler periodically.

        The expiry of a lease or a heartbeat does not wake it.
        """
        async for _ in self.env.timer.subscribe(period_s=WAKE_PERIOD_S):
            self.system.is_refusing_callers()
            self.schedule.wake()

    async def _fetch_state(self) -> None:
        """Fetch the agreed state from peers until this node has a table.

        Only non-voters do so, as the leader sends the state to voters.
        """
        async for _ in self.env.timer.subscribe(period_s=FETCH_PERIOD_S):
            if not self.system.has_table and not self.settings.own.is_voter:
                await self.raft.fetch_state()

    async def _forget_silent_endpoints(self) -> None:
        async for _ in self.env.timer.subscribe(period_s=FORGET_PERIOD_S):
            self.endpoints.forget_silent()

    def make_applications(self) -> dict[int, object]:
        """Return the HTTP applications by port."""
        health_routes = health.make_health_routes(
            why_not_ready=self.why_not_ready
        )
        metrics_route = health.make_metrics_route(
            process_metrics=self.env.metrics, refresh=self.refresh_gauges
        )
        callers = caller_application.CallerApplication(
            env=self.env,
            router=self.router,
            system=self.system,
            max_body_bytes=self.settings.max_body_bytes,
            max_header_bytes=self.settings.max_header_bytes,
            request_timeout_s=self.settings.request_timeout_s,
            extra_routes=health_routes,
        )
        operators = operator_application.OperatorApplication(
            env=self.env,
            system=self.system,
            raft=self.raft,
            proposer=self.proposer,
            trail=self.trail,
            overview=overviews.Overview(
                system=self.system,
                raft=self.raft,
                schedule=self.schedule,
            ),
            marks=self.marks,
            extra_routes=[*health_routes, metrics_route],
        )
        endpoints = endpoint_application.make_application(
            endpoints=self.endpoints,
            make_reply=self.make_announcement_reply,
        )
        return {
            self.settings.caller_port: callers.asgi,
            self.settings.endpoint_port: endpoints,
            self.settings.operator_port: operators.asgi,
        }

    async def run(self) -> None:
        """Run the node until SIGTERM or SIGINT, then drain and stop it."""
        signals.handle(
            asyncio.get_running_loop(),
            stop=self._stopping.set,
            reload=self._ignore_reload,
        )
        components_task = asyncio.create_task(self.run_components())
        listener_tasks = []
        for port, application in self.make_applications().items():
            listening_socket = listeners.open_socket(
                self.settings.listen_host,
                port,
                send_buffer_bytes=self.settings.socket_buffer_bytes,
            )
            listener = listeners.make_listener(
                application,
                limits=self._make_limits,
                table=self.client_table,
            )
            task = asyncio.create_task(
                listeners.run_listener(listener, listening_socket)
            )
            listener_tasks.append((listener, task))
        logs.log_event(
            'node_started',
            node=self.settings.node_id,
            data_centre=self.settings.data_centre,
        )
        stopping = asyncio.create_task(self._stopping.wait())
        try:
            await asyncio.wait(
                (components_task, stopping),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not components_task.done():
                await self._drain()
        finally:
            for listener, _ in listener_tasks:
                listeners.stop_listener(listener)
            await listeners.wait_for_listeners(
                [task for _, task in listener_tasks], self.settings.drain_s
            )
            stopping.cancel()
            if not components_task.done():
                components_task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await components_task
        if components_task.done() and not components_task.cancelled():
            components_task.result()
        logs.log_event('node_stopped', node=self.settings.node_id)

    def _ignore_reload(self) -> None:
        """Log that a changed settings file needs a restart."""
        logs.log_event(
            'reload_ignored', reason='settings are read at the start only'
        )

    async def _drain(self) -> None:
        """Fail the readiness check, then wait until no request is open.

        New requests are served until the load balancer has noticed. The wait
        ends after `drain_s` at the latest.
        """
        logs.log_event('node_draining', node=self.settings.node_id)
        self.system.start_draining()
        await self.raft.resign()
        await self.env.timer.sleep(self.settings.ready_grace_s)
        deadline = self.env.timer.now() + self.settings.drain_s
        while self._has_open_work() and self.env.timer.now() < deadline:
            await self.env.timer.sleep(DRAIN_POLL_S)

    def _has_open_work(self) -> bool:
        return bool(
            self.router.open_requests
            or self.router.open_idempotent_runs
            or any(
                endpoint.outstanding
                for endpoint in self.endpoints.endpoint_by_id.values()
            )
        )
