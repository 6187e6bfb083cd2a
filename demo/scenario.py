"""What the demonstration does, step by step."""

import asyncio
import pathlib
import statistics

import aiohttp

from demo import load
from demo import site

STEP_S = 5.0
MAX_CONNECTIONS = 200


async def run(folder: pathlib.Path) -> int:
    """Serve requests through a data centre's leaving and a restart."""
    place = site.Site(folder=folder)
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as http:
        try:
            _say('Starting three nodes in three data centres, 12 engine VMs')
            await place.start(http)
            sender = load.Load(http=http, place=place)
            sending = asyncio.create_task(sender.run())
            await _go_through(place, http)
            sender.running = False
            await sending
            runs = await _fetch_runs(place, http)
        finally:
            statuses = await place.stop()
    return _report(sender.counts, runs, statuses)


async def _go_through(place: site.Site, http: aiohttp.ClientSession) -> None:
    first, middle, last = (node.node_id for node in place.nodes)
    _say('Serving from all three')
    await asyncio.sleep(STEP_S)
    _say('Taking data centre south out')
    await place.system.mark_data_centre(http, first, 'south', out=True)
    await asyncio.sleep(STEP_S)
    _say('Bringing data centre south back')
    await place.system.mark_data_centre(http, middle, 'south', out=False)
    await asyncio.sleep(STEP_S)
    _say(f'Restarting node {middle}')
    status = await place.system.stop_node(middle)
    if status:
        raise RuntimeError(f'{middle} exited with status {status}')
    await place.system.start_node(middle)
    await asyncio.sleep(STEP_S)


async def _fetch_runs(
    place: site.Site, http: aiohttp.ClientSession
) -> dict[str, int]:
    """Return how often each bid and result was run, by the workers."""
    async with http.get(place.host_url + '/runs') as response:
        return await response.json()


def _report(
    counts: load.Counts, runs: dict[str, int], statuses: dict[str, int]
) -> int:
    """Print what happened; return non-zero if a promise was broken."""
    doubled = [call for call, count in runs.items() if count > 1]
    lost = [call for call in counts.confirmed_writes if call not in runs]
    false_refusals = [call for call in counts.refused_writes if call in runs]
    bad_exits = {n: s for n, s in statuses.items() if s}
    quantiles = statistics.quantiles(counts.seconds, n=100)
    _say('Result')
    print(f'  sent                {counts.sent}')
    print(f'  answered whole      {counts.whole}')
    print(f'  refused as not run  {counts.refused} {dict(counts.codes)}')
    print(f'  outcome unknown     {counts.unknown}')
    print(f'  wrong or cut        {len(counts.wrong)}')
    print(f'  bids and results    {len(counts.confirmed_writes)} confirmed')
    print(f'  doubled             {len(doubled)}')
    print(f'  lost                {len(lost)}')
    print(f'  refused but run     {len(false_refusals)}')
    print(f'  seconds p50, p99    {quantiles[49]:.3f}, {quantiles[98]:.3f}')
    print(f'  nodes stopped with  {sorted(statuses.values())}')
    for line in counts.wrong[:5]:
        print(f'    {line}')
    broken = bool(
        doubled or lost or false_refusals or counts.wrong or bad_exits
    )
    print('A promise was broken.' if broken else 'Every promise was kept.')
    return int(broken or not counts.whole or not counts.confirmed_writes)


def _say(text: str) -> None:
    print(f'== {text}', flush=True)


async def keep_running(folder: pathlib.Path) -> int:
    """Leave the system running and print what to try."""
    place = site.Site(folder=folder)
    async with aiohttp.ClientSession() as http:
        try:
            await place.start(http)
            _print_commands(place)
            await asyncio.Event().wait()
        finally:
            await place.stop()
    return 0


def _print_commands(place: site.Site) -> None:
    operators = ','.join(
        node.operator_url.removeprefix('http://') for node in place.nodes
    )
    entry = place.nodes[0].caller_url
    key = site.ACCOUNT_KEYS['farmers']
    _say('Running; Ctrl-C stops it. In another terminal, try:')
    print(f'  export APRICOTTHREAD_NODES={operators}')
    print('  .venv/bin/apricotthread status')
    print('  .venv/bin/apricotthread table show')
    print('  .venv/bin/apricotthread table set account:farmers limit=90')
    print('  .venv/bin/apricotthread data-centre take-out south')
    print('  .venv/bin/apricotthread data-centre bring-back south')
    print('  .venv/bin/apricotthread audit')
    print(
        f"  curl -N {entry}/v1/completions -H 'Authorization: Bearer {key}' "
        '-d \'{"model": "describe", "prompt": "lot 7", "stream": true}\''
    )
