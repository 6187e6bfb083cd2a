"""CONFIG: a route is served no more, as its workers start at other addresses.

One at a time, the workers of a service crash and start again under their ids
at other addresses. Their old ones are given to new workers of another service.
"""

import asyncio
import json
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin2 as standin  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
ADDR_REUSE_S = 2.0
DARK_S = 2.5
GAP_S = 3.0
DESKS, SHOPS = 6, 7
REQUESTS = 30


class PlacedWorker(standin.Worker):
    """A worker that can be started at a certain address."""

    async def start_at(self, host, port):
        """Listen there, and check in from now on."""
        self._server = await asyncio.start_server(self._accept, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.record.add(
            f'worker {self.name} of {self.service} starts at {self.address}, '
            f'born {self.born}')
        self._spawn(self._check_in())


def make_config(version, *, is_grown):
    """Return a config, to which a second route was added if it is grown."""
    routes = [standin.make_route('r-1', '/reads/', 'idempotent', 'desk')]
    if is_grown:
        routes.append(
            standin.make_route('r-2', '/bids/', 'non_idempotent', 'shop',
                               max_attempts=1))
    return standin.make_config(version, routes, ['desk', 'shop'])


async def ask(platform, record, number, path):
    """Send one request; return its status, 0 without an answer."""
    edge = platform.edges[number % len(platform.edges)]
    attempt = f'{random.getrandbits(64):016x}'
    answer = await standin.call(
        f'{edge.address}:{platform.front}', 'POST', path, body=b'hi',
        headers={'Host': standin.HOST, 'Attempt-Id': attempt,
                 'Deadline-Ms': '1500', 'X-Api-Key': standin.KEY},
        within_s=2.0)
    status = 0 if answer is None else answer[0]
    record.add(f'client sends {attempt} to {edge.name}: {path}: {status}')
    return status


async def ask_both(platform, record, count):
    """Return how many requests of each route got 200."""
    first = added = 0
    for number in range(count):
        first += await ask(platform, record, number, '/reads/2f') == 200
        added += await ask(platform, record, number, '/bids/2f') == 200
        await asyncio.sleep(0.2)
    record.add(f'{first} of {count} served on the first route, {added} of '
               f'{count} on the added one')
    return first, added


async def case(platform, record):
    """Play the case."""
    platform.start()
    operator = standin.Operator(platform, record)
    if await operator.put(make_config(5, is_grown=False)) != 200:
        return standin.COULD_NOT_RUN

    def make_worker(number, service, name=None):
        return PlacedWorker(
            platform, record, name=name or f'i-{number:08x}', service=service,
            zone=standin.ZONES[number % 3], number=number, slots=6)

    desks = [make_worker(number, 'desk') for number in range(DESKS)]
    shops = [make_worker(DESKS + number, 'shop') for number in range(SHOPS)]
    for worker in (*desks, *shops):
        await worker.start_at(worker.host, 0)
    await platform.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    if await operator.put(make_config(8, is_grown=True)) != 200:
        return standin.COULD_NOT_RUN
    record.add('version 8, with a second route, is acknowledged')
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    if await ask_both(platform, record, 5) != (5, 5):
        return standin.COULD_NOT_RUN

    async def move(index):
        """Have one worker crash, and a new one start at its address."""
        old = shops[index]
        host, _, port = old.address.rpartition(':')
        if standin.TROUBLE:
            old.crash()
        await asyncio.sleep(DARK_S)
        if standin.TROUBLE:
            again = make_worker(DESKS + SHOPS + index, 'shop', name=old.name)
            await again.start_at(again.host, 0)
            shops[index] = again
        await asyncio.sleep(ADDR_REUSE_S)
        new = make_worker(DESKS + 2 * SHOPS + index, 'desk')
        if not standin.TROUBLE:
            host, port = new.host, 0
        await new.start_at(host, int(port))
        desks.append(new)

    moves = []
    for index in range(SHOPS):
        moves.append(asyncio.create_task(move(index)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*moves)
    await asyncio.sleep(2 * CONTACT_S)
    first, added = await ask_both(platform, record, REQUESTS)
    for worker in shops:
        address = random.choice(platform.control_addresses())
        answer = await standin.call(
            address, 'POST', f'/-/instances/{worker.name}/heartbeat',
            body=json.dumps(worker.describe()).encode(),
            headers={'Content-Type': 'application/json'})
        status = 0 if answer is None else answer[0]
        record.add(f'worker {worker.name} at {worker.address} checks in at '
                   f'{address}: {status}')
        if status != 200:
            return standin.COULD_NOT_RUN
    if first < 0.9 * REQUESTS:
        return standin.COULD_NOT_RUN
    return standin.BROKEN if added < first / 4 else standin.HELD


standin.run_case(FOLDER, case)
