"""An entry is killed after the first event of a stream, whose id is 0; the
client goes on at another entry with Last-Event-Id: 0.
"""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MODELS = {
    'm0': {
        'size': 2,
        'traffic-share': 1.0,
        'pace': 1.0,
        'load-s': 2.0,
        'warmup-s': 0.3,
    }
}
EVENTS = 10
GAP_S = 0.15
STREAMS = 4


class Engine(standin.Worker):
    """A member of a group; as its head it streams events with ids from 0."""

    async def serve(self, target, headers, body, writer):
        attempt = self.note_arrival(headers)
        if not self.group or self.group['state'] != 'open':
            self.write(writer, 503, {'Attempt-Id': attempt, 'Not-Executed': 1})
            return
        text = headers.get('last-event-id')
        first = 0 if text is None else int(text) + 1
        self.platform.record.add(
            f'{self.name} runs {attempt}, Last-Event-Id {text}'
        )
        lines = ''.join(f'{k}: {v}\r\n' for k, v in self.seal(attempt).items())
        writer.write(
            (
                f'HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream'
                '\r\nTransfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        for number in range(first, EVENTS):
            await asyncio.sleep(GAP_S)
            part = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(part), part))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


def make_config():
    return standin.make_config(
        1,
        routes=[
            standin.make_route(
                'r-1',
                prefix='/lots/',
                kind='streaming',
                service='models',
                timeout_ms=8000,
                resumable=True,
                sticky=True,
                **{'target-gap-ms': 250, 'target-latency-ms': 400},
            )
        ],
        services=[
            standin.make_service(
                'models', **{'engine-profile': standin.make_engine(MODELS)}
            )
        ],
    )


class Client:
    """Asks for one stream, and resumes it once after a broken channel."""

    def __init__(self, *, name, record):
        self.name = name
        self.record = record
        self.pieces = []
        self.is_whole = False
        self.has_begun = asyncio.Event()

    @property
    def last_id(self):
        return self.pieces[-1] if self.pieces else None

    async def ask(self, node, attempt):
        more = {'Model': 'm0', 'Token-Usage': '100,80'}
        more['Prompt-Prefix'] = f'{abs(hash(self.name)):x}:100'
        if self.last_id is not None:
            more['Last-Event-Id'] = self.last_id
        self.record.add(
            f'client sends {attempt} to {node.name}, '
            f'Last-Event-Id {self.last_id}'
        )
        host, _, port = node.address('front').rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            standin.make_request(
                b'POST',
                b'/lots/1',
                standin.caller_headers(attempt, deadline_ms=8000, **more),
                b'{}',
            )
        )
        try:
            first, headers = await standin.read_head(reader)
            self.record.add(f'client gets {first} for {attempt}')
            if ' 200 ' not in first:
                return
            buffered = b''
            while size := int(await reader.readuntil(b'\r\n'), 16):
                buffered += (await reader.readexactly(size + 2))[:-2]
                *events, buffered = buffered.split(b'\n\n')
                for event in events:
                    number = int(event.split(b'\n')[0].partition(b':')[2])
                    self.record.add(f'client gets event {number}, {attempt}')
                    self.pieces.append(number)
                    self.has_begun.set()
            self.is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.record.add(f'the channel of {attempt} breaks')
        finally:
            writer.close()

    async def run(self, node, other):
        await self.ask(node, f'{self.name}-1')
        if not self.is_whole:
            await self.ask(other, f'{self.name}-2')


async def play(record):
    platform = standin.Platform(record=record, edges=2)
    operator = standin.Operator(platform)
    try:
        await platform.start()
        if await operator.send('/-/config/put', make_config()) != 200:
            raise standin.CannotRun('the first config was not accepted')
        for number in range(4):
            worker = Engine(
                platform=platform,
                ip=platform.draw_ip(),
                name=f'w-{number}',
                service='models',
                zone='za' if number < 2 else 'zb',
                domain='d1' if number < 2 else 'd2',
                models=MODELS,
            )
            await worker.start()
            platform.workers.append(worker)
        for _ in range(200):
            heads = [
                w
                for w in platform.workers
                if w.group and w.group['state'] == 'open'
            ]
            if len(heads) == 2:
                break
            await asyncio.sleep(0.1)
        else:
            raise standin.CannotRun('the groups were not opened')
        await platform.wait_ready()
        await asyncio.sleep(4.0)
        killed, other = platform.edges[0], platform.edges[2]
        clients = [
            Client(name=f's{number}', record=record)
            for number in range(STREAMS)
        ]
        running = [
            asyncio.create_task(client.run(killed, other))
            for client in clients
        ]
        async with asyncio.timeout(8.0):
            for client in clients:
                await client.has_begun.wait()
        if TROUBLE:
            killed.signal(signal.SIGKILL)
        await asyncio.gather(*running)
        wrong = []
        for client in clients:
            record.add(f'{client.name}: whole {client.is_whole}, '
                       f'events {client.pieces}')
            if client.is_whole and client.pieces != list(range(EVENTS)):
                wrong.append(client.name)
        if not any(client.is_whole for client in clients):
            raise standin.CannotRun('no stream was whole')
        if wrong:
            return f'ORDER: pieces missing or twice in {wrong}'
        return ''
    finally:
        await platform.close()


standin.run_case(play, HERE, trouble=TROUBLE)
