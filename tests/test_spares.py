"""Tests which spare VMs are prepared to replace a lost member."""

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


def test_spares_hold_the_models_that_their_domain_runs(world):
    world.settle()
    held = world.ledger.group_by_vm()
    staged = collections.Counter(
        (vm.last_announcement.fabric_domain, vm.last_announcement.staged[0])
        for name, vm in world.vm_by_id.items()
        if name not in held
    )
    assert set(staged.values()) == {1}


def test_a_group_without_a_spare_gets_vms_of_a_richer_model():
    small_fleet = formationworld.World()
    for domain, count in (('a1', 6), ('b1', 9), ('c1', 5), ('d1', 5)):
        small_fleet.add(domain, count)
    small_fleet.settle()
    assert small_fleet.serving() == {'large': 2, 'small': 3}
    group = next(
        g
        for g in small_fleet.ledger.groups()
        if g.model == 'large' and g.fabric_domain == 'b1'
    )
    small_fleet.change(group.members[1].endpoint_id, gone=True)
    small_fleet.settle(rounds=30)
    assert small_fleet.serving() == {'large': 2, 'small': 2}


def test_a_spare_is_warmed_up_once_and_joins_first(world):
    world.settle()
    warmed = [s for s in world.history if isinstance(s, steps.Warm)]
    assert len(warmed) == len({s.vm.endpoint_id for s in warmed}) == 12
    group = world.group_of('large')
    world.change(group.members[2].endpoint_id, gone=True)
    world.settle()
    repaired = world.ledger.group_by_id[group.group_id]
    (spare,) = set(repaired.members) - set(group.members)
    assert spare.endpoint_id in {s.vm.endpoint_id for s in warmed}


def test_a_slow_member_is_replaced_while_there_are_loaded_spares(world):
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


def test_a_spare_that_is_warming_up_is_left_unchanged(world):
    world.settle()
    world.put_spare_into(
        lambda name: steps.WARM_PREFIX + name, directory.MemberState.JOINING
    )
    assert world.plan() == []


def test_spares_are_allocated_by_the_members_of_each_model(world):
    world.settle()
    groups = [g for g in world.ledger.groups() if g.fabric_domain == 'a1']
    assert spares.allocate_spares(groups, 1) == {'large': 1}
    assert spares.allocate_spares(groups, 2) == {'large': 1, 'small': 1}
    assert spares.allocate_spares(groups, 4) == {'large': 3, 'small': 1}
    assert spares.allocate_spares([], 3) == {}


def test_the_last_spare_loads_the_model_with_the_most_members(world):
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
    world.staging_by_incarnation[stage.vm.incarnation_id] = readiness.Staging(
        model=stage.model, started_at=world.now
    )
    assert not any(isinstance(step, steps.Stage) for step in world.plan())


def test_a_vm_whose_load_is_nearly_done_joins_before_an_empty_one():
    world = formationworld.World()
    world.add('a1', 2)
    empty, loading = world.vm_by_id.values()
    ready = readiness.Readiness(
        profile=formationworld.PROFILE,
        warm_model_by_incarnation={},
        staging_by_incarnation={
            loading.incarnation_id: readiness.Staging(
                model='large', started_at=world.now
            )
        },
        now=world.now + 15.0,
    )
    free = [empty, loading]
    ready.sort(free, 'large')
    assert free == [loading, empty]
    assert ready.ready_in_s(loading, 'large') < 3.0
