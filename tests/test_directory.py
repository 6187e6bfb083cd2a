"""Which announcements the endpoint directory accepts or ignores."""

import msgspec
import pytest

from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock


@pytest.fixture
def endpoint_directory(env):
    """Return an empty directory on a virtual clock."""
    return directory.Directory(env=env, lost_after_s=3.0)


def make_heard(endpoint_id='i-1', **changes):
    """Return an announcement as a control node receives it."""
    values = {
        'service': 'models',
        'address': '10.0.0.1:80',
        'data_centre': 'north',
        'born_ms': 1000,
        'sequence': 1,
        'slots': 4,
    }
    return directory.Heard(
        announcement=directory.Announcement(
            endpoint_id=endpoint_id, **{**values, **changes}
        ),
        age_s=0.0,
    )


def run(body):
    """Run a test body in an event loop with a virtual clock."""

    async def main():
        body()

    return virtualclock.run(main())


def test_an_older_announcement_is_ignored(endpoint_directory):
    def body():
        assert endpoint_directory.apply(make_heard(sequence=5, leaving=True))
        assert not endpoint_directory.apply(make_heard(sequence=4))
        assert endpoint_directory.record_by_id['i-1'].announcement.leaving

    run(body)


def test_a_restart_replaces_the_earlier_record(endpoint_directory):
    def body():
        endpoint_directory.apply(make_heard(sequence=50, leaving=True))
        endpoint_directory.leave('i-1', 1000)
        assert endpoint_directory.apply(make_heard(born_ms=2000, sequence=1))
        record = endpoint_directory.record_by_id['i-1']
        assert not record.gone
        assert not record.announcement.leaving

    run(body)


def test_an_older_endpoint_on_a_reused_address_is_ignored(endpoint_directory):
    def body():
        endpoint_directory.apply(make_heard('i-2', born_ms=3000))
        assert not endpoint_directory.apply(make_heard('i-1', born_ms=1000))
        assert 'i-1' not in endpoint_directory.record_by_id

    run(body)


def test_an_endpoint_is_gone_when_another_has_its_address(endpoint_directory):
    def body():
        endpoint_directory.apply(make_heard('i-1', born_ms=1000))
        endpoint_directory.apply(make_heard('i-2', born_ms=3000))
        assert endpoint_directory.record_by_id['i-1'].gone
        assert not endpoint_directory.record_by_id['i-2'].gone

    run(body)


def test_an_endpoint_that_left_stays_gone(endpoint_directory):
    def body():
        endpoint_directory.apply(make_heard(sequence=1))
        assert endpoint_directory.leave('i-1', 1000).gone
        assert not endpoint_directory.apply(make_heard(sequence=2))
        assert endpoint_directory.record_by_id['i-1'].gone

    run(body)


def test_changes_since_omits_unchanged_endpoints(endpoint_directory):
    def body():
        endpoint_directory.apply(make_heard('i-1'))
        endpoint_directory.apply(make_heard('i-2', address='10.0.0.2:80'))
        revision = endpoint_directory.revision
        endpoint_directory.apply(make_heard('i-1', sequence=2))
        assert endpoint_directory.changes_since(revision) == []
        endpoint_directory.apply(make_heard('i-1', sequence=3, leaving=True))
        (change,) = endpoint_directory.changes_since(revision)
        assert change[0].announcement.endpoint_id == 'i-1'

    run(body)


def test_a_silent_endpoint_is_lost_and_found_again(endpoint_directory, env):
    async def main():
        endpoint_directory.apply(make_heard())
        for _ in range(35):
            await env.timer.sleep(0.1)
            endpoint_directory.find_lost()
        assert endpoint_directory.record_by_id['i-1'].lost
        endpoint_directory.apply(make_heard(sequence=2))
        assert not endpoint_directory.record_by_id['i-1'].lost

    virtualclock.run(main())


def test_a_pause_of_this_node_marks_no_endpoint_lost(endpoint_directory, env):
    async def main():
        endpoint_directory.apply(make_heard())
        endpoint_directory.find_lost()
        await env.timer.sleep(10.0)
        endpoint_directory.find_lost()
        assert not endpoint_directory.record_by_id['i-1'].lost

    virtualclock.run(main())


def test_announcements_round_trip_through_msgpack():
    heard = make_heard(
        place=directory.GroupPlace(
            group_id='g', epoch=3, rank=0, state=directory.MemberState.OPEN
        )
    )
    packed = msgspec.msgpack.encode(heard)
    assert msgspec.msgpack.decode(packed, type=directory.Heard) == heard
