"""The steps of the demonstration and its report."""

import asyncio
import pathlib
import statistics

import aiohttp

from apricotthread.fakes import childprocesses
from demo import load
from demo import site

STEP_S = 5.0
MAX_CONNECTIONS = 200


async def run(
    children: childprocesses.ChildProcesses, folder: pathlib.Path
) -> int:
    """Serve requests while a data centre is taken out and a node restarts.

    Returns the exit status: 0 if requests were served and every guarantee
    was kept.
    """
    demo_site = site.Site(children=children, folder=folder)
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as http:
        try:
            _print_heading(
                'Starting three nodes in three data centres, 12 engine VMs'
            )
            await demo_site.start(http)
            sending_load = load.Load(http=http, demo_site=demo_site)
            load_task = asyncio.create_task(sending_load.run())
            await _run_steps(demo_site, http)
            sending_load.running = False
            await load_task
            runs = await _fetch_runs(demo_site, http)
        finally:
            statuses = await demo_site.stop()
    return _report(sending_load.counts, runs, statuses)


async def _run_steps(
    demo_site: site.Site, http: aiohttp.ClientSession
) -> None:
    first, middle, last = (node.node_id for node in demo_site.nodes)
    _print_heading('Serving from all three')
    await asyncio.sleep(STEP_S)
    _print_heading('Taking data centre south out')
    await demo_site.system.mark_data_centre(http, first, 'south', out=True)
    await asyncio.sleep(STEP_S)
    _print_heading('Bringing data centre south back')
    await demo_site.system.mark_data_centre(http, middle, 'south', out=False)
    await asyncio.sleep(STEP_S)
    _print_heading(f'Restarting node {middle}')
    status = await demo_site.system.stop_node(middle)
    if status:
        raise RuntimeError(f'{middle} exited with status {status}')
    await demo_site.system.start_node(middle)
    await asyncio.sleep(STEP_S)


async def _fetch_runs(
    demo_site: site.Site, http: aiohttp.ClientSession
) -> dict[str, int]:
    """Return how often the workers ran each bid and result."""
    async with http.get(demo_site.host_url + '/runs') as response:
        return await response.json()


def _report(
    counts: load.Counts, runs: dict[str, int], statuses: dict[str, int]
) -> int:
    """Print the outcomes; return non-zero if a guarantee was violated."""
    repeated_calls = [call for call, count in runs.items() if count > 1]
    lost_calls = [call for call in counts.confirmed_writes if call not in runs]
    false_refusals = [call for call in counts.refused_writes if call in runs]
    bad_status_by_node = {n: s for n, s in statuses.items() if s}
    quantiles = statistics.quantiles(counts.seconds, n=100)
    _print_heading('Result')
    print(f'  sent                {counts.sent}')
    print(f'  answered whole      {counts.whole}')
    print(f'  refused as not run  {counts.refused} {dict(counts.codes)}')
    print(f'  outcome unknown     {counts.unknown}')
    print(f'  wrong or cut        {len(counts.wrong)}')
    print(f'  bids and results    {len(counts.confirmed_writes)} confirmed')
    print(f'  doubled             {len(repeated_calls)}')
    print(f'  lost                {len(lost_calls)}')
    print(f'  refused but run     {len(false_refusals)}')
    print(f'  seconds p50, p99    {quantiles[49]:.3f}, {quantiles[98]:.3f}')
    print(f'  nodes stopped with  {sorted(statuses.values())}')
    for line in counts.wrong[:5]:
        print(f'    {line}')
    is_violated = bool(
        repeated_calls
        or lost_calls
        or false_refusals
        or counts.wrong
        or bad_status_by_node
    )
    print(
        'A promise was broken.' if is_violated else 'Every promise was kept.'
    )
    return int(is_violated or not counts.whole or not counts.confirmed_writes)


def _print_heading(text: str) -> None:
    print(f'== {text}', flush=True)


async def keep_running(
    children: childprocesses.ChildProcesses, folder: pathlib.Path
) -> int:
    """Keep the system running until interrupted; print commands to try."""
    demo_site = site.Site(children=children, folder=folder)
    async with aiohttp.ClientSession() as http:
        try:
            await demo_site.start(http)
            _print_commands(demo_site)
            await asyncio.Event().wait()
        finally:
            await demo_site.stop()
    return 0


def _print_commands(demo_site: site.Site) -> None:
    operators = ','.join(
        node.operator_url.removeprefix('http://') for node in demo_site.nodes
    )
    entry = demo_site.nodes[0].caller_url
    key = site.ACCOUNT_KEYS['farmers']
    _print_heading('Running; Ctrl-C stops it. In another terminal, try:')
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
