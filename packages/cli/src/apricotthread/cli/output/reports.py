"""Formats the results of commands as sentences and aligned columns."""

import datetime

from apricotthread.cli import client
from apricotthread.cli.output import grids
from apricotthread.control import state
from apricotthread.control import tables
from apricotthread.operators import bodies


def format_status(status: bodies.StatusBody) -> str:
    """Return the status of the system as text."""
    majority = (
        f'leader is {status.leader}'
        if status.has_majority
        else 'NO MAJORITY: changes are refused, service goes on'
    )
    parts = [
        f'Seen from node {status.node_id} in {status.data_centre}: version '
        f'{status.version} in force, {majority}.',
        _format_data_centres(status),
        _format_nodes(status),
        _format_services(status),
        format_groups(status.groups),
    ]
    if status.idle_vms:
        parts.append('Idle VMs: ' + ', '.join(status.idle_vms))
    return '\n\n'.join(part for part in parts if part)


def format_quarantine(body: bodies.QuarantineBody) -> str:
    """Return the parts of prompts that have crashed endpoints, as text."""
    if not body.parts:
        return 'No part of a prompt is in quarantine.'
    rows = tuple(
        (
            part.part,
            part.condition.replace('_', ' '),
            f'{part.remaining_s:.0f} s',
            str(part.crashes),
            str(part.strikes),
            'another part may be the cause' if part.tentative else '',
        )
        for part in body.parts
    )
    heading = ('PART', 'CONDITION', 'ENDS IN', 'CRASHES', 'TIMES', '')
    return grids.format_grid(grids.Grid(heading=heading, rows=rows))


def _format_data_centres(status: bodies.StatusBody) -> str:
    if status.taken_out:
        names = ', '.join(status.taken_out)
        return (
            f'Taken out: {names}. Bring back with: apricotthread data-centre '
            f'bring-back {status.taken_out[0]}'
        )
    if status.taken_out_locally:
        return (
            f'{status.data_centre} is taken out locally; this is recorded in '
            'the agreed state when a majority is back.'
        )
    return 'All data centres are in.'


def _format_nodes(status: bodies.StatusBody) -> str:
    rows = tuple(
        (
            node.node_id,
            node.data_centre,
            'up' if node.alive else 'NOT HEARD',
            'votes' if node.voter else '',
            str(node.version),
            'draining' if node.draining else '',
        )
        for node in status.nodes
    )
    heading = ('NODE', 'DATA CENTRE', 'STATE', 'VOTER', 'VERSION', '')
    return grids.format_grid(grids.Grid(heading=heading, rows=rows))


def _format_services(status: bodies.StatusBody) -> str:
    if not status.services:
        return 'No services yet. Add one with: apricotthread table import FILE'
    rows = tuple(
        (
            service.name,
            str(service.limit_requests),
            str(service.free_requests),
            str(service.queued),
        )
        for service in status.services
    )
    heading = ('SERVICE', 'CAN HOLD', 'FREE', 'QUEUED')
    return grids.format_grid(grids.Grid(heading=heading, rows=rows))


def format_groups(groups: list[bodies.GroupStatus]) -> str:
    """Return the groups of the ledger as text, or say that none exist."""
    if not groups:
        return 'No groups.'
    rows = tuple(
        (
            entry.group.group_id,
            entry.group.service,
            entry.group.data_centre,
            entry.group.fabric_domain,
            _describe_group_state(entry),
            str(entry.group.fencing),
            ' '.join(m.endpoint_id for m in entry.group.members),
            ' '.join(m.endpoint_id for m in entry.group.departed),
        )
        for entry in groups
    )
    heading = (
        'GROUP',
        'SERVICE',
        'DATA CENTRE',
        'DOMAIN',
        'STATE',
        'FENCING',
        'MEMBERS',
        'STILL HELD',
    )
    return grids.format_grid(grids.Grid(heading=heading, rows=rows))


def _describe_group_state(entry: bodies.GroupStatus) -> str:
    if not entry.group.members:
        return 'dissolved'
    if entry.group.state == 'serving' and not entry.whole:
        return 'BROKEN'
    return entry.group.state


def format_changes(changes: list[tables.RowChange]) -> str:
    """Return the changed rows, the old cells after -, the new after +."""
    lines = []
    for change in changes:
        lines.append(str(change.key))
        if change.before is not None:
            lines.append('  - ' + _format_row(change.before))
        if change.after is not None:
            lines.append('  + ' + _format_row(change.after))
    return '\n'.join(lines) or 'No row differs.'


def _format_row(row: tables.AnyRow) -> str:
    cells = tables.cells_of(row)
    return ' '.join(
        f'{name}={cell}' for name, cell in cells.items() if name != 'row'
    )


def format_in_force(in_force: client.InForceStatus, version: int) -> str:
    """Return which nodes have a version in force and which do not yet."""
    if not in_force.unconfirmed:
        return f'Version {version} is in force on all nodes.'
    unconfirmed = ', '.join(in_force.unconfirmed)
    confirmed = ', '.join(in_force.confirmed) or 'none'
    return (
        f'Version {version} is accepted and stays accepted. In force on: '
        f'{confirmed}. Not confirmed by: {unconfirmed}. These nodes apply it '
        'when they can be reached again; check with: apricotthread status'
    )


def format_conflict(outcome: bodies.OutcomeBody) -> str:
    """Return why a change conflicts, with the rows as they are now."""
    lines = [f'Not changed: {outcome.result.message}.']
    for conflict in outcome.result.conflicts:
        now = _format_row(conflict.now) if conflict.now else '(no such row)'
        lines.append(
            f'  {conflict.key} was changed in version {conflict.changed_in} '
            f'and now is: {now}'
        )
    lines.append('Look at the row as it is now, and send the change again.')
    return '\n'.join(lines)


def format_audit(records: list[state.AuditRecord]) -> str:
    """Return records of the audit trail as text."""
    if not records:
        return 'No records.'
    rows = tuple(
        (
            _format_time(record.wall_time_s),
            record.operator,
            record.source,
            record.action,
            record.subject,
            record.result,
            str(record.version),
        )
        for record in records
    )
    heading = (
        'TIME',
        'OPERATOR',
        'FROM',
        'ACTION',
        'ROW',
        'RESULT',
        'VERSION',
    )
    return grids.format_grid(grids.Grid(heading=heading, rows=rows))


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')
