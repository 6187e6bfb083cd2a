"""Measures the processor time of proxied streams, by HTTP library.

A worker streams events over keep-alive connections; the client reads them
with the project's connections or with aiohttp. The server's parsers are
those that uvicorn offers.
"""

import asyncio
import collections
import statistics
import time

import aiohttp
import uvicorn

from apricotthread.base import environment
from apricotthread.endpoints import connections
from bench import rig

ROUNDS = 5
REQUESTS = 200
EVENTS = 30
EVENT = b'id: 1\ndata: ' + b'x' * 60 + b'\n\n'
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
CHUNK = b'%x\r\n%s\r\n' % (len(EVENT), EVENT)
PAUSE_S = 0.001  # between events, so that they are read one by one


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request with a stream of events."""
    try:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD)
            for _ in range(EVENTS):
                writer.write(CHUNK)
                await asyncio.sleep(PAUSE_S)
            writer.write(b'0\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def read_with_project(address: str) -> int:
    """Read all streams with the project's connections."""
    pool = connections.ConnectionPool(
        env=environment.make_environment(), max_idle=4
    )
    events = 0
    for _ in range(REQUESTS):
        connection = await pool.acquire(address, must_be_fresh=False)
        connection.measure_case(b'GET / HTTP/1.1\r\nHost: w\r\n\r\n')
        await connection.read_head()
        while await connection.read():
            events += 1
        pool.release(connection)
    connection.close()
    await asyncio.sleep(PAUSE_S)
    return events


async def read_with_aiohttp(address: str) -> int:
    """Read all streams with aiohttp."""
    events = 0
    async with aiohttp.ClientSession() as session:
        for _ in range(REQUESTS):
            async with session.get(f'http://{address}/') as answer:
                async for _ in answer.content.iter_any():
                    events += 1
    await asyncio.sleep(PAUSE_S)
    return events


async def read_raw(address: str) -> int:
    """Read all streams without an HTTP library, as a baseline."""
    reader, writer = await asyncio.open_connection(*address.split(':'))
    events = 0
    for _ in range(REQUESTS):
        writer.write(b'GET / HTTP/1.1\r\nHost: w\r\n\r\n')
        data = b''
        while not data.endswith(b'0\r\n\r\n'):
            data = await reader.read(65536)
            events += 1
    writer.close()
    await asyncio.sleep(PAUSE_S)
    return events


async def application(scope, receive, send) -> None:
    """Answer with a stream of events, as an entry does."""
    if scope['type'] != 'http':
        return
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    for _ in range(EVENTS):
        await send(
            {'type': 'http.response.body', 'body': EVENT, 'more_body': True}
        )
    await send({'type': 'http.response.body', 'body': b''})


async def serve_with(parser: str) -> None:
    """Serve all requests with one of uvicorn's parsers."""
    server = uvicorn.Server(
        uvicorn.Config(application, port=0, http=parser, log_config=None)
    )
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    host, port = server.servers[0].sockets[0].getsockname()
    await read_raw(f'{host}:{port}')
    server.should_exit = True
    await serving


async def measure(read) -> float:
    """Return the processor time of a request and its events in ms."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    cpu_before_s = time.process_time()
    await read(f'{host}:{port}')
    spent_s = time.process_time() - cpu_before_s
    server.close()
    return spent_s / REQUESTS * 1000


async def measure_server(parser: str) -> float:
    """Return the processor time of an answer and its events in ms."""
    cpu_before_s = time.process_time()
    await serve_with(parser)
    return (time.process_time() - cpu_before_s) / REQUESTS * 1000


CASES = {
    'none, the worker alone': lambda: measure(read_raw),
    'to endpoints: httptools': lambda: measure(read_with_project),
    'to endpoints: aiohttp': lambda: measure(read_with_aiohttp),
    'from callers: uvicorn with httptools': lambda: measure_server(
        'httptools'
    ),
    'from callers: uvicorn with h11': lambda: measure_server('h11'),
}


def main() -> None:
    """Measure all libraries in turn, ROUNDS times, and write the results."""
    spent_ms = collections.defaultdict(list)
    for _ in range(ROUNDS):
        for name, measure_case in CASES.items():
            spent_ms[name].append(asyncio.run(measure_case()))
    rig.write_rows(
        'proxiedpath',
        [
            {
                'library': name,
                'least ms': round(min(values), 3),
                'median ms': round(statistics.median(values), 3),
            }
            for name, values in spent_ms.items()
        ],
    )


if __name__ == '__main__':
    main()
