"""Observations of callers, workers and operators, as input of the checks."""

import dataclasses
import enum
import time


class Outcome(enum.Enum):
    """How an attempt ended for its caller.

    WHOLE is a complete answer with status 200, REFUSED a status 503, FAILED
    any other status, CUT a connection that broke or an answer that came too
    late, and NOT_SENT an attempt without a connection.
    """

    WHOLE = 'whole'
    REFUSED = 'refused'
    FAILED = 'failed'
    CUT = 'cut'
    NOT_SENT = 'not_sent'


class CallKind(enum.Enum):
    """The kind of a request, by its route.

    STREAM is for a model, the others are for a plain service. A BID may run
    at most once; a READ is idempotent.
    """

    STREAM = 'stream'
    BID = 'bid'
    READ = 'read'


# The service of the endpoints that serve each kind.
SERVICE_BY_KIND = {
    CallKind.STREAM: 'models',
    CallKind.BID: 'bids',
    CallKind.READ: 'bids',
}
# How long callers wait for an answer, by the users' requirements.
TIME_BUDGET_S_BY_KIND = {
    CallKind.STREAM: 5.0,
    CallKind.BID: 1.0,
    CallKind.READ: 2.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One request attempt of a caller; times are seconds since the start."""

    attempt_id: str
    kind: CallKind
    entry: str
    began_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0
    # What is wrong with the content of an answer that arrived whole.
    violation: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a worker began to run."""

    attempt_id: str
    worker: str
    at_s: float
    # For a model: why the group was not allowed to serve.
    violation: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A request that a caller sent, for a service."""

    service: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a worker, whatever became of it."""

    attempt_id: str
    service: str
    worker: str
    at_s: float
    # Tells the incarnations of a worker apart.
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unwilling:
    """An answer in which a worker said that it wants no requests.

    `busy_s` says for how long; it is None if the worker leaves.
    """

    attempt_id: str
    worker: str
    at_s: float
    born_ms: int
    busy_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """An answer in which a worker named its limit."""

    attempt_id: str
    worker: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class GuiltyRun:
    """A request that a worker got, and ended under unless it had just."""

    attempt_id: str
    at_s: float
    crashed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcknowledgedTable:
    """A table whose submission was acknowledged to the operator."""

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The table version that a control node returned to a read.

    The read was sent at `asked_s`.
    """

    version: int
    asked_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """The status of a request to a route that one table version added."""

    entry: str
    asked_s: float
    # The version of the newest table that has to be in force, and the status
    # that the entry returned.
    expected: int
    status: int


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All observations of one run of the soak test."""

    started_at: float = dataclasses.field(default_factory=time.monotonic)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    sent: list[Sent] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    named_limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    unwilling: list[Unwilling] = dataclasses.field(default_factory=list)
    acknowledged_tables: list[AcknowledgedTable] = dataclasses.field(
        default_factory=list
    )
    guilty_runs: list[GuiltyRun] = dataclasses.field(default_factory=list)
    # The entry of each request whose prompt crashes workers.
    entry_by_guilty_attempt: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    read_back: list[ReadBack] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    # Orders that put a VM into a second group.
    double_memberships: list[str] = dataclasses.field(default_factory=list)
    # Requests that ran too long after their data centre was taken out.
    runs_after_take_out: list[str] = dataclasses.field(default_factory=list)
    # Unexpected exits, nodes that did not exit after a signal, and a table
    # that could not be read at the end.
    exits: list[str] = dataclasses.field(default_factory=list)

    def note_sent(self, kind: CallKind) -> None:
        """Record that a caller sends a request now."""
        self.sent.append(
            Sent(service=SERVICE_BY_KIND[kind], at_s=self.now_s())
        )

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at
