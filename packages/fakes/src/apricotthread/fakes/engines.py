"""Fake engine VMs that stream tokens, join groups and fail on demand."""

import asyncio
import collections
import dataclasses

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import environment
from apricotthread.endpoints import announcements
from apricotthread.fakes import announcers
from apricotthread.fakes import answers

JSON = 'application/json'
PROMPT_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """How a fake engine VM behaves.

    `bear_requests` is the limit of concurrent requests during the cold
    start, which lasts until `cold_requests` have been served. Announcements
    report the number of running requests `report_lag_s` late.
    """

    max_requests: int = 16
    bear_requests: int = 2
    memory_bytes: int = 0
    bytes_per_token: int = 1
    token_s: float = 0.005
    tokens_per_piece: int = 1
    load_s: float = 0.2
    accelerators: int = 4
    checks_fencing: bool = True
    checks_group: bool = True
    cold_requests: int = 8
    report_lag_s: float = 0.0


class EngineOverloaded(Exception):
    """More requests or memory than the engine can hold; it restarts."""


class EngineVm:
    """A fake VM of a model engine."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: 'EngineFleet',
        endpoint_id: str,
        data_centre: str,
        fabric_domain: str,
        url: str,
        traits: EngineTraits,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self.endpoint_id = endpoint_id
        self.data_centre = data_centre
        self.fabric_domain = fabric_domain
        self.url = url
        self.traits = traits
        self.incarnation = 1
        self.sequence = 0
        self.is_dead = False
        self.is_silent = False
        self.is_paused = False
        self.leaving = False
        self.slow_factor = 1.0
        self.overload_crashes = 0
        self.peak_running = 0
        self.served = 0
        self.partial_starts = 0
        self.last_start_at = float('-inf')
        self.generated_tokens = 0
        self._running_samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._reset()

    def _reset(self) -> None:
        self.member_state = 'idle'
        self.group_id = ''
        self.fencing = 0
        self.rank = 0
        self.members: list[str] = []
        self.running = 0
        self.used_bytes = 0
        self.cold_requests_left = self.traits.cold_requests

    @property
    def cold(self) -> bool:
        """Return whether the engine is still in its cold start."""
        return self.cold_requests_left > 0

    def kill(self) -> None:
        """Stop answering and announcing."""
        self.is_dead = True

    def restart(self) -> None:
        """Start again idle and cold, with a new incarnation."""
        self._reset()
        self.incarnation += 1
        self.sequence = 0
        self.is_dead = False
        self.leaving = False

    def announce(self) -> announcements.Announcement | None:
        """Return the next announcement, None while dead or paused."""
        if self.is_dead or self.is_paused:
            return None
        self.sequence += 1
        return announcements.Announcement(
            endpoint_id=self.endpoint_id,
            incarnation=self.incarnation,
            sequence=self.sequence,
            data_centre=self.data_centre,
            url=self.url,
            kind='engine',
            fabric_domain=self.fabric_domain,
            accelerators=self.traits.accelerators,
            checks_fencing=self.traits.checks_fencing,
            max_requests=self.traits.max_requests,
            bear_requests=self.traits.bear_requests,
            memory_bytes=self.traits.memory_bytes,
            bytes_per_token=self.traits.bytes_per_token,
            used_bytes=self.used_bytes,
            running=self._get_lagged_running(),
            cold=self.cold,
            leaving=self.leaving,
            member_state=self.member_state,
            group_id=self.group_id,
            fencing=self.fencing,
        )

    def _get_lagged_running(self) -> int:
        """Return how many requests ran `report_lag_s` seconds ago."""
        now = self._env.timer.now()
        self._running_samples.append((now, self.running))
        sampled_at = now - self.traits.report_lag_s
        while (
            len(self._running_samples) > 1
            and self._running_samples[1][0] <= sampled_at
        ):
            self._running_samples.popleft()
        return self._running_samples[0][1]

    def order(self, order: announcements.Order) -> announcements.OrderAnswer:
        """Carry out an order.

        A VM that checks fencing numbers refuses an order with an older one.
        """
        if self.traits.checks_fencing and order.fencing < self.fencing:
            return announcements.OrderAnswer(
                confirmed=False,
                fencing=self.fencing,
                reason='older fencing number',
            )
        is_repeated = order.fencing == self.fencing and (
            order.action == 'join' and self.group_id == order.group_id
        )
        if not is_repeated:
            self._carry_out(order)
        return announcements.OrderAnswer(confirmed=True, fencing=self.fencing)

    def _carry_out(self, order: announcements.Order) -> None:
        self.fencing = order.fencing
        if order.action == 'release':
            self.member_state = 'idle'
            self.group_id = ''
            return
        self.member_state = 'loading'
        self.group_id = order.group_id
        self.rank = order.rank
        self.members = order.members
        task = asyncio.create_task(self._load(order.fencing))
        self._fleet.keep_task(task)

    async def _load(self, fencing: int) -> None:
        incarnation = self.incarnation
        await self._env.timer.sleep(self.traits.load_s)
        if self.fencing == fencing and self.incarnation == incarnation:
            if self.member_state == 'loading':
                self.member_state = 'ready'

    def is_group_complete(self) -> bool:
        """Return whether all members are ready with one fencing number."""
        for url in self.members:
            member = self._fleet.vm_by_url.get(url)
            if (
                member is None
                or member.is_dead
                or member.member_state != 'ready'
            ):
                return False
            if (member.group_id, member.fencing) != (
                self.group_id,
                self.fencing,
            ):
                return False
        return bool(self.members)

    def is_group_partly_joined(self) -> bool:
        """Return whether a live member has not joined the group yet."""
        members = [self._fleet.vm_by_url.get(url) for url in self.members]
        return not members or any(
            member is not None
            and not member.is_dead
            and (member.member_state, member.fencing)
            != ('ready', self.fencing)
            for member in members
        )

    def accepts(self, group_id: str) -> bool:
        """Return whether a request for the group may run on this VM."""
        if not self.traits.checks_group:
            return True
        return self.is_group_complete() and self.group_id == group_id

    def _request_limit(self) -> int:
        if self.cold:
            return self.traits.bear_requests
        return self.traits.max_requests

    def _start_request(self, required_bytes: int) -> None:
        """Count a request as running; restart if that is over the limits."""
        self.last_start_at = self._env.timer.now()
        self.partial_starts += self.is_group_partly_joined()
        self.running += 1
        self.used_bytes += required_bytes
        self.peak_running = max(self.peak_running, self.running)
        is_over_memory = (
            self.traits.memory_bytes
            and self.used_bytes > self.traits.memory_bytes
        )
        if self.running > self._request_limit() or is_over_memory:
            self.overload_crashes += 1
            self.restart()
            raise EngineOverloaded

    async def generate(self, request: announcements.GenerateRequest):
        """Yield the JSON lines of an answer, from the request's offset on."""
        traits = self.traits
        prompt_tokens = len(request.prompt) // PROMPT_BYTES_PER_TOKEN
        required_bytes = (
            prompt_tokens + request.max_tokens
        ) * traits.bytes_per_token
        incarnation = self.incarnation
        self._start_request(required_bytes)
        try:
            offset = request.offset
            while offset < request.max_tokens:
                count = min(
                    traits.tokens_per_piece, request.max_tokens - offset
                )
                delay_s = traits.token_s * self.slow_factor * count
                await self._env.timer.sleep(delay_s)
                while self.is_silent or self.is_paused:
                    await self._env.timer.sleep(0.05)
                if self.is_dead or self.incarnation != incarnation:
                    raise ConnectionError('the engine died or restarted')
                if self.traits.checks_group and not self.is_group_complete():
                    raise ConnectionError('a member of the group is not ready')
                text = ''.join(
                    answers.make_token(request.prompt, index)
                    for index in range(offset, offset + count)
                )
                finish = 'stop' if offset + count == request.max_tokens else ''
                if finish:
                    self.served += 1
                    self.cold_requests_left = max(
                        0, self.cold_requests_left - 1
                    )
                yield (
                    msgspec.json.encode(
                        announcements.GeneratedPiece(
                            offset=offset,
                            tokens=count,
                            text=text,
                            finish=finish,
                        )
                    )
                    + b'\n'
                )
                offset += count
                self.generated_tokens += count
        finally:
            if self.incarnation == incarnation:
                self.running -= 1
                self.used_bytes -= required_bytes


class EngineFleet:
    """Fake engine VMs that share one HTTP server, each under its own path."""

    def __init__(self, *, env: environment.Environment, base_url: str) -> None:
        self._env = env
        self._base_url = base_url
        self._tasks: set[asyncio.Task] = set()
        self.vm_by_id: dict[str, EngineVm] = {}
        self.vm_by_url: dict[str, EngineVm] = {}

    def add_vm(
        self,
        *,
        endpoint_id: str,
        data_centre: str,
        fabric_domain: str,
        traits: EngineTraits,
    ) -> EngineVm:
        """Add a VM to the fleet."""
        vm = EngineVm(
            env=self._env,
            fleet=self,
            endpoint_id=endpoint_id,
            data_centre=data_centre,
            fabric_domain=fabric_domain,
            url=f'{self._base_url}/vms/{endpoint_id}',
            traits=traits,
        )
        self.vm_by_id[endpoint_id] = vm
        self.vm_by_url[vm.url] = vm
        return vm

    def keep_task(self, task: asyncio.Task) -> None:
        """Hold a reference to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_announcements(
        self, entries_by_data_centre: dict[str, list[str]]
    ) -> None:
        """Announce every VM to an entry of its data centre."""
        async with asyncio.TaskGroup() as tasks:
            for index, vm in enumerate(self.vm_by_id.values()):
                announcer = announcers.Announcer(
                    env=self._env,
                    make_announcement=vm.announce,
                    entries=entries_by_data_centre[vm.data_centre],
                    first_entry_index=index,
                )
                tasks.create_task(announcer.run())

    def make_application(self) -> applications.Starlette:
        """Return the HTTP application of the whole fleet."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/vms/{vm}/generate', self._generate, methods=['POST']
                ),
                routing.Route(
                    '/vms/{vm}/orders', self._order, methods=['POST']
                ),
                routing.Route(
                    '/vms/{vm}/control/{action}',
                    self._control,
                    methods=['POST'],
                ),
                routing.Route('/counters', self._show_counters),
            ]
        )

    def _find_vm(self, request: requests.Request) -> EngineVm:
        return self.vm_by_id[request.path_params['vm']]

    async def _generate(self, request: requests.Request) -> responses.Response:
        vm = self._find_vm(request)
        body = msgspec.json.decode(
            await request.body(), type=announcements.GenerateRequest
        )
        if vm.is_dead:
            return responses.Response(status_code=500)
        if not vm.accepts(body.group_id):
            return responses.JSONResponse(
                {'code': 'not_in_group'}, status_code=409
            )
        return responses.StreamingResponse(
            vm.generate(body), media_type='application/x-ndjson'
        )

    async def _order(self, request: requests.Request) -> responses.Response:
        vm = self._find_vm(request)
        order = msgspec.json.decode(
            await request.body(), type=announcements.Order
        )
        while vm.is_paused or vm.is_silent:
            await self._env.timer.sleep(0.05)
        if vm.is_dead:
            return responses.Response(status_code=500)
        return responses.Response(
            msgspec.json.encode(vm.order(order)), media_type=JSON
        )

    async def _control(self, request: requests.Request) -> responses.Response:
        vm = self._find_vm(request)
        match request.path_params['action']:
            case 'kill':
                vm.kill()
            case 'restart':
                vm.restart()
            case 'leave':
                vm.leaving = True
            case 'silence':
                vm.is_silent = True
            case 'speak':
                vm.is_silent = False
            case 'slow':
                vm.slow_factor = 5.0
        return responses.JSONResponse({'incarnation': vm.incarnation})

    async def _show_counters(
        self, request: requests.Request
    ) -> responses.Response:
        vms = self.vm_by_id.values()
        return responses.JSONResponse(
            {
                'served': sum(vm.served for vm in vms),
                'running': sum(vm.running for vm in vms),
                'falls': sum(vm.overload_crashes for vm in vms),
                'generated_tokens': sum(vm.generated_tokens for vm in vms),
                'peak_running': max(
                    (vm.peak_running for vm in vms), default=0
                ),
            }
        )
