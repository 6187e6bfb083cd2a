"""Which prompts are kept away from engines, and which are not."""

import random

import pytest

from apricotthread.base import units
from apricotthread.fakes import virtualclock
from apricotthread.fleet import crashreports
from apricotthread.fleet import quarantine
from apricotthread.gateway import exposures
from tests import promptworld

SEEDS = range(12)
CONTACT_S = 3.0
GRACE_CRASHES = 5
LATE_ARRIVALS = 3
SECONDS = 20.0


def make_sound(world, topics=40):
    """Return a function that makes the parts of sound prompts.

    A few topics are asked about often and most rarely.
    """

    def make():
        topic = int(world.random.paretovariate(0.6)) % topics
        return ('all', f'topic{topic}', f'tool{topic % 3}')

    return make


def make_guilty(world):
    """Return a function that makes prompts with the bad part in any place."""

    def make():
        parts = ['all', f'topic{world.random.randrange(5)}']
        return tuple((*parts[:1], promptworld.BAD, *parts[1:]))

    return make


def run(env, seed, scenario, **values):
    """Run a scenario in a world with 15 sound requests a second."""

    async def main():
        world = promptworld.World(
            env=env, random=random.Random(seed), **values
        )
        world.start()
        world.spawn(
            world.offer(
                rate=15.0,
                seconds=3 * SECONDS,
                make_parts=make_sound(world),
                kind='sound',
            )
        )
        await env.timer.sleep(2.0)
        try:
            await scenario(world)
        finally:
            await world.close()

    virtualclock.run(main())


def offer_guilty(world, *, rate=4.0, seconds=SECONDS):
    """Start to send guilty requests."""
    world.spawn(
        world.offer(
            rate=rate,
            seconds=seconds,
            make_parts=make_guilty(world),
            kind='guilty',
        )
    )


def check_guilty_are_kept_away(world):
    """Check that few guilty prompts arrive after the fifth crash."""
    assert world.quarantined() == {promptworld.BAD}
    fifth_at = world.crashes[:GRACE_CRASHES][-1]
    late = world.count_arrivals(promptworld.BAD, after=fifth_at + CONTACT_S)
    assert late <= LATE_ARRIVALS


async def crash_in_turn(world, *, gap_s):
    """Crash one random engine after the other, for other reasons."""
    while True:
        await world.env.timer.sleep(gap_s)
        world.crash(world.random.choice(list(world.engine_by_name.values())))


async def crash_racks(world, *, gap_s, size):
    """Crash several engines at once, again and again."""
    while True:
        await world.env.timer.sleep(gap_s)
        for engine in world.random.sample(
            list(world.engine_by_name.values()), size
        ):
            world.crash(engine)


async def cut_connections(world, *, gap_s):
    """Cut all connections of an engine that goes on running."""
    while True:
        await world.env.timer.sleep(gap_s)
        world.disconnect(
            world.random.choice(list(world.engine_by_name.values()))
        )


async def drain(world, *, gap_s):
    """Have engines leave; their last connections are cut."""
    while True:
        engine = world.random.choice(list(world.engine_by_name.values()))
        engine.is_leaving = True
        await world.env.timer.sleep(gap_s)
        world.crash(engine)
        await world.env.timer.sleep(0.1)
        engine.is_leaving = False


OTHER_TROUBLE = {
    'nothing else': lambda world: [],
    'crashes': lambda world: [crash_in_turn(world, gap_s=0.7)],
    'racks': lambda world: [crash_racks(world, gap_s=4.0, size=4)],
    'cuts': lambda world: [cut_connections(world, gap_s=0.3)],
    'drains': lambda world: [drain(world, gap_s=0.5)],
    'all': lambda world: [
        crash_in_turn(world, gap_s=1.5),
        crash_racks(world, gap_s=5.0, size=3),
        cut_connections(world, gap_s=0.6),
        drain(world, gap_s=0.8),
    ],
}


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('trouble', OTHER_TROUBLE)
def test_crashes_for_other_reasons_keep_no_sound_prompt_away(
    env, seed, trouble
):
    async def scenario(world):
        for coroutine in OTHER_TROUBLE[trouble](world):
            world.spawn(coroutine)
        await world.env.timer.sleep(SECONDS)
        assert not world.quarantined()

    run(env, seed, scenario)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('trouble', OTHER_TROUBLE)
def test_only_the_part_that_crashes_engines_is_kept_away(env, seed, trouble):
    async def scenario(world):
        offer_guilty(world)
        for coroutine in OTHER_TROUBLE[trouble](world):
            world.spawn(coroutine)
        await world.env.timer.sleep(SECONDS)
        check_guilty_are_kept_away(world)

    run(env, seed, scenario)


def test_sound_prompts_that_share_parts_with_guilty_ones_are_served(env):
    async def scenario(world):
        offer_guilty(world)
        await world.env.timer.sleep(SECONDS)
        fifth_at = world.crashes[:GRACE_CRASHES][-1]
        served = world.served_share('sound', after=fifth_at + 2 * CONTACT_S)
        assert served == 1.0

    run(env, 1, scenario)


@pytest.mark.parametrize('seed', SEEDS)
def test_prompts_that_crash_members_are_kept_away(env, seed):
    async def scenario(world):
        world.crashes_member = True
        offer_guilty(world)
        world.spawn(crash_in_turn(world, gap_s=2.0))
        await world.env.timer.sleep(SECONDS)
        check_guilty_are_kept_away(world)

    run(env, seed, scenario)


async def play_short_answers(world, *, events):
    """Check that guilty prompts are kept away if answers are this short."""
    world.events = events
    offer_guilty(world)
    world.spawn(crash_in_turn(world, gap_s=2.0))
    await world.env.timer.sleep(SECONDS)
    check_guilty_are_kept_away(world)


@pytest.mark.parametrize('seed', SEEDS)
def test_short_prompts_whose_answers_are_whole_before_the_crash_are_kept_away(
    env, seed
):
    """Answers last 140 ms, and engines end 50 to 150 ms after they began."""

    run(env, seed, lambda world: play_short_answers(world, events=2))


@pytest.mark.parametrize('seed', SEEDS)
def test_prompts_whose_only_event_comes_before_the_crash_are_kept_away(
    env, seed
):
    """Four of five answers are whole before their engine crashes."""
    run(env, seed, lambda world: play_short_answers(world, events=1))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_quarantine_outlasts_a_change_of_the_leader(env, seed):
    async def scenario(world):
        offer_guilty(world)
        await world.env.timer.sleep(random.Random(seed).uniform(0.5, 4.0))
        world.leader = None
        await world.env.timer.sleep(1.0)
        world.leader = quarantine.Quarantine(env=world.env)
        await world.env.timer.sleep(SECONDS)
        check_guilty_are_kept_away(world)

    run(env, seed, scenario)


@pytest.mark.parametrize('has_new_leader', [False, True])
def test_an_entry_that_starts_late_learns_the_quarantine_with_its_report(
    env, has_new_leader
):
    async def scenario(world):
        offer_guilty(world, seconds=4.0)
        # No entry reports the crashes any more.
        await world.env.timer.sleep(4.0 + exposures.REPORTED_S + 2.0)
        if has_new_leader:
            world.leader = quarantine.Quarantine(env=world.env)
        late = promptworld.Entry(world=world, name='late')
        world.entries.append(late)
        world.spawn(late.run())
        await world.env.timer.sleep(2.0)
        assert late.monitor.quarantine.find_quarantined([promptworld.BAD])

    run(env, 1, scenario)


def test_an_entry_without_a_leader_keeps_and_finds_guilty_parts_itself(env):
    async def scenario(world):
        offer_guilty(world, rate=8.0)
        await world.env.timer.sleep(6.0)
        for entry in world.entries:
            entry.is_linked = False
        fresh = promptworld.Entry(world=world, name='fresh')
        fresh.is_linked = False
        world.entries.append(fresh)
        world.spawn(fresh.run())
        world.crashes.clear()
        await world.env.timer.sleep(SECONDS - 6.0)
        for entry in world.entries:
            assert entry.monitor.quarantine.find_quarantined([promptworld.BAD])
        check_guilty_are_kept_away(world)
        for entry in world.entries:
            entry.is_linked = True
        await world.env.timer.sleep(2.0)
        assert world.quarantined() == {promptworld.BAD}

    run(env, 2, scenario)


def test_an_operators_release_reaches_all_nodes_and_counts_anew(env):
    async def scenario(world):
        offer_guilty(world, seconds=5.0)
        await world.env.timer.sleep(8.0)
        crashes = len(world.crashes)
        assert world.entries[2].monitor.quarantine.release(
            promptworld.BAD, source='test'
        )
        await world.env.timer.sleep(1.5)
        assert not world.quarantined()
        offer_guilty(world, seconds=6.0)
        await world.env.timer.sleep(8.0)
        assert world.quarantined() == {promptworld.BAD}
        assert len(world.crashes) - crashes >= 3

    run(env, 3, scenario)


def test_a_quarantine_ends_and_one_crash_brings_it_back_for_longer(
    env, monkeypatch
):
    monkeypatch.setattr(quarantine, 'QUARANTINE_S', 20.0)

    async def scenario(world):
        offer_guilty(world, seconds=5.0)
        await world.env.timer.sleep(quarantine.QUARANTINE_S + 10.0)
        assert not world.quarantined()
        world.crashes.clear()
        offer_guilty(world, seconds=5.0)
        await world.env.timer.sleep(6.0)
        (record,) = world.leader.records()
        assert record.condition is crashreports.Condition.QUARANTINED
        assert record.strikes == 2
        assert record.quarantine_s == 2 * quarantine.QUARANTINE_S
        assert len(world.crashes) <= 3

    run(env, 4, scenario)


def test_a_part_that_is_mended_is_released_by_its_first_sound_answer(
    env, monkeypatch
):
    monkeypatch.setattr(quarantine, 'QUARANTINE_S', 20.0)

    async def scenario(world):
        offer_guilty(world, seconds=5.0)
        await world.env.timer.sleep(quarantine.QUARANTINE_S + 10.0)
        monkeypatch.setattr(promptworld, 'BAD', 'another')
        world.spawn(
            world.offer(
                rate=2.0,
                seconds=2.0,
                make_parts=lambda: ('all', 'bad', 'topic1'),
                kind='mended',
            )
        )
        await world.env.timer.sleep(6.0)
        assert world.served_share('mended') == 1.0
        (record,) = world.leader.records()
        assert record.condition is crashreports.Condition.RELEASED

    run(env, 5, scenario)


@pytest.mark.parametrize('seed', SEEDS)
def test_the_part_of_most_requests_is_not_kept_away_for_an_outage(env, seed):
    """All engines crash again and again, so no answer is sound."""

    async def scenario(world):
        for _ in range(6):
            for engine in world.engine_by_name.values():
                world.crash(engine)
            await world.env.timer.sleep(promptworld.BACK_S + 0.2)
        await world.env.timer.sleep(15.0)
        now = world.env.timer.now()
        assert 'all' not in world.quarantined()
        assert world.served_share('sound', after=now - 5.0) > 0.7

    run(env, seed, scenario)


def test_what_a_node_remembers_is_bounded(env):
    async def scenario(world):
        leader = world.leader
        for number in range(300):
            report = crashreports.CrashReport(
                crashes=tuple(
                    crashreports.Crash(
                        endpoint_id=f'vm{number}-{other}',
                        born_ms=1,
                        age_s=0.2 * other,
                        position_by_part={
                            f'part{number}-{part}': part for part in range(99)
                        },
                    )
                    for other in range(3)
                )
            )
            leader.take('entry', report)
            await world.env.timer.sleep(0.3)
        assert len(leader.records()) <= quarantine.MAX_RECORDS
        reply = leader.reply_to(crashreports.CrashReport(digest=1))
        assert len(crashreports.encode_reply(reply)) < 16 * units.KIB

    run(env, 6, scenario, engines=1, entries=1)


def test_nodes_whose_clocks_differ_agree_when_a_quarantine_ends(
    env, monkeypatch
):
    """The time of day of an entry is far ahead of the leader's."""
    monkeypatch.setattr(quarantine, 'QUARANTINE_S', 8.0)

    async def scenario(world):
        offer_guilty(world, seconds=25.0)
        await world.env.timer.sleep(5.0)
        ahead = promptworld.Entry(
            world=world,
            name='ahead',
            timer=virtualclock.VirtualTimer(),
        )
        ahead.monitor._env.timer.wall_time = lambda: 2e9
        world.entries.append(ahead)
        world.spawn(ahead.run())
        await world.env.timer.sleep(18.0)
        assert {
            entry.monitor.quarantine.digest for entry in world.entries
        } == {world.leader.digest}
        assert world.quarantined() == {promptworld.BAD}
        (record,) = ahead.monitor.records()
        assert record.strikes >= 2

    run(env, 7, scenario)
