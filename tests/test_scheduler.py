"""The scheduler under overload: whom it serves, and whom it evicts."""

import asyncio
import collections
import types

import pytest

from apricotthread.base import errors
from apricotthread.control import tables
from apricotthread.endpoints import announcements
from apricotthread.endpoints import registry
from apricotthread.fakes import virtualclock
from apricotthread.routing import calls
from apricotthread.routing import scheduler

WEIGHT_BY_ACCOUNT = {'a': 1.0, 'b': 2.0, 'c': 5.0}
SERVED = 800


class OneEndpointView:
    """A view of a system with one endpoint, which takes one request."""

    is_cut_off = False
    own = types.SimpleNamespace(node_id='n', data_centre='north')
    members = types.SimpleNamespace(fresh_heartbeats=dict, node_by_id={})

    def __init__(self):
        account_by_name = {
            name: tables.AccountRow(
                name=name, weight=weight, limit=1000, key_sha256='0' * 64
            )
            for name, weight in WEIGHT_BY_ACCOUNT.items()
        }
        self.agreed_state = types.SimpleNamespace(
            table=types.SimpleNamespace(
                account_by_name=lambda: account_by_name
            )
        )
        self._endpoint = registry.Endpoint(
            announcement=announcements.Announcement(
                endpoint_id='e',
                incarnation=1,
                sequence=2,
                data_centre='north',
                url='http://e',
                kind='plain',
                service='s',
            ),
            now=0.0,
            usable_at=0.0,
            get_now=lambda: 0.0,
        )

    def own_endpoints(self, _service):
        """Return the endpoint."""
        return [self._endpoint]

    def find_endpoint(self, _endpoint_id):
        """Return the endpoint."""
        return self._endpoint


def make_call(account):
    """Return a request of an account."""
    return calls.ModelCall(
        request_id='r',
        account=account,
        service='s',
        kind='k',
        cost=1.0,
        deadline=100.0,
        prompt='p',
        max_tokens=1,
    )


@pytest.mark.parametrize(
    'sent_by_account',
    [
        {'a': 1, 'b': 1, 'c': 1},
        {'a': 8, 'b': 1, 'c': 1},
        {'a': 1, 'b': 1, 'c': 8},
        {'a': 1, 'b': 2, 'c': 5},
    ],
)
def test_evictions_from_a_full_queue_keep_the_shares_of_the_table(
    env, sent_by_account
):
    """Each account sends more than its share; one request ends at a time."""

    async def main():
        schedule = scheduler.Scheduler(
            env=env,
            system=OneEndpointView(),
            queue_length=60,
            queue_wait_s=50.0,
        )
        slots = collections.deque()
        evicted = collections.Counter()
        served = collections.Counter()

        async def send(account):
            try:
                slot = await schedule.acquire(make_call(account))
            except errors.ApricotError:
                evicted[account] += 1
            else:
                slots.append((account, slot))

        tasks = []
        for _ in range(SERVED):
            tasks.extend(
                asyncio.create_task(send(account))
                for account, sent in sent_by_account.items()
                for _ in range(sent)
            )
            while not slots:
                await asyncio.sleep(0)
            account, slot = slots.popleft()
            served[account] += 1
            schedule.release(slot)
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert all(evicted[account] for account in sent_by_account)
        total_weight = sum(WEIGHT_BY_ACCOUNT.values())
        for account, weight in WEIGHT_BY_ACCOUNT.items():
            share = served[account] / SERVED * total_weight / weight
            assert share == pytest.approx(1.0, abs=0.01), (account, share)

    virtualclock.run(main())
