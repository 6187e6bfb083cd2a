"""Plays one seed: nodes, callers, operators, and the faults."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal

from soak import callers
from soak import checks
from soak import deployment as deployments
from soak import operators
from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

CALLERS = 8
EVENTS = 12  # of each stream
START_TIMEOUT_S = 40.0
DELAY_S = 0.15
CLOCK_STEP_S = 2400.0  # operators have seen clocks 40 minutes off
PROBE_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakResult:
    """What came of one seed."""

    seed: int
    plan: schedule.Schedule
    observations: record.Observations
    violations_by_promise: dict[str, list[str]]

    @property
    def has_passed(self) -> bool:
        """Whether every promise was kept."""
        return not any(self.violations_by_promise.values())


class SoakRunner:
    """One run of a deployment under a schedule of faults."""

    def __init__(
        self,
        *,
        seed: int,
        storm_s: float,
        folder: pathlib.Path,
        controls: int,
        entries: int,
    ) -> None:
        self._seed = seed
        self._disk_is_lost = False
        self._topology = deployments.make_topology(
            controls=controls, entries=entries
        )
        self._plan = schedule.make_schedule(
            seed=seed, storm_s=storm_s, topology=self._topology
        )
        self._observations = record.Observations()
        self._site = deployments.Deployment(
            folder=folder,
            topology=self._topology,
            observations=self._observations,
        )
        self._operators = operators.Operators(
            seed=seed,
            observations=self._observations,
            worker_monitor=self._site.worker_monitor,
            controls=self._site.controls,
        )

    async def run(self) -> SoakResult:
        """Play, and check what was seen."""
        try:
            await self._site.start()
            await self._operators.submit_table()
            await self._wait_until_served()
            self._forget_start()
            async with asyncio.TaskGroup() as tasks:
                helpers = [tasks.create_task(part) for part in self._helpers()]
                await self._play_faults()
                await asyncio.sleep(
                    max(0.0, self._plan.ends_s - self._observations.now_s())
                )
                for helper in helpers:
                    helper.cancel()
            await self._read_back_last()
        finally:
            await self._site.close()
        return SoakResult(
            seed=self._seed,
            plan=self._plan,
            observations=self._observations,
            violations_by_promise=checks.check_all(
                self._observations, self._plan
            ),
        )

    def _helpers(self):
        """Return what runs beside the faults."""
        site = self._site
        url_by_entry = site.url_by_entry(site.caller_port)
        balancer = callers.Balancer(
            url_by_entry={
                name: url + platformstandin.READY_PATH
                for name, url in site.url_by_entry(site.ready_port).items()
            }
        )
        yield balancer.run()
        yield self._operators.read_back_periodically()
        yield callers.probe_tables(
            observations=self._observations,
            url_by_entry=url_by_entry,
            balancer=balancer,
            period_s=PROBE_PERIOD_S,
            in_force_s=checks.IN_FORCE_S,
        )
        for number in range(CALLERS):
            yield callers.Caller(
                name=f'c{number}',
                seed=self._seed * CALLERS + number,
                observations=self._observations,
                balancer=balancer,
                url_by_entry=url_by_entry,
                events_per_stream=EVENTS,
            ).run()

    async def _wait_until_served(self) -> None:
        """Wait until every entry serves a stream and a call."""
        deadline = self._observations.now_s() + START_TIMEOUT_S
        for name in self._topology.entries:
            while not await self._serves(name):
                if self._observations.now_s() > deadline:
                    raise TimeoutError(f'{name} does not serve')
                await asyncio.sleep(0.2)

    async def _serves(self, name: str) -> bool:
        url_by_entry = self._site.url_by_entry(self._site.caller_port)
        caller = callers.Caller(
            name=f'start-{name}',
            seed=self._seed,
            observations=self._observations,
            balancer=callers.Balancer(url_by_entry=url_by_entry),
            url_by_entry=url_by_entry,
            events_per_stream=EVENTS,
        )
        outcomes = await caller.request_each_kind(name)
        return all(outcome is record.Outcome.WHOLE for outcome in outcomes)

    def _forget_start(self) -> None:
        """Count time, and what is judged, from here."""
        offset_s = self._observations.now_s()
        self._observations.started_at += offset_s
        self._observations.attempts.clear()
        self._observations.runs.clear()
        self._observations.acknowledged_tables[:] = [
            record.AcknowledgedTable(
                version=ack.version, at_s=ack.at_s - offset_s
            )
            for ack in self._observations.acknowledged_tables
        ]

    async def _play_faults(self) -> None:
        """Bring every fault at its time, each in a task of its own."""
        async with asyncio.TaskGroup() as tasks:
            for fault in self._plan.faults:
                tasks.create_task(self._play_fault(fault))

    async def _play_fault(self, fault: schedule.Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self._observations.now_s()))
        target, other = fault.target, fault.other
        site = self._site
        match fault.kind:
            case schedule.Kind.LINK_DELAY:
                site.links.delay(target, other, DELAY_S)
                await asyncio.sleep(fault.duration_s)
                site.links.delay(target, other, 0.0)
            case schedule.Kind.LINK_RESET:
                site.links.reset(target, other)
            case schedule.Kind.LINK_ONE_WAY:
                await self._hold([(target, other)], fault.duration_s)
            case schedule.Kind.NODE_SILENT:
                await self._hold(
                    [
                        (target, proxies.ANY_PROCESS),
                        (proxies.ANY_PROCESS, target),
                    ],
                    fault.duration_s,
                )
            case schedule.Kind.NODE_KILL:
                await self._restart(target, signal.SIGKILL, fault.duration_s)
            case schedule.Kind.NODE_STOP:
                await self._restart(target, signal.SIGTERM, fault.duration_s)
            case schedule.Kind.NODE_PAUSE:
                site.send_signal(target, signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                site.send_signal(target, signal.SIGCONT)
            case schedule.Kind.NODE_RELOAD:
                site.send_signal(target, signal.SIGHUP)
            case schedule.Kind.CLOCK_STEP:
                site.set_fault(target, clock_step_s=CLOCK_STEP_S)
                await asyncio.sleep(fault.duration_s)
                site.set_fault(target)
            case kind if kind in schedule.DISK_KINDS:
                await self._disturb_disk(fault)
            case kind if kind in schedule.WORKER_KINDS:
                await self._disturb_worker(fault)
            case _:
                await self._operate(fault)

    async def _hold(
        self, directions: list[tuple[str, str]], duration_s: float
    ) -> None:
        for direction in directions:
            self._site.links.block(*direction)
        await asyncio.sleep(duration_s)
        for direction in directions:
            self._site.links.unblock(*direction)

    async def _restart(
        self, name: str, signum: signal.Signals, down_s: float
    ) -> None:
        """End a node that runs, and start it again after a while."""
        if not self._site.is_running(name):
            return
        # A process that stands still could not end by itself.
        self._site.send_signal(name, signal.SIGCONT)
        await self._site.end_process(name, signum)
        await asyncio.sleep(down_s)
        await self._site.start_node_process(name, first=False)

    async def _disturb_disk(self, fault: schedule.Fault) -> None:
        site = self._site
        name = fault.target
        match fault.kind:
            case schedule.Kind.DISK_LOST:
                await self._lose_disk(name, fault.duration_s)
                return
            case schedule.Kind.DISK_SLOW:
                site.set_fault(name, disk='slow')
            case schedule.Kind.DISK_FULL:
                site.set_fault(name, disk='full')
            case schedule.Kind.DISK_FAILS:
                site.set_fault(name, disk='fails')
            case schedule.Kind.DISK_TEARS:
                site.set_fault(name, disk='tears')
        await asyncio.sleep(fault.duration_s)
        site.set_fault(name)
        if fault.kind is schedule.Kind.DISK_TEARS:
            await self._restart(name, signal.SIGKILL, 0.0)

    async def _lose_disk(self, name: str, down_s: float) -> None:
        """Lose one disk at most, as the deployment bears no more."""
        if self._disk_is_lost or not self._site.is_running(name):
            return
        self._disk_is_lost = True
        self._site.send_signal(name, signal.SIGCONT)
        await self._site.end_process(name, signal.SIGKILL)
        self._site.wipe(name)
        await asyncio.sleep(down_s)
        await self._site.start_node_process(name, first=False)

    async def _disturb_worker(self, fault: schedule.Fault) -> None:
        worker = self._site.worker_monitor.worker_by_name[fault.target]
        if fault.kind is schedule.Kind.WORKER_DIES:
            if worker.is_up:
                await worker.crash_and_restart(fault.duration_s)
            return
        worker.fault = fault.kind
        await asyncio.sleep(fault.duration_s)
        worker.fault = None

    async def _operate(self, fault: schedule.Fault) -> None:
        match fault.kind:
            case schedule.Kind.TABLES_IN_SUCCESSION:
                await self._operators.submit_in_succession()
            case schedule.Kind.TABLES_RACED:
                await self._operators.submit_concurrently()
            case schedule.Kind.DATA_CENTRE_OUT:
                await self._operators.take_out(fault.target)
                await asyncio.sleep(fault.duration_s)
                await self._operators.bring_back(fault.target)

    async def _read_back_last(self) -> None:
        """Read what is left of the tables when all is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._operators.read_back():
                    await asyncio.sleep(0.2)
                return
        self._observations.exits.append('the table can not be read any more')
