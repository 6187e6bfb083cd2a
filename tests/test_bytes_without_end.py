"""Workers whose answers do not end, before real nodes.

Memory is that of the processes. What such a worker sends counts as no whole
answer, wherever its bytes stand.
"""

import asyncio
import collections
import contextlib
import pathlib
import re

import aiohttp

from tests import platformstandin

REQUESTS_PER_S = 40
PLAYED_S = 10.0
ALL_KINDS_TIMEOUT_S = 120.0  # it takes a second or so for each kind
BUDGET_S = 2.0
BUSY_S = 0.15
# What a node may hold for 20 requests at a time: what it reads ahead of an
# answer (64 KiB), what it keeps of it to repeat the request (256 KiB), and
# the buffers of both sockets.
MAX_GROWTH_KIB = 20 * 512
PART = b'HTTP/1.1 200 OK\r\nX-Filler: ' + b'x' * 4000


def make_endless(kind, head):
    """Return how an answer begins, and the part that it repeats."""
    match kind:
        case 'head':
            return b'HTTP/1.1 200 OK\r\n', b'X-Filler: more\r\n' * 300
        case 'header':
            return b'HTTP/1.1 200 OK\r\nX-Filler: ', b'x' * 4000
        case 'interim answers':
            return b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100
        case 'body':
            return head + b'\r\n', PART
        case 'chunks':
            return (
                head + b'Transfer-Encoding: chunked\r\n\r\n',
                b'fa0\r\n' + b'y' * 4000 + b'\r\n',
            )
        case 'chunk extension':
            return (
                head + b'Transfer-Encoding: chunked\r\n\r\n2;',
                b'x' * 4000,
            )
        case 'trailers':
            return (
                head + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n',
                b'X-Filler: more\r\n' * 300,
            )
        case 'after the answer':
            return head + b'Content-Length: 2\r\n\r\nok', PART
        case 'no answer':
            return b'', b'\x00\xff' * 2000


KINDS = (
    'head',
    'header',
    'interim answers',
    'body',
    'chunks',
    'chunk extension',
    'trailers',
    'after the answer',
    'no answer',
)


class EndlessWorker(platformstandin.Worker):
    """Answers all, also control nodes, with bytes without end, in turn."""

    def __init__(self, *, answers_by_kind, **values):
        super().__init__(**values)
        self.answers_by_kind = answers_by_kind

    async def _answer(self, target, headers, body, writer):
        if target == platformstandin.ORDER_PATH:
            # It joins groups, so that streams reach it.
            await super()._answer(target, headers, body, writer)
            return
        kind = KINDS[self.answers_by_kind.total() % len(KINDS)]
        self.answers_by_kind[kind] += 1
        headers.setdefault('attempt-id', 'none')
        begin, part = make_endless(kind, self.make_head(headers))
        writer.write(begin)
        while True:
            writer.write(part)
            await writer.drain()
            if writer.is_closing():
                raise ConnectionError


def read_memory_kib(process):
    """Return the most memory that a process has held, in KiB."""
    text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1])


async def call(deployment, number, outcomes):
    """Send a call or a stream; count what comes of it."""
    host = deployment.entries[number % len(deployment.entries)]
    attempt = f'a{number}'
    path, model = ('/lots/1', 'm0') if number % 4 == 0 else ('/reads/1', '')
    headers = platformstandin.make_caller_headers(
        attempt, budget_s=BUDGET_S, model=model
    )
    outcome = 'nothing'
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        timeout = aiohttp.ClientTimeout(total=BUDGET_S + 1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.post(
                f'http://{host}:{deployment.caller_port}{path}',
                headers=headers,
            ) as answer:
                text = await answer.read()
                outcome = answer.status
                if answer.status == 200 and b'piece 12' not in text:
                    sound = re.fullmatch(
                        rb'sound-\d %b' % attempt.encode(), text
                    )
                    # A whole answer, before what came after it.
                    is_whole = sound or text == b'ok'
                    outcome = 200 if is_whole else 'wrong'
    outcomes[path, outcome] += 1


def test_bytes_without_end_neither_fill_the_memory_nor_end_a_node(
    children, tmp_path
):
    """Guards against one worker that costs all callers of a node theirs."""
    deployment = platformstandin.Deployment(children=children, folder=tmp_path)
    outcomes = collections.Counter()
    answers_by_kind = collections.Counter()
    growth_kib = {}

    async def add_worker(kind, **values):
        worker = kind(controls=deployment.controls, **values)
        await worker.start()
        deployment.workers.append(worker)
        return worker

    async def main():
        try:
            await deployment.start()
            await deployment.call_control(
                platformstandin.PUT_TABLE_PATH,
                platformstandin.make_config(1, group_size=1),
            )
            for number in range(3):
                for service in ('bids', 'models'):
                    worker = await add_worker(
                        platformstandin.Worker,
                        name=f'sound-{number}'
                        if service == 'bids'
                        else f'engine-{number}',
                        service=service,
                        domain='rack',
                    )
                    # They have so much to do that all workers get requests.
                    worker.gap_s = BUSY_S
            await asyncio.sleep(3.0)
            await press(1.0)
            outcomes.clear()
            before = {
                host: read_memory_kib(process)
                for host, process in deployment.process_by_host.items()
            }
            for service in ('bids', 'models'):
                await add_worker(
                    EndlessWorker,
                    answers_by_kind=answers_by_kind,
                    name=f'endless-{service}',
                    service=service,
                    domain='rack',
                )
            await press(PLAYED_S)
            async with asyncio.timeout(ALL_KINDS_TIMEOUT_S):
                # An endpoint that fails is left out for a while, and comes
                # back.
                while answers_by_kind.keys() != set(KINDS):
                    await press(1.0)
            for host, process in deployment.process_by_host.items():
                assert process.returncode is None, host
                growth_kib[host] = read_memory_kib(process) - before[host]
        finally:
            await deployment.close()

    async def press(seconds):
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(seconds * REQUESTS_PER_S)):
                tasks.create_task(call(deployment, number, outcomes))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    asyncio.run(main())
    assert answers_by_kind.keys() == set(KINDS)
    assert max(growth_kib.values()) <= MAX_GROWTH_KIB
    reads = {key: n for key, n in outcomes.items() if key[0] == '/reads/1'}
    assert not any(outcome == 'wrong' for _, outcome in outcomes)
    assert reads['/reads/1', 200] >= 0.95 * sum(reads.values())
