"""Workers that leave, are busy or refuse, before real nodes.

Their heartbeats say that all is well.
"""

import asyncio
import collections
import contextlib
import signal

import aiohttp
import pytest

from tests import platformstandin
from tests import standingworld

ENTRIES = 6
WORKERS = 6
PERIOD_S = 1 / 60
BUDGET_S = 2.0
STREAM_EVERY = 6  # of the requests
WARM_UP_S = 14.0  # until entries have their share of the retry budget
PLAYED_S = 9.0
RETRIES = 'retry_ratio = 0.2\nretry_slack = 132'  # as the users have it


class TellingWorker(platformstandin.Worker):
    """Records what comes from entries that it has told something.

    The id of an attempt names the entry that it was sent to, and when.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.gap_s = 0.03
        self.late = []
        self.busy_times_by_entry = collections.defaultdict(list)
        self._told_at_by_entry = {}

    async def _run(self, headers, writer):
        now = asyncio.get_running_loop().time()
        entry, _, sent_at = headers['attempt-id'].split('/')[:3]
        told_at = self._told_at_by_entry.get(entry)
        if told_at is not None and (
            float(sent_at) > told_at + standingworld.DRAIN_S
        ):
            self.late.append(headers['attempt-id'])
        for busy_time in self.busy_times_by_entry[entry]:
            if busy_time[0] <= now < busy_time[1]:
                busy_time[2] += 1
        if self.refuses and self.busy_s is not None:
            self.busy_times_by_entry[entry].append(
                [now + standingworld.KNOWN_S, now + self.busy_s, 0]
            )
        await super()._run(headers, writer)

    def _tell_leaving(self, attempt):
        told = super()._tell_leaving(attempt)
        if told:
            self._told_at_by_entry.setdefault(
                attempt.partition('/')[0], asyncio.get_running_loop().time()
            )
        return told

    def forget(self, entry):
        """Note that an entry was restarted."""
        self._told_at_by_entry.pop(entry, None)
        self.busy_times_by_entry.pop(entry, None)

    @property
    def told_entries(self):
        """The entries that it has told that it leaves."""
        return set(self._told_at_by_entry)


class Play:
    """A deployment whose callers press while workers say something."""

    def __init__(self, *, children, folder):
        self.deployment = platformstandin.Deployment(
            children=children,
            folder=folder,
            entries=ENTRIES,
            fleet=RETRIES,
        )
        self.statuses = collections.Counter()
        self.refused_after_s = []
        self._number = 0

    @property
    def workers(self):
        """The workers of the plain service."""
        return [w for w in self.deployment.workers if w.service == 'bids']

    async def start(self):
        """Start all nodes, plain workers, and VMs for groups of one."""
        deployment = self.deployment
        await deployment.start()
        await deployment.call_control(
            platformstandin.PUT_TABLE_PATH,
            platformstandin.make_config(1, group_size=1),
        )
        for service in ('bids', 'models'):
            for number in range(WORKERS):
                worker = TellingWorker(
                    controls=deployment.controls,
                    name=f'{service}-{number}',
                    service=service,
                    domain='rack',
                )
                await worker.start()
                deployment.workers.append(worker)

    async def press(self):
        """Send calls and streams to the entries in turn until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                self._number += 1
                tasks.create_task(self._send(self._number))
                await asyncio.sleep(PERIOD_S)

    async def _send(self, number):
        loop = asyncio.get_running_loop()
        start = loop.time()
        host = self.deployment.entries[number % ENTRIES]
        attempt = f'{host}/{number}/{start}'
        is_stream = number % STREAM_EVERY == 0
        status = 0
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(BUDGET_S + 1.0):
                if is_stream:
                    status, headers, _ = await self.deployment.request_stream(
                        host, attempt
                    )
                else:
                    status, headers, _ = await self.deployment.send_request(
                        host, '/reads/1', Attempt_Id=attempt
                    )
        self.statuses['stream' if is_stream else 'read', status] += 1
        if status == platformstandin.NOT_RUN:
            assert float(headers['Retry-After']) > 0
            self.refused_after_s.append(loop.time() - start)

    def served_share(self, kind='read'):
        """Return the share of the requests that were served."""
        counts = {s: n for (k, s), n in self.statuses.items() if k == kind}
        return counts.get(200, 0) / sum(counts.values())


@pytest.fixture
def play(children, tmp_path):
    """Return a function that plays something on warm nodes."""

    def run(during, *, seconds=PLAYED_S):
        played = Play(children=children, folder=tmp_path)

        async def main():
            try:
                await played.start()
                pressing = asyncio.create_task(played.press())
                await asyncio.sleep(WARM_UP_S)
                played.statuses.clear()
                played.refused_after_s.clear()
                await during(played)
                await asyncio.sleep(seconds)
                pressing.cancel()
                await asyncio.gather(pressing, return_exceptions=True)
            finally:
                await played.deployment.close()

        asyncio.run(main())
        return played

    return run


@pytest.mark.parametrize('without_control', [False, True])
def test_real_entries_send_nothing_more_to_workers_that_leave(
    play, without_control
):
    """Guards against requests to workers that exit under them."""

    async def leave(played):
        if without_control:
            for host in played.deployment.control_hosts:
                await played.deployment.stop_node(
                    host, signal_number=signal.SIGKILL
                )
        for worker in played.workers[:2]:
            worker.is_leaving = True

    played = play(leave)
    leaving = played.workers[:2]
    assert any(worker.told_entries for worker in leaving)
    assert [worker.late for worker in leaving] == [[], []]
    assert played.served_share() >= 0.99


def test_real_entries_make_groups_anew_whose_heads_say_that_they_leave(play):
    async def leave(played):
        heads = [w for w in played.deployment.workers if w.place is not None]
        for worker in heads[:2]:
            worker.is_leaving = True
        played.leaving = heads[:2]

    played = play(leave)
    assert any(worker.told_entries for worker in played.leaving)
    assert [worker.late for worker in played.leaving] == [[], []]
    assert played.served_share('stream') >= 0.99


@pytest.mark.parametrize('busy_s', [None, 3])
def test_workers_that_refuse_at_once_cost_callers_of_real_entries_nothing(
    play, busy_s
):
    """Guards against a worker that draws the requests that it refuses."""

    async def refuse(played):
        for worker in played.workers[:2]:
            worker.refuses = True
            worker.busy_s = busy_s

    played = play(refuse)
    assert played.served_share() >= 0.99
    if busy_s is not None:
        counts = [
            busy_time[2]
            for worker in played.workers
            for busy_times in worker.busy_times_by_entry.values()
            for busy_time in busy_times
        ]
        assert counts
        assert max(counts) <= standingworld.MAX_IN_BUSY_TIME


def test_real_entries_refuse_at_once_while_all_workers_are_busy(play):
    """Guards against requests that wait until their deadline."""

    async def refuse(played):
        for worker in played.workers:
            worker.refuses = True
            worker.busy_s = 2
        await asyncio.sleep(3.0)
        for worker in played.workers:
            worker.refuses = False
        # The busy times and the spread after them, and a second for each.
        await asyncio.sleep(2.0 + 1.0)
        played.refusals = played.statuses['read', 503]
        played.others = {
            status
            for kind, status in played.statuses
            if kind == 'read' and status not in (200, 503)
        }
        played.slowest_s = sorted(played.refused_after_s)[
            int(0.95 * len(played.refused_after_s))
        ]
        played.statuses.clear()

    played = play(refuse, seconds=3.0)
    assert played.refusals > 50
    assert played.others == set()
    assert played.slowest_s < 0.1 + 0.1  # the wait allowed, and the network
    assert played.served_share() >= 0.99
