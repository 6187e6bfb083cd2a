"""Groups: whole or not serving, and no VM in two, whatever is lost."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.control import commands
from apricotthread.control import state as states
from apricotthread.control import tables
from apricotthread.groups import planner
from apricotthread.nodes import messages

DOMAIN_SIZE = 5
DOMAINS = ('d1', 'd2')


@dataclasses.dataclass(kw_only=True)
class ModelVm:
    """A VM as it really is; it checks fencing numbers."""

    name: str
    domain: str
    incarnation: int = 1
    alive: bool = True
    leaving: bool = False
    group_id: str = ''
    fencing: int = 0

    def obey(self, fencing, group_id):
        """Carry out an order to join a group, or to leave for none."""
        if self.alive and fencing >= self.fencing:
            self.fencing = fencing
            self.group_id = group_id

    def restart(self):
        """Come back empty."""
        self.alive = True
        self.leaving = False
        self.incarnation += 1
        self.group_id = ''
        self.fencing = 0

    def report(self):
        """Return what the VM announces."""
        return messages.VmReport(
            endpoint_id=self.name,
            incarnation=self.incarnation,
            fabric_domain=self.domain,
            url=f'http://{self.name}',
            accelerators=4,
            checks_fencing=True,
            member_state='ready' if self.group_id else 'idle',
            group_id=self.group_id,
            fencing=self.fencing,
            leaving=self.leaving,
            cold=False,
            age_ms=0,
        )


class World:
    """VMs, the ledger, and orders on their way."""

    def __init__(self, group_vms=2):
        self.state = states.AgreedState()
        self.set_services(group_vms=group_vms)
        self.vms = {
            f'{domain}-{n}': ModelVm(name=f'{domain}-{n}', domain=domain)
            for domain in DOMAINS
            for n in range(DOMAIN_SIZE)
        }
        self.orders = []
        self.index = 0
        self.was_ready = set()

    def set_services(self, *, group_vms=2, weights=(1.0, 1.0), version='1'):
        """Set the table's services."""
        self.state.content.table = tables.make_table(
            [
                tables.ServiceRow(
                    name=name,
                    type='model',
                    group_vms=group_vms,
                    weight=weight,
                    version=version,
                )
                for name, weight in zip('xy', weights, strict=True)
            ]
        )

    def apply(self, command):
        """Apply a ledger change."""
        self.index += 1
        result, _ = self.state.apply(command, index=self.index)
        return result

    def groups(self):
        """Return the ledger's groups."""
        return tuple(self.state.content.group_by_id.values())

    def make_input(self, **extra):
        """Return what the leader sees; it hears only of living VMs."""
        return planner.PlanInput(
            table=self.state.content.table,
            groups=self.groups(),
            last_fencing=self.state.content.last_fencing,
            vm_by_id={
                name: planner.Vm(
                    report=vm.report(), data_centre='dc', fresh=vm.alive
                )
                for name, vm in self.vms.items()
            },
            drained_group_ids=frozenset(
                g.group_id for g in self.groups() if g.state == 'draining'
            ),
            **extra,
        )

    def step(self, *, deliver=True):
        """Plan once and carry the plan out; orders may stay under way."""
        for action in planner.make_plan(self.make_input()):
            self.carry_out(action)
            self.check()
        if deliver:
            self.deliver_all()

    def carry_out(self, action):
        """Do what the manager does for an action."""
        match action:
            case planner.Assemble():
                self.apply(
                    commands.AssembleGroup(
                        group_id=f'g{self.index}',
                        service=action.service.name,
                        model='',
                        version=action.service.version,
                        data_centre=action.domain.data_centre,
                        fabric_domain=action.domain.name,
                        members=list(action.members),
                    )
                )
            case planner.Repair(group=group, members=members):
                self.apply(
                    commands.RepairGroup(
                        group_id=group.group_id,
                        fencing=group.fencing,
                        members=list(members),
                    )
                )
            case planner.Drain(group=group):
                self.set_state(group, 'draining')
            case planner.Dissolve(group=group):
                self.apply(
                    commands.DissolveGroup(
                        group_id=group.group_id, fencing=group.fencing
                    )
                )
            case planner.Release(group=group, endpoint_id=name):
                self.apply(
                    commands.ReleaseVm(
                        group_id=group.group_id, endpoint_id=name
                    )
                )
            case planner.OrderRelease(endpoint_id=name, fencing=fencing):
                self.orders.append((name, fencing, ''))
            case planner.Advance(group=group):
                self.advance(group)

    def set_state(self, group, name):
        """Move a group on in the ledger."""
        self.apply(
            commands.SetGroupState(
                group_id=group.group_id, fencing=group.fencing, state=name
            )
        )

    def advance(self, group):
        """Serve when every member confirmed, else order them to join."""
        if all(self.is_ready(group, m) for m in group.members):
            self.set_state(group, 'serving')
            return
        for member in group.members:
            self.orders.append(
                (member.endpoint_id, group.fencing, group.group_id)
            )

    def is_ready(self, group, member):
        """Whether a member is ready under the group's number."""
        vm = self.vms[member.endpoint_id]
        return vm.alive and (vm.group_id, vm.fencing, vm.incarnation) == (
            group.group_id,
            group.fencing,
            member.incarnation,
        )

    def deliver_all(self):
        """Have every order arrive."""
        for name, fencing, group_id in self.orders:
            self.vms[name].obey(fencing, group_id)
        self.orders.clear()

    def serving(self):
        """Return the groups that may take requests."""
        return [
            g
            for g in self.groups()
            if g.state == 'serving'
            and all(self.is_ready(g, m) for m in g.members)
        ]

    def check(self):
        """No VM is held twice, and a serving group is of one domain."""
        held = [
            member.endpoint_id
            for group in self.groups()
            for member in (*group.members, *group.departed)
        ]
        assert len(held) == len(set(held))
        in_use = [m.endpoint_id for g in self.serving() for m in g.members]
        assert len(in_use) == len(set(in_use))
        for group in self.groups():
            domains = {self.vms[m.endpoint_id].domain for m in group.members}
            assert len(domains) <= 1

    def settle(self, rounds=12):
        """Plan until nothing changes any more."""
        for _ in range(rounds):
            self.step()


def test_groups_fill_the_domains_as_the_weights_say():
    world = World()
    world.set_services(weights=(3.0, 1.0))
    world.settle()
    names = [g.service for g in world.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)


def test_a_lost_member_is_replaced_from_its_domain():
    world = World()
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
    world = World()
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
    held = world.state.held_vms()
    for member in group.members:
        assert member.endpoint_id in held


def test_a_silent_vm_stays_held_until_it_speaks_again():
    world = World()
    world.settle()
    lost = world.serving()[0].members[0].endpoint_id
    world.vms[lost].alive = False
    world.settle()
    assert lost in world.state.held_vms()
    world.vms[lost].alive = True
    world.settle()
    assert lost not in world.state.held_vms()


def test_a_silent_restart_into_a_cold_start_ends_service_at_once():
    world = World()
    world.settle()
    group = world.serving()[0]
    world.vms[group.members[0].endpoint_id].restart()
    assert group.group_id not in {g.group_id for g in world.serving()}
    world.settle()
    assert len(world.serving()) == 4


def test_a_dark_domain_leaves_the_other_serving():
    world = World()
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
    world = World()
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
    world = World()
    world.settle()
    world.set_services(weights=(3.0, 1.0))
    world.settle(30)
    names = [g.service for g in world.serving()]
    assert (names.count('x'), names.count('y')) == (3, 1)
    before = [g.fencing for g in world.groups()]
    world.settle(5)
    assert [g.fencing for g in world.groups()] == before


def test_a_leaving_vm_drains_before_its_group_ends():
    world = World()
    world.settle()
    group = world.serving()[0]
    world.vms[group.members[1].endpoint_id].leaving = True
    actions = planner.make_plan(world.make_input())
    assert planner.Drain(group=group) in actions


@pytest.mark.parametrize('late_fencing', [1, 2])
def test_a_late_order_of_an_old_leader_changes_nothing(late_fencing):
    world = World()
    world.settle()
    group = world.serving()[0]
    head = world.vms[group.head.endpoint_id]
    head.fencing = group.fencing
    if late_fencing < group.fencing:
        head.obey(late_fencing, 'other')
    assert head.group_id == group.group_id


def test_a_late_order_to_a_released_vm_does_not_strand_it():
    world = World()
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
        strategies.integers(0, 2 * DOMAIN_SIZE - 1),
    ),
    min_size=10,
    max_size=60,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(events=EVENTS, group_vms=strategies.integers(1, 3))
def test_no_vm_is_ever_in_two_groups(events, group_vms):
    """Orders arrive late, doubled and out of order; VMs come and go."""
    world = World(group_vms=group_vms)
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
    assert len(held) == len(DOMAINS) * (DOMAIN_SIZE // group_vms) * group_vms
