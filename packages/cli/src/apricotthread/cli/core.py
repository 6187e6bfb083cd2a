"""Implements the commands; each returns its exit status."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import traceback
import urllib.parse

import msgspec

from apricotthread.base import errors
from apricotthread.base import settings as node_settings
from apricotthread.cli import client
from apricotthread.cli import context as contexts
from apricotthread.cli.output import reports
from apricotthread.cli import requesttimeline
from apricotthread.cli import status
from apricotthread.control import commands
from apricotthread.control import tablecsv
from apricotthread.control import tables
from apricotthread.operators import bodies

NODES_HELP = (
    'name the operator ports of some nodes with --nodes IP:PORT,IP:PORT or '
    f'in the variable {contexts.NODES_VARIABLE}'
)


class UsageError(Exception):
    """An argument of a command is wrong."""


def run_command(
    context: contexts.Context,
    command: collections.abc.Coroutine[None, None, status.ExitStatus],
) -> status.ExitStatus:
    """Run a command; print an error as a sentence and return its status."""
    try:
        return asyncio.run(command)
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED
    except (
        UsageError,
        client.UnreachableError,
        client.CommandError,
        errors.ApricotError,
        OSError,
    ) as error:
        if context.debug:
            traceback.print_exception(error, file=context.stderr)
        context.print_error(f'apricotthread: {_describe_error(error)}')
        return _exit_status_for(error)


def _describe_error(error: Exception) -> str:
    match error:
        case client.UnreachableError():
            advice = (
                ' It is not known whether the change arrived; send it again '
                f'with --command-id {error.command_id} to learn its result.'
                if error.command_id
                else ''
            )
            return (
                f'no node answered ({error}). Check the addresses, or '
                f'{NODES_HELP}.{advice}'
            )
        case client.CommandError(body=body) if body.ran == 'unknown':
            return f'{body.message} (code {body.code}).'
        case client.CommandError(body=body):
            return f'{body.message} (code {body.code}). Nothing was changed.'
        case _:
            return str(error)


def _exit_status_for(error: Exception) -> status.ExitStatus:
    match error:
        case UsageError():
            return status.ExitStatus.USAGE
        case client.UnreachableError():
            return status.ExitStatus.UNREACHABLE
        case client.CommandError(body=body) if body.ran == 'unknown':
            return status.ExitStatus.UNKNOWN_OUTCOME
        case client.CommandError():
            return status.ExitStatus.REFUSED
        case node_settings.SettingsError():
            return status.ExitStatus.SETTINGS
        case errors.ApricotError():
            return status.ExitStatus.REFUSED
        case _:
            return status.ExitStatus.FAILURE


# Commands that print or change the table


async def show_table(
    context: contexts.Context, nodes: str, as_json: bool
) -> status.ExitStatus:
    """Print the table as CSV."""
    body = await client.OperatorClient(
        context=context, nodes=nodes
    ).fetch_table()
    if as_json:
        context.print(msgspec.json.encode(body).decode())
    else:
        context.stdout.write(tablecsv.format_csv(body.table))
        context.print_error(f'# version {body.version}')
    return status.ExitStatus.SUCCESS


def read_table(context: contexts.Context, file: str) -> tables.Table:
    """Read a table from a CSV file, or from standard input for '-'."""
    if file == '-':
        return tablecsv.parse_csv(context.stdin.read())
    try:
        text = pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        raise UsageError(f'{file}: {error}') from error
    return tablecsv.parse_csv(text)


def parse_assignments(
    key: tables.RowKey,
    assignments: list[str],
    current_row: tables.AnyRow | None,
) -> tables.AnyRow:
    """Return the current row, or a new one, with the assignments applied.

    Raises UsageError for an assignment that is not COLUMN=VALUE.
    """
    cells = tables.cells_of(current_row) if current_row is not None else {}
    cells |= {'row': key.row, 'name': key.name}
    if key.service:
        cells['service'] = key.service
    for assignment in assignments:
        column, equals, value = assignment.partition('=')
        if not equals or column not in tables.COLUMNS:
            allowed = ', '.join(tables.COLUMNS)
            raise UsageError(
                f'{assignment!r}: allowed is COLUMN=VALUE with a column of '
                f'{allowed}'
            )
        if column in ('row', 'name', 'service'):
            raise UsageError(f'{column!r} is part of the key {key}')
        cells[column] = value
    return tablecsv.parse_cells(cells, place=f'row {key}')


async def set_row(
    context: contexts.Context,
    nodes: str,
    key_text: str,
    assignments: list[str],
    *,
    options: 'ChangeOptions',
) -> status.ExitStatus:
    """Change cells of one row, or add the row."""
    key = tables.parse_key(key_text)
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    current = await operator_client.fetch_table()
    current_row = current.table.row_by_key().get(key)
    row = parse_assignments(key, assignments, current_row)
    edits = [commands.RowEdit(key=key, row=row)]
    return await _change(context, operator_client, current, edits, options)


async def delete_row(
    context: contexts.Context,
    nodes: str,
    key_text: str,
    *,
    options: 'ChangeOptions',
) -> status.ExitStatus:
    """Delete one row."""
    key = tables.parse_key(key_text)
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    current = await operator_client.fetch_table()
    edits = [commands.RowEdit(key=key, row=None)]
    return await _change(context, operator_client, current, edits, options)


async def import_table(
    context: contexts.Context,
    nodes: str,
    file: str,
    *,
    options: 'ChangeOptions',
) -> status.ExitStatus:
    """Make the table equal to a CSV file, in one change."""
    new_table = read_table(context, file)
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    current = await operator_client.fetch_table()
    edits = [
        commands.RowEdit(key=change.key, row=change.after)
        for change in tables.diff_tables(current.table, new_table)
    ]
    return await _change(context, operator_client, current, edits, options)


async def diff_table(
    context: contexts.Context, nodes: str, file: str
) -> status.ExitStatus:
    """Print how a CSV file differs from the table in force."""
    new_table = read_table(context, file)
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    current = await operator_client.fetch_table()
    changes = tables.diff_tables(current.table, new_table)
    context.print(reports.format_changes(changes))
    return status.ExitStatus.SUCCESS


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeOptions:
    """Options of the commands that change something."""

    command_id: str = ''
    base: int | None = None
    dry_run: bool = False


async def _change(
    context: contexts.Context,
    operator_client: client.OperatorClient,
    current: bodies.TableBody,
    edits: list[commands.RowEdit],
    options: ChangeOptions,
) -> status.ExitStatus:
    if not edits:
        context.print('Nothing to change: the table already has these rows.')
        return status.ExitStatus.SUCCESS
    base = current.version if options.base is None else options.base
    outcome = await operator_client.change_rows(
        bodies.ChangeBody(
            command_id=options.command_id or context.make_command_id(),
            operator=context.operator,
            base_version=base,
            edits=edits,
            dry_run=options.dry_run,
        )
    )
    if options.dry_run:
        context.print('Dry run, nothing was changed. This would change:')
        context.print(reports.format_changes(outcome.changes))
        return status.ExitStatus.SUCCESS
    if outcome.result.accepted:
        context.print(reports.format_changes(outcome.changes))
    return await _report_outcome(context, operator_client, outcome)


async def _report_outcome(
    context: contexts.Context,
    operator_client: client.OperatorClient,
    outcome: bodies.OutcomeBody,
) -> status.ExitStatus:
    """Print the result of a command and wait until it is in force."""
    result = outcome.result
    if result.code == errors.ErrorCode.CONFLICT.label:
        context.print_error(reports.format_conflict(outcome))
        return status.ExitStatus.CONFLICT
    if not result.accepted:
        context.print_error(f'Not changed: {result.message}')
        return status.ExitStatus.REFUSED
    context.print(
        f'Accepted as version {result.version} (command {outcome.command_id}).'
    )
    in_force = await operator_client.wait_in_force(
        result.version, context.in_force_timeout_s
    )
    context.print(reports.format_in_force(in_force, result.version))
    if in_force.unconfirmed:
        return status.ExitStatus.NOT_IN_FORCE_YET
    return status.ExitStatus.SUCCESS


# Commands that change data centres and voters


async def mark_data_centre(
    context: contexts.Context,
    nodes: str,
    name: str,
    *,
    out: bool,
    force: bool,
    options: ChangeOptions,
) -> status.ExitStatus:
    """Take a data centre out or bring it back."""
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    system_status = await operator_client.fetch_status()
    is_out = name in system_status.taken_out
    if options.dry_run:
        now = 'out' if is_out else 'in'
        then = 'out' if out else 'in'
        context.print(f'Dry run: {name} is {now} and would be {then}.')
        return status.ExitStatus.SUCCESS
    outcome = await operator_client.mark_data_centre(
        name,
        bodies.MarkBody(
            command_id=options.command_id or context.make_command_id(),
            operator=context.operator,
            base_version=(
                system_status.version if options.base is None else options.base
            ),
            out=out,
            force=force,
        ),
    )
    if outcome.local_only:
        context.print(
            f'No majority can be reached. {name} takes no new work on the '
            'nodes that the answering node can reach; this is recorded in the '
            'agreed state when a majority is back. Check with: apricotthread '
            'status'
        )
        return status.ExitStatus.NOT_IN_FORCE_YET
    if outcome.result.accepted:
        if is_out == out:
            context.print(f'{name} was {"out" if out else "in"} already.')
        elif out:
            context.print(
                f'{name} takes no new work; what it has begun ends normally. '
                f'Bring it back with: apricotthread data-centre bring-back '
                f'{name}'
            )
        else:
            context.print(f'{name} takes work again.')
    return await _report_outcome(context, operator_client, outcome)


async def change_voter(
    context: contexts.Context,
    nodes: str,
    name: str,
    *,
    admit: bool,
    options: ChangeOptions,
) -> status.ExitStatus:
    """Admit a control node's disk as a voter, or remove it."""
    operator_client = client.OperatorClient(context=context, nodes=nodes)
    outcome = await operator_client.change_voter(
        name,
        bodies.VoterBody(
            command_id=options.command_id or context.make_command_id(),
            operator=context.operator,
            admit=admit,
        ),
    )
    return await _report_outcome(context, operator_client, outcome)


# Commands that only print or check something


def _show(
    context: contexts.Context,
    data,
    as_json: bool,
    format_text: collections.abc.Callable[..., str],
) -> status.ExitStatus:
    """Print data as JSON for programs, or as text."""
    if as_json:
        context.print(msgspec.json.encode(data).decode())
    else:
        context.print(format_text(data))
    return status.ExitStatus.SUCCESS


async def show_status(
    context: contexts.Context, nodes: str, as_json: bool
) -> status.ExitStatus:
    """Print the status of the system as the answering node sees it."""
    body = await client.OperatorClient(
        context=context, nodes=nodes
    ).fetch_status()
    return _show(context, body, as_json, reports.format_status)


async def show_groups(
    context: contexts.Context, nodes: str, as_json: bool
) -> status.ExitStatus:
    """Print the groups of the ledger."""
    body = await client.OperatorClient(
        context=context, nodes=nodes
    ).fetch_status()
    return _show(context, body.groups, as_json, reports.format_groups)


async def show_quarantine(
    context: contexts.Context, nodes: str, as_json: bool
) -> status.ExitStatus:
    """Print the parts of prompts that have crashed endpoints."""
    body = await client.OperatorClient(
        context=context, nodes=nodes
    ).fetch_quarantine()
    return _show(context, body, as_json, reports.format_quarantine)


async def release_part(
    context: contexts.Context, nodes: str, part: str
) -> status.ExitStatus:
    """Release a part of prompts from quarantine, on all nodes."""
    await client.OperatorClient(context=context, nodes=nodes).release_part(
        part
    )
    context.print(
        f'{part} is released; all entries know it within a second or two. '
        'New crashes bring it back.'
    )
    return status.ExitStatus.SUCCESS


async def show_audit(
    context: contexts.Context,
    nodes: str,
    as_json: bool,
    *,
    row: str,
    by: str,
    since: float,
) -> status.ExitStatus:
    """Print records of the audit trail."""
    fields = {'subject': row, 'since': str(since)}
    if by:
        fields['operator'] = by
    body = await client.OperatorClient(
        context=context, nodes=nodes
    ).fetch_audit(urllib.parse.urlencode(fields))
    if as_json:
        for record in body.records:
            context.print(msgspec.json.encode(record).decode())
    else:
        context.print(reports.format_audit(body.records))
    return status.ExitStatus.SUCCESS


async def check_settings(
    context: contexts.Context, file: str
) -> status.ExitStatus:
    """Check a settings file in the same way as the daemon."""
    node_settings.read_settings(file)
    context.print(f'{file}: all settings are valid')
    return status.ExitStatus.SUCCESS


async def explain_request(
    context: contexts.Context, request_id: str, files: list[str]
) -> status.ExitStatus:
    """Print the decisions about a request, from the logs of nodes."""
    lines = []
    for file in files or ['-']:
        if file == '-':
            lines.extend(
                requesttimeline.parse_log_lines(context.stdin, node='')
            )
            continue
        path = pathlib.Path(file)
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise UsageError(f'{file}: {error.strerror}') from None
        lines.extend(
            requesttimeline.parse_log_lines(text.splitlines(), node=path.stem)
        )
    left_out, broken = requesttimeline.count_missing_lines(lines)
    if left_out or broken:
        context.print_error(
            f'the logs lack {left_out} lines that nodes left out, and '
            f'{broken} lines do not parse'
        )
    timeline = requesttimeline.build_timeline(lines, request_id)
    if not timeline:
        context.print_error(
            f'no line about request {request_id!r}: either it was answered, '
            'as only a sample of answered requests is logged, or the log of '
            'its node was not given'
        )
        return status.ExitStatus.FAILURE
    for line in timeline:
        context.print(str(line))
    return status.ExitStatus.SUCCESS
