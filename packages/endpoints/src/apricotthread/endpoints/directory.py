"""Endpoints that announce themselves to control nodes."""

import collections.abc
import dataclasses
import enum

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs

MAX_CHECK_INTERVAL_S = 0.5  # between two looks, unless the process was held up
FORGET_GONE_AFTER_S = 60.0  # late announcements come within seconds


class MemberState(enum.Enum):
    """What an engine VM says of its place in its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


class GroupPlace(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The group that an engine VM says it belongs to."""

    group_id: str
    epoch: int
    rank: int
    state: MemberState


class Announcement(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an endpoint says of itself.

    A later start of an endpoint has a greater birth time, a later
    announcement of one start a greater sequence number.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    born_ms: int
    sequence: int
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    fabric_domain: str = ''
    models: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    place: GroupPlace | None = None

    @property
    def order(self) -> tuple[int, int]:
        """By which a later announcement of the endpoint is told."""
        return (self.born_ms, self.sequence)


class Heard(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An announcement, and how long ago a control node heard it.

    An endpoint that said it leaves at once is gone.
    """

    announcement: Announcement
    age_s: float
    gone: bool = False


@dataclasses.dataclass(kw_only=True)
class EndpointRecord:
    """An endpoint as this node knows it."""

    announcement: Announcement
    heard_at: float
    gone: bool = False
    revision: int = 0
    lost: bool = False


class Directory:
    """The newest announcement of every endpoint.

    A forged, late or reordered announcement never replaces a newer one.
    Each change has a revision, so that subscribers get differences.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        lost_after_s: float,
        on_change: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._env = env
        self._lost_after_s = lost_after_s
        self._on_change = on_change
        self._last_check_at: float | None = None
        self.revision = 0
        self.record_by_id: dict[str, EndpointRecord] = {}
        self.id_by_address: dict[str, str] = {}

    def apply(self, heard: Heard) -> bool:
        """Keep an announcement if it is news; return whether it is."""
        told = heard.announcement
        heard_at = self._env.timer.now() - heard.age_s
        known = self.record_by_id.get(told.endpoint_id)
        if known is None and self._is_superseded(told):
            logs.log_event(
                'announcement_superseded',
                endpoint=told.endpoint_id,
                address=told.address,
            )
            return False
        if known is None:
            known = EndpointRecord(announcement=told, heard_at=heard_at)
            self.record_by_id[told.endpoint_id] = known
            self._record_change(known, 'endpoint_found', gone=heard.gone)
            self._supersede(told)
            return True
        old = known.announcement
        if heard.gone and told.born_ms == old.born_ms:
            return self._mark_gone(known, told)
        if told.order <= old.order:
            return False
        if told.born_ms == old.born_ms and known.gone:
            return False
        changed = known.lost or _differs(told, old)
        known.announcement = told
        known.heard_at = max(known.heard_at, heard_at)
        known.lost = False
        if told.born_ms > old.born_ms:
            known.gone = heard.gone
            self._record_change(known, 'endpoint_restarted', gone=heard.gone)
            self._supersede(told)
        elif changed:
            self._record_change(known, 'endpoint_changed')
        return True

    def _mark_gone(self, known: EndpointRecord, told: Announcement) -> bool:
        if known.gone:
            return False
        if told.order > known.announcement.order:
            known.announcement = told
        self._record_change(known, 'endpoint_gone', gone=True)
        return True

    def _is_superseded(self, told: Announcement) -> bool:
        """Whether a younger endpoint has the address."""
        holder = self.record_by_id.get(
            self.id_by_address.get(told.address, '')
        )
        return (
            holder is not None and holder.announcement.born_ms > told.born_ms
        )

    def _supersede(self, told: Announcement) -> None:
        """Take the endpoint that had the address before for gone."""
        holder_id = self.id_by_address.get(told.address, told.endpoint_id)
        self.id_by_address[told.address] = told.endpoint_id
        holder = self.record_by_id.get(holder_id)
        if holder is None or holder_id == told.endpoint_id or holder.gone:
            return
        self._record_change(holder, 'endpoint_superseded', gone=True)

    def _record_change(
        self, record: EndpointRecord, event: str, *, gone: bool = False
    ) -> None:
        """Count a change, and log what was heard."""
        record.gone = record.gone or gone
        self.revision += 1
        record.revision = self.revision
        told = record.announcement
        place = told.place
        logs.log_event(
            event,
            endpoint=told.endpoint_id,
            born_ms=told.born_ms,
            sequence=told.sequence,
            leaving=told.leaving,
            gone=record.gone,
            cold_s=told.cold_s,
            group=place.group_id if place else '',
            epoch=place.epoch if place else 0,
            member_state=place.state.value if place else '',
        )
        self._on_change()

    def leave(self, endpoint_id: str) -> Heard | None:
        """Take an endpoint that says it leaves for gone, if it is known."""
        known = self.record_by_id.get(endpoint_id)
        if known is None:
            return None
        self._mark_gone(known, known.announcement)
        return Heard(
            announcement=known.announcement,
            age_s=self._age_s(known),
            gone=True,
        )

    def find_lost(self) -> None:
        """Mark the endpoints that have been silent for too long."""
        now = self._env.timer.now()
        self._discount_pause(now)
        for endpoint_id, record in list(self.record_by_id.items()):
            silent_s = now - record.heard_at
            if silent_s > self._lost_after_s and not record.lost:
                record.lost = True
                self._record_change(record, 'endpoint_lost')
            if silent_s > FORGET_GONE_AFTER_S and (record.gone or record.lost):
                del self.record_by_id[endpoint_id]
                if (
                    self.id_by_address.get(record.announcement.address)
                    == endpoint_id
                ):
                    del self.id_by_address[record.announcement.address]

    def _discount_pause(self, now: float) -> None:
        """Do not hold it against endpoints when this node stood still."""
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is None or now - last_check_at < MAX_CHECK_INTERVAL_S:
            return
        for record in self.record_by_id.values():
            record.heard_at += now - last_check_at

    def mark_silent(self, endpoint_id: str) -> None:
        """Take an endpoint for lost that does not answer this node."""
        record = self.record_by_id.get(endpoint_id)
        if record is not None and not record.lost:
            record.lost = True
            self._record_change(record, 'endpoint_silent')

    def changes_since(self, revision: int) -> list[tuple[Heard, bool]]:
        """Return what changed after a revision, and who is lost."""
        return [
            (self.describe(record), record.lost)
            for record in self.record_by_id.values()
            if record.revision > revision
        ]

    def describe(self, record: EndpointRecord) -> Heard:
        """Return what was heard of an endpoint, with its age."""
        return Heard(
            announcement=record.announcement,
            age_s=self._age_s(record),
            gone=record.gone,
        )

    def _age_s(self, record: EndpointRecord) -> float:
        return max(0.0, self._env.timer.now() - record.heard_at)


def _differs(new: Announcement, old: Announcement) -> bool:
    """Whether more has changed than sequence and cold time."""
    return (
        msgspec.structs.replace(new, sequence=old.sequence, cold_s=old.cold_s)
        != old
        or (new.cold_s > 0) != (old.cold_s > 0)
        or new.cold_s > old.cold_s
    )
