"""A node of a fleet: an entry or control node that discovers the others."""

import asyncio
import collections.abc
import dataclasses
import os

import msgspec
from starlette import applications

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import pauses
from apricotthread.base import settings as node_settings
from apricotthread.base import units
from apricotthread.control import admissions
from apricotthread.control import audit
from apricotthread.control import folders
from apricotthread.control import logstore
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.control import routetables
from apricotthread.daemon import connectiontable
from apricotthread.daemon import controlservice
from apricotthread.daemon import listeners
from apricotthread.daemon import signals
from apricotthread.endpoints import connections as endpoint_connections
from apricotthread.endpoints import directory
from apricotthread.fleet import crashreports
from apricotthread.fleet import evidence
from apricotthread.fleet import limits as fleet_limits
from apricotthread.fleet import publisher
from apricotthread.fleet import quarantine
from apricotthread.fleet import shares
from apricotthread.fleet import subscriber
from apricotthread.fleet import view
from apricotthread.gateway import application
from apricotthread.gateway import budgets
from apricotthread.gateway import exposures
from apricotthread.gateway import forwarder
from apricotthread.gateway import groupmonitor
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import stallwatch
from apricotthread.gateway import standings
from apricotthread.groups import formationmanager
from apricotthread.groups import prober
from apricotthread.nodes import connections
from apricotthread.nodes import discovery
from apricotthread.nodes import links
from apricotthread.nodes import membership
from apricotthread.nodes import messages
from apricotthread.nodes import server
from apricotthread.operators import health
from apricotthread.operators import quarantine as quarantine_routes
from apricotthread.platform import callers
from apricotthread.platform import operators
from apricotthread.platform import orders

LOG_FLUSH_PERIOD_S = 0.1
SETTINGS_PERIOD_S = 1.0
DROP_STALE_PERIOD_S = 1.0
EVIDENCE_TIMEOUT_S = 0.3  # a running leader answers within milliseconds
LAST_ANSWERS_S = 0.3  # for the answers to requests that a stop gives up
MAX_IDLE_CONNECTIONS = 32  # for each endpoint

FolderOpener = collections.abc.Callable[..., folders.Folder]


class FleetNode:
    """A node of a fleet, with the components of its roles."""

    def __init__(
        self,
        *,
        settings: node_settings.Settings,
        settings_path: str,
        env: environment.Environment,
        log_writer: logs.LineWriter,
        open_folder: FolderOpener = folders.open_folder,
        network: connections.Network | None = None,
        pool: endpoint_connections.ConnectionPool | None = None,
    ) -> None:
        self.settings = settings
        self.env = env
        self._settings_path = settings_path
        self.open_folder = open_folder
        self._log_writer = log_writer
        self.client_table = connectiontable.make_table(settings, env.metrics)
        self._stopping = asyncio.Event()
        self._incarnation = int(env.timer.wall_time() * units.MS_PER_S)
        own = settings.own
        greeting = messages.Greeting(
            protocol=links.PROTOCOL_VERSION,
            node_id=own.node_id,
            data_centre=own.data_centre,
            incarnation=self._incarnation,
            host=own.host,
            peer_port=own.peer_port,
            roles=sorted(role.value for role in own.roles),
        )
        network = network or connections.TcpNetwork(
            max_frame_bytes=settings.max_frame_bytes,
            process_metrics=env.metrics,
        )
        self.members = membership.Membership(
            env=env,
            network=network,
            own=own,
            node_by_id=settings.node_by_id,
            greeting=greeting,
            heartbeat_s=settings.heartbeat_s,
            lease_s=settings.lease_s,
            on_change=lambda: None,
        )
        self.pool = pool or endpoint_connections.ConnectionPool(
            env=env, max_idle=MAX_IDLE_CONNECTIONS
        )
        self.pauses = pauses.PauseDetector(env=env)
        self.control = ControlComponents(node=self) if own.is_voter else None
        self.entry = EntryComponents(node=self) if own.is_entry else None
        self.peer_discovery = discovery.Discovery(
            env=env,
            members=self.members,
            seed_ids=[s.node_id for s in settings.discovery.seeds],
            is_voter=self._is_voter,
            on_link=self._on_link,
            on_gone=self._on_gone,
        )
        self.peer_server = server.PeerServer(
            env=env,
            network=network,
            own=dataclasses.replace(
                own, host=settings.discovery.bind_host or own.host
            ),
            greeting=greeting,
            silence_timeout_s=settings.lease_s * 2,
            on_greeting=self._on_greeting,
        )
        self._register_handlers()

    def _register_handlers(self) -> None:
        handler_by_type = {messages.Heartbeat: self.members.on_heartbeat}
        if self.control is not None:
            handler_by_type.update(self.control.handlers())
            handler_by_type[messages.NodesRequest] = (
                self.peer_discovery.on_nodes_request
            )
            self.peer_server.add_stream_handler(
                messages.Subscribe, self.control.fleet_publisher.on_subscribe
            )
        for body_type, handler in handler_by_type.items():
            self.peer_server.add_call_handler(body_type, handler)

    def _is_voter(self, node_id: str) -> bool:
        if self.control is None:
            return False
        return node_id in self.control.raft.voters.disk_by_voter()

    def _on_greeting(self, greeting: messages.Greeting) -> None:
        if self.control is not None:
            self.peer_discovery.on_greeting(greeting)

    def _on_link(self, link: links.PeerLink) -> None:
        if self.control is not None:
            self.control.raft.add_peer(link)
        if self.entry is not None:
            self.entry.subscriptions.add(link)

    def _on_gone(self, node_id: str) -> None:
        if self.control is not None:
            self.control.raft.remove_peer(node_id)
        if self.entry is not None:
            self.entry.subscriptions.remove(node_id)

    def _make_heartbeat(
        self, peer: node_settings.NodeAddress, sequence: int
    ) -> messages.Heartbeat:
        raft = self.control.raft if self.control else None
        return messages.Heartbeat(
            sequence=sequence,
            incarnation=self._incarnation,
            draining=self._stopping.is_set(),
            applied_index=raft.applied_index if raft else 0,
            version=0,
            capacities=[],
            vms=[],
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then finish open requests and stop."""
        signals.handle(
            asyncio.get_running_loop(),
            stop=self._stopping.set,
            reload=self._reload_settings,
        )
        logs.log_event(
            'node_started',
            node=self.settings.node_id,
            data_centre=self.settings.data_centre,
            roles=sorted(role.value for role in self.settings.own.roles),
            first_start=self.settings.discovery.first_start,
        )
        if self.control is not None:
            await self.control.raft.load()
        components_task = asyncio.create_task(self.run_components())
        listening = self._start_listeners()
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait(
            (components_task, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        if components_task.done():
            components_task.result()
        await self._drain(listening)
        logs.log_event('node_stopped', node=self.settings.node_id)
        components_task.cancel()

    async def run_components(self) -> None:
        """Run all but the HTTP listeners until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.pauses.run())
            tasks.create_task(self.peer_server.run())
            tasks.create_task(self.members.run(self._make_heartbeat))
            tasks.create_task(self._flush_log())
            tasks.create_task(self._watch_settings())
            tasks.create_task(self._drop_stale())
            if self.control is not None:
                self.control.start(tasks)
            if self.entry is not None:
                tasks.create_task(self.entry.stall_watch.run())
                tasks.create_task(self.entry.observations.run())
                tasks.create_task(self.entry.retry_budget.run())
                tasks.create_task(self.entry.limits.run())
            # Discovery starts last, as it passes links to the components,
            # which have to run by then.
            await asyncio.sleep(0)
            tasks.create_task(self.peer_discovery.run())

    async def _flush_log(self) -> None:
        async for _ in self.env.timer.subscribe(period_s=LOG_FLUSH_PERIOD_S):
            self._log_writer.refill(LOG_FLUSH_PERIOD_S)
            self._log_writer.flush()

    async def _drop_stale(self) -> None:
        async for _ in self.env.timer.subscribe(period_s=DROP_STALE_PERIOD_S):
            self.pool.drop_stale()

    def _start_listeners(self) -> list:
        """Start the HTTP listeners of the node's roles, each in a task."""
        known = self.settings.discovery
        app_by_address = {known.metrics_address: self._make_metrics_app()}
        if self.control is not None:
            app_by_address[known.control_address] = (
                operators.make_control_application(self.control.service)
            )
        if self.entry is not None:
            app_by_address[known.caller_address] = self.entry.application
            app_by_address[known.readiness_address] = (
                application.make_readiness_application(self.why_not_ready)
            )
        listener_tasks = []
        for address, app in app_by_address.items():
            if address is None:
                continue
            listening = listeners.open_socket(
                address.host,
                address.port,
                send_buffer_bytes=self.settings.socket_buffer_bytes,
            )
            limits = routetables.CallerLimits
            if address is known.caller_address:
                limits = self.entry.application.get_limits
            listener = listeners.make_listener(
                app, limits=limits, table=self.client_table
            )
            task = asyncio.create_task(
                listeners.run_listener(listener, listening)
            )
            listener_tasks.append((listener, task))
        return listener_tasks

    def _make_metrics_app(self) -> applications.Starlette:
        routes = [
            health.make_metrics_route(
                process_metrics=self.env.metrics,
                refresh=self.client_table.publish_gauges,
                path='/{path:path}',
            )
        ]
        if self.entry is not None:
            routes = (
                quarantine_routes.make_quarantine_routes(self.entry.exposures)
                + routes
            )
        return applications.Starlette(routes=routes)

    def why_not_ready(self) -> str:
        """Return why this entry should get no requests, empty if it should."""
        if self._stopping.is_set():
            return 'stopping'
        if not self.entry.application.has_table:
            return 'no routing table yet'
        return ''

    async def _drain(self, listening: list) -> None:
        """Serve until the load balancer has noticed, then finish requests.

        After `ready_grace_s` the listener of callers stops; the others stop
        once it has finished, as the readiness check is still answered until
        then. All have until `drain_s` after the start of the drain, and what
        is not answered shortly before is given up.
        """
        logs.log_event('node_draining', node=self.settings.node_id)
        deadline = self.env.timer.now() + self.settings.drain_s
        if self.control is not None:
            await self.control.raft.resign()
        if self.entry is not None:
            serving_callers = [
                (listener, task)
                for listener, task in listening
                if listener.config.app is self.entry.application
            ]
            for listener, _ in serving_callers:
                listeners.drain_listener(listener)
            answered_by = deadline - LAST_ANSWERS_S
            self.entry.application.begin_stop(
                late_at=self.env.timer.now() + self.settings.ready_grace_s,
                ends_at=answered_by,
            )
            await self.env.timer.sleep(self.settings.ready_grace_s)
            await self._finish(serving_callers, answered_by)
            self.entry.application.give_up_open()
        await self._finish(listening, deadline)
        unfinished = [
            listener for listener, task in listening if not task.done()
        ]
        if unfinished:
            logs.log_event(
                'drain_cut_off',
                open_connections=sum(
                    listener.open_connections for listener in unfinished
                ),
            )

    async def _finish(self, listening: list, deadline: float) -> None:
        """Stop listeners and wait until they have finished."""
        for listener, _ in listening:
            listeners.stop_listener(listener)
        await listeners.wait_for_listeners(
            [task for _, task in listening], deadline - self.env.timer.now()
        )

    # Reloading of settings

    async def _watch_settings(self) -> None:
        """Reload the settings whenever their file has changed."""
        known = self._get_settings_stamp()
        async for _ in self.env.timer.subscribe(period_s=SETTINGS_PERIOD_S):
            stamp = self._get_settings_stamp()
            if stamp != known:
                known = stamp
                self._reload_settings()

    def _get_settings_stamp(self) -> tuple[int, int]:
        try:
            file_status = os.stat(self._settings_path)
        except OSError as error:
            logs.log_event('settings_unreadable', reason=str(error))
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)

    def _reload_settings(self) -> None:
        """Apply the seeds of the settings file; the rest needs a restart."""
        try:
            new_settings = node_settings.read_settings(self._settings_path)
        except node_settings.SettingsError as error:
            logs.log_fault('settings_refused', error)
            return
        logs.log_event(
            'settings_read',
            seeds=[seed.host for seed in new_settings.discovery.seeds],
        )
        self.peer_discovery.set_seeds(new_settings.discovery.seeds)


class ControlComponents:
    """The components of a control node: agreed state, endpoints, groups."""

    def __init__(self, *, node: FleetNode) -> None:
        env = node.env
        settings = node.settings
        members = node.members
        known = settings.discovery
        self._link_by_id = members.link_by_id
        folder = node.open_folder(settings.data_folder, timer=env.timer)
        seed_voter_ids = frozenset(
            seed.node_id for seed in known.seeds if known.first_start
        )
        self.raft = replica.Replica(
            env=env,
            own=settings.own,
            node_by_id=settings.node_by_id,
            link_by_id=members.link_by_id,
            store=logstore.LogStore(folder=folder),
            trail=audit.AuditTrail(folder=folder),
            heartbeat_s=settings.heartbeat_s,
            lease_s=settings.lease_s,
            initial_voter_ids=seed_voter_ids,
            data_centres=known.data_centres,
        )
        self.proposer = proposals.Proposer(
            env=env,
            raft=self.raft,
            link_by_id=members.link_by_id,
            lease_s=settings.lease_s,
        )
        self.endpoints = directory.Directory(
            env=env,
            lost_after_s=settings.endpoint_lease_s,
            on_change=self._on_change,
        )
        self.observations = evidence.EvidenceStore(env=env)
        self.quarantine = quarantine.Quarantine(env=env)
        self.shares = shares.ShareRegistry(
            env=env, longest_window_s=known.retry_window_s
        )
        self.permits = fleet_limits.PermitRegistry(env=env)
        self.fleet_publisher = publisher.Publisher(
            env=env,
            raft=self.raft,
            members=members,
            endpoints=self.endpoints,
        )
        self.voter_manager = admissions.VoterManager(
            env=env,
            raft=self.raft,
            members=members,
            target_voter_count=2 * known.tolerated_losses + 1,
            lost_after_s=2 * settings.lease_s,
        )
        worker_client = orders.WorkerClient(
            env=env, on_leaving=self.fleet_publisher.note_leaving
        )
        self.prober = prober.Prober(
            env=env,
            raft=self.raft,
            endpoints=self.endpoints,
            observations=self.observations,
            probe=worker_client,
        )
        self.formation_manager = formationmanager.FormationManager(
            env=env,
            raft=self.raft,
            endpoints=self.endpoints,
            observations=self.observations,
            slow_ids=self.prober.slow_ids,
            get_table=self.get_table,
            sender=worker_client,
            stall_s=settings.stall_s,
            lost_after_s=settings.endpoint_lease_s,
        )
        self.service = controlservice.ControlService(
            env=env,
            raft=self.raft,
            proposer=self.proposer,
            fleet_publisher=self.fleet_publisher,
            link_by_id=members.link_by_id,
            pause_detector=node.pauses,
            data_centres=known.data_centres,
            get_table=self.get_table,
        )
        self._table: routetables.RouteTable | None = None

    def _on_change(self) -> None:
        self.fleet_publisher.on_change()

    def get_table(self) -> routetables.RouteTable | None:
        """Return the agreed routing table, None if there is none."""
        content = self.raft.state.content
        if not content.has_routes:
            return None
        if self._table is None or (
            self._table.version != content.routes_version
        ):
            self._table = routetables.unpack_table(content.routes_table)
        return self._table

    def handlers(self) -> dict[type, server.CallHandler]:
        """Return the handler of each type of peer call."""
        return {
            messages.VoteRequest: self.raft.on_vote_request,
            messages.AppendRequest: self.raft.on_append_request,
            messages.SnapshotPiece: self.raft.on_snapshot_piece,
            messages.Resignation: self.raft.on_resignation,
            messages.Proposal: self.proposer.on_proposal,
            messages.IdentityRequest: self.raft.voters.on_identity_request,
            messages.AuditRequest: self.raft.trail.on_audit_request,
            messages.EndpointNews: self.fleet_publisher.on_endpoint_news,
            messages.Evidence: self._on_evidence,
            messages.DocumentRequest: self.service.on_document_request,
        }

    async def _on_evidence(
        self, peer: messages.Greeting, body: messages.Evidence
    ) -> messages.Message:
        """Store an entry's report on groups, or forward it to the leader.

        The leader replies with the numbers of requests that all entries
        have in flight, and with the entry's share of their bounds. Reports
        from other control nodes are not forwarded.
        """
        leader_id = self.raft.leader_id
        link = self._link_by_id.get(leader_id)
        if link is not None and peer.node_id not in self._link_by_id:
            self.quarantine.forget()
            reply = await link.try_call(body, timeout_s=EVIDENCE_TIMEOUT_S)
            return reply or messages.Done()
        try:
            report = evidence.decode_report(body.payload)
        except msgspec.DecodeError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.PROTOCOL,
                message=f'the report cannot be decoded: {error}',
            ) from error
        self.observations.take(report)
        for leaver in report.leavers:
            self.fleet_publisher.note_leaving(
                leaver.endpoint_id, leaver.born_ms
            )
        if self.raft.role is not replica.Role.LEADER:
            return messages.Done()
        self.quarantine.take(report.entry_id, report.crash_report)
        return messages.EvidenceReply(
            payload=self.observations.sum_in_flight(),
            quarantine=crashreports.encode_reply(
                self.quarantine.reply_to(report.crash_report)
            ),
            share=self._grant_share(report),
            limits=self._grant_permits(report),
        )

    def _grant_share(self, report: evidence.EntryReport) -> bytes:
        """Return an entry's share, empty while another node may lead."""
        if not self.raft.holds_lease():
            return b''
        return shares.encode_grant(
            self.shares.grant(
                report.entry_id,
                report.share_claim,
                leader_since=self.raft.leader_since,
            )
        )

    def _grant_permits(self, report: evidence.EntryReport) -> bytes:
        """Return an entry's permits, empty while another node may lead."""
        if not self.raft.holds_lease():
            return b''
        return fleet_limits.encode_reply(
            self.permits.reply_to(
                report.entry_id,
                report.limit_report,
                leader_since=self.raft.leader_since,
            )
        )

    def start(self, tasks: asyncio.TaskGroup) -> None:
        """Start the components in a task group."""
        tasks.create_task(self.raft.run())
        tasks.create_task(self.fleet_publisher.run())
        tasks.create_task(self.voter_manager.run())
        tasks.create_task(self.formation_manager.run())
        tasks.create_task(self.prober.run())


class EntryComponents:
    """The components of an entry: the gateway and its view of the fleet."""

    def __init__(self, *, node: FleetNode) -> None:
        env = node.env
        settings = node.settings
        known = settings.discovery
        self.fleet = view.FleetView(env=env, on_table=self._on_table)
        self.subscriptions = subscriber.Subscriber(env=env, fleet=self.fleet)
        dialect = callers.PlatformDialect()
        load_table = loads.LoadTable(env=env)
        self.limits = limits.LimitTable(env=env, fleet=self.fleet)
        self.standings = standings.StandingTable(env=env, fleet=self.fleet)
        self.share = shares.ShareHolder(env=env)
        self.exposures = exposures.ExposureMonitor(
            env=env, fleet=self.fleet, entry_id=settings.node_id
        )
        self.observations = groupmonitor.GroupMonitor(
            env=env,
            members=node.members,
            data_centre=settings.data_centre,
            fleet=self.fleet,
            load_table=load_table,
            exposure_monitor=self.exposures,
            limit_table=self.limits,
            standing_table=self.standings,
            share=self.share,
        )
        self.stall_watch = stallwatch.StallWatch(
            env=env,
            fleet=self.fleet,
            load_table=load_table,
            observations=self.observations,
        )
        self.retry_budget = budgets.RetryBudget(
            env=env,
            share=self.share,
            ratio=known.retry_ratio,
            slack=known.retry_slack,
            window_s=known.retry_window_s,
        )
        self.forwarder = forwarder.Forwarder(
            env=env,
            fleet=self.fleet,
            pool=node.pool,
            dialect=dialect,
            load_table=load_table,
            limit_table=self.limits,
            standing_table=self.standings,
            budget=self.retry_budget,
            share=self.share,
            stall_watch=self.stall_watch,
            observations=self.observations,
            exposure_monitor=self.exposures,
            own_data_centre=settings.data_centre,
            cold_overshoot=known.cold_overshoot,
        )
        self.application = application.GatewayApplication(
            env=env,
            fleet=self.fleet,
            dialect=dialect,
            forward=self.forwarder,
            pause_detector=node.pauses,
        )

    def _on_table(self, table: routetables.RouteTable) -> None:
        self.application.set_table(table)
