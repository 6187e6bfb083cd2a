"""An evacuation is withdrawn and asked for again while a control node that
has the withdrawal in its buffers is frozen; the node wakes up.

Without the disruption the same orders go to the same nodes.
"""

import asyncio
import itertools
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONE = 'zb'
FROZEN_S = 6.0
WATCHED_S = 16.0
REQUESTS_PER_S = 10


def make_config():
    return standin.make_config(
        1,
        routes=[
            standin.make_route(
                'r-1', prefix='/reads/', kind='idempotent', service='reads'
            )
        ],
        services=[standin.make_service('reads')],
    )


async def send_requests(platform, record):
    """Send requests to all entries in turn, each on a new channel."""
    for number in itertools.count():
        node = platform.edges[number % len(platform.edges)]
        asyncio.create_task(send_one(node, f'a{number:06d}', record))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def send_one(node, attempt, record):
    record.add(f'client sends {attempt} to {node.name}')
    answer = await standin.call(
        node.address('front'),
        b'GET',
        b'/reads/1',
        headers=standin.caller_headers(attempt, deadline_ms=1000),
        timeout_s=2.0,
    )
    status = 'nothing' if answer is None else answer.status
    record.add(f'client gets {status} for {attempt}')


async def play(record):
    platform = standin.Platform(record=record)
    operator = standin.Operator(platform)
    start_path = f'/-/evacuations/{ZONE}/start'
    end_path = f'/-/evacuations/{ZONE}/end'
    try:
        await platform.start()
        if await operator.send('/-/config/put', make_config()) != 200:
            raise standin.CannotRun('the first config was not accepted')
        for zone in platform.zones:
            await platform.add_worker(name=f'w-{zone}', service='reads', zone=zone)
        evacuated = platform.workers[platform.zones.index(ZONE)]
        await platform.wait_ready()
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(send_requests(platform, record))
        await asyncio.sleep(3.0)
        if not evacuated.arrivals:
            raise standin.CannotRun('the zone got no request at first')
        leader = await platform.find_leader()
        others = [node for node in platform.cores if node is not leader]
        frozen, sound = others[0], others[1]
        record.add(f'{leader.name} leads, {frozen.name} is to be frozen')

        if await operator.send(start_path, first=sound) != 200:
            raise standin.CannotRun('the first start was not acknowledged')
        await asyncio.sleep(6.0)
        frozen_at = time.monotonic()
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        if await operator.send(end_path, first=frozen) != 200:
            raise standin.CannotRun('the end was not acknowledged')
        await asyncio.sleep(2.0)
        if await operator.send(start_path, first=sound) != 200:
            raise standin.CannotRun('the second start was not acknowledged')
        acknowledged_at = time.monotonic()
        await asyncio.sleep(
            max(0.0, frozen_at + FROZEN_S - time.monotonic())
        )
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
        woken_at = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        traffic.cancel()

        due_at = max(
            acknowledged_at
            + standin.BOUNDS['evacuate-ms'] / 1000
            + standin.BOUNDS['outer-ms'] / 1000,
            woken_at + standin.BOUNDS['contact-ms'] / 1000,
        )
        late = [a for at, a in evacuated.arrivals if at > due_at]
        record.add(
            f'{len(late)} requests reached the worker of the evacuated zone '
            'later than evacuate-ms and outer-ms after the ack and contact-ms '
            f'after the end of the freeze: {late[:10]}'
        )
        if any(node.own_ends for node in platform.nodes):
            raise standin.CannotRun('a process ended by itself')
        if late:
            return f'EVAC: {len(late)} requests reached the evacuated zone'
        return ''
    finally:
        await platform.close()


standin.run_case(play, HERE, trouble=TROUBLE)
