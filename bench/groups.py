"""Group downtime and stranded accelerators, beside a greedy planner.

Three days of a region on a model clock: VMs fail, restart, and a rack
goes dark. Both planners see the same events.
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
    """Return which VMs go down at each step, and for how many steps."""
    events: dict[int, list[tuple[str, int]]] = {}
    names = [f'{d}-{n}' for d in DOMAINS for n in range(DOMAIN_VMS)]
    days = STEPS * STEP_S / 86400
    for rate, steps in (
        (VM_FAILS_A_DAY, FAILURE_STEPS),
        (VM_RESTARTS_A_DAY, RESTART_STEPS),
    ):
        for _ in range(round(rate * days)):
            moment = rng.randrange(STEPS)
            events.setdefault(moment, []).append((rng.choice(names), steps))
    dark = [f'{DOMAINS[0]}-{n}' for n in range(DOMAIN_VMS)]
    events.setdefault(RACK_AT, []).extend((n, RACK_STEPS) for n in dark)
    return events


def plan_greedily(given: planner.PlanInput) -> list[actions.Action]:
    """Return a naive plan: end what breaks, and start over anywhere."""
    planned: list[actions.Action] = []
    for action in planner.make_plan(given):
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
            for vm in given.vm_by_id.values()
            if vm.has_fresh_report
            and vm.report.member_state == planner.IDLE
            and vm.report.endpoint_id not in held_ids(given)
        ),
        key=lambda item: item[0],
    )
    services = list(given.table.service_by_name().values())
    for domain in DOMAINS:
        here = [vm for name, vm in idle if name == domain]
        while len(here) >= GROUP_VMS:
            chosen, here = here[:GROUP_VMS], here[GROUP_VMS:]
            planned.append(
                actions.Assemble(
                    service=services[len(planned) % len(services)],
                    domain=chosen[0].domain,
                    members=tuple(planner.make_member(vm) for vm in chosen),
                )
            )
    return planned


def held_ids(given: planner.PlanInput) -> set[str]:
    """Return the VMs that the ledger holds."""
    return {
        member.endpoint_id
        for group in given.groups
        for member in (*group.members, *group.departed)
    }


def run(name: str, plan, events) -> tuple[dict, list[int]]:
    """Go through the events with one planner."""
    simulation = groupsimulation.Simulation(
        group_vms=GROUP_VMS,
        domains=DOMAINS,
        domain_size=DOMAIN_VMS,
        load_steps=LOAD_STEPS,
    )
    simulation.make_plan = plan
    back_at: dict[int, list[str]] = {}
    most = len(DOMAINS) * (DOMAIN_VMS // GROUP_VMS)
    downtime_s = 0
    stranded_s = 0
    serving_by_step = []
    for step in range(STEPS):
        for vm_name, steps in events.get(step, []):
            vm = simulation.vms[vm_name]
            if vm.is_alive:
                vm.is_alive = False
                back_at.setdefault(step + steps, []).append(vm_name)
        for vm_name in back_at.pop(step, []):
            simulation.vms[vm_name].restart()
        for vm in simulation.vms.values():
            vm.tick()
        simulation.step()
        serving = simulation.serving()
        is_alive = sum(vm.is_alive for vm in simulation.vms.values())
        busy = sum(len(group.members) for group in serving)
        downtime_s += (most - len(serving)) * STEP_S
        stranded_s += (is_alive - busy) * ACCELERATORS * STEP_S
        serving_by_step.append(len(serving))
    days = STEPS * STEP_S / 86400
    row = {
        'planner': name,
        'groups': most,
        'group_downtime_h_a_day': round(downtime_s / 3600 / days, 2),
        'stranded_accelerator_h_a_day': round(stranded_s / 3600 / days, 1),
        'fewest_serving': min(serving_by_step[100:]),
    }
    return row, serving_by_step


def main() -> None:
    """Run both planners on the same events."""
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
    """Plot the groups that serve over time."""
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
