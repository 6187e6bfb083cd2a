"""Simulates many entries that place streams on the same few groups.

Each entry places requests with its own load table. The table learns the
load of a group when an answer begins, and the requests in flight of all
entries from the sums that the leader makes of their reports.
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
ONE_WAY_DELAY_S = 0.004
# The typical request and the engine of a deployment of our users.
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
    """Shares of the requests by outcome.

    `in_time` and `late` say whether the first event came within TARGET_S.
    """

    in_time: float
    late: float
    refused: float


@dataclasses.dataclass(kw_only=True)
class _SimulatedClock:
    """A clock that the simulation sets."""

    now_s: float = 0.0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self.now_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stream:
    """A request that was placed on a group.

    `is_counted` is false for requests during the warm-up.
    """

    entry: int
    group_id: str
    placed_at: float
    is_counted: bool


@dataclasses.dataclass(kw_only=True)
class _Group:
    """A group that runs as many streams as it has slots, and queues others."""

    engine: routetables.EngineProfile
    running: int = 0
    queue: list[_Stream] = dataclasses.field(default_factory=list)

    def durations_s(self) -> tuple[float, float]:
        """Return the seconds until the newest stream begins and ends."""
        return placement.predict_latency(
            engine=self.engine,
            model=MODEL,
            load=self.running - 1,
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
        )


def make_engine(slots: int) -> routetables.EngineProfile:
    """Return the profile of an engine with so many slots for each group."""
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
    """Simulates END_S seconds of load and counts the outcomes.

    `load_share` is the rate of requests as a share of what the groups can
    serve. Requests during the first WARM_UP_S seconds are not counted.
    """

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
        self._clock = _SimulatedClock()
        self._engine = make_engine(slots)
        env = environment.Environment(
            timer=self._clock, random=self._random, metrics=metrics.Metrics()
        )
        self._load_tables = [make_table(env=env) for _ in range(entries)]
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
        full_group = _Group(engine=self._engine, running=slots)
        self._requests_per_s = (
            load_share * groups * slots / full_group.durations_s()[1]
        )
        self._reports_by_entry = [{} for _ in range(entries)]
        self._in_flight_sums: dict[str, int] = {}
        self._event_heap: list[tuple] = []
        self._event_numbers = itertools.count()
        self._request_count = 0
        self._late_count = 0
        self._refused_count = 0

    def run(self) -> Result:
        """Run the whole simulation; return the shares of the outcomes."""
        self._schedule(0.0, self._place_request)
        self._schedule(0.0, self._update_sums)
        for entry in range(len(self._load_tables)):
            self._schedule(
                self._random.random(), self._exchange_reports, entry
            )
        while self._event_heap[0][0] <= END_S:
            self._clock.now_s, _, action, arguments = heapq.heappop(
                self._event_heap
            )
            action(*arguments)
        late = self._late_count / self._request_count
        refused = self._refused_count / self._request_count
        return Result(
            in_time=round(1 - late - refused, 3),
            late=round(late, 3),
            refused=round(refused, 3),
        )

    def _schedule(self, after_s: float, action, *arguments) -> None:
        heapq.heappush(
            self._event_heap,
            (
                self._clock.now_s + after_s,
                next(self._event_numbers),
                action,
                arguments,
            ),
        )

    def _place_request(self) -> None:
        """Place a request at a random entry and schedule the next one."""
        self._schedule(
            self._random.expovariate(self._requests_per_s), self._place_request
        )
        is_counted = self._clock.now_s > WARM_UP_S
        self._request_count += is_counted
        entry = self._random.randrange(len(self._load_tables))
        load_table = self._load_tables[entry]
        placed = placement.place_on_engine(
            self._make_candidates(load_table),
            engine=self._engine,
            model=MODEL,
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            time_left_s=TIME_LEFT_S,
            target_s=TARGET_S,
            patience_s=2.0,
            can_be_on_time=True,
            draw=0.5,
        )
        match placed:
            case placement.Refusal():
                self._refused_count += is_counted
            case placement.Choice(candidate=candidate):
                group_id = candidate.replica.endpoint_id
                load_table.start(group_id)
                stream = _Stream(
                    entry=entry,
                    group_id=group_id,
                    placed_at=self._clock.now_s,
                    is_counted=is_counted,
                )
                self._schedule(ONE_WAY_DELAY_S, self._arrive_at_group, stream)

    def _make_candidates(
        self, load_table: loads.LoadTable
    ) -> list[placement.Candidate]:
        candidates = [
            placement.Candidate(
                replica=replica,
                load=load_table.estimate(
                    replica.endpoint_id, model=MODEL.name
                ),
                is_near=True,
                cold_allowance=1,
                is_suspect=False,
            )
            for replica in self._replicas
        ]
        self._random.shuffle(candidates)
        return candidates

    def _arrive_at_group(self, stream: _Stream) -> None:
        group = self._group_by_id[stream.group_id]
        if group.running >= self._engine.slots:
            group.queue.append(stream)
        else:
            self._begin_stream(group, stream)

    def _begin_stream(self, group: _Group, stream: _Stream) -> None:
        group.running += 1
        first_s, total_s = group.durations_s()
        waited_s = self._clock.now_s - stream.placed_at
        if waited_s + first_s + ONE_WAY_DELAY_S > TARGET_S:
            self._late_count += stream.is_counted
        self._schedule(
            first_s + ONE_WAY_DELAY_S, self._update_load, group, stream
        )
        self._schedule(total_s, self._end_stream, group, stream)

    def _update_load(self, group: _Group, stream: _Stream) -> None:
        """Tell the entry the load of the group, as an answer begins."""
        self._load_tables[stream.entry].note_load(
            stream.group_id,
            model=MODEL.name,
            requests=group.running + len(group.queue),
        )

    def _end_stream(self, group: _Group, stream: _Stream) -> None:
        group.running -= 1
        self._load_tables[stream.entry].end(stream.group_id)
        if group.queue:
            self._begin_stream(group, group.queue.pop(0))

    def _exchange_reports(self, entry: int) -> None:
        """Report an entry's requests in flight, and apply the newest sums."""
        self._schedule(REPORT_PERIOD_S, self._exchange_reports, entry)
        load_table = self._load_tables[entry]
        self._reports_by_entry[entry] = load_table.report_in_flight()
        load_table.apply_in_flight_sums(
            self._in_flight_sums, {MODEL.name: list(self._group_by_id)}
        )

    def _update_sums(self) -> None:
        self._schedule(SUM_PERIOD_S, self._update_sums)
        sum_by_id: dict[str, int] = {}
        for in_flight_by_id in self._reports_by_entry:
            for group_id, in_flight in in_flight_by_id.items():
                sum_by_id[group_id] = sum_by_id.get(group_id, 0) + in_flight
        self._in_flight_sums = sum_by_id
