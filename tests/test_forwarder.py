"""The forwarder's attempts at endpoints that fail."""

import contextlib
import types

import msgspec
import pytest

from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections
from apricotthread.fakes import fixedshares
from apricotthread.fakes import virtualclock
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import exposures
from apricotthread.gateway import forwarder
from apricotthread.gateway import limits
from apricotthread.gateway import loads
from apricotthread.gateway import requests
from apricotthread.gateway import requesttrace
from apricotthread.gateway import standings

ATTEMPTS = 2
ROUTE = routetables.Route(
    name='reads',
    host='a.example',
    prefix='/reads/',
    shares=(routetables.Share(service='reads', weight=1.0),),
    repeat=routetables.Repeat.ANY,
    is_stream=False,
    timeout_s=1.0,
    target_s=0.1,
    priority=1,
    max_attempts=ATTEMPTS,
)
SERVICE = routetables.Service(
    name='reads',
    health_path='/health',
    max_connections=10,
    cold_start_s=0.0,
    cold_requests_per_s=0.0,
)
CALLER = requests.CallerRequest(
    request_id='r-1',
    method='POST',
    target=b'/reads/1',
    host='a.example',
    path='/reads/1',
    headers=[],
    key='',
    time_left_s=None,
    last_event_id=None,
    model='',
    prompt_tokens=0,
    output_tokens=0,
)


class Pool:
    """A pool where dead endpoints refuse connections and others fail."""

    def __init__(self, *, dead):
        self.dead = dead
        self.ran_at_addresses = []

    async def acquire(self, address, *, must_be_fresh):
        """Return a connection, or raise ConnectionLost for a dead one."""
        if address in self.dead:
            raise connections.ConnectionLost(reason='refused', sent=False)
        return types.SimpleNamespace(
            start=lambda request, **options: self.ran_at_addresses.append(
                address
            ),
            read_head=self._read_head,
            read=self._read,
        )

    def release(self, connection):
        """Ignore a connection that is given back."""

    async def _read_head(self):
        return answerreader.Answer(status=500, headers=[])

    async def _read(self):
        return b''


class Sink:
    """Records the status of the answer."""

    started = False
    status = 0
    has_ended = False

    async def start(self, status, headers):
        """Record the status of the head."""
        self.started = True
        self.status = status

    async def write(self, data):
        """Ignore a part of the body."""

    async def end(self):
        """Record the end of the body."""
        self.has_ended = True


def make_request(env, route=ROUTE, time_left_s=1.0):
    """Return a request that has one second left, or as long as is given."""
    now = env.timer.now()
    return requests.RoutedRequest(
        caller=CALLER,
        body=b'',
        route=route,
        service=SERVICE,
        account='',
        deadline=now + time_left_s,
        received_at=now,
    )


def make_metadata(*, answered_id='r-1', not_run=False, endpoint_id=''):
    """Return what an answer says of itself."""
    return requests.AnswerMetadata(
        request_id=answered_id,
        is_sealed=True,
        not_run=not_run,
        endpoint_id=endpoint_id,
    )


def make_forwarder(
    env, pool, addresses, *, answered_id='r-1', not_run=False, slack=100.0
):
    """Return a forwarder to workers at these addresses.

    Their answers name `answered_id` as their request. `slack` is that of the
    retry budget.
    """
    replicas = [
        view.Replica(
            endpoint_id=address,
            address=address,
            data_centre='north',
            model='',
            slots=8,
        )
        for address in addresses
    ]
    metadata = make_metadata(answered_id=answered_id, not_run=not_run)
    fleet = types.SimpleNamespace(
        replicas=lambda service: replicas,
        cold_for_s=lambda endpoint_id: 0.0,
        is_available=lambda endpoint_id: True,
        takes_requests=lambda replica: True,
        note_leaving=lambda endpoint_id, born_ms: False,
        has_ended=lambda endpoint_id: False,
        applied_index=1,
        endpoint_by_id={},
    )
    return forwarder.Forwarder(
        env=env,
        fleet=fleet,
        pool=pool,
        dialect=types.SimpleNamespace(
            build_request=lambda job, **values: b'',
            parse_answer=lambda answer: metadata,
            answer_headers=lambda answer: [],
        ),
        load_table=loads.LoadTable(env=env),
        limit_table=limits.LimitTable(env=env, fleet=fleet),
        standing_table=standings.StandingTable(env=env, fleet=fleet),
        budget=budgets.RetryBudget(
            env=env,
            share=fixedshares.FixedShare(),
            ratio=0.0,
            slack=slack,
            window_s=10.0,
        ),
        share=fixedshares.FixedShare(),
        stall_watch=types.SimpleNamespace(
            add=lambda attempt: None, remove=lambda attempt: None
        ),
        observations=types.SimpleNamespace(
            has_callers=False,
            is_stalled=lambda replica: False,
            is_progressing=lambda replica: True,
            note_progress=lambda replica, gap_s: None,
            slowness=lambda replica: 1.0,
        ),
        exposure_monitor=exposures.ExposureMonitor(
            env=env, fleet=None, entry_id='entry'
        ),
        own_data_centre='north',
        cold_overshoot=1.0,
    )


@pytest.mark.parametrize('dead', [0, 1, 3])
def test_no_request_runs_at_more_endpoints_than_its_route_allows(env, dead):
    """Attempts are limited where refused connections precede failures.

    A refused connection is no attempt, a failed answer is one.
    """

    async def main():
        addresses = [f'w-{number}' for number in range(7)]
        pool = Pool(dead=addresses[:dead])
        sink = Sink()
        await make_forwarder(env, pool, addresses).forward(
            make_request(env),
            sink,
            requesttrace.RequestTrace(env=env, request_id='r-1'),
        )
        assert sink.status == 500
        assert len(pool.ran_at_addresses) == ATTEMPTS

    virtualclock.run(main())


def test_a_late_copy_of_another_answer_says_nothing_about_this_request(env):
    """A copy may come on a connection that is in use again.

    If it states that its request was not run, this one may still have run:
    a call that must not be repeated is not sent again.
    """
    route = msgspec.structs.replace(ROUTE, repeat=routetables.Repeat.NEVER)

    async def main():
        pool = Pool(dead=[])
        sink = Sink()
        forward = make_forwarder(
            env, pool, ['w-0', 'w-1'], answered_id='r-0', not_run=True
        )
        with pytest.raises(errors.ApricotError) as raised:
            await forward.forward(
                make_request(env, route),
                sink,
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert raised.value.ran is errors.Ran.UNKNOWN
        assert len(pool.ran_at_addresses) == 1
        assert not sink.started

    virtualclock.run(main())


@pytest.mark.parametrize(
    ('ended', 'attempts'), [(False, ATTEMPTS), (True, ATTEMPTS + 2)]
)
def test_the_head_of_a_dissolved_group_counts_as_an_attempt(
    env, ended, attempts
):
    """Only endpoints that ended are left out of a route's attempts."""

    class BreakingPool(Pool):
        async def _read_head(self):
            if len(self.ran_at_addresses) <= 2:
                raise connections.ConnectionLost(reason='closed', sent=True)
            return answerreader.Answer(status=500, headers=[])

    async def main():
        addresses = [f'w-{number}' for number in range(7)]
        pool = BreakingPool(dead=[])
        forward = make_forwarder(env, pool, addresses)
        forward._fleet.has_ended = lambda endpoint_id: ended
        with contextlib.suppress(errors.ApricotError):
            await forward.forward(
                make_request(env),
                Sink(),
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert len(pool.ran_at_addresses) == attempts

    virtualclock.run(main())


def test_a_call_under_which_endpoints_end_does_not_go_on_to_all(env):
    """Endpoints that have ended count as no attempt."""

    class EndingPool(Pool):
        async def _read_head(self):
            raise connections.ConnectionLost(reason='closed', sent=True)

    async def main():
        addresses = [f'w-{number}' for number in range(7)]
        pool = EndingPool(dead=[])
        forward = make_forwarder(env, pool, addresses)
        forward._fleet.has_ended = lambda endpoint_id: True
        with pytest.raises(errors.ApricotError) as caught:
            await forward.forward(
                make_request(env),
                Sink(),
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert len(pool.ran_at_addresses) == 3

    virtualclock.run(main())


EVENT = b'id: 1\ndata: a\n\n'


class StreamPool(Pool):
    """A pool whose connections bring the parts of a stream.

    The part None stands for the loss of the connection.
    """

    def __init__(self, parts):
        super().__init__(dead=[])
        self._parts = list(parts)

    async def _read_head(self):
        return answerreader.Answer(status=200, headers=[])

    async def _read(self):
        part = self._parts.pop(0)
        if part is None:
            raise connections.ConnectionLost(reason='closed', sent=True)
        return part


@pytest.mark.parametrize(
    'parts',
    [
        [EVENT, b'id: 2\ndata', b''],
        [EVENT, b'id: 2\ndata: b\n', b''],
        [EVENT, b'id: 2\ndata', None],
        [EVENT, None],
    ],
    ids=['in a field', 'before the empty line', 'lost', 'lost after an event'],
)
def test_a_stream_that_breaks_off_is_no_success(env, parts):
    route = msgspec.structs.replace(
        ROUTE, repeat=routetables.Repeat.NEVER, is_stream=True
    )

    async def main():
        sink = Sink()
        with pytest.raises(forwarder.AnswerCut):
            await make_forwarder(env, StreamPool(parts), ['w-0']).forward(
                make_request(env, route),
                sink,
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert sink.started
        assert not sink.has_ended

    virtualclock.run(main())


def test_bytes_without_an_event_are_no_progress(env):
    route = msgspec.structs.replace(ROUTE, is_stream=True)
    attempts = []
    progress = []

    class DrippingPool(StreamPool):
        async def _read(self):
            progress.append(attempts[0].progressed_at is not None)
            return await super()._read()

    async def main():
        pool = DrippingPool(
            [b':\n\n', b'id: 1\nda', b'ta: a\n\n', b':\n', b'']
        )
        forward = make_forwarder(env, pool, ['w-0'])
        forward._watch.add = attempts.append
        with contextlib.suppress(errors.ApricotError, forwarder.AnswerCut):
            await forward.forward(
                make_request(env, route),
                Sink(),
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert progress[:4] == [False, False, False, True]

    virtualclock.run(main())


@pytest.mark.parametrize('repeat', list(routetables.Repeat))
def test_a_request_that_may_have_run_is_not_refused_as_not_run(env, repeat):
    """The only worker breaks off, and no other is there for a retry."""
    route = msgspec.structs.replace(ROUTE, repeat=repeat)

    class LosingPool(Pool):
        async def _read_head(self):
            raise connections.ConnectionLost(reason='closed', sent=True)

    async def main():
        pool = LosingPool(dead=[])
        with pytest.raises(errors.ApricotError) as raised:
            await make_forwarder(env, pool, ['w-0']).forward(
                make_request(env, route),
                Sink(),
                requesttrace.RequestTrace(env=env, request_id='r-1'),
            )
        assert pool.ran_at_addresses == ['w-0']
        assert raised.value.ran is errors.Ran.UNKNOWN
        assert raised.value.code.http_status == 502

    virtualclock.run(main())


ONE_RETRY = 1.0 / budgets.RETRY_SAFETY_FACTOR


def test_a_retry_that_is_sent_late_counts_when_it_is_sent(env):
    """An entry that is paused before it sends makes retries arrive late."""
    sent_at = []

    class SlowPool(Pool):
        async def acquire(self, address, *, must_be_fresh):
            if len(self.ran_at_addresses) == 1:
                await env.timer.sleep(9.0)
            connection = await super().acquire(
                address, must_be_fresh=must_be_fresh
            )
            sent_at.append(env.timer.now())
            return connection

    async def main():
        pool = SlowPool(dead=[])
        forward = make_forwarder(
            env, pool, ['w-0', 'w-1', 'w-2'], slack=ONE_RETRY
        )

        async def play():
            with contextlib.suppress(errors.ApricotError):
                await forward.forward(
                    make_request(env, time_left_s=20.0),
                    Sink(),
                    requesttrace.RequestTrace(env=env, request_id='r-1'),
                )

        await play()
        assert sent_at == [0.0, 9.0]
        await env.timer.sleep(1.5)
        await play()
        assert len(pool.ran_at_addresses) == 3
        await env.timer.sleep(9.0)
        await play()
        assert len(pool.ran_at_addresses) == 5

    virtualclock.run(main())


def test_a_retry_that_was_not_sent_is_given_back(env):
    async def main():
        pool = Pool(dead=['w-1', 'w-2'])
        forward = make_forwarder(
            env, pool, ['w-0', 'w-1', 'w-2'], slack=ONE_RETRY
        )
        for _ in range(2):
            with contextlib.suppress(errors.ApricotError):
                await forward.forward(
                    make_request(env),
                    Sink(),
                    requesttrace.RequestTrace(env=env, request_id='r-1'),
                )
        assert pool.ran_at_addresses == ['w-0', 'w-0']
        assert forward._budget.take(SERVICE.name)

    virtualclock.run(main())


def test_endpoints_that_refuse_connections_use_up_no_retries(env):
    async def main():
        pool = Pool(dead=['w-0', 'w-1'])
        forward = make_forwarder(env, pool, ['w-0', 'w-1', 'w-2'], slack=0.0)
        sink = Sink()
        await forward.forward(
            make_request(env),
            sink,
            requesttrace.RequestTrace(env=env, request_id='r-1'),
        )
        assert pool.ran_at_addresses == ['w-2']

    virtualclock.run(main())
