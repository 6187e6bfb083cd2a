"""Runs the formation planner on the leader and carries out its steps."""

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
from apricotthread.groups import census
from apricotthread.groups import formation
from apricotthread.groups import readiness
from apricotthread.groups import steps

PLAN_PERIOD_S = 0.1
CENSUS_PERIOD_S = 1.0  # between log lines on the states of VMs
ORDER_TIMEOUT_S = 0.6
# An order is repeated after this time. An accepted one shows sooner in the
# VM's announcements: within the network delay of a heartbeat.
ORDER_RETRY_S = 0.8
PROPOSE_TIMEOUT_S = 2.0
# After the first VM has announced itself, all usable ones do so within this
# time: one heartbeat period of the platform's workers (1.2 s) plus the
# network delay.
DISCOVERY_S = 1.4
MAX_FIRST_LOAD_S = 20.0  # a load before the first callers came
# Once no new VM was found for this long, small groups may be assembled in
# any domain.
GROWTH_SETTLE_S = 0.5
# Share of the concurrent loads that less urgent ones may use. The rest is
# kept for loads that complete a group.
WAITING_LOADS_SHARE = 0.5
LOAD_BURST = 3  # loads that the weight store allows beyond its rate


class OrderResult(typing.NamedTuple):
    """A VM's answer to an order.

    The status is an HTTP status, or 0 if there was no answer.
    """

    status: int
    reason: str

    @property
    def is_accepted(self) -> bool:
        """Whether the VM is carrying the order out, or has done so."""
        return 200 <= self.status < 300


class OrderSender(typing.Protocol):
    """Sends orders to engine VMs."""

    async def send(
        self,
        step: steps.Step,
        *,
        fence: int,
        timeout_s: float,
        is_allowed: collections.abc.Callable[[], bool],
    ) -> OrderResult:
        """Send one order and return the answer of the VM.

        `is_allowed` is asked just before the order is sent.
        """


@dataclasses.dataclass(kw_only=True)
class LoadRateLimiter:
    """Token bucket that limits how fast loads from the weight store start."""

    per_s: float
    tokens: float = LOAD_BURST
    refilled_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take a token; return whether one more load may start now."""
        refill = (now - self.refilled_at) * self.per_s
        self.tokens = min(float(LOAD_BURST), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Load:
    """A load that was ordered; it counts as failed after `expires_at`."""

    started_at: float
    expires_at: float


@dataclasses.dataclass(kw_only=True)
class _ServiceState:
    """What is remembered of one service from plan to plan."""

    load_by_target: dict[tuple[steps.IncarnationId, str], _Load] = (
        dataclasses.field(default_factory=dict)
    )
    load_limiter: LoadRateLimiter | None = None
    # The idle VMs of each domain, and since when they are the same.
    free_since_by_domain: dict[str, tuple[frozenset[str], float]] = (
        dataclasses.field(default_factory=dict)
    )
    warm_model_by_incarnation: dict[steps.IncarnationId, str] = (
        dataclasses.field(default_factory=dict)
    )
    max_vm_count: int = 0
    last_growth_at: float = 0.0
    census_logged_at: float = float('-inf')
    groups: int = 0
    groups_down: int = 0
    stranded_vms: int = 0


class FormationManager:
    """Plans groups and sends orders while this node is the leader."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        endpoints: directory.Directory,
        observations: evidence.EvidenceStore,
        slow_ids: collections.abc.Set[str],
        get_table: collections.abc.Callable[[], routetables.RouteTable | None],
        sender: OrderSender,
        stall_s: float,
        lost_after_s: float,
    ) -> None:
        self._env = env
        self._raft = raft
        self._endpoints = endpoints
        self._evidence_store = observations
        self._slow_ids = slow_ids
        self._first_heard_at: float | None = None
        self._has_group_history = False
        self._get_table = get_table
        self._sender = sender
        self._stall_s = stall_s
        self._lost_after_s = lost_after_s
        self._leading_since: float | None = None
        self._ordered_at_by_key: dict[tuple, float] = {}
        self._state_by_service: dict[str, _ServiceState] = {}
        self._isolated_since_by_group: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plan periodically until cancelled."""
        async for now in self._env.timer.subscribe(period_s=PLAN_PERIOD_S):
            if self._first_heard_at is None and self._endpoints.record_by_id:
                self._first_heard_at = now
            if not self._raft.holds_lease():
                self._leading_since = None
                continue
            if not self._raft.has_applied_all_entries():
                continue
            if self._leading_since is None:
                self._leading_since = now
                self._has_group_history = self._ledger.last_fencing > 0
                self._ordered_at_by_key.clear()
                self._isolated_since_by_group.clear()
            table = self._get_table()
            if table is None:
                continue
            services = [s for s in table.services if s.engine is not None]
            self._state_by_service = {
                service.name: self._state_by_service.get(service.name)
                or _ServiceState()
                for service in services
            }
            for service in services:
                await self._run_plan(service, now)

    @property
    def _ledger(self) -> ledger.Ledger:
        return self._raft.state.content.group_ledger

    def _has_listened(self, now: float, seconds: float) -> bool:
        """Whether the first announcement came at least so long ago."""
        return (
            self._first_heard_at is not None
            and now - self._first_heard_at >= seconds
        )

    @property
    def _may_have_callers(self) -> bool:
        """Whether callers have come, as far as a new leader can know."""
        return self._evidence_store.has_callers or self._has_group_history

    def _is_fleet_growing(
        self, state: _ServiceState, vm_by_id: dict[str, steps.Vm], now: float
    ) -> bool:
        """Whether VMs are still being found after the first start.

        Not so once callers have come, or if groups existed before this
        node became leader.
        """
        if self._may_have_callers:
            return False
        if len(vm_by_id) > state.max_vm_count:
            state.max_vm_count = len(vm_by_id)
            state.last_growth_at = now
        return now - state.last_growth_at < GROWTH_SETTLE_S

    async def _run_plan(
        self, service: routetables.Service, now: float
    ) -> None:
        state = self._state_by_service[service.name]
        planned = []
        with logs.contain_bug(
            'plan_broke', self._env.metrics, service=service.name
        ):
            planned = self._make_plan(service, state, now)
        for step in planned:
            match step:
                case steps.Propose():
                    await self._propose(step)
                case steps.Join(needs_load=True) | steps.Stage():
                    self._order_load(step, state, service.engine, now)
                case _:
                    self._order(step, now)

    def _make_plan(
        self, service: routetables.Service, state: _ServiceState, now: float
    ) -> list[steps.Step]:
        vm_by_id = {
            endpoint_id: steps.Vm(
                last_announcement=record.announcement,
                lost=record.lost,
                gone=record.gone,
                slow=endpoint_id in self._slow_ids,
                heard_s_ago=now - record.heard_at,
            )
            for endpoint_id, record in self._endpoints.record_by_id.items()
            if record.announcement.service == service.name
        }
        _track_warm_models(state, vm_by_id)
        _drop_finished_loads(state, vm_by_id, now)
        planned = formation.Planner(
            service=service.name,
            profile=service.engine,
            vm_by_id=vm_by_id,
            groups=self._ledger.groups(),
            now=now,
            stall_s=self._stall_s,
            knows_most_vms=self._has_listened(now, DISCOVERY_S),
            unheard_means_lost=self._has_listened(now, self._lost_after_s),
            is_fleet_growing=self._is_fleet_growing(state, vm_by_id, now),
            taken_out=frozenset(self._raft.state.content.taken_out),
            has_callers=self._may_have_callers,
            make_id=lambda: self._env.new_id()[:12],
            isolated_since_by_group=self._isolated_since_by_group,
            free_since_by_domain=state.free_since_by_domain,
            ready=readiness.Readiness(
                profile=service.engine,
                warm_model_by_incarnation=state.warm_model_by_incarnation,
                staging_by_incarnation=_find_stagings(state, vm_by_id),
                now=now,
            ),
            last_epoch=self._ledger.last_fencing,
            evidence_of=self._evidence_store.get_evidence,
        ).plan()
        self._update_metrics(service, state, vm_by_id)
        return planned

    def _update_metrics(
        self,
        service: routetables.Service,
        state: _ServiceState,
        vm_by_id: dict[str, steps.Vm],
    ) -> None:
        """Set the gauges of groups and idle VMs; log the VMs' states."""
        groups = [
            group
            for group in self._ledger.groups()
            if group.service == service.name and group.members
        ]
        loading = frozenset(key for key, _ in state.load_by_target)
        count_by_state = census.count_vms(
            vm_by_id=vm_by_id,
            groups=self._ledger.groups(),
            loading=loading,
        )
        state.groups = len(groups)
        state.groups_down = sum(group.state != 'serving' for group in groups)
        state.stranded_vms = (
            count_by_state.total() - count_by_state[census.VmState.SERVING]
        )
        for name in ('groups', 'groups_down', 'stranded_vms'):
            self._env.metrics.set_gauge(
                name,
                sum(getattr(s, name) for s in self._state_by_service.values()),
            )
        now = self._env.timer.now()
        if now - state.census_logged_at >= CENSUS_PERIOD_S:
            state.census_logged_at = now
            logs.log_event(
                'vm_states',
                service=service.name,
                **{
                    vm_state.value: count_by_state[vm_state]
                    for vm_state in census.VmState
                },
                spares=census.list_spares(
                    vm_by_id=vm_by_id,
                    groups=self._ledger.groups(),
                    loading=loading,
                ),
            )

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

    # Loads and other orders

    def _order_load(
        self,
        step: steps.Join | steps.Stage,
        state: _ServiceState,
        profile: routetables.EngineProfile,
        now: float,
    ) -> None:
        """Send an order that loads weights, if the store has capacity."""
        max_loads = profile.concurrent_loads
        match step:
            case steps.Join(group=group):
                model = group.model
            case steps.Stage(model=model, can_wait=can_wait):
                if can_wait:
                    max_loads = int(WAITING_LOADS_SHARE * max_loads)
        target = (step.vm.incarnation_id, model)
        if target not in state.load_by_target:
            if not self._may_start_load(state, profile, max_loads, now):
                return
            max_load_s = MAX_FIRST_LOAD_S
            if self._may_have_callers:
                max_load_s = 2 * max(m.load_s for m in profile.models)
            state.load_by_target[target] = _Load(
                started_at=now, expires_at=now + max_load_s
            )
        self._order(step, now)

    def _may_start_load(
        self,
        state: _ServiceState,
        profile: routetables.EngineProfile,
        max_loads: int,
        now: float,
    ) -> bool:
        """Whether the weight store has capacity for one more load now."""
        if not self._may_have_callers:
            # No caller is waiting yet, so the rate of loads is not limited.
            max_loads = profile.concurrent_loads * 3 // 2
            return len(state.load_by_target) < max_loads
        if len(state.load_by_target) >= max_loads:
            return False
        if (
            state.load_limiter is None
            or state.load_limiter.per_s != profile.loads_per_s
        ):
            state.load_limiter = LoadRateLimiter(
                per_s=profile.loads_per_s, refilled_at=now
            )
        return state.load_limiter.try_acquire(now)

    def _order(self, step: steps.Step, now: float) -> None:
        """Send an order, unless the same one was sent a moment ago."""
        key = _order_key(step)
        if (
            now - self._ordered_at_by_key.get(key, float('-inf'))
            < ORDER_RETRY_S
        ):
            return
        self._ordered_at_by_key[key] = now
        task = asyncio.create_task(self._send(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, step: steps.Step) -> None:
        if not self._raft.holds_lease():
            return
        fence = self._raft.store.term
        result = await self._sender.send(
            step,
            fence=fence,
            timeout_s=ORDER_TIMEOUT_S,
            # The lease may end, or pass to another node, while a connection
            # is being opened.
            is_allowed=lambda: (
                self._raft.holds_lease() and self._raft.store.term == fence
            ),
        )
        self._env.metrics.count('group_orders')
        if isinstance(step, steps.Stage) and not result.is_accepted:
            target = (step.vm.incarnation_id, step.model)
            for state in self._state_by_service.values():
                state.load_by_target.pop(target, None)
        logs.log_event(
            'group_order',
            order=type(step).__name__,
            endpoint=step.vm.endpoint_id,
            fence=fence,
            key=[str(part) for part in _order_key(step)],
            status=result.status,
            reason=result.reason,
        )


def _track_warm_models(
    state: _ServiceState, vm_by_id: dict[str, steps.Vm]
) -> None:
    """Record the model that each VM was last ready to run."""
    incarnation_ids = {vm.incarnation_id for vm in vm_by_id.values()}
    for incarnation_id in list(state.warm_model_by_incarnation):
        if incarnation_id not in incarnation_ids:
            del state.warm_model_by_incarnation[incarnation_id]
    for vm in vm_by_id.values():
        place = vm.last_announcement.place
        if place is None or len(vm.last_announcement.staged) != 1:
            continue
        if place.state is not directory.MemberState.JOINING:
            state.warm_model_by_incarnation[vm.incarnation_id] = (
                vm.last_announcement.staged[0]
            )


def _find_stagings(
    state: _ServiceState, vm_by_id: dict[str, steps.Vm]
) -> dict[steps.IncarnationId, readiness.Staging]:
    """Return the loads that are in progress on idle VMs."""
    idle = {
        vm.incarnation_id
        for vm in vm_by_id.values()
        if vm.last_announcement.place is None
    }
    return {
        incarnation_id: readiness.Staging(
            model=model, started_at=load.started_at
        )
        for (incarnation_id, model), load in state.load_by_target.items()
        if incarnation_id in idle
    }


def _drop_finished_loads(
    state: _ServiceState, vm_by_id: dict[str, steps.Vm], now: float
) -> None:
    """Forget loads that are done or can no longer be in progress."""
    usable = {
        vm.incarnation_id: vm for vm in vm_by_id.values() if vm.is_usable
    }
    for (incarnation_id, model), load in list(state.load_by_target.items()):
        vm = usable.get(incarnation_id)
        if (
            vm is None
            or now > load.expires_at
            or model in vm.last_announcement.staged
        ):
            del state.load_by_target[incarnation_id, model]


def _order_key(step: steps.Step) -> tuple:
    """Return a key that identifies an order, to detect repeats."""
    vm = (
        type(step).__name__,
        step.vm.endpoint_id,
        step.vm.last_announcement.born_ms,
    )
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
