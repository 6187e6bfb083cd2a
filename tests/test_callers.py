"""The HTTP interface for callers refuses bad requests with error codes."""

import json

import hypothesis
from hypothesis import strategies

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import tables
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import localsystem
from apricotthread.fakes import virtualclock

KEY = 'key'
NAMES = [
    'authorization',
    'idempotency-key',
    'last-event-id',
    'request-timeout',
    'request-kind',
    'content-type',
]
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.one_of(
            strategies.binary(max_size=30),
            strategies.sampled_from(
                [b'Bearer key', b'nan', b'-1', b'1e999', b'abcdefgh:9']
            ),
        ),
    ),
    max_size=6,
)
PATHS = strategies.sampled_from(
    ['/v1/completions', '/v1/chat/completions', '/services/bidding/bids', '/x']
)
BODIES = strategies.one_of(
    strategies.binary(max_size=60),
    strategies.sampled_from(
        [
            b'{"model": "describe", "prompt": "x", "max_tokens": -1}',
            b'{"model": "describe", "prompt": "\\ud800"}',
            b'{"model": "describe", "messages": []}',
            b'[' * 50,
        ]
    ),
)


async def send_request(asgi, path, headers, body):
    """Send one request over ASGI; return the answer's status and body."""
    sent = []
    received = iter(
        [{'type': 'http.request', 'body': body, 'more_body': False}]
    )

    async def receive():
        return next(received, {'type': 'http.disconnect'})

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'asgi': {'version': '3.0'},
        'http_version': '1.1',
        'method': 'POST',
        'scheme': 'http',
        'path': path,
        'raw_path': path.encode(),
        'root_path': '',
        'query_string': b'',
        'headers': [(name.encode(), value) for name, value in headers],
        'client': ('127.0.0.1', 1),
        'server': ('127.0.0.1', 2),
    }
    await asgi(scope, receive, send)
    data = b''.join(m.get('body', b'') for m in sent[1:])
    return sent[0]['status'], data


async def start_node(env):
    """Return a one-node cluster with a table, and its caller application."""
    cluster = clusters.MemoryCluster(env=env, voters=1, queue_wait_s=0.1)
    cluster.start_all()
    await cluster.wait_for_leader()
    rows = [
        tables.ServiceRow(name='describe', type='model'),
        tables.ServiceRow(name='bidding', type='plain'),
        tables.AccountRow(name='acme', key_sha256=localsystem.digest_key(KEY)),
    ]
    change = commands.ChangeRows(
        origin=commands.Origin(
            command_id='c', operator='o', source='s', wall_time_s=0.0
        ),
        base_version=0,
        edits=[
            commands.RowEdit(key=tables.key_of(row), row=row) for row in rows
        ],
    )
    node = cluster.node_by_id['v1']
    await node.proposer.propose(change, timeout_s=5.0)
    await env.timer.sleep(5.0)
    return cluster, node.make_applications()[node.settings.caller_port]


@hypothesis.given(
    requests=strategies.lists(
        strategies.tuples(PATHS, HEADERS, BODIES), min_size=1, max_size=5
    )
)
def test_random_headers_and_bodies_get_typed_refusals(requests):
    async def main():
        cluster, asgi = await start_node(virtualclock.make_environment())
        try:
            for path, headers, body in requests:
                status, answer = await send_request(asgi, path, headers, body)
                if path == '/x':
                    assert status == 404
                    continue
                refusal = json.loads(answer)
                code = errors.CODE_BY_LABEL[refusal['code']]
                assert status == code.http_status
                assert refusal['ran'] == 'no'
        finally:
            await cluster.stop_all()

    virtualclock.run(main())


def test_headers_over_the_limit_are_refused(env):
    async def main():
        cluster, asgi = await start_node(env)
        headers = [('x-large', b'x' * 40000)]
        status, answer = await send_request(
            asgi, '/v1/completions', headers, b'{}'
        )
        assert status == 413
        assert json.loads(answer)['code'] == 'body_too_large'
        await cluster.stop_all()

    virtualclock.run(main())
