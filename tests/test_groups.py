"""Tests that only whole groups serve, and that no VM is in two groups.

Both have to hold whichever VMs are lost.
"""

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.control import commands
from apricotthread.fakes import modelworld
from apricotthread.groups import actions
from apricotthread.groups import planner


def test_groups_fill_the_domains_by_the_weights_of_services():
    world = modelworld.World()
    world.set_services(weights=(3.0, 1.0))
    world.settle()
    names = [g.service for g in world.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)


def test_a_lost_member_is_replaced_from_its_domain():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    lost = group.members[1].endpoint_id
    world.vms[lost].alive = False
    assert group.group_id not in {g.group_id for g in world.serving()}
    world.settle(4)
    again = {g.group_id: g for g in world.serving()}[group.group_id]
    assert lost not in {m.endpoint_id for m in again.members}
    assert lost in {m.endpoint_id for m in again.departed}
    assert again.fencing > group.fencing


def test_a_second_vm_lost_right_after_a_repair_dissolves_the_group():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    for member in group.members:
        world.vms[member.endpoint_id].alive = False
        world.step()
    world.settle()
    assert all(
        world.vms[m.endpoint_id].alive
        for g in world.serving()
        for m in g.members
    )
    held = world.state.content.group_ledger.group_by_vm()
    for member in group.members:
        assert member.endpoint_id in held


def test_a_silent_vm_stays_held_until_it_reports_again():
    world = modelworld.World()
    world.settle()
    lost = world.serving()[0].members[0].endpoint_id
    world.vms[lost].alive = False
    world.settle()
    assert lost in world.state.content.group_ledger.group_by_vm()
    world.vms[lost].alive = True
    world.settle()
    assert lost not in world.state.content.group_ledger.group_by_vm()


def test_an_unnoticed_restart_into_a_cold_start_ends_service_at_once():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    world.vms[group.members[0].endpoint_id].restart()
    assert group.group_id not in {g.group_id for g in world.serving()}
    world.settle()
    assert len(world.serving()) == 4


def test_the_loss_of_a_domain_leaves_the_other_serving():
    world = modelworld.World()
    world.settle()
    for vm in world.vms.values():
        vm.alive = vm.domain != 'd1'
    world.settle()
    assert {g.fabric_domain for g in world.serving()} == {'d2'}
    for vm in world.vms.values():
        if vm.domain == 'd1':
            vm.restart()
    world.settle()
    assert len(world.serving()) == 4


def test_a_rolling_change_keeps_all_but_one_group_of_a_service():
    world = modelworld.World()
    world.settle()
    world.set_services(version='2')
    fewest = 4
    for _ in range(60):
        world.step()
        fewest = min(fewest, len(world.serving()))
    assert {g.version for g in world.serving()} == {'2'}
    assert len(world.serving()) == 4
    assert fewest >= 2


def test_a_change_of_weights_moves_groups_and_then_stops():
    world = modelworld.World()
    world.settle()
    world.set_services(weights=(3.0, 1.0))
    world.settle(30)
    names = [g.service for g in world.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)
    before = [g.fencing for g in world.groups()]
    world.settle(5)
    assert [g.fencing for g in world.groups()] == before


def test_a_leaving_vm_drains_before_its_group_ends():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    world.vms[group.members[1].endpoint_id].leaving = True
    planned = planner.make_plan(world.make_input())
    assert actions.Drain(group=group) in planned


@pytest.mark.parametrize('late_fencing', [1, 2])
def test_a_late_order_of_an_old_leader_changes_nothing(late_fencing):
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    head = world.vms[group.head.endpoint_id]
    head.fencing = group.fencing
    if late_fencing < group.fencing:
        head.obey(late_fencing, 'other')
    assert head.group_id == group.group_id


def test_the_ledger_refuses_a_held_vm():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    result = world.apply(
        commands.AssembleGroup(
            group_id='second',
            service='x',
            model='',
            version='1',
            data_centre='dc',
            fabric_domain=group.fabric_domain,
            members=group.members,
        )
    )
    assert result.code == 'conflict'
    world.check()


def test_a_late_order_to_a_released_vm_does_not_strand_it():
    world = modelworld.World()
    world.settle()
    group = world.serving()[0]
    vm = world.vms[group.head.endpoint_id]
    vm.restart()
    world.settle(2)
    vm.obey(group.fencing, group.group_id)
    world.settle()
    assert vm.group_id != group.group_id or vm.fencing != group.fencing
    assert len(world.serving()) == 4


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['die', 'restart', 'wake', 'leave', 'plan', 'deliver', 'table']
        ),
        strategies.integers(0, 2 * modelworld.DOMAIN_SIZE - 1),
    ),
    min_size=10,
    max_size=60,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(events=EVENTS, group_vms=strategies.integers(1, 3))
def test_no_vm_is_ever_in_two_groups(events, group_vms):
    """Orders arrive late, twice and out of order; VMs come and go."""
    world = modelworld.World(group_vms=group_vms)
    names = sorted(world.vms)
    past_orders = []
    for event, number in events:
        vm = world.vms[names[number]]
        match event:
            case 'die':
                vm.alive = False
            case 'wake':
                vm.alive = True
            case 'restart':
                vm.restart()
            case 'leave':
                vm.leaving = True
            case 'plan':
                world.step(deliver=False)
                past_orders.extend(world.orders)
            case 'deliver' if past_orders:
                name, fencing, group_id = past_orders[
                    -1 - number % len(past_orders)
                ]
                world.vms[name].obey(fencing, group_id)
            case 'table':
                world.set_services(
                    group_vms=group_vms, weights=(1.0 + number, 1.0)
                )
        world.check()
    for vm in world.vms.values():
        vm.alive = True
        vm.leaving = False
    world.orders = past_orders + world.orders
    world.settle(60)
    held = {m.endpoint_id for g in world.serving() for m in g.members}
    assert (
        len(held)
        == len(modelworld.DOMAINS)
        * (modelworld.DOMAIN_SIZE // group_vms)
        * group_vms
    )
