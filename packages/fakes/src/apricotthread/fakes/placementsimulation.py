"""Streams from many entries on few groups, on a model clock.

Each entry places with its own load table, which hears of groups when an
answer begins and of the other entries' work by the leader's sums.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from apricotthread.base import environment
from apricotthread.base import metrics
from apricotthread.control import routetables
from apricotthread.fleet import view
from apricotthread.gateway import loads
from apricotthread.gateway import placement

END_S = 60.0
WARM_UP_S = 10.0
REPORT_PERIOD_S = 0.5
SUM_PERIOD_S = 0.25
WAY_S = 0.004
# The usual request and the engine of a users' deployment.
PROMPT_TOKENS = 874
OUTPUT_TOKENS = 162
TARGET_S = 0.303
TIME_LEFT_S = 6.0
MODEL = routetables.ModelProfile(
    name='model',
    group_size=12,
    load_share=1.0,
    pace=1.0,
    load_s=16.0,
    warm_load_s=1.6,
)


class Result(typing.NamedTuple):
    """What callers got, in shares of their requests."""

    in_time: float
    late: float
    refused: float


@dataclasses.dataclass(kw_only=True)
class _ModelClock:
    """Time that the simulation sets."""

    now_s: float = 0.0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self.now_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stream:
    """A request that was placed."""

    entry: int
    group_id: str
    placed_at: float
    counted: bool


@dataclasses.dataclass(kw_only=True)
class _Group:
    """A group that runs some streams and queues the others."""

    engine: routetables.EngineProfile
    running: int = 0
    queue: list[_Stream] = dataclasses.field(default_factory=list)

    def durations_s(self) -> tuple[float, float]:
        """Return how long the newest stream takes to begin and to end."""
        return placement.predict_latency(
            engine=self.engine,
            model=MODEL,
            load=self.running - 1,
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
        )


def make_engine(slots: int) -> routetables.EngineProfile:
    """Return the profile of an engine with so many slots a group."""
    return routetables.EngineProfile(
        slots=slots,
        memory_tokens=1_235_000,
        models=(MODEL,),
        step_s=0.00645,
        step_s_per_sequence=0.0001934,
        step_s_per_context_token=5.86e-9,
        prefill_tokens_per_s=56_100.0,
        steps_per_event=6,
        loads_per_s=5.5,
        concurrent_loads=8,
        staged_limit=1,
        forming_s=0.3,
    )


class PlacementSimulation:
    """Plays a load and counts what callers get."""

    def __init__(
        self,
        *,
        entries: int,
        groups: int,
        slots: int,
        load_share: float,
        seed: int,
        make_table: collections.abc.Callable[..., loads.LoadTable],
    ) -> None:
        self._random = random.Random(seed)
        self._clock = _ModelClock()
        self._engine = make_engine(slots)
        env = environment.Environment(
            timer=self._clock, random=self._random, metrics=metrics.Metrics()
        )
        self._tables = [make_table(env=env) for _ in range(entries)]
        self._group_by_id = {
            f'g{number}': _Group(engine=self._engine)
            for number in range(groups)
        }
        self._replicas = [
            view.Replica(
                endpoint_id=group_id,
                address='',
                data_centre='',
                model=MODEL.name,
                slots=slots,
                group_id=group_id,
            )
            for group_id in self._group_by_id
        ]
        full = _Group(engine=self._engine, running=slots)
        self._rate = load_share * groups * slots / full.durations_s()[1]
        self._reported = [{} for _ in range(entries)]
        self._sums: dict[str, int] = {}
        self._due: list[tuple] = []
        self._numbers = itertools.count()
        self._asked = 0
        self._late = 0
        self._refused = 0

    def run(self) -> Result:
        """Play the whole load and return what callers got."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._sum_up)
        for entry in range(len(self._tables)):
            self._at(self._random.random(), self._report, entry)
        while self._due[0][0] <= END_S:
            self._clock.now_s, _, action, inputs = heapq.heappop(self._due)
            action(*inputs)
        late = self._late / self._asked
        refused = self._refused / self._asked
        return Result(
            in_time=round(1 - late - refused, 3),
            late=round(late, 3),
            refused=round(refused, 3),
        )

    def _at(self, after_s: float, action, *inputs) -> None:
        heapq.heappush(
            self._due,
            (self._clock.now_s + after_s, next(self._numbers), action, inputs),
        )

    def _arrive(self) -> None:
        """Place the next request at one of the entries."""
        self._at(self._random.expovariate(self._rate), self._arrive)
        counted = self._clock.now_s > WARM_UP_S
        self._asked += counted
        entry = self._random.randrange(len(self._tables))
        table = self._tables[entry]
        placed = placement.place_on_engine(
            self._make_candidates(table),
            engine=self._engine,
            model=MODEL,
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            time_left_s=TIME_LEFT_S,
            target_s=TARGET_S,
        )
        match placed:
            case placement.Refusal():
                self._refused += counted
            case placement.Choice(candidate=candidate):
                group_id = candidate.replica.endpoint_id
                table.start(group_id)
                stream = _Stream(
                    entry=entry,
                    group_id=group_id,
                    placed_at=self._clock.now_s,
                    counted=counted,
                )
                self._at(WAY_S, self._reach, stream)

    def _make_candidates(
        self, table: loads.LoadTable
    ) -> list[placement.Candidate]:
        candidates = [
            placement.Candidate(
                replica=replica,
                load=table.estimate(replica.endpoint_id, model=MODEL.name),
                is_near=True,
                cold_allowance=1,
                is_suspect=False,
            )
            for replica in self._replicas
        ]
        self._random.shuffle(candidates)
        return candidates

    def _reach(self, stream: _Stream) -> None:
        group = self._group_by_id[stream.group_id]
        if group.running >= self._engine.slots:
            group.queue.append(stream)
        else:
            self._begin(group, stream)

    def _begin(self, group: _Group, stream: _Stream) -> None:
        group.running += 1
        first_s, whole_s = group.durations_s()
        waited_s = self._clock.now_s - stream.placed_at
        if waited_s + first_s + WAY_S > TARGET_S:
            self._late += stream.counted
        self._at(first_s + WAY_S, self._hear, group, stream)
        self._at(whole_s, self._end, group, stream)

    def _hear(self, group: _Group, stream: _Stream) -> None:
        """Have the entry hear of the group's load, as an answer begins."""
        self._tables[stream.entry].note_load(
            stream.group_id,
            model=MODEL.name,
            running=group.running,
            waiting=len(group.queue),
        )

    def _end(self, group: _Group, stream: _Stream) -> None:
        group.running -= 1
        self._tables[stream.entry].end(stream.group_id)
        if group.queue:
            self._begin(group, group.queue.pop(0))

    def _report(self, entry: int) -> None:
        """Report an entry's work, and take the newest sums."""
        self._at(REPORT_PERIOD_S, self._report, entry)
        table = self._tables[entry]
        self._reported[entry] = table.report_in_flight()
        table.apply_in_flight_sums(
            self._sums, {MODEL.name: list(self._group_by_id)}
        )

    def _sum_up(self) -> None:
        self._at(SUM_PERIOD_S, self._sum_up)
        total: dict[str, int] = {}
        for in_flight_by_id in self._reported:
            for group_id, in_flight in in_flight_by_id.items():
                total[group_id] = total.get(group_id, 0) + in_flight
        self._sums = total
