"""Busy times that endpoints announce to the product's own interface."""

import msgspec
import pytest

from apricotthread.endpoints import announcements
from apricotthread.fakes import virtualclock
from tests import test_announced_limits

STEP_S = 0.25


def play(env, busy_s_by_sequence, *, restarts_at=None):
    """Announce every STEP_S; return when the endpoint is usable."""
    usable_at = []

    async def main():
        start = env.timer.now()
        entry = test_announced_limits.make_registry(env)
        for sequence in range(1, 21):
            has_restarted = restarts_at is not None and sequence >= restarts_at
            entry.announce(
                msgspec.structs.replace(
                    test_announced_limits.ANNOUNCEMENT,
                    incarnation=2 if has_restarted else 1,
                    sequence=sequence,
                    busy_s=busy_s_by_sequence.get(sequence, 0.0),
                )
            )
            if entry.is_usable(entry.endpoint_by_id['e']):
                usable_at.append(env.timer.now() - start)
            await env.timer.sleep(STEP_S)

    virtualclock.run(main())
    return usable_at


def is_free(usable_at, *, start_s, end_s):
    """Whether the endpoint was usable at any time between these."""
    return any(start_s <= at < end_s for at in usable_at)


def test_an_endpoint_that_announces_to_be_busy_gets_nothing_until_then(env):
    usable_at = play(env, {3: 1.5})
    assert not is_free(usable_at, start_s=0.5, end_s=2.0)
    assert is_free(usable_at, start_s=0.0, end_s=0.5)
    assert is_free(usable_at, start_s=2.0, end_s=2.25)


def test_a_shorter_busy_time_does_not_end_a_longer_one(env):
    usable_at = play(env, {3: 2.0, 4: 0.25})
    assert not is_free(usable_at, start_s=0.5, end_s=2.5)
    assert is_free(usable_at, start_s=2.5, end_s=2.75)


def test_another_incarnation_is_not_busy(env):
    usable_at = play(env, {3: 4.0}, restarts_at=5)
    assert is_free(usable_at, start_s=1.0, end_s=1.25)


@pytest.mark.parametrize('number', [b'-1', b'NaN', b'1e400', b'"2"', b'9e9'])
def test_an_announcement_with_an_odd_busy_time_is_refused(number):
    body = msgspec.json.encode(test_announced_limits.ANNOUNCEMENT).replace(
        b'"busy_s":0.0', b'"busy_s":' + number
    )
    with pytest.raises(msgspec.DecodeError):
        msgspec.json.decode(body, type=announcements.Announcement)
