"""What entries see of groups at work, for the leader that keeps them."""

import collections
import dataclasses

import msgspec

from apricotthread.base import environment


class GroupSight(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry has seen of a group's head.

    A group makes progress only while all its members work. Ages are in
    seconds; None means never, or not lately.
    """

    group_id: str
    epoch: int
    progress_age_s: float | None = None
    stall_age_s: float | None = None
    unreachable_age_s: float | None = None
    # The time between its events against that of its peers.
    slowness: float = 1.0


class EntryReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The sights of one entry, and whether callers have come to it."""

    entry_id: str
    data_centre: str
    has_callers: bool
    groups: tuple[GroupSight, ...] = ()
    # By endpoint; for a group this is its head.
    in_flight: dict[str, int] = {}


_DECODER = msgspec.msgpack.Decoder(EntryReport)
_SUMS_DECODER = msgspec.msgpack.Decoder(dict[str, int])


def encode_report(report: EntryReport) -> bytes:
    """Return a report as MessagePack."""
    return msgspec.msgpack.encode(report)


def decode_report(payload: bytes) -> EntryReport:
    """Return the report in the bytes; raises msgspec.DecodeError."""
    return _DECODER.decode(payload)


def encode_in_flight(in_flight_by_id: dict[str, int]) -> bytes:
    """Return the work of all entries at each endpoint as MessagePack."""
    return msgspec.msgpack.encode(in_flight_by_id)


def decode_in_flight(payload: bytes) -> dict[str, int]:
    """Return the work at each endpoint; raises msgspec.DecodeError."""
    return _SUMS_DECODER.decode(payload)


NEVER = float('-inf')
# An entry that may still send counts for longer than it takes to notice it.
ENTRY_LEASE_S = 5.0
# What an entry that reports twice a second has said counts for so long.
IN_FLIGHT_VALID_S = 1.5
SUM_PERIOD_S = 0.1  # one sum serves the entries that report within it
SLOWNESS = 2.0  # a group is as slow as its slowest member


@dataclasses.dataclass(kw_only=True)
class GroupEvidence:
    """The newest moments of what all entries have seen of a group."""

    progressed_at: float = NEVER
    stalled_at: float = NEVER
    # By entries of the head's own data centre.
    unreachable_at: float = NEVER
    slow_at: float = NEVER


class EvidenceStore:
    """Joins the reports of all entries."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._evidence_by_group: dict[tuple[str, int], GroupEvidence] = {}
        self._heard_at_by_entry: dict[str, float] = {}
        self._in_flight_by_entry: dict[str, dict[str, int]] = {}
        self._sums = b''
        self._summed_at = NEVER
        self.has_callers = False

    def count_entries(self) -> int:
        """Return how many entries have reported lately."""
        oldest = self._env.timer.now() - ENTRY_LEASE_S
        return sum(at >= oldest for at in self._heard_at_by_entry.values())

    def take(self, report: EntryReport) -> None:
        """Join a report that has just come."""
        now = self._env.timer.now()
        self.has_callers = self.has_callers or report.has_callers
        self._heard_at_by_entry[report.entry_id] = now
        self._in_flight_by_entry[report.entry_id] = report.in_flight
        for sight in report.groups:
            known = self._evidence_by_group.setdefault(
                (sight.group_id, sight.epoch), GroupEvidence()
            )
            known.progressed_at = max(
                known.progressed_at, _moment(now, sight.progress_age_s)
            )
            known.stalled_at = max(
                known.stalled_at, _moment(now, sight.stall_age_s)
            )
            known.unreachable_at = max(
                known.unreachable_at, _moment(now, sight.unreachable_age_s)
            )
            if sight.slowness > SLOWNESS:
                known.slow_at = now

    def sum_in_flight(self) -> bytes:
        """Return the work of all entries at each endpoint, encoded."""
        now = self._env.timer.now()
        if now - self._summed_at >= SUM_PERIOD_S:
            total = collections.Counter()
            for entry_id, in_flight in list(self._in_flight_by_entry.items()):
                if now - self._heard_at_by_entry[entry_id] > IN_FLIGHT_VALID_S:
                    del self._in_flight_by_entry[entry_id]
                    continue
                total.update(in_flight)
            self._sums = encode_in_flight(dict(total))
            self._summed_at = now
        return self._sums

    def get_evidence(self, group_id: str, epoch: int) -> GroupEvidence:
        """Return what is known of a group."""
        return self._evidence_by_group.get((group_id, epoch), GroupEvidence())

    def keep_only(self, known: set[tuple[str, int]]) -> None:
        """Forget groups that are not in the ledger any more."""
        for key in list(self._evidence_by_group):
            if key not in known:
                del self._evidence_by_group[key]


def _moment(now: float, age_s: float | None) -> float:
    return NEVER if age_s is None else now - age_s
