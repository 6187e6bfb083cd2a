"""What entries observe of groups, collected for the leader."""

import collections
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.fleet import crashreports
from apricotthread.fleet import limits
from apricotthread.fleet import shares


class GroupSight(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry has observed of a group's head.

    A group makes progress only while all its members work. Ages are in
    seconds; None means never or not recently.
    """

    group_id: str
    epoch: int
    progress_age_s: float | None = None
    stall_age_s: float | None = None
    unreachable_age_s: float | None = None
    # The time between its events divided by that of its peers.
    slowness: float = 1.0


class Leaver(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An incarnation of an endpoint that said in an answer that it leaves."""

    endpoint_id: str
    born_ms: int


class EntryReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The observations of one entry, and whether it has had callers."""

    entry_id: str
    data_centre: str
    has_callers: bool
    groups: tuple[GroupSight, ...] = ()
    # Number of requests by endpoint id; a group is counted at its head.
    in_flight: dict[str, int] = {}
    crash_report: crashreports.CrashReport = crashreports.CrashReport()
    share_claim: shares.ShareClaim = shares.ShareClaim()
    limit_report: limits.LimitReport = limits.LimitReport()
    leavers: tuple[Leaver, ...] = ()


_REPORT_DECODER = msgspec.msgpack.Decoder(EntryReport)
_IN_FLIGHT_DECODER = msgspec.msgpack.Decoder(dict[str, int])


def encode_report(report: EntryReport) -> bytes:
    """Return a report as MessagePack."""
    return msgspec.msgpack.encode(report)


def decode_report(payload: bytes) -> EntryReport:
    """Return the report in the bytes; raises msgspec.DecodeError."""
    return _REPORT_DECODER.decode(payload)


def encode_in_flight(in_flight_by_id: dict[str, int]) -> bytes:
    """Return all entries' requests by endpoint id as MessagePack."""
    return msgspec.msgpack.encode(in_flight_by_id)


def decode_in_flight(payload: bytes) -> dict[str, int]:
    """Return the numbers by endpoint id; raises msgspec.DecodeError."""
    return _IN_FLIGHT_DECODER.decode(payload)


NEVER = float('-inf')
# How long the counts of a report are used; entries report twice a second.
IN_FLIGHT_VALID_S = 1.5
SUM_PERIOD_S = 0.1  # entries that report within it get the same sum
SLOWNESS_THRESHOLD = 2.0  # a group is as slow as its slowest member


@dataclasses.dataclass(kw_only=True)
class GroupEvidence:
    """When any entry last observed each condition of a group."""

    progressed_at: float = NEVER
    stalled_at: float = NEVER
    # Observed by entries in the data centre of the head.
    unreachable_at: float = NEVER
    slow_at: float = NEVER


class EvidenceStore:
    """Merges the reports of all entries."""

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self._evidence_by_group: dict[tuple[str, int], GroupEvidence] = {}
        self._heard_at_by_entry: dict[str, float] = {}
        self._in_flight_by_entry: dict[str, dict[str, int]] = {}
        self._encoded_in_flight = b''
        self._encoded_at = NEVER
        self.has_callers = False

    def take(self, report: EntryReport) -> None:
        """Merge a report that has just arrived."""
        now = self._env.timer.now()
        self.has_callers = self.has_callers or report.has_callers
        self._heard_at_by_entry[report.entry_id] = now
        self._in_flight_by_entry[report.entry_id] = report.in_flight
        for sight in report.groups:
            known = self._evidence_by_group.setdefault(
                (sight.group_id, sight.epoch), GroupEvidence()
            )
            known.progressed_at = max(
                known.progressed_at, _time_of(now, sight.progress_age_s)
            )
            known.stalled_at = max(
                known.stalled_at, _time_of(now, sight.stall_age_s)
            )
            known.unreachable_at = max(
                known.unreachable_at, _time_of(now, sight.unreachable_age_s)
            )
            if sight.slowness > SLOWNESS_THRESHOLD:
                known.slow_at = now

    def sum_in_flight(self) -> bytes:
        """Return the encoded sums of all entries' requests by endpoint id."""
        now = self._env.timer.now()
        if now - self._encoded_at >= SUM_PERIOD_S:
            total = collections.Counter()
            for entry_id, in_flight in list(self._in_flight_by_entry.items()):
                if now - self._heard_at_by_entry[entry_id] > IN_FLIGHT_VALID_S:
                    del self._in_flight_by_entry[entry_id]
                    continue
                total.update(in_flight)
            self._encoded_in_flight = encode_in_flight(dict(total))
            self._encoded_at = now
        return self._encoded_in_flight

    def get_evidence(self, group_id: str, epoch: int) -> GroupEvidence:
        """Return the evidence on a group, empty if there is none."""
        return self._evidence_by_group.get((group_id, epoch), GroupEvidence())

    def keep_only(self, known: set[tuple[str, int]]) -> None:
        """Remove the groups that are no longer in the ledger."""
        for key in list(self._evidence_by_group):
            if key not in known:
                del self._evidence_by_group[key]


def _time_of(now: float, age_s: float | None) -> float:
    return NEVER if age_s is None else now - age_s
