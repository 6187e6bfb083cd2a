"""Measures the latency, processor time and memory that an entry adds.

The same fakes are called directly and through the entry, in turn.
"""

import asyncio
import time

import aiohttp
import msgspec

from apricotthread.endpoints import announcements
from apricotthread.fakes import engines
from bench import rig

ROUNDS = 200
STREAMS = 200
IDLE_STREAMS = 500
TOKENS = 300
TOKEN_S = (0.02, 0.005)  # of an engine with many requests, and with few


def make_traits(token_s: float) -> engines.EngineTraits:
    """Return the traits of an engine without a cold start or a real limit."""
    return engines.EngineTraits(
        max_requests=2000,
        bear_requests=2000,
        cold_requests=0,
        token_s=token_s,
    )


async def time_direct(http: aiohttp.ClientSession, site: rig.Site) -> float:
    """Return the seconds of one call directly to the worker."""
    started = time.perf_counter()
    url = f'{site.host_url}/workers/dc1-w0/lots/1'
    async with http.get(url) as response:
        await response.read()
    return time.perf_counter() - started


async def time_entry(http: aiohttp.ClientSession, site: rig.Site) -> float:
    """Return the seconds of one call through the entry."""
    started = time.perf_counter()
    url = f'{site.nodes[0].caller_url}/services/bidding/lots/1'
    async with http.get(url, headers=rig.HEADERS) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(response.status)
    return time.perf_counter() - started


async def measure_latency(http: aiohttp.ClientSession, site: rig.Site) -> dict:
    """Return the latencies of direct calls and of calls through the entry."""
    direct_s = []
    entry_s = []
    for _ in range(ROUNDS):
        direct_s.append(await time_direct(http, site))
        entry_s.append(await time_entry(http, site))
    return {
        'measure': 'call latency',
        'direct_p50_ms': round(rig.quantile(direct_s, 0.5) * 1000, 2),
        'entry_p50_ms': round(rig.quantile(entry_s, 0.5) * 1000, 2),
        'direct_p99_ms': round(rig.quantile(direct_s, 0.99) * 1000, 2),
        'entry_p99_ms': round(rig.quantile(entry_s, 0.99) * 1000, 2),
        'ratio_p50': round(
            rig.quantile(entry_s, 0.5) / rig.quantile(direct_s, 0.5), 2
        ),
    }


async def measure_requests(
    http: aiohttp.ClientSession, site: rig.Site
) -> dict:
    """Return the requests a second of one entry, and the cost of each."""
    pid = site.pid(site.nodes[0].node_id)
    count = 3000
    call_limit = asyncio.Semaphore(16)

    async def call():
        async with call_limit:
            await time_entry(http, site)

    cpu_before_s = rig.cpu_seconds(pid)
    started = time.perf_counter()
    await asyncio.gather(*(call() for _ in range(count)))
    elapsed = time.perf_counter() - started
    cpu_used_s = rig.cpu_seconds(pid) - cpu_before_s
    return {
        'measure': 'plain requests',
        'per_second': round(count / elapsed),
        'cpu_us_per_request': round(cpu_used_s / count * 1e6),
    }


async def read_stream(
    http: aiohttp.ClientSession, site: rig.Site, number: int, tokens: int
) -> int:
    """Read one stream through the entry; return the bytes received."""
    body = {
        'model': 'describe',
        'prompt': f'p{number}',
        'max_tokens': tokens,
        'stream': True,
    }
    url = f'{site.nodes[0].caller_url}/v1/completions'
    size = 0
    async with http.post(url, json=body, headers=rig.HEADERS) as response:
        if response.status != 200:
            raise RuntimeError(await response.text())
        async for data in response.content.iter_any():
            size += len(data)
    return size


async def read_engine(
    http: aiohttp.ClientSession, site: rig.Site, number: int, group_id: str
) -> int:
    """Read one stream directly from the engine; return the bytes received."""
    request = announcements.GenerateRequest(
        request_id=f'direct-{number}',
        prompt=f'p{number}',
        max_tokens=TOKENS,
        offset=0,
        priority=0,
        seed='',
        group_id=group_id,
    )
    url = f'{site.host_url}/vms/dc1-vm0/generate'
    size = 0
    async with http.post(url, data=msgspec.json.encode(request)) as response:
        async for data in response.content.iter_any():
            size += len(data)
    return size


async def measure_tokens(
    http: aiohttp.ClientSession, site: rig.Site, token_s: float
) -> list[dict]:
    """Return the cost of a token when engines generate at their own rate."""
    streams = int(STREAMS * token_s / TOKEN_S[0])
    pid = site.pid(site.nodes[0].node_id)
    rows = []
    status_body = await site.system.fetch_status(http, site.nodes[0].node_id)
    group_id = next(
        g.group.group_id
        for g in status_body.groups
        if g.group.head.endpoint_id == 'dc1-vm0'
    )
    for path in ('direct', 'entry'):
        cpu_before_s = rig.cpu_seconds(pid)
        started = time.perf_counter()
        if path == 'direct':
            reads = (
                read_engine(http, site, n, group_id) for n in range(streams)
            )
        else:
            reads = (
                read_stream(http, site, n, TOKENS) for n in range(streams)
            )
        sizes = await asyncio.gather(*reads)
        elapsed = time.perf_counter() - started
        cpu_used_s = rig.cpu_seconds(pid) - cpu_before_s
        count = streams * TOKENS
        rows.append(
            {
                'measure': f'tokens {token_s * 1000:g} ms apart, {path}',
                'tokens_per_second': round(count / elapsed),
                'cpu_us_per_token': round(cpu_used_s / count * 1e6, 1),
                'cpu_share': round(cpu_used_s / elapsed, 2),
                'bytes_per_token': round(sum(sizes) / count),
            }
        )
    return rows


async def measure_memory(http: aiohttp.ClientSession, site: rig.Site) -> dict:
    """Return the memory that the entry uses for each open stream."""
    pid = site.pid(site.nodes[0].node_id)
    before = rig.resident_bytes(pid)
    tasks = [
        asyncio.create_task(read_stream(http, site, number, 200))
        for number in range(IDLE_STREAMS)
    ]
    await asyncio.sleep(3.0)
    during = rig.resident_bytes(pid)
    await asyncio.gather(*tasks)
    return {
        'measure': 'open streams',
        'streams': IDLE_STREAMS,
        'bytes_per_stream': (during - before) // IDLE_STREAMS,
        'node_mb_before': before // 2**20,
    }


async def main() -> None:
    """Measure one entry process and write the results."""
    tokens = []
    for token_s in TOKEN_S:
        traits = make_traits(token_s)
        async with rig.run_site(traits=traits) as (site, http):
            tokens.extend(await measure_tokens(http, site, token_s))
            if token_s != TOKEN_S[0]:
                continue
            latency = await measure_latency(http, site)
            rig.write_rows('entry_latency', [latency])
            requests = await measure_requests(http, site)
            rig.write_rows('entry_requests', [requests])
            memory = await measure_memory(http, site)
            rig.write_rows('entry_memory', [memory])
    rig.write_rows('entry_tokens', tokens)


if __name__ == '__main__':
    asyncio.run(main())
