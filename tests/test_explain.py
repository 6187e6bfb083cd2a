"""The cause of a failed request is found from the lines alone."""

import io
import json

import pytest

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.cli import context as contexts
from apricotthread.cli import core
from apricotthread.cli import status
from apricotthread.cli import stories as told
from apricotthread.fakes import virtualclock
from apricotthread.gateway import stories


def line(event, at, **fields):
    """Return a line as a node writes it."""
    return json.dumps({'message_type': event, 'timestamp': at, **fields})


REFUSAL = [
    line('endpoint_lost', 8.0, endpoint='i-1', group='g1'),
    line('group_stalled', 9.9, endpoint='i-1', group='g1'),
    line('group_stalled', 9.9, endpoint='i-9', group='g9'),
    line('placed', 10.9, request='r1', after_ms=0, endpoint='i-1', group='g1'),
    line(
        'attempt_failed',
        10.9,
        request='r1',
        after_ms=800,
        reason='the endpoint has gone silent',
        why_not='no attempt is left',
    ),
    line('request_ended', 10.9, request='r1', after_ms=900, outcome='cut'),
    line('request_ended', 11.0, request='r2', after_ms=5, outcome='cut'),
    'not a line',
]


def explain(request_id, lines):
    """Run the command on standard input; return status and output."""
    context = contexts.Context(
        stdin=io.StringIO('\n'.join(lines)),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        operator='thu',
        default_nodes='',
    )
    done = core.run_job(context, core.explain_request(context, request_id, []))
    return done, context.stdout.getvalue(), context.stderr.getvalue()


def test_a_broken_stream_is_told_with_what_was_believed():
    done, out, _ = explain('r1', REFUSAL)
    assert done is status.ExitStatus.SUCCESS
    events = [text.split()[1] for text in out.splitlines()]
    assert events == [
        'endpoint_lost',
        'group_stalled',
        'placed',
        'attempt_failed',
        'request_ended',
    ]
    assert 'no attempt is left' in out
    assert 'i-9' not in out


def test_decisions_stand_at_the_time_at_which_they_were_made():
    story = told.tell_story(told.read_lines(REFUSAL, node='n'), 'r1')
    placed = next(one for one in story if one.event == 'placed')
    assert placed.at == pytest.approx(10.0)


def test_an_unknown_request_is_said_to_be_unknown():
    done, out, err = explain('r9', REFUSAL)
    assert done is status.ExitStatus.FAILURE
    assert not out
    assert "'r9'" in err


def test_a_failed_request_writes_all_its_decisions(env, monkeypatch):
    written = []
    monkeypatch.setattr(
        logs, 'log_event', lambda event, **f: written.append((event, f))
    )

    async def main():
        story = stories.RequestTrace(env=env, request_id='r3')
        story.add('refused', reason='no group is open', retry_after_s=0.3)
        await env.timer.sleep(0.01)
        story.close('refused_no_capacity', failed=True)

    virtualclock.run(main())
    assert [event for event, _ in written] == ['refused', 'request_ended']
    assert written[0][1]['request'] == 'r3'
    assert written[0][1]['reason'] == 'no group is open'
    assert written[1][1]['outcome'] == 'refused_no_capacity'


def test_answered_requests_are_thinned_and_counted(env, monkeypatch):
    written = []
    left_out = []
    monkeypatch.setattr(
        logs, 'log_event', lambda event, **f: written.append(event)
    )
    monkeypatch.setattr(logs, 'count_left_out', left_out.append)

    async def main():
        for _ in range(2 * stories.SUCCESS_LINE_EVERY):
            story = stories.RequestTrace(env=env, request_id='r')
            story.add('placed')
            story.close('answered', failed=False)

    virtualclock.run(main())
    assert len(written) == 4
    assert sum(left_out) == 2 * (2 * stories.SUCCESS_LINE_EVERY - 2)


def test_a_reader_that_stops_costs_lines_and_never_waits(monkeypatch):
    monkeypatch.setattr(logs.os, 'set_blocking', lambda *_: None)

    def refuse(_descriptor, _data):
        raise BlockingIOError

    monkeypatch.setattr(logs.os, 'write', refuse)
    writer = logs.LineWriter(lines_per_s=100)
    for _ in range(1000):
        writer({'message_type': 'x'})
    writer.flush()
    assert writer.left_out == 0
    sent = []
    monkeypatch.setattr(
        logs.os, 'write', lambda _, data: sent.append(data) or len(data)
    )
    writer.flush()
    lines = b''.join(sent).splitlines()
    assert len(lines) == 101
    assert json.loads(lines[-1]) == {
        'message_type': 'lines_left_out',
        'count': 900,
    }


def test_a_log_that_is_full_does_not_grow(monkeypatch):
    monkeypatch.setattr(logs.os, 'set_blocking', lambda *_: None)
    writer = logs.LineWriter(lines_per_s=10**6)
    for _ in range(2 * logs.MAX_WAITING_LINES):
        writer({'message_type': 'x'})
    assert writer.left_out == logs.MAX_WAITING_LINES


def test_a_reader_that_never_reads_costs_bounded_memory(monkeypatch):
    monkeypatch.setattr(logs.os, 'set_blocking', lambda *_: None)

    def refuse(_descriptor, _data):
        raise BlockingIOError

    monkeypatch.setattr(logs.os, 'write', refuse)
    writer = logs.LineWriter(lines_per_s=10**6)
    for _ in range(100):
        for _ in range(1000):
            writer({'message_type': 'x' * 100})
        writer.flush()
    assert len(writer._rest) < 2 * logs.MAX_REST_BYTES


def test_the_environment_of_a_process_counts_suspended_time():
    assert isinstance(environment.make_environment().timer.now(), float)
