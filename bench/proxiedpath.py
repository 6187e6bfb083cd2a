"""Processor time of the proxied path, by library.

A worker streams events over kept connections; the client reads them with
the project's connections or with aiohttp. The server's parsers are those
that uvicorn offers.
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
PAUSE_S = 0.001  # so that events are read one by one


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


async def read_ours(address: str) -> int:
    """Read all streams with the project's connections."""
    pool = connections.ConnectionPool(
        env=environment.make_environment(), max_idle=4
    )
    events = 0
    for _ in range(REQUESTS):
        connection = await pool.acquire(address, must_be_fresh=False)
        connection.start(b'GET / HTTP/1.1\r\nHost: w\r\n\r\n')
        await connection.read_head()
        while await connection.read():
            events += 1
        pool.release(connection)
    connection.close()
    await asyncio.sleep(PAUSE_S)
    return events


async def read_aiohttp(address: str) -> int:
    """Read all streams with aiohttp."""
    events = 0
    async with aiohttp.ClientSession() as session:
        for _ in range(REQUESTS):
            async with session.get(f'http://{address}/') as answer:
                async for _ in answer.content.iter_any():
                    events += 1
    await asyncio.sleep(PAUSE_S)
    return events


async def nothing(address: str) -> int:
    """Read all streams by hand, for what the worker itself costs."""
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
    """Answer all requests with one of uvicorn's parsers."""
    server = uvicorn.Server(
        uvicorn.Config(application, port=0, http=parser, log_config=None)
    )
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    host, port = server.servers[0].sockets[0].getsockname()
    await nothing(f'{host}:{port}')
    server.should_exit = True
    await serving


async def measure(read) -> float:
    """Return the processor milliseconds of a request and its events."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    began = time.process_time()
    await read(f'{host}:{port}')
    spent_s = time.process_time() - began
    server.close()
    return spent_s / REQUESTS * 1000


async def measure_server(parser: str) -> float:
    """Return the processor milliseconds of an answer of events."""
    began = time.process_time()
    await serve_with(parser)
    return (time.process_time() - began) / REQUESTS * 1000


CASES = {
    'none, the worker alone': lambda: measure(nothing),
    'to endpoints: httptools': lambda: measure(read_ours),
    'to endpoints: aiohttp': lambda: measure(read_aiohttp),
    'from callers: uvicorn with httptools': lambda: measure_server(
        'httptools'
    ),
    'from callers: uvicorn with h11': lambda: measure_server('h11'),
}


def main() -> None:
    """Measure every library in turn, several times, and write the table."""
    spent_ms = collections.defaultdict(list)
    for _ in range(ROUNDS):
        for name, start in CASES.items():
            spent_ms[name].append(asyncio.run(start()))
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
