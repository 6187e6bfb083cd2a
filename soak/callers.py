"""Callers behind a balancer, who keep their connections."""

import asyncio
import random

import aiohttp

from soak import record
from tests import platformstandin

POLL_S = 0.5
READY_TIMEOUT_S = 1.0
MISSES = 2  # two questions in a row without a 200 take an entry out
PAUSE_S = 0.05
PATH_BY_KIND = {
    record.CallKind.STREAM: '/lots/1',
    record.CallKind.BID: '/bids/1',
    record.CallKind.READ: '/reads/1',
}
# Nothing had reached the entry when these came.
NOT_SENT = (aiohttp.ClientConnectorError,)


class Balancer:
    """Polls readiness, and gives new connections to ready entries."""

    def __init__(self, *, url_by_entry: dict[str, str]) -> None:
        self._url_by_entry = url_by_entry
        self._misses = dict.fromkeys(url_by_entry, MISSES)

    @property
    def ready(self) -> list[str]:
        """The entries that get new connections."""
        ready = [n for n, misses in self._misses.items() if misses < MISSES]
        return ready or list(self._url_by_entry)

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._ask(session, name) for name in self._url_by_entry)
                )
                await asyncio.sleep(POLL_S)

    async def _ask(self, session: aiohttp.ClientSession, name: str) -> None:
        try:
            async with session.get(self._url_by_entry[name]) as answer:
                is_ready = answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_ready = False
        self._misses[name] = 0 if is_ready else self._misses[name] + 1


class Caller:
    """One caller: asks again and again, of an entry that it stays with."""

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        seen: record.Record,
        balancer: Balancer,
        url_by_entry: dict[str, str],
        events: int,
    ) -> None:
        self._name = name
        self._random = random.Random(seed)
        self._seen = seen
        self._balancer = balancer
        self._url_by_entry = url_by_entry
        self._events = events
        self._entry = ''
        self._asked = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            # A connection is used until it, or its process, is gone.
            self._entry = self._random.choice(self._balancer.ready)
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30.0)
            async with aiohttp.ClientSession(connector=connector) as session:
                while True:
                    kind = self._random.choice(list(record.CallKind))
                    attempt = await self._ask(session, kind)
                    self._seen.attempts.append(attempt)
                    if attempt.outcome is not record.Outcome.WHOLE:
                        break
                    await asyncio.sleep(PAUSE_S * self._random.random())
            await asyncio.sleep(PAUSE_S)

    async def ask_each(self, entry: str) -> list[record.Outcome]:
        """Ask an entry for one of each kind; return how these ended."""
        self._entry = entry
        async with aiohttp.ClientSession() as session:
            return [
                (await self._ask(session, kind)).outcome
                for kind in record.CallKind
            ]

    async def _ask(
        self, session: aiohttp.ClientSession, kind: record.CallKind
    ) -> record.Attempt:
        self._asked += 1
        attempt_id = f'{self._name}-{self._asked}'
        began_s = self._seen.now_s()
        outcome, status, wrong = await self._send(session, kind, attempt_id)
        return record.Attempt(
            attempt_id=attempt_id,
            kind=kind,
            entry=self._entry,
            began_s=began_s,
            ended_s=self._seen.now_s(),
            outcome=outcome,
            status=status,
            wrong=wrong,
        )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        kind: record.CallKind,
        attempt_id: str,
    ) -> tuple[record.Outcome, int, str]:
        headers = platformstandin.make_caller_headers(
            attempt_id,
            budget_s=record.TIME_BUDGET_S[kind],
            model='m0' if kind is record.CallKind.STREAM else '',
        )
        status = 0
        try:
            async with (
                asyncio.timeout(record.TIME_BUDGET_S[kind] + 0.5),
                session.post(
                    self._url_by_entry[self._entry] + PATH_BY_KIND[kind],
                    headers=headers,
                    data=b'x' * 100,
                ) as answer,
            ):
                status = answer.status
                body = await answer.read()
        except NOT_SENT:
            return record.Outcome.NOT_SENT, 0, ''
        except (aiohttp.ClientError, TimeoutError, OSError):
            return record.Outcome.CUT, status, ''
        return self._judge(kind, attempt_id, answer, body)

    def _judge(
        self,
        kind: record.CallKind,
        attempt_id: str,
        answer: aiohttp.ClientResponse,
        body: bytes,
    ) -> tuple[record.Outcome, int, str]:
        status = answer.status
        if status == 503:
            return record.Outcome.REFUSED, status, ''
        if status != 200:
            return record.Outcome.FAILED, status, ''
        wrong = ''
        if not platformstandin.is_sealed_for(answer.headers, attempt_id):
            wrong = 'sealed for another request'
        elif kind is record.CallKind.STREAM:
            expected = ''.join(
                f'id: {number}\ndata: piece {number}\n\n'
                for number in range(1, self._events + 1)
            )
            if body != expected.encode():
                wrong = f'not the events of the stream: {body[:200]!r}'
        elif body.split()[1:] != [attempt_id.encode()]:
            wrong = f'not the answer of a worker: {body[:200]!r}'
        return record.Outcome.WHOLE, status, wrong


async def probe_tables(
    *,
    seen: record.Record,
    url_by_entry: dict[str, str],
    balancer: Balancer,
    period_s: float,
    in_force_s: float,
) -> None:
    """Ask ready entries on the route that the newest table added."""
    timeout = aiohttp.ClientTimeout(total=1.5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await asyncio.sleep(period_s)
            now_s = seen.now_s()
            expected = max(
                (
                    ack.version
                    for ack in seen.acknowledged
                    if ack.at_s + in_force_s < now_s
                ),
                default=0,
            )
            for entry in balancer.ready if expected else ():
                asked_s = seen.now_s()
                try:
                    async with session.get(
                        f'{url_by_entry[entry]}/version-{expected}/x',
                        headers=platformstandin.make_caller_headers(
                            'probe', budget_s=1.0
                        ),
                    ) as answer:
                        status = answer.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                seen.probes.append(
                    record.Probe(
                        entry=entry,
                        asked_s=asked_s,
                        expected=expected,
                        status=status,
                    )
                )
