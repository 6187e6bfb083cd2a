"""The parts of the gateway that decide, tested without a network."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.fakes import fixedshares
from apricotthread.fakes import virtualclock
from apricotthread.fleet import evidence
from apricotthread.fleet import view
from apricotthread.gateway import budgets
from apricotthread.gateway import events
from apricotthread.gateway import loads
from apricotthread.gateway import placement
from apricotthread.gateway import routes
from tests import formationworld


def make_event(number):
    """Return one event as an engine writes it."""
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def test_an_event_that_comes_with_a_gap_is_asked_for_again():
    splitter = events.EventSplitter(last_id=None)
    splitter.feed(make_event(1))
    with pytest.raises(events.BrokenStream):
        splitter.feed(make_event(2) + make_event(4))
    splitter.restart()
    assert splitter.last_id == 1
    assert splitter.feed(make_event(2)) == make_event(2)


# Event streams


@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, 400), max_size=8),
    broken_at=strategies.integers(0, 400),
)
def test_a_stream_broken_at_any_byte_resumes_without_gap_or_duplicate(
    cuts, broken_at
):
    whole = b''.join(make_event(n) for n in range(1, 13))
    splitter = events.EventSplitter(last_id=None)
    first = whole[:broken_at]
    returned = b''
    cut_positions = sorted(
        {0, *(c for c in cuts if c < len(first)), len(first)}
    )
    for start, end in zip(cut_positions, cut_positions[1:], strict=False):
        returned += splitter.feed(first[start:end])
    splitter.restart()
    resumed = b''.join(
        make_event(n) for n in range((splitter.last_id or 0) + 1, 13)
    )
    returned += splitter.feed(resumed)
    assert returned == whole
    assert splitter.is_between_events


def test_repeated_events_are_dropped():
    splitter = events.EventSplitter(last_id=2)
    data = make_event(2) + make_event(3) + make_event(3)
    assert splitter.feed(data) == make_event(3)


def test_a_gap_in_a_stream_is_an_error():
    splitter = events.EventSplitter(last_id=2)
    with pytest.raises(events.BrokenStream):
        splitter.feed(make_event(4))


def test_an_event_id_that_is_not_a_number_is_an_error():
    splitter = events.EventSplitter(last_id=None)
    with pytest.raises(events.BrokenStream):
        splitter.feed(b'id: x\ndata: y\n\n')


def test_an_incomplete_event_is_not_returned():
    splitter = events.EventSplitter(last_id=None)
    assert splitter.feed(make_event(1)[:-1]) == b''
    assert not splitter.is_between_events


def test_a_comment_is_no_data():
    assert events.has_data(b'id: 1\ndata: x\n\n')
    assert events.has_data(b'data: x\n\n')
    assert not events.has_data(b': still there\n\n: data: x\n\n')


def test_an_event_without_end_is_an_error_of_bounded_size():
    splitter = events.EventSplitter(last_id=None)
    fed = 0
    with pytest.raises(events.BrokenStream):
        splitter.feed(make_event(1))
        while fed < 1 << 20:
            splitter.feed(b'x' * 1000)
            fed += 1000
    assert fed <= events.MAX_EVENT_BYTES + 1000


# Placement


def make_candidate(
    name, *, load, near=True, is_suspect=False, cold_allowance=1
):
    """Return a candidate that is the head of a group with a load."""
    return placement.Candidate(
        replica=view.Replica(
            endpoint_id=name,
            address='10.0.0.1:80',
            data_centre='north',
            model='large',
            slots=13,
            group_id=name,
            epoch=1,
        ),
        load=load,
        is_near=near,
        cold_allowance=cold_allowance,
        is_suspect=is_suspect,
    )


def place(candidates, *, target_s=0.4, time_left_s=8.0):
    """Place a request of average size."""
    return placement.place_on_engine(
        candidates,
        engine=formationworld.PROFILE,
        model=formationworld.LARGE,
        prompt_tokens=1460,
        output_tokens=174,
        time_left_s=time_left_s,
        target_s=target_s,
        patience_s=2.0,
        can_be_on_time=True,
        draw=0.5,
    )


def test_the_least_loaded_group_gets_a_request():
    chosen = place(
        [make_candidate('g1', load=9), make_candidate('g2', load=3)]
    )
    assert chosen.candidate.replica.endpoint_id == 'g2'


def test_of_equal_groups_one_in_the_own_data_centre_gets_a_request():
    chosen = place(
        [
            make_candidate('g1', load=5, near=False),
            make_candidate('g2', load=5),
        ]
    )
    assert chosen.candidate.replica.endpoint_id == 'g2'


def test_a_suspect_group_gets_a_request_only_if_there_is_no_other():
    stalled = make_candidate('g1', load=0, is_suspect=True)
    busy = make_candidate('g2', load=12)
    assert place([stalled, busy]).candidate is busy
    assert place([stalled]).candidate is stalled


def test_a_request_that_would_wait_long_is_refused_with_a_retry_time():
    refused = place([make_candidate('g1', load=30)])
    assert isinstance(refused, placement.Refusal)
    assert 0 < refused.retry_after_s < 5


def test_a_cold_group_without_allowance_gets_no_request():
    refused = place([make_candidate('g1', load=0, cold_allowance=0)])
    assert refused.reason == 'every group is cold'


def test_in_overload_requests_are_refused_so_that_most_others_are_on_time():
    """Simulates twice the load that one group can serve."""
    on_time = late = refused = 0
    running: list[float] = []
    for number in range(400):
        now = number * 0.07
        running = [end for end in running if end > now]
        match place([make_candidate('g1', load=len(running))]):
            case placement.Choice() as chosen:
                running.append(now + chosen.total_s)
                if chosen.first_event_s <= 0.4:
                    on_time += 1
                else:
                    late += 1
            case placement.Refusal():
                refused += 1
    assert on_time + late + refused == 400
    assert refused > 100
    assert on_time > late


def test_the_least_loaded_worker_gets_a_call():
    idle = make_candidate('w1', load=1)
    busy = make_candidate('w2', load=5)
    chosen = placement.place_on_worker([busy, idle], time_left_s=1.0)
    assert chosen.candidate is idle


def test_without_workers_a_call_is_refused():
    refused = placement.place_on_worker([], time_left_s=1.0)
    assert refused.reason == 'no worker is there'


# Budgets and loads


def test_retries_of_all_entries_stay_within_the_budget(env):
    async def main():
        entries = [
            budgets.RetryBudget(
                env=env,
                share=fixedshares.FixedShare(entries=7),
                ratio=0.2,
                slack=130.0,
                window_s=10.0,
            )
            for _ in range(7)
        ]
        retries = 0
        for _ in range(100):
            for entry in entries:
                entry.note_request('models')
        for entry in entries:
            for _ in range(200):
                retries += entry.take('models') is not None
        assert 100 < retries <= 0.2 * 700 + 130
        await env.timer.sleep(11.0)
        assert entries[0].take('models')

    virtualclock.run(main())


@pytest.mark.parametrize('entries', [1, 7, 87])
def test_all_entries_together_keep_the_limit_of_a_cold_endpoint(entries):
    generator = random.Random(1)
    total = 0
    for _ in range(200):
        sent = sum(
            budgets.cold_allowance(
                requests_per_s=36.0,
                overshoot=1.5,
                share=1 / entries,
                sent=0,
                draw=generator.random(),
            )
            for _ in range(entries)
        )
        assert sent <= 36 * 1.5
        total += sent
    assert total / 200 > 20


def test_requests_sent_within_the_second_use_up_the_cold_allowance():
    assert (
        budgets.cold_allowance(
            requests_per_s=36.0, overshoot=1.5, share=1 / 7, sent=9, draw=0.0
        )
        <= 0
    )


def test_the_load_by_other_entries_decays_to_the_mean(env):
    async def main():
        table = loads.LoadTable(env=env)
        table.start('g1')
        table.note_load('g1', model='m', requests=11)
        assert table.estimate('g1', model='m') == 11
        await env.timer.sleep(20.0)
        assert table.estimate('g1', model='m') < 5
        table.end('g1')
        assert table.get_load('g1').in_flight == 0

    virtualclock.run(main())


def test_the_mean_of_a_model_comes_from_the_sums_of_all_entries(env):
    async def main():
        table = loads.LoadTable(env=env)
        table.note_load('g1', model='m', requests=27)
        table.start('g1')
        table.start('g2')
        assert table.report_in_flight() == {'g1': 1, 'g2': 1}
        await env.timer.sleep(20.0)
        table.apply_in_flight_sums(
            {'g1': 4, 'g2': 2, 'w1': 90}, {'m': ['g1', 'g2', 'g3'], '': ['w1']}
        )
        assert table.estimate('g1', model='m') == pytest.approx(1 + 4 / 3)
        assert table.estimate('g3', model='m') == pytest.approx(4 / 3)
        assert table.estimate('w1', model='') == 90

    virtualclock.run(main())


def test_requests_in_flight_are_summed_over_entries_and_expire(env):
    async def main():
        evidence_store = evidence.EvidenceStore(env=env)
        for entry_id, in_flight in (('e1', {'g1': 2}), ('e2', {'g1': 1})):
            evidence_store.take(
                evidence.EntryReport(
                    entry_id=entry_id,
                    data_centre='a',
                    has_callers=True,
                    in_flight=in_flight,
                )
            )
        assert evidence.decode_in_flight(evidence_store.sum_in_flight()) == {
            'g1': 3
        }
        await env.timer.sleep(evidence.IN_FLIGHT_VALID_S + 0.1)
        assert evidence.decode_in_flight(evidence_store.sum_in_flight()) == {}

    virtualclock.run(main())


def test_an_endpoint_is_ejected_for_a_while_after_failures_in_a_row(env):
    async def main():
        table = loads.LoadTable(env=env)
        assert not table.note_failure('w1')
        table.note_success('w1')
        for _ in range(loads.EJECT_AFTER_FAILURES):
            table.note_failure('w1')
        assert table.is_ejected('w1')
        await env.timer.sleep(loads.EJECT_S + 0.1)
        assert not table.is_ejected('w1')

    virtualclock.run(main())


# Routes


def make_route(name, prefix, **changes):
    """Return a route of one service."""
    values = {
        'host': 'a.example',
        'shares': (routetables.Share(service='models', weight=1.0),),
        'repeat': routetables.Repeat.ANY,
        'is_stream': False,
        'timeout_s': 1.0,
        'target_s': 0.1,
        'priority': 1,
        'max_attempts': 2,
    }
    return routetables.Route(name=name, prefix=prefix, **{**values, **changes})


def make_table(routes_given, accounts=()):
    """Return a table with one service."""
    return routetables.RouteTable(
        version=1,
        routes=tuple(routes_given),
        services=(
            routetables.Service(
                name='models',
                health_path='/health',
                max_connections=10,
                cold_start_s=0.0,
                cold_requests_per_s=0.0,
            ),
        ),
        accounts=accounts,
        needs_key=bool(accounts),
    )


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/x', 'short'),
        ('/a/b/x', 'long'),
        ('/a/b/', 'long'),
        ('/a/bc/x', 'short'),
        ('/b/x', None),
        ('/a', None),
    ],
)
def test_the_longest_prefix_of_whole_segments_wins(path, name):
    index = routes.RouteIndex(
        table=make_table(
            [make_route('short', '/a/'), make_route('long', '/a/b/')]
        )
    )
    found = index.find_route('a.example', path)
    assert (found.name if found else None) == name
    assert index.find_route('b.example', path) is None


def test_find_account_accepts_each_key_of_an_account_and_no_other():
    account = routetables.Account(name='club', keys=('k1', 'k2'))
    index = routes.RouteIndex(table=make_table([], (account,)))
    assert index.find_account('k2').name == 'club'
    assert index.find_account('k3') is None
    assert index.find_account('') is None


@pytest.mark.parametrize(
    ('changes', 'word'),
    [
        ({'timeout_s': 0.0}, 'timeout'),
        ({'shares': (routetables.Share(service='x', weight=1.0),)}, 'unknown'),
        (
            {'shares': (routetables.Share(service='models', weight=0.0),)},
            'add up to 0',
        ),
    ],
)
def test_check_table_names_what_is_wrong_with_a_table(changes, word):
    (fault,) = routetables.check_table(
        make_table([make_route('r', '/a/', **changes)])
    )
    assert word in fault


def test_two_routes_with_the_same_prefix_and_a_shared_key_are_faults():
    accounts = (
        routetables.Account(name='a', keys=('k',)),
        routetables.Account(name='b', keys=('k',)),
    )
    table = make_table(
        [make_route('r1', '/a/'), make_route('r2', '/a/')], accounts
    )
    assert len(routetables.check_table(table)) == 2


def test_errors_that_promise_not_run_have_status_503_and_others_do_not():
    for code in (errors.ErrorCode.NO_CAPACITY, errors.ErrorCode.NO_TABLE):
        assert code.http_status == 503
    for code in (errors.ErrorCode.ENDPOINT_FAILED, errors.ErrorCode.DEADLINE):
        assert code.http_status in (502, 504)
