"""Finds the parts of prompts that crash endpoints, from entries' reports."""

import collections
import collections.abc
import dataclasses

from apricotthread.base import environment
from apricotthread.fleet import crashreports

# A part is guilty after this many crashes without a sound answer between them.
# Sound requests beside a crash rarely see three in a row.
CRASHES_FOR_GUILT = 3
# More are needed for a part that was in sound answers before, and for one of
# most requests, as all of them fail when endpoints crash for another reason.
# A part of which both is true is never guilty.
CRASHES_FOR_GUILT_KNOWN = 5
COMMON_SHARE = 0.5
MIN_REQUESTS = 20  # for fewer, a share says little
REPORT_VALID_S = 2.0  # entries report twice a second
# Crashes closer together count as one, by the share of them that had a part:
# a rack or a domain that fails takes several endpoints at once, a request only
# its own.
SAME_MOMENT_S = 0.1
# After the last crash that is needed, every entry reports its sound answers,
# which takes two of its report periods.
SETTLE_S = 0.7
WATCHED_S = 1.2
# While another part explains nearly as many crashes, sound answers are waited
# for that clear one of the two.
RIVAL_SHARE = 0.9
MAX_WAIT_FOR_RIVALS_S = 1.0
CRASH_MAX_AGE_S = 600.0
# Bounds of memory and of messages.
MAX_CRASHES = 128
MAX_PARTS_OF_CRASH = 64
MAX_WATCHED = 64
MAX_SOUND_PARTS = 512

NEVER = float('-inf')


@dataclasses.dataclass(kw_only=True)
class _KnownCrash:
    """A crash with the parts that no sound answer has cleared since."""

    at: float
    position_by_part: dict[str, int]


@dataclasses.dataclass(kw_only=True)
class Suspect:
    """A part that may have caused crashes.

    `weight` is the number of crashes that it explains, `weights` that number
    after each of them, with its time. `was_sound` is true if it was in a sound
    answer before, and `is_common` if most of the recent requests have it. The
    `rivals` are the parts that explain nearly as many crashes.
    """

    part: str
    position: int = 0
    weight: float = 0.0
    weights: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    was_sound: bool = False
    is_common: bool = False
    rivals: tuple[str, ...] = ()

    def add(self, at: float, share: float, position: int) -> None:
        """Count the share of the crashes of a moment that had the part."""
        self.position = max(self.position, position)
        self.weight += share
        self.weights.append((at, self.weight))

    @property
    def proven_at(self) -> float | None:
        """When enough crashes spoke against the part, None if too few do."""
        if self.was_sound and self.is_common:
            return None
        needed = CRASHES_FOR_GUILT
        if self.was_sound or self.is_common:
            needed = CRASHES_FOR_GUILT_KNOWN
        return next(
            (at for at, weight in self.weights if weight >= needed), None
        )


class CrashAnalysis:
    """Collects the reports of entries and concludes which parts are guilty.

    A sound answer clears its parts of all earlier crashes. `watched` has the
    parts of which entries are to report what they know.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._crash_by_key: collections.OrderedDict[
            tuple[str, int], _KnownCrash
        ] = collections.OrderedDict()
        # Crashes that entries still report, but that count no longer.
        self._dropped_keys: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._sound_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._report_by_entry: dict[
            str, tuple[float, crashreports.CrashReport]
        ] = {}
        self._watched_since_by_part: dict[str, float] = {}

    @property
    def watched(self) -> tuple[str, ...]:
        """The parts of which entries are to report what they know."""
        return tuple(self._watched_since_by_part)

    def clear(self) -> None:
        """Forget everything."""
        self._crash_by_key.clear()
        self._dropped_keys.clear()
        self._sound_at_by_part.clear()
        self._report_by_entry.clear()
        self._watched_since_by_part.clear()

    # Evidence

    def take(
        self, entry_id: str, report: crashreports.CrashReport
    ) -> list[str]:
        """Take in the report of an entry; return parts with sound answers."""
        now = self._env.timer.now()
        if report.sighting_by_part:
            self._report_by_entry[entry_id] = (now, report)
        for crash in report.crashes:
            self._take_crash(crash, now - crash.age_s)
        return [
            part
            for part, sighting in report.sighting_by_part.items()
            if sighting.sound_age_s is not None
            and self.note_sound(part, now - sighting.sound_age_s)
        ]

    def _take_crash(self, crash: crashreports.Crash, at: float) -> None:
        """Store a crash, or add what another entry saw of it."""
        key = (crash.endpoint_id, crash.born_ms)
        if key in self._dropped_keys:
            return
        known = self._crash_by_key.get(key)
        if known is not None:
            at = known.at
        position_by_part = {
            part: position
            for part, position in crash.position_by_part.items()
            if self.sound_at(part) < at
        }
        if known is None and position_by_part:
            known = _KnownCrash(at=at, position_by_part={})
            self._crash_by_key[key] = known
            while len(self._crash_by_key) > MAX_CRASHES:
                self._crash_by_key.popitem(last=False)
        for part, position in position_by_part.items():
            if len(known.position_by_part) >= MAX_PARTS_OF_CRASH:
                break
            known.position_by_part[part] = max(
                position, known.position_by_part.get(part, 0)
            )

    def note_sound(self, part: str, at: float) -> bool:
        """Clear a part of the crashes before a sound answer; whether new."""
        if at <= self.sound_at(part):
            return False
        self._sound_at_by_part[part] = at
        self._sound_at_by_part.move_to_end(part)
        while len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            self._sound_at_by_part.popitem(last=False)
        for crash in self._crash_by_key.values():
            if crash.at <= at:
                crash.position_by_part.pop(part, None)
        return True

    def drop_crashes_with(self, part: str) -> None:
        """Forget the crashes that a part has explained until now."""
        for key, crash in list(self._crash_by_key.items()):
            if part in crash.position_by_part:
                del self._crash_by_key[key]
                self._dropped_keys[key] = None
        while len(self._dropped_keys) > MAX_CRASHES:
            self._dropped_keys.popitem(last=False)

    def sound_at(self, part: str) -> float:
        """Return when a part was last in a sound answer, NEVER if unknown."""
        return self._sound_at_by_part.get(part, NEVER)

    def forget_old(self) -> None:
        """Forget reports and crashes that say nothing any more."""
        now = self._env.timer.now()
        for entry_id, (at, _) in list(self._report_by_entry.items()):
            if now - at > REPORT_VALID_S:
                del self._report_by_entry[entry_id]
        for key, crash in list(self._crash_by_key.items()):
            if now - crash.at > CRASH_MAX_AGE_S or not crash.position_by_part:
                del self._crash_by_key[key]

    # Conclusions

    def find_crashes_with(
        self, part: str, *, after: float
    ) -> list[frozenset[str]]:
        """Return the parts of the later crashes that a part was in."""
        return [
            frozenset(crash.position_by_part)
            for crash in self._crash_by_key.values()
            if crash.at > after and part in crash.position_by_part
        ]

    def find_guilty(
        self,
        *,
        explaining: collections.abc.Container[str],
        always_watched: collections.abc.Iterable[str] = (),
    ) -> Suspect | None:
        """Return the part that most likely crashes endpoints, if any does.

        Crashes with a part that is `explaining` count for no other one.
        """
        suspects = self._find_suspects(explaining)
        self._watch(suspects, always_watched)
        for suspect in suspects:
            suspect.was_sound = suspect.part in self._sound_at_by_part
            suspect.is_common = self._is_common(suspect.part)
        candidates = [s for s in suspects if self._is_proven(s)]
        if not candidates:
            return None
        guilty = max(candidates, key=_rank)
        guilty.rivals = tuple(
            suspect.part
            for suspect in suspects
            if suspect is not guilty
            and suspect.was_sound == guilty.was_sound
            and suspect.weight >= RIVAL_SHARE * guilty.weight
        )
        waited_s = self._env.timer.now() - guilty.proven_at
        if guilty.rivals and waited_s < SETTLE_S + MAX_WAIT_FOR_RIVALS_S:
            return None
        return guilty

    def _find_suspects(
        self, explaining: collections.abc.Container[str]
    ) -> list[Suspect]:
        """Return the parts of the crashes that no known part explains."""
        suspect_by_part: dict[str, Suspect] = {}
        for crashes in self._group_by_moment(explaining):
            position_by_part: dict[str, int] = {}
            count_by_part = collections.Counter()
            for crash in crashes:
                count_by_part.update(crash.position_by_part.keys())
                position_by_part.update(crash.position_by_part)
            for part, count in count_by_part.items():
                suspect_by_part.setdefault(part, Suspect(part=part)).add(
                    crashes[-1].at,
                    count / len(crashes),
                    position_by_part[part],
                )
        return list(suspect_by_part.values())

    def _group_by_moment(
        self, explaining: collections.abc.Container[str]
    ) -> list[list[_KnownCrash]]:
        """Return the unexplained crashes in the order of time, by moment."""
        moments: list[list[_KnownCrash]] = []
        for crash in sorted(self._crash_by_key.values(), key=lambda c: c.at):
            if any(part in explaining for part in crash.position_by_part):
                continue
            if moments and crash.at - moments[-1][0].at < SAME_MOMENT_S:
                moments[-1].append(crash)
            else:
                moments.append([crash])
        return moments

    def _watch(
        self,
        suspects: list[Suspect],
        always_watched: collections.abc.Iterable[str],
    ) -> None:
        """Have entries report on the parts with the most crashes."""
        ranked = sorted(
            suspects,
            key=lambda s: (s.weight, s.weights[-1]),
            reverse=True,
        )
        parts = [*always_watched, *(s.part for s in ranked)][:MAX_WATCHED]
        known = self._watched_since_by_part
        now = self._env.timer.now()
        self._watched_since_by_part = {
            part: known.get(part, now) for part in parts
        }

    def _is_common(self, part: str) -> bool:
        """Whether most of the entries' recent requests have a part."""
        with_part = 0
        requests = 0
        for _, report in self._report_by_entry.values():
            sighting = report.sighting_by_part.get(part)
            with_part += sighting.requests if sighting is not None else 0
            requests += report.recent_requests
        return requests >= MIN_REQUESTS and with_part > COMMON_SHARE * requests

    def _is_proven(self, suspect: Suspect) -> bool:
        """Whether enough crashes speak against a part, and nothing for it."""
        now = self._env.timer.now()
        watched_since = self._watched_since_by_part.get(suspect.part, now)
        return (
            suspect.proven_at is not None
            and now - suspect.proven_at >= SETTLE_S
            and now - watched_since >= WATCHED_S
        )


def _rank(suspect: Suspect) -> tuple[bool, float, int, str]:
    """Return the key that is greatest for the most likely cause.

    With as many crashes, a part that comes later in prompts is more likely,
    as fewer other requests have it.
    """
    return (
        not suspect.was_sound,
        suspect.weight,
        suspect.position,
        suspect.part,
    )
