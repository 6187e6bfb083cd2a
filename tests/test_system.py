"""End-to-end tests of a site of real processes on loopback."""

import asyncio
import io
import json
import signal
import socket

import aiohttp
import pytest

from apricotthread.cli import context as contexts
from apricotthread.cli import main as cli
from apricotthread.cli import status
from apricotthread.daemon import listeners
from apricotthread.fakes import answers
from apricotthread.fakes import childprocesses
from apricotthread.fakes import engines
from demo import site as sites

# Its tests share what one fixture plays.
pytestmark = pytest.mark.xdist_group('system')

MAX_TOKENS = 120
TIMEOUT_S = 60.0


class Rig:
    """A running site and an HTTP client, on one event loop for all tests."""

    def __init__(self, *, children, folder):
        self.runner = asyncio.Runner()
        self.site = sites.Site(children=children, folder=folder)
        self.http = None

    def run(self, job):
        """Run a coroutine to its end; raises TimeoutError after TIMEOUT_S."""

        async def bounded():
            async with asyncio.timeout(TIMEOUT_S):
                return await job

        return self.runner.run(bounded())

    async def start(self):
        """Start the site and the HTTP client."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.http = aiohttp.ClientSession(connector=connector)
        await self.site.start(self.http)

    async def stop(self):
        """Stop the site and close the HTTP client."""
        await self.site.stop()
        await self.http.close()

    def entry_url(self, number=0):
        """Return the URL at which callers reach a node."""
        return self.site.nodes[number].caller_url

    async def readiness(self, number):
        """Return the status of a node's readiness check."""
        async with self.http.get(self.entry_url(number) + '/readyz') as reply:
            return reply.status

    async def post(self, url, headers=None, **kwargs):
        """Send a request; return status, headers and JSON body."""
        key = sites.ACCOUNT_KEYS['farmers']
        headers = {'Authorization': f'Bearer {key}'} | (headers or {})
        async with self.http.post(url, headers=headers, **kwargs) as reply:
            body = await reply.json(content_type=None)
            return reply.status, reply.headers, body

    async def complete(self, number, prompt, **extra):
        """Request a completion that is not streamed."""
        body = {
            'model': 'describe',
            'prompt': prompt,
            'max_tokens': MAX_TOKENS,
        } | extra
        url = f'{self.entry_url(number)}/v1/completions'
        return await self.post(url, json=body)

    async def stream(self, number, prompt, *, stop_after=None, last_id=''):
        """Request a streamed completion; return its text and last event id.

        Disconnects after `stop_after` events. With `last_id`, the stream
        resumes after the event of that id.
        """
        key = sites.ACCOUNT_KEYS['farmers']
        headers = {'Authorization': f'Bearer {key}'}
        if last_id:
            headers['Last-Event-ID'] = last_id
        body = {
            'model': 'describe',
            'prompt': prompt,
            'max_tokens': MAX_TOKENS,
            'stream': True,
        }
        text = ''
        events = 0
        async with self.http.post(
            f'{self.entry_url(number)}/v1/completions',
            json=body,
            headers=headers,
        ) as reply:
            assert reply.status == 200, await reply.text()
            async for raw in reply.content:
                line = raw.decode().rstrip()
                if line.startswith('id: '):
                    last_id = line[4:]
                elif line.startswith('data: {'):
                    data = json.loads(line[6:])
                    text += data['choices'][0]['text']
                    events += 1
                    if events == stop_after:
                        break
        return text, last_id

    async def engine_requests(self):
        """Return how many requests are running at the engines."""
        async with self.http.get(self.site.host_url + '/counters') as reply:
            return (await reply.json())['running']

    async def wait_for(self, condition):
        """Wait until the status from any node meets a condition; return it."""
        while True:
            for node_id in self.site.system.process_by_id:
                node_status = await self.site.system.fetch_status(
                    self.http, node_id
                )
                if node_status is not None and condition(node_status):
                    return node_status
            await asyncio.sleep(0.1)

    def command(self, *arguments):
        """Run the command line.

        Returns the exit status, standard output and standard error.
        """
        out = io.StringIO()
        errors = io.StringIO()
        context = contexts.Context(
            stdin=io.StringIO(),
            stdout=out,
            stderr=errors,
            operator='thu',
            default_nodes=','.join(
                node.operator_url.removeprefix('http://')
                for node in self.site.nodes
            ),
        )
        result = cli.run(list(arguments), context)
        return result, out.getvalue(), errors.getvalue()


@pytest.fixture(scope='module')
def rig(tmp_path_factory):
    """Return a site that is started once for all tests of this file."""
    with childprocesses.ChildProcesses() as children:
        started = Rig(
            children=children, folder=tmp_path_factory.mktemp('site')
        )
        started.run(started.start())
        yield started
        started.run(started.stop())


def test_every_entry_returns_whole_answers(rig):
    async def job():
        for number in range(3):
            prompt = f'lot {number}'
            code, headers, body = await rig.complete(number, prompt)
            assert code == 200
            text = body['choices'][0]['text']
            assert text == answers.make_answer(prompt, MAX_TOKENS)
            assert body['usage']['completion_tokens'] == MAX_TOKENS
            assert headers['Request-Id'] == body['id']

    rig.run(job())


def test_a_chat_request_gets_an_answer_in_chat_format(rig):
    async def job():
        body = {
            'model': 'describe',
            'messages': [{'role': 'user', 'content': 'is it dry?'}],
            'max_tokens': 5,
        }
        url = f'{rig.entry_url()}/v1/chat/completions'
        code, _, answer = await rig.post(url, json=body)
        assert code == 200
        message = answer['choices'][0]['message']
        prompt = 'user: is it dry?\nassistant: '
        assert message['content'] == answers.make_answer(prompt, 5)

    rig.run(job())


def test_a_broken_stream_resumes_at_another_entry(rig):
    async def job():
        first_part, last_id = await rig.stream(0, 'lot 9', stop_after=7)
        rest, _ = await rig.stream(1, 'lot 9', last_id=last_id)
        assert first_part + rest == answers.make_answer('lot 9', MAX_TOKENS)

    rig.run(job())


def test_a_caller_that_disconnects_frees_the_engine(rig):
    async def job():
        for number in range(3):
            await rig.stream(number, f'left {number}', stop_after=2)
        started = asyncio.get_running_loop().time()
        while await rig.engine_requests():
            await asyncio.sleep(0.02)
        answer_s = MAX_TOKENS * engines.EngineTraits().token_s
        assert asyncio.get_running_loop().time() - started < answer_s / 2

    rig.run(job())


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'code', 'label'),
    [
        ('/v1/completions', {}, '{}', 400, 'bad_request'),
        ('/v1/completions', {}, b'\xff', 400, 'bad_request'),
        ('/v1/completions', {'Authorization': 'x'}, '{}', 401,
         'unauthorized'),
        ('/v1/completions', {}, '{"model": "no", "prompt": "x"}', 404,
         'unknown_service'),
        ('/v1/completions', {'Last-Event-ID': 'x'}, '{}', 400, 'bad_request'),
        ('/v1/completions', {'Request-Timeout': 'soon'},
         '{"model": "describe", "prompt": "x"}', 400, 'bad_request'),
        ('/services/bidding/bids', {'Idempotency-Key': 'a b'}, 'x', 400,
         'bad_request'),
        ('/services/none/bids', {}, 'x', 404, 'unknown_service'),
        ('/v1/completions', {}, b'x' * 5_000_000, 413, 'body_too_large'),
    ],
)  # fmt: skip
def test_a_refusal_has_a_code_and_says_that_the_request_was_not_run(
    rig, path, headers, body, code, label
):
    async def job():
        actual_status, reply_headers, answer = await rig.post(
            rig.entry_url() + path, headers=headers, data=body
        )
        assert (actual_status, answer['code'], answer['ran']) == (
            code,
            label,
            'no',
        )
        assert answer['request_id'] == reply_headers['Request-Id']

    rig.run(job())


def test_a_call_with_an_idempotency_key_runs_once_through_any_entry(rig):
    async def job():
        replies = await asyncio.gather(
            *(
                rig.post(
                    f'{rig.entry_url(number % 3)}/services/bidding/bids/7',
                    headers={'Idempotency-Key': 'bid-7'},
                    data='bid-7',
                )
                for number in range(6)
            )
        )
        assert {code for code, _, _ in replies} == {200}, replies
        assert len({json.dumps(body) for _, _, body in replies}) == 1
        async with rig.http.get(rig.site.host_url + '/runs') as response:
            assert (await response.json())['bid-7'] == 1
        code, _, body = await rig.post(
            f'{rig.entry_url()}/services/bidding/bids/7',
            headers={'Idempotency-Key': 'bid-7'},
            data='another',
        )
        assert (code, body['code']) == (422, 'idempotency_key_reused')

    rig.run(job())


def test_an_operator_shows_diffs_and_imports_the_table(rig, tmp_path):
    result, out, _ = rig.command('status')
    assert result is status.ExitStatus.SUCCESS
    assert 'All data centres are in.' in out
    result, csv, _ = rig.command('table', 'show')
    path = tmp_path / 'table.csv'
    path.write_text(csv.replace('farmers,,,,1,240', 'farmers,,,,1,250'))
    result, out, _ = rig.command('table', 'diff', str(path))
    assert '+ name=farmers weight=1 limit=250' in out
    result, out, _ = rig.command('table', 'import', str(path), '--dry-run')
    assert 'nothing was changed' in out
    result, out, _ = rig.command('table', 'import', str(path))
    assert result is status.ExitStatus.SUCCESS
    assert 'is in force on all nodes' in out
    result, out, _ = rig.command('table', 'import', str(path))
    assert 'Nothing to change' in out


def test_a_change_based_on_an_old_version_shows_the_current_row(rig):
    arguments = ('table', 'set', 'account:arbiters')
    assert rig.command(*arguments, 'limit=200')[0] == 0
    result, _, errors = rig.command(*arguments, 'limit=9', '--base', '1')
    assert result is status.ExitStatus.CONFLICT
    assert 'limit=200' in errors


def test_a_command_sent_twice_gets_its_first_result(rig):
    arguments = ('table', 'set', 'account:arbiters', '--command-id', 'same')
    _, first, _ = rig.command(*arguments, 'limit=210')
    rig.command('table', 'set', 'account:arbiters', 'limit=220')
    result, again, _ = rig.command(*arguments, 'limit=210')
    assert result is status.ExitStatus.SUCCESS
    version = first.split('version ')[1].split()[0]
    assert f'Accepted as version {version} ' in again
    _, csv, _ = rig.command('table', 'show')
    assert 'arbiters,,,,1,220' in csv


@pytest.mark.parametrize(
    ('arguments', 'result', 'text'),
    [
        (('table', 'set', 'acme', 'limit=1'), 2, 'account:NAME'),
        (('table', 'set', 'account:acme', 'limit=x'), 2, 'whole number'),
        (('table', 'set', 'account:acme', 'color=x'), 64, 'color=x'),
        (('table', 'import', '/nowhere'), 64, '/nowhere'),
        (('data-centre', 'take-out', 'west'), 2, 'middle, north, south'),
        (('table', 'delete', 'service:bidding'), 2, 'name of a service row'),
        (('status', '--nodes', '127.0.0.1:1'), 69, 'no node answered'),
    ],
)
def test_an_error_prints_a_message_and_sets_the_exit_status(
    rig, arguments, result, text
):
    actual_status, _, errors = rig.command(*arguments)
    assert actual_status == result
    assert text in errors
    assert 'Traceback' not in errors


def test_the_audit_trail_shows_changes_and_refusals(rig):
    rig.command('table', 'set', 'account:arbiters', 'limit=230')
    rig.command('table', 'set', 'account:arbiters', 'limit=1', '--base', '1')
    _, out, _ = rig.command('audit', '--row', 'arbiters', '--by', 'thu')
    assert 'accepted' in out
    assert 'conflict' in out
    assert 'change_rows' in out


def test_a_data_centre_taken_out_gets_no_new_work(rig):
    async def job():
        while await rig.readiness(2) != 503:
            await asyncio.sleep(0.05)
        for number in range(10):
            code, _, _ = await rig.complete(0, f'out {number}')
            assert code == 200
        node_status = await rig.site.system.fetch_status(rig.http, 'south-1')
        assert sum(s.limit_requests for s in node_status.services) > 0
        assert node_status.taken_out == ['south']

    assert rig.command('data-centre', 'take-out', 'south')[0] == 0
    rig.run(job())
    result, out, _ = rig.command('data-centre', 'take-out', 'south')
    assert (result, 'was out already' in out) == (0, True)
    assert rig.command('data-centre', 'bring-back', 'south')[0] == 0


def test_a_stopped_node_finishes_its_streams_and_exits_0(rig):
    """Readiness fails first; a second SIGTERM changes nothing."""

    async def job():
        process = rig.site.system.process_by_id['south-1']
        streams = [
            asyncio.create_task(rig.stream(2, f'leaving {number}'))
            for number in range(12)
        ]
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        while await rig.readiness(2) != 503:
            assert not any(task.done() for task in streams)
        process.send_signal(signal.SIGTERM)
        for number, task in enumerate(streams):
            text, _ = await task
            assert text == answers.make_answer(f'leaving {number}', MAX_TOKENS)
        assert await process.wait() == 0
        rig.site.system.process_by_id.pop('south-1')
        await rig.site.system.start_node('south-1')
        await rig.wait_for(lambda s: all(n.alive for n in s.nodes))

    rig.run(job())


def test_a_killed_leader_loses_no_change_and_no_answer_elsewhere(rig):
    async def job():
        await rig.wait_for(lambda s: s.has_majority)
        leader = await rig.site.system.wait_for_leader(rig.http)
        names = [node.node_id for node in rig.site.nodes]
        others = [n for n, name in enumerate(names) if name != leader]
        answer_task = asyncio.create_task(rig.complete(others[0], 'goes on'))
        await rig.site.system.kill_node(leader)
        code, _, _ = await answer_task
        assert code == 200
        node_status = await rig.wait_for(
            lambda s: s.has_majority and s.leader != leader
        )
        await rig.site.system.start_node(leader)
        rejoined = await rig.wait_for(
            lambda s: s.node_id == leader and s.version >= node_status.version
        )
        assert rejoined.leader != leader

    rig.run(job())


def test_caller_connections_disable_nagles_algorithm():
    """Nagle's algorithm added 40 ms to each answer of a plain service."""

    async def job():
        listen_socket = listeners.open_socket(
            '127.0.0.1', 0, send_buffer_bytes=32768
        )
        no_delay = asyncio.get_running_loop().create_future()

        def accept(reader, writer):
            accepted = writer.get_extra_info('socket')
            option = accepted.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY
            )
            no_delay.set_result(option)
            writer.close()

        async with await asyncio.start_server(accept, sock=listen_socket):
            _, port = listen_socket.getsockname()
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            assert await no_delay
            writer.close()

    asyncio.run(job())


def test_metrics_are_in_the_prometheus_format(rig):
    async def job():
        url = rig.site.nodes[0].operator_url + '/metrics'
        async with rig.http.get(url) as response:
            text = await response.text()
        assert 'apricotthread_agreed_version ' in text
        for line in text.splitlines():
            if not line.startswith('#'):
                float(line.rsplit(' ', 1)[1])

    rig.run(job())


def test_logs_are_json_lines_without_bodies_and_keys(rig):
    for node in rig.site.nodes:
        text = rig.site.system.log_path(node.node_id).read_text()
        assert 'lot 9' not in text
        assert sites.ACCOUNT_KEYS['farmers'] not in text
        for line in text.splitlines():
            json.loads(line)
