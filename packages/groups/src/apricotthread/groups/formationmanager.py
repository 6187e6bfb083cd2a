"""The leader's task that carries out what the formation planner decides."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import replica
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fleet import evidence
from apricotthread.groups import formation
from apricotthread.groups import readiness
from apricotthread.groups import steps

PLAN_PERIOD_S = 0.1
ORDER_TIMEOUT_S = 0.6
ORDER_RETRY_S = 0.8  # an accepted order shows within a heartbeat's way
PROPOSE_TIMEOUT_S = 2.0
# Until every sound VM has announced itself, after the first one has: one
# heartbeat of the platform's workers (1.2 s) and its way.
LEARN_S = 1.4
LONGEST_FIRST_LOAD_S = 20.0
# Since the last VM was found, until small groups may go anywhere.
GROWING_S = 0.5
LOAD_BURST = 3  # loads that the weight store takes beyond its rate
# Of the loads that may run at once; the others are for groups that wait.
STAGING_SHARE = 0.75


class OrderResult(typing.NamedTuple):
    """What a VM said to an order; the status is 0 without an answer."""

    status: int
    reason: str

    @property
    def is_accepted(self) -> bool:
        """Whether the VM does, or has done, what it was ordered."""
        return 200 <= self.status < 300


class OrderSender(typing.Protocol):
    """Gives orders to engine VMs."""

    async def send(
        self, step: steps.Step, *, fence: int, timeout_s: float
    ) -> OrderResult:
        """Send one order and return what the VM answered."""


@dataclasses.dataclass(kw_only=True)
class LoadLimit:
    """Lets loads from the weight store begin no faster than it bears."""

    per_s: float
    tokens: float = LOAD_BURST
    refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Whether one more load may begin now."""
        gained = (now - self.refilled_at) * self.per_s
        self.tokens = min(float(LOAD_BURST), self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Load:
    """A load that was ordered, and how long it may take."""

    since: float
    until: float


class FormationManager:
    """Plans groups and gives orders while this node leads."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        endpoints: directory.Directory,
        seen: evidence.EvidenceStore,
        slow_ids: collections.abc.Set[str],
        get_table: collections.abc.Callable[[], routetables.RouteTable | None],
        sender: OrderSender,
        stall_s: float,
        lost_after_s: float,
    ) -> None:
        self._env = env
        self._raft = raft
        self._endpoints = endpoints
        self._seen = seen
        self._slow_ids = slow_ids
        self._heard_first_at: float | None = None
        self._known_vms = 0
        self._grew_at = 0.0
        self._ledger_is_old = False
        self._get_table = get_table
        self._sender = sender
        self._stall_s = stall_s
        self._lost_after_s = lost_after_s
        self._led_since: float | None = None
        self._ordered_at: dict[tuple, float] = {}
        self._load_by_target: dict[tuple[steps.Life, str], _Load] = {}
        self._free_since: dict[str, tuple[frozenset[str], float]] = {}
        self._limit: LoadLimit | None = None
        self._broken_heads: dict[tuple[str, int], float] = {}
        self._warm_models: dict[steps.Life, str] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plan again and again until cancelled."""
        async for now in self._env.timer.subscribe(period_s=PLAN_PERIOD_S):
            if self._heard_first_at is None and self._endpoints.entry_by_id:
                self._heard_first_at = now
            if not self._raft.holds_lease():
                self._led_since = None
                continue
            if not self._raft.has_applied_all_entries():
                continue
            if self._led_since is None:
                self._led_since = now
                self._ledger_is_old = self._ledger.last_fencing > 0
                self._ordered_at.clear()
                self._broken_heads.clear()
            table = self._get_table()
            if table is None:
                continue
            for service in table.services:
                if service.engine is not None:
                    await self._run_plan(service, now)

    @property
    def _ledger(self) -> ledger.Ledger:
        return self._raft.state.content.group_ledger

    def _has_listened(self, now: float, seconds: float) -> bool:
        """Whether VMs have announced themselves for so long."""
        return (
            self._heard_first_at is not None
            and now - self._heard_first_at >= seconds
        )

    def _is_growing(self, vm_by_id: dict[str, steps.Vm], now: float) -> bool:
        """Whether VMs are still being found after a first start."""
        if self._seen.has_callers or self._ledger_is_old:
            return False
        if len(vm_by_id) > self._known_vms:
            self._known_vms = len(vm_by_id)
            self._grew_at = now
        return now - self._grew_at < GROWING_S

    async def _run_plan(
        self, service: routetables.Service, now: float
    ) -> None:
        vm_by_id = {
            endpoint_id: steps.Vm(
                told=entry.announcement,
                lost=entry.lost,
                gone=entry.gone,
                slow=endpoint_id in self._slow_ids,
                heard_s_ago=now - entry.heard_at,
            )
            for endpoint_id, entry in self._endpoints.entry_by_id.items()
            if entry.announcement.service == service.name
        }
        self._note_warm(vm_by_id)
        self._forget_loaded(vm_by_id, now)
        planned = formation.Planner(
            service=service.name,
            profile=service.engine,
            vm_by_id=vm_by_id,
            groups=self._ledger.groups(),
            now=now,
            stall_s=self._stall_s,
            knows_all=self._has_listened(now, LEARN_S),
            knows_members=self._has_listened(now, self._lost_after_s),
            is_growing=self._is_growing(vm_by_id, now),
            has_callers=self._seen.has_callers,
            make_id=lambda: self._env.new_id()[:12],
            broken_heads=self._broken_heads,
            free_since=self._free_since,
            ready=readiness.Readiness(
                profile=service.engine,
                warm_models=self._warm_models,
                stagings=self._find_stagings(vm_by_id),
                now=now,
            ),
            last_epoch=self._ledger.last_fencing,
            evidence_of=self._seen.of,
        ).plan()
        self._measure(service, vm_by_id)
        for step in planned:
            match step:
                case steps.Propose():
                    await self._propose(step)
                case steps.Join(needs_load=True) | steps.Stage():
                    self._order_load(step, service.engine, now)
                case _:
                    self._order(step, now)

    def _measure(
        self,
        service: routetables.Service,
        vm_by_id: dict[str, steps.Vm],
    ) -> None:
        """Set the gauges of groups that are down and of idle VMs."""
        groups = [
            group
            for group in self._ledger.groups()
            if group.service == service.name and group.members
        ]
        down = [group for group in groups if group.state != 'serving']
        serving = sum(
            len(group.members) for group in groups if group not in down
        )
        sound = sum(vm.is_sound for vm in vm_by_id.values())
        metrics = self._env.metrics
        metrics.set_gauge('groups', len(groups))
        metrics.set_gauge('groups_down', len(down))
        metrics.set_gauge('stranded_vms', max(0, sound - serving))

    def _note_warm(self, vm_by_id: dict[str, steps.Vm]) -> None:
        """Remember which model each VM has been ready for last."""
        lives = {vm.life for vm in vm_by_id.values()}
        for life in list(self._warm_models):
            if life not in lives:
                del self._warm_models[life]
        for vm in vm_by_id.values():
            place = vm.told.place
            if place is None or len(vm.told.staged) != 1:
                continue
            if place.state is not directory.MemberState.JOINING:
                self._warm_models[vm.life] = vm.told.staged[0]

    async def _propose(self, step: steps.Propose) -> None:
        logs.log_event(
            'ledger_change',
            change=type(step.command).__name__,
            group=getattr(step.command, 'group_id', ''),
            reason=step.reason,
        )
        try:
            async with self._env.timer.timeout(PROPOSE_TIMEOUT_S):
                result = await self._raft.propose_as_leader(
                    commands.encode_command(step.command)
                )
        except errors.ApricotError as error:
            logs.log_fault('ledger_change_failed', error)
            return
        except TimeoutError:
            logs.log_event('ledger_change_slow')
            return
        if not result.accepted:
            logs.log_event('ledger_change_refused', reason=result.message)

    # Orders

    def _find_stagings(
        self, vm_by_id: dict[str, steps.Vm]
    ) -> dict[steps.Life, readiness.Staging]:
        """Return the loads that are under way on idle VMs."""
        idle = {vm.life for vm in vm_by_id.values() if vm.told.place is None}
        return {
            life: readiness.Staging(model=model, since=load.since)
            for (life, model), load in self._load_by_target.items()
            if life in idle
        }

    def _forget_loaded(
        self, vm_by_id: dict[str, steps.Vm], now: float
    ) -> None:
        """Forget loads that are done, or can no longer be under way."""
        sound = {vm.life: vm for vm in vm_by_id.values() if vm.is_sound}
        for (life, model), load in list(self._load_by_target.items()):
            vm = sound.get(life)
            if vm is None or now > load.until or model in vm.told.staged:
                del self._load_by_target[life, model]

    def _order_load(
        self,
        step: steps.Join | steps.Stage,
        profile: routetables.EngineProfile,
        now: float,
    ) -> None:
        """Give an order that loads weights, if the store bears one more."""
        match step:
            case steps.Join(group=group):
                model = group.model
                most = profile.concurrent_loads
            case steps.Stage(model=model):
                most = int(STAGING_SHARE * profile.concurrent_loads)
        target = (step.vm.life, model)
        if target not in self._load_by_target:
            if not self._may_load(profile, most, now):
                return
            longest_s = LONGEST_FIRST_LOAD_S
            if self._seen.has_callers:
                longest_s = 2 * max(m.load_s for m in profile.models)
            self._load_by_target[target] = _Load(
                since=now, until=now + longest_s
            )
        self._order(step, now)

    def _may_load(
        self, profile: routetables.EngineProfile, most: int, now: float
    ) -> bool:
        """Whether the store bears one more load now."""
        if not self._seen.has_callers:
            # Nobody waits yet, and loads are not limited by their rate.
            most = profile.concurrent_loads * 3 // 2
            return len(self._load_by_target) < most
        if len(self._load_by_target) >= most:
            return False
        if self._limit is None or self._limit.per_s != profile.loads_per_s:
            self._limit = LoadLimit(per_s=profile.loads_per_s, refilled_at=now)
        return self._limit.take(now)

    def _order(self, step: steps.Step, now: float) -> None:
        """Give an order, unless it was given just now."""
        key = _order_key(step)
        if now - self._ordered_at.get(key, float('-inf')) < ORDER_RETRY_S:
            return
        self._ordered_at[key] = now
        task = asyncio.create_task(self._send(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, step: steps.Step) -> None:
        if not self._raft.holds_lease():
            return
        fence = self._raft.store.term
        result = await self._sender.send(
            step, fence=fence, timeout_s=ORDER_TIMEOUT_S
        )
        self._env.metrics.count('group_orders')
        if isinstance(step, steps.Stage) and not result.is_accepted:
            self._load_by_target.pop((step.vm.life, step.model), None)
        logs.log_event(
            'group_order',
            order=type(step).__name__,
            endpoint=step.vm.endpoint_id,
            fence=fence,
            key=[str(part) for part in _order_key(step)],
            status=result.status,
            reason=result.reason,
        )


def _order_key(step: steps.Step) -> tuple:
    """Return what tells an order from all others."""
    vm = (type(step).__name__, step.vm.endpoint_id, step.vm.told.born_ms)
    match step:
        case steps.Join(group=group) | steps.Open(group=group):
            return (*vm, group.group_id, group.fencing)
        case steps.Close(group_id=group_id, epoch=epoch):
            return (*vm, group_id, epoch)
        case steps.Leave(group_id=group_id, epoch=epoch):
            return (*vm, group_id, epoch)
        case steps.Stage(model=model) | steps.Warm(model=model):
            return (*vm, model)
    raise TypeError(step)
