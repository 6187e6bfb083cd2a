"""Observes which prompts endpoints were answering when they crashed."""

import asyncio
import collections
import collections.abc
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.endpoints import connections
from apricotthread.fleet import crashanalysis
from apricotthread.fleet import crashreports
from apricotthread.fleet import quarantine
from apricotthread.fleet import view

# An engine crashes as it begins to write an answer: a request is suspected
# until so many of its events have come, or all.
SOUND_EVENTS = 8
# A short answer may be whole just before its engine crashes under it.
WHOLE_SETTLE_S = 0.3
# A crashed endpoint refuses connections, or a later start of it announces
# itself within this time.
CONFIRM_S = 4.0
CONFIRM_PERIOD_S = 0.25
CONNECT_CHECKS = 2
CONNECT_TIMEOUT_S = 0.5  # a VM that is up answers within milliseconds
REPORTED_S = 10.0  # so that a new leader learns of recent crashes as well
CUT_OFF_AFTER_S = 1.5  # three report periods without a reply of the leader
# Entries report faster for this time after a crash, so that a conclusion has
# all evidence and reaches them sooner.
ALERT_S = 5.0
# While a part is on probation, an entry sends one request with it, and no
# other within this time unless its answer is sound.
PROBE_S = 3.0
# Bounds of memory.
MAX_CRASHES = 32
MAX_SOUND_PARTS = 4096
MAX_RECENT_REQUESTS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Member:
    """An endpoint that an answer depends on, as it was when it began."""

    endpoint_id: str
    born_ms: int
    address: str


@dataclasses.dataclass(kw_only=True, eq=False)
class Exposure:
    """An attempt during which a replica is exposed to a prompt."""

    members: tuple[_Member, ...]
    parts: tuple[str, ...]
    events: int = 0
    is_sound: bool = False


@dataclasses.dataclass(kw_only=True)
class _Suspicion:
    """A replica that broke answers off, and the parts of their prompts."""

    at: float
    members: tuple[_Member, ...]
    position_by_part: dict[str, int] = dataclasses.field(default_factory=dict)
    crashed: _Member | None = None

    def add(self, parts: tuple[str, ...]) -> None:
        """Add the parts of a prompt, as far as the bound allows."""
        for position, part in enumerate(parts):
            if len(self.position_by_part) >= crashanalysis.MAX_PARTS_OF_CRASH:
                return
            self.position_by_part[part] = max(
                position, self.position_by_part.get(part, 0)
            )


class ExposureMonitor:
    """Tells crashes from other ends of answers, and reports their prompts.

    `quarantine` has the parts that are kept away. The leader's conclusions
    hold while its replies come; without them, those that the entry draws from
    its own observations are added.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: view.FleetView,
        entry_id: str,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._entry_id = entry_id
        self._on_news: collections.abc.Callable[[], None] = lambda: None
        self._suspicion_by_head: dict[tuple[str, int], _Suspicion] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sound_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._recent_parts: collections.deque[tuple[str, ...]] = (
            collections.deque(maxlen=MAX_RECENT_REQUESTS)
        )
        self._watched: tuple[str, ...] = ()
        self._leader_digest: int | None = None
        self._replied_at = float('-inf')
        self._alert_until = float('-inf')
        self._probe_until_by_part: dict[str, float] = {}
        self.quarantine = quarantine.Quarantine(env=env)

    @property
    def is_alert(self) -> bool:
        """Whether endpoints have crashed lately."""
        return self._env.timer.now() < self._alert_until

    def subscribe(self, on_news: collections.abc.Callable[[], None]) -> None:
        """Have a function called when there is news for the leader."""
        self._on_news = on_news

    def note_request(self, parts: tuple[str, ...]) -> None:
        """Record that a caller's request with a prompt has come."""
        if parts:
            self._recent_parts.append(parts)

    def records(self) -> tuple[crashreports.PartRecord, ...]:
        """Return the records of all parts that are known of."""
        return self.quarantine.records()

    def release(self, part: str, *, source: str) -> bool:
        """Release a part for an operator, and tell the leader at once."""
        is_released = self.quarantine.release(part, source=source)
        if is_released:
            self._on_news()
        return is_released

    def find_kept_away(
        self, parts: tuple[str, ...]
    ) -> crashreports.PartRecord | None:
        """Return the record of a part that may not be sent at present."""
        record = self.quarantine.find_quarantined(parts)
        if record is not None or not self._probe_until_by_part:
            return record
        now = self._env.timer.now()
        for record in self.quarantine.find_on_probation(parts):
            probe_until = self._probe_until_by_part.get(record.part, now)
            if now < probe_until:
                return msgspec.structs.replace(
                    record, remaining_s=probe_until - now
                )
        return None

    # Attempts

    def begin(
        self, replica: view.Replica, parts: tuple[str, ...]
    ) -> Exposure | None:
        """Record that a request was sent; None if its prompt has no parts."""
        if not parts:
            return None
        for record in self.quarantine.find_on_probation(parts):
            self._probe_until_by_part[record.part] = (
                self._env.timer.now() + PROBE_S
            )
        return Exposure(
            members=tuple(
                _Member(
                    endpoint_id=endpoint_id,
                    born_ms=known.announced.born_ms,
                    address=known.announced.address,
                )
                for endpoint_id in self._fleet.member_ids(replica)
                if (known := self._fleet.endpoint_by_id.get(endpoint_id))
            ),
            parts=parts,
        )

    def note_event(self, exposure: Exposure) -> None:
        """Record that an event has come."""
        exposure.events += 1
        if exposure.events == SOUND_EVENTS:
            self._note_sound(exposure)

    def note_whole(self, exposure: Exposure) -> None:
        """Record that an answer is whole, which is sound unless it was short.

        A short one is sound if its endpoint goes on for a moment.
        """
        if exposure.is_sound:
            return
        if exposure.events >= SOUND_EVENTS or not exposure.members:
            self._note_sound(exposure)
        else:
            self._spawn(self._judge_short_answer(exposure))

    async def _judge_short_answer(self, exposure: Exposure) -> None:
        await self._env.timer.sleep(WHOLE_SETTLE_S)
        head = exposure.members[0]
        has_crashed = (
            _make_key(exposure) in self._suspicion_by_head
            or self._has_restarted(head)
            or (
                not set(exposure.parts).isdisjoint(self._watched)
                and await self._is_refused(head.address)
            )
        )
        if has_crashed:
            self.note_broken_off(exposure)
        else:
            self._note_sound(exposure)

    def _spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_sound(self, exposure: Exposure) -> None:
        exposure.is_sound = True
        for part in exposure.parts:
            self._probe_until_by_part.pop(part, None)
            self._sound_at_by_part[part] = self._env.timer.now()
            self._sound_at_by_part.move_to_end(part)
        while len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            self._sound_at_by_part.popitem(last=False)

    def note_broken_off(self, exposure: Exposure) -> None:
        """Record that an answer was broken off, or has stalled.

        An endpoint that had said that it leaves did not crash.
        """
        if (
            exposure.is_sound
            or not exposure.members
            or any(
                self._fleet.is_departing(member.endpoint_id)
                for member in exposure.members
            )
        ):
            return
        key = _make_key(exposure)
        suspicion = self._suspicion_by_head.get(key)
        if suspicion is None:
            suspicion = _Suspicion(
                at=self._env.timer.now(), members=exposure.members
            )
            self._suspicion_by_head[key] = suspicion
            while len(self._suspicion_by_head) > MAX_CRASHES:
                del self._suspicion_by_head[
                    next(iter(self._suspicion_by_head))
                ]
            self._spawn(self._confirm(suspicion))
        suspicion.add(exposure.parts)
        if suspicion.crashed is not None:
            self._on_news()

    # Confirmation of crashes

    async def _confirm(self, suspicion: _Suspicion) -> None:
        """Find out whether an endpoint of a replica has crashed.

        A cut or a reset connection breaks answers off as well, but then
        endpoints accept connections, or nothing answers.
        """
        for check in range(int(CONFIRM_S / CONFIRM_PERIOD_S)):
            for member in suspicion.members:
                if self._has_restarted(member) or (
                    check < CONNECT_CHECKS
                    and await self._is_refused(member.address)
                ):
                    self._note_crash(suspicion, member)
                    return
            await self._env.timer.sleep(CONFIRM_PERIOD_S)
        head = suspicion.members[0]
        self._suspicion_by_head.pop((head.endpoint_id, head.born_ms), None)

    def _has_restarted(self, member: _Member) -> bool:
        known = self._fleet.endpoint_by_id.get(member.endpoint_id)
        return known is not None and (
            known.announced.born_ms > member.born_ms or known.gone
        )

    async def _is_refused(self, address: str) -> bool:
        try:
            connection = await connections.open_connection(
                self._env, address, timeout_s=CONNECT_TIMEOUT_S
            )
        except connections.ConnectionLost as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def _note_crash(self, suspicion: _Suspicion, member: _Member) -> None:
        suspicion.crashed = member
        self._alert_until = self._env.timer.now() + ALERT_S
        self._env.metrics.count('endpoint_crashes')
        logs.log_event(
            'endpoint_crashed',
            endpoint=member.endpoint_id,
            head=suspicion.members[0].endpoint_id,
            prompt_parts=','.join(suspicion.position_by_part),
        )
        self._on_news()

    # Reports to the leader

    def make_report(self) -> crashreports.CrashReport:
        """Return the report to the leader; draw own conclusions without it."""
        now = self._env.timer.now()
        for part, probe_until in list(self._probe_until_by_part.items()):
            if now >= probe_until:
                del self._probe_until_by_part[part]
        for key, suspicion in list(self._suspicion_by_head.items()):
            if now - suspicion.at > REPORTED_S:
                del self._suspicion_by_head[key]
        crashes = tuple(
            crashreports.Crash(
                endpoint_id=suspicion.crashed.endpoint_id,
                born_ms=suspicion.crashed.born_ms,
                age_s=now - suspicion.at,
                position_by_part=suspicion.position_by_part,
            )
            for suspicion in self._suspicion_by_head.values()
            if suspicion.crashed is not None
        )
        report = crashreports.CrashReport(
            digest=self.quarantine.digest,
            recent_requests=len(self._recent_parts),
            crashes=crashes,
            sighting_by_part=self._make_sightings(crashes, now),
            records=self.quarantine.records()
            if self._leader_digest != self.quarantine.digest
            else (),
        )
        if now - self._replied_at > CUT_OFF_AFTER_S:
            self._leader_digest = None
            self.quarantine.take(self._entry_id, report)
            self._watched = self.quarantine.watched
        else:
            self.quarantine.expire()
        return report

    def _make_sightings(
        self, crashes: tuple[crashreports.Crash, ...], now: float
    ) -> dict[str, crashreports.Sighting]:
        parts = dict.fromkeys(self._watched)
        for crash in crashes:
            parts.update(dict.fromkeys(crash.position_by_part))
        if not parts:
            return {}
        count_by_part = collections.Counter(
            part for recent in self._recent_parts for part in recent
        )
        return {
            part: crashreports.Sighting(
                sound_age_s=now - self._sound_at_by_part[part]
                if part in self._sound_at_by_part
                else None,
                requests=count_by_part[part],
            )
            for part in list(parts)[: crashanalysis.MAX_WATCHED]
        }

    def apply_reply(self, reply: crashreports.QuarantineReply) -> None:
        """Take over the leader's conclusions."""
        self._replied_at = self._env.timer.now()
        if reply.records or reply.watched != self._watched:
            self._alert_until = self._replied_at + ALERT_S
        self._leader_digest = reply.digest
        self._watched = reply.watched
        self.quarantine.merge(reply.records)


def _make_key(exposure: Exposure) -> tuple[str, int]:
    """Return the head of an exposure's replica, and when it was started."""
    head = exposure.members[0]
    return head.endpoint_id, head.born_ms
