"""Simulates VMs, the group ledger and orders, to test the group planner."""

import dataclasses

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import state as states
from apricotthread.control import tables
from apricotthread.groups import actions
from apricotthread.groups import planner
from apricotthread.nodes import messages

DOMAIN_SIZE = 5
DOMAINS = ('d1', 'd2')


@dataclasses.dataclass(kw_only=True)
class SimulatedVm:
    """A VM with its actual state; it checks fencing numbers."""

    name: str
    domain: str
    incarnation: int = 1
    is_alive: bool = True
    leaving: bool = False
    group_id: str = ''
    fencing: int = 0
    load_steps: int = 0
    load_steps_left: int = 0

    def apply_order(self, fencing: int, group_id: str) -> None:
        """Join a group, or leave the current one if `group_id` is empty.

        An order with an older fencing number is ignored. A member that
        stays in its group keeps its loaded model.
        """
        if not self.is_alive or fencing < self.fencing:
            return
        if group_id != self.group_id:
            self.load_steps_left = self.load_steps
        self.fencing = fencing
        self.group_id = group_id

    @property
    def member_state(self) -> str:
        """Return the member state that the VM announces."""
        if not self.group_id:
            return 'idle'
        return 'loading' if self.load_steps_left else 'ready'

    def tick(self) -> None:
        """Advance the loading of the model by one step."""
        self.load_steps_left = max(0, self.load_steps_left - 1)

    def restart(self) -> None:
        """Start again without a group, with a new incarnation."""
        self.is_alive = True
        self.leaving = False
        self.incarnation += 1
        self.group_id = ''
        self.fencing = 0

    def report(self) -> messages.VmReport:
        """Return the report that the VM sends."""
        return messages.VmReport(
            endpoint_id=self.name,
            incarnation=self.incarnation,
            fabric_domain=self.domain,
            url=f'http://{self.name}',
            accelerators=4,
            checks_fencing=True,
            member_state=self.member_state,
            group_id=self.group_id,
            fencing=self.fencing,
            leaving=self.leaving,
            cold=False,
            age_ms=0,
        )


class Simulation:
    """VMs, the group ledger and the orders that have not arrived yet."""

    def __init__(
        self,
        *,
        group_vms: int = 2,
        domains: tuple[str, ...] = DOMAINS,
        domain_size: int = DOMAIN_SIZE,
        load_steps: int = 0,
    ) -> None:
        self.state = states.AgreedState()
        self.set_services(group_vms=group_vms)
        self.vms = {
            f'{domain}-{n}': SimulatedVm(
                name=f'{domain}-{n}', domain=domain, load_steps=load_steps
            )
            for domain in domains
            for n in range(domain_size)
        }
        self.make_plan = planner.make_plan
        self.orders = []
        self.index = 0

    def set_services(
        self,
        *,
        group_vms: int = 2,
        weights: tuple[float, float] = (1.0, 1.0),
        version: str = '1',
    ) -> None:
        """Set the services x and y of the table."""
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

    def apply(self, command: commands.AnyCommand) -> commands.Result:
        """Apply a ledger change."""
        self.index += 1
        result, _ = self.state.apply(command, index=self.index)
        return result

    def groups(self) -> tuple[ledger.Group, ...]:
        """Return the ledger's groups."""
        return self.state.content.group_ledger.groups()

    def make_plan_input(self) -> planner.PlanInput:
        """Return the planner's input; only live VMs have fresh reports."""
        return planner.PlanInput(
            table=self.state.content.table,
            groups=self.groups(),
            last_fencing=self.state.content.group_ledger.last_fencing,
            vm_by_id={
                name: actions.Vm(
                    report=vm.report(),
                    data_centre='dc',
                    has_fresh_report=vm.is_alive,
                )
                for name, vm in self.vms.items()
            },
            drained_group_ids=frozenset(
                g.group_id for g in self.groups() if g.state == 'draining'
            ),
        )

    def step(self, *, deliver: bool = True) -> None:
        """Plan once and carry out the plan; without `deliver`, orders wait."""
        for action in self.make_plan(self.make_plan_input()):
            self.carry_out(action)
            self.check_invariants()
        if deliver:
            self.deliver_orders()

    def carry_out(self, action: actions.Action) -> None:
        """Do what the group manager does for an action."""
        match action:
            case actions.Assemble():
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
            case actions.Repair(group=group, members=members):
                self.apply(
                    commands.RepairGroup(
                        group_id=group.group_id,
                        fencing=group.fencing,
                        members=list(members),
                    )
                )
            case actions.Drain(group=group):
                self.set_state(group, 'draining')
            case actions.Dissolve(group=group):
                self.apply(
                    commands.DissolveGroup(
                        group_id=group.group_id, fencing=group.fencing
                    )
                )
            case actions.Release(group=group, endpoint_id=name):
                self.apply(
                    commands.ReleaseVm(
                        group_id=group.group_id, endpoint_id=name
                    )
                )
            case actions.OrderRelease(endpoint_id=name, fencing=fencing):
                self.orders.append((name, fencing, ''))
            case actions.Advance(group=group):
                self.advance(group)

    def set_state(self, group: ledger.Group, name: str) -> None:
        """Set the state of a group in the ledger."""
        self.apply(
            commands.SetGroupState(
                group_id=group.group_id, fencing=group.fencing, state=name
            )
        )

    def advance(self, group: ledger.Group) -> None:
        """Let a group serve if all members are ready, or order joins."""
        if all(self.is_ready(group, m) for m in group.members):
            self.set_state(group, 'serving')
            return
        for member in group.members:
            vm = self.vms[member.endpoint_id]
            if (vm.group_id, vm.fencing) == (group.group_id, group.fencing):
                continue
            self.orders.append(
                (member.endpoint_id, group.fencing, group.group_id)
            )

    def is_ready(
        self, group: ledger.Group, member: commands.GroupMember
    ) -> bool:
        """Return whether a member is ready with the group's fencing."""
        vm = self.vms[member.endpoint_id]
        return (
            vm.is_alive
            and vm.member_state == 'ready'
            and (vm.group_id, vm.fencing, vm.incarnation)
            == (group.group_id, group.fencing, member.incarnation)
        )

    def deliver_orders(self) -> None:
        """Deliver all orders that have not arrived yet."""
        for name, fencing, group_id in self.orders:
            self.vms[name].apply_order(fencing, group_id)
        self.orders.clear()

    def serving(self) -> list[ledger.Group]:
        """Return the groups that may take requests now."""
        return [
            g
            for g in self.groups()
            if g.state == 'serving'
            and all(self.is_ready(g, m) for m in g.members)
        ]

    def check_invariants(self) -> None:
        """Assert that no VM is held twice and no group spans two domains."""
        member_ids = [
            member.endpoint_id
            for group in self.groups()
            for member in (*group.members, *group.departed)
        ]
        assert len(member_ids) == len(set(member_ids))
        serving_ids = [
            m.endpoint_id for g in self.serving() for m in g.members
        ]
        assert len(serving_ids) == len(set(serving_ids))
        for group in self.groups():
            domains = {self.vms[m.endpoint_id].domain for m in group.members}
            assert len(domains) <= 1

    def settle(self, rounds: int = 12) -> None:
        """Run `rounds` steps, so that the groups reach a stable state."""
        for _ in range(rounds):
            self.step()
