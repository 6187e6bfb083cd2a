"""Measures goodput and account shares in overload, against a naive entry.

The load is three times the capacity. Three accounts with weights 1, 2 and 5
each send a third of it, so that each asks for more than its share. The same
load goes to an entry without any limits.
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
SLOTS = 16
OVERLOAD_FACTOR = 3.0
LOAD_S = 30.0
WARM_UP_S = 6.0
TIMEOUT_S = 4.0
WEIGHTS = {'small': 1.0, 'middle': 2.0, 'large': 5.0}
CAPACITY_PER_S = SLOTS / (TOKENS * TOKEN_S)
TRAITS = engines.EngineTraits(
    max_requests=SLOTS,
    bear_requests=SLOTS,
    cold_requests=0,
    token_s=TOKEN_S,
    tokens_per_piece=5,
)


class Load:
    """Sends requests at a fixed rate, without waiting for earlier answers."""

    def __init__(self, *, url: str, http: aiohttp.ClientSession) -> None:
        self._url = url
        self._http = http
        self._started_at = time.perf_counter()
        self.complete = collections.Counter()
        self.refused = 0
        self.late_or_cut = 0
        self.refusal_seconds: list[float] = []

    async def run(self) -> None:
        """Send the load and wait for all answers."""
        tasks = []
        period_s = 1 / (CAPACITY_PER_S * OVERLOAD_FACTOR)
        names = list(WEIGHTS)
        number = 0
        while time.perf_counter() - self._started_at < LOAD_S:
            account = names[number % len(names)]
            tasks.append(asyncio.create_task(self._ask(account, number)))
            number += 1
            next_send_at = self._started_at + number * period_s
            await asyncio.sleep(max(0.0, next_send_at - time.perf_counter()))
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
        last_token = answers.make_token(prompt, TOKENS - 1)
        if last_token.strip() not in text:
            self.late_or_cut += 1
        elif started - self._started_at > WARM_UP_S:
            self.complete[account] += 1

    def make_row(self, name: str) -> dict:
        """Return a row of results."""
        total = sum(self.complete.values())
        row = {
            'entry': name,
            'goodput_share': round(
                total / (LOAD_S - WARM_UP_S) / CAPACITY_PER_S, 3
            ),
            'refused': self.refused,
            'late_or_cut': self.late_or_cut,
            'refusal_p50_s': round(rig.quantile(self.refusal_seconds, 0.5), 2),
        }
        for account, weight in WEIGHTS.items():
            expected_share = weight / sum(WEIGHTS.values())
            answered_share = self.complete[account] / max(1, total)
            row[f'{account}_share_of_table'] = round(
                answered_share / expected_share, 3
            )
        return row


async def main() -> None:
    """Measure an entry and then a naive one with the same load."""
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
        status_body = await site.system.fetch_status(http, node.node_id)
        group = status_body.groups[0].group
        async with rig.run_naive_entry(http, group) as (url, _):
            naive_load = Load(url=url, http=http)
            await naive_load.run()
    rig.write_rows(
        'overload',
        [load.make_row('apricotthread'), naive_load.make_row('naive')],
    )


if __name__ == '__main__':
    asyncio.run(main())
