"""A stand-in for the users' platform, with real nodes on loopback addresses.

Control nodes have the addresses 127.0.1.N and entries 127.0.2.N. Workers
have 127.0.0.1, each with a port of its own.
"""

import asyncio
import collections
import contextlib
import copy
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import sys
import time

import aiohttp

from apricotthread.fakes import localsystem
from tests import test_platform

SETTINGS = """
[node]
id = {host}
data_centre = {data_centre}
data_folder = {data}

[listen]
host = {host}
{more}
caller_address = {caller}
readiness_address = {ready}
control_address = {control}

[discovery]
seeds = {seeds}
first_start = {first}
data_centres = {data_centres}
peer_port = {port}
roles = {role}

[timing]
heartbeat_s = 0.3
lease_s = 2.0
endpoint_lease_s = 2.9
stall_s = 5.5
drain_s = 7.0
ready_grace_s = {grace}

[fleet]
tolerated_losses = 1
log_lines_per_s = {lines}
"""
READY_GRACE_S = 0.5
READY_PATH = '/-/ready'
PUT_TABLE_PATH = '/-/config/put'
GET_TABLE_PATH = '/-/config/get'
REPORT_PATH = '/-/report'
ORDER_PATH = '/-/order'
# What control nodes call at a worker.
CONTROL_PATHS = (REPORT_PATH, ORDER_PATH)
ACCEPTED = 202
PRECONDITION_FAILED = 412
NOT_RUN = 503
STOP_TIMEOUT_S = 15.0
DAEMON = [sys.executable, '-m', 'apricotthread.daemon.main']
PAUSE_POLL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order that a control node sends to a worker."""

    kind: str
    fence: int = 0
    group_id: str = ''
    epoch: int = 0
    member_ids: tuple[str, ...] = ()
    model: str = ''

    @property
    def group_key(self):
        """The identity of a group membership: group, epoch and members."""
        return (self.group_id, self.epoch, self.member_ids)


@dataclasses.dataclass(kw_only=True)
class Place:
    """A worker's place in a group."""

    group_id: str
    epoch: int
    rank: int
    state: str


def read_order(body):
    """Parse the order in the body of a request."""
    order = json.loads(body)
    return Order(
        kind=order['operation'],
        fence=order.get('fence', 0),
        group_id=order.get('group', ''),
        epoch=order.get('epoch', 0),
        member_ids=tuple(order.get('member-nodes', ())),
        model=order.get('model-id', ''),
    )


def make_evacuation_path(data_centre, *, out):
    """Return the path that takes a data centre out or brings it back."""
    return f'/-/evacuations/{data_centre}/{"start" if out else "end"}'


def make_caller_headers(attempt_id, *, budget_s, model='', key='k1', parts=()):
    """Return the headers of a caller's request.

    Its prompt has the shared `parts`, if any, and one of its own.
    """
    headers = {
        'Host': 'a.example',
        'Deadline-Ms': str(int(budget_s * 1000)),
        'X-Api-Key': key,
        'Attempt-Id': attempt_id,
    }
    if model:
        headers.update({'Model': model, 'Token-Usage': '10,80'})
    if parts:
        headers['Prompt-Prefix'] = make_prompt(*parts, f'own-{attempt_id}')
    return headers


def make_prompt(*parts):
    """Return the header value of a prompt of these parts."""
    return ','.join(f'{part}:100' for part in parts)


def read_shared_parts(headers):
    """Return the parts of a prompt but its last, as a worker got them."""
    entries = headers.get('prompt-prefix', '').split(',')
    return [entry.partition(':')[0] for entry in entries[:-1]]


def is_sealed_for(headers, attempt_id):
    """Whether an answer carries a worker's seal for this attempt."""
    return headers.get('Response-Seal') == f'seal-{attempt_id}'


def make_config(version, *, keys=('k1',), group_size=3, extra_prefixes=()):
    """Return a configuration with one model and one plain service.

    Extra routes are public and lead to the plain service.
    """
    config = copy.deepcopy(test_platform.CONFIG)
    config['version'] = version
    stream, bid = config['routes']
    del stream['traffic-split']
    stream['service'] = 'models'
    read = {**bid, 'kind': 'idempotent', 'max-attempts': 2}
    config['routes'].append({**read, 'name': 'r-3', 'path-prefix': '/reads/'})
    config['routes'].extend(
        {**read, 'name': f'extra{prefix}', 'path-prefix': prefix}
        | {'public': True}
        for prefix in extra_prefixes
    )
    config['tenants'][0]['api-keys'] = list(keys)
    (model,) = config['services'][0]['engine-profile']['model-ids']
    model.update({'size': group_size, 'traffic-share': 1.0})
    return json.dumps(config).encode()


def make_event(number):
    """Return an event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'


class Worker:
    """A worker of the platform: a plain one, or a VM for engine groups."""

    def __init__(
        self, *, name, service, controls, domain='', data_centre='north'
    ):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.domain = domain
        self.controls = controls
        self.address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.heartbeat_period_s = 0.3
        self.place = None
        self.staged = []
        self.run_count_by_attempt = collections.Counter()
        self.cut_attempts = []
        # Whether nothing of it reaches the control nodes, or theirs it.
        self.is_silent = False
        self.events = 12
        self.gap_s = 0.02
        # A silence of a sound engine, before the event with this number.
        self.silent_before = 0
        self.silent_s = 0.0
        self.is_paused = False
        # How many requests a second it says that it takes, if it does.
        self.limit_per_s = None
        # Whether it says that it leaves, in all answers.
        self.is_leaving = False
        # Whether it refuses all requests, and for how long it wants none.
        self.refuses = False
        self.busy_s = None
        self.orders = []
        self._server = None
        self._tasks = set()

    async def start(self):
        """Start to listen and to send heartbeats."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self._spawn(self._send_heartbeats())

    def stop(self):
        """Stop listening and sending."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self):
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(self.heartbeat_period_s)

    async def _send_heartbeat(self):
        if self.is_silent:
            return
        self.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.data_centre,
            'version': 'v1',
            'slot-count': 8,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            'prestaged': self.staged,
            'fault-domain': self.domain,
        }
        if self.place is not None:
            body['group'] = {
                'name': self.place.group_id,
                'epoch': self.place.epoch,
                'rank': self.place.rank,
                'state': self.place.state,
            }
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=0.5)
        ) as session:
            for control in self.controls:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f'http://{control}/-/instances/{self.name}/heartbeat'
                    async with session.post(url, json=body) as answer:
                        if answer.status == 200:
                            return

    def _accept(self, reader, writer):
        self._spawn(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *rest = head.decode().split('\r\n')
                headers = {
                    key.lower(): value.strip()
                    for key, _, value in (
                        line.partition(':') for line in rest if line
                    )
                }
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split()
                await self._answer(target, headers, body, writer)
        writer.close()

    async def _answer(self, target, headers, body, writer):
        while self.is_silent and target in CONTROL_PATHS:
            await asyncio.sleep(0.05)
        if headers.get('expect-instance', self.name) != self.name:
            self._write(writer, 421, {'Instance-Id': self.name})
        elif target == REPORT_PATH:
            self._write(writer, 200, {}, json.dumps({'pace': 1.0}))
        elif target == ORDER_PATH:
            status = self._handle_order(read_order(body))
            self._write(writer, status, {})
            self._spawn(self._send_heartbeat())
        else:
            await self._run(headers, writer)
        await writer.drain()

    def _handle_order(self, order):
        """Carry out an order; return the HTTP status of the answer."""
        self.orders.append(order)
        match order.kind:
            case 'join':
                self.staged = [order.model]
                self.place = Place(
                    group_id=order.group_id,
                    epoch=order.epoch,
                    rank=order.member_ids.index(self.name),
                    state='ready',
                )
            case 'open':
                self.place.state = 'open'
            case 'close':
                self.place.state = 'ready'
            case 'leave':
                self.place = None
            case 'phase':
                self.staged = [order.model]
        return ACCEPTED

    async def _run(self, headers, writer):
        attempt = headers['attempt-id']
        self.run_count_by_attempt[attempt] += 1
        if self.refuses:
            self._reject(writer, headers)
            return
        if 'model' not in headers:
            sealed_headers = self._seal(headers)
            await asyncio.sleep(self.gap_s)
            await self._outlast_pause()
            self._write(writer, 200, sealed_headers, f'{self.name} {attempt}')
            return
        writer.write(
            self.make_head(headers) + b'Content-Type: text/event-stream'
            b'\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        start = int(headers.get('last-event-id', 0)) + 1
        try:
            await self._send_events(attempt, start, writer)
        except ConnectionError:
            self.cut_attempts.append((attempt, time.monotonic()))
            raise
        writer.write(b'0\r\n\r\n')

    def _seal(self, headers):
        """Return the headers of an answer of this worker."""
        attempt = headers['attempt-id']
        sealed_headers = {
            'Attempt-Id': attempt,
            'Response-Seal': f'seal-{attempt}',
            'Instance-Load': '1,0,8',
        }
        if self.limit_per_s:
            sealed_headers['Server-Limit'] = str(self.limit_per_s)
            self._note_named(attempt)
        return sealed_headers | self._tell_leaving(attempt)

    def _tell_leaving(self, attempt):
        """Return the header by which a worker says that it leaves."""
        return {'Server-Leaving': '1'} if self.is_leaving else {}

    def _note_named(self, attempt):
        """Do something when an answer names a limit."""

    async def _outlast_pause(self):
        while self.is_paused:
            await asyncio.sleep(PAUSE_POLL_S)

    async def _send_events(self, attempt, start, writer):
        """Send the events of a stream from a number on."""
        for number in range(start, self.events + 1):
            if number == self.silent_before:
                await asyncio.sleep(self.silent_s)
            await self._outlast_pause()
            await self._send_part(writer, self.write_event(number))
            await asyncio.sleep(self.gap_s)

    def write_event(self, number):
        """Return an event of a stream, in the writing of this worker."""
        return make_event(number)

    def write_header(self, name, value):
        """Return a header line, in the writing of this worker."""
        return f'{name}: {value}\r\n'

    async def _send_part(self, writer, part):
        """Send a part of a stream; raise once its reader has left."""
        writer.write(f'{len(part):x}\r\n{part}\r\n'.encode())
        await writer.drain()
        if writer.is_closing():
            raise ConnectionError

    def get_attempt_id(self, headers):
        """Return the id of a caller's attempt from its headers."""
        return headers['attempt-id']

    def make_head(self, headers):
        """Return the beginning of the head of a sound answer, as bytes."""
        lines = ''.join(
            self.write_header(name, value)
            for name, value in self._seal(headers).items()
        )
        return f'HTTP/1.1 200 OK\r\n{lines}'.encode()

    def _reject(self, writer, headers):
        """Answer that a request was not run and never will be."""
        answer_headers = {
            'Not-Executed': '1',
            'Attempt-Id': headers['attempt-id'],
            **self._tell_leaving(headers['attempt-id']),
        }
        if self.busy_s is not None:
            answer_headers['Retry-After'] = str(self.busy_s)
        self._write(writer, NOT_RUN, answer_headers)

    def _send_second_answer(self, writer, headers):
        """Send a second answer to a request that has been answered."""
        answer_headers = {
            'Attempt-Id': headers['attempt-id'],
            'Response-Seal': 'again',
        }
        self._write(writer, 200, answer_headers, 'a second answer')

    async def _announce_bytes(self, body, *, name):
        """Send arbitrary bytes as the heartbeat of any worker."""
        host, port = self.controls[0].rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f'POST /-/instances/{name}/heartbeat HTTP/1.1\r\n'
            f'Host: {host}\r\nContent-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(), 0.5)
        writer.close()

    def _write(self, writer, status, headers, body=''):
        lines = ''.join(self.write_header(k, v) for k, v in headers.items())
        writer.write(
            (
                f'HTTP/1.1 {status} X\r\n{lines}'
                f'Content-Length: {len(body)}\r\n\r\n{body}'
            ).encode()
        )


def make_answer_head(attempt_id):
    """Return the beginning of the head of a worker's answer, as bytes."""
    worker = Worker(name='worker', service='bids', controls=())
    return worker.make_head({'attempt-id': attempt_id})


class Deployment:
    """Nodes that run as processes, with workers in this process.

    `children` owns the processes, and ends those that were not stopped.
    """

    def __init__(
        self,
        *,
        children,
        folder: pathlib.Path,
        controls=3,
        entries=2,
        fleet='',
    ):
        self.children = children
        self.folder = folder
        # Further lines of the last section of the settings.
        self.fleet = fleet
        (
            self.peer_port,
            self.control_port,
            self.caller_port,
            self.ready_port,
            self.metrics_port,
        ) = localsystem.find_free_ports(5)
        self.control_hosts = [f'127.0.1.{n + 1}' for n in range(controls)]
        self.entries = [f'127.0.2.{n + 1}' for n in range(entries)]
        self.controls = [
            f'{h}:{self.control_port}' for h in self.control_hosts
        ]
        self.process_by_host = {}
        self.workers = []

    async def start_node(
        self, host, *, first=True, seeds=None, lines_per_s=100, stdout=None
    ):
        """Start a node; its address decides whether it is a control node.

        Its log lines go to a file, or to `stdout` if that is given.
        """
        is_control = host.startswith('127.0.1.')
        data = self.folder / f'data-{host}'
        path = self.folder / f'{host}.ini'
        path.write_text(
            SETTINGS.format(
                host=host,
                data=data if is_control else '',
                caller='' if is_control else f'{host}:{self.caller_port}',
                ready='' if is_control else f'{host}:{self.ready_port}',
                control=f'{host}:{self.control_port}' if is_control else '',
                seeds=','.join(seeds or self.controls[:3]),
                first='true' if first else 'false',
                port=self.peer_port,
                role='control' if is_control else 'entry',
                data_centre='north',
                data_centres='north,',
                more=f'metrics_address = {host}:{self.metrics_port}',
                grace=READY_GRACE_S,
                lines=lines_per_s,
            )
            + self.fleet
        )
        with open(self.folder / f'{host}.log', 'ab') as log:
            self.process_by_host[host] = await self.children.start(
                *self._make_command(host, path),
                stdout=stdout or log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def _make_command(self, host, path):
        """Return the command that starts a node, with its settings."""
        return [*DAEMON, '--settings', str(path)]

    async def start(self):
        """Start all nodes; return once the entries take connections."""
        for host in (*self.control_hosts, *self.entries):
            await self.start_node(host)
        for host in self.entries:
            await self.wait_until(lambda host=host: self._listens(host))

    async def _listens(self, host):
        """Whether an entry takes connections of callers."""
        try:
            _, writer = await asyncio.open_connection(host, self.caller_port)
        except OSError:
            return False
        writer.close()
        return True

    async def add_worker(self, **values):
        """Start a worker."""
        worker = Worker(controls=self.controls, **values)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def stop_node(self, host, *, signal_number=signal.SIGTERM):
        """Send a signal to a node and return its exit status."""
        process = self.process_by_host.pop(host)
        process.send_signal(signal_number)
        return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    def wipe(self, host):
        """Delete the data folder of a node that is down."""
        shutil.rmtree(self.folder / f'data-{host}')

    async def close(self):
        """Stop all workers and kill all nodes."""
        for worker in self.workers:
            worker.stop()
        for process in self.process_by_host.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def call_control(self, path, body=None, *, within_s=30.0):
        """Call the control nodes in turn until one answers without a 5xx.

        Return status and body. Raises AssertionError after `within_s`.
        """
        deadline = time.monotonic() + within_s
        last_result = 'nothing'
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.5)
        ) as session:
            while time.monotonic() < deadline:
                for control in self.controls:
                    method = 'GET' if body is None else 'POST'
                    try:
                        async with session.request(
                            method, f'http://{control}{path}', data=body
                        ) as answer:
                            text = await answer.read()
                            last_result = f'{answer.status} {text[:200]}'
                            if answer.status < 500:
                                return answer.status, text
                    except (aiohttp.ClientError, TimeoutError) as error:
                        last_result = repr(error)
                await asyncio.sleep(0.1)
        raise AssertionError(f'{path}: no answer, last result: {last_result}')

    async def send_request(self, host, path, *, method='POST', **headers):
        """Send a caller's request; return status, headers and body."""
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method,
                f'http://{host}:{self.caller_port}{path}',
                headers={
                    'Host': 'a.example',
                    'Deadline-Ms': '5000',
                    'X-Api-Key': 'k1',
                    **{k.replace('_', '-'): v for k, v in headers.items()},
                },
            ) as answer:
                return answer.status, answer.headers, await answer.read()

    async def request_stream(self, host, attempt_id, **headers):
        """Send a caller's request for a stream of the model."""
        return await self.send_request(
            host,
            '/lots/1',
            Attempt_Id=attempt_id,
            Model='m0',
            Token_Usage='10,80',
            **headers,
        )

    async def wait_until(self, check, *, within_s=30.0):
        """Wait until an asynchronous check returns true."""
        deadline = time.monotonic() + within_s
        while not await check():
            assert time.monotonic() < deadline, check
            await asyncio.sleep(0.1)
