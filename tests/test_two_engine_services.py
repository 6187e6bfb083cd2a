"""Two services of groups, whose VMs share fabric domains and nothing else."""

import asyncio
import collections
import types

import msgspec

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock
from apricotthread.fleet import evidence
from apricotthread.groups import formationmanager
from apricotthread.groups import steps
from tests import formationworld

SERVICES = ('first', 'second')
PROFILE = msgspec.structs.replace(
    formationworld.PROFILE,
    models=(msgspec.structs.replace(formationworld.SMALL, load_share=1.0),),
    concurrent_loads=2,
)
ANNOUNCE_S = 0.5


class World:
    """A leader, and VMs that announce themselves but obey no orders."""

    def __init__(self, *, env, vms, staged, has_callers):
        self.env = env
        self.proposed = collections.Counter()
        self.loading = collections.defaultdict(set)
        self._announcements = [
            directory.Announcement(
                endpoint_id=f'{service}-{number}',
                service=service,
                address=f'10.0.0.{number}:{service}',
                data_centre='n',
                born_ms=1,
                sequence=1,
                slots=13,
                fabric_domain='n-1',
                staged=staged,
            )
            for service in SERVICES
            for number in range(vms)
        ]
        self._directory = directory.Directory(env=env, lost_after_s=3.0)
        store = evidence.EvidenceStore(env=env)
        store.has_callers = has_callers
        table = types.SimpleNamespace(
            services=[
                types.SimpleNamespace(name=name, engine=PROFILE)
                for name in SERVICES
            ]
        )
        self.manager = formationmanager.FormationManager(
            env=env,
            raft=types.SimpleNamespace(
                holds_lease=lambda: True,
                has_applied_all_entries=lambda: True,
                propose_as_leader=self._propose,
                store=types.SimpleNamespace(term=1),
                state=types.SimpleNamespace(
                    content=types.SimpleNamespace(
                        group_ledger=ledger.Ledger(), taken_out=[]
                    )
                ),
            ),
            endpoints=self._directory,
            observations=store,
            slow_ids=frozenset(),
            get_table=lambda: table,
            sender=types.SimpleNamespace(send=self._send),
            stall_s=5.0,
            lost_after_s=3.0,
        )

    async def _propose(self, command):
        change = commands.decode_command(command)
        self.proposed[change.service] += 1
        return types.SimpleNamespace(accepted=True, message='')

    async def _send(self, step, **_):
        if isinstance(step, steps.Stage):
            service = step.vm.last_announcement.service
            self.loading[service].add(step.vm.endpoint_id)
        return formationmanager.OrderResult(status=202, reason='')

    async def announce(self):
        """Have all VMs announce themselves again and again."""
        sequence = 0
        while True:
            sequence += 1
            for announcement in self._announcements:
                self._directory.apply(
                    directory.Heard(
                        announcement=msgspec.structs.replace(
                            announcement, sequence=sequence
                        ),
                        age_s=0.0,
                    )
                )
            await self.env.timer.sleep(ANNOUNCE_S)


def play(env, *, seconds, **values):
    """Play a leader for some seconds; return the world."""
    world = World(env=env, **values)

    async def main():
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (world.announce(), world.manager.run())
        ]
        await env.timer.sleep(seconds)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()

    virtualclock.run(main())
    return world


def test_idle_vms_in_a_shared_domain_become_groups_of_both_services(env):
    """Guards against VMs that stand by as the other service has idle ones."""
    world = play(env, seconds=20.0, vms=3, staged=('small',), has_callers=True)
    assert set(world.proposed) == set(SERVICES)


def test_loads_of_a_service_count_while_another_is_planned(env):
    """Guards against more loads at a time than the weight store bears."""
    world = play(env, seconds=10.0, vms=12, staged=(), has_callers=True)
    assert {service: len(ids) for service, ids in world.loading.items()} == {
        service: PROFILE.concurrent_loads for service in SERVICES
    }


def test_a_small_service_grows_after_a_large_one(env):
    """Guards against groups that are made before the VMs are there."""
    world = World(env=env, vms=0, staged=(), has_callers=False)
    states = [formationmanager._ServiceState() for _ in SERVICES]
    vms = dict.fromkeys(range(9))
    assert world.manager._is_fleet_growing(states[0], vms, 1.0)
    assert not world.manager._is_fleet_growing(states[0], vms, 90.0)
    assert world.manager._is_fleet_growing(states[1], {0: None}, 90.0)
