"""A bug that shows in one plan, attempt or reply does not end the process."""

import asyncio
import types

import pytest

from apricotthread.control import ledger
from apricotthread.endpoints import directory
from apricotthread.fakes import virtualclock
from apricotthread.fleet import evidence
from apricotthread.fleet import subscriber
from apricotthread.fleet import updates
from apricotthread.fleet import view
from apricotthread.gateway import loads
from apricotthread.gateway import stallwatch
from apricotthread.groups import formation
from apricotthread.groups import formationmanager
from apricotthread.nodes import messages
from tests import formationworld

PLAYED_S = 3.0


def run_for(env, coroutine, seconds=PLAYED_S):
    """Run a component for some seconds; raises what ends it."""

    async def main():
        task = asyncio.create_task(coroutine)
        await env.timer.sleep(seconds)
        if task.done():
            task.result()
        task.cancel()

    virtualclock.run(main())


@pytest.fixture
def planned_services(monkeypatch):
    """Have plans of the service `broken` fail; return the others' names."""
    planned = []

    def plan(planner):
        if planner.service == 'broken':
            raise KeyError('a domain')
        planned.append(planner.service)
        return []

    monkeypatch.setattr(formation.Planner, 'plan', plan)
    return planned


def test_a_plan_that_fails_ends_neither_the_node_nor_other_plans(
    env, planned_services
):
    """Guards against leaders that end as the groups of a service change."""
    table = types.SimpleNamespace(
        services=[
            types.SimpleNamespace(name=name, engine=formationworld.PROFILE)
            for name in ('broken', 'sound')
        ]
    )
    manager = formationmanager.FormationManager(
        env=env,
        raft=types.SimpleNamespace(
            holds_lease=lambda: True,
            has_applied_all_entries=lambda: True,
            state=types.SimpleNamespace(
                content=types.SimpleNamespace(
                    group_ledger=ledger.Ledger(), taken_out=[]
                )
            ),
        ),
        endpoints=directory.Directory(env=env, lost_after_s=3.0),
        observations=evidence.EvidenceStore(env=env),
        slow_ids=frozenset(),
        get_table=lambda: table,
        sender=None,
        stall_s=5.0,
        lost_after_s=3.0,
    )
    run_for(env, manager.run())
    assert len(planned_services) >= 20
    assert env.metrics.count_by_name['bugs_contained'] >= 20


def test_an_attempt_that_can_not_be_placed_anew_does_not_end_the_entry(env):
    """Guards against entries that end as one slow request is looked at."""
    replica = view.Replica(
        endpoint_id='vm-1',
        address='10.0.0.1:80',
        data_centre='north',
        model='',
        slots=13,
    )
    watch = stallwatch.StallWatch(
        env=env,
        fleet=types.SimpleNamespace(is_lost=lambda replica: False),
        load_table=loads.LoadTable(env=env),
        observations=None,
    )
    closed = []

    def fail():
        raise OverflowError('int too large to convert to float')

    async def main():
        for name, reserve in (('broken', fail), ('sound', lambda: True)):
            watch.add(
                stallwatch.Attempt(
                    connection=types.SimpleNamespace(
                        close=lambda name=name: closed.append(name)
                    ),
                    replica=replica,
                    started_at=env.timer.now(),
                    first_event_s=0.0,
                    patience_s=2.0,
                    reserve_retry=reserve,
                    answer_within_s=0.5,
                )
            )
        await watch.run()

    run_for(env, main())
    assert 'sound' in closed
    assert env.metrics.count_by_name['bugs_contained'] > 0


class _Link:
    """A link whose subscription brings the given updates, then waits."""

    def __init__(self, *, payloads, env):
        self.peer_id = 'c1'
        self.peer = types.SimpleNamespace(is_voter=True)
        self.is_connected = True
        self.drops = 0
        self._payloads = iter(payloads)
        self._env = env

    def open_stream(self, request):
        return self

    async def __aenter__(self):
        return types.SimpleNamespace(finished=False, receive=self._receive)

    async def __aexit__(self, *error):
        return None

    async def _receive(self):
        payload = next(self._payloads, None)
        if payload is None:
            await self._env.timer.sleep(1000)
        return messages.Update(payload=payload)

    def drop(self):
        self.drops += 1


def test_an_update_that_can_not_be_applied_does_not_end_the_subscription(
    env, monkeypatch
):
    """Guards against entries that no control node can tell anything more."""
    applied = []

    def apply_update(control_id, update):
        applied.append(update.applied_index)
        if update.applied_index == 1:
            raise ValueError('a bug')

    fleet = view.FleetView(env=env)
    monkeypatch.setattr(fleet, 'apply_update', apply_update)
    link = _Link(
        payloads=[
            updates.encode_update(
                updates.FleetUpdate(
                    complete=True, applied_index=index, table_version=0
                )
            )
            for index in (1, 2)
        ],
        env=env,
    )

    async def main():
        subscriptions = subscriber.Subscriber(env=env, fleet=fleet)
        subscriptions.add(link)
        await env.timer.sleep(PLAYED_S)
        subscriptions.close()

    virtualclock.run(main())
    assert applied == [1, 2]
    assert link.drops == 1
