"""Random schedules of faults; a seed always gives the same schedule."""

import dataclasses
import enum
import random

# Nodes and stand-ins need this time before the first fault.
FIRST_FAULT_S = 2.0
# The platform's limit for undisturbed nodes to serve again after the faults.
RECOVERY_S = 12.0
MEAN_FAULT_GAP_S = 0.9
MEAN_UNENDING_GAP_S = 3.0
MIN_DURATION_S = 0.4
MAX_DURATION_S = 4.0
PLANNED_GAP_S = 3.5
# A sound worker may fall silent for so long and go on.
MIN_PAUSE_S = 0.8
MAX_PAUSE_S = 1.5
PAUSED_SHARE = 0.5
# Prompts that crash workers come in this share of the runs, for so long.
CRASHING_SHARE = 0.5
CRASHING_PROMPTS_S = 7.0
# Answers of all workers break off in this share of the runs, until the storm
# ends.
BREAKING_SHARE = 0.5
# All workers name limits in this share of the runs, until the storm ends.
LIMITED_SHARE = 0.5
# In this share of the runs some workers leave, in this one some are busy.
LEAVING_SHARE = 0.5
BUSY_SHARE = 0.5
MAX_UNWILLING = 3
MIN_UNWILLING_S = 2.5


class Kind(enum.Enum):
    """The kind of a fault; each fault is undone after its duration.

    A silent node has all its links blocked. A disk that tears leaves a write
    half done, and its node is killed. A garbling worker answers bytes that
    are not HTTP, a lying one sends false announcements, and TWICE is a second
    answer to a request. A dripping worker sends a byte of its answer now and
    then, an endless one sends bytes until its connection is closed. A worker
    that pauses is sound; it pauses during planned work only. Prompts that
    crash have a part that ends each worker that begins to answer it. While
    answers break, all workers break off most of them. Limited workers name
    how many requests a second they take. A worker that leaves says so in all
    answers, and ends after a while; a busy one refuses all requests, and says
    for how long it wants none.
    """

    LINK_DELAY = 'link_delay'
    LINK_RESET = 'link_reset'
    LINK_ONE_WAY = 'link_one_way'
    NODE_SILENT = 'node_silent'
    NODE_KILL = 'node_kill'
    NODE_STOP = 'node_stop'
    NODE_PAUSE = 'node_pause'
    NODE_RELOAD = 'node_reload'
    DISK_SLOW = 'disk_slow'
    DISK_FULL = 'disk_full'
    DISK_FAILS = 'disk_fails'
    DISK_TEARS = 'disk_tears'
    DISK_LOST = 'disk_lost'
    CLOCK_STEP = 'clock_step'
    WORKER_GARBLES = 'worker_garbles'
    WORKER_LATE = 'worker_late'
    WORKER_TWICE = 'worker_twice'
    WORKER_SILENT = 'worker_silent'
    WORKER_RESETS = 'worker_resets'
    WORKER_LIES = 'worker_lies'
    WORKER_DIES = 'worker_dies'
    TABLES_IN_SUCCESSION = 'tables_in_succession'
    TABLES_RACED = 'tables_raced'
    DATA_CENTRE_OUT = 'data_centre_out'
    WORKER_DRIPS = 'worker_drips'
    WORKER_ENDLESS = 'worker_endless'
    WORKER_PAUSES = 'worker_pauses'
    PROMPTS_CRASH = 'prompts_crash'
    ANSWERS_BREAK = 'answers_break'
    WORKERS_LIMITED = 'workers_limited'
    WORKER_LEAVES = 'worker_leaves'
    WORKER_BUSY = 'worker_busy'


# Planned work, which has to cut no answer.
PLANNED_KINDS = (
    Kind.NODE_STOP,
    Kind.TABLES_IN_SUCCESSION,
    Kind.NODE_RELOAD,
    Kind.DATA_CENTRE_OUT,
)
DISK_KINDS = frozenset(
    {
        Kind.DISK_SLOW,
        Kind.DISK_FULL,
        Kind.DISK_FAILS,
        Kind.DISK_TEARS,
        Kind.DISK_LOST,
    }
)
WORKER_KINDS = frozenset(
    {
        Kind.WORKER_GARBLES,
        Kind.WORKER_LATE,
        Kind.WORKER_TWICE,
        Kind.WORKER_SILENT,
        Kind.WORKER_RESETS,
        Kind.WORKER_LIES,
        Kind.WORKER_DIES,
        Kind.WORKER_DRIPS,
        Kind.WORKER_ENDLESS,
        Kind.WORKER_PAUSES,
        Kind.ANSWERS_BREAK,
        Kind.WORKERS_LIMITED,
        Kind.WORKER_LEAVES,
        Kind.WORKER_BUSY,
    }
)
# Drawn apart from the others, so that the faults of older seeds stay.
UNENDING_KINDS = (Kind.WORKER_DRIPS, Kind.WORKER_ENDLESS)
MIXED_KINDS = tuple(
    kind
    for kind in Kind
    if kind
    not in (
        *UNENDING_KINDS,
        Kind.WORKER_PAUSES,
        Kind.PROMPTS_CRASH,
        Kind.ANSWERS_BREAK,
        Kind.WORKERS_LIMITED,
        Kind.WORKER_LEAVES,
        Kind.WORKER_BUSY,
    )
)
# What the times of these are drawn by, besides the seed of the run.
SEED_BY_KIND = {
    Kind.ANSWERS_BREAK: 'breaking answers',
    Kind.WORKERS_LIMITED: 'limited workers',
    Kind.WORKER_LEAVES: 'leaving workers',
    Kind.WORKER_BUSY: 'busy workers',
}
OPERATOR_KINDS = frozenset(
    {Kind.TABLES_IN_SUCCESSION, Kind.TABLES_RACED, Kind.DATA_CENTRE_OUT}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Topology:
    """The names of all nodes, workers and data centres."""

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    workers: tuple[str, ...]
    data_centres: tuple[str, ...]

    @property
    def nodes(self) -> tuple[str, ...]:
        """The control nodes and the entries."""
        return (*self.controls, *self.entries)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: its time since the start, duration, kind and targets.

    `other` is the second node of a link fault.
    """

    at_s: float
    duration_s: float
    kind: Kind
    target: str
    other: str = ''
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
    """All faults of a run, and the times at which its phases end or begin.

    The storm is the phase of overlapping faults. After it comes a pause to
    recover, then planned work. Times are seconds since the start.
    """

    faults: tuple[Fault, ...]
    storm_ends_s: float
    planned_from_s: float
    ends_s: float


def make_schedule(
    *, seed: int, storm_s: float, topology: Topology
) -> Schedule:
    """Return a schedule: a storm, a pause, and planned work one by one."""
    generator = random.Random(seed)
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < storm_s:
        faults.append(_make_fault(generator, at_s, storm_s, topology))
        at_s += generator.expovariate(1 / MEAN_FAULT_GAP_S)
    # In 30 % of schedules a random half of the nodes is killed at once.
    if generator.random() < 0.3:
        simultaneous_kill_s = round(
            generator.uniform(FIRST_FAULT_S, storm_s - MIN_DURATION_S), 3
        )
        for node in generator.sample(topology.nodes, len(topology.nodes) // 2):
            faults.append(
                Fault(
                    at_s=simultaneous_kill_s,
                    duration_s=1.0,
                    kind=Kind.NODE_KILL,
                    target=node,
                )
            )
    faults.extend(_make_unending(seed, storm_s, topology))
    faults.extend(_make_crashing_prompts(seed, storm_s))
    for kind, share in (
        (Kind.ANSWERS_BREAK, BREAKING_SHARE),
        (Kind.WORKERS_LIMITED, LIMITED_SHARE),
    ):
        faults.extend(
            _make_state_of_all_workers(seed, storm_s, kind=kind, share=share)
        )
    for kind, share in (
        (Kind.WORKER_LEAVES, LEAVING_SHARE),
        (Kind.WORKER_BUSY, BUSY_SHARE),
    ):
        faults.extend(
            _make_unwilling_workers(
                seed, storm_s, topology, kind=kind, share=share
            )
        )
    planned_from_s = storm_s + RECOVERY_S
    for number, kind in enumerate(
        generator.sample(PLANNED_KINDS, len(PLANNED_KINDS))
    ):
        target = generator.choice(topology.entries)
        if kind in OPERATOR_KINDS:
            target = generator.choice(topology.data_centres)
        faults.append(
            Fault(
                at_s=planned_from_s + number * PLANNED_GAP_S,
                duration_s=1.0,
                kind=kind,
                target=target,
                is_planned=True,
            )
        )
    faults.extend(_make_pauses(seed, planned_from_s, topology))
    return Schedule(
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
        storm_ends_s=storm_s,
        planned_from_s=planned_from_s,
        ends_s=planned_from_s + len(PLANNED_KINDS) * PLANNED_GAP_S,
    )


def _make_fault(
    generator: random.Random, at_s: float, storm_s: float, topology: Topology
) -> Fault:
    kind = generator.choice(MIXED_KINDS)
    other = ''
    if kind in DISK_KINDS:
        target = generator.choice(topology.controls)
    elif kind in WORKER_KINDS:
        target = generator.choice(topology.workers)
    elif kind in OPERATOR_KINDS:
        target = generator.choice(topology.data_centres)
    else:
        target, other = generator.sample(topology.nodes, 2)
    max_duration_s = max(MIN_DURATION_S, min(MAX_DURATION_S, storm_s - at_s))
    return Fault(
        at_s=round(at_s, 3),
        duration_s=round(generator.uniform(MIN_DURATION_S, max_duration_s), 3),
        kind=kind,
        target=target,
        other=other,
    )


def _make_unending(
    seed: int, storm_s: float, topology: Topology
) -> list[Fault]:
    """Return the faults of answers that never end."""
    generator = random.Random(f'{seed} unending')
    faults = []
    at_s = FIRST_FAULT_S + generator.expovariate(1 / MEAN_UNENDING_GAP_S)
    while at_s < storm_s:
        faults.append(
            Fault(
                at_s=round(at_s, 3),
                duration_s=round(
                    min(
                        generator.uniform(MIN_DURATION_S, MAX_DURATION_S),
                        max(MIN_DURATION_S, storm_s - at_s),
                    ),
                    3,
                ),
                kind=generator.choice(UNENDING_KINDS),
                target=generator.choice(topology.workers),
            )
        )
        at_s += generator.expovariate(1 / MEAN_UNENDING_GAP_S)
    return faults


def _make_crashing_prompts(seed: int, storm_s: float) -> list[Fault]:
    """Return the time in which callers send prompts that crash workers."""
    generator = random.Random(f'{seed} crashing prompts')
    latest_s = storm_s - CRASHING_PROMPTS_S
    if latest_s < FIRST_FAULT_S or generator.random() > CRASHING_SHARE:
        return []
    return [
        Fault(
            at_s=round(generator.uniform(FIRST_FAULT_S, latest_s), 3),
            duration_s=CRASHING_PROMPTS_S,
            kind=Kind.PROMPTS_CRASH,
            target='',
        )
    ]


def _make_state_of_all_workers(
    seed: int, storm_s: float, *, kind: Kind, share: float
) -> list[Fault]:
    """Return a fault of all workers that lasts until the storm ends.

    It comes in this share of the runs.
    """
    generator = random.Random(f'{seed} {SEED_BY_KIND[kind]}')
    if generator.random() > share:
        return []
    at_s = generator.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, storm_s / 3))
    return [
        Fault(
            at_s=round(at_s, 3),
            duration_s=round(storm_s - at_s, 3),
            kind=kind,
            target='',
        )
    ]


def _make_unwilling_workers(
    seed: int, storm_s: float, topology: Topology, *, kind: Kind, share: float
) -> list[Fault]:
    """Return the faults of some workers that want no requests.

    They come in this share of the runs.
    """
    generator = random.Random(f'{seed} {SEED_BY_KIND[kind]}')
    if generator.random() > share:
        return []
    count = generator.randint(1, MAX_UNWILLING)
    latest_s = max(FIRST_FAULT_S, storm_s - MIN_UNWILLING_S)
    faults = []
    for worker in generator.sample(topology.workers, count):
        at_s = generator.uniform(FIRST_FAULT_S, latest_s)
        longest_s = max(MIN_UNWILLING_S, storm_s - at_s)
        faults.append(
            Fault(
                at_s=round(at_s, 3),
                duration_s=round(
                    generator.uniform(MIN_UNWILLING_S, longest_s), 3
                ),
                kind=kind,
                target=worker,
            )
        )
    return faults


def _make_pauses(
    seed: int, planned_from_s: float, topology: Topology
) -> list[Fault]:
    """Return the pauses of sound workers beside each planned work."""
    generator = random.Random(f'{seed} pauses')
    return [
        Fault(
            at_s=round(
                planned_from_s + number * PLANNED_GAP_S + generator.random(), 3
            ),
            duration_s=round(generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S), 3),
            kind=Kind.WORKER_PAUSES,
            target=worker,
        )
        for number in range(len(PLANNED_KINDS))
        for worker in topology.workers
        if generator.random() < PAUSED_SHARE
    ]
