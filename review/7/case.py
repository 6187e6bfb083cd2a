"""CONFIG: requests on a route that was added get 404, as its host has capitals."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin2 as standin  # noqa: E402

NEW_HOST = 'Rota.Example'
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


def make_config(version, *, is_grown):
    """Return a config, to which a second host was added if it is grown."""
    routes = [standin.make_route('r-1', '/reads/', 'idempotent', 'shop')]
    if is_grown:
        route = standin.make_route('r-2', '/bids/', 'non_idempotent', 'shop',
                                   max_attempts=1)
        routes.append(route | {'host': NEW_HOST})
    return standin.make_config(version, routes, ['shop'])


async def ask(platform, record, number, host, path):
    """Send one request; return its status, 0 without an answer."""
    edge = platform.edges[number % len(platform.edges)]
    attempt = f'{random.getrandbits(64):016x}'
    answer = await standin.call(
        f'{edge.address}:{platform.front}', 'POST', path, body=b'hi',
        headers={'Host': host, 'Attempt-Id': attempt, 'Deadline-Ms': '1500',
                 'X-Api-Key': standin.KEY}, within_s=2.0)
    status = 0 if answer is None else answer[0]
    record.add(f'client sends {attempt} to {edge.name}: {host}{path}: '
               f'{status}')
    return status


async def case(platform, record):
    """Play the case."""
    platform.start()
    operator = standin.Operator(platform, record)
    if await operator.put(make_config(5, is_grown=False)) != 200:
        return standin.COULD_NOT_RUN
    workers = [
        standin.Worker(platform, record, name=f'i-{number:08x}',
                       service='shop', zone=standin.ZONES[number], number=number,
                       slots=6)
        for number in range(3)
    ]
    for worker in workers:
        await worker.start()
    await platform.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    if standin.TROUBLE:
        status = await operator.put(make_config(8, is_grown=True))
        record.add(f'operator sends version 8 with a route at {NEW_HOST}: '
                   f'{status}')
        if status != 200:
            return standin.COULD_NOT_RUN
        acked_at = time.monotonic()
        await asyncio.sleep(2 * CONFIG_APPLY_S)
    old, new = [], []
    for number in range(20):
        old.append(
            await ask(platform, record, number, standin.HOST, '/reads/2f'))
        if standin.TROUBLE:
            new.append(
                await ask(platform, record, number, NEW_HOST, '/bids/2f'))
            after_s = time.monotonic() - acked_at
            record.add(f'that is {after_s:.1f} s after the ack')
    if old.count(200) < 18:
        return standin.COULD_NOT_RUN
    return standin.BROKEN if new.count(404) else standin.HELD


standin.run_case(FOLDER, case)
