"""Leases of entries on equal shares of bounds that all of them hold together.

A bound on what happens within a window of time, such as the retries of a
service, is divided among the entries. The leader counts the entries and grants
each a lease on its share. An entry without a lease has no share.

The shares in use sum to the bound at most, as

- the leader counts an entry from its first report until nothing that the entry
  did can lie in a window with what happens now,
- an entry uses its share only once all leases that do not allow for it have
  expired, and what was done under them has left the window,
- a new leader does the same for the entries that its predecessor counted: it
  keeps to the shares that entries still hold until it has counted for as long.

Clocks need not agree; they must run at about the same speed.
"""

import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs

# Longer than an election, so that shares outlast the loss of a leader.
LEASE_S = 3.0


class ShareClaim(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an entry reports of its share; without a lease `entries` is 0.

    `incarnation` differs with each start of the entry. `entries` is the
    number that share the bounds, and `held_s` for how long, in seconds, the
    entry has been one of them.
    """

    incarnation: str = ''
    entries: int = 0
    held_s: float = 0.0


class ShareGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The leader's answer to a claim, which holds for LEASE_S.

    The lease starts when the claim was sent. The fields are those of a claim.
    """

    entries: int
    held_s: float


_GRANT_DECODER = msgspec.msgpack.Decoder(ShareGrant)


def encode_grant(grant: ShareGrant) -> bytes:
    """Return a grant as MessagePack."""
    return msgspec.msgpack.encode(grant)


def decode_grant(payload: bytes) -> ShareGrant:
    """Return the grant in the bytes; raises msgspec.DecodeError."""
    return _GRANT_DECODER.decode(payload)


@dataclasses.dataclass(kw_only=True)
class _Holder:
    """An entry that the leader counts, in seconds of the timer."""

    incarnation: str
    counted_since: float
    heard_at: float


class ShareRegistry:
    """Grants the entries their shares while this node leads.

    `longest_window_s` is the longest window of any bound that is shared.
    """

    def __init__(
        self, *, env: environment.Environment, longest_window_s: float
    ) -> None:
        self._env = env
        self._kept_s = LEASE_S + longest_window_s
        self._leader_since = float('-inf')
        self._holder_by_id: dict[str, _Holder] = {}
        self._claimed_entries = 0

    def grant(
        self, entry_id: str, claim: ShareClaim, *, leader_since: float
    ) -> ShareGrant:
        """Count an entry that has just reported, and renew its lease.

        `leader_since` is the time at which this node began to lead. The
        caller makes sure that no other node leads.
        """
        now = self._env.timer.now()
        if leader_since != self._leader_since:
            self._leader_since = leader_since
            self._holder_by_id.clear()
            self._claimed_entries = 0
        if now - leader_since < self._kept_s:
            self._claimed_entries = max(self._claimed_entries, claim.entries)
        else:
            self._claimed_entries = 0
        holder = self._holder_by_id.get(entry_id)
        if holder is None or holder.incarnation != claim.incarnation:
            holder = _Holder(
                incarnation=claim.incarnation,
                counted_since=now - self._accepted_held_s(claim, now),
                heard_at=now,
            )
            self._holder_by_id[entry_id] = holder
            logs.log_event(
                'share_holder_found',
                entry=entry_id,
                incarnation=claim.incarnation,
                held_s=now - holder.counted_since,
                entries=len(self._holder_by_id),
            )
        holder.heard_at = now
        self._drop_expired(now)
        return ShareGrant(
            entries=max(len(self._holder_by_id), self._claimed_entries),
            held_s=now - holder.counted_since,
        )

    def _accepted_held_s(self, claim: ShareClaim, now: float) -> float:
        """Return for how long a predecessor has counted an entry.

        Its leases have expired after LEASE_S. An entry that it had not
        counted for long enough to use its share is counted anew, as others
        may hold leases that do not allow for it.
        """
        is_held = claim.entries > 0 and claim.held_s >= self._kept_s
        if is_held and now - self._leader_since < LEASE_S:
            return claim.held_s
        return 0.0

    def _drop_expired(self, now: float) -> None:
        for entry_id, holder in list(self._holder_by_id.items()):
            if now - holder.heard_at > self._kept_s:
                del self._holder_by_id[entry_id]
                logs.log_event(
                    'share_holder_dropped',
                    entry=entry_id,
                    incarnation=holder.incarnation,
                    entries=len(self._holder_by_id),
                )


class ShareHolder:
    """The lease of one entry on its share, and for how long it has had it."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._incarnation = env.new_id()
        self._entries = 0
        self._held_since = float('inf')
        self._expires_at = float('-inf')

    @property
    def entries(self) -> int:
        """How many entries share the bounds, 0 without a lease."""
        return self._entries if self._is_valid() else 0

    def _is_valid(self) -> bool:
        return self._env.timer.now() < self._expires_at

    def make_claim(self) -> ShareClaim:
        """Return what this entry holds, for a report to the leader."""
        if not self._is_valid():
            if self._entries:
                logs.log_event('share_lost', entries=self._entries)
                self._entries = 0
            return ShareClaim(incarnation=self._incarnation)
        return ShareClaim(
            incarnation=self._incarnation,
            entries=self._entries,
            held_s=self._env.timer.now() - self._held_since,
        )

    def apply(self, grant: ShareGrant, *, sent_at: float) -> None:
        """Take a lease for a claim that was sent at a time of the timer."""
        if grant.entries != self._entries:
            logs.log_event(
                'share_changed',
                before=self._entries,
                entries=grant.entries,
                held_s=grant.held_s,
            )
        self._entries = grant.entries
        self._held_since = self._env.timer.now() - grant.held_s
        self._expires_at = sent_at + LEASE_S

    def fraction(self, window_s: float) -> float:
        """Return the share of a bound on a window of this length.

        From 0 to 1; 0 while this entry may not use its share.
        """
        now = self._env.timer.now()
        if not self._is_valid() or now - self._held_since < LEASE_S + window_s:
            return 0.0
        return 1 / self._entries
