"""Numbers that callers, endpoints and operators may write, whatever they are.

Each number is taken within bounds, or the message that holds it is refused or
counts for nothing.
"""

import json
import math
import types

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import decoding
from apricotthread.base import errors
from apricotthread.base import numbers
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock
from apricotthread.fleet import updates
from apricotthread.gateway import placement
from apricotthread.gateway import requesttrace
from apricotthread.groups import prober
from apricotthread.platform import callers
from apricotthread.platform import instances
from apricotthread.platform import orders
from tests import formationworld
from tests import test_forwarder

ODD_TEXTS = (
    '',
    '0',
    '-0',
    '-1',
    '+1',
    '1.5',
    '1e400',
    '1e3',
    'nan',
    'inf',
    'Infinity',
    '1_0',
    '0x10',
    ' 7 ',
    '1,2',
    '\u00b2',
    '\u00bc',
    '9' * 19,
    '9' * 400,
    '9' * 5000,
    '0.' + '0' * 400 + '1',
    'Sat, 05 Dec 2026 18:00:00 GMT',
    '2026-12-05',
)
texts = strategies.one_of(
    strategies.sampled_from(ODD_TEXTS),
    strategies.integers(-(10**40), 10**40).map(str),
    strategies.floats().map(str),
    strategies.text(
        strategies.characters(min_codepoint=32, max_codepoint=255),
        max_size=20,
    ),
)
ODD_JSON = ('1e400', '-1e400', '9' * 400, '-1', '1e308', '0', '1.5', 'NaN')
json_numbers = strategies.one_of(
    strategies.sampled_from(ODD_JSON),
    strategies.integers(-(10**40), 10**40).map(str),
    strategies.floats(allow_nan=False, allow_infinity=False).map(repr),
)


@hypothesis.given(text=texts)
def test_a_number_in_a_header_is_read_within_its_bounds_or_not_at_all(text):
    whole = numbers.parse_integer(text, maximum=1000)
    decimal = numbers.parse_decimal(text, maximum=1000.0)
    clamped = numbers.parse_clamped(text, maximum=1000.0)
    assert whole is None or 0 <= whole <= 1000
    assert decimal is None or 0 <= decimal <= 1000
    assert clamped is None or 0 <= clamped <= 1000
    # What one of them reads, the more lenient one reads alike.
    assert whole is None or decimal == whole
    assert decimal is None or clamped == decimal


def make_answer(**values):
    """Return an answer with these headers to the request `r-1`."""
    headers = [(b'attempt-id', b'r-1'), (b'response-seal', b's')]
    return answerreader.Answer(
        status=200,
        headers=headers
        + [
            (name.replace('_', '-').encode(), value.encode('latin-1'))
            for name, value in values.items()
        ],
    )


class AnsweringPool:
    """A pool whose connections bring the given answers, then sound ones."""

    def __init__(self, answers):
        self._answers = list(answers)

    async def acquire(self, address, *, must_be_fresh):
        """Return a connection."""
        return types.SimpleNamespace(
            start=lambda request, **options: None,
            read_head=self._read_head,
            read=self._read,
        )

    def release(self, connection):
        """Ignore a connection that is given back."""

    async def _read_head(self):
        if self._answers:
            return self._answers.pop(0)
        return make_answer(instance_load='1,0,8')

    async def _read(self):
        return b''


def play_answers(env, answers):
    """Send a request for each answer and one more; return their statuses."""
    forward = test_forwarder.make_forwarder(
        env, AnsweringPool(answers), ['w-1', 'w-2']
    )
    forward._dialect.parse_answer = callers.PlatformDialect().parse_answer
    statuses, estimates = [], []

    async def main():
        for _ in range(len(answers) + 1):
            sink = test_forwarder.Sink()
            await forward.forward(
                test_forwarder.make_request(env),
                sink,
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
            statuses.append(sink.status)
        estimates.extend(
            forward._loads.estimate(name, model='') for name in ('w-1', 'w-2')
        )

    virtualclock.run(main())
    return statuses, estimates


@pytest.mark.parametrize(
    'load',
    [
        '9' * 400 + ',0,8',
        '0,' + '9' * 400 + ',8',
        '999999,0,8',
        '\u00b2,0,8',
        '1e400,0,8',
        '-5,0,8',
        '3,0',
        'nan,0,8',
    ],
)
def test_a_spoiled_load_fails_no_request_and_moves_none(env, load):
    """Guards against entries that end after a load of 400 digits."""
    statuses, estimates = play_answers(env, [make_answer(instance_load=load)])
    assert statuses == [200, 200]
    assert max(estimates) <= 8
    assert env.metrics.count_by_name['odd_loads'] == 1


@hypothesis.given(first=texts, second=texts, third=texts, limit=texts)
def test_no_header_of_an_answer_fails_a_request(first, second, third, limit):
    env = virtualclock.make_environment()
    statuses, estimates = play_answers(
        env,
        [
            make_answer(
                instance_load=f'{first},{second},{third}', server_limit=limit
            )
        ],
    )
    assert statuses == [200, 200]
    assert max(estimates) <= 64


@hypothesis.given(deadline=texts, tokens=texts, output=texts, last=texts)
def test_a_request_with_any_number_is_placed_or_refused(
    deadline, tokens, output, last
):
    """Guards against a prediction that is no number, and so places all."""
    try:
        caller = callers.PlatformDialect().parse_request(
            'POST',
            b'/',
            [
                (b'deadline-ms', deadline.encode('latin-1')),
                (b'token-usage', f'{tokens},{output}'.encode('latin-1')),
                (b'last-event-id', last.encode('latin-1')),
            ],
        )
    except errors.ApricotError as error:
        assert error.code is errors.ErrorCode.BAD_REQUEST
        return
    assert caller.time_left_s is None or 0 <= caller.time_left_s <= 1e6
    times_s = placement.predict_latency(
        engine=formationworld.PROFILE,
        model=formationworld.LARGE,
        load=20.0,
        prompt_tokens=caller.prompt_tokens,
        output_tokens=caller.output_tokens,
    )
    assert all(map(math.isfinite, times_s))
    if caller.last_event_id is not None:
        assert 0 <= caller.last_event_id <= decoding.MAX_INTEGER


@hypothesis.given(
    field=strategies.sampled_from(
        ['slot-count', 'cold-left-ms', 'sequence', 'born', 'epoch', 'rank']
    ),
    number=json_numbers,
)
def test_a_heartbeat_with_any_number_is_refused_or_can_be_sent_on(
    field, number
):
    beat = {
        'service': 'models',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'slot-count': 8,
        'state': 'ready',
        'cold-left-ms': 0,
        'sequence': 1,
        'born': 1,
    }
    place = {'name': 'g1', 'epoch': 1, 'rank': 0, 'state': 'open'}
    target = place if field in place else beat
    target[field] = '@'
    body = json.dumps(beat | {'group': place}).replace('"@"', number)
    try:
        announcement = instances.read_heartbeat('vm-1', body.encode())
    except errors.ApricotError as error:
        assert error.code is errors.ErrorCode.BAD_REQUEST
        return
    assert 0 <= announcement.cold_s <= instances.MAX_COLD_S
    heard = directory.Heard(announcement=announcement, age_s=0.0)
    assert updates.decode_announcements(
        updates.encode_announcements([heard])
    ) == [heard]


@hypothesis.given(number=json_numbers)
def test_a_farewell_with_any_number_names_a_start_or_none(number):
    born_ms = instances.read_leave(b'{"born":%b}' % number.encode())
    assert 0 <= born_ms <= decoding.MAX_INTEGER


@hypothesis.given(number=json_numbers)
def test_a_report_with_any_number_gives_a_pace_or_a_failure(number):
    match orders._read_pace(b'{"pace":%b}' % number.encode()):
        case prober.Pace(pace=pace):
            assert 0 < pace <= decoding.MAX_COUNT
        case result:
            assert result == prober.Failure()


@pytest.mark.parametrize('value', ODD_TEXTS)
def test_an_idle_timeout_is_finite(env, value):
    """Guards against connections that are kept for good."""

    async def main():
        connection = connections.EndpointConnection(env=env, address='a:1')
        connection.connection_made(
            types.SimpleNamespace(
                get_extra_info=lambda name: types.SimpleNamespace(
                    setsockopt=lambda *values: None
                ),
                is_closing=lambda: False,
                write=lambda data: None,
                abort=lambda: None,
            )
        )
        connection.start(b'')
        connection.data_received(
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%b, max=%b\r\n'
            b'Content-Length: 0\r\n\r\n'
            % (value.encode('latin-1'), value.encode('latin-1'))
        )
        assert (await connection.read_head()).status == 200
        assert 0 <= connection.idle_limit_s <= answerreader.MAX_IDLE_S

    virtualclock.run(main())
