"""The limits that workers name, over all entries, on real nodes."""

import asyncio
import bisect
import collections
import contextlib
import signal

import aiohttp

from tests import limitworld
from tests import platformstandin

LIMIT_PER_S = 3.0
READERS_PERIOD_S = 0.03
STREAMS_PERIOD_S = 0.1
BUDGET_S = 3.0


class LimitedWorker(platformstandin.Worker):
    """Names a limit, and records what it gets from entries that know it.

    The id of an attempt begins with the entry that it was sent to.
    """

    def __init__(self, *, told, **values):
        super().__init__(**values)
        self._told = told
        self.limit_per_s = LIMIT_PER_S
        self.named_at = None
        self.arrivals = []

    async def _run(self, headers, writer):
        now = asyncio.get_running_loop().time()
        host = headers['attempt-id'].partition('/')[0]
        told_at = self._told.get((self.name, host), now)
        if now - told_at >= limitworld.KNOWN_S:
            self.arrivals.append(now)
        await super()._run(headers, writer)

    def _note_named(self, attempt):
        now = asyncio.get_running_loop().time()
        host = attempt.partition('/')[0]
        self.named_at = self.named_at or now
        self._told.setdefault((self.name, host), now)

    def worst_window(self):
        """Return the most requests in a window of the bound."""
        times = [
            at
            for at in self.arrivals
            if at >= self.named_at + limitworld.CONTACT_S
        ]
        return max(
            (
                bisect.bisect_left(times, start + limitworld.BOUND_WINDOW_S)
                - first
                for first, start in enumerate(times)
            ),
            default=0,
        )


class LimitedDeployment(platformstandin.Deployment):
    """A deployment whose workers name limits, and whose callers press."""

    def __init__(self, **values):
        super().__init__(**values)
        self.told = {}
        self.statuses = collections.Counter()
        self.refused_after_s = []
        self._number = 0

    async def start_limited(self):
        """Start the nodes, two plain workers, and a group of three."""
        await self.start()
        await self.call_control(
            platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
        )
        for service, count in (('bids', 2), ('models', 3)):
            for number in range(count):
                worker = LimitedWorker(
                    told=self.told,
                    controls=self.controls,
                    name=f'{service}-{number}',
                    service=service,
                    domain='rack',
                )
                await worker.start()
                self.workers.append(worker)

    async def press(self, path, period_s, **headers):
        """Send requests to the entries in turn until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                self._number += 1
                host = self.entries[self._number % len(self.entries)]
                tasks.create_task(
                    self._send(host, path, f'{host}/{self._number}', headers)
                )
                await asyncio.sleep(period_s)

    async def _send(self, host, path, attempt_id, headers):
        loop = asyncio.get_running_loop()
        start = loop.time()
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(BUDGET_S):
                status, answer_headers, _ = await self.send_request(
                    host, path, Attempt_Id=attempt_id, **headers
                )
            self.statuses[path, status] += 1
            if status == platformstandin.NOT_RUN:
                assert float(answer_headers['Retry-After']) > 0
                self.refused_after_s.append(loop.time() - start)

    async def restart_entries(self, *hosts):
        """Kill entries, which forget, and start them again."""
        for host in hosts:
            await self.stop_node(host, signal_number=signal.SIGKILL)
            self.forget(host)
        for host in hosts:
            await self.start_node(host, first=False)

    def forget(self, host):
        """Note that an entry knows of no limit any more."""
        for pair in [pair for pair in self.told if pair[1] == host]:
            del self.told[pair]

    async def pause(self, host, seconds):
        """Have a node stand still."""
        process = self.process_by_host[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)


def play(children, folder, *, during):
    """Press on limited workers while something is done; return them."""
    deployment = LimitedDeployment(children=children, folder=folder, entries=3)

    async def main():
        await deployment.start_limited()
        pressing = [
            asyncio.create_task(
                deployment.press('/reads/1', READERS_PERIOD_S)
            ),
            asyncio.create_task(
                deployment.press(
                    '/lots/1',
                    STREAMS_PERIOD_S,
                    Model='m0',
                    Token_Usage='10,80',
                )
            ),
        ]
        try:
            await during(deployment)
        finally:
            for task in pressing:
                task.cancel()
            await asyncio.gather(*pressing, return_exceptions=True)
            await deployment.close()

    asyncio.run(main())
    return deployment


def allowed(limit_per_s):
    """Return how many requests may come within a window of the bound."""
    return (
        limitworld.BOUND_FACTOR * limit_per_s * limitworld.BOUND_WINDOW_S
        + limitworld.BOUND_SLACK
    )


def check_limits(deployment):
    """Check what the workers got; return those that got something."""
    used = [w for w in deployment.workers if w.arrivals]
    for worker in used:
        assert worker.worst_window() <= allowed(LIMIT_PER_S), worker.name
    return used


def test_real_entries_together_keep_to_limits_and_use_them(children, tmp_path):
    async def during(deployment):
        await asyncio.sleep(14.0)

    deployment = play(children, tmp_path, during=during)
    used = check_limits(deployment)
    assert {worker.service for worker in used} == {'bids', 'models'}
    for worker in used:
        times = [t for t in worker.arrivals if t >= worker.named_at + 2.0]
        per_s = len(times) / (times[-1] - times[0])
        assert 0.7 * LIMIT_PER_S < per_s < 1.2 * LIMIT_PER_S, worker.name
    assert deployment.statuses['/reads/1', 503] > 50
    # Most are refused at once: the others wait for a permit that is due.
    assert (
        sorted(deployment.refused_after_s)[
            len(deployment.refused_after_s) // 2
        ]
        < 0.1
    )


def test_real_entries_killed_paused_and_without_control_keep_to_limits(
    children, tmp_path
):
    async def during(deployment):
        await asyncio.sleep(6.0)
        await deployment.restart_entries(*deployment.entries)
        await asyncio.sleep(2.0)
        await deployment.pause(deployment.entries[0], 2.0)
        await deployment.pause(deployment.control_hosts[0], 3.0)
        for host in deployment.control_hosts[1:]:
            await deployment.stop_node(host, signal_number=signal.SIGKILL)
            await deployment.start_node(host, first=False)
        await asyncio.sleep(4.0)
        await deployment.restart_entries(deployment.entries[1])
        await asyncio.sleep(3.0)

    deployment = play(children, tmp_path, during=during)
    assert len(check_limits(deployment)) >= 2


def test_a_limit_that_ends_is_forgotten_by_all_real_entries(
    children, tmp_path
):
    counts = {}

    async def during(deployment):
        await asyncio.sleep(6.0)
        for worker in deployment.workers:
            worker.limit_per_s = None
        await asyncio.sleep(2.0)
        deployment.statuses.clear()
        await asyncio.sleep(3.0)
        counts.update(deployment.statuses)

    play(children, tmp_path, during=during)
    assert counts.get(('/reads/1', 503), 0) == 0
    assert counts['/reads/1', 200] > 50
