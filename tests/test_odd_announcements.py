"""Announcements that no endpoint of ours would write, on real nodes."""

import asyncio
import json
import time

import aiohttp

from apricotthread.fakes import localsystem
from tests import platformstandin

TOO_LARGE = 10**30
DEEP = 100_000
BEAT = {
    'service': 'bids',
    'address': '127.0.0.1:9',
    'zone': 'north',
    'version': 'v1',
    'slot-count': 8,
    'state': 'ready',
    'cold-left-ms': 0,
    'sequence': 1,
    'born': 1_700_000_000_000,
}
PLACE = {'name': 'g1', 'epoch': 1, 'rank': 0, 'state': 'open'}
ANNOUNCEMENT = {
    'endpoint_id': 'odd',
    'incarnation': 1,
    'sequence': 1,
    'data_centre': 'north',
    'url': 'http://127.0.0.1:9',
    'kind': 'engine',
    'service': 'models',
}
ODD_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:0',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1',
    ':80',
    'a..b:80',
    '127.0.0.1:80\r\nX: y',
)
ODD_NUMBERS = (TOO_LARGE, -TOO_LARGE, 2**64 - 1, -1)


def nest(body):
    """Return a JSON object with one more field, which is deeply nested."""
    return body[:-1] + ',"more":' + '[' * DEEP + ']' * DEEP + '}'


def make_odd_beats():
    """Yield heartbeats of platform workers that are odd in one way each."""
    beat = json.dumps(BEAT)
    yield nest(beat)
    yield beat[:-1] + ',"group":' + '{"a":' * DEEP + '1' + '}' * DEEP + '}'
    for address in ODD_ADDRESSES:
        for service in ('bids', 'models'):
            yield json.dumps(BEAT | {'address': address, 'service': service})
    for number in ODD_NUMBERS:
        for field in ('slot-count', 'sequence', 'born', 'cold-left-ms'):
            yield json.dumps(BEAT | {field: number})
        for field in ('epoch', 'rank'):
            place = PLACE | {field: number}
            yield json.dumps(BEAT | {'service': 'models', 'group': place})


def make_odd_announcements():
    """Yield announcements of endpoints that are odd in one way each."""
    announcement = json.dumps(ANNOUNCEMENT)
    yield nest(announcement)
    for address in ODD_ADDRESSES:
        for kind in ('engine', 'plain'):
            yield json.dumps(
                ANNOUNCEMENT | {'url': f'http://{address}', 'kind': kind}
            )
    for number in ODD_NUMBERS:
        for field in (
            'incarnation',
            'sequence',
            'accelerators',
            'max_requests',
            'bear_requests',
            'memory_bytes',
            'bytes_per_token',
            'used_bytes',
            'running',
            'fencing',
        ):
            yield json.dumps(ANNOUNCEMENT | {field: number})


async def post(session, url, body):
    """Post a body; return the status of the answer, 0 without one."""
    try:
        async with session.post(url, data=body) as answer:
            return answer.status
    except aiohttp.ClientError:
        return 0


async def wait_until_followed(deployment):
    """Wait until all entries serve with a worker that was just started."""
    await deployment.add_worker(name='sound', service='bids')
    for host in deployment.entries:

        async def is_served(host=host):
            status, _, _ = await deployment.send_request(
                host, '/reads/1', Attempt_Id=f'read-{time.monotonic()}'
            )
            return status == 200

        await deployment.wait_until(is_served)


def test_odd_heartbeats_end_no_node_and_stop_none_from_following(
    children, tmp_path
):
    deployment = platformstandin.Deployment(children=children, folder=tmp_path)

    statuses = []

    async def main():
        await deployment.start()
        await deployment.call_control(
            platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
        )
        async with aiohttp.ClientSession() as session:
            for number, body in enumerate(make_odd_beats()):
                control = deployment.controls[number % 3]
                for name in (f'odd-{number}', f'odd%0d%0aX:%20{number}'):
                    url = f'http://{control}/-/instances/{name}/heartbeat'
                    statuses.append(await post(session, url, body))
        # The nodes probe, form groups and send each other what they know.
        await asyncio.sleep(3.0)
        ended = [
            host
            for host, process in deployment.process_by_host.items()
            if process.returncode is not None
        ]
        if not ended:
            await wait_until_followed(deployment)
        await deployment.close()
        assert ended == []
        assert max(statuses) < 500 and min(statuses) >= 200

    asyncio.run(main())


def test_odd_announcements_end_no_node_with_fixed_peers(children, tmp_path):
    plans = localsystem.plan_nodes(['north', 'south', 'middle'], 1)
    system = localsystem.LocalSystem(
        folder=tmp_path,
        nodes=plans,
        children=children,
    )

    statuses = []

    async def main():
        await system.start()
        async with aiohttp.ClientSession() as session:
            await system.wait_for_leader(session)
            for number, body in enumerate(make_odd_announcements()):
                plan = plans[number % len(plans)]
                body = body.replace('"odd"', f'"odd-{number}"')
                url = f'{plan.endpoint_url}/announcements'
                statuses.append(await post(session, url, body))
            await asyncio.sleep(3.0)
            await system.wait_for_leader(session)
        assert set((await system.stop()).values()) == {0}
        assert max(statuses) < 500 and min(statuses) >= 200

    asyncio.run(main())
