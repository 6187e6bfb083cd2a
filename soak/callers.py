"""Callers with kept-alive connections, and a balancer over the entries."""

import asyncio
import collections.abc
import contextlib
import random

import aiohttp
import yarl

from soak import record
from soak import writings
from tests import eventstreamjudge
from tests import platformstandin

POLL_PERIOD_S = 0.5
READY_TIMEOUT_S = 1.0
# After two readiness polls in a row without a 200 an entry gets no new
# connections.
UNREADY_AFTER_MISSES = 2
# Sound prompts share their first part with those that crash workers.
FIRST_PART = 'all'
GUILTY_PART = 'bad'
GUILTY_PERIOD_S = 0.25
TOPICS = 8
REQUEST_PAUSE_S = 0.05
REQUEST_BODY = b'x' * 100
PATH_BY_KIND = {
    record.CallKind.STREAM: '/lots/1',
    record.CallKind.BID: '/bids/1',
    record.CallKind.READ: '/reads/1',
}
# With these errors no connection was made, so the entry got nothing.
NOT_SENT = (aiohttp.ClientConnectorError,)


class Balancer:
    """Polls the readiness of entries and lists those for new connections."""

    def __init__(self, *, url_by_entry: dict[str, str]) -> None:
        self._url_by_entry = url_by_entry
        self._misses_by_entry = dict.fromkeys(
            url_by_entry, UNREADY_AFTER_MISSES
        )

    @property
    def ready_entries(self) -> list[str]:
        """The ready entries, or all entries when none is ready."""
        ready_entries = [
            n
            for n, misses in self._misses_by_entry.items()
            if misses < UNREADY_AFTER_MISSES
        ]
        return ready_entries or list(self._url_by_entry)

    async def run(self) -> None:
        """Poll all entries until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._send_request(session, name)
                        for name in self._url_by_entry
                    )
                )
                await asyncio.sleep(POLL_PERIOD_S)

    async def _send_request(
        self, session: aiohttp.ClientSession, name: str
    ) -> None:
        try:
            async with session.get(self._url_by_entry[name]) as answer:
                is_ready = answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_ready = False
        self._misses_by_entry[name] = (
            0 if is_ready else self._misses_by_entry[name] + 1
        )


class Caller:
    """A caller that sends requests in a loop to one entry.

    It chooses an entry anew only after a request that was not answered
    whole.
    """

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        observations: record.Observations,
        balancer: Balancer,
        url_by_entry: dict[str, str],
        events_per_stream: int,
    ) -> None:
        self._name = name
        self._random = random.Random(seed)
        self._writing = random.Random(f'writing of {seed}')
        self._observations = observations
        self._balancer = balancer
        self._url_by_entry = url_by_entry
        self._events_per_stream = events_per_stream
        self._entry = ''
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            # A connection is used until a request on it is not answered whole.
            self._entry = self._random.choice(self._balancer.ready_entries)
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30.0)
            async with aiohttp.ClientSession(connector=connector) as session:
                while True:
                    kind = self._random.choice(list(record.CallKind))
                    attempt = await self._send_request(session, kind)
                    self._observations.attempts.append(attempt)
                    if attempt.outcome is not record.Outcome.WHOLE:
                        break
                    await asyncio.sleep(
                        REQUEST_PAUSE_S * self._random.random()
                    )
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def request_each_kind(self, entry: str) -> list[record.Outcome]:
        """Send an entry one request of each kind; return the outcomes."""
        self._entry = entry
        async with aiohttp.ClientSession() as session:
            return [
                (await self._send_request(session, kind)).outcome
                for kind in record.CallKind
            ]

    async def _send_request(
        self, session: aiohttp.ClientSession, kind: record.CallKind
    ) -> record.Attempt:
        self._request_count += 1
        attempt_id = f'{self._name}-{self._request_count}'
        began_s = self._observations.now_s()
        self._observations.note_sent(kind)
        outcome, status, violation = await self._post_and_check(
            session, kind, attempt_id
        )
        return record.Attempt(
            attempt_id=attempt_id,
            kind=kind,
            entry=self._entry,
            began_s=began_s,
            ended_s=self._observations.now_s(),
            outcome=outcome,
            status=status,
            violation=violation,
        )

    async def _post_and_check(
        self,
        session: aiohttp.ClientSession,
        kind: record.CallKind,
        attempt_id: str,
    ) -> tuple[record.Outcome, int, str]:
        headers = platformstandin.make_caller_headers(
            attempt_id,
            budget_s=record.TIME_BUDGET_S_BY_KIND[kind],
            model='m0' if kind is record.CallKind.STREAM else '',
            parts=(FIRST_PART, f'topic{self._random.randrange(TOPICS)}'),
        )
        headers['Host'] = self._writing.choice(writings.HOSTS)
        # What is given in pieces is sent in chunks, without a length.
        data = self._writing.choice((REQUEST_BODY, _give(REQUEST_BODY)))
        target = PATH_BY_KIND[kind] + self._writing.choice(
            writings.TARGET_ENDS
        )
        status = 0
        try:
            async with (
                asyncio.timeout(record.TIME_BUDGET_S_BY_KIND[kind] + 0.5),
                session.post(
                    yarl.URL(
                        self._url_by_entry[self._entry] + target, encoded=True
                    ),
                    headers=headers,
                    data=data,
                ) as answer,
            ):
                status = answer.status
                body = await answer.read()
        except NOT_SENT:
            return record.Outcome.NOT_SENT, 0, ''
        except (aiohttp.ClientError, TimeoutError, OSError):
            return record.Outcome.CUT, status, ''
        return self._check_answer(kind, attempt_id, answer, body)

    def _check_answer(
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
        violation = ''
        if not platformstandin.is_sealed_for(answer.headers, attempt_id):
            violation = 'sealed for another request'
        elif kind is record.CallKind.STREAM:
            expected = [
                eventstreamjudge.Event(
                    event_id=str(number), data=f'piece {number}'
                )
                for number in range(1, self._events_per_stream + 1)
            ]
            if eventstreamjudge.read(
                body
            ) != expected or not writings.is_written(body, len(expected)):
                violation = f'not the events of the stream: {body[:200]!r}'
        elif body.split()[1:] != [attempt_id.encode()]:
            violation = f'not the answer of a worker: {body[:200]!r}'
        return record.Outcome.WHOLE, status, violation


async def _give(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    """Yield a body in two pieces."""
    yield body[:1]
    yield body[1:]


async def send_guilty_prompts(
    *,
    seed: int,
    observations: record.Observations,
    balancer: Balancer,
    url_by_entry: dict[str, str],
    duration_s: float,
) -> None:
    """Send streams whose prompts crash workers to all ready entries."""
    generator = random.Random(seed)
    async with (
        aiohttp.ClientSession() as session,
        asyncio.TaskGroup() as group,
    ):
        for number in range(int(duration_s / GUILTY_PERIOD_S)):
            entry = generator.choice(balancer.ready_entries)
            attempt_id = f'guilty-{number}'
            observations.entry_by_guilty_attempt[attempt_id] = entry
            observations.note_sent(record.CallKind.STREAM)
            group.create_task(
                _send_guilty(session, url_by_entry[entry], attempt_id)
            )
            await asyncio.sleep(GUILTY_PERIOD_S)


async def _send_guilty(
    session: aiohttp.ClientSession, url: str, attempt_id: str
) -> None:
    headers = platformstandin.make_caller_headers(
        attempt_id,
        budget_s=record.TIME_BUDGET_S_BY_KIND[record.CallKind.STREAM],
        model='m0',
        parts=(FIRST_PART, GUILTY_PART),
    )
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with (
            asyncio.timeout(6.0),
            session.post(
                url + PATH_BY_KIND[record.CallKind.STREAM], headers=headers
            ) as answer,
        ):
            await answer.read()


async def probe_tables(
    *,
    observations: record.Observations,
    url_by_entry: dict[str, str],
    balancer: Balancer,
    period_s: float,
    in_force_s: float,
) -> None:
    """Probe whether ready entries have the newest table in force.

    Each table adds a route of its own. A probe requests the route of the
    newest table that was acknowledged more than `in_force_s` before.
    """
    timeout = aiohttp.ClientTimeout(total=1.5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await asyncio.sleep(period_s)
            now_s = observations.now_s()
            expected = max(
                (
                    ack.version
                    for ack in observations.acknowledged_tables
                    if ack.at_s + in_force_s < now_s
                ),
                default=0,
            )
            for entry in balancer.ready_entries if expected else ():
                asked_s = observations.now_s()
                observations.note_sent(record.CallKind.READ)
                try:
                    async with session.get(
                        f'{url_by_entry[entry]}/version-{expected}/x',
                        headers=platformstandin.make_caller_headers(
                            f'probe-{entry}-{asked_s:.3f}', budget_s=1.0
                        ),
                    ) as answer:
                        status = answer.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                observations.probes.append(
                    record.Probe(
                        entry=entry,
                        asked_s=asked_s,
                        expected=expected,
                        status=status,
                    )
                )
