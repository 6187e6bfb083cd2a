"""What callers, back ends and operators have seen, for the checks."""

import dataclasses
import enum
import time


class Outcome(enum.Enum):
    """How an attempt ended for its caller."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    FAILED = 'failed'
    CUT = 'cut'
    NOT_SENT = 'not_sent'


class CallKind(enum.Enum):
    """What callers ask for, by the route's kind."""

    STREAM = 'stream'
    BID = 'bid'
    READ = 'read'


# What callers wait for an answer, as on the users' sheets.
TIME_BUDGET_S = {
    CallKind.STREAM: 5.0,
    CallKind.BID: 1.0,
    CallKind.READ: 2.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a caller; times are seconds since the start."""

    attempt_id: str
    kind: CallKind
    entry: str
    began_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0
    # What was wrong with an answer that looked whole.
    violation: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a worker began to run."""

    attempt_id: str
    worker: str
    at_s: float
    # Why the group was not one that may serve, for a model.
    violation: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcknowledgedTable:
    """A table that was acknowledged."""

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The version that a control node gave; asked at a time."""

    version: int
    asked_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """An entry's answer on a route that tells its table's version."""

    entry: str
    asked_s: float
    # The newest table acknowledged long enough before, and what came.
    expected: int
    status: int


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All that was seen in one run."""

    started_at: float = dataclasses.field(default_factory=time.monotonic)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    acknowledged_tables: list[AcknowledgedTable] = dataclasses.field(
        default_factory=list
    )
    read_back: list[ReadBack] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    # Orders that would have put a VM into two groups.
    double_memberships: list[str] = dataclasses.field(default_factory=list)
    # Requests that came to a data centre long after it was taken out.
    runs_after_take_out: list[str] = dataclasses.field(default_factory=list)
    exits: list[str] = dataclasses.field(default_factory=list)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at
