"""Tests that only whole groups serve, and that no VM is in two groups.

Both have to hold whichever VMs are lost.
"""

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.control import commands
from apricotthread.fakes import groupsimulation
from apricotthread.groups import actions
from apricotthread.groups import planner


def test_groups_fill_the_domains_by_the_weights_of_services():
    simulation = groupsimulation.Simulation()
    simulation.set_services(weights=(3.0, 1.0))
    simulation.settle()
    names = [g.service for g in simulation.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)


def test_a_lost_member_is_replaced_from_its_domain():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    lost = group.members[1].endpoint_id
    simulation.vms[lost].is_alive = False
    assert group.group_id not in {g.group_id for g in simulation.serving()}
    simulation.settle(4)
    again = {g.group_id: g for g in simulation.serving()}[group.group_id]
    assert lost not in {m.endpoint_id for m in again.members}
    assert lost in {m.endpoint_id for m in again.departed}
    assert again.fencing > group.fencing


def test_a_second_vm_lost_right_after_a_repair_dissolves_the_group():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    for member in group.members:
        simulation.vms[member.endpoint_id].is_alive = False
        simulation.step()
    simulation.settle()
    assert all(
        simulation.vms[m.endpoint_id].is_alive
        for g in simulation.serving()
        for m in g.members
    )
    held = simulation.state.content.group_ledger.group_by_vm()
    for member in group.members:
        assert member.endpoint_id in held


def test_a_silent_vm_stays_held_until_it_reports_again():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    lost = simulation.serving()[0].members[0].endpoint_id
    simulation.vms[lost].is_alive = False
    simulation.settle()
    assert lost in simulation.state.content.group_ledger.group_by_vm()
    simulation.vms[lost].is_alive = True
    simulation.settle()
    assert lost not in simulation.state.content.group_ledger.group_by_vm()


def test_an_unnoticed_restart_into_a_cold_start_ends_service_at_once():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    simulation.vms[group.members[0].endpoint_id].restart()
    assert group.group_id not in {g.group_id for g in simulation.serving()}
    simulation.settle()
    assert len(simulation.serving()) == 4


def test_the_loss_of_a_domain_leaves_the_other_serving():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    for vm in simulation.vms.values():
        vm.is_alive = vm.domain != 'd1'
    simulation.settle()
    assert {g.fabric_domain for g in simulation.serving()} == {'d2'}
    for vm in simulation.vms.values():
        if vm.domain == 'd1':
            vm.restart()
    simulation.settle()
    assert len(simulation.serving()) == 4


def test_a_rolling_change_keeps_all_but_one_group_of_a_service():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    simulation.set_services(version='2')
    fewest = 4
    for _ in range(60):
        simulation.step()
        fewest = min(fewest, len(simulation.serving()))
    assert {g.version for g in simulation.serving()} == {'2'}
    assert len(simulation.serving()) == 4
    assert fewest >= 2


def test_a_change_of_weights_moves_groups_and_then_stops():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    simulation.set_services(weights=(3.0, 1.0))
    simulation.settle(30)
    names = [g.service for g in simulation.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)
    before = [g.fencing for g in simulation.groups()]
    simulation.settle(5)
    assert [g.fencing for g in simulation.groups()] == before


def test_a_leaving_vm_drains_before_its_group_ends():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    simulation.vms[group.members[1].endpoint_id].leaving = True
    planned = planner.make_plan(simulation.make_plan_input())
    assert actions.Drain(group=group) in planned


@pytest.mark.parametrize('late_fencing', [1, 2])
def test_a_late_order_of_an_old_leader_changes_nothing(late_fencing):
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    head = simulation.vms[group.head.endpoint_id]
    head.fencing = group.fencing
    if late_fencing < group.fencing:
        head.apply_order(late_fencing, 'other')
    assert head.group_id == group.group_id


def test_the_ledger_refuses_a_held_vm():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    result = simulation.apply(
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
    simulation.check_invariants()


def test_a_late_order_to_a_released_vm_does_not_strand_it():
    simulation = groupsimulation.Simulation()
    simulation.settle()
    group = simulation.serving()[0]
    vm = simulation.vms[group.head.endpoint_id]
    vm.restart()
    simulation.settle(2)
    vm.apply_order(group.fencing, group.group_id)
    simulation.settle()
    assert vm.group_id != group.group_id or vm.fencing != group.fencing
    assert len(simulation.serving()) == 4


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['die', 'restart', 'wake', 'leave', 'plan', 'deliver', 'table']
        ),
        strategies.integers(0, 2 * groupsimulation.DOMAIN_SIZE - 1),
    ),
    min_size=10,
    max_size=60,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(events=EVENTS, group_vms=strategies.integers(1, 3))
def test_no_vm_is_ever_in_two_groups(events, group_vms):
    """Orders arrive late, twice and out of order; VMs come and go."""
    simulation = groupsimulation.Simulation(group_vms=group_vms)
    names = sorted(simulation.vms)
    past_orders = []
    for event, number in events:
        vm = simulation.vms[names[number]]
        match event:
            case 'die':
                vm.is_alive = False
            case 'wake':
                vm.is_alive = True
            case 'restart':
                vm.restart()
            case 'leave':
                vm.leaving = True
            case 'plan':
                simulation.step(deliver=False)
                past_orders.extend(simulation.orders)
            case 'deliver' if past_orders:
                name, fencing, group_id = past_orders[
                    -1 - number % len(past_orders)
                ]
                simulation.vms[name].apply_order(fencing, group_id)
            case 'table':
                simulation.set_services(
                    group_vms=group_vms, weights=(1.0 + number, 1.0)
                )
        simulation.check_invariants()
    for vm in simulation.vms.values():
        vm.is_alive = True
        vm.leaving = False
    simulation.orders = past_orders + simulation.orders
    simulation.settle(60)
    held = {m.endpoint_id for g in simulation.serving() for m in g.members}
    assert (
        len(held)
        == len(groupsimulation.DOMAINS)
        * (groupsimulation.DOMAIN_SIZE // group_vms)
        * group_vms
    )
