"""The bound on repeats of all entries together, on real nodes."""

import asyncio
import contextlib
import random
import signal

import aiohttp

from apricotthread.fleet import shares
from soak import checks
from soak import record
from tests import platformstandin

WORKERS = 4
BROKEN_SHARE = 0.7
PERIOD_S = 0.04
SETTLE_S = shares.LEASE_S + checks.RETRY_WINDOW_S + 1.0


class BreakingWorker(platformstandin.Worker):
    """Records each request, and breaks off a share of the answers."""

    broken_share = 0.0
    draw = random.Random(1)

    def __init__(self, *, observations, **values):
        super().__init__(**values)
        self._observations = observations

    async def _run(self, headers, writer):
        self._observations.arrivals.append(
            record.Arrival(
                attempt_id=self.get_attempt_id(headers),
                service=self.service,
                worker=self.name,
                at_s=self._observations.now_s(),
            )
        )
        if self.draw.random() < self.broken_share:
            writer.transport.abort()
            return
        await super()._run(headers, writer)


async def send_reads(deployment, observations):
    """Send reads to the entries in turn until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            number += 1
            host = deployment.entries[number % len(deployment.entries)]
            observations.note_sent(record.CallKind.READ)
            tasks.create_task(send_read(deployment, host, f'read-{number}'))
            await asyncio.sleep(PERIOD_S)


async def send_read(deployment, host, attempt_id):
    """Send a read; it fails while its entry is down."""
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with asyncio.timeout(3.0):
            await deployment.send_request(
                host, '/reads/1', Attempt_Id=attempt_id
            )


async def restart(deployment, hosts):
    """Kill nodes at once, and start them again."""
    for host in hosts:
        await deployment.stop_node(host, signal_number=signal.SIGKILL)
    for host in hosts:
        await deployment.start_node(host, first=False)


async def pause(deployment, host, seconds):
    """Have a node stand still."""
    process = deployment.process_by_host[host]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def test_entries_killed_paused_and_without_control_keep_the_retry_bound(
    children, tmp_path
):
    deployment = platformstandin.Deployment(
        children=children, folder=tmp_path, entries=3
    )
    observations = record.Observations()

    async def main():
        await deployment.start()
        await deployment.call_control(
            platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
        )
        for number in range(WORKERS):
            worker = BreakingWorker(
                observations=observations,
                controls=deployment.controls,
                name=f'bid-{number}',
                service='bids',
            )
            await worker.start()
            deployment.workers.append(worker)
        sending = asyncio.create_task(send_reads(deployment, observations))
        await asyncio.sleep(SETTLE_S)
        BreakingWorker.broken_share = BROKEN_SHARE
        await asyncio.sleep(2.0)
        await restart(deployment, deployment.entries)
        await asyncio.sleep(3.0)
        pausing = asyncio.create_task(
            pause(deployment, deployment.control_hosts[0], 4.0)
        )
        await restart(deployment, deployment.entries)
        await asyncio.sleep(3.0)
        await restart(deployment, deployment.control_hosts[1:])
        await pause(deployment, deployment.entries[0], 4.0)
        await pausing
        await restart(deployment, deployment.entries[1:])
        await asyncio.sleep(3.0)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        await deployment.close()

    asyncio.run(main())
    arrived_ids = {arrival.attempt_id for arrival in observations.arrivals}
    assert len(observations.arrivals) - len(arrived_ids) > checks.RETRY_SLACK
    assert checks.check_repeats(observations) == []
