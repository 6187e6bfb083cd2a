"""Reconstructs the timeline of one request from the logs of nodes."""

import collections.abc
import dataclasses
import typing

import msgspec

# The timeline shows fleet events from CONTEXT_BEFORE_S before the first
# decision about a request, as they may have influenced it, to CONTEXT_AFTER_S
# after the last one.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 0.5
# Shown whichever endpoints and groups the request was sent to.
FLEET_EVENTS = frozenset(
    {
        'data_centre_marked',
        'leader_elected',
        'leader_stepped_down',
        'lines_left_out',
        'node_draining',
        'subscriber_lost',
        'table_in_force',
    }
)
BROKEN_LINE = 'broken_line'
HIDDEN_FIELDS = frozenset(
    {'message_type', 'request', 'task_level', 'task_uuid', 'timestamp'}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log.

    `time_s` is in seconds since 1970; `node` is the node that wrote the
    line, empty if unknown.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        fields_text = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in HIDDEN_FIELDS and value not in ('', None)
        )
        return (
            f'{self.time_s:.3f} {self.node:<12} {self.event:<18} {fields_text}'
        )


def parse_log_lines(
    source: collections.abc.Iterable[str], *, node: str
) -> collections.abc.Iterator[LogLine]:
    """Yield the JSON lines of a log, parsed; skip all other lines.

    A line that begins like JSON but does not parse is yielded as an event
    BROKEN_LINE without a time. If there are words before the JSON of a line,
    the last of them is taken as the name of the node instead of the argument.
    """
    for text in source:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            yield LogLine(time_s=0.0, node=node, event=BROKEN_LINE, fields={})
            continue
        if not isinstance(fields, dict) or 'timestamp' not in fields:
            continue
        words = text[:start].split()
        yield LogLine(
            time_s=fields['timestamp'],
            node=words[-1] if words else node,
            event=fields.get('message_type', fields.get('action_type', '')),
            fields=fields,
        )


def build_timeline(
    lines: collections.abc.Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the decisions about a request and related events, by time.

    The related events are those of the endpoints and groups that the
    decisions name, and FLEET_EVENTS, and all earlier ones that led to a
    quarantine of its prompt. The list is empty if no line is about the
    request.
    """
    lines = list(lines)
    decisions = _find_decisions(lines, request_id)
    if not decisions:
        return []
    names = {
        value
        for line in decisions
        for key in ('endpoint', 'group')
        if (value := line.fields.get(key))
    }
    held_parts = {
        part
        for line in decisions
        if line.event == 'quarantined'
        and (part := line.fields.get('prompt_part'))
    }
    start_s = decisions[0].time_s - CONTEXT_BEFORE_S
    end_s = decisions[-1].time_s + CONTEXT_AFTER_S
    related_events = [
        line
        for line in lines
        if start_s <= line.time_s <= end_s
        and 'request' not in line.fields
        and (
            line.event in FLEET_EVENTS
            or names & {line.fields.get('endpoint'), line.fields.get('group')}
        )
    ]
    quarantine_events = [
        line
        for line in lines
        if line.time_s <= end_s
        and line not in related_events
        and _is_about_parts(line, held_parts)
    ]
    return sorted(
        [*decisions, *related_events, *quarantine_events],
        key=lambda line: line.time_s,
    )


def _is_about_parts(line: LogLine, parts: set[str]) -> bool:
    """Whether a line tells of a crash or a quarantine for these parts."""
    match line.event:
        case 'endpoint_crashed':
            return bool(
                parts & set(line.fields.get('prompt_parts', '').split(','))
            )
        case str(event) if event.startswith('prompt_part_'):
            return line.fields.get('prompt_part') in parts
    return False


def _find_decisions(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request, each at the time of its decision.

    A node logs all decisions about a request when the request ends. The
    field `after_ms` holds the time from the start of the request to the
    decision; request_ended has it too, so the difference gives the time.
    """
    request_lines = [
        line for line in lines if line.fields.get('request') == request_id
    ]
    end_line_by_node = {
        line.node: line
        for line in request_lines
        if line.event == 'request_ended'
    }
    decisions = []
    for line in request_lines:
        end_line = end_line_by_node.get(line.node, line)
        after_ms = line.fields.get('after_ms', 0)
        before_end_s = (
            end_line.fields.get('after_ms', after_ms) - after_ms
        ) / 1000
        decisions.append(
            dataclasses.replace(line, time_s=end_line.time_s - before_end_s)
        )
    return sorted(decisions, key=lambda line: line.time_s)


def count_missing_lines(
    lines: collections.abc.Iterable[LogLine],
) -> tuple[int, int]:
    """Return how many lines nodes left out, and how many do not parse."""
    left_out = 0
    broken = 0
    for line in lines:
        match line.event:
            case 'lines_left_out':
                left_out += line.fields.get('count', 0)
            case _ if line.event == BROKEN_LINE:
                broken += 1
    return left_out, broken
