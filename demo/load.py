"""Sends requests of two kinds of users and counts their outcomes."""

import asyncio
import collections
import dataclasses
import itertools
import time

import aiohttp

from apricotthread.fakes import answers
from demo import site

MAX_TOKENS = 60
PAUSE_S = 0.02
READY_POLL_S = 0.1
MODEL_SERVICES = {'describe': 'farmers', 'explain': 'arbiters'}
WRITES = {
    'bidding': ('farmers', 'bids'),
    'tournament': ('arbiters', 'results'),
}


@dataclasses.dataclass(kw_only=True)
class Counts:
    """The outcomes of requests."""

    sent: int = 0
    whole: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: list[str] = dataclasses.field(default_factory=list)
    codes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    seconds: list[float] = dataclasses.field(default_factory=list)
    confirmed_writes: set[str] = dataclasses.field(default_factory=set)
    refused_writes: set[str] = dataclasses.field(default_factory=set)


class Load:
    """Callers that send requests to the entries that are ready."""

    def __init__(
        self, *, http: aiohttp.ClientSession, demo_site: site.Site
    ) -> None:
        self._http = http
        self._site = demo_site
        self._numbers = itertools.count(1)
        self._request_turns = itertools.count()
        self._ready: list[str] = []
        self.counts = Counts()
        self.running = True

    async def run(self) -> None:
        """Send requests until `running` is cleared."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_readiness())
            for service, account in MODEL_SERVICES.items():
                for _ in range(4):
                    tasks.create_task(self._stream_answers(service, account))
            for service, (account, path) in WRITES.items():
                for _ in range(3):
                    tasks.create_task(
                        self._send_writes(service, account, path)
                    )

    async def _watch_readiness(self) -> None:
        """Poll the readiness of entries, as a load balancer does."""
        while self.running:
            ready = []
            for node in self._site.nodes:
                try:
                    async with self._http.get(
                        node.caller_url + '/readyz'
                    ) as response:
                        if response.status == 200:
                            ready.append(node.caller_url)
                except (aiohttp.ClientError, OSError):
                    pass
            self._ready = ready
            await asyncio.sleep(READY_POLL_S)

    async def _next_entry(self) -> str:
        while not self._ready:
            await asyncio.sleep(READY_POLL_S)
        return self._ready[next(self._request_turns) % len(self._ready)]

    async def _stream_answers(self, service: str, account: str) -> None:
        while self.running:
            prompt = f'{service} {next(self._numbers)}'
            await self._send(self._stream_answer, service, account, prompt)
            await asyncio.sleep(PAUSE_S)

    async def _send(self, send_request, *arguments) -> None:
        """Send one request; record its duration and whether it was cut."""
        entry = await self._next_entry()
        self.counts.sent += 1
        started = time.monotonic()
        try:
            await send_request(entry, *arguments)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.counts.wrong.append(f'{arguments}: cut: {error!r}')
        self.counts.seconds.append(time.monotonic() - started)

    async def _stream_answer(
        self, entry: str, service: str, account: str, prompt: str
    ) -> None:
        body = {
            'model': service,
            'prompt': prompt,
            'max_tokens': MAX_TOKENS,
        }
        async with self._http.post(
            f'{entry}/v1/completions', json=body, headers=_headers(account)
        ) as response:
            answer = await response.json()
            if response.status != 200:
                self._count_refusal(answer)
                return
            text = answer['choices'][0]['text']
            if text == answers.make_answer(prompt, MAX_TOKENS):
                self.counts.whole += 1
            else:
                self.counts.wrong.append(f'{prompt}: {text!r}')

    def _count_refusal(self, answer: dict) -> None:
        self.counts.codes[answer['code']] += 1
        if answer['ran'] == 'no':
            self.counts.refused += 1
        else:
            self.counts.unknown += 1

    async def _send_writes(
        self, service: str, account: str, path: str
    ) -> None:
        while self.running:
            call = f'{path}-{next(self._numbers)}'
            await self._send(self._send_write, service, account, path, call)
            await asyncio.sleep(PAUSE_S)

    async def _send_write(
        self, entry: str, service: str, account: str, path: str, call: str
    ) -> None:
        headers = _headers(account) | {'Idempotency-Key': call}
        async with self._http.post(
            f'{entry}/services/{service}/{path}/new',
            data=call,
            headers=headers,
        ) as response:
            answer = await response.json()
            if response.status == 200:
                self.counts.whole += 1
                self.counts.confirmed_writes.add(call)
                return
            self._count_refusal(answer)
            if answer['ran'] == 'no':
                self.counts.refused_writes.add(call)


def _headers(account: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {site.ACCOUNT_KEYS[account]}'}
