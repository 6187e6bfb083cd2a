"""Clients outside the limits, before real nodes.

The nodes have the memory and the descriptors of the users' machines, or
fewer. What is checked does not depend on the speed of this one: the process
lives, holds no more than its machine has, and answers an ordinary request
while the crowd stays.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import re

import aiohttp
import pytest

from apricotthread.base import units
from apricotthread.fakes import localsystem
from tests import clientcrowds
from tests import platformstandin

# What the users' machines have for a process (their sheets, in MB).
MACHINE_BYTES = 300_000_000
# Fewer than the users' machines allow, so that a small crowd takes them all.
MAX_DESCRIPTORS = 256
ORDINARY_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 4 * units.MIB  # as the stand-in's configuration says
CROWDS_OF_A_SEED = 8
KEY = 'X-Api-Key: k1'
CHUNKED = 'Transfer-Encoding: chunked'
NO_ROUTE = clientcrowds.make_request('/nowhere')
# Fills what both sockets of a connection hold of unread answers.
MANY_BYTES = 1 * units.MIB

CROWDS = {
    'requests sent ahead at a path without a route': clientcrowds.Crowd(
        clients=24,
        make_parts=lambda: clientcrowds.repeat(NO_ROUTE * 100, MANY_BYTES),
    ),
    'requests sent ahead without a key': clientcrowds.Crowd(
        clients=24,
        make_parts=lambda: clientcrowds.repeat(
            clientcrowds.make_request('/reads/1') * 100, MANY_BYTES
        ),
    ),
    'requests sent ahead at a route': clientcrowds.Crowd(
        clients=24,
        make_parts=lambda: clientcrowds.repeat(
            clientcrowds.make_request(
                '/reads/1', KEY, 'Attempt-Id: ahead', 'Deadline-Ms: 900'
            )
            * 100,
            MANY_BYTES,
        ),
    ),
    'requests with bodies sent ahead': clientcrowds.Crowd(
        clients=24,
        make_parts=lambda: clientcrowds.repeat(
            (
                clientcrowds.make_request(
                    '/nowhere', 'Content-Length: 1', method='POST'
                )
                + b'x'
            )
            * 100,
            MANY_BYTES,
        ),
    ),
    'large chunks that stop short of their end': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request('/reads/1', KEY, CHUNKED, method='POST'),
            65536,
            MAX_BODY_BYTES,
        ),
    ),
    'small chunks that stop short of their end': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request('/reads/1', KEY, CHUNKED, method='POST'),
            256,
            MAX_BODY_BYTES,
        ),
    ),
    'chunks at a path without a route': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request('/nowhere', CHUNKED, method='POST'),
            65536,
            MAX_BODY_BYTES,
        ),
    ),
    'bodies announced far over the limit': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: [
            clientcrowds.make_request(
                '/reads/1',
                KEY,
                f'Content-Length: {1024 * units.MIB}',
                method='POST',
            ),
            *clientcrowds.repeat(b'x' * 65536, MAX_BODY_BYTES),
        ],
    ),
    'bodies just sent far over the limit': clientcrowds.Crowd(
        clients=120,
        reads=True,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request('/reads/1', KEY, CHUNKED, method='POST'),
            65536,
            8 * MAX_BODY_BYTES,
        ),
    ),
    'heads of many short headers that stay open': clientcrowds.Crowd(
        clients=900,
        make_parts=lambda: [
            b'GET /nowhere HTTP/1.1\r\n',
            b'a:\r\n' * 5600,  # 22 KiB of the head's 24
        ],
    ),
    'changes that stop short of their end': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request('/changes', CHUNKED, method='POST'),
            65536,
            MAX_BODY_BYTES,
        ),
    ),
    'whole bodies that wait for a slow worker': clientcrowds.Crowd(
        clients=120,
        make_parts=lambda: [
            clientcrowds.make_request(
                '/lots/1',
                KEY,
                'Attempt-Id: waiting',
                'Model: m0',
                'Token-Usage: 10,80',
                'Deadline-Ms: 60000',
                f'Content-Length: {MAX_BODY_BYTES}',
                method='POST',
            ),
            *clientcrowds.repeat(b'x' * 65536, MAX_BODY_BYTES),
        ],
    ),
}
# Each client holds a descriptor; the last ones find none.
CROWDS_WITHOUT_DESCRIPTORS = {
    'idle connections': clientcrowds.Crowd(clients=600, make_parts=list),
    'heads that stay open': clientcrowds.Crowd(
        clients=600, make_parts=lambda: [NO_ROUTE[:9]]
    ),
    'bodies that stay open': clientcrowds.Crowd(
        clients=600,
        make_parts=lambda: [
            clientcrowds.make_request('/reads/1', KEY, CHUNKED, method='POST'),
            clientcrowds.make_chunk(16),
        ],
    ),
    'unread answers': clientcrowds.Crowd(
        clients=600,
        make_parts=lambda: clientcrowds.repeat(NO_ROUTE * 100, MANY_BYTES),
    ),
}


class PoorDeployment(platformstandin.Deployment):
    """A deployment whose entries may open few descriptors."""

    def _make_command(self, host, path):
        command = super()._make_command(host, path)
        if host not in self.entries:
            return command
        limit = f'ulimit -n {MAX_DESCRIPTORS}; exec "$0" "$@"'
        return ['/bin/sh', '-c', limit, *command]


def read_peak_bytes(process):
    """Return the most memory that a process has held."""
    text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1]) * 1024


def count_descriptors(process):
    """Return how many descriptors a process has open."""
    return len(os.listdir(f'/proc/{process.pid}/fd'))


async def request_until_answered(deployment, host):
    """Send an ordinary request, again if it is refused, as clients may."""
    outcomes = []
    async with asyncio.timeout(ORDINARY_TIMEOUT_S):
        while True:
            outcome = 'closed'
            with contextlib.suppress(aiohttp.ClientError):
                status, _, body = await deployment.send_request(
                    host, '/reads/1', Attempt_Id='ordinary'
                )
                if status == 200:
                    return body
                outcome = status
            outcomes.append(outcome)
            assert outcome in ('closed', 503), outcomes
            await asyncio.sleep(0.2)


async def start_with_worker(deployment, prefixes):
    """Start nodes and workers; return once they serve."""
    await deployment.start()
    await deployment.call_control(
        platformstandin.PUT_TABLE_PATH,
        platformstandin.make_config(1, group_size=1, extra_prefixes=prefixes),
    )
    await deployment.add_worker(name='sound', service='bids')
    engine = await deployment.add_worker(
        name='engine', service='models', domain='rack'
    )
    (host,) = deployment.entries

    async def serves():
        # The entry may not listen yet.
        with contextlib.suppress(aiohttp.ClientError):
            status, _, _ = await deployment.send_request(
                host, '/reads/1', Attempt_Id='first'
            )
            return status == 200
        return False

    async def streams():
        status, _, _ = await deployment.request_stream(host, 'first')
        return status == 200

    await deployment.wait_until(serves)
    await deployment.wait_until(streams)
    engine.is_paused = True
    return host


@pytest.fixture
def play(children, tmp_path):
    """Return a function that plays a crowd against one entry.

    It returns the process after an ordinary request was answered, while the
    clients still hold their connections.
    """

    def run(
        crowd,
        check,
        *,
        kind=platformstandin.Deployment,
        at_controls=False,
        prefixes=(),
    ):
        deployment = kind(children=children, folder=tmp_path, entries=1)
        clients = clientcrowds.OpenClients()

        async def main():
            try:
                host = await start_with_worker(deployment, prefixes)
                targets, port = [host], deployment.caller_port
                if at_controls:
                    targets = deployment.control_hosts
                    port = deployment.control_port
                for target in targets:
                    await clients.send(target, port, crowd)
                await request_until_answered(deployment, host)
                for target in targets:
                    process = deployment.process_by_host[target]
                    assert process.returncode is None
                    check(process)
            finally:
                await clients.close()
                await deployment.close()

        asyncio.run(main())

    return run


def check_memory(process):
    """Check that a process has stayed within the memory of its machine."""
    peak_bytes = read_peak_bytes(process)
    print(f'{peak_bytes} bytes at most')  # shown when a test fails, or with -s
    assert peak_bytes <= MACHINE_BYTES


def check_descriptors(process):
    """Check that a process has descriptors left."""
    assert count_descriptors(process) < MAX_DESCRIPTORS
    check_memory(process)


@pytest.mark.parametrize('name', CROWDS)
def test_a_crowd_does_not_fill_the_memory_of_an_entry(play, name):
    """Guards against entries that hold all that their clients send."""
    play(CROWDS[name], check_memory)


@pytest.mark.parametrize('name', CROWDS_WITHOUT_DESCRIPTORS)
def test_a_crowd_does_not_take_all_descriptors_of_an_entry(play, name):
    """Guards against entries that accept connections until none is left."""
    play(
        CROWDS_WITHOUT_DESCRIPTORS[name],
        check_descriptors,
        kind=PoorDeployment,
    )


def test_a_body_without_end_does_not_fill_the_memory_of_a_control_node(play):
    """Guards against bodies of configurations that are read as a whole."""
    crowd = clientcrowds.Crowd(
        clients=1,
        make_parts=lambda: clientcrowds.send_chunks(
            clientcrowds.make_request(
                platformstandin.PUT_TABLE_PATH, CHUNKED, method='POST'
            ),
            65536,
            512 * units.MIB,
        ),
    )
    play(crowd, check_memory, at_controls=True)


def test_unread_answers_do_not_fill_the_memory_of_a_control_node(play):
    """Guards against large answers that are held for all who ask."""
    crowd = clientcrowds.Crowd(
        clients=1500,
        make_parts=lambda: [
            clientcrowds.make_request(platformstandin.GET_TABLE_PATH)
        ],
    )
    # About 1 MB in all.
    prefixes = [f'/extra/{number}/' for number in range(4000)]
    play(crowd, check_memory, at_controls=True, prefixes=prefixes)


@pytest.mark.parametrize(
    ('port', 'name'),
    [
        ('caller_port', 'requests sent ahead at a path without a route'),
        ('endpoint_port', 'requests sent ahead at a path without a route'),
        ('operator_port', 'requests sent ahead at a path without a route'),
        ('operator_port', 'changes that stop short of their end'),
    ],
)
def test_a_crowd_does_not_fill_the_memory_of_a_fixed_node(
    children, tmp_path, port, name
):
    """Guards against listeners other than that of a fleet's callers."""
    (plan,) = localsystem.plan_nodes(['north'], 1)
    system = localsystem.LocalSystem(
        children=children, folder=tmp_path, nodes=[plan]
    )
    clients = clientcrowds.OpenClients()

    async def main():
        await system.start()
        try:
            async with aiohttp.ClientSession() as session:
                await system.wait_for_leader(session)
            await clients.send(
                localsystem.HOST, getattr(plan, port), CROWDS[name]
            )
            async with aiohttp.ClientSession() as session:
                async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                    await system.wait_for_leader(session)
            process = system.process_by_id[plan.node_id]
            assert process.returncode is None
            check_memory(process)
        finally:
            await clients.close()

    asyncio.run(main())


@pytest.mark.parametrize('seed', [0, 1, 2, 6])
def test_drawn_crowds_leave_an_entry_its_memory(children, tmp_path, seed):
    """Guards against crowds that nobody has thought of."""
    draw = random.Random(seed)
    crowds = [clientcrowds.draw_crowd(draw) for _ in range(CROWDS_OF_A_SEED)]
    deployment = platformstandin.Deployment(
        children=children, folder=tmp_path, entries=1
    )
    clients = clientcrowds.OpenClients()

    async def main():
        try:
            host = await start_with_worker(deployment, ())
            process = deployment.process_by_host[host]
            async with asyncio.TaskGroup() as tasks:
                for crowd in crowds:
                    tasks.create_task(
                        clients.send(host, deployment.caller_port, crowd)
                    )
            await request_until_answered(deployment, host)
            assert process.returncode is None
            check_memory(process)
        finally:
            await clients.close()
            await deployment.close()

    asyncio.run(main())
