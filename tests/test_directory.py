"""Which announcements of endpoints are believed."""

import msgspec
import pytest

from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock


@pytest.fixture
def known(env):
    """Return an empty directory on a driven clock."""
    return directory.Directory(env=env, lost_after_s=3.0)


def make(endpoint_id='i-1', **changes):
    """Return an announcement as a control node hears it."""
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
    """Run a test body on a driven loop."""

    async def main():
        body()

    return virtualclock.run(main())


def test_a_late_announcement_replaces_nothing(known):
    def body():
        assert known.take(make(sequence=5, leaving=True))
        assert not known.take(make(sequence=4))
        assert known.entry_by_id['i-1'].announcement.leaving

    run(body)


def test_a_later_start_replaces_all_that_was_known(known):
    def body():
        known.take(make(sequence=50, leaving=True))
        known.leave('i-1')
        assert known.take(make(born_ms=2000, sequence=1))
        entry = known.entry_by_id['i-1']
        assert not entry.gone
        assert not entry.announcement.leaving

    run(body)


def test_a_start_that_was_superseded_is_not_believed(known):
    def body():
        known.take(make('i-2', born_ms=3000))
        assert not known.take(make('i-1', born_ms=1000))
        assert 'i-1' not in known.entry_by_id

    run(body)


def test_an_endpoint_is_gone_when_another_has_its_address(known):
    def body():
        known.take(make('i-1', born_ms=1000))
        known.take(make('i-2', born_ms=3000))
        assert known.entry_by_id['i-1'].gone
        assert not known.entry_by_id['i-2'].gone

    run(body)


def test_an_endpoint_that_left_stays_gone(known):
    def body():
        known.take(make(sequence=1))
        assert known.leave('i-1').gone
        assert not known.take(make(sequence=2))
        assert known.entry_by_id['i-1'].gone

    run(body)


def test_subscribers_get_only_what_changed(known):
    def body():
        known.take(make('i-1'))
        known.take(make('i-2', address='10.0.0.2:80'))
        revision = known.revision
        known.take(make('i-1', sequence=2))
        assert known.heard_since(revision) == []
        known.take(make('i-1', sequence=3, leaving=True))
        (news,) = known.heard_since(revision)
        assert news[0].announcement.endpoint_id == 'i-1'

    run(body)


def test_a_silent_endpoint_is_lost_and_found_again(known, env):
    async def main():
        known.take(make())
        for _ in range(35):
            await env.timer.sleep(0.1)
            known.find_lost()
        assert known.entry_by_id['i-1'].lost
        known.take(make(sequence=2))
        assert not known.entry_by_id['i-1'].lost

    virtualclock.run(main())


def test_a_pause_of_this_node_makes_nobody_lost(known, env):
    async def main():
        known.take(make())
        known.find_lost()
        await env.timer.sleep(10.0)
        known.find_lost()
        assert not known.entry_by_id['i-1'].lost

    virtualclock.run(main())


def test_announcements_survive_the_way_between_nodes():
    heard = make(
        place=directory.GroupPlace(
            group_id='g', epoch=3, rank=0, state=directory.MemberState.OPEN
        )
    )
    packed = msgspec.msgpack.encode(heard)
    assert msgspec.msgpack.decode(packed, type=directory.Heard) == heard
