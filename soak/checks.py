"""Checks of the promises to callers and operators, on outside observations.

Each check returns the violations of one promise. The limits are those of
the users' requirements.
"""

import collections

from apricotthread.base import settings
from soak import record
from soak import schedule

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Within this time after its acknowledgement a table has to be in force at
# undisturbed nodes.
IN_FORCE_S = 2.0
# For this time after a fault a node counts as disturbed, so that it can
# reconnect to the others.
RECONNECT_S = 3.0
# A refusal is late after more than this share of the caller's time budget.
MAX_REFUSAL_SHARE = 0.75
# This share of the attempts has to be answered whole after the faults.
MIN_SERVED_SHARE = 0.9
NO_ROUTE_STATUS = 404  # the status on a route that is not in force
# An idle connection may be closed while a request is on its way. Such an
# attempt ends within this time, and the entry has not read the request.
CLOSE_RACE_S = 0.2
# Bounds of the users for prompts that crash workers.
GRACE_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_GUILTY = 3
# Bounds of the users for workers that name a limit; the one that they name
# is a part of what the callers send.
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_KNOWN_S = 0.5
# Bounds of the users for workers that leave or are busy.
DRAIN_S = 2.0
BUSY_KNOWN_S = 0.5
MAX_IN_BUSY_TIME = 2
# The nodes are started with the default bound on retries.
RETRY_RATIO = settings.Discovery.retry_ratio
RETRY_SLACK = settings.Discovery.retry_slack
RETRY_WINDOW_S = settings.Discovery.retry_window_s


def check_answers(observations: record.Observations) -> list[str]:
    """Check that answers are whole and belong to their request."""
    return [
        f'{a.attempt_id}: {a.violation}'
        for a in observations.attempts
        if a.violation
    ]


def check_at_most_once(observations: record.Observations) -> list[str]:
    """Check that a request that may not be repeated runs at most once."""
    bids = {
        a.attempt_id
        for a in observations.attempts
        if a.kind is record.CallKind.BID
    }
    counts = collections.Counter(run.attempt_id for run in observations.runs)
    return [
        f'{attempt_id} ran {count} times'
        for attempt_id, count in counts.items()
        if count > 1 and attempt_id in bids
    ]


def check_not_run_refusals(observations: record.Observations) -> list[str]:
    """Check that no bid ran whose refusal says that it did not run."""
    ran = {run.attempt_id for run in observations.runs}
    return [
        f'{a.attempt_id}: status {a.status}, and it ran'
        for a in observations.attempts
        if a.kind is record.CallKind.BID
        and a.status in NOT_RUN_STATUSES
        and a.attempt_id in ran
    ]


def check_whole_groups(observations: record.Observations) -> list[str]:
    """Check that no request ran in a partial group, and no VM was in two."""
    return [
        f'{run.attempt_id} at {run.worker}: {run.violation}'
        for run in observations.runs
        if run.violation
    ] + observations.double_memberships


def check_tables_kept(observations: record.Observations) -> list[str]:
    """Check that no read returns an older table than an acknowledged one.

    Only tables acknowledged more than IN_FORCE_S before the read count.
    """
    violations = []
    for read in observations.read_back:
        newest = max(
            (
                ack.version
                for ack in observations.acknowledged_tables
                if ack.at_s + IN_FORCE_S < read.asked_s
            ),
            default=0,
        )
        if read.version < newest:
            violations.append(
                f'version {read.version} at {read.asked_s:.1f} s, after '
                f'{newest} was acknowledged'
            )
    return violations


def check_tables_in_force(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that undisturbed entries have a new table in force in time."""
    return [
        f'{probe.entry} at {probe.asked_s:.1f} s: status {probe.status}, '
        f'version {probe.expected} should be in force'
        for probe in observations.probes
        if probe.status == NO_ROUTE_STATUS
        and is_undisturbed(plan, probe.entry, probe.asked_s, probe.asked_s)
    ]


def check_planned_work(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that planned work cuts no answer to a request that was read.

    A request sent while its idle connection was being closed was not read.
    """
    ran = {run.attempt_id for run in observations.runs}
    return [
        f'{a.attempt_id} ({a.kind.value}) at {a.entry}, {a.began_s:.1f} s'
        for a in observations.attempts
        if a.outcome is record.Outcome.CUT
        and a.began_s >= plan.planned_from_s
        and (a.attempt_id in ran or a.ended_s - a.began_s > CLOSE_RACE_S)
    ]


def check_refusal_times(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that requests are refused at once, not after a long wait."""
    return [
        f'{a.attempt_id} ({a.kind.value}) at {a.entry}: refused after '
        f'{a.ended_s - a.began_s:.2f} s'
        for a in observations.attempts
        if a.outcome is record.Outcome.REFUSED
        and a.ended_s - a.began_s
        > MAX_REFUSAL_SHARE * record.TIME_BUDGET_S_BY_KIND[a.kind]
        and is_undisturbed(plan, a.entry, a.began_s, a.ended_s)
    ]


def check_recovery(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that callers are served again after the faults."""
    later_attempts = [
        a for a in observations.attempts if a.began_s >= plan.planned_from_s
    ]
    whole_count = sum(
        a.outcome is record.Outcome.WHOLE for a in later_attempts
    )
    if later_attempts and whole_count >= MIN_SERVED_SHARE * len(
        later_attempts
    ):
        return []
    return [f'{whole_count} of {len(later_attempts)} served after the faults']


def check_guilty_prompts(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that prompts that crash workers are kept away from them.

    After the fifth crash, undisturbed entries have CONTACT_S to learn of it.
    """
    crashes = [r.at_s for r in observations.guilty_runs if r.crashed]
    if len(crashes) < GRACE_CRASHES:
        return []
    from_s = sorted(crashes)[GRACE_CRASHES - 1] + CONTACT_S
    late = [
        run
        for run in observations.guilty_runs
        if run.at_s > from_s
        and is_undisturbed(
            plan,
            observations.entry_by_guilty_attempt[run.attempt_id],
            run.at_s - CONTACT_S,
            run.at_s,
        )
    ]
    if len(late) <= MAX_LATE_GUILTY:
        return []
    return [f'{run.attempt_id} ran at {run.at_s:.1f} s' for run in late]


def check_sound_prompts(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that prompts that share parts with guilty ones are served."""
    streams = [
        a
        for a in observations.attempts
        if a.kind is record.CallKind.STREAM
        and a.began_s >= plan.planned_from_s
    ]
    whole_count = sum(a.outcome is record.Outcome.WHOLE for a in streams)
    if whole_count >= MIN_SERVED_SHARE * len(streams):
        return []
    return [f'{whole_count} of {len(streams)} sound streams served']


def check_repeats(observations: record.Observations) -> list[str]:
    """Check that in every window requests reach workers again but rarely.

    All entries together may repeat RETRY_RATIO of the requests for a service,
    of the window, or of the one before it or half a window before it, plus
    RETRY_SLACK.
    """
    sent_by_service = collections.defaultdict(list)
    for request in observations.sent:
        sent_by_service[request.service].append(request.at_s)
    repeats_by_service = collections.defaultdict(list)
    known_ids = set()
    for arrival in observations.arrivals:
        if arrival.attempt_id in known_ids:
            repeats_by_service[arrival.service].append(arrival.at_s)
        known_ids.add(arrival.attempt_id)
    violations = []
    for service, repeats in repeats_by_service.items():
        for start_s in repeats:
            count = _count_in_window(repeats, start_s, RETRY_WINDOW_S)
            requests = max(
                _count_in_window(
                    sent_by_service[service],
                    start_s - earlier_s,
                    RETRY_WINDOW_S,
                )
                for earlier_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                violations.append(
                    f'{service}: {count} repeats within {RETRY_WINDOW_S} s '
                    f'from {start_s:.1f} s, for {requests} requests'
                )
    return violations


def _count_in_window(
    times_s: list[float], start_s: float, window_s: float
) -> int:
    return sum(start_s <= at_s < start_s + window_s for at_s in times_s)


def check_named_limits(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that a worker gets no more than one and a half times its limit.

    Counted are the requests of entries that have passed on an answer with the
    limit, unless a fault disturbed them within CONTACT_S, from CONTACT_S after
    it was named first.
    """
    entry_by_attempt = {a.attempt_id: a.entry for a in observations.attempts}
    named_at: dict[str, float] = {}
    told_at: dict[tuple[str, str], float] = {}
    for named in observations.named_limits:
        entry = entry_by_attempt.get(named.attempt_id, '')
        named_at.setdefault(named.worker, named.at_s)
        told_at.setdefault((named.worker, entry), named.at_s)
    times_by_worker = collections.defaultdict(list)
    for arrival in observations.arrivals:
        entry = entry_by_attempt.get(arrival.attempt_id, '')
        told_s = told_at.get((arrival.worker, entry), float('inf'))
        if (
            arrival.at_s - told_s >= LIMIT_KNOWN_S
            and arrival.at_s >= named_at[arrival.worker] + CONTACT_S
            and arrival.at_s <= plan.storm_ends_s
            and not _is_disturbed(
                plan, entry, arrival.at_s - CONTACT_S, arrival.at_s
            )
        ):
            times_by_worker[arrival.worker].append(arrival.at_s)
    allowed = LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK
    return [
        f'{worker}: {count} requests within {LIMIT_WINDOW_S} s from '
        f'{start_s:.1f} s'
        for worker, times in times_by_worker.items()
        for start_s in times
        if (count := _count_in_window(times, start_s, LIMIT_WINDOW_S))
        > allowed
    ]


def check_leaving(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that no entry sends requests to a worker that it knows to leave.

    It knows once it has passed on an answer that says so, unless a fault has
    disturbed it since. Requests count that were sent DRAIN_S later.
    """
    attempt_by_id = {a.attempt_id: a for a in observations.attempts}
    arrivals = collections.Counter(a.attempt_id for a in observations.arrivals)
    told_at: dict[tuple[str, int, str], float] = {}
    for told in observations.unwilling:
        attempt = attempt_by_id.get(told.attempt_id)
        if (
            told.busy_s is None
            and attempt is not None
            and attempt.outcome is record.Outcome.WHOLE
            # The answer is certainly that of this worker.
            and arrivals[told.attempt_id] == 1
        ):
            key = (told.worker, told.born_ms, attempt.entry)
            told_at.setdefault(key, attempt.ended_s)
    violations = []
    for arrival in observations.arrivals:
        attempt = attempt_by_id.get(arrival.attempt_id)
        if attempt is None:
            continue
        key = (arrival.worker, arrival.born_ms, attempt.entry)
        told_s = told_at.get(key, float('inf'))
        if attempt.began_s > told_s + DRAIN_S and not _is_disturbed(
            plan, attempt.entry, told_s, arrival.at_s
        ):
            violations.append(
                f'{arrival.attempt_id} at {arrival.worker} from '
                f'{attempt.entry}, {arrival.at_s:.1f} s: it was told at '
                f'{told_s:.1f} s'
            )
    return violations


def check_busy(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Check that few requests of an entry reach a worker in its busy time.

    A fault that has disturbed the entry since excuses them.
    """
    entry_by_attempt = {a.attempt_id: a.entry for a in observations.attempts}
    times_by_pair = collections.defaultdict(list)
    for arrival in observations.arrivals:
        entry = entry_by_attempt.get(arrival.attempt_id, '')
        times_by_pair[arrival.worker, arrival.born_ms, entry].append(
            arrival.at_s
        )
    violations = []
    for told in observations.unwilling:
        entry = entry_by_attempt.get(told.attempt_id, '')
        if told.busy_s is None or not entry:
            continue
        ends_s = told.at_s + told.busy_s
        times = times_by_pair[told.worker, told.born_ms, entry]
        count = _count_in_window(
            times, told.at_s + BUSY_KNOWN_S, told.busy_s - BUSY_KNOWN_S
        )
        if count > MAX_IN_BUSY_TIME and not _is_disturbed(
            plan, entry, told.at_s, ends_s
        ):
            violations.append(
                f'{told.worker}: {count} requests of {entry} while it was '
                f'busy until {ends_s:.1f} s'
            )
    return violations


def _is_disturbed(
    plan: schedule.Schedule, node: str, from_s: float, until_s: float
) -> bool:
    """Whether a fault has disturbed this very node in a period."""
    return any(
        node in (fault.target, fault.other)
        and fault.at_s <= until_s
        and fault.at_s + fault.duration_s >= from_s
        for fault in plan.faults
    )


def check_taken_out(observations: record.Observations) -> list[str]:
    """Check that a taken-out data centre gets no new requests."""
    return observations.runs_after_take_out


def check_exits(observations: record.Observations) -> list[str]:
    """Check that no node exits unexpectedly."""
    return observations.exits


def is_undisturbed(
    plan: schedule.Schedule, node: str, from_s: float, until_s: float
) -> bool:
    """Whether no fault disturbs a node or any control node in a period.

    Faults of all control nodes count, as any of them may leave the others
    without a leader. Worker faults, operator actions and planned work do
    not count. Times are seconds since the start.
    """
    for fault in plan.faults:
        if fault.kind in schedule.OPERATOR_KINDS or fault.is_planned:
            continue
        if fault.kind in schedule.WORKER_KINDS:
            continue
        is_relevant = {fault.target, fault.other} & {node} or any(
            name.startswith('control') for name in (fault.target, fault.other)
        )
        ends_s = fault.at_s + fault.duration_s + RECONNECT_S
        if is_relevant and fault.at_s <= until_s and ends_s >= from_s:
            return False
    return True


def check_all(
    observations: record.Observations, plan: schedule.Schedule
) -> dict[str, list[str]]:
    """Return the violations of each promise, by the name of the promise."""
    return {
        'answers whole': check_answers(observations),
        'at most once': check_at_most_once(observations),
        'no false "not run"': check_not_run_refusals(observations),
        'whole groups': check_whole_groups(observations),
        'tables kept': check_tables_kept(observations),
        'tables in force': check_tables_in_force(observations, plan),
        'planned work cuts nothing': check_planned_work(observations, plan),
        'refused at once': check_refusal_times(observations, plan),
        'served again': check_recovery(observations, plan),
        'guilty prompts kept away': check_guilty_prompts(observations, plan),
        'sound prompts served': check_sound_prompts(observations, plan),
        'repeats within the bound': check_repeats(observations),
        'limits of workers kept': check_named_limits(observations, plan),
        'nothing for workers that leave': check_leaving(observations, plan),
        'busy workers left alone': check_busy(observations, plan),
        'taken out': check_taken_out(observations),
        'no exits': check_exits(observations),
    }
