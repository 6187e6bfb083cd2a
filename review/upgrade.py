"""Shows what becomes of a request that offers an upgrade. No case: see
REPORT-2.md. Run after deploy/build.sh; exits with 1 if a rule was broken.

A client sends a POST with `Connection: Upgrade` and `Upgrade: h2c`, as some
HTTP libraries do with each first request, and its body 0.1 s later.
"""

import asyncio
import sys

import standin2 as standin


class Worker(standin.Worker):
    """A worker that notes the body of each request that it runs."""

    runs = []

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await standin.read_head(reader)
                body = await standin.read_body(reader, headers)
                self.runs.append((headers.get('attempt-id'), first, body))
                await self.answer(first, headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, standin.Broken):
            pass


class _NoRecord:
    def add(self, text):
        """Drop a line."""


def make_request(attempt, path, *, size, more=''):
    """Return the head of a POST."""
    return (f'POST {path} HTTP/1.1\r\nHost: {standin.HOST}\r\nAttempt-Id: '
            f'{attempt}\r\nDeadline-Ms: 1500\r\nX-Api-Key: {standin.KEY}\r\n'
            f'{more}Content-Length: {size}\r\n\r\n').encode()


async def main():
    """Send the request and show what the worker has run."""
    platform = standin.Platform(edges=1)
    record = _NoRecord()
    try:
        platform.start()
        operator = standin.Operator(platform, record)
        route = standin.make_route('r-1', '/bids/', 'non_idempotent', 'shop',
                                   max_attempts=1)
        await operator.put(standin.make_config(5, [route], ['shop']))
        worker = Worker(platform, record, name='i-00000001', service='shop',
                        zone='za', number=0)
        await worker.start()
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        edge = platform.edges[0]
        reader, writer = await asyncio.open_connection(
            edge.address, platform.front)
        body = make_request('bbbbbbbbbbbbbbbb', '/bids/inner', size=0)
        writer.write(make_request(
            'aaaaaaaaaaaaaaaa', '/bids/outer', size=len(body),
            more='Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
            'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'))
        await asyncio.sleep(0.1)
        writer.write(body)
        await asyncio.sleep(1.0)
        writer.close()
        for run in Worker.runs:
            print('the worker runs', *run)
        return [(run[0], run[2]) for run in Worker.runs] == [
            ('aaaaaaaaaaaaaaaa', body)]
    finally:
        platform.close()


sys.exit(0 if asyncio.run(main()) else 1)
