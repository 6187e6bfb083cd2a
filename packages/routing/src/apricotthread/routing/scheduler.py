"""Who runs next, and where: queues and places for each service."""

import asyncio
import dataclasses
import hashlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.endpoints import registry
from apricotthread.nodes import messages
from apricotthread.routing import calls
from apricotthread.routing import fairqueue
from apricotthread.routing import placement
from apricotthread.routing import rates
from apricotthread.routing import view

PREFIX_BYTES = 256
NO_PLACE_RETRY_S = 2.0
RELIEF_FACTOR = 2.0  # a queue elsewhere has to be that much shorter
NO_PLACE_GRACE_S = 5.0  # a repair or a node's restart is shorter


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalSlot:
    """A reserved place on an endpoint of this entry."""

    endpoint: registry.Endpoint
    max_size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteSlot:
    """A place that another entry probably has, or one in its queue."""

    node_id: str
    service: str
    may_wait: bool = False


Slot = LocalSlot | RemoteSlot


@dataclasses.dataclass(kw_only=True)
class RemoteUse:
    """What this entry sent to another since that one's heartbeat."""

    incarnation: int
    sequence: int
    sent: int = 0
    refused: bool = False


def prefix_of(call: calls.AnyCall) -> str:
    """Return the name under which engines report the cached prefix."""
    match call:
        case calls.ModelCall(prompt=prompt):
            prefix = prompt.encode()[:PREFIX_BYTES]
            return hashlib.sha256(prefix).hexdigest()[:16]
        case calls.PlainCall():
            return ''


class Scheduler:
    """Gives each request a place, in the fair order of its service."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        queue_length: int,
        queue_wait_s: float,
    ) -> None:
        self._env = env
        self._system = system
        self._queue_length = queue_length
        self._queue_wait_s = queue_wait_s
        self._queue_by_service: dict[str, fairqueue.FairQueue] = {}
        self._meter_by_service: dict[str, rates.RateMeter] = {}
        self._remote_use: dict[str, dict[str, RemoteUse]] = {}
        self._place_seen_at: dict[str, float] = {}

    def _queue(self, service: str) -> fairqueue.FairQueue:
        return self._queue_by_service.setdefault(
            service, fairqueue.FairQueue(length=self._queue_length)
        )

    def _meter(self, service: str) -> rates.RateMeter:
        return self._meter_by_service.setdefault(
            service, rates.RateMeter(env=self._env)
        )

    def queued(self, service: str) -> int:
        """Return how many requests of a service wait here."""
        return len(self._queue(service))

    def _weight_of(self, account: str) -> float:
        row = self._system.agreed_state.table.account_by_name().get(account)
        return row.weight if row is not None else 1.0

    async def acquire(self, call: calls.AnyCall) -> Slot:
        """Wait for the request's turn and a place, and reserve it.

        Raises ApricotError with ran NO: OVERLOADED when it can not be
        served in time, NO_CAPACITY when there is no place at all.
        """
        queue = self._queue(call.service)
        weight = self._weight_of(call.account)
        if not len(queue):
            slot = self._reserve_place(call)
            if slot is not None:
                queue.charge(call, weight)
                return slot
        self._check_wait(call, queue)
        shorter_queue = self._find_shorter_queue(call.service)
        if shorter_queue is not None:
            return shorter_queue
        return await self._queue_up(call, queue, local_only=False)

    async def acquire_local(self, call: calls.AnyCall) -> LocalSlot:
        """Like acquire, but only for a place on an own endpoint.

        It is for requests of entries whose own queues are longer, so
        that none starves because its data centre has no endpoints left.
        """
        queue = self._queue(call.service)
        if not len(queue):
            slot = self.reserve_local(call)
            if slot is not None:
                queue.charge(call, self._weight_of(call.account))
                return slot
        self._check_wait(call, queue)
        return await self._queue_up(call, queue, local_only=True)

    async def _queue_up(
        self,
        call: calls.AnyCall,
        queue: fairqueue.FairQueue,
        *,
        local_only: bool,
    ) -> Slot:
        """Wait in the queue; in a full one somebody has to give way."""
        weight = self._weight_of(call.account)
        if queue.is_full:
            victim = queue.find_victim(call.account, weight)
            if victim is None:
                raise self._make_overloaded_error(call)
            victim.future.set_exception(
                self._make_overloaded_error(victim.call)
            )
            queue.pop(victim)
        future = asyncio.get_running_loop().create_future()
        waiter = queue.push(call, weight, future, local_only=local_only)
        self._meter(call.service).start()
        return await self._wait_for_turn(queue, waiter)

    async def _wait_for_turn(
        self, queue: fairqueue.FairQueue, waiter: fairqueue.Waiter
    ) -> Slot:
        started_at = self._env.timer.now()
        deadline_s = waiter.call.deadline - started_at
        try:
            async with self._env.timer.timeout(
                min(self._queue_wait_s, deadline_s)
            ):
                slot = await asyncio.shield(waiter.future)
        except TimeoutError:
            self._withdraw(queue, waiter)
            raise self._make_overloaded_error(waiter.call) from None
        except asyncio.CancelledError:
            self._withdraw(queue, waiter)
            raise
        self._env.metrics.record_s(
            'queue_wait', self._env.timer.now() - started_at
        )
        return slot

    def _withdraw(
        self, queue: fairqueue.FairQueue, waiter: fairqueue.Waiter
    ) -> None:
        """Take a request out that no longer waits, and free its place."""
        queue.remove_unserved(waiter)
        if not waiter.future.cancel() and not waiter.future.exception():
            self.release(waiter.future.result())

    def _check_wait(
        self, call: calls.AnyCall, queue: fairqueue.FairQueue
    ) -> None:
        """Refuse at once what would wait too long or find no place."""
        if not self._may_find_place(call.service):
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_CAPACITY,
                message=f'no endpoint serves {call.service} at the moment',
                retry_after_s=NO_PLACE_RETRY_S,
            )
        rate = self._meter(call.service).rate()
        remaining_s = call.deadline - self._env.timer.now()
        longest_s = min(self._queue_wait_s, remaining_s)
        if rate and queue.cost_ahead(call.account) / rate > longest_s:
            raise self._make_overloaded_error(call)

    def _make_overloaded_error(
        self, call: calls.AnyCall
    ) -> errors.ApricotError:
        self._env.metrics.count('overload_refusals')
        return errors.ApricotError(
            code=errors.ErrorCode.OVERLOADED,
            message=f'{call.service} can not take the request in time',
            retry_after_s=self._env.jitter(self._queue_wait_s),
        )

    def wake(self) -> None:
        """Serve who waits, as some place or the table may have changed."""
        for service, queue in self._queue_by_service.items():
            self._serve_queue(service, queue)

    def _serve_queue(self, service: str, queue: fairqueue.FairQueue) -> None:
        while True:
            waiter = queue.peek()
            if waiter is None:
                self._meter(service).stop()
                return
            if not waiter.is_waiting:
                queue.remove_unserved(waiter)
                continue
            if waiter.local_only:
                slot = self.reserve_local(waiter.call)
            else:
                slot = self._reserve_place(waiter.call)
            if slot is None:
                return
            queue.pop(waiter)
            self._meter(service).add(waiter.call.cost)
            waiter.future.set_result(slot)

    def _find_shorter_queue(self, service: str) -> RemoteSlot | None:
        """Return another entry where a request waits much less.

        The wait counts as requests for each place; an entry without own
        places has none that it could wait for.
        """
        candidates = self._remote_candidates(service)
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: candidate.load)
        local = self._local_candidates(service, 0, '')
        limit = sum(candidate.limit for candidate in local)
        if limit:
            load = 1 + self.queued(service) / limit
            if load < RELIEF_FACTOR * best.load:
                return None
        self._remote_use[best.node_id][service].sent += 1
        return RemoteSlot(node_id=best.node_id, service=service, may_wait=True)

    def _may_find_place(self, service: str) -> bool:
        """Whether the service has a place, or had one a moment ago."""
        now = self._env.timer.now()
        if self._candidates(service, max_size=0, prefix=''):
            self._place_seen_at[service] = now
            return True
        seen_at = self._place_seen_at.get(service, float('-inf'))
        return now - seen_at <= NO_PLACE_GRACE_S

    def _reserve_place(self, call: calls.AnyCall) -> Slot | None:
        """Reserve the best place that has room now."""
        prefix = prefix_of(call)
        candidates = self._candidates(
            call.service, max_size=call.max_size, prefix=prefix
        )
        best = placement.choose_candidate(candidates)
        if best is None:
            return None
        self._place_seen_at[call.service] = self._env.timer.now()
        if best.node_id == self._system.own.node_id:
            return self._reserve_local(best.endpoint_id, call)
        self._remote_use[best.node_id][call.service].sent += 1
        return RemoteSlot(node_id=best.node_id, service=call.service)

    def reserve_local(self, call: calls.AnyCall) -> LocalSlot | None:
        """Reserve a place on an own endpoint, for a request of a peer."""
        candidates = self._local_candidates(
            call.service, call.max_size, prefix_of(call)
        )
        best = placement.choose_candidate(candidates)
        if best is None:
            return None
        return self._reserve_local(best.endpoint_id, call)

    def _reserve_local(
        self, endpoint_id: str, call: calls.AnyCall
    ) -> LocalSlot:
        endpoint = self._system.find_endpoint(endpoint_id)
        endpoint.reserve(call.max_size)
        return LocalSlot(endpoint=endpoint, max_size=call.max_size)

    def release(self, slot: Slot) -> None:
        """Give a place back."""
        match slot:
            case LocalSlot(endpoint=endpoint, max_size=max_size):
                endpoint.release(max_size)
                self.wake()
            case RemoteSlot():
                pass

    def on_remote_refusal(self, slot: RemoteSlot) -> None:
        """Send nothing more to an entry until its next heartbeat."""
        use = self._remote_use[slot.node_id].get(slot.service)
        if use is not None:
            use.refused = True

    def _candidates(
        self, service: str, *, max_size: int, prefix: str
    ) -> list[placement.Candidate]:
        return [
            *self._local_candidates(service, max_size, prefix),
            *self._remote_candidates(service),
        ]

    def _local_candidates(
        self, service: str, max_size: int, prefix: str
    ) -> list[placement.Candidate]:
        return [
            placement.Candidate(
                node_id=self._system.own.node_id,
                endpoint_id=endpoint.endpoint_id,
                free=(
                    endpoint.free_requests()
                    if endpoint.can_take(max_size)
                    else 0
                ),
                limit=endpoint.ramp.limit,
                distance_penalty=placement.SAME_NODE_PENALTY,
                seconds_per_token=endpoint.seconds_per_token,
                has_prefix=(
                    bool(prefix)
                    and prefix in endpoint.announcement.cached_prefixes
                ),
            )
            for endpoint in self._system.own_endpoints(service)
        ]

    def _remote_candidates(self, service: str) -> list[placement.Candidate]:
        candidates = []
        cut_off = self._system.is_cut_off
        own = self._system.own
        members = self._system.members
        for node_id, heartbeat in members.fresh_heartbeats().items():
            node = members.node_by_id.get(node_id)
            if node is None or not members.is_alive(node_id):
                continue
            is_near = node.data_centre == own.data_centre
            if heartbeat.draining or (cut_off and not is_near):
                continue
            if self._system.is_out(node.data_centre):
                continue
            for capacity in heartbeat.capacities:
                if capacity.service != service or not capacity.limit_requests:
                    continue
                use = self._current_use(node_id, service, heartbeat)
                free = max(0, capacity.free_requests - use.sent)
                candidates.append(
                    placement.Candidate(
                        node_id=node_id,
                        endpoint_id='',
                        free=0 if use.refused else free,
                        limit=capacity.limit_requests,
                        waiting=capacity.queued
                        + max(0, use.sent - capacity.free_requests),
                        distance_penalty=(
                            placement.SAME_DATA_CENTRE_PENALTY
                            if is_near
                            else placement.OTHER_DATA_CENTRE_PENALTY
                        ),
                    )
                )
        return candidates

    def _current_use(
        self, node_id: str, service: str, heartbeat: messages.Heartbeat
    ) -> RemoteUse:
        """Return what was sent since the heartbeat, none if it is new."""
        uses = self._remote_use.setdefault(node_id, {})
        use = uses.get(service)
        if use is None or (use.incarnation, use.sequence) != (
            heartbeat.incarnation,
            heartbeat.sequence,
        ):
            use = RemoteUse(
                incarnation=heartbeat.incarnation,
                sequence=heartbeat.sequence,
            )
            uses[service] = use
        return use

    def capacities(self) -> list[messages.Capacity]:
        """Return what this node's endpoints can take, for heartbeats."""
        capacities = []
        for service in self._system.service_names():
            endpoints = self._system.own_endpoints(service)
            if not endpoints:
                continue
            capacities.append(
                messages.Capacity(
                    service=service,
                    free_requests=sum(e.free_requests() for e in endpoints),
                    free_bytes=sum(e.free_bytes() for e in endpoints),
                    limit_requests=sum(e.ramp.limit for e in endpoints),
                    queued=self.queued(service),
                )
            )
        return capacities
