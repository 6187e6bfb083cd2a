"""The promises, checked on what was seen from outside.

Each check returns what broke its promise. Bounds are those of the users'
pages.
"""

import collections

from soak import record
from soak import schedule

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Within this time a table is in force at undisturbed nodes.
IN_FORCE_S = 2.0
# Undisturbed for so long a node is in touch again.
CONTACT_S = 3.0
# A refusal that was held for this part of the caller's time is late.
HELD_SHARE = 0.75
# After the faults are over so much has to be served again.
SERVED_AGAIN = 0.9
NO_ROUTE_STATUS = 404  # the status on a route that is not in force
# A request that was not read is told so within this time.
CROSSED_S = 0.2


def check_answers(observations: record.Observations) -> list[str]:
    """Answers are whole, and belong to their request."""
    return [
        f'{a.attempt_id}: {a.violation}'
        for a in observations.attempts
        if a.violation
    ]


def check_at_most_once(observations: record.Observations) -> list[str]:
    """What may not be repeated runs once at most."""
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
    """A refusal that says that a request has not run is true."""
    ran = {run.attempt_id for run in observations.runs}
    return [
        f'{a.attempt_id}: status {a.status}, and it ran'
        for a in observations.attempts
        if a.kind is record.CallKind.BID
        and a.status in NOT_RUN_STATUSES
        and a.attempt_id in ran
    ]


def check_whole_groups(observations: record.Observations) -> list[str]:
    """No request runs in a partial group, no VM is in two."""
    return [
        f'{run.attempt_id} at {run.worker}: {run.violation}'
        for run in observations.runs
        if run.violation
    ] + observations.double_memberships


def check_tables_kept(observations: record.Observations) -> list[str]:
    """What was acknowledged is never lost or older than before."""
    broken = []
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
            broken.append(
                f'version {read.version} at {read.asked_s:.1f} s, after '
                f'{newest} was acknowledged'
            )
    return broken


def check_tables_in_force(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """Undisturbed entries obey a table in time."""
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
    """Planned work cuts no answer to a request that was read.

    A request that crosses the close of an idle connection was not.
    """
    ran = {run.attempt_id for run in observations.runs}
    return [
        f'{a.attempt_id} ({a.kind.value}) at {a.entry}, {a.began_s:.1f} s'
        for a in observations.attempts
        if a.outcome is record.Outcome.CUT
        and a.began_s >= plan.planned_from_s
        and (a.attempt_id in ran or a.ended_s - a.began_s > CROSSED_S)
    ]


def check_refusal_times(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """What can not be served is refused at once."""
    return [
        f'{a.attempt_id} ({a.kind.value}) at {a.entry}: refused after '
        f'{a.ended_s - a.began_s:.2f} s'
        for a in observations.attempts
        if a.outcome is record.Outcome.REFUSED
        and a.ended_s - a.began_s > HELD_SHARE * record.TIME_BUDGET_S[a.kind]
        and is_undisturbed(plan, a.entry, a.began_s, a.ended_s)
    ]


def check_recovery(
    observations: record.Observations, plan: schedule.Schedule
) -> list[str]:
    """After the faults callers are served as before."""
    late = [
        a for a in observations.attempts if a.began_s >= plan.planned_from_s
    ]
    whole = sum(a.outcome is record.Outcome.WHOLE for a in late)
    if late and whole >= SERVED_AGAIN * len(late):
        return []
    return [f'{whole} of {len(late)} served after the faults']


def check_taken_out(observations: record.Observations) -> list[str]:
    """A data centre that was taken out gets nothing new."""
    return observations.runs_after_take_out


def check_exits(observations: record.Observations) -> list[str]:
    """No node ends by itself."""
    return observations.exits


def is_undisturbed(
    plan: schedule.Schedule, node: str, from_s: float, until_s: float
) -> bool:
    """Whether nothing disturbs a node, nor any control node, for a while.

    A fault of any control node may leave the others without a leader.
    """
    for fault in plan.faults:
        if fault.kind in schedule.OPERATOR_KINDS or fault.is_planned:
            continue
        if fault.kind in schedule.WORKER_KINDS:
            continue
        is_near = {fault.target, fault.other} & {node} or any(
            name.startswith('control') for name in (fault.target, fault.other)
        )
        ends_s = fault.at_s + fault.duration_s + CONTACT_S
        if is_near and fault.at_s <= until_s and ends_s >= from_s:
            return False
    return True


def check_all(
    observations: record.Observations, plan: schedule.Schedule
) -> dict[str, list[str]]:
    """Return what broke each promise, by the promise."""
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
        'taken out': check_taken_out(observations),
        'no exits': check_exits(observations),
    }
