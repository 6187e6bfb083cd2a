"""Directory of the endpoints that announce themselves to control nodes."""

import collections.abc
import dataclasses
import enum

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs

MAX_CHECK_INTERVAL_S = 0.5  # a longer interval means the process was paused
FORGET_GONE_AFTER_S = 60.0  # late announcements arrive within seconds


class MemberState(enum.Enum):
    """The state that an engine VM announces for its group membership."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


class GroupPlace(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The group that an engine VM says it belongs to, and its rank there."""

    group_id: str
    epoch: int
    rank: int
    state: MemberState


class Announcement(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The state that an endpoint announces of itself.

    `born_ms` is the start of the endpoint in Unix ms, so a restart has a
    greater one. `sequence` grows with each announcement of one start.
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
    def order_key(self) -> tuple[int, int]:
        """The key that is greater in a later announcement."""
        return (self.born_ms, self.sequence)


class Heard(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An announcement, and how long ago a control node received it.

    An endpoint is `gone` when it has said that it leaves at once, or when
    an endpoint that started later has its address.
    """

    announcement: Announcement
    age_s: float
    gone: bool = False


@dataclasses.dataclass(kw_only=True)
class EndpointRecord:
    """The state of one endpoint in the directory.

    `heard_at` is the time of the newest announcement in seconds of the
    timer, `revision` the directory revision of the last change.
    """

    announcement: Announcement
    heard_at: float
    gone: bool = False
    revision: int = 0
    lost: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Tenure:
    """The endpoint with the latest start of all that had an address."""

    endpoint_id: str
    born_ms: int


class Directory:
    """Stores the newest announcement of each endpoint.

    A forged, late or reordered announcement never replaces a newer one.
    Each change raises the revision, so that subscribers can be sent only
    what has changed since the revision they have.
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
        self._tenure_by_address: dict[str, _Tenure] = {}
        # When an endpoint last said that it was there. For some time after
        # that, announcements of those before it may still come.
        self._noted_at_by_address: dict[str, float] = {}
        self._forgot_at = float('-inf')

    def apply(self, heard: Heard) -> bool:
        """Store an announcement; return whether it says anything new."""
        has_superseded = self._note_start(heard.announcement)
        return self._store(heard) or has_superseded

    def _store(self, heard: Heard) -> bool:
        announced = heard.announcement
        heard_at = self._env.timer.now() - heard.age_s
        stored = self.record_by_id.get(announced.endpoint_id)
        if stored is None:
            return self._add(heard, heard_at)
        old = stored.announcement
        if heard.gone and announced.born_ms == old.born_ms:
            return self._mark_gone(stored, announced)
        if announced.order_key <= old.order_key:
            return announced.leaving and self._mark_leaving(
                stored, announced.born_ms
            )
        if announced.born_ms == old.born_ms and stored.gone:
            return self._complete_gone(stored, announced)
        if old.leaving and announced.born_ms == old.born_ms:
            # An answer may have said so before the announcements do.
            announced = msgspec.structs.replace(announced, leaving=True)
        changed = stored.lost or _has_changed(announced, old)
        if announced.born_ms == old.born_ms and (
            announced.address != old.address
        ):
            self._forget_start(old)
        stored.announcement = announced
        stored.heard_at = max(stored.heard_at, heard_at)
        stored.lost = False
        is_superseded = self._is_superseded(announced)
        if announced.born_ms > old.born_ms:
            stored.gone = False
            self._record_change(
                stored, 'endpoint_restarted', gone=heard.gone or is_superseded
            )
        elif changed:
            self._record_change(stored, 'endpoint_changed', gone=is_superseded)
        return True

    def _add(self, heard: Heard, heard_at: float) -> bool:
        """Store the first announcement of an endpoint if it is of use."""
        announced = heard.announcement
        if self._is_superseded(announced):
            logs.log_event(
                'announcement_superseded',
                endpoint=announced.endpoint_id,
                address=announced.address,
            )
            return False
        record = EndpointRecord(announcement=announced, heard_at=heard_at)
        self.record_by_id[announced.endpoint_id] = record
        self._record_change(record, 'endpoint_found', gone=heard.gone)
        return True

    def _mark_gone(
        self, stored: EndpointRecord, announced: Announcement
    ) -> bool:
        if stored.gone:
            return False
        if announced.order_key > stored.announcement.order_key:
            stored.announcement = announced
        self._record_change(stored, 'endpoint_gone', gone=True)
        return True

    def _complete_gone(
        self, stored: EndpointRecord, announced: Announcement
    ) -> bool:
        """Store what an endpoint was whose farewell came first."""
        if stored.announcement.address:
            return False
        stored.announcement = announced
        self._record_change(stored, 'endpoint_gone', gone=True)
        return True

    def _mark_leaving(self, stored: EndpointRecord, born_ms: int) -> bool:
        """Mark an incarnation as leaving; return whether that is news."""
        old = stored.announcement
        if old.born_ms != born_ms or old.leaving or stored.gone:
            return False
        stored.announcement = msgspec.structs.replace(old, leaving=True)
        self._record_change(stored, 'endpoint_leaving')
        return True

    def _is_superseded(self, announced: Announcement) -> bool:
        """Whether an endpoint that started later has, or had, the address."""
        tenure = self._tenure_by_address.get(announced.address)
        return tenure is not None and tenure.born_ms > announced.born_ms

    def _note_start(self, announced: Announcement) -> bool:
        """Mark an endpoint that had the address before as gone.

        Late announcements tell of that, too. Return whether there was one.
        """
        address = announced.address
        if not address:
            return False
        tenure = self._tenure_by_address.get(address)
        if tenure is not None and (
            tenure.born_ms > announced.born_ms
            or tenure.born_ms == announced.born_ms
            and announced.endpoint_id in self.record_by_id
        ):
            if tenure.endpoint_id == announced.endpoint_id:
                self._noted_at_by_address[address] = self._env.timer.now()
            return False
        self._noted_at_by_address[address] = self._env.timer.now()
        self._tenure_by_address[address] = _Tenure(
            endpoint_id=announced.endpoint_id, born_ms=announced.born_ms
        )
        if tenure is None or tenure.endpoint_id == announced.endpoint_id:
            return False
        former = self.record_by_id.get(tenure.endpoint_id)
        # One that has started again is not gone.
        if (
            former is None
            or former.gone
            or former.announcement.address != address
            or former.announcement.born_ms > tenure.born_ms
        ):
            return False
        self._record_change(former, 'endpoint_superseded', gone=True)
        return True

    def _forget_start(self, announced: Announcement) -> None:
        """Forget that an endpoint was at its address."""
        tenure = self._tenure_by_address.get(announced.address)
        if tenure is not None and (
            tenure.endpoint_id == announced.endpoint_id
        ):
            del self._tenure_by_address[announced.address]
            del self._noted_at_by_address[announced.address]

    def _record_change(
        self, record: EndpointRecord, event: str, *, gone: bool = False
    ) -> None:
        """Give a change the next revision, log it and report it."""
        record.gone = record.gone or gone
        self.revision += 1
        record.revision = self.revision
        announced = record.announcement
        place = announced.place
        logs.log_event(
            event,
            endpoint=announced.endpoint_id,
            born_ms=announced.born_ms,
            sequence=announced.sequence,
            leaving=announced.leaving,
            gone=record.gone,
            cold_s=announced.cold_s,
            group=place.group_id if place else '',
            epoch=place.epoch if place else 0,
            member_state=place.state.value if place else '',
        )
        self._on_change()

    def leave(self, endpoint_id: str, born_ms: int) -> Heard | None:
        """Mark an endpoint as gone because it says that it leaves.

        `born_ms` is the start that ends, 0 if the endpoint does not say it:
        then the one that is known. A start of which nothing has been heard
        here is stored as gone, as its announcements may be late, or known to
        another control node.

        Return its state to forward, None if it has started again since.
        """
        stored = self.record_by_id.get(endpoint_id)
        if stored is None and not born_ms:
            return None
        if stored is not None:
            known_ms = stored.announcement.born_ms
            if born_ms and born_ms < known_ms:
                return None
            if not born_ms or born_ms == known_ms:
                self._mark_gone(stored, stored.announcement)
                return self.describe(stored)
        # Nothing is known of this start but its end, so it has no address.
        ended = Heard(
            announcement=Announcement(
                endpoint_id=endpoint_id,
                service='',
                address='',
                data_centre='',
                born_ms=born_ms,
                sequence=0,
                slots=0,
            ),
            age_s=0.0,
            gone=True,
        )
        self.apply(ended)
        return ended

    def note_leaving(self, endpoint_id: str, born_ms: int) -> Heard | None:
        """Mark an incarnation as leaving, as it said so in an answer.

        It stays so, whatever it announces. Return its state to forward, None
        if it is unknown or that is no news.
        """
        stored = self.record_by_id.get(endpoint_id)
        if stored is None or not self._mark_leaving(stored, born_ms):
            return None
        return self.describe(stored)

    def find_lost(self) -> None:
        """Mark endpoints as lost after `lost_after_s` without announcement.

        Gone and lost endpoints are removed after FORGET_GONE_AFTER_S.
        """
        now = self._env.timer.now()
        self._discount_pause(now)
        for endpoint_id, record in list(self.record_by_id.items()):
            silent_s = now - record.heard_at
            if silent_s > self._lost_after_s and not record.lost:
                record.lost = True
                self._record_change(record, 'endpoint_lost')
            if silent_s > FORGET_GONE_AFTER_S and (record.gone or record.lost):
                del self.record_by_id[endpoint_id]
                self._forget_start(record.announcement)
        if now - self._forgot_at > FORGET_GONE_AFTER_S:
            self._forgot_at = now
            for address, noted_at in list(self._noted_at_by_address.items()):
                if now - noted_at > FORGET_GONE_AFTER_S:
                    del self._noted_at_by_address[address]
                    del self._tenure_by_address[address]

    def _discount_pause(self, now: float) -> None:
        """Do not count a pause of this node as silence of the endpoints."""
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is None or now - last_check_at < MAX_CHECK_INTERVAL_S:
            return
        for record in self.record_by_id.values():
            record.heard_at += now - last_check_at

    def mark_silent(self, endpoint_id: str) -> None:
        """Mark an endpoint as lost because it does not answer probes."""
        record = self.record_by_id.get(endpoint_id)
        if record is not None and not record.lost:
            record.lost = True
            self._record_change(record, 'endpoint_silent')

    def changes_since(self, revision: int) -> list[tuple[Heard, bool]]:
        """Return the endpoints changed after a revision.

        The flag next to each endpoint says whether it is lost.
        """
        return [
            (self.describe(record), record.lost)
            for record in self.record_by_id.values()
            if record.revision > revision
        ]

    def describe(self, record: EndpointRecord) -> Heard:
        """Return an endpoint's newest announcement, with its age."""
        return Heard(
            announcement=record.announcement,
            age_s=self._age_s(record),
            gone=record.gone,
        )

    def _age_s(self, record: EndpointRecord) -> float:
        return max(0.0, self._env.timer.now() - record.heard_at)


def _has_changed(new: Announcement, old: Announcement) -> bool:
    """Whether more has changed than the sequence and a falling cold time.

    The cold time shrinks with each announcement while an endpoint warms
    up. It counts as a change if it rises or reaches 0.
    """
    return (
        msgspec.structs.replace(new, sequence=old.sequence, cold_s=old.cold_s)
        != old
        or (new.cold_s > 0) != (old.cold_s > 0)
        or new.cold_s > old.cold_s
    )
