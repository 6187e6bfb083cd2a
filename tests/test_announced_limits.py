"""Limits that endpoints announce to the product's own interface."""

import bisect

import msgspec
import pytest

from apricotthread.base import environment
from apricotthread.endpoints import announcements
from apricotthread.endpoints import registry
from apricotthread.fakes import virtualclock
from tests import limitworld

ANNOUNCEMENT = announcements.Announcement(
    endpoint_id='e',
    incarnation=1,
    sequence=1,
    data_centre='north',
    url='http://e',
    kind='plain',
    service='s',
    max_requests=100,
    bear_requests=100,
)
LEASE_S = 2.0
STEP_S = 0.01


def play(env, steps):
    """Press on an endpoint; return when it got a request.

    Each step is a time and the limit that is announced from then on. A step
    with 'moves' in place of a limit moves the endpoint to another entry.
    """
    sent_at = []

    async def main():
        start = env.timer.now()
        entries = [make_registry(env), make_registry(env)]
        sequence = 0
        limit_per_s = 0.0
        while env.timer.now() < start + 30.0:
            now = env.timer.now() - start
            while steps and steps[0][0] <= now:
                _, limit = steps.pop(0)
                if limit == 'moves':
                    entries.reverse()
                else:
                    limit_per_s = limit
            sequence += 1
            entries[0].announce(
                msgspec.structs.replace(
                    ANNOUNCEMENT, sequence=sequence, limit_per_s=limit_per_s
                )
            )
            endpoint = entries[0].endpoint_by_id['e']
            while entries[0].is_usable(endpoint) and endpoint.can_take(1):
                endpoint.reserve(1)
                endpoint.release(1)
                sent_at.append(now)
                if not limit_per_s:
                    break
            await env.timer.sleep(STEP_S)

    virtualclock.run(main())
    return sent_at


def make_registry(env: environment.Environment):
    """Return the registry of an entry."""
    return registry.Registry(env=env, lease_s=LEASE_S, on_change=lambda: None)


def most_in_a_window(sent_at, from_s, until_s):
    """Return the most requests in a window of the bound, within a time."""
    times = [at for at in sent_at if from_s <= at < until_s]
    return max(
        bisect.bisect_left(times, at + limitworld.BOUND_WINDOW_S) - first
        for first, at in enumerate(times)
    )


def allowed(limit_per_s):
    """Return how many requests may come within a window of the bound."""
    return (
        limitworld.BOUND_FACTOR * limit_per_s * limitworld.BOUND_WINDOW_S
        + limitworld.BOUND_SLACK
    )


@pytest.mark.parametrize('limit', [0.3, 2.0, 9.5])
def test_an_endpoint_gets_what_it_announces_to_take(env, limit):
    sent_at = play(env, [(1.0, limit)])
    assert most_in_a_window(sent_at, 1.0, 30.0) <= allowed(limit)
    count = sum(at >= 4.0 for at in sent_at)
    assert 0.9 * limit * 26.0 - 1 <= count <= 1.1 * limit * 26.0 + 2


def test_a_limit_that_falls_holds_and_one_that_ends_is_forgotten(env):
    sent_at = play(env, [(1.0, 9.0), (10.0, 1.0), (20.0, 0.0)])
    assert most_in_a_window(sent_at, 13.0, 20.0) <= allowed(1.0)
    assert sum(at >= 21.0 for at in sent_at) > 500


def test_an_endpoint_that_moves_to_another_entry_gets_no_more(env):
    moves = [(5.0 + 4.0 * number, 'moves') for number in range(5)]
    sent_at = play(env, [(1.0, 2.0), *moves])
    assert most_in_a_window(sent_at, 1.0, 30.0) <= allowed(2.0)
    assert sum(at >= 10.0 for at in sent_at) > 10


@pytest.mark.parametrize('number', [b'-1', b'NaN', b'1e400', b'"2"', b'9e9'])
def test_an_announcement_with_an_odd_limit_is_refused(number):
    body = msgspec.json.encode(ANNOUNCEMENT).replace(
        b'"limit_per_s":0.0', b'"limit_per_s":' + number
    )
    with pytest.raises(msgspec.DecodeError):
        msgspec.json.decode(body, type=announcements.Announcement)
