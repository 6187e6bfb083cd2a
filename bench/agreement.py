"""Agreed state with real processes: changes, claims, a killed leader."""

import asyncio
import os
import time

import aiohttp

from apricotthread.control import tables
from bench import rig

CHANGES = 60
CLAIMS = 600
CLAIM_WORKERS = 16
KILLS = 3
POLL_S = 0.01
WAIT_S = 20.0


async def wait_in_force(
    site: rig.Site, http: aiohttp.ClientSession, version: int
) -> float:
    """Return when every node has a version, as each says of itself."""
    pending = set(site.system.process_by_id)
    while pending:
        for node_id in list(pending):
            seen = await site.system.fetch_status(http, node_id)
            if seen is not None and seen.version >= version:
                pending.discard(node_id)
        await asyncio.sleep(POLL_S)
    return time.perf_counter()


async def change(site: rig.Site, http, node_id: str, limit: int):
    """Set a row by way of one node; return the result."""
    row = tables.AccountRow(name='changed', limit=limit)
    outcome = await site.system.change_rows(http, node_id, [row])
    return outcome.result


async def measure_changes(site: rig.Site, http) -> dict:
    """Return the time to acceptance and from it to force everywhere."""
    accepted = []
    in_force = []
    names = [node.node_id for node in site.nodes]
    for number in range(CHANGES):
        started = time.perf_counter()
        result = await change(site, http, names[number % len(names)], number)
        moment = time.perf_counter()
        accepted.append(moment - started)
        in_force.append(
            await wait_in_force(site, http, result.version) - moment
        )
    return {
        'measure': 'change',
        'accepted_p50_ms': round(rig.quantile(accepted, 0.5) * 1000, 1),
        'accepted_p99_ms': round(rig.quantile(accepted, 0.99) * 1000, 1),
        'in_force_p50_ms': round(rig.quantile(in_force, 0.5) * 1000, 1),
        'in_force_p99_ms': round(rig.quantile(in_force, 0.99) * 1000, 1),
    }


async def call(site: rig.Site, http, number: int, keyed: bool) -> float:
    """Send one write; return its seconds."""
    entry = site.nodes[number % len(site.nodes)].caller_url
    headers = dict(rig.HEADERS)
    if keyed:
        headers['Idempotency-Key'] = os.urandom(8).hex()
    started = time.perf_counter()
    async with http.post(
        f'{entry}/services/bidding/bids/new',
        data=f'bid-{keyed}-{number}',
        headers=headers,
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(await response.text())
    return time.perf_counter() - started


async def measure_claims(site: rig.Site, http) -> list[dict]:
    """Return rate and latency of writes without a key and with one."""
    rows = []
    for keyed in (False, True):
        gate = asyncio.Semaphore(CLAIM_WORKERS)

        async def bounded(number: int, gate=gate, keyed=keyed) -> float:
            async with gate:
                return await call(site, http, number, keyed)

        alone = [await call(site, http, n, keyed) for n in range(60)]
        started = time.perf_counter()
        await asyncio.gather(*(bounded(n) for n in range(CLAIMS)))
        elapsed = time.perf_counter() - started
        rows.append(
            {
                'measure': 'keyed write' if keyed else 'unkeyed write',
                'alone_p50_ms': round(rig.quantile(alone, 0.5) * 1000, 1),
                'alone_p99_ms': round(rig.quantile(alone, 0.99) * 1000, 1),
                'per_second': round(CLAIMS / elapsed),
            }
        )
    return rows


async def measure_kills(site: rig.Site, http) -> dict:
    """Return the pause until the next accepted change after a kill."""
    pauses = []
    for number in range(KILLS):
        leader = await site.system.wait_for_leader(http)
        other = next(n.node_id for n in site.nodes if n.node_id != leader)
        await site.system.kill_node(leader)
        started = time.perf_counter()
        while True:
            result = await change(site, http, other, 1000 + number)
            if result.accepted:
                break
        pauses.append(time.perf_counter() - started)
        await site.system.start_node(leader)
        await wait_in_force(site, http, result.version)
    return {
        'measure': 'leader killed',
        'kills': KILLS,
        'pause_min_s': round(min(pauses), 2),
        'pause_max_s': round(max(pauses), 2),
    }


async def main() -> None:
    """Measure three nodes in three data centres."""
    async with rig.run_site(data_centres=3, vms=1) as (site, http):
        rig.write_rows(
            'agreement_changes', [await measure_changes(site, http)]
        )
        rig.write_rows('agreement_claims', await measure_claims(site, http))
        rig.write_rows('agreement_kills', [await measure_kills(site, http)])


if __name__ == '__main__':
    asyncio.run(main())
