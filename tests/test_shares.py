"""Leases of entries on shares of the bounds of all of them together."""

import collections

import pytest

from apricotthread.fakes import virtualclock
from apricotthread.fleet import shares

WINDOW_S = 10.0
WAIT_S = shares.LEASE_S + WINDOW_S
REPORT_S = 0.5
ROUNDING = 1e-9


class Fleet:
    """A registry that leads since its start, and entries that report."""

    def __init__(self, *, env, names):
        self.env = env
        self.holder_by_name = {name: self.make_holder() for name in names}
        self.lead()

    def make_holder(self):
        """Return an entry that has just started."""
        return shares.ShareHolder(env=self.env)

    def lead(self):
        """Have another control node lead from now on."""
        self.leader_since = self.env.timer.now()
        self.registry = shares.ShareRegistry(
            env=self.env, longest_window_s=WINDOW_S
        )

    def report(self, *names):
        """Have entries report, and take what they are granted."""
        for name in names or self.holder_by_name:
            holder = self.holder_by_name[name]
            grant = self.registry.grant(
                name, holder.make_claim(), leader_since=self.leader_since
            )
            holder.apply(
                shares.decode_grant(shares.encode_grant(grant)),
                sent_at=self.env.timer.now(),
            )

    async def keep_reporting(self, seconds, *names):
        """Have entries report for a while, all of them if none is named."""
        ends_at = self.env.timer.now() + seconds
        while self.env.timer.now() < ends_at:
            self.report(*names)
            await self.env.timer.sleep(REPORT_S)

    def fractions(self, window_s=WINDOW_S):
        """Return the entries' shares, in the order of their names."""
        return [
            holder.fraction(window_s)
            for holder in self.holder_by_name.values()
        ]


def play(env, names, scenario):
    """Play a scenario with entries on the virtual clock."""

    async def main():
        await scenario(Fleet(env=env, names=names))

    virtualclock.run(main())


def test_an_entry_that_knows_no_leader_has_no_share(env):
    async def scenario(fleet):
        assert fleet.fractions() == [0.0]
        await env.timer.sleep(100.0)
        assert fleet.fractions() == [0.0]

    play(env, ['e1'], scenario)


def test_shares_are_equal_once_all_entries_were_counted_for_long(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S - 1.0)
        assert fleet.fractions() == [0.0] * 4
        await fleet.keep_reporting(2.0)
        assert fleet.fractions() == [0.25] * 4

    play(env, ['e1', 'e2', 'e3', 'e4'], scenario)


def test_a_short_window_is_waited_for_less_long(env):
    async def scenario(fleet):
        await fleet.keep_reporting(shares.LEASE_S + 2.0)
        assert fleet.fractions(window_s=1.0) == [1.0]
        assert fleet.fractions() == [0.0]

    play(env, ['e1'], scenario)


def test_an_entry_that_was_killed_waits_until_its_past_has_left_the_window(
    env,
):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        fleet.holder_by_name['e1'] = fleet.make_holder()
        await fleet.keep_reporting(WAIT_S - 1.0)
        assert fleet.fractions() == [0.0, 0.5]
        await fleet.keep_reporting(2.0)
        assert fleet.fractions() == [0.5, 0.5]

    play(env, ['e1', 'e2'], scenario)


def test_an_entry_that_was_paused_has_no_share_when_it_wakes(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        await fleet.keep_reporting(shares.LEASE_S + 1.0, 'e2')
        assert fleet.fractions() == [0.0, 0.5]

    play(env, ['e1', 'e2'], scenario)


def test_the_share_of_an_entry_that_is_gone_is_free_after_its_window(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        await fleet.keep_reporting(WAIT_S - 1.0, 'e2')
        assert fleet.fractions()[1] == 0.5
        await fleet.keep_reporting(2.0, 'e2')
        assert fleet.fractions()[1] == 1.0

    play(env, ['e1', 'e2'], scenario)


def test_a_late_grant_does_not_lengthen_the_lease(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        sent_at = env.timer.now()
        holder = fleet.holder_by_name['e1']
        grant = fleet.registry.grant(
            'e1', holder.make_claim(), leader_since=fleet.leader_since
        )
        await env.timer.sleep(shares.LEASE_S + 0.1)
        holder.apply(grant, sent_at=sent_at)
        assert fleet.fractions() == [0.0]

    play(env, ['e1'], scenario)


def test_a_new_leader_leaves_entries_the_shares_that_they_hold(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        fleet.lead()
        # e3 is cut off from the new leader.
        await fleet.keep_reporting(WAIT_S - 1.0, 'e1', 'e2')
        assert fleet.fractions() == [1 / 3, 1 / 3, 0.0]
        await fleet.keep_reporting(2.0, 'e1', 'e2')
        assert fleet.fractions() == [0.5, 0.5, 0.0]

    play(env, ['e1', 'e2', 'e3'], scenario)


def test_a_new_leader_counts_entries_anew_that_lost_their_lease(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        await env.timer.sleep(shares.LEASE_S + 0.5)
        fleet.lead()
        await fleet.keep_reporting(WAIT_S - 1.0)
        assert fleet.fractions() == [0.0, 0.0]
        await fleet.keep_reporting(2.0)
        assert fleet.fractions() == [0.5, 0.5]

    play(env, ['e1', 'e2'], scenario)


def test_a_claim_that_comes_after_all_old_leases_is_not_accepted(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0)
        late_claim = fleet.holder_by_name['e1'].make_claim()
        fleet.lead()
        await env.timer.sleep(shares.LEASE_S + 0.5)
        grant = fleet.registry.grant(
            'e1', late_claim, leader_since=fleet.leader_since
        )
        assert grant.held_s == 0.0

    play(env, ['e1'], scenario)


def test_an_entry_that_joined_shortly_before_a_new_leader_waits_anew(env):
    async def scenario(fleet):
        await fleet.keep_reporting(WAIT_S + 1.0, 'e1')
        await fleet.keep_reporting(WAIT_S - 2.0)
        fleet.lead()
        await fleet.keep_reporting(WAIT_S - 1.0)
        assert fleet.fractions() == [0.5, 0.0]
        await fleet.keep_reporting(2.0)
        assert fleet.fractions() == [0.5, 0.5]

    play(env, ['e1', 'e2'], scenario)


@pytest.mark.parametrize('seed', range(20))
def test_shares_in_use_within_any_window_sum_to_one_at_most(seed):
    env = virtualclock.make_environment(seed)
    draw = env.random
    names = [f'e{number}' for number in range(6)]

    async def scenario(fleet):
        reachable = names
        used = collections.deque()
        has_used = False
        for _ in range(2000):
            event = draw.random()
            if event < 0.01:
                fleet.lead()
            elif event < 0.02:
                fleet.holder_by_name[draw.choice(names)] = fleet.make_holder()
            elif event < 0.06:
                reachable = draw.sample(names, draw.randint(1, len(names)))
            fleet.report(*reachable)
            await env.timer.sleep(REPORT_S)
            now = env.timer.now()
            for holder in fleet.holder_by_name.values():
                used.append((now, holder, holder.fraction(WINDOW_S)))
            while used[0][0] <= now - WINDOW_S:
                used.popleft()
            largest_by_holder = collections.defaultdict(float)
            for _, holder, share in used:
                largest_by_holder[holder] = max(
                    largest_by_holder[holder], share
                )
            total = sum(largest_by_holder.values())
            has_used = has_used or total > 0
            assert total <= 1.0 + ROUNDING
        assert has_used

    play(env, names, scenario)
