"""Goodput and shares at three times the capacity, beside no limits.

Three accounts with weights 1, 2 and 5 each send a third of the load, so
that all of them want more than their share.
"""

import asyncio
import collections
import time

import aiohttp

from apricotthread.control import tables
from apricotthread.fakes import answers
from apricotthread.fakes import engines
from apricotthread.fakes import localsystem
from bench import rig

TOKENS = 50
TOKEN_S = 0.01
PLACES = 16
FACTOR = 3.0
LOAD_S = 30.0
WARM_S = 6.0
TIMEOUT_S = 4.0
WEIGHTS = {'small': 1.0, 'middle': 2.0, 'large': 5.0}
CAPACITY_PER_S = PLACES / (TOKENS * TOKEN_S)
TRAITS = engines.EngineTraits(
    max_requests=PLACES,
    bear_requests=PLACES,
    cold_requests=0,
    token_s=TOKEN_S,
    tokens_per_piece=5,
)


class Load:
    """Requests at a fixed rate, whatever becomes of those before."""

    def __init__(self, *, url: str, http: aiohttp.ClientSession) -> None:
        self._url = url
        self._http = http
        self._begun = time.perf_counter()
        self.whole = collections.Counter()
        self.refused = 0
        self.late_or_cut = 0
        self.refusal_seconds: list[float] = []

    async def run(self) -> None:
        """Send the load and wait for what it leaves."""
        tasks = []
        period_s = 1 / (CAPACITY_PER_S * FACTOR)
        names = list(WEIGHTS)
        number = 0
        while time.perf_counter() - self._begun < LOAD_S:
            account = names[number % len(names)]
            tasks.append(asyncio.create_task(self._ask(account, number)))
            number += 1
            due = self._begun + number * period_s
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
        await asyncio.gather(*tasks)

    async def _ask(self, account: str, number: int) -> None:
        started = time.perf_counter()
        prompt = f'{account} {number}'
        body = {
            'model': 'describe',
            'prompt': prompt,
            'max_tokens': TOKENS,
            'stream': True,
        }
        headers = {
            'Authorization': f'Bearer {account}',
            'Request-Timeout': str(TIMEOUT_S),
        }
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self._http.post(
                f'{self._url}/v1/completions',
                json=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError):
            self.late_or_cut += 1
            return
        elapsed = time.perf_counter() - started
        if response.status != 200:
            self.refused += 1
            self.refusal_seconds.append(elapsed)
            return
        last = answers.make_token(prompt, TOKENS - 1)
        if last.strip() not in text:
            self.late_or_cut += 1
        elif started - self._begun > WARM_S:
            self.whole[account] += 1

    def make_row(self, name: str) -> dict:
        """Return the row of results."""
        total = sum(self.whole.values())
        row = {
            'entry': name,
            'goodput_share': round(
                total / (LOAD_S - WARM_S) / CAPACITY_PER_S, 3
            ),
            'refused': self.refused,
            'late_or_cut': self.late_or_cut,
            'refusal_p50_s': round(rig.quantile(self.refusal_seconds, 0.5), 2),
        }
        for account, weight in WEIGHTS.items():
            share = weight / sum(WEIGHTS.values())
            got = self.whole[account] / max(1, total)
            row[f'{account}_share_of_table'] = round(got / share, 3)
        return row


async def main() -> None:
    """Run the load against the entry, then against a naive one."""
    async with rig.run_site(
        vms=1, traits=TRAITS, timing={'queue_wait_s': '3'}
    ) as (site, http):
        node = site.nodes[0]
        rows = [
            tables.AccountRow(
                name=name,
                weight=weight,
                limit=10000,
                key_sha256=localsystem.digest_key(name),
            )
            for name, weight in WEIGHTS.items()
        ]
        await site.system.change_rows(http, node.node_id, rows)
        load = Load(url=node.caller_url, http=http)
        await load.run()
        seen = await site.system.fetch_status(http, node.node_id)
        group = seen.groups[0].group
        async with rig.run_naive_entry(http, group) as (url, _):
            naive_load = Load(url=url, http=http)
            await naive_load.run()
    rig.write_rows(
        'overload',
        [load.make_row('apricotthread'), naive_load.make_row('naive')],
    )


if __name__ == '__main__':
    asyncio.run(main())
