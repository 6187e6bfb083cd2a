"""ORDER: pieces come twice after a worker crashed in the middle of streams."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin2 as standin  # noqa: E402

PIECES = 40
STREAMS = 28
WORKERS = 7
FIELD_ORDER = 'data first, then id'


def make_events():
    """Yield the events of an answer: the data of each stands before its id."""
    for number in range(1, PIECES + 1):
        text = f'data: buyer {number % 5} raised the bid: {1000 + number}\n'
        yield number, f'{text}id: {number}\n\n'.encode()


def read_ids(body):
    """Return the ids of the whole events in a body."""
    ids = []
    for event in body.split(b'\n\n')[:-1]:
        for line in event.split(b'\n'):
            if line.startswith(b'id:'):
                ids.append(int(line[3:]))
    return ids


async def ask(platform, record, number):
    """Ask for one stream; return whether the rule was broken in it."""
    edge = platform.edges[number % len(platform.edges)]
    attempt = f'{random.getrandbits(64):016x}'
    record.add(f'client sends {attempt} to {edge.name}')
    reader, writer = await asyncio.open_connection(
        edge.address, platform.front)
    received = []
    try:
        writer.write(
            (f'POST /answers/1f HTTP/1.1\r\nHost: {standin.HOST}\r\n'
             f'Attempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\n'
             f'X-Api-Key: {standin.KEY}\r\nContent-Length: 2\r\n\r\nhi'
             ).encode())
        async with asyncio.timeout(10.0):
            first, headers = await standin.read_head(reader)
            status = int(first.split()[1])
            try:
                await standin.read_body(reader, headers, received.append)
                whole = True
            except standin.Broken:
                whole = False
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.add(f'client gets no answer to {attempt}: {error!r}')
        return False, 0
    finally:
        writer.close()
    ids = read_ids(b''.join(received))
    record.add(
        f'client gets {status} for {attempt}, '
        f'{"whole" if whole else "broken off"}, events {ids}')
    if status != 200:
        return False, 0
    twice = len(set(ids)) < len(ids)
    missing = ids != list(range(1, len(ids) + 1)) and not twice
    short = whole and ids[-1:] != [PIECES]
    if twice or missing or short:
        record.add(
            f'ORDER broken in {attempt}: '
            f'{"pieces twice" if twice else "pieces missing"}')
        return True, 1
    return False, int(whole)


async def case(platform, record):
    """Play the case."""
    platform.start()
    operator = standin.Operator(platform, record)
    route = standin.make_route(
        'r-1', '/answers/', 'streaming', 'texts', resumable=True,
        target_gap_ms=250)
    if await operator.put(standin.make_config(5, [route], ['texts'])) != 200:
        return standin.COULD_NOT_RUN
    workers = [
        standin.Worker(
            platform, record, name=f'i-{number:08x}', service='texts',
            zone=standin.ZONES[number % 3], number=number, slots=13,
            make_events=make_events)
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    await platform.wait_ready()
    await asyncio.sleep(4.0)
    asked = [
        asyncio.create_task(ask(platform, record, number))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    if standin.TROUBLE:
        max(workers, key=lambda worker: worker.running).crash()
    results = await asyncio.gather(*asked)
    if any(is_broken for is_broken, _ in results):
        return standin.BROKEN
    if sum(whole for _, whole in results) < STREAMS // 2:
        record.add('too few streams came whole')
        return standin.COULD_NOT_RUN
    return standin.HELD


standin.run_case(FOLDER, case)
