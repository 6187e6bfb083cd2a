"""Scheduling: which request runs next, and on which slot."""

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
NO_CAPACITY_RETRY_S = 2.0
OFFLOAD_FACTOR = 2.0  # the queue elsewhere has to be shorter by this factor
NO_CAPACITY_GRACE_S = 5.0  # longer than a group repair or a node restart


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalSlot:
    """A reserved slot on an endpoint of this entry."""

    endpoint: registry.Endpoint
    max_size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteSlot:
    """A slot that another entry probably has, or a place in its queue.

    The other entry may refuse, as its heartbeat may be out of date. It
    queues the request if may_wait is set.
    """

    node_id: str
    service: str
    may_wait: bool = False


Slot = LocalSlot | RemoteSlot


@dataclasses.dataclass(kw_only=True)
class UnreportedRequests:
    """Requests sent to another entry since its last heartbeat.

    The heartbeat does not count them yet, so they are subtracted from
    the free slots that it reports.
    """

    incarnation: int
    sequence: int
    sent: int = 0
    has_refused: bool = False


def hash_prompt_prefix(call: calls.AnyCall) -> str:
    """Return the hash by which engines report a cached prompt prefix.

    It is empty for a request to a plain service.
    """
    match call:
        case calls.ModelCall(prompt=prompt):
            prefix = prompt.encode()[:PREFIX_BYTES]
            return hashlib.sha256(prefix).hexdigest()[:16]
        case calls.PlainCall():
            return ''


class Scheduler:
    """Assigns slots to requests, in the fair order of each service."""

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
        self._unreported_by_node: dict[str, dict[str, UnreportedRequests]] = {}
        self._available_at_by_service: dict[str, float] = {}

    def _get_queue(self, service: str) -> fairqueue.FairQueue:
        return self._queue_by_service.setdefault(
            service, fairqueue.FairQueue(length=self._queue_length)
        )

    def _get_meter(self, service: str) -> rates.RateMeter:
        return self._meter_by_service.setdefault(
            service, rates.RateMeter(env=self._env)
        )

    def queued(self, service: str) -> int:
        """Return how many requests of a service are queued here."""
        return len(self._get_queue(service))

    def _get_weight(self, account: str) -> float:
        row = self._system.agreed_state.table.account_by_name().get(account)
        return row.weight if row is not None else 1.0

    async def acquire(self, call: calls.AnyCall) -> Slot:
        """Reserve a slot for a request, queueing it until one is free.

        Raises ApricotError with ran NO: OVERLOADED if the request can
        not be served in time, NO_CAPACITY if no endpoint serves it.
        """
        queue = self._get_queue(call.service)
        weight = self._get_weight(call.account)
        if not len(queue):
            slot = self._reserve_best(call)
            if slot is not None:
                queue.charge(call, weight)
                return slot
        self._check_wait(call, queue)
        shorter_queue = self._find_shorter_queue(call.service)
        if shorter_queue is not None:
            return shorter_queue
        return await self._enqueue(call, queue, local_only=False)

    async def acquire_local(self, call: calls.AnyCall) -> LocalSlot:
        """Reserve a slot as acquire does, but only on a local endpoint.

        It serves requests of entries whose queues are longer, so that
        no request starves because its data centre has no endpoints left.
        """
        queue = self._get_queue(call.service)
        if not len(queue):
            slot = self.reserve_local(call)
            if slot is not None:
                queue.charge(call, self._get_weight(call.account))
                return slot
        self._check_wait(call, queue)
        return await self._enqueue(call, queue, local_only=True)

    async def _enqueue(
        self,
        call: calls.AnyCall,
        queue: fairqueue.FairQueue,
        *,
        local_only: bool,
    ) -> Slot:
        """Wait in the queue; if it is full, evict a request or raise."""
        weight = self._get_weight(call.account)
        if queue.is_full:
            victim = queue.find_victim(call.account, weight)
            if victim is None:
                raise self._make_overloaded_error(call)
            victim.future.set_exception(
                self._make_overloaded_error(victim.call)
            )
            queue.remove_unserved(victim)
        future = asyncio.get_running_loop().create_future()
        waiter = queue.push(call, weight, future, local_only=local_only)
        self._get_meter(call.service).start()
        return await self._wait_for_turn(queue, waiter)

    async def _wait_for_turn(
        self, queue: fairqueue.FairQueue, waiter: fairqueue.Waiter
    ) -> Slot:
        """Wait for a slot until the queue wait or the deadline is over."""
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
        """Remove a request that gave up, and release a slot it just got."""
        queue.remove_unserved(waiter)
        if not waiter.future.cancel() and not waiter.future.exception():
            self.release(waiter.future.result())

    def _check_wait(
        self, call: calls.AnyCall, queue: fairqueue.FairQueue
    ) -> None:
        """Raise ApricotError if a request would wait too long or in vain."""
        if not self._was_recently_available(call.service):
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_CAPACITY,
                message=f'no endpoint serves {call.service} at the moment',
                retry_after_s=NO_CAPACITY_RETRY_S,
            )
        rate = self._get_meter(call.service).rate()
        remaining_s = call.deadline - self._env.timer.now()
        max_wait_s = min(self._queue_wait_s, remaining_s)
        if rate and queue.cost_ahead(call.account) / rate > max_wait_s:
            raise self._make_overloaded_error(call)

    def _make_overloaded_error(
        self, call: calls.AnyCall
    ) -> errors.ApricotError:
        """Return the error for an overload, and count the refusal."""
        self._env.metrics.count('overload_refusals')
        return errors.ApricotError(
            code=errors.ErrorCode.OVERLOADED,
            message=f'{call.service} can not take the request in time',
            retry_after_s=self._env.jitter(self._queue_wait_s),
        )

    def wake(self) -> None:
        """Serve the queues; a slot may be free or the table may be new."""
        for service, queue in self._queue_by_service.items():
            self._serve_queue(service, queue)

    def _serve_queue(self, service: str, queue: fairqueue.FairQueue) -> None:
        """Assign slots to queued requests in order, until none is free."""
        while True:
            waiter = queue.peek()
            if waiter is None:
                self._get_meter(service).stop()
                return
            if not waiter.is_waiting:
                queue.remove_unserved(waiter)
                continue
            if waiter.local_only:
                slot = self.reserve_local(waiter.call)
            else:
                slot = self._reserve_best(waiter.call)
            if slot is None:
                return
            queue.pop(waiter)
            self._get_meter(service).add(waiter.call.cost)
            waiter.future.set_result(slot)

    def _find_shorter_queue(self, service: str) -> RemoteSlot | None:
        """Return a place in another entry's queue if it is much shorter.

        The loads are compared, as requests per slot. An entry without
        local slots sends the request to the least loaded entry in any case.
        """
        candidates = self._remote_candidates(service)
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: candidate.load)
        local = self._local_candidates(service, 0, '')
        limit = sum(candidate.limit for candidate in local)
        if limit:
            load = 1 + self.queued(service) / limit
            if load < OFFLOAD_FACTOR * best.load:
                return None
        self._unreported_by_node[best.node_id][service].sent += 1
        return RemoteSlot(node_id=best.node_id, service=service, may_wait=True)

    def _was_recently_available(self, service: str) -> bool:
        """Whether a candidate for the service exists, or did recently."""
        now = self._env.timer.now()
        if self._candidates(service, max_size=0, prefix=''):
            self._available_at_by_service[service] = now
            return True
        available_at = self._available_at_by_service.get(
            service, float('-inf')
        )
        return now - available_at <= NO_CAPACITY_GRACE_S

    def _reserve_best(self, call: calls.AnyCall) -> Slot | None:
        """Reserve a slot on the best candidate, None if none is free."""
        prefix = hash_prompt_prefix(call)
        candidates = self._candidates(
            call.service, max_size=call.max_size, prefix=prefix
        )
        best = placement.choose_candidate(candidates)
        if best is None:
            return None
        self._available_at_by_service[call.service] = self._env.timer.now()
        if best.node_id == self._system.own.node_id:
            return self._reserve_local(best.endpoint_id, call)
        self._unreported_by_node[best.node_id][call.service].sent += 1
        return RemoteSlot(node_id=best.node_id, service=call.service)

    def reserve_local(self, call: calls.AnyCall) -> LocalSlot | None:
        """Reserve a slot on the best local endpoint, None if none is free.

        It also serves requests that other entries forward.
        """
        candidates = self._local_candidates(
            call.service, call.max_size, hash_prompt_prefix(call)
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
        """Release a slot, and serve the queues if it is a local one.

        A remote slot is released by the entry that has it.
        """
        match slot:
            case LocalSlot(endpoint=endpoint, max_size=max_size):
                endpoint.release(max_size)
                self.wake()
            case RemoteSlot():
                pass

    def on_remote_refusal(self, slot: RemoteSlot) -> None:
        """Send an entry no more requests until its next heartbeat."""
        unreported = self._unreported_by_node[slot.node_id].get(slot.service)
        if unreported is not None:
            unreported.has_refused = True

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
                unreported = self._find_unreported(node_id, service, heartbeat)
                free = max(0, capacity.free_requests - unreported.sent)
                candidates.append(
                    placement.Candidate(
                        node_id=node_id,
                        endpoint_id='',
                        free=0 if unreported.has_refused else free,
                        limit=capacity.limit_requests,
                        waiting=capacity.queued
                        + max(0, unreported.sent - capacity.free_requests),
                        distance_penalty=(
                            placement.SAME_DATA_CENTRE_PENALTY
                            if is_near
                            else placement.OTHER_DATA_CENTRE_PENALTY
                        ),
                    )
                )
        return candidates

    def _find_unreported(
        self, node_id: str, service: str, heartbeat: messages.Heartbeat
    ) -> UnreportedRequests:
        """Return the requests sent since this heartbeat; none if it is new."""
        unreported_by_service = self._unreported_by_node.setdefault(
            node_id, {}
        )
        unreported = unreported_by_service.get(service)
        if unreported is None or (
            unreported.incarnation,
            unreported.sequence,
        ) != (
            heartbeat.incarnation,
            heartbeat.sequence,
        ):
            unreported = UnreportedRequests(
                incarnation=heartbeat.incarnation,
                sequence=heartbeat.sequence,
            )
            unreported_by_service[service] = unreported
        return unreported

    def capacities(self) -> list[messages.Capacity]:
        """Return the capacity of this node's endpoints, for heartbeats."""
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
