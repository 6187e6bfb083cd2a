"""Which VMs are kept ready to replace a lost member."""

import collections

import pytest

from apricotthread.endpoints import directory
from apricotthread.groups import readiness
from apricotthread.groups import spares
from apricotthread.groups import steps
from tests import formationworld


@pytest.fixture
def world():
    """Return six domains of eleven VMs, two in each data centre."""
    return formationworld.make_world()


def test_every_domain_has_one_group_of_each_model_and_two_spares(world):
    world.settle()
    assert world.serving() == {'large': 6, 'small': 6}
    assert len(world.vm_by_id) - len(world.ledger.group_by_vm()) == 12


def test_spares_hold_what_their_domain_runs(world):
    world.settle()
    held = world.ledger.group_by_vm()
    staged = collections.Counter(
        (vm.told.fabric_domain, vm.told.staged[0])
        for name, vm in world.vm_by_id.items()
        if name not in held
    )
    assert set(staged.values()) == {1}


def test_a_group_without_a_spare_gets_vms_of_a_richer_model():
    small_site = formationworld.World()
    for domain, count in (('a1', 6), ('b1', 9), ('c1', 5), ('d1', 5)):
        small_site.add(domain, count)
    small_site.settle()
    assert small_site.serving() == {'large': 2, 'small': 3}
    group = next(
        g
        for g in small_site.ledger.groups()
        if g.model == 'large' and g.fabric_domain == 'b1'
    )
    small_site.change(group.members[1].endpoint_id, gone=True)
    small_site.settle(rounds=30)
    assert small_site.serving() == {'large': 2, 'small': 2}


def test_a_spare_is_made_ready_once_and_joins_first(world):
    world.settle()
    warmed = [s for s in world.history if isinstance(s, steps.Warm)]
    assert len(warmed) == len({s.vm.endpoint_id for s in warmed}) == 12
    group = world.group_of('large')
    world.change(group.members[2].endpoint_id, gone=True)
    world.settle()
    repaired = world.ledger.group_by_id[group.group_id]
    (spare,) = set(repaired.members) - set(group.members)
    assert spare.endpoint_id in {s.vm.endpoint_id for s in warmed}


def test_a_slow_member_is_replaced_while_ready_spares_last(world):
    world.settle()
    group = world.group_of('large')
    first, second, third = group.members[1:4]
    for slow in (first, second):
        world.change(slow.endpoint_id, slow=True)
        world.settle()
        repaired = world.ledger.group_by_id[group.group_id]
        assert slow not in repaired.members
    world.change(third.endpoint_id, slow=True)
    world.settle()
    assert world.ledger.group_by_id[group.group_id] == repaired
    world.change(third.endpoint_id, slow=False)
    assert world.serving() == {'large': 6, 'small': 6}


def test_a_spare_that_gets_ready_is_left_alone(world):
    world.settle()
    world.put_spare_into(
        lambda name: steps.WARM_PREFIX + name, directory.MemberState.JOINING
    )
    assert world.plan() == []


def test_spares_are_shared_out_by_what_may_be_lost(world):
    world.settle()
    groups = [g for g in world.ledger.groups() if g.fabric_domain == 'a1']
    assert spares.share_out(groups, 1) == {'large': 1}
    assert spares.share_out(groups, 2) == {'large': 1, 'small': 1}
    assert spares.share_out(groups, 4) == {'large': 3, 'small': 1}
    assert spares.share_out([], 3) == {}


def test_the_last_spare_loads_what_most_members_run(world):
    world.settle()
    group = world.group_of('large')
    for _ in range(2):
        group = world.ledger.group_by_id[group.group_id]
        world.history.clear()
        world.change(group.members[2].endpoint_id, gone=True)
        world.settle()
        assert not any(
            isinstance(step, steps.Join) and step.needs_load
            for step in world.history
        )


def test_a_spare_that_is_loading_is_not_ordered_again(world):
    world.settle()
    group = world.group_of('large')
    world.change(group.members[2].endpoint_id, gone=True)
    (stage,) = [
        step
        for _ in range(6)
        for planned in [world.plan()]
        for step in planned
        if isinstance(step, steps.Stage) or world.carry_out(step)
    ][:1]
    world.stagings[stage.vm.life] = readiness.Staging(
        model=stage.model, since=world.now
    )
    assert not any(isinstance(step, steps.Stage) for step in world.plan())


def test_a_vm_whose_load_is_nearly_done_joins_before_a_blank_one():
    world = formationworld.World()
    world.add('a1', 2)
    blank, loading = world.vm_by_id.values()
    ready = readiness.Readiness(
        profile=formationworld.PROFILE,
        warm_models={},
        stagings={
            loading.life: readiness.Staging(model='large', since=world.now)
        },
        now=world.now + 15.0,
    )
    free = [blank, loading]
    ready.sort(free, 'large')
    assert free == [loading, blank]
    assert ready.ready_in_s(loading, 'large') < 3.0
