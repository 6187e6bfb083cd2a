"""Measures changes, claims and leader failover with real node processes."""

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
    """Return the time at which every node reports a version as applied."""
    pending = set(site.system.process_by_id)
    while pending:
        for node_id in list(pending):
            status_body = await site.system.fetch_status(http, node_id)
            if status_body is not None and status_body.version >= version:
                pending.discard(node_id)
        await asyncio.sleep(POLL_S)
    return time.perf_counter()


async def set_row(site: rig.Site, http, node_id: str, limit: int):
    """Set a table row through one node; return the result."""
    row = tables.AccountRow(name='changed', limit=limit)
    outcome = await site.system.change_rows(http, node_id, [row])
    return outcome.result


async def measure_changes(site: rig.Site, http) -> dict:
    """Return the times to acceptance, and from there to force on all nodes."""
    accepted = []
    in_force = []
    node_ids = [node.node_id for node in site.nodes]
    for number in range(CHANGES):
        started = time.perf_counter()
        result = await set_row(
            site, http, node_ids[number % len(node_ids)], number
        )
        accepted_at = time.perf_counter()
        accepted.append(accepted_at - started)
        in_force.append(
            await wait_in_force(site, http, result.version) - accepted_at
        )
    return {
        'measure': 'change',
        'accepted_p50_ms': round(rig.quantile(accepted, 0.5) * 1000, 1),
        'accepted_p99_ms': round(rig.quantile(accepted, 0.99) * 1000, 1),
        'in_force_p50_ms': round(rig.quantile(in_force, 0.5) * 1000, 1),
        'in_force_p99_ms': round(rig.quantile(in_force, 0.99) * 1000, 1),
    }


async def call(site: rig.Site, http, number: int, has_key: bool) -> float:
    """Send one write; return its duration in seconds."""
    entry = site.nodes[number % len(site.nodes)].caller_url
    headers = dict(rig.HEADERS)
    if has_key:
        headers['Idempotency-Key'] = os.urandom(8).hex()
    started = time.perf_counter()
    async with http.post(
        f'{entry}/services/bidding/bids/new',
        data=f'bid-{has_key}-{number}',
        headers=headers,
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(await response.text())
    return time.perf_counter() - started


async def measure_claims(site: rig.Site, http) -> list[dict]:
    """Return rate and latency of writes without and with idempotency keys."""
    rows = []
    for has_key in (False, True):
        call_limit = asyncio.Semaphore(CLAIM_WORKERS)

        async def call_with_limit(
            number: int, call_limit=call_limit, has_key=has_key
        ) -> float:
            async with call_limit:
                return await call(site, http, number, has_key)

        sequential_s = [await call(site, http, n, has_key) for n in range(60)]
        started = time.perf_counter()
        await asyncio.gather(*(call_with_limit(n) for n in range(CLAIMS)))
        elapsed = time.perf_counter() - started
        rows.append(
            {
                'measure': 'keyed write' if has_key else 'unkeyed write',
                'alone_p50_ms': round(
                    rig.quantile(sequential_s, 0.5) * 1000, 1
                ),
                'alone_p99_ms': round(
                    rig.quantile(sequential_s, 0.99) * 1000, 1
                ),
                'per_second': round(CLAIMS / elapsed),
            }
        )
    return rows


async def measure_kills(site: rig.Site, http) -> dict:
    """Return the pause between a leader's death and an accepted change."""
    pauses_s = []
    for number in range(KILLS):
        leader = await site.system.wait_for_leader(http)
        follower = next(n.node_id for n in site.nodes if n.node_id != leader)
        await site.system.kill_node(leader)
        started = time.perf_counter()
        while True:
            result = await set_row(site, http, follower, 1000 + number)
            if result.accepted:
                break
        pauses_s.append(time.perf_counter() - started)
        await site.system.start_node(leader)
        await wait_in_force(site, http, result.version)
    return {
        'measure': 'leader killed',
        'kills': KILLS,
        'pause_min_s': round(min(pauses_s), 2),
        'pause_max_s': round(max(pauses_s), 2),
    }


async def main() -> None:
    """Measure a cluster of three nodes in three data centres."""
    async with rig.run_site(data_centres=3, vms=1) as (site, http):
        rig.write_rows(
            'agreement_changes', [await measure_changes(site, http)]
        )
        rig.write_rows('agreement_claims', await measure_claims(site, http))
        rig.write_rows('agreement_kills', [await measure_kills(site, http)])


if __name__ == '__main__':
    asyncio.run(main())
