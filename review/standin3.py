"""Small stand-ins of the users' platform for the scripts of review 3.

Nodes are the project's own processes, started with the command of the deploy
file. Clients, workers and the operator follow PROTOCOL.md. Only the standard
library is used. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
COMMAND = ['python3', '-m', 'apricotthread.daemon.main']

# The values of deploy/node.ini.tmpl, with the bounds of the site that the
# case names. Only the port of the metrics differs, so that it is free.
SETTINGS = """\
[node]
id = {host}
data_centre = {zone}
data_folder = {data}

[listen]
host = {host}
{bind}
caller_address = {front}
readiness_address = {ready}
control_address = {control}
metrics_address = {host}:{metrics}

[discovery]
seeds = {seeds}
first_start = {first}
data_centres = {zones},
peer_port = {peer}
roles = {role}

[timing]
heartbeat_s = {heartbeat_s}
lease_s = {lease_s}
endpoint_lease_s = 2.9
stall_s = 5.5
drain_s = 7.5
ready_grace_s = 2.3

[fleet]
tolerated_losses = 1
retry_ratio = 0.2
retry_slack = 136
retry_window_s = 10
cold_overshoot = 1.5
log_lines_per_s = 100
"""


def hidden_host(host):
    """Return where a control node listens behind its proxy."""
    return host.replace('127.31.1.', '127.31.3.')


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Return ports that are free on all loopback addresses now."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(('0.0.0.0', 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Nodes:
    """The processes: control nodes are 127.31.1.N, entries 127.31.2.N."""

    def __init__(
        self, record, *, controls=3, entries=2, zones=('z-a',), has_cuts=False
    ):
        self.record = record
        self.has_cuts = has_cuts
        self.cut_hosts = set()
        self.cut_changed = asyncio.Event()
        self._proxies = []
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        (self.peer, self.control, self.front, self.ready, self.metrics) = (
            free_ports(5)
        )
        self.control_hosts = [f'127.31.1.{n + 1}' for n in range(controls)]
        self.entry_hosts = [f'127.31.2.{n + 1}' for n in range(entries)]
        self.controls = [f'{h}:{self.control}' for h in self.control_hosts]
        self.zone_by_host = {
            host: zones[n % len(zones)]
            for hosts in (self.control_hosts, self.entry_hosts)
            for n, host in enumerate(hosts)
        }
        self.process_by_host = {}

    async def start(self, host, *, first=False):
        is_control = host in self.control_hosts
        path = self.folder / f'{host}.ini'
        path.write_text(
            SETTINGS.format(
                host=host,
                bind=self._bind_line(host),
                zone=self.zone_by_host[host],
                data=self.folder / f'data-{host}' if is_control else '',
                front='' if is_control else f'{host}:{self.front}',
                ready='' if is_control else f'{host}:{self.ready}',
                control=f'{host}:{self.control}' if is_control else '',
                metrics=self.metrics,
                seeds=','.join(self.controls[:3]),
                first='true' if first else 'false',
                zones=','.join(self.zones),
                peer=self.peer,
                role='control' if is_control else 'entry',
                heartbeat_s=0.2 if is_control else 0.5,
                lease_s=1.0 if is_control else 2.0,
            )
        )
        with open(self.folder / f'{host}.log', 'ab') as log:
            self.process_by_host[host] = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'APRICOTTHREAD_NODE_FILE': str(path),
                },
            )

    def _bind_line(self, host):
        """Have a control node listen behind its proxy, if there is one."""
        if not self.has_cuts or host not in self.control_hosts:
            return ''
        return f'bind_host = {hidden_host(host)}'

    # The network between control nodes

    async def start_proxies(self):
        """Put a proxy before the peer port of each control node."""
        for host in self.control_hosts:

            async def accept(reader, writer, host=host):
                with contextlib.suppress(OSError, EOFError):
                    await self._forward(host, reader, writer)
                writer.transport.abort()

            self._proxies.append(
                await asyncio.start_server(accept, host, self.peer)
            )

    async def _forward(self, host, reader, writer):
        first = await reader.read(65536)
        # The first frame names the node that has connected.
        names = [h for h in self.control_hosts if h.encode() in first]
        source = names[0] if names else ''
        to_reader, to_writer = await asyncio.open_connection(
            hidden_host(host), self.peer
        )

        def is_cut():
            return bool(source) and (
                (source in self.cut_hosts) != (host in self.cut_hosts)
            )

        async def pump(data, reader, writer):
            while data:
                while is_cut():
                    await self.cut_changed.wait()
                writer.write(data)
                await writer.drain()
                data = await reader.read(65536)

        async def pump_back():
            await pump(await to_reader.read(65536), to_reader, writer)

        tasks = [
            asyncio.create_task(pump(first, reader, to_writer)),
            asyncio.create_task(pump_back()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            to_writer.transport.abort()
            for task in tasks:
                with contextlib.suppress(
                    asyncio.CancelledError, OSError, EOFError
                ):
                    await task

    def cut(self, *hosts):
        """Partition control nodes from the other control nodes.

        Without hosts the partition ends; what it held up goes on.
        """
        self.cut_hosts = set(hosts)
        self.cut_changed.set()
        self.cut_changed = asyncio.Event()

    async def start_all(self):
        if self.has_cuts:
            await self.start_proxies()
        for host in (*self.control_hosts, *self.entry_hosts):
            await self.start(host, first=True)

    async def kill(self, hosts):
        """Kill processes at the same moment."""
        for host in hosts:
            self.process_by_host[host].send_signal(signal.SIGKILL)
        for host in hosts:
            await self.process_by_host.pop(host).wait()

    def send_signal(self, host, number):
        self.process_by_host[host].send_signal(number)

    async def close(self):
        for proxy in self._proxies:
            proxy.close()
        for process in self.process_by_host.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_host.values():
            await process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)

    def find_leader(self):
        """Return the control node that was elected last, by the logs."""
        elected = []
        for host in self.control_hosts:
            for line in open(self.folder / f'{host}.log', errors='replace'):
                if '"leader_elected"' in line:
                    elected.append((json.loads(line)['term'], host))
        if not elected:
            raise CannotRun('no leader')
        return max(elected)[1]

    async def wait_ready(self, *, within_s=30.0):
        """Wait until all entries answer their readiness checks with 200."""
        deadline = time.monotonic() + within_s
        for host in self.entry_hosts:
            while True:
                try:
                    status, _, _ = await call(
                        f'{host}:{self.ready}', 'GET', '/-/ready'
                    )
                except (OSError, EOFError, asyncio.TimeoutError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f'{host} is not ready')
                await asyncio.sleep(0.1)


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def call(address, method, path, body=None, headers=(), *, timeout_s=1.0):
    """Send one request on a new channel; return status, headers and body.

    Raises OSError, EOFError or TimeoutError.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1']
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                lines.append(f'Host: {address}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body is not None:
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode() + (body or b''))
            first, answer = await read_head(reader)
            return (
                int(first.split()[1]),
                answer,
                await read_body(reader, answer),
            )
        finally:
            writer.transport.abort()


class Operator:
    """Sends orders again, to other nodes, until one acknowledges."""

    def __init__(self, nodes, record):
        self._nodes = nodes
        self._record = record

    async def send(self, path, body=None, *, method='POST', within_s=30.0):
        deadline = time.monotonic() + within_s
        for address in itertools.cycle(self._nodes.controls):
            if time.monotonic() > deadline:
                raise CannotRun(f'no ack for {path}')
            try:
                status, _, answer = await call(
                    address,
                    method,
                    path,
                    body,
                    [('Content-Type', 'application/json')],
                )
            except (OSError, EOFError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            if status < 500:
                self._record(f'operator: {method} {path} -> {status}')
                return status, answer
            await asyncio.sleep(0.1)


class Worker:
    """A worker of the platform.

    As the head or a member of a group it follows PROTOCOL.md: fences and
    epochs, joins that take time, a head that stands still once a member has
    left or is gone, and is broken after `stall_s`.
    """

    JOIN_AGAIN_S = 0.2

    def __init__(
        self,
        *,
        name,
        service,
        zone,
        controls,
        record,
        profile=None,
        domain='',
        workers=None,
        slots=6,
        work_s=0.02,
        heartbeat_s=1.2,
        stall_s=4.0,
        on_join=lambda worker, order: None,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.domain = domain
        self.controls = controls
        self.record = record
        self.profile = profile
        self.workers = {} if workers is None else workers
        self.workers[name] = self
        self.slots = slots
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.stall_s = stall_s
        self.on_join = on_join
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders_begun = 0
        self.fence = 0
        self.highest_epoch = 0
        self.is_cut_from_control = False
        self.is_leaving = False
        self.place = None
        self.staged = []
        self.last_model = ''
        self.runs = []
        self._tasks = set()
        self._change_task = None
        self._server = None
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._spawn(self._beat_on())

    def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Check-ins

    async def _beat_on(self):
        await asyncio.sleep(random.random() * self.heartbeat_s)
        while True:
            started = time.monotonic()
            await self.beat()
            await asyncio.sleep(
                max(0.0, started + self.heartbeat_s - time.monotonic())
            )

    async def beat(self):
        """Check in at one node after the other until one acknowledges."""
        self.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slot-count': self.slots,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.profile is not None:
            body |= {
                'phase': 'colocated',
                'model-ids': [
                    {'name': m, 'version': 1, 'lora-adapters': []}
                    for m in self.staged
                ],
                'fault-domain': self.domain,
                'prestaged': list(self.staged),
            }
            if self.place is not None:
                body['group'] = {
                    'name': self.place['group'],
                    'epoch': self.place['epoch'],
                    'rank': self.place['rank'],
                    'state': self.state(),
                }
        encoded = json.dumps(body).encode()
        for address in random.sample(self.controls, len(self.controls)):
            if self.is_cut_from_control or self.is_leaving:
                return
            try:
                status, _, _ = await call(
                    address,
                    'POST',
                    f'/-/instances/{self.name}/heartbeat',
                    encoded,
                    [('Content-Type', 'application/json')],
                )
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            if 200 <= status < 300:
                return

    async def leave_first(self, *, serves_s):
        """Leave without having reported `draining`, and exit later."""
        self.is_leaving = True
        self.record(f'{self.name}: sends its leave')
        body = json.dumps({'born': self.born}).encode()
        for address in itertools.cycle(self.controls):
            try:
                status, _, _ = await call(
                    address,
                    'POST',
                    f'/-/instances/{self.name}/leave',
                    body,
                    [('Content-Type', 'application/json')],
                )
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            if 200 <= status < 300:
                break
        self.record(f'{self.name}: the leave is acknowledged')
        await asyncio.sleep(serves_s)
        self.record(f'{self.name}: exits')
        self._leave_place()
        self.stop()

    # Groups

    def state(self):
        """Return the state of this worker in its group."""
        place = self.place
        if place is None:
            return ''
        if place['state'] in ('open', 'closing') and self.is_broken():
            return 'broken'
        return place['state']

    def missing_since(self):
        """Return when the first member left the head's group, or None."""
        place = self.place
        times = []
        for name in place['members'][1:]:
            member = self.workers[name]
            theirs = member.place
            if theirs is not None and (
                (theirs['group'], theirs['epoch'])
                == (place['group'], place['epoch'])
            ):
                continue
            times.append(member.left_at.get((place['group'], place['epoch'])))
        times = [at for at in times if at is not None]
        return min(times) if times else None

    def is_broken(self):
        since = self.missing_since()
        return since is not None and time.monotonic() - since > self.stall_s

    @property
    def left_at(self):
        return self.__dict__.setdefault('_left_at', {})

    def _leave_place(self):
        if self.place is not None:
            key = (self.place['group'], self.place['epoch'])
            self.left_at[key] = time.monotonic()
        self.place = None

    def handle_order(self, order):
        """Carry an order out; return the status of the answer."""
        fence = order.get('fence', 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        match order['operation']:
            case 'join':
                status = self._join(order)
            case 'open':
                status = self._open(order)
            case 'close':
                status = self._close(order)
            case 'leave':
                status = 200
                if self._is_in(order):
                    self._leave_place()
                    status = 202
            case 'phase':
                status = self._stage(order['model-id'])
            case _:
                status = 400
        self.orders_begun += status == 202
        return status

    def _is_in(self, order):
        return self.place is not None and (
            (order['group'], order['epoch'])
            == (self.place['group'], self.place['epoch'])
        )

    def _join(self, order):
        epoch = order['epoch']
        if epoch < self.highest_epoch:
            return 412
        if self._is_in(order):
            if order['member-nodes'] != self.place['members']:
                return 412
            return 200
        model = order['model-id']
        row = self.profile[model]
        takes_s = row['load-s'] / 10
        if model == self.last_model:
            takes_s = self.JOIN_AGAIN_S
        elif model in self.staged:
            takes_s = row['warmup-s']
        self.on_join(self, order)
        self.highest_epoch = epoch
        self._leave_place()
        self.place = {
            'group': order['group'],
            'epoch': epoch,
            'members': order['member-nodes'],
            'rank': order['member-nodes'].index(self.name),
            'state': 'joining',
        }
        self.last_model = model
        self._spawn(self._change(self.place, 'ready', takes_s, model))
        return 202

    async def _change(self, place, state, after_s, model=''):
        await asyncio.sleep(after_s)
        if self.place is not place:
            return
        if model:
            self.staged = [model]
        place['state'] = state
        self.record(
            f'{self.name}: {place["group"]} epoch {place["epoch"]} {state}'
        )
        await self.beat()

    def _stage(self, model):
        if model in self.staged:
            return 200
        self._spawn(self._load(model))
        return 202

    async def _load(self, model):
        await asyncio.sleep(self.profile[model]['load-s'])
        self.staged = [model]
        await self.beat()

    def _open(self, order):
        if not self._is_in(order) or self.place['rank']:
            return 409
        if self.place['state'] == 'open':
            return 200
        if self.place['state'] != 'ready':
            return 409
        self._spawn(self._change(self.place, 'open', 0.3))
        return 202

    def _close(self, order):
        if not self._is_in(order) or self.place['state'] != 'open':
            return 200
        self.place['state'] = 'ready'
        return 202

    # Requests

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                await self._answer(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            pass
        except asyncio.CancelledError:
            pass  # asyncio logs a cancelled handler as an error
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, method, target, headers, body, writer):
        if target in ('/-/report', '/-/order') and self.is_cut_from_control:
            await asyncio.sleep(3600)  # nothing gets through
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            write_answer(writer, 421, {'Instance-Id': self.name})
        elif target == '/-/report':
            write_answer(writer, 200, {}, json.dumps({'pace': 1.0}).encode())
        elif target == '/-/order':
            order = json.loads(body)
            status = self.handle_order(order)
            self.record(f'{self.name}: order {order} -> {status}')
            write_answer(writer, status, {})
            self._spawn(self.beat())
        else:
            await self.run(method, target, headers, body, writer)

    async def run(self, method, target, headers, body, writer):
        """Run a request: a plain call, or a stream of the group's head."""
        attempt = headers.get('attempt-id', '')
        if self.profile is not None:
            if self.place is None or self.place['rank']:
                write_answer(
                    writer,
                    421,
                    {'Not-Executed': '1', 'Attempt-Id': attempt},
                )
                return
            if self.state() != 'open':
                write_answer(
                    writer,
                    503,
                    {'Not-Executed': '1', 'Attempt-Id': attempt},
                )
                return
            await self._stream(attempt, headers, writer)
            return
        self.runs.append(attempt)
        self.record(f'{self.name}: runs {attempt} {method} {target}')
        await asyncio.sleep(self.work_s)
        write_answer(
            writer, 200, seal(attempt, self.name), f'done {attempt}'.encode()
        )

    async def _stream(self, attempt, headers, writer):
        while self.place is not None and self.missing_since() is not None:
            if self.is_broken():
                write_answer(
                    writer, 503, {'Not-Executed': '1', 'Attempt-Id': attempt}
                )
                return
            await asyncio.sleep(0.05)
        place = self.place
        self.runs.append(attempt)
        self.record(
            f'{self.name}: runs {attempt} as head of '
            f'{place and (place["group"], place["epoch"])}'
        )
        lines = {
            **seal(attempt, self.name),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(
            b'HTTP/1.1 200 OK\r\n'
            + ''.join(f'{k}: {v}\r\n' for k, v in lines.items()).encode()
            + b'\r\n'
        )
        start = int(headers.get('last-event-id', 0)) + 1
        for number in range(start, 11):
            event = f'id: {number}\ndata: piece {number}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b'0\r\n\r\n')


def seal(attempt, name):
    return {'Attempt-Id': attempt, 'Response-Seal': f'{name}.{attempt}'}


def write_answer(writer, status, headers, body=b''):
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    writer.write(
        f'HTTP/1.1 {status} X\r\n{lines}'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


# A deployment with one model, whose replicas span three workers.

MODEL = 'm0'
PROFILE = {MODEL: {'load-s': 12.0, 'warmup-s': 1.1}}
GROUP_CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path-prefix': '/plan/',
            'kind': 'streaming',
            'timeout-ms': 8000,
            'target-latency-ms': 300,
            'priority': 1,
            'service': 'models',
            'max-attempts': 2,
            'public': True,
            'sticky': True,
            'resumable': True,
            'target-gap-ms': 300,
        }
    ],
    'services': [
        {
            'name': 'models',
            'health-path': '/health',
            'max-conns': 474,
            'protocol': 'h1',
            'tls': False,
            'cold-start-s': 3.0,
            'cold-per-s': 36.0,
            'engine-profile': {
                'slot-count': 13,
                'kv-token-capacity': 795000,
                'kv-token-bytes': 70272,
                'link-mbps': 400000.0,
                'stride': 7,
                'model-ids': [
                    {
                        'name': MODEL,
                        'size': 3,
                        'traffic-share': 1.0,
                        'pace': 1.0,
                        'load-s': 12.0,
                        'warmup-s': 1.1,
                    }
                ],
                'step_ms': 5.95,
                'per_seq_ms': 0.1934,
                'context_per_k': 0.00586,
                'read_per_s': 50700.0,
                'pairs_per_m': 0.309,
                'chunk': 2048,
                'report_lag_ms': 200.0,
                'loads-per-s': 5.5,
                'loads_at_once': 8,
                'usual': {'prompt': 1115, 'answer': 152},
                'staged-limit': 1,
                'far_x': 3.0,
                'form-ms': 300.0,
            },
        }
    ],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 4194304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
}


class TwoJudge:
    """The rule TWO, as the workers see it."""

    def __init__(self, record):
        self._record = record
        self._workers = {}
        self._last_by_worker = {}
        self.breaks = 0

    def on_join(self, worker, order):
        """Judge a join that a worker takes."""
        self._workers = worker.workers
        last = self._last_by_worker.get(worker.name)
        self._last_by_worker[worker.name] = order
        if last is None or last['group'] == order['group']:
            return
        head = self._workers[last['member-nodes'][0]]
        key = (last['group'], last['epoch'])
        if head is worker or head.place is None:
            return
        if (head.place['group'], head.place['epoch']) != key:
            return
        if head.state() in ('open', 'closing'):
            self.breaks += 1
            self._record(
                f'TWO broken: {worker.name} takes a join of {order["group"]} '
                f'epoch {order["epoch"]} while {head.name}, the head of '
                f'{last["group"]} epoch {last["epoch"]}, is {head.state()} '
                'and not broken'
            )

    def stop(self):
        """Stop all workers."""
        for worker in self._workers.values():
            worker.stop()


async def ask(nodes, record, host, attempt):
    """Send a client's stream; return its status, or why it has none."""
    record(f'client: sends {attempt} to {host}')
    try:
        status, _, _ = await call(
            f'{host}:{nodes.front}',
            'POST',
            '/plan/x',
            b'{}',
            [
                ('Host', 'a.example'),
                ('Attempt-Id', attempt),
                ('Deadline-Ms', '8000'),
                ('Model', MODEL),
                ('Token-Usage', '100,70'),
                ('Prompt-Prefix', f'a1:40,{attempt}:60'),
            ],
            timeout_s=9.0,
        )
    except (OSError, EOFError, TimeoutError) as error:
        status = repr(error)
    record(f'client: {attempt} -> {status}')
    return status


async def start_groups(nodes, record, *, counts, on_join, stall_s):
    """Start nodes and workers; return the workers once all groups are open.

    `counts` holds the number of workers of each domain.
    """
    workers = {}
    domains = [
        f'd-{n}' for n, count in enumerate(counts) for _ in range(count)
    ]
    for number, domain in enumerate(domains):
        worker = Worker(
            name=f'i-{number:04x}',
            service='models',
            zone=nodes.zones[0],
            domain=domain,
            controls=nodes.controls,
            record=record,
            profile=PROFILE,
            workers=workers,
            slots=13,
            stall_s=stall_s,
            on_join=on_join,
        )
        await worker.start()
    await nodes.start_all()
    operator = Operator(nodes, record)
    body = json.dumps(GROUP_CONFIG).encode()
    await operator.send('/-/config/put', body)
    await nodes.wait_ready()
    wanted = sum(count // 3 for count in counts)
    for _ in range(300):
        if len(find_heads(workers)) == wanted:
            return workers
        await asyncio.sleep(0.1)
    raise CannotRun(f'{len(find_heads(workers))} of {wanted} groups are open')


def find_heads(workers, domain=''):
    """Return the heads of the open groups."""
    return [
        worker
        for worker in workers.values()
        if worker.place
        and not worker.place['rank']
        and worker.state() == 'open'
        and (not domain or worker.domain == domain)
    ]


PLAIN_CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path-prefix': '/rota/',
            'kind': 'idempotent',
            'timeout-ms': 1500,
            'target-latency-ms': 200,
            'priority': 1,
            'service': 'app',
            'max-attempts': 2,
            'public': True,
        }
    ],
    'services': [
        {
            'name': 'app',
            'health-path': '/health',
            'max-conns': 110,
            'protocol': 'h1',
            'tls': False,
            'cold-start-s': 0.0,
            'cold-per-s': 0.0,
        }
    ],
    'limits': GROUP_CONFIG['limits'],
}


class PlainClient:
    """Sends a call to each entry ten times a second."""

    def __init__(self, nodes, record, workers):
        self._nodes = nodes
        self._record = record
        self._workers = workers
        self._number = 0
        self.statuses = []

    async def _ask(self, host):
        self._number += 1
        attempt = f'{self._number:016x}'
        try:
            status, _, _ = await call(
                f'{host}:{self._nodes.front}',
                'GET',
                '/rota/x',
                None,
                [
                    ('Host', 'a.example'),
                    ('Attempt-Id', attempt),
                    ('Deadline-Ms', '1500'),
                ],
                timeout_s=2.0,
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = repr(error)
        self.statuses.append(status)
        self._record(f'client: {attempt} to {host} -> {status}')

    async def ask_for(self, seconds):
        """Return how many calls each worker ran, and how many were served."""
        before = {w.name: len(w.runs) for w in self._workers}
        self.statuses = []
        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < ends_at:
                for host in self._nodes.entry_hosts:
                    tasks.create_task(self._ask(host))
                await asyncio.sleep(0.1)
        runs = {w.zone: len(w.runs) - before[w.name] for w in self._workers}
        self._record(
            f'{seconds} s: runs by zone {runs}, 200 x '
            f'{self.statuses.count(200)} of {len(self.statuses)}'
        )
        return runs


async def start_plain(nodes, record):
    """Start nodes, and a worker of a plain service in each zone."""
    workers = []
    for number, zone in enumerate(nodes.zones):
        worker = Worker(
            name=f'i-{number:04x}',
            service='app',
            zone=zone,
            controls=nodes.controls,
            record=record,
        )
        await worker.start()
        workers.append(worker)
    await nodes.start_all()
    operator = Operator(nodes, record)
    body = json.dumps(PLAIN_CONFIG).encode()
    await operator.send('/-/config/put', body)
    await nodes.wait_ready()
    await asyncio.sleep(2.0)
    return workers


async def order_once(record, address, path):
    """Send an order of the operator to one node; return its status or 0."""
    try:
        status, _, _ = await call(address, 'POST', path)
    except (OSError, EOFError, TimeoutError):
        status = 0
    record(f'operator: {path} to {address} -> {status or "no response"}')
    return status


async def order_until_acknowledged(record, addresses, path):
    """Send an order again, to one node after the other, until its ack."""
    for address in itertools.islice(itertools.cycle(addresses), 40):
        status = await order_once(record, address, path)
        if 200 <= status < 300:
            record(f'operator: {path} is acknowledged')
            return
        if 400 <= status < 500:
            break
        await asyncio.sleep(0.1)
    raise CannotRun(f'{path} was not acknowledged')


def run(case, folder):
    """Run a case; exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(case(record, trouble))
    except (CannotRun, OSError) as error:
        record(f'could not run: {error!r}')
        sys.exit(2)
    record('RESULT: ' + ('broken' if broken else 'held'))
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
