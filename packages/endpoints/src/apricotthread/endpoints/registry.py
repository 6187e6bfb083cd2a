"""The registry of endpoints that announce themselves to this entry."""

import collections.abc
import dataclasses

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.endpoints import announcements
from apricotthread.endpoints import ramps

SPEED_WEIGHT = 0.2  # weight of the newest sample in the moving average
SUSPENSION_S = 1.0  # an endpoint that failed gets no requests for so long
# An endpoint with a limit gets no more at once than this adds up to, and one.
LIMIT_BURST_S = 1.0
MEMORY_SHARE = 0.9  # share of an endpoint's memory that requests may use


class Endpoint:
    """The state of one endpoint, as known to this entry.

    Only the entry to which an endpoint announces itself dispatches to
    it, so the requests of all entries together never exceed its limit.
    An entry that takes over an endpoint from another entry waits until
    that entry's lease has expired, and counts the requests that the
    endpoint reports as running.

    `now`, `received_at` and `usable_at` are times of the timer, in
    seconds.
    """

    def __init__(
        self,
        *,
        announcement: announcements.Announcement,
        now: float,
        usable_at: float,
        get_now: collections.abc.Callable[[], float],
    ) -> None:
        self._get_now = get_now
        # What it may be sent of its limit; none of what its last entry left.
        self._allowance = 0.0
        self._allowance_at = now
        self.announcement = announcement
        self.received_at = now
        self.usable_at = usable_at
        self.outstanding = 0
        self.reserved_bytes = 0
        self.untracked_requests = announcement.running
        self.seconds_per_token = 0.0
        self._busy_until = now + announcement.busy_s
        self._suspended_until = float('-inf')
        self._suspended_fencing = 0
        self.ramp = ramps.Ramp(
            limit=announcement.max_requests,
            cold_limit=announcement.bear_requests,
            cold=announcement.cold or announcement.sequence == 1,
        )

    @property
    def endpoint_id(self) -> str:
        """The endpoint id from the announcement."""
        return self.announcement.endpoint_id

    def update(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        """Replace the announcement by a newer one."""
        if announcement.incarnation > self.announcement.incarnation:
            logs.log_event(
                'endpoint_restarted', endpoint=announcement.endpoint_id
            )
            self.ramp.restart()
            self._busy_until = now
        # A shorter time does not end a longer one that was announced before.
        self._busy_until = max(self._busy_until, now + announcement.busy_s)
        self._fill_allowance()
        self.announcement = announcement
        self.received_at = now
        self.untracked_requests = max(
            0, announcement.running - self.outstanding
        )
        self.ramp.update(
            limit=announcement.max_requests,
            cold_limit=announcement.bear_requests,
            cold=announcement.cold,
        )

    def suspend(self, now: float) -> None:
        """Send no new requests for SUSPENSION_S after a request failed.

        Announcements report a dead endpoint or a broken group only
        later. A newer fencing number ends the suspension early.
        """
        self.ramp.restart()
        self._suspended_until = now + SUSPENSION_S
        self._suspended_fencing = self.announcement.fencing

    def is_suspended(self, now: float) -> bool:
        """Whether the endpoint gets no new requests because one failed."""
        return (
            now < self._suspended_until
            and self._suspended_fencing == self.announcement.fencing
        )

    def is_busy(self, now: float) -> bool:
        """Whether the endpoint has announced that it wants no requests yet."""
        return now < self._busy_until

    def free_requests(self) -> int:
        """Return how many more requests the endpoint may be sent now.

        The reported load lags behind, so the requests of this entry are
        counted here. The report only adds the others: requests sent by
        an earlier entry, or cancelled requests that have not ended yet.
        """
        free = max(
            0, self.ramp.limit - self.outstanding - self.untracked_requests
        )
        if not self.announcement.limit_per_s:
            return free
        self._fill_allowance()
        return min(free, int(self._allowance))

    def _fill_allowance(self) -> None:
        """Add what the limit has allowed since the last time."""
        now = self._get_now()
        limit_per_s = self.announcement.limit_per_s
        self._allowance = min(
            self._allowance + (now - self._allowance_at) * limit_per_s,
            LIMIT_BURST_S * limit_per_s + 1,
        )
        self._allowance_at = now

    def free_bytes(self) -> int:
        """Return the bytes of memory left for further requests."""
        usable = int(self.announcement.memory_bytes * MEMORY_SHARE)
        return max(0, usable - self.reserved_bytes)

    def can_take(self, max_size: int) -> bool:
        """Whether the endpoint has room for a request of this size.

        `max_size` is the size to which the request may grow, in tokens,
        for a plain service in bytes.
        """
        return self.free_requests() > 0 and (
            not self.announcement.memory_bytes
            or self.free_bytes() >= self._bytes_for(max_size)
        )

    def _bytes_for(self, max_size: int) -> int:
        return max_size * self.announcement.bytes_per_token

    def reserve(self, max_size: int) -> None:
        """Reserve room for a request that is about to be sent."""
        self.outstanding += 1
        self._allowance = max(0.0, self._allowance - 1)
        self.reserved_bytes += self._bytes_for(max_size)

    def release(self, max_size: int) -> None:
        """Release the room of a request that has ended."""
        self.outstanding -= 1
        self.reserved_bytes -= self._bytes_for(max_size)

    def record_speed(self, seconds_per_token: float) -> None:
        """Add the newest answer to the moving average of the speed."""
        if not self.seconds_per_token:
            self.seconds_per_token = seconds_per_token
            return
        self.seconds_per_token += SPEED_WEIGHT * (
            seconds_per_token - self.seconds_per_token
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegistryReply:
    """Whether an announcement was newer than the stored one."""

    accepted: bool


class Registry:
    """Stores the endpoints of this entry by id, and checks their leases."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        lease_s: float,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._env = env
        self._lease_s = lease_s
        self._on_change = on_change
        self.endpoint_by_id: dict[str, Endpoint] = {}

    def announce(
        self, announcement: announcements.Announcement
    ) -> RegistryReply:
        """Store an announcement unless a newer one is already stored.

        An endpoint that is new here is usable at once if this is its
        first announcement, else after the lease of the entry that may
        still dispatch to it.
        """
        now = self._env.timer.now()
        stored = self.endpoint_by_id.get(announcement.endpoint_id)
        if stored is None or not self.is_fresh(stored):
            is_first = announcement.sequence == 1
            wait_s = 0.0 if is_first else self._lease_s
            outstanding = stored.outstanding if stored is not None else 0
            reserved = stored.reserved_bytes if stored is not None else 0
            endpoint = Endpoint(
                announcement=announcement,
                now=now,
                usable_at=now + wait_s,
                get_now=self._env.timer.now,
            )
            endpoint.outstanding = outstanding
            endpoint.reserved_bytes = reserved
            endpoint.untracked_requests = max(
                0, announcement.running - outstanding
            )
            self.endpoint_by_id[announcement.endpoint_id] = endpoint
            logs.log_event(
                'endpoint_announced', endpoint=announcement.endpoint_id
            )
        elif _is_newer(announcement, stored.announcement):
            stored.update(announcement, now)
        else:
            return RegistryReply(accepted=False)
        self._on_change()
        return RegistryReply(accepted=True)

    def is_fresh(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint announced itself within its lease."""
        age_s = self._env.timer.now() - endpoint.received_at
        return age_s <= self._lease_s

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint itself may be sent new requests.

        The state of its group and of its data centre is not considered.
        """
        now = self._env.timer.now()
        return (
            self.is_fresh(endpoint)
            and now >= endpoint.usable_at
            and not endpoint.is_suspended(now)
            and not endpoint.is_busy(now)
            and not endpoint.announcement.leaving
        )

    def age_s(self, endpoint: Endpoint) -> float:
        """Return the seconds since the endpoint's last announcement."""
        return self._env.timer.now() - endpoint.received_at

    def forget_silent(self) -> None:
        """Remove endpoints that are long silent and have no open requests."""
        oldest = self._env.timer.now() - 10 * self._lease_s
        self.endpoint_by_id = {
            name: endpoint
            for name, endpoint in self.endpoint_by_id.items()
            if endpoint.received_at >= oldest or endpoint.outstanding
        }


def _is_newer(
    announcement: announcements.Announcement,
    stored: announcements.Announcement,
) -> bool:
    return (announcement.incarnation, announcement.sequence) > (
        stored.incarnation,
        stored.sequence,
    )
