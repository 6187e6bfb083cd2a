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


class OrderResult(typing.NamedTuple):
    """What a VM said to an order; the status is 0 without an answer."""

    status: int
    reason: str


class OrderSender(typing.Protocol):
    """Gives orders to engine VMs."""

    async def send(
        self, step: formation.Step, *, fence: int, timeout_s: float
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


class FormationManager:
    """Plans groups and gives orders while this node leads."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        agreed: replica.Replica,
        endpoints: directory.Directory,
        seen: evidence.EvidenceStore,
        slow_ids: collections.abc.Set[str],
        get_table: collections.abc.Callable[[], routetables.RouteTable | None],
        sender: OrderSender,
        stall_s: float,
    ) -> None:
        self._env = env
        self._agreed = agreed
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
        self._led_since: float | None = None
        self._ordered_at: dict[tuple, float] = {}
        self._loading: dict[tuple[str, int], float] = {}
        self._limit: LoadLimit | None = None
        self._broken_heads: dict[tuple[str, int], float] = {}
        self._warm_models: dict[tuple[str, int], str] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plan again and again until cancelled."""
        async for now in self._env.timer.subscribe(period_s=PLAN_PERIOD_S):
            if self._heard_first_at is None and self._endpoints.entry_by_id:
                self._heard_first_at = now
            if not self._agreed.holds_lease():
                self._led_since = None
                continue
            if not self._agreed.has_settled():
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
        return self._agreed.state.content.group_ledger

    def _knows_all(self, now: float) -> bool:
        """Whether every VM that is sound has been heard of."""
        return (
            self._heard_first_at is not None
            and now - self._heard_first_at >= LEARN_S
        )

    def _is_growing(
        self, vm_by_id: dict[str, formation.Vm], now: float
    ) -> bool:
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
            endpoint_id: formation.Vm(
                told=entry.announcement,
                lost=entry.lost,
                gone=entry.gone,
                slow=endpoint_id in self._slow_ids,
            )
            for endpoint_id, entry in self._endpoints.entry_by_id.items()
            if entry.announcement.service == service.name
        }
        self._note_warm(vm_by_id)
        steps = formation.Planner(
            service=service.name,
            profile=service.engine,
            vm_by_id=vm_by_id,
            groups=self._ledger.groups(),
            now=now,
            stall_s=self._stall_s,
            knows_all=self._knows_all(now),
            is_growing=self._is_growing(vm_by_id, now),
            make_id=lambda: self._env.new_id()[:12],
            broken_heads=self._broken_heads,
            warm_models=self._warm_models,
            last_epoch=self._ledger.last_fencing,
            evidence_of=self._seen.of,
        ).plan()
        self._measure(service, vm_by_id)
        self._forget_loaded(vm_by_id, now)
        for step in steps:
            match step:
                case formation.Propose():
                    await self._propose(step)
                case formation.Join(needs_load=True) | formation.Stage():
                    self._order_load(step, service.engine, now)
                case _:
                    self._order(step, now)

    def _measure(
        self,
        service: routetables.Service,
        vm_by_id: dict[str, formation.Vm],
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

    def _note_warm(self, vm_by_id: dict[str, formation.Vm]) -> None:
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

    async def _propose(self, step: formation.Propose) -> None:
        logs.log_event(
            'ledger_change',
            change=type(step.command).__name__,
            group=getattr(step.command, 'group_id', ''),
            reason=step.reason,
        )
        try:
            async with self._env.timer.timeout(PROPOSE_TIMEOUT_S):
                result = await self._agreed.propose_as_leader(
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

    def _forget_loaded(
        self, vm_by_id: dict[str, formation.Vm], now: float
    ) -> None:
        """Forget loads that are done, or can no longer be under way."""
        for key, until in list(self._loading.items()):
            endpoint_id, born_ms = key
            vm = vm_by_id.get(endpoint_id)
            place = vm.told.place if vm is not None else None
            if (
                vm is None
                or not vm.is_sound
                or vm.told.born_ms != born_ms
                or now > until
                or (place is not None and place.state.value != 'joining')
                or (place is None and vm.told.staged)
            ):
                del self._loading[key]

    def _order_load(
        self,
        step: formation.Join | formation.Stage,
        profile: routetables.EngineProfile,
        now: float,
    ) -> None:
        """Give an order that loads weights, if the store bears one more."""
        key = (step.vm.endpoint_id, step.vm.told.born_ms)
        if key not in self._loading and not self._seen.has_callers:
            # Nobody waits yet, and loads are not limited by their rate.
            if len(self._loading) >= profile.concurrent_loads * 3 // 2:
                return
            self._loading[key] = now + LONGEST_FIRST_LOAD_S
        elif key not in self._loading:
            if len(self._loading) >= profile.concurrent_loads:
                return
            if self._limit is None or self._limit.per_s != profile.loads_per_s:
                self._limit = LoadLimit(
                    per_s=profile.loads_per_s, refilled_at=now
                )
            if not self._limit.take(now):
                return
            longest_s = max(model.load_s for model in profile.models)
            self._loading[key] = now + 2 * longest_s
        self._order(step, now)

    def _order(self, step: formation.Step, now: float) -> None:
        """Give an order, unless it was given just now."""
        key = _order_key(step)
        if now - self._ordered_at.get(key, float('-inf')) < ORDER_RETRY_S:
            return
        self._ordered_at[key] = now
        task = asyncio.create_task(self._send(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, step: formation.Step) -> None:
        if not self._agreed.holds_lease():
            return
        fence = self._agreed.store.term
        result = await self._sender.send(
            step, fence=fence, timeout_s=ORDER_TIMEOUT_S
        )
        self._env.metrics.count('group_orders')
        logs.log_event(
            'group_order',
            order=type(step).__name__,
            endpoint=step.vm.endpoint_id,
            fence=fence,
            key=[str(part) for part in _order_key(step)],
            status=result.status,
            reason=result.reason,
        )


def _order_key(step: formation.Step) -> tuple:
    """Return what tells an order from all others."""
    vm = (type(step).__name__, step.vm.endpoint_id, step.vm.told.born_ms)
    match step:
        case formation.Join(group=group) | formation.Open(group=group):
            return (*vm, group.group_id, group.fencing)
        case formation.Close(group_id=group_id, epoch=epoch):
            return (*vm, group_id, epoch)
        case formation.Leave(group_id=group_id, epoch=epoch):
            return (*vm, group_id, epoch)
        case formation.Stage(model=model) | formation.Warm(model=model):
            return (*vm, model)
    raise TypeError(step)
