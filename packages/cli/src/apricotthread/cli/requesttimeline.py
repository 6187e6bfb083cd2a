"""Puts the story of one request together from the logs of nodes."""

import collections.abc
import dataclasses
import typing

import msgspec

# Beliefs that changed this long before a request may have decided it.
BEFORE_S = 5.0
AFTER_S = 0.5
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
HIDDEN_FIELDS = frozenset(
    {'message_type', 'request', 'task_level', 'task_uuid', 'timestamp'}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record of a log, and the node that wrote it, if it is known."""

    time_s: float
    node: str
    event: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        shown = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in HIDDEN_FIELDS and value not in ('', None)
        )
        return f'{self.time_s:.3f} {self.node:<12} {self.event:<18} {shown}'


def parse_log_lines(
    source: collections.abc.Iterable[str], *, node: str
) -> collections.abc.Iterator[LogRecord]:
    """Yield the records in the lines of a log; others are passed over.

    A line may have words before its JSON, of which the last is taken for
    the node's name.
    """
    for text in source:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or 'timestamp' not in fields:
            continue
        words = text[:start].split()
        yield LogRecord(
            time_s=fields['timestamp'],
            node=words[-1] if words else node,
            event=fields.get('message_type', fields.get('action_type', '')),
            fields=fields,
        )


def build_timeline(
    lines: collections.abc.Iterable[LogRecord], request_id: str
) -> list[LogRecord]:
    """Return what was decided about a request, and what was believed.

    The decisions of a request are written when it ends; each is put at
    the time at which it was made.
    """
    lines = list(lines)
    own = _decisions(lines, request_id)
    if not own:
        return []
    names = {
        value
        for line in own
        for key in ('endpoint', 'group')
        if (value := line.fields.get(key))
    }
    first = own[0].time_s - BEFORE_S
    last = own[-1].time_s + AFTER_S
    beliefs = [
        line
        for line in lines
        if first <= line.time_s <= last
        and 'request' not in line.fields
        and (
            line.event in FLEET_EVENTS
            or names & {line.fields.get('endpoint'), line.fields.get('group')}
        )
    ]
    return sorted([*own, *beliefs], key=lambda line: line.time_s)


def _decisions(lines: list[LogRecord], request_id: str) -> list[LogRecord]:
    """Return the lines of one request at the times of their decisions."""
    written = [
        line for line in lines if line.fields.get('request') == request_id
    ]
    ended_by_node = {
        line.node: line for line in written if line.event == 'request_ended'
    }
    own = []
    for line in written:
        ended = ended_by_node.get(line.node, line)
        after_ms = line.fields.get('after_ms', 0)
        behind_s = (ended.fields.get('after_ms', after_ms) - after_ms) / 1000
        own.append(dataclasses.replace(line, time_s=ended.time_s - behind_s))
    return sorted(own, key=lambda line: line.time_s)
