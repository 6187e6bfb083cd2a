"""Runs one seed: starts the deployment, injects faults and checks promises."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal

from apricotthread.fakes import childprocesses
from soak import callers
from soak import checks
from soak import deployment as deployments
from soak import operators
from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

CALLER_COUNT = 8
EVENTS_PER_STREAM = 12
START_TIMEOUT_S = 40.0
LINK_DELAY_S = 0.15
BROKEN_SHARE = 0.7  # of the answers, while answers break
CLOCK_STEP_S = 2400.0  # operators have seen clocks wrong by 40 minutes
PROBE_PERIOD_S = 0.5
BUSY_S = 1.5  # that busy workers name, in each refusal
REPLACEMENT_S = 0.5  # until another worker takes the place of one that left


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakResult:
    """The plan, observations and violations of one seed."""

    seed: int
    plan: schedule.Schedule
    observations: record.Observations
    violations_by_promise: dict[str, list[str]]

    @property
    def has_passed(self) -> bool:
        """Whether every promise was kept."""
        return not any(self.violations_by_promise.values())


class SoakRunner:
    """Runs a deployment under the schedule of faults of one seed."""

    def __init__(
        self,
        *,
        children: childprocesses.ChildProcesses,
        seed: int,
        storm_s: float,
        folder: pathlib.Path,
        controls: int,
        entries: int,
    ) -> None:
        self._seed = seed
        self._has_lost_disk = False
        self._topology = deployments.make_topology(
            controls=controls, entries=entries
        )
        self._plan = schedule.make_schedule(
            seed=seed, storm_s=storm_s, topology=self._topology
        )
        self._observations = record.Observations()
        self._deployment = deployments.Deployment(
            children=children,
            folder=folder,
            topology=self._topology,
            observations=self._observations,
        )
        self._operators = operators.Operators(
            seed=seed,
            observations=self._observations,
            worker_monitor=self._deployment.worker_monitor,
            controls=self._deployment.controls,
        )

    async def run(self) -> SoakResult:
        """Run the seed, and check the observations."""
        try:
            await self._deployment.start()
            await self._operators.submit_table()
            await self._wait_until_serving()
            self._restart_observations()
            async with asyncio.TaskGroup() as task_group:
                background_tasks = [
                    task_group.create_task(coroutine)
                    for coroutine in self._make_background_coroutines()
                ]
                await self._inject_faults()
                await asyncio.sleep(
                    max(0.0, self._plan.ends_s - self._observations.now_s())
                )
                for background_task in background_tasks:
                    background_task.cancel()
            await self._read_back_at_end()
        finally:
            await self._deployment.close()
        return SoakResult(
            seed=self._seed,
            plan=self._plan,
            observations=self._observations,
            violations_by_promise=checks.check_all(
                self._observations, self._plan
            ),
        )

    def _make_background_coroutines(self):
        """Yield the balancer, the reads, the probes and the callers."""
        deployment = self._deployment
        url_by_entry = deployment.url_by_entry(deployment.caller_port)
        balancer = callers.Balancer(
            url_by_entry={
                name: url + platformstandin.READY_PATH
                for name, url in deployment.url_by_entry(
                    deployment.ready_port
                ).items()
            }
        )
        self._balancer = balancer
        yield balancer.run()
        yield self._operators.read_back_periodically()
        yield callers.probe_tables(
            observations=self._observations,
            url_by_entry=url_by_entry,
            balancer=balancer,
            period_s=PROBE_PERIOD_S,
            in_force_s=checks.IN_FORCE_S,
        )
        for number in range(CALLER_COUNT):
            yield callers.Caller(
                name=f'c{number}',
                seed=self._seed * CALLER_COUNT + number,
                observations=self._observations,
                balancer=balancer,
                url_by_entry=url_by_entry,
                events_per_stream=EVENTS_PER_STREAM,
            ).run()

    async def _wait_until_serving(self) -> None:
        """Wait until every entry answers a request of each kind whole.

        Raises TimeoutError after START_TIMEOUT_S.
        """
        deadline = self._observations.now_s() + START_TIMEOUT_S
        for name in self._topology.entries:
            while not await self._can_serve(name):
                if self._observations.now_s() > deadline:
                    raise TimeoutError(f'{name} does not serve')
                await asyncio.sleep(0.2)

    async def _can_serve(self, name: str) -> bool:
        url_by_entry = self._deployment.url_by_entry(
            self._deployment.caller_port
        )
        caller = callers.Caller(
            name=f'start-{name}',
            seed=self._seed,
            observations=self._observations,
            balancer=callers.Balancer(url_by_entry=url_by_entry),
            url_by_entry=url_by_entry,
            events_per_stream=EVENTS_PER_STREAM,
        )
        outcomes = await caller.request_each_kind(name)
        return all(outcome is record.Outcome.WHOLE for outcome in outcomes)

    def _restart_observations(self) -> None:
        """Restart the time and the observations after the start-up.

        The acknowledged tables stay, with times before 0.
        """
        offset_s = self._observations.now_s()
        self._observations.started_at += offset_s
        self._observations.attempts.clear()
        self._observations.runs.clear()
        self._observations.sent.clear()
        self._observations.arrivals.clear()
        self._observations.named_limits.clear()
        self._observations.unwilling.clear()
        self._observations.acknowledged_tables[:] = [
            record.AcknowledgedTable(
                version=ack.version, at_s=ack.at_s - offset_s
            )
            for ack in self._observations.acknowledged_tables
        ]

    async def _inject_faults(self) -> None:
        """Inject every fault at its time, each in a task of its own."""
        async with asyncio.TaskGroup() as task_group:
            for fault in self._plan.faults:
                task_group.create_task(self._inject_fault(fault))

    async def _inject_fault(self, fault: schedule.Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self._observations.now_s()))
        target, other = fault.target, fault.other
        deployment = self._deployment
        match fault.kind:
            case schedule.Kind.LINK_DELAY:
                deployment.links.delay(target, other, LINK_DELAY_S)
                await asyncio.sleep(fault.duration_s)
                deployment.links.delay(target, other, 0.0)
            case schedule.Kind.LINK_RESET:
                deployment.links.reset(target, other)
            case schedule.Kind.LINK_ONE_WAY:
                await self._block_links([(target, other)], fault.duration_s)
            case schedule.Kind.NODE_SILENT:
                await self._block_links(
                    [
                        (target, proxies.ANY_PROCESS),
                        (proxies.ANY_PROCESS, target),
                    ],
                    fault.duration_s,
                )
            case schedule.Kind.NODE_KILL:
                await self._restart_node(
                    target, signal.SIGKILL, fault.duration_s
                )
            case schedule.Kind.NODE_STOP:
                await self._restart_node(
                    target, signal.SIGTERM, fault.duration_s
                )
            case schedule.Kind.NODE_PAUSE:
                deployment.send_signal(target, signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                deployment.send_signal(target, signal.SIGCONT)
            case schedule.Kind.NODE_RELOAD:
                deployment.send_signal(target, signal.SIGHUP)
            case schedule.Kind.PROMPTS_CRASH:
                await callers.send_guilty_prompts(
                    seed=self._seed,
                    observations=self._observations,
                    balancer=self._balancer,
                    url_by_entry=deployment.url_by_entry(
                        deployment.caller_port
                    ),
                    duration_s=fault.duration_s,
                )
            case schedule.Kind.CLOCK_STEP:
                deployment.set_fault(target, clock_step_s=CLOCK_STEP_S)
                await asyncio.sleep(fault.duration_s)
                deployment.set_fault(target)
            case kind if kind in schedule.DISK_KINDS:
                await self._inject_disk_fault(fault)
            case kind if kind in schedule.WORKER_KINDS:
                await self._inject_worker_fault(fault)
            case _:
                await self._run_operator_action(fault)

    async def _block_links(
        self, directions: list[tuple[str, str]], duration_s: float
    ) -> None:
        for direction in directions:
            self._deployment.links.block(*direction)
        await asyncio.sleep(duration_s)
        for direction in directions:
            self._deployment.links.unblock(*direction)

    async def _restart_node(
        self, name: str, signum: signal.Signals, down_s: float
    ) -> None:
        """End a running node, and start it again after `down_s`."""
        if not self._deployment.is_running(name):
            return
        # A process paused by SIGSTOP could not handle SIGTERM.
        self._deployment.send_signal(name, signal.SIGCONT)
        await self._deployment.end_process(name, signum)
        await asyncio.sleep(down_s)
        await self._deployment.start_node_process(name, first=False)

    async def _inject_disk_fault(self, fault: schedule.Fault) -> None:
        deployment = self._deployment
        name = fault.target
        match fault.kind:
            case schedule.Kind.DISK_LOST:
                await self._lose_disk(name, fault.duration_s)
                return
            case schedule.Kind.DISK_SLOW:
                deployment.set_fault(name, disk='slow')
            case schedule.Kind.DISK_FULL:
                deployment.set_fault(name, disk='full')
            case schedule.Kind.DISK_FAILS:
                deployment.set_fault(name, disk='fails')
            case schedule.Kind.DISK_TEARS:
                deployment.set_fault(name, disk='tears')
        await asyncio.sleep(fault.duration_s)
        deployment.set_fault(name)
        if fault.kind is schedule.Kind.DISK_TEARS:
            await self._restart_node(name, signal.SIGKILL, 0.0)

    async def _lose_disk(self, name: str, down_s: float) -> None:
        """Delete a disk, at most one in a run: no more loss is tolerated."""
        if self._has_lost_disk or not self._deployment.is_running(name):
            return
        self._has_lost_disk = True
        self._deployment.send_signal(name, signal.SIGCONT)
        await self._deployment.end_process(name, signal.SIGKILL)
        self._deployment.wipe(name)
        await asyncio.sleep(down_s)
        await self._deployment.start_node_process(name, first=False)

    async def _inject_worker_fault(self, fault: schedule.Fault) -> None:
        worker_monitor = self._deployment.worker_monitor
        if fault.kind is schedule.Kind.ANSWERS_BREAK:
            worker_monitor.broken_share = BROKEN_SHARE
            await asyncio.sleep(fault.duration_s)
            worker_monitor.broken_share = 0.0
            return
        if fault.kind is schedule.Kind.WORKERS_LIMITED:
            for worker in worker_monitor.worker_by_name.values():
                worker.limit_per_s = checks.LIMIT_PER_S
            await asyncio.sleep(fault.duration_s)
            for worker in worker_monitor.worker_by_name.values():
                worker.limit_per_s = None
            return
        worker = worker_monitor.worker_by_name[fault.target]
        if fault.kind is schedule.Kind.WORKER_DIES:
            if worker.is_up:
                await worker.crash_and_restart(fault.duration_s)
            return
        if fault.kind is schedule.Kind.WORKER_LEAVES:
            worker.is_leaving = True
            await asyncio.sleep(fault.duration_s)
            worker.is_leaving = False
            if worker.is_up:
                await worker.crash_and_restart(REPLACEMENT_S)
            return
        if fault.kind is schedule.Kind.WORKER_BUSY:
            worker.refuses, worker.busy_s = True, BUSY_S
            await asyncio.sleep(fault.duration_s)
            worker.refuses, worker.busy_s = False, None
            return
        if fault.kind is schedule.Kind.WORKER_PAUSES:
            worker.is_paused = True
            await asyncio.sleep(fault.duration_s)
            worker.is_paused = False
            return
        worker.fault = fault.kind
        await asyncio.sleep(fault.duration_s)
        worker.fault = None

    async def _run_operator_action(self, fault: schedule.Fault) -> None:
        match fault.kind:
            case schedule.Kind.TABLES_IN_SUCCESSION:
                await self._operators.submit_in_succession()
            case schedule.Kind.TABLES_RACED:
                await self._operators.submit_concurrently()
            case schedule.Kind.DATA_CENTRE_OUT:
                await self._operators.take_out(fault.target)
                await asyncio.sleep(fault.duration_s)
                await self._operators.bring_back(fault.target)

    async def _read_back_at_end(self) -> None:
        """Read the table at the end of the run."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._operators.read_back():
                    await asyncio.sleep(0.2)
                return
        self._observations.exits.append('the table can not be read at the end')
