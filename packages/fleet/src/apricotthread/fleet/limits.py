"""Permits of entries for requests to endpoints that name a limit.

An endpoint in need names how many requests a second it takes from all entries
together. Entries report to the leader which limits their endpoints' answers
named, and how many permits they want; the leader tells all entries of all
limits, and grants permits. Each permit is for one request, and expires.

For each endpoint the leader keeps a token bucket. It is filled at the limit,
and holds what that adds up to in BURST_S, and BURST_REQUESTS more. A request
is taken from it once it is reported. Permits that are not reported as unused
count as used when they expire. There are never more unused permits than the
bucket holds, so within any time no more requests are sent than the bucket
holds at most, plus what the limit adds up to in that time.

A new leader starts with empty buckets, as permits of its predecessor may be
unused. Clocks need not agree; they must run at about the same speed.
"""

import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs

# Two of an entry's reports, so that the loss of one is borne.
PERMIT_S = 1.0
# By the platform's bound a burst may be twice the limit, and five more.
BURST_S = 1.0
BURST_REQUESTS = 2
# An endpoint that got no request could not say that its limit has ended.
LEAST_PER_S = 0.25
# For how long the end of a limit is told, so that all entries learn of it.
ENDED_S = 10.0
# A limit is forgotten if no entry has mentioned it for this time.
FORGOTTEN_S = 60.0
WANT_VALID_S = 1.5  # entries report at least twice a second
MAX_ENDPOINTS = 4096  # a bound of memory


class Sighting(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest that is known of the limit of an endpoint.

    `limit_per_s` is 0 if its last answer named none. `age_s` is how long ago
    the request was sent whose answer said so.
    """

    endpoint_id: str
    born_ms: int
    limit_per_s: float
    age_s: float


class Demand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an entry has sent to a limited endpoint, and what it wants.

    `sent` counts since the start of the entry, `held` are the permits that it
    has not used, and `wanted` how many more it would use; this may be a
    fraction.
    """

    endpoint_id: str
    sent: int
    held: int
    wanted: float


class LimitReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an entry knows of limits and wants; `sequence` orders reports.

    `incarnation` differs with each start of the entry.
    """

    incarnation: str = ''
    sequence: int = 0
    sightings: tuple[Sighting, ...] = ()
    demands: tuple[Demand, ...] = ()


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the leader knows of an endpoint, and the entry's new permits.

    They hold for PERMIT_S from when the report was sent. `free` is how many
    more there were, less than 0 if entries want more.
    """

    sighting: Sighting
    permits: int
    free: float


class LimitReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The leader's answer to a report, with all limits that it knows."""

    grants: tuple[Grant, ...] = ()


_REPLY_DECODER = msgspec.msgpack.Decoder(LimitReply)


def encode_reply(reply: LimitReply) -> bytes:
    """Return a reply as MessagePack."""
    return msgspec.msgpack.encode(reply)


def decode_reply(payload: bytes) -> LimitReply:
    """Return the reply in the bytes; raises msgspec.DecodeError."""
    return _REPLY_DECODER.decode(payload)


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownLimit:
    """The limit of an incarnation of an endpoint, 0 if it names none.

    `observed_at` is when the request was sent whose answer said so.
    """

    born_ms: int
    limit_per_s: float
    observed_at: float

    def is_newer_than(self, other: 'KnownLimit | None') -> bool:
        """Whether this is of a later start, or of a later request."""
        return other is None or (self.born_ms, self.observed_at) >= (
            other.born_ms,
            other.observed_at,
        )

    def make_sighting(self, endpoint_id: str, now: float) -> Sighting:
        """Return what another node may be told at this time."""
        return Sighting(
            endpoint_id=endpoint_id,
            born_ms=self.born_ms,
            limit_per_s=self.limit_per_s,
            age_s=now - self.observed_at,
        )


def read_sighting(sighting: Sighting, now: float) -> KnownLimit:
    """Return what another node told at this time."""
    return KnownLimit(
        born_ms=sighting.born_ms,
        limit_per_s=sighting.limit_per_s,
        observed_at=now - sighting.age_s,
    )


@dataclasses.dataclass(kw_only=True)
class _Holder:
    """The unused permits of one entry, as far as the leader knows.

    `assumed` counts permits that expired unreported, and so count as used.
    """

    incarnation: str
    sent: int
    permits: int = 0
    assumed: int = 0
    expires_at: float = 0.0
    wanted: float = 0.0
    heard_at: float = 0.0


@dataclasses.dataclass(kw_only=True)
class _Bucket:
    """The token bucket of one endpoint."""

    limit_per_s: float
    filled_at: float
    level: float = 0.0
    holder_by_entry: dict[str, _Holder] = dataclasses.field(
        default_factory=dict
    )

    @property
    def size(self) -> float:
        """The most that the bucket holds."""
        return self.limit_per_s * BURST_S + BURST_REQUESTS

    def fill(self, now: float, limit_per_s: float) -> None:
        """Fill it up to now; from now on the limit may be another."""
        self.level += (now - self.filled_at) * self.limit_per_s
        self.filled_at = now
        self.limit_per_s = max(limit_per_s, LEAST_PER_S)
        self.level = min(self.level, self.size)
        for holder in self.holder_by_entry.values():
            if holder.expires_at < now:
                self.take(holder.permits)
                holder.assumed += holder.permits
                holder.permits = 0

    def take(self, requests: int) -> None:
        """Take requests out; what went beyond is made up for in BURST_S."""
        self.level = max(self.level - requests, -self.size)

    def unused_permits(self) -> int:
        """Return how many permits entries may still use."""
        return sum(h.permits for h in self.holder_by_entry.values())

    def count_wanted(self, now: float) -> float:
        """Return how many permits all entries want."""
        return sum(
            holder.wanted
            for holder in self.holder_by_entry.values()
            if now - holder.heard_at < WANT_VALID_S
        )


class PermitRegistry:
    """Grants permits to the entries while this node leads."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._leader_since = float('-inf')
        self._known_by_id: dict[str, KnownLimit] = {}
        self._mentioned_at_by_id: dict[str, float] = {}
        self._bucket_by_id: dict[str, _Bucket] = {}
        self._last_report_by_entry: dict[str, tuple[str, int]] = {}

    def reply_to(
        self, entry_id: str, report: LimitReport, *, leader_since: float
    ) -> LimitReply:
        """Take an entry's report, and grant permits.

        `leader_since` is the time at which this node began to lead. The
        caller makes sure that no other node leads.
        """
        now = self._env.timer.now()
        if leader_since != self._leader_since:
            self._leader_since = leader_since
            self._bucket_by_id.clear()
            self._last_report_by_entry.clear()
        incarnation, sequence = self._last_report_by_entry.get(
            entry_id, ('', 0)
        )
        if report.incarnation == incarnation and report.sequence <= sequence:
            return LimitReply()
        self._last_report_by_entry[entry_id] = (
            report.incarnation,
            report.sequence,
        )
        for sighting in report.sightings:
            self._take_sighting(entry_id, sighting, now)
        self._forget(now)
        demand_by_id = {d.endpoint_id: d for d in report.demands}
        return LimitReply(
            grants=tuple(
                self._grant(
                    entry_id,
                    report.incarnation,
                    endpoint_id,
                    demand_by_id.get(endpoint_id),
                )
                for endpoint_id in list(self._known_by_id)
            )
        )

    def _take_sighting(
        self, entry_id: str, sighting: Sighting, now: float
    ) -> None:
        endpoint_id = sighting.endpoint_id
        known = self._known_by_id.get(endpoint_id)
        told = read_sighting(sighting, now)
        if known is None and len(self._known_by_id) >= MAX_ENDPOINTS:
            self._env.metrics.count('limits_not_kept')
            return
        if not told.is_newer_than(known):
            return
        self._known_by_id[endpoint_id] = told
        self._mentioned_at_by_id[endpoint_id] = now
        if known is None or known.limit_per_s != told.limit_per_s:
            logs.log_event(
                'limit_told',
                endpoint=endpoint_id,
                entry=entry_id,
                before=known.limit_per_s if known else 0.0,
                limit_per_s=told.limit_per_s,
                age_s=sighting.age_s,
            )

    def _forget(self, now: float) -> None:
        """Forget limits that ended long ago, or of which nobody speaks."""
        for endpoint_id, known in list(self._known_by_id.items()):
            kept_s = FORGOTTEN_S if known.limit_per_s else ENDED_S
            if now - self._mentioned_at_by_id[endpoint_id] > kept_s:
                del self._known_by_id[endpoint_id]
                del self._mentioned_at_by_id[endpoint_id]
                self._bucket_by_id.pop(endpoint_id, None)

    def _grant(
        self,
        entry_id: str,
        incarnation: str,
        endpoint_id: str,
        demand: Demand | None,
    ) -> Grant:
        now = self._env.timer.now()
        known = self._known_by_id[endpoint_id]
        sighting = known.make_sighting(endpoint_id, now)
        if not known.limit_per_s:
            self._bucket_by_id.pop(endpoint_id, None)
            return Grant(sighting=sighting, permits=0, free=0.0)
        bucket = self._bucket_by_id.get(endpoint_id)
        if bucket is None:
            bucket = _Bucket(limit_per_s=known.limit_per_s, filled_at=now)
            self._bucket_by_id[endpoint_id] = bucket
        bucket.fill(now, known.limit_per_s)
        permits = 0
        if demand is not None:
            self._mentioned_at_by_id[endpoint_id] = now
            holder = self._settle(bucket, entry_id, incarnation, demand)
            permits = self._divide(bucket, demand, now)
            holder.permits += permits
            holder.expires_at = now + PERMIT_S
        free = bucket.level - bucket.unused_permits()
        return Grant(
            sighting=sighting,
            permits=permits,
            free=free - bucket.count_wanted(now) + permits,
        )

    def _settle(
        self, bucket: _Bucket, entry_id: str, incarnation: str, demand: Demand
    ) -> _Holder:
        """Take what an entry has sent since its last report."""
        now = self._env.timer.now()
        holder = bucket.holder_by_entry.get(entry_id)
        if holder is None or holder.incarnation != incarnation:
            if holder is not None:
                bucket.take(holder.permits)
            holder = _Holder(incarnation=incarnation, sent=demand.sent)
            bucket.holder_by_entry[entry_id] = holder
        bucket.take(max(0, demand.sent - holder.sent - holder.assumed))
        holder.sent = demand.sent
        holder.assumed = 0
        holder.permits = demand.held
        holder.wanted = demand.wanted
        holder.heard_at = now
        return holder

    def _divide(self, bucket: _Bucket, demand: Demand, now: float) -> int:
        """Return an entry's part of the permits that are free.

        It is as large as its part of what all entries want; a fraction is
        granted with that probability.
        """
        free = bucket.level - bucket.unused_permits()
        if free < 1 or demand.wanted <= 0:
            return 0
        part = demand.wanted * min(1.0, free / bucket.count_wanted(now))
        return min(int(part + self._env.random.random()), int(free))
