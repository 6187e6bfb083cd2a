"""Limits that endpoints name, and this entry's permits to send to them.

An endpoint in need names in its answers how many requests a second it takes
from all entries together, for as long as it says so. While it does, each
request to it needs a permit of the leader; without a leader there are none.
"""

import asyncio
import collections
import collections.abc
import dataclasses

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.fleet import limits
from apricotthread.fleet import view
from apricotthread.gateway import requests

LOG_PERIOD_S = 1.0
DEMAND_WINDOW_S = 1.0
# For so many seconds of its demand an entry keeps permits, so that requests
# mostly need not wait for a reply of the leader.
STOCK_S = 0.4
# An entry mentions an endpoint to the leader for this long after its last
# request to it, so that all that it sent is counted.
MENTIONED_S = 10.0
# A newer observation of the same limit is reported after this time only.
REFRESH_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Permit:
    """Permission to send one request to an endpoint until a time."""

    endpoint_id: str
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class _Waiter:
    """A request of a model that waits for a permit; 0 is the most urgent."""

    model: str
    priority: int
    granted: asyncio.Event


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Free:
    """How many permits the leader had left for an endpoint, and when."""

    permits: float
    replied_at: float


class LimitTable:
    """Keeps the limits of endpoints by id, and the permits of this entry."""

    def __init__(
        self, *, env: environment.Environment, fleet: view.FleetView
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._incarnation = env.new_id()
        self._sequence = 0
        self._known_by_id: dict[str, limits.KnownLimit] = {}
        # What the leader's last reply said.
        self._told_by_id: dict[str, limits.KnownLimit] = {}
        self._free_by_id: dict[str, _Free] = {}
        self._held_by_id: dict[str, list[Permit]] = collections.defaultdict(
            list
        )
        self._reserved_by_id: dict[str, list[Permit]] = (
            collections.defaultdict(list)
        )
        self._sent_by_id = collections.Counter()
        self._sent_at_by_id: dict[str, float] = {}
        self._sent_in_period_by_id = collections.Counter()
        self._demand_times_by_model: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._limited_ids_by_model: dict[str, tuple[str, ...]] = {}
        self._waiters: list[_Waiter] = []
        self._on_want: collections.abc.Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Log what limited endpoints got in each second until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=LOG_PERIOD_S):
            for endpoint_id, sent in sorted(
                self._sent_in_period_by_id.items()
            ):
                logs.log_event(
                    'limited_endpoint_sent',
                    endpoint=endpoint_id,
                    sent=sent,
                    limit_per_s=self.find_limit(endpoint_id),
                    held=len(self._unexpired(endpoint_id)),
                )
            self._sent_in_period_by_id.clear()

    def subscribe(self, on_want: collections.abc.Callable[[], None]) -> None:
        """Have a function called when a request waits for a permit."""
        self._on_want = on_want

    # Limits

    def observe(
        self,
        endpoint_id: str,
        answer: requests.AnswerMetadata,
        *,
        sent_at: float,
    ) -> None:
        """Take over what an answer says to a request that was sent then.

        Only an answer that the endpoint has signed ends a limit.
        """
        if answer.is_limit_odd:
            self._env.metrics.count('odd_limits')
            logs.log_event('limit_odd', endpoint=endpoint_id)
            return
        if answer.limit_per_s is None and (
            not answer.is_sealed or not self.find_limit(endpoint_id)
        ):
            return
        endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        self._take_over(
            endpoint_id,
            limits.KnownLimit(
                born_ms=endpoint.announced.born_ms,
                limit_per_s=answer.limit_per_s or 0.0,
                observed_at=sent_at,
            ),
            source='answer',
        )

    def _take_over(
        self, endpoint_id: str, limit: limits.KnownLimit, *, source: str
    ) -> None:
        known = self._known_by_id.get(endpoint_id)
        if not limit.is_newer_than(known):
            return
        self._known_by_id[endpoint_id] = limit
        before = known.limit_per_s if known is not None else 0.0
        if limit.limit_per_s != before:
            logs.log_event(
                'limit_changed',
                endpoint=endpoint_id,
                before=before,
                limit_per_s=limit.limit_per_s,
                age_s=self._env.timer.now() - limit.observed_at,
                source=source,
            )

    def find_limit(self, endpoint_id: str) -> float:
        """Return the limit that an endpoint names at present, 0 for none."""
        known = self._known_by_id.get(endpoint_id)
        if known is None or not known.limit_per_s:
            return 0.0
        endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint.announced.born_ms != known.born_ms:
            return 0.0
        return known.limit_per_s

    # Permits

    def count_allowed(self, endpoint_id: str) -> int | None:
        """Return how many requests may be sent now, None without a limit."""
        if not self.find_limit(endpoint_id):
            return None
        return len(self._unexpired(endpoint_id))

    def _unexpired(self, endpoint_id: str) -> list[Permit]:
        now = self._env.timer.now()
        held = [
            permit
            for permit in self._held_by_id[endpoint_id]
            if permit.expires_at > now
        ]
        self._held_by_id[endpoint_id] = held
        return held

    def reserve(self, endpoint_id: str) -> Permit | None:
        """Take a permit for a request; None if there is none, or no limit."""
        if not self.find_limit(endpoint_id):
            return None
        held = self._unexpired(endpoint_id)
        if not held:
            return None
        permit = held.pop(0)
        self._reserved_by_id[endpoint_id].append(permit)
        return permit

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was reserved and not used."""
        self._reserved_by_id[permit.endpoint_id].remove(permit)
        self._held_by_id[permit.endpoint_id].append(permit)

    def use(self, endpoint_id: str, permit: Permit | None) -> bool:
        """Count a request that is about to be sent; False if it may not be.

        A permit that expired while the request was held up is replaced.
        """
        now = self._env.timer.now()
        if permit is not None:
            self._reserved_by_id[permit.endpoint_id].remove(permit)
        if not self.find_limit(endpoint_id):
            return True
        if permit is None or permit.expires_at <= now:
            permit = self.reserve(endpoint_id)
            if permit is None:
                self._env.metrics.count('permits_expired')
                return False
            self._reserved_by_id[endpoint_id].remove(permit)
        self._sent_by_id[endpoint_id] += 1
        self._sent_in_period_by_id[endpoint_id] += 1
        self._sent_at_by_id[endpoint_id] = now
        return True

    # Demand

    def note_demand(self, model: str, limited_ids: tuple[str, ...]) -> None:
        """Record a request that endpoints with these limits could get."""
        self._limited_ids_by_model[model] = limited_ids
        self._demand_times_by_model[model].append(self._env.timer.now())

    @property
    def has_demand(self) -> bool:
        """Whether requests need permits at present."""
        return any(self._count_demand(m) for m in self._limited_ids_by_model)

    def _count_demand(self, model: str) -> int:
        times = self._demand_times_by_model[model]
        oldest = self._env.timer.now() - DEMAND_WINDOW_S
        while times and times[0] < oldest:
            times.popleft()
        return len(times)

    def predict_wait_s(self, endpoint_ids: tuple[str, ...]) -> float:
        """Return after how many seconds one of these will have a permit.

        It is infinite while no leader replies.
        """
        now = self._env.timer.now()
        free = rate = 0.0
        for endpoint_id in endpoint_ids:
            left = self._free_by_id.get(endpoint_id)
            limit_per_s = self.find_limit(endpoint_id)
            if left is None or now - left.replied_at > limits.PERMIT_S:
                continue
            free += left.permits + limit_per_s * (now - left.replied_at)
            rate += limit_per_s
        if not rate:
            return float('inf')
        return max(0.0, 1 - free) / rate

    async def wait_for_permit(
        self, model: str, *, priority: int, timeout_s: float
    ) -> bool:
        """Wait until there are new permits; return whether there are.

        The most urgent requests go on first.
        """
        waiter = _Waiter(
            model=model, priority=priority, granted=asyncio.Event()
        )
        self._waiters.append(waiter)
        self._on_want()
        try:
            async with self._env.timer.timeout(timeout_s):
                await waiter.granted.wait()
            return True
        except TimeoutError:
            return False
        finally:
            self._waiters.remove(waiter)

    # Reports to the leader

    def make_report(self) -> limits.LimitReport:
        """Return what the leader does not know, and what this entry wants."""
        now = self._env.timer.now()
        self._sequence += 1
        self._forget(now)
        wanted_by_id = self._divide_wanted()
        mentioned_ids = wanted_by_id.keys() | {
            endpoint_id
            for endpoint_id, sent_at in self._sent_at_by_id.items()
            if now - sent_at < MENTIONED_S
        }
        return limits.LimitReport(
            incarnation=self._incarnation,
            sequence=self._sequence,
            sightings=tuple(
                known.make_sighting(endpoint_id, now)
                for endpoint_id, known in self._known_by_id.items()
                if self._is_news(endpoint_id, known)
            ),
            demands=tuple(
                limits.Demand(
                    endpoint_id=endpoint_id,
                    sent=self._sent_by_id[endpoint_id],
                    held=self._count_held(endpoint_id),
                    wanted=wanted_by_id.get(endpoint_id, 0.0),
                )
                for endpoint_id in sorted(mentioned_ids)
                if self.find_limit(endpoint_id)
            ),
        )

    def _is_news(self, endpoint_id: str, known: limits.KnownLimit) -> bool:
        told = self._told_by_id.get(endpoint_id)
        if told is None:
            return bool(known.limit_per_s)
        if not known.is_newer_than(told):
            return False
        return (
            known.limit_per_s != told.limit_per_s
            or known.born_ms != told.born_ms
            or known.observed_at - told.observed_at > REFRESH_S
        )

    def _count_held(self, endpoint_id: str) -> int:
        now = self._env.timer.now()
        return len(self._unexpired(endpoint_id)) + sum(
            permit.expires_at > now
            for permit in self._reserved_by_id[endpoint_id]
        )

    def _divide_wanted(self) -> dict[str, float]:
        """Return how many permits are wanted, by endpoint id.

        What a model wants is asked of its endpoints that had most left, as a
        whole permit each.
        """
        waiting_by_model = collections.Counter(w.model for w in self._waiters)
        wanted_by_id = collections.Counter()
        for model, endpoint_ids in self._limited_ids_by_model.items():
            limited_ids = [e for e in endpoint_ids if self.find_limit(e)]
            wanted = (
                waiting_by_model[model]
                + STOCK_S * self._count_demand(model) / DEMAND_WINDOW_S
                - sum(len(self._unexpired(e)) for e in limited_ids)
            )
            order = sorted(
                limited_ids,
                key=lambda e: (
                    -int(self._free_by_id[e].permits)
                    if e in self._free_by_id
                    else 0,
                    self._env.random.random(),
                ),
            )
            while wanted > 0 and order:
                for endpoint_id in order:
                    wanted_by_id[endpoint_id] += max(0.0, min(1.0, wanted))
                    wanted -= 1.0
        return dict(wanted_by_id)

    def _forget(self, now: float) -> None:
        """Forget endpoints that are gone, and ended limits."""
        for endpoint_id, known in list(self._known_by_id.items()):
            endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
            is_old = now - known.observed_at > limits.FORGOTTEN_S
            if endpoint is None or endpoint.gone:
                is_gone = True
            else:
                is_gone = endpoint.announced.born_ms > known.born_ms
            if is_gone or (is_old and not known.limit_per_s):
                for by_id in (
                    self._known_by_id,
                    self._told_by_id,
                    self._free_by_id,
                    self._held_by_id,
                    self._sent_by_id,
                    self._sent_at_by_id,
                ):
                    by_id.pop(endpoint_id, None)

    def apply_reply(self, reply: limits.LimitReply, *, sent_at: float) -> None:
        """Take over what the leader knows, and the permits it has granted.

        The reply is to a report that was sent at that time.
        """
        now = self._env.timer.now()
        self._told_by_id.clear()
        has_permits = False
        for grant in reply.grants:
            endpoint_id = grant.sighting.endpoint_id
            told = limits.read_sighting(grant.sighting, now)
            self._told_by_id[endpoint_id] = told
            self._take_over(endpoint_id, told, source='leader')
            self._free_by_id[endpoint_id] = _Free(
                permits=grant.free, replied_at=now
            )
            has_permits = has_permits or grant.permits > 0
            self._held_by_id[endpoint_id].extend(
                Permit(
                    endpoint_id=endpoint_id,
                    expires_at=sent_at + limits.PERMIT_S,
                )
                for _ in range(grant.permits)
            )
        if has_permits:
            for waiter in sorted(self._waiters, key=lambda w: w.priority):
                waiter.granted.set()
