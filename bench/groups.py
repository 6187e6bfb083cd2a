"""Compares the group planner with a greedy one.

Measures group downtime and stranded accelerators over three simulated days
of a region, in which VMs fail and restart and a rack fails as a whole. Both
planners get the same events.
"""

import random

import matplotlib

from apricotthread.fakes import groupsimulation
from apricotthread.groups import actions
from apricotthread.groups import planner
from bench import rig

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402, H306

SEED = 7
STEP_S = 20
STEPS = 3 * 86400 // STEP_S
DOMAINS = tuple(f'd{number}' for number in range(8))
DOMAIN_VMS = 18
GROUP_VMS = 8
LOAD_STEPS = 6  # 2 minutes to load a model
ACCELERATORS = 4
VM_FAILS_A_DAY = 10 * len(DOMAINS) * DOMAIN_VMS / 1400
VM_RESTARTS_A_DAY = 98 * len(DOMAINS) * DOMAIN_VMS / 1400
RESTART_STEPS = 15
FAILURE_STEPS = 540
RACK_AT = STEPS // 2
RACK_STEPS = 90


def make_events(rng: random.Random) -> dict[int, list[tuple[str, int]]]:
    """Return the VMs that go down at each step, and for how many steps."""
    events: dict[int, list[tuple[str, int]]] = {}
    names = [f'{d}-{n}' for d in DOMAINS for n in range(DOMAIN_VMS)]
    days = STEPS * STEP_S / 86400
    for rate, steps in (
        (VM_FAILS_A_DAY, FAILURE_STEPS),
        (VM_RESTARTS_A_DAY, RESTART_STEPS),
    ):
        for _ in range(round(rate * days)):
            fails_at = rng.randrange(STEPS)
            events.setdefault(fails_at, []).append((rng.choice(names), steps))
    rack_vms = [f'{DOMAINS[0]}-{n}' for n in range(DOMAIN_VMS)]
    events.setdefault(RACK_AT, []).extend((n, RACK_STEPS) for n in rack_vms)
    return events


def plan_greedily(plan_input: planner.PlanInput) -> list[actions.Action]:
    """Return a naive plan.

    It dissolves groups that lose a member instead of repairing them, and
    assembles idle VMs of a domain into groups without regard to weights.
    """
    planned: list[actions.Action] = []
    for action in planner.make_plan(plan_input):
        match action:
            case actions.Repair(group=group):
                planned.append(actions.Dissolve(group=group))
            case actions.Assemble():
                pass
            case _:
                planned.append(action)
    idle = sorted(
        (
            (vm.domain.name, vm)
            for vm in plan_input.vm_by_id.values()
            if vm.has_fresh_report
            and vm.report.member_state == planner.IDLE
            and vm.report.endpoint_id not in ledger_vm_ids(plan_input)
        ),
        key=lambda item: item[0],
    )
    services = list(plan_input.table.service_by_name().values())
    for domain in DOMAINS:
        domain_vms = [vm for name, vm in idle if name == domain]
        while len(domain_vms) >= GROUP_VMS:
            chosen, domain_vms = domain_vms[:GROUP_VMS], domain_vms[GROUP_VMS:]
            planned.append(
                actions.Assemble(
                    service=services[len(planned) % len(services)],
                    domain=chosen[0].domain,
                    members=tuple(planner.make_member(vm) for vm in chosen),
                )
            )
    return planned


def ledger_vm_ids(plan_input: planner.PlanInput) -> set[str]:
    """Return the ids of the VMs that the ledger holds."""
    return {
        member.endpoint_id
        for group in plan_input.groups
        for member in (*group.members, *group.departed)
    }


def run(name: str, plan, events) -> tuple[dict, list[int]]:
    """Simulate the events with one planner.

    Returns the row of results and the number of serving groups by step.
    """
    simulation = groupsimulation.Simulation(
        group_vms=GROUP_VMS,
        domains=DOMAINS,
        domain_size=DOMAIN_VMS,
        load_steps=LOAD_STEPS,
    )
    simulation.make_plan = plan
    returning_vms_by_step: dict[int, list[str]] = {}
    max_groups = len(DOMAINS) * (DOMAIN_VMS // GROUP_VMS)
    downtime_s = 0
    stranded_s = 0
    serving_by_step = []
    for step in range(STEPS):
        for vm_name, steps in events.get(step, []):
            vm = simulation.vms[vm_name]
            if vm.is_alive:
                vm.is_alive = False
                returning_vms_by_step.setdefault(step + steps, []).append(
                    vm_name
                )
        for vm_name in returning_vms_by_step.pop(step, []):
            simulation.vms[vm_name].restart()
        for vm in simulation.vms.values():
            vm.tick()
        simulation.step()
        serving = simulation.serving()
        is_alive = sum(vm.is_alive for vm in simulation.vms.values())
        busy = sum(len(group.members) for group in serving)
        downtime_s += (max_groups - len(serving)) * STEP_S
        stranded_s += (is_alive - busy) * ACCELERATORS * STEP_S
        serving_by_step.append(len(serving))
    days = STEPS * STEP_S / 86400
    row = {
        'planner': name,
        'groups': max_groups,
        'group_downtime_h_a_day': round(downtime_s / 3600 / days, 2),
        'stranded_accelerator_h_a_day': round(stranded_s / 3600 / days, 1),
        'fewest_serving': min(serving_by_step[100:]),
    }
    return row, serving_by_step


def main() -> None:
    """Simulate the same events with both planners and write the results."""
    events = make_events(random.Random(SEED))
    print(f'  seed {SEED}')
    row, serving = run('apricotthread', planner.make_plan, events)
    naive, naive_serving = run('greedy', plan_greedily, events)
    row['downtime_ratio'] = 1.0
    naive['downtime_ratio'] = round(
        naive['group_downtime_h_a_day'] / row['group_downtime_h_a_day'], 2
    )
    path = rig.write_rows('groups', [row, naive])
    draw(serving, naive_serving, path.with_suffix('.png'))


def draw(serving: list[int], naive: list[int], path) -> None:
    """Plot the number of serving groups over time."""
    figure, axes = pyplot.subplots(figsize=(7, 3))
    hours = [step * STEP_S / 3600 for step in range(STEPS)]
    axes.plot(hours, naive, label='greedy', linewidth=0.8)
    axes.plot(hours, serving, label='apricotthread', linewidth=0.8)
    axes.set_xlabel('hours')
    axes.set_ylabel('groups that serve')
    axes.legend(loc='lower right')
    figure.tight_layout()
    figure.savefig(path, dpi=100)


if __name__ == '__main__':
    main()
