"""Quarantine of the parts of prompts that crash endpoints.

A request that crashes an engine (a query of death) must not go on to the
next one, nor may the requests that share the part that is the cause. Entries
report the crashes and the sound answers that they see. The leader finds the
parts from the reports of all entries, and an entry that is cut off from it
finds them from its own.
"""

import collections.abc
import dataclasses
import zlib

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.fleet import crashanalysis
from apricotthread.fleet import crashreports

QUARANTINE_S = 300.0
# A part that may be sound after all is tried again soon.
TENTATIVE_QUARANTINE_S = 10.0
MAX_QUARANTINE_S = 3600.0
# After a quarantine one crash is enough for the next, twice as long.
PROBATION_S = 3600.0
# How long a node remembers that a part was released, so that no other node
# can bring the quarantine back.
RELEASED_S = 60.0
EVALUATE_PERIOD_S = 0.1
MAX_RECORDS = 64
STAGES = 4  # of a record between two quarantines


@dataclasses.dataclass(kw_only=True)
class _Record:
    """The condition of a part until a time of the timer."""

    part: str
    condition: crashreports.Condition
    ends_at: float
    since: float
    strikes: int
    crashes: int
    quarantine_s: float
    tentative: bool
    # The parts that may be the cause in its place, as this node knows them.
    rivals: tuple[str, ...] = ()

    @property
    def revision(self) -> int:
        """A number that grows with each change, and is the same everywhere.

        Nodes that end a condition by their own clocks agree on it.
        """
        match self.condition:
            case crashreports.Condition.QUARANTINED:
                stage = 0 if self.tentative else 1
            case crashreports.Condition.ON_PROBATION:
                stage = 2
            case crashreports.Condition.RELEASED:
                stage = 3
        return STAGES * self.strikes + stage

    def export(self, now: float) -> crashreports.PartRecord:
        """Return the record as it is sent and shown."""
        return crashreports.PartRecord(
            part=self.part,
            revision=self.revision,
            condition=self.condition,
            remaining_s=round(max(0.0, self.ends_at - now), 1),
            strikes=self.strikes,
            crashes=self.crashes,
            quarantine_s=self.quarantine_s,
            tentative=self.tentative,
        )


class Quarantine:
    """Keeps the conditions of parts, and those in quarantine away.

    A quarantine ends after a time, and the part is on probation: a sound
    answer releases it, and one crash has it quarantined for twice as long.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._analysis = crashanalysis.CrashAnalysis(env=env)
        self._record_by_part: dict[str, _Record] = {}
        self._evaluated_at = float('-inf')
        self._digest = 0

    @property
    def digest(self) -> int:
        """A number that differs if the records differ."""
        return self._digest

    @property
    def watched(self) -> tuple[str, ...]:
        """The parts of which entries are to report what they know."""
        return self._analysis.watched

    def records(self) -> tuple[crashreports.PartRecord, ...]:
        """Return all records, by part."""
        now = self._env.timer.now()
        return tuple(
            record.export(now)
            for _, record in sorted(self._record_by_part.items())
        )

    def find_quarantined(
        self, parts: collections.abc.Iterable[str]
    ) -> crashreports.PartRecord | None:
        """Return the record of the first part that is quarantined, if any."""
        if not self._record_by_part:
            return None
        now = self._env.timer.now()
        for part in parts:
            record = self._record_by_part.get(part)
            if (
                record is not None
                and record.condition is crashreports.Condition.QUARANTINED
                and now < record.ends_at
            ):
                return record.export(now)
        return None

    def find_on_probation(
        self, parts: collections.abc.Iterable[str]
    ) -> list[crashreports.PartRecord]:
        """Return the records of the parts that are on probation."""
        now = self._env.timer.now()
        return [
            record.export(now)
            for part in parts
            if (record := self._record_by_part.get(part)) is not None
            and record.condition is crashreports.Condition.ON_PROBATION
        ]

    # Reports

    def take(self, entry_id: str, report: crashreports.CrashReport) -> None:
        """Take in the report of an entry, and draw conclusions."""
        self.merge(report.records)
        for part in self._analysis.take(entry_id, report):
            self._release_from_probation(part)
        now = self._env.timer.now()
        if now - self._evaluated_at >= EVALUATE_PERIOD_S:
            self._evaluated_at = now
            self._evaluate()

    def reply_to(
        self, report: crashreports.CrashReport
    ) -> crashreports.QuarantineReply:
        """Return the reply to an entry's report."""
        is_known = report.digest == self._digest
        return crashreports.QuarantineReply(
            digest=self._digest,
            records=() if is_known else self.records(),
            watched=self.watched,
        )

    def merge(
        self, records: collections.abc.Iterable[crashreports.PartRecord]
    ) -> None:
        """Take over the records of another node that are newer."""
        now = self._env.timer.now()
        for record in records:
            known = self._record_by_part.get(record.part)
            if known is not None and record.revision <= known.revision:
                continue
            self._store(
                _Record(
                    part=record.part,
                    condition=record.condition,
                    ends_at=now + record.remaining_s,
                    since=now,
                    strikes=record.strikes,
                    crashes=record.crashes,
                    quarantine_s=record.quarantine_s,
                    tentative=record.tentative,
                ),
                reason='another node has it so',
            )
            if record.condition is crashreports.Condition.RELEASED:
                self._clear(record.part)

    def release(self, part: str, *, source: str) -> bool:
        """Release a part for an operator; return whether it was held.

        Earlier crashes do not count against it any more. `source` is the
        address that the operator's call came from.
        """
        record = self._record_by_part.get(part)
        if record is None or (
            record.condition is crashreports.Condition.RELEASED
        ):
            return False
        self._change(
            record,
            crashreports.Condition.RELEASED,
            RELEASED_S,
            reason=f'an operator at {source} released it',
        )
        self._clear(part)
        return True

    def _clear(self, part: str) -> None:
        """Let no crash until now count against a part, or those beside it."""
        self._analysis.drop_crashes_with(part)
        self._analysis.note_sound(part, self._env.timer.now())

    def forget(self) -> None:
        """Forget everything, once another node decides."""
        self._analysis.clear()
        if self._record_by_part:
            self._record_by_part.clear()
            self._note_changed_records()

    # Changes

    def expire(self) -> None:
        """End the conditions whose time has passed."""
        now = self._env.timer.now()
        for record in list(self._record_by_part.values()):
            if now < record.ends_at:
                continue
            match record.condition:
                case crashreports.Condition.QUARANTINED:
                    self._change(
                        record,
                        crashreports.Condition.ON_PROBATION,
                        PROBATION_S,
                        reason='its time has passed',
                    )
                case _:
                    self._drop(record.part)

    def _evaluate(self) -> None:
        """Quarantine the parts that have crashed too many endpoints."""
        self.expire()
        self._analysis.forget_old()
        self._quarantine_again()
        self._confirm_tentative()
        while True:
            guilty = self._analysis.find_guilty(
                explaining=self._held_parts(),
                always_watched=[
                    *self._parts_on_probation(),
                    *(
                        rival
                        for record in self._record_by_part.values()
                        for rival in record.rivals
                    ),
                ],
            )
            if guilty is None:
                return
            self._quarantine(guilty)

    def _held_parts(self) -> frozenset[str]:
        """Return the parts that explain the crashes they are in."""
        return frozenset(
            part
            for part, record in self._record_by_part.items()
            if record.condition is not crashreports.Condition.RELEASED
        )

    def _parts_on_probation(self) -> list[str]:
        return [
            part
            for part, record in self._record_by_part.items()
            if record.condition is crashreports.Condition.ON_PROBATION
        ]

    def _quarantine_again(self) -> None:
        """Quarantine parts on probation again that were in a new crash."""
        on_probation = set(self._parts_on_probation())
        quarantined = self._held_parts() - on_probation
        for part in on_probation:
            record = self._record_by_part[part]
            crashes = [
                parts
                for parts in self._analysis.find_crashes_with(
                    part, after=record.since
                )
                if not parts & quarantined
            ]
            if crashes:
                has_rival = any(
                    parts & on_probation != {part} for parts in crashes
                )
                seconds = min(MAX_QUARANTINE_S, 2 * record.quarantine_s)
                if record.tentative and not has_rival:
                    seconds = QUARANTINE_S
                self._change(
                    dataclasses.replace(
                        record,
                        strikes=record.strikes + 1,
                        quarantine_s=seconds,
                        tentative=record.tentative and has_rival,
                    ),
                    crashreports.Condition.QUARANTINED,
                    seconds,
                    reason='an endpoint crashed under it again',
                )

    def _confirm_tentative(self) -> None:
        """Prolong a quarantine once all rivals have been sound."""
        for record in list(self._record_by_part.values()):
            if (
                record.condition is crashreports.Condition.QUARANTINED
                and record.rivals
                and all(
                    self._analysis.sound_at(rival) > record.since
                    for rival in record.rivals
                )
            ):
                self._change(
                    dataclasses.replace(
                        record,
                        quarantine_s=QUARANTINE_S,
                        tentative=False,
                        rivals=(),
                    ),
                    crashreports.Condition.QUARANTINED,
                    QUARANTINE_S,
                    reason='no other part can be the cause',
                )

    def _release_from_probation(self, part: str) -> None:
        record = self._record_by_part.get(part)
        if (
            record is not None
            and record.condition is crashreports.Condition.ON_PROBATION
            and self._analysis.sound_at(part) > record.since
        ):
            self._change(
                record,
                crashreports.Condition.RELEASED,
                RELEASED_S,
                reason='a request with it got a sound answer',
            )
            self._clear(part)

    def _quarantine(self, guilty: crashanalysis.Suspect) -> None:
        now = self._env.timer.now()
        is_doubtful = guilty.is_common or guilty.was_sound
        tentative = is_doubtful or bool(guilty.rivals)
        seconds = TENTATIVE_QUARANTINE_S if tentative else QUARANTINE_S
        known = self._record_by_part.get(guilty.part)
        self._env.metrics.count('prompt_parts_found')
        self._store(
            _Record(
                part=guilty.part,
                condition=crashreports.Condition.QUARANTINED,
                ends_at=now + seconds,
                since=now,
                strikes=known.strikes + 1 if known is not None else 1,
                crashes=round(guilty.weight),
                quarantine_s=seconds,
                tentative=tentative,
                rivals=() if is_doubtful else guilty.rivals,
            ),
            reason='endpoints crashed as they began to answer with it',
        )

    def _change(
        self,
        record: _Record,
        condition: crashreports.Condition,
        seconds: float,
        *,
        reason: str,
    ) -> None:
        now = self._env.timer.now()
        self._store(
            dataclasses.replace(
                record,
                condition=condition,
                ends_at=now + seconds,
                since=now,
            ),
            reason=reason,
        )

    def _store(self, record: _Record, *, reason: str) -> None:
        self._record_by_part[record.part] = record
        while len(self._record_by_part) > MAX_RECORDS:
            self._drop(self._find_least_needed())
        logs.log_event(
            f'prompt_part_{record.condition.value}',
            prompt_part=record.part,
            reason=reason,
            seconds=round(record.ends_at - self._env.timer.now(), 1),
            crashes=record.crashes,
            strikes=record.strikes,
            revision=record.revision,
        )
        self._note_changed_records()

    def _find_least_needed(self) -> str:
        """Return the part whose record is dropped if there are too many."""
        return min(
            self._record_by_part.values(),
            key=lambda r: (
                r.condition is crashreports.Condition.QUARANTINED,
                r.since,
            ),
        ).part

    def _drop(self, part: str) -> None:
        del self._record_by_part[part]
        logs.log_event('prompt_part_forgotten', prompt_part=part)
        self._note_changed_records()

    def _note_changed_records(self) -> None:
        text = ' '.join(
            f'{part}={record.revision}'
            for part, record in sorted(self._record_by_part.items())
        )
        self._digest = zlib.crc32(text.encode())
        self._env.metrics.set_gauge(
            'prompt_parts_quarantined',
            sum(
                record.condition is crashreports.Condition.QUARANTINED
                for record in self._record_by_part.values()
            ),
        )
