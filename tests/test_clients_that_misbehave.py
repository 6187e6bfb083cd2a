"""Clients outside the limits, before real nodes.

The nodes have the memory and the descriptors of the users' machines, or
fewer. What is checked does not depend on the speed of this one: the process
lives, holds no more than its machine has, and answers an ordinary request
while the crowd stays.
"""

import asyncio
import contextlib
import pathlib
import re

import aiohttp
import pytest

from apricotthread.base import units
from apricotthread.fakes import localsystem
from tests import clientcrowds
from tests import platformstandin

# What the users' machines have for a process (their sheets, in MB).
MACHINE_BYTES = 300_000_000
ORDINARY_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 4 * units.MIB  # as the stand-in's configuration says
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
}


def read_peak_bytes(process):
    """Return the most memory that a process has held."""
    text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1]) * 1024


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
        status, _, _ = await deployment.send_request(
            host, '/reads/1', Attempt_Id='first'
        )
        return status == 200

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


@pytest.mark.parametrize('name', CROWDS)
def test_a_crowd_does_not_fill_the_memory_of_an_entry(play, name):
    """Guards against entries that hold all that their clients send."""
    play(CROWDS[name], check_memory)


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


@pytest.mark.parametrize(
    ('port', 'name'),
    [
        ('caller_port', 'requests sent ahead at a path without a route'),
        ('endpoint_port', 'requests sent ahead at a path without a route'),
        ('operator_port', 'requests sent ahead at a path without a route'),
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
