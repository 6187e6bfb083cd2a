"""A worker spoils a few of its answers: the load that one states has far too
many digits. Do the entries go on?
"""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SPOILED_SHARE = 0.03  # of the answers of three workers of five
SPOILED_S = 5.0
PAUSE_S = 2.0
TIMES = 12
DIGITS = 400
REQUESTS_PER_S = 45


class LoadWorker(standin.Worker):
    """A worker that states its load in each answer."""

    spoils = False

    async def serve(self, target, headers, body, writer):
        self.run_s = random.uniform(0.2, 1.2)
        await super().serve(target, headers, body, writer)

    def seal(self, attempt):
        load = f'{self.running},0,{self.slots}'
        if self.spoils and random.random() < SPOILED_SHARE:
            self.platform.record.add(f'{self.name} spoils its answer')
            load = '8' * DIGITS + f',0,{self.slots}'
        return {**super().seal(attempt), 'Instance-Load': load}


def make_config():
    return standin.make_config(
        1,
        routes=[
            standin.make_route(
                'r-1',
                prefix='/reads/',
                kind='idempotent',
                service='reads',
                timeout_ms=4000,
                **{'target-latency-ms': 400},
            )
        ],
        services=[standin.make_service('reads')],
    )


async def send_requests(platform, record, statuses):
    for number in itertools.count():
        node = platform.edges[number % len(platform.edges)]
        asyncio.create_task(
            send_one(node, f'a{number:06d}', record, statuses)
        )
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def send_one(node, attempt, record, statuses):
    record.add(f'client sends {attempt} to {node.name}')
    answer = await standin.call(
        node.address('front'),
        b'GET',
        b'/reads/1',
        headers=standin.caller_headers(attempt, deadline_ms=4000),
        timeout_s=5.0,
    )
    status = 'nothing' if answer is None else answer.status
    record.add(f'client gets {status} for {attempt} from {node.name}')
    statuses[status] += 1


async def play(record):
    platform = standin.Platform(record=record)
    operator = standin.Operator(platform)
    statuses = collections.Counter()
    try:
        await platform.start()
        if await operator.send('/-/config/put', make_config()) != 200:
            raise standin.CannotRun('the first config was not accepted')
        for number, zone in enumerate([*platform.zones, 'za', 'zb']):
            worker = LoadWorker(
                platform=platform,
                ip=platform.draw_ip(),
                name=f'w-{zone}-{number}',
                service='reads',
                zone=zone,
                slots=16,
            )
            await worker.start()
            platform.workers.append(worker)
        await platform.wait_ready()
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(
            send_requests(platform, record, statuses)
        )
        await asyncio.sleep(3.0)
        for _ in range(TIMES):
            for worker in platform.workers[:3]:
                worker.spoils = TROUBLE
            await asyncio.sleep(SPOILED_S)
            for worker in platform.workers:
                worker.spoils = False
            await asyncio.sleep(PAUSE_S)
        traffic.cancel()
        ends = {n.name: len(n.own_ends) for n in platform.nodes}
        record.add(f'answers to clients by status: {dict(statuses)}')
        record.add(f'processes that ended by themselves: {ends}')
        often = [name for name, count in ends.items() if count >= 3]
        if len(often) >= max(2, len(platform.nodes) / 10):
            return (
                'Fault: processes ended by themselves three times: '
                f'{ends}; answers to clients: {dict(statuses)}'
            )
        return ''
    finally:
        await platform.close()


standin.run_case(play, HERE, trouble=TROUBLE)
