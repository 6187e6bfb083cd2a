"""Stand-ins for the platform, workers, the operator and clients.

They use the standard library only. They speak what PROTOCOL.md says, as far
as the cases need it. The nodes are the project's own programs, started with
the command, the template and the settings of the deploy file.

Each deployment draws loopback addresses of its own, 127.A.x.y, as the nodes
listen for metrics at a fixed port.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESTART_DELAY_S = 0.5
ANSWER_WAIT_S = 1.0
HEARTBEAT_S = 1.2

BOUNDS = {
    'seed-lag-s': 3,
    'addr-reuse-s': 2,
    'contact-ms': 3000,
    'ack-ms': 4000,
    'catch-up-s': 4,
    'drain-timeout-ms': 2000,
    'grace-period-s': 8,
    'loss-slack-ms': 200,
    'config-apply-ms': 2000,
    'rollback-slack-ms': 250,
    'outer-ms': 5000,
    'retry-budget-ratio': 0.2,
    'budget-window-s': 10,
    'budget-slack': 132,
    'cold-overshoot': 1.5,
    'cold-slack': 5,
    'evacuate-ms': 5000,
    'recover-s': 12,
    'pass-ms': 120,
    'stall-ms': 5000,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with times from the start."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


# The template of the deploy file


def render(template: str, fields: dict) -> str:
    """Fill in a template by the rules of DEPLOY.md."""
    return _render(template, [fields], '', True)


_TAG = re.compile(r'\{\{([#^]?)([^{}]+)\}\}')


def _lookup(name: str, scopes: list):
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in [name] if name in _keys(scope) else name.split('.'):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                found = False
                break
        if found:
            return value
    return None


def _keys(scope):
    return scope.keys() if isinstance(scope, dict) else ()


def _text(value) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(map(_text, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def _render(text: str, scopes: list, key: str, is_last: bool) -> str:
    out, at = [], 0
    while (tag := _TAG.search(text, at)) is not None:
        out.append(text[at : tag.start()])
        kind, name = tag.groups()
        at = tag.end()
        if not kind:
            if name == '@':
                out.append(key)
            elif name == ',':
                out.append('' if is_last else ',')
            else:
                out.append(_text(_lookup(name, scopes)))
            continue
        end = text.index('{{/' + name + '}}', at)
        inner, value = text[at:end], _lookup(name, scopes)
        at = end + len(name) + 5
        if kind == '^':
            if not value:
                out.append(_render(inner, scopes, key, is_last))
        elif isinstance(value, dict) or isinstance(value, list):
            items = (
                list(value.items())
                if isinstance(value, dict)
                else [(str(i), v) for i, v in enumerate(value)]
            )
            for number, (name_of, item) in enumerate(items):
                last = number == len(items) - 1
                out.append(_render(inner, [*scopes, item], name_of, last))
        elif value:
            out.append(_render(inner, scopes, key, is_last))
    out.append(text[at:])
    return ''.join(out)


class Node:
    """A machine with one role, whose process is restarted when it ends."""

    def __init__(self, *, platform, name, role, ip, zone):
        self.platform = platform
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.bootstrap = True
        self.own_ends = []
        self.starts = 0
        self.expects_end = False
        self._task = None

    @property
    def is_core(self) -> bool:
        return self.role == 'control'

    def address(self, what: str) -> str:
        return f'{self.ip}:{self.platform.port[what]}'

    def _write_settings(self) -> pathlib.Path:
        platform = self.platform
        folder = platform.folder / f'data-{self.name}'
        listen = (
            {'control': self.address('control')}
            if self.is_core
            else {
                'front': self.address('front'),
                'ready': self.address('ready'),
            }
        )
        fields = {
            'node': self.name,
            'node-role': self.role,
            'machine-class': 'core' if self.is_core else 'edge',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'r1',
            'zones': {zone: 'r1' for zone in platform.zones},
            'listen-addrs': listen,
            'port-range': [platform.port['peer'], platform.port['peer'] + 1],
            'seed-nodes': [n.address('control') for n in platform.cores][:3],
            'bootstrap': self.bootstrap,
            'heartbeat-ms': int(HEARTBEAT_S * 1000),
            'fault-tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
        }
        if self.is_core:
            folder.mkdir(exist_ok=True)
            fields['data-path'] = str(folder)
        role = platform.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text()
        path = platform.folder / f'{self.name}.conf'
        path.write_text(render(template, fields))
        return path

    async def start(self):
        path = self._write_settings()
        log = open(self.platform.folder / f'{self.name}.log', 'ab')
        command = self.platform.deploy['roles'][self.role]['run'].split()
        self.expects_end = False
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/tmp'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONUNBUFFERED': '1',
                'APRICOTTHREAD_NODE_FILE': str(path),
            },
        )
        log.close()
        self.starts += 1
        self.bootstrap = False
        self._task = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        status = await process.wait()
        if self.platform.is_closing:
            return
        by_itself = not self.expects_end
        if by_itself:
            self.own_ends.append(self.platform.record.now())
        self.platform.record.add(
            f'process of {self.name} ended, status {status}, '
            f'{"by itself" if by_itself else "as told"}'
        )
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.platform.is_closing:
            await self.start()

    def signal(self, number):
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expects_end = True
        self.platform.record.add(f'{signal.Signals(number).name} {self.name}')
        self.process.send_signal(number)

    def log_text(self) -> str:
        return (self.platform.folder / f'{self.name}.log').read_text(
            errors='replace'
        )


class Platform:
    """Machines in zones, with the roles of the deploy file."""

    def __init__(self, *, record, zones=('za', 'zb', 'zc'), edges=1):
        self.record = record
        self.zones = list(zones)
        self.deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text()
        )
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{random.randrange(20, 250)}'
        self.is_closing = False
        self.port = {}
        self._ip = itertools.count(1)
        self.cores = [
            Node(
                platform=self,
                name=f'core-{zone}-1',
                role='control',
                ip=f'{self.net}.1.{next(self._ip)}',
                zone=zone,
            )
            for zone in self.zones
        ]
        self.edges = [
            Node(
                platform=self,
                name=f'edge-{zone}-{n + 1}',
                role='entry',
                ip=f'{self.net}.2.{next(self._ip)}',
                zone=zone,
            )
            for zone in self.zones
            for n in range(edges)
        ]
        for what in ('control', 'front', 'ready', 'peer'):
            self.port[what] = self._find_port()
        self.workers = []

    def _find_port(self) -> int:
        for _ in range(100):
            port = random.randrange(20000, 60000)
            if port in self.port.values():
                continue
            with contextlib.ExitStack() as stack:
                try:
                    for node in (*self.cores, *self.edges):
                        sock = stack.enter_context(
                            socket.socket(socket.AF_INET)
                        )
                        sock.bind((node.ip, port))
                except OSError:
                    continue
                return port
        raise CannotRun('no free port')

    @property
    def nodes(self):
        return [*self.cores, *self.edges]

    async def start(self):
        if not (ROOT / 'target/deps/apricotthread').exists():
            raise CannotRun('target/deps is missing; build first')
        for node in self.nodes:
            await node.start()

    async def close(self, *, keep_logs_in=None):
        self.is_closing = True
        for worker in self.workers:
            worker.stop()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                await node.process.wait()
        if keep_logs_in is not None:
            pathlib.Path(keep_logs_in).mkdir(parents=True, exist_ok=True)
            for node in self.nodes:
                shutil.copy(self.folder / f'{node.name}.log', keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)

    def draw_ip(self) -> str:
        return f'{self.net}.3.{next(self._ip)}'

    async def add_worker(self, **values):
        worker = Worker(platform=self, ip=self.draw_ip(), **values)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def find_leader(self, within_s=20.0) -> Node:
        """Return the core machine that was elected last, by its log."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            best = None
            for node in self.cores:
                for line in node.log_text().splitlines():
                    if 'leader_elected' not in line:
                        continue
                    term = re.search(r'term"?[=:] ?(\d+)', line)
                    if term and (best is None or int(term[1]) > best[0]):
                        best = (int(term[1]), node)
            if best is not None:
                return best[1]
            await asyncio.sleep(0.2)
        raise CannotRun('no leader was elected')

    async def wait_ready(self, within_s=25.0):
        """Wait until all entries answer their readiness check with 200."""
        deadline = time.monotonic() + within_s
        for node in self.edges:
            while True:
                answer = await call(
                    node.address('ready'), b'GET', b'/-/ready', timeout_s=1.0
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f'{node.name} does not get ready')
                await asyncio.sleep(0.2)


# HTTP


class Answer:
    """A status, headers with names in lower case, and a body."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


def make_request(method, path, headers, body=b'') -> bytes:
    lines = [b'%b %b HTTP/1.1' % (method, path)]
    lines.extend(f'{k}: {v}'.encode() for k, v in headers.items())
    if body or method == b'POST':
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_answer(reader) -> Answer:
    """Read an answer; `is_whole` is False if it breaks off."""
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    body, is_whole = b'', True
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        body += getattr(error, 'partial', b'')
        is_whole = False
    return Answer(status, headers, body, is_whole)


async def call(address, method, path, *, headers=None, body=b'', timeout_s):
    """Send a request on a new channel; None if no whole answer comes."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                make_request(
                    method,
                    path,
                    {'Host': host, 'Connection': 'close', **(headers or {})},
                    body,
                )
            )
            answer = await read_answer(reader)
            return answer if answer.is_whole else None
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        ValueError,
        IndexError,
    ):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders as PROTOCOL.md says: on to the next node after a failure,
    a 5xx or a second without an answer, until there is a clear answer."""

    def __init__(self, platform):
        self.platform = platform

    async def send(self, path, body=b'', *, first=None, within_s=15.0):
        """Send an order, to the node `first` first; return the status."""
        nodes = list(self.platform.cores)
        if first is not None:
            nodes.remove(first)
            nodes.insert(0, first)
        record = self.platform.record
        deadline = time.monotonic() + within_s
        pause_s = 0.05
        for node in itertools.cycle(nodes):
            if time.monotonic() > deadline:
                record.add(f'operator: {path} has no clear answer, gives up')
                return None
            record.add(f'operator: {path} sent to {node.name}')
            answer = await call(
                node.address('control'),
                b'POST',
                path.encode(),
                headers={'Content-Type': 'application/json'},
                body=body,
                timeout_s=ANSWER_WAIT_S,
            )
            if answer is not None and answer.status < 500:
                record.add(
                    f'operator: {path} answered {answer.status} '
                    f'by {node.name}'
                )
                return answer.status
            record.add(
                f'operator: {path}: {node.name} gave '
                f'{"no answer" if answer is None else answer.status}'
            )
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)


class Worker:
    """A worker: a plain one, or a machine for groups of a model.

    `models` has, by name, the size and the times of each model.
    """

    def __init__(
        self,
        *,
        platform,
        ip,
        name,
        service,
        zone,
        slots=8,
        domain='',
        models=None,
        run_s=0.05,
    ):
        self.platform = platform
        self.ip = ip
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.domain = domain
        self.models = models or {}
        self.run_s = run_s
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.group = None
        self.members = ()
        self.staged = []
        self.last_model = ''
        self.fence = -1
        self.highest_epoch = -1
        self.order_count = 0
        self.running = 0
        self.sequence = 0
        self.arrivals = []
        self.address = ''
        self._server = None
        self._tasks = set()
        self._heartbeat_address = ''
        self._order_task = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.ip, 0)
        self.address = f'{self.ip}:{self._server.sockets[0].getsockname()[1]}'
        self._spawn(self._beat_on())

    def stop(self):
        """End like a process that is killed: its channels are reset."""
        if self._server is not None:
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
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _describe(self) -> dict:
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slot-count': self.slots,
            'state': self.state,
            'cold-left-ms': 0,
            'born': self.born,
        }
        if self.models:
            body |= {
                'phase': 'colocated',
                'model-ids': [
                    {'name': name, 'version': 1, 'lora-adapters': []}
                    for name in self.staged
                ],
                'fault-domain': self.domain,
                'prestaged': list(self.staged),
                'group': self.group,
            }
        return body

    async def beat(self):
        """Check in at a control node, at the next one if that fails."""
        self.sequence += 1
        body = {**self._describe(), 'sequence': self.sequence}
        return await self._report('heartbeat', json.dumps(body).encode())

    async def leave(self):
        body = json.dumps({'born': self.born}).encode()
        return await self._report('leave', body)

    async def _report(self, what, body) -> bool:
        nodes = list(self.platform.cores)
        random.shuffle(nodes)
        for node in nodes:
            answer = await call(
                node.address('control'),
                b'POST',
                f'/-/instances/{self.name}/{what}'.encode(),
                headers={'Content-Type': 'application/json'},
                body=body,
                timeout_s=1.0,
            )
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    # Requests

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                method, target, _ = first.split()
                await self._answer(target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.transport.abort()

    def write(self, writer, status, headers, body=b''):
        lines = [f'HTTP/1.1 {status} X'.encode()]
        lines.extend(f'{k}: {v}'.encode() for k, v in headers.items())
        lines.append(b'Content-Length: %d' % len(body))
        writer.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)

    async def _answer(self, target, headers, body, writer):
        if headers.get('expect-instance', self.name) != self.name:
            self.write(
                writer, 421, {'Instance-Id': self.name, 'Not-Executed': 1}
            )
        elif target == '/-/report':
            text = json.dumps(self._report_state())
            self.write(writer, 200, {}, text.encode())
        elif target == '/-/order':
            status = self._take_order(json.loads(body))
            self.write(writer, status, {})
            self._spawn(self.beat())
        else:
            await self.serve(target, headers, body, writer)

    def _report_state(self):
        return {
            **self._describe(),
            'busy': False,
            'sequence': self.order_count,
            'waiting': 0,
            'in-flight': self.running,
            'kv-used': 0,
            'kv-limit': 1000000,
            'active-handles': 0,
            'pace': 1.0,
        }

    def note_arrival(self, headers):
        attempt = headers.get('attempt-id', '')
        self.arrivals.append((time.monotonic(), attempt))
        self.platform.record.add(f'{self.name} gets request {attempt}')
        return attempt

    async def serve(self, target, headers, body, writer):
        """Run a request and answer it."""
        attempt = self.note_arrival(headers)
        self.running += 1
        try:
            await asyncio.sleep(self.run_s)
        finally:
            self.running -= 1
        self.platform.record.add(f'{self.name} has run {attempt}')
        self.write(
            writer, 200, self.seal(attempt), f'{self.name} {attempt}'.encode()
        )

    def seal(self, attempt):
        return {
            'Attempt-Id': attempt,
            'Response-Seal': f'seal-{self.name}-{attempt}',
        }

    # Orders

    def _take_order(self, order) -> int:
        fence = order.get('fence', -1)
        if fence < self.fence:
            return 412
        self.fence = fence
        what = order['operation']
        self.platform.record.add(
            f'{self.name} gets order {what} {order.get("group", "")} '
            f'{order.get("epoch", "")}'
        )
        match what:
            case 'join':
                return self._join(order)
            case 'phase':
                return self._begin(self._stage(order['model-id']))
        if not self.group or (
            self.group['name'] != order['group']
            or self.group['epoch'] != order['epoch']
        ):
            return 200 if what in ('close', 'leave') else 409
        state = self.group['state']
        match what:
            case 'open' if state == 'open':
                return 200
            case 'open' if state == 'ready' and self.group['rank'] == 0:
                return self._begin(self._open())
            case 'close':
                if state in ('open', 'closing'):
                    self.group['state'] = 'ready'
                    self.order_count += 1
                    return 202
                return 200
            case 'leave':
                self.group = None
                self.order_count += 1
                return 202
        return 409

    def _begin(self, coroutine) -> int:
        self.order_count += 1
        self._order_task = self._spawn(coroutine)
        return 202

    def _join(self, order) -> int:
        epoch, members = order['epoch'], tuple(order['member-nodes'])
        if epoch < self.highest_epoch:
            return 412
        if self.group and (self.group['name'], self.group['epoch']) == (
            order['group'],
            epoch,
        ):
            return 200 if self.members == members else 412
        self.highest_epoch = epoch
        self.members = members
        self.group = {
            'name': order['group'],
            'epoch': epoch,
            'rank': members.index(self.name),
            'state': 'joining',
        }
        return self._begin(self._get_ready(self.group, order['model-id']))

    async def _get_ready(self, group, model):
        profile = self.models[model]
        if model not in self.staged:
            await self._stage(model)
            await asyncio.sleep(profile['warmup-s'])
        elif self.last_model != model:
            await asyncio.sleep(profile['warmup-s'])
        else:
            await asyncio.sleep(0.2)
        if self.group is group:
            self.last_model = model
            group['state'] = 'ready'
            await self.beat()

    async def _stage(self, model):
        if model in self.staged:
            return
        await asyncio.sleep(self.models[model]['load-s'])
        self.staged = [model]
        await self.beat()

    async def _open(self):
        group = self.group
        await asyncio.sleep(0.3)
        if self.group is group:
            group['state'] = 'open'
            await self.beat()


def make_engine(models) -> dict:
    """Return an engine profile with these models."""
    return {
        'slot-count': 13,
        'kv-token-capacity': 1235000,
        'kv-token-bytes': 70272,
        'link-mbps': 400000.0,
        'stride': 6,
        'model-ids': [{'name': n, **m} for n, m in models.items()],
        'step_ms': 6.45,
        'per_seq_ms': 0.1934,
        'context_per_k': 0.00586,
        'read_per_s': 56100.0,
        'pairs_per_m': 0.309,
        'chunk': 2048,
        'report_lag_ms': 200.0,
        'loads-per-s': 5.5,
        'loads_at_once': 8,
        'staged-limit': 1,
        'far_x': 3.0,
        'form-ms': 300.0,
        'usual': {'prompt': 1115, 'answer': 152},
        'delays': [],
    }


def make_config(version, *, routes, services) -> bytes:
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [
                {'name': 'club', 'api-keys': ['k1'], 'priority': 1}
            ],
        }
    ).encode()


def make_route(name, *, prefix, kind, service, timeout_ms=1000, **more):
    return {
        'name': name,
        'host': 'a.example',
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 200,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
        **more,
    }


def make_service(name, **more):
    return {
        'name': name,
        'health-path': '/health',
        'max-conns': 100,
        'protocol': 'h1',
        'tls': False,
        'cold-start-s': 0.0,
        'cold-per-s': 0.0,
        **more,
    }


def caller_headers(attempt, *, deadline_ms, **more):
    return {
        'Host': 'a.example',
        'Attempt-Id': attempt,
        'Deadline-Ms': deadline_ms,
        'X-Api-Key': 'k1',
        **more,
    }


def run_case(play, folder, *, trouble, limit_s=105.0) -> None:
    """Play a case and exit with its result.

    `play` takes the record and returns the broken rule, or an empty text.
    """

    async def limited(record):
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await play(record)

    record = Record(pathlib.Path(folder) / 'record.txt')
    record.add(f'trouble: {trouble}')
    try:
        broken = asyncio.run(limited(record))
    except (
        CannotRun,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
        KeyboardInterrupt,
    ) as error:
        record.add(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    record.add(f'result: {broken or "held"}')
    print(broken or 'held')
    sys.exit(1 if broken else 0)
