"""Measures the processor time of a request and of a streamed event.

A real listener, gateway and connection to a worker run in this process. The
caller and the worker run in another one, so that theirs does not count.
"""

import asyncio
import json
import statistics
import subprocess
import sys
import time

import msgspec

from apricotthread.base import environment
from apricotthread.base import pauses
from apricotthread.control import routetables
from apricotthread.daemon import listeners
from apricotthread.endpoints import connections
from apricotthread.gateway import application
from apricotthread.platform import callers
from bench import rig
from tests import platformstandin
from tests import test_forwarder

ROUNDS = 7
REQUESTS = 400
EVENTS = 400
EVENT_PAUSE_S = 0.0005  # so that events are read one by one
EVENT = b'id: %d\ndata: ' + b'x' * 120 + b'\n\n'
ATTEMPT_ID = 'r-1'
ANSWER_HEAD = platformstandin.make_answer_head(ATTEMPT_ID)


def write_request(path: str) -> bytes:
    """Return a caller's request on a route, as bytes."""
    headers = platformstandin.make_caller_headers(ATTEMPT_ID, budget_s=8.0)
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'POST /{path}/1 HTTP/1.1\r\n{lines}Content-Length: 2\r\n\r\n'
    return head.encode() + b'hi'


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request of a connection, with events on one route."""
    try:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(2)
            if not head.startswith(b'POST /streams/'):
                writer.write(ANSWER_HEAD + b'Content-Length: 2\r\n\r\nok')
                continue
            writer.write(ANSWER_HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
            for number in range(EVENTS):
                event = EVENT % number
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(b'0\r\n\r\n')
    except (
        asyncio.IncompleteReadError,
        asyncio.CancelledError,
        ConnectionError,
    ):
        writer.close()


async def run_peers() -> None:
    """Run the worker, and send requests as told on standard input."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    print('%s:%d' % server.sockets[0].getsockname(), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        order = json.loads(line)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', order['port']
        )
        end = b'\r\n\r\nok' if order['path'] == 'calls' else b'0\r\n\r\n'
        for _ in range(order['count']):
            writer.write(write_request(order['path']))
            received = b''
            while not received.endswith(end):
                part = await reader.read(65536)
                if not part:
                    raise ConnectionError('the gateway has closed')
                received = received[-64:] + part
        writer.close()
        print('done', flush=True)


def make_table() -> routetables.RouteTable:
    """Return a table with a route for calls and one for streams."""
    call = msgspec.structs.replace(
        test_forwarder.ROUTE,
        host='a.example',
        prefix='/calls/',
        timeout_s=8.0,
        is_public=True,
    )
    stream = msgspec.structs.replace(
        call, name='streams', prefix='/streams/', is_stream=True
    )
    return routetables.RouteTable(
        version=1, routes=(call, stream), services=(test_forwarder.SERVICE,)
    )


async def measure() -> dict[str, float]:
    """Return the processor time of a request and of an event in us."""
    peers = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bench.wirecost',
        'peers',
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    worker = (await peers.stdout.readline()).decode().strip()
    env = environment.make_environment()
    pool = connections.ConnectionPool(env=env, max_idle=4)
    forward = test_forwarder.make_forwarder(env, pool, [worker])
    dialect = callers.PlatformDialect()
    forward._dialect.__dict__.update(
        build_request=dialect.build_request,
        parse_answer=dialect.parse_answer,
        answer_headers=dialect.answer_headers,
    )
    gateway = application.GatewayApplication(
        env=env,
        fleet=None,
        dialect=dialect,
        forward=forward,
        pause_detector=pauses.PauseDetector(env=env),
    )
    gateway.set_table(make_table())
    listening = listeners.open_socket('127.0.0.1', 0, send_buffer_bytes=65536)
    listener = listeners.make_listener(gateway)
    task = asyncio.create_task(listeners.run_listener(listener, listening))
    port = listening.getsockname()[1]

    async def spend(path: str, count: int) -> float:
        started = time.process_time()
        order = {'path': path, 'count': count, 'port': port}
        peers.stdin.write(json.dumps(order).encode() + b'\n')
        if await peers.stdout.readline() != b'done\n':
            raise RuntimeError('the peers have failed')
        return time.process_time() - started

    await spend('calls', REQUESTS // 4)
    request_s = await spend('calls', REQUESTS) / REQUESTS
    event_s = (await spend('streams', 2) - 2 * request_s) / (2 * EVENTS)
    peers.stdin.close()
    await peers.wait()
    listeners.stop_listener(listener)
    await task
    pool.close()
    return {'request': request_s * 1e6, 'event': event_s * 1e6}


def main() -> None:
    """Measure ROUNDS times and write the results."""
    rounds = [asyncio.run(measure()) for _ in range(ROUNDS)]
    rig.write_rows(
        'wirecost',
        [
            {
                'of': name,
                'least us': round(min(spent[name] for spent in rounds), 1),
                'median us': round(
                    statistics.median(spent[name] for spent in rounds), 1
                ),
            }
            for name in ('request', 'event')
        ],
    )


if __name__ == '__main__':
    if sys.argv[1:] == ['peers']:
        asyncio.run(run_peers())
    else:
        main()
