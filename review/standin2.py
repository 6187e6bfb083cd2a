"""Stand-ins of the second review: platform, operator, workers and clients.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses, with the
standard library only. The nodes are the project's own program, started with
the command and the template of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('za', 'zb', 'zc')
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BEAT_S = 1.2
DRAIN_TIMEOUT_S = 2.0


class CouldNotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._began = time.monotonic()

    def add(self, text):
        """Add a line with the time since the start of the case."""
        now = time.monotonic() - self._began
        self._file.write(f'{now:8.3f} {text}\n')
        self._file.flush()


# The platform: settings and processes


def _look_up(path, scopes):
    for scope in scopes:
        value = scope
        for part in path.split('.'):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _format(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(map(_format, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


_SECTION = re.compile(r'\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.-]+)\}\}')


def render(template, fields):
    """Fill in a template of DEPLOY.md with the fields of a process."""

    def section(match):
        kind, path, inner = match.groups()
        value = _look_up(path, [fields])
        if kind == '^':
            return '' if value else render(inner, fields)
        if not value:
            return ''
        if isinstance(value, dict):
            return ''.join(
                render(inner.replace('{{@}}', key), fields) for key in value
            )
        if isinstance(value, list):
            return ''.join(
                render(inner.replace('{{.}}', _format(v)), fields)
                for v in value
            )
        return render(inner, fields)

    text = _SECTION.sub(section, template)
    return _VALUE.sub(lambda m: _format(_look_up(m[1], [fields])), text)


class Node:
    """A process of the system on a loopback address of its own."""

    def __init__(self, platform, name, role, address, zone):
        self.platform, self.name, self.role = platform, name, role
        self.address, self.zone = address, zone
        self.folder = platform.folder / name
        self.folder.mkdir()
        self.process = None
        self.was_started = False

    def start(self):
        """Start the process, with the settings in force now."""
        platform = self.platform
        control = self.role == 'control'
        listen = {'front': f'{self.address}:{platform.front}'}
        listen['ready'] = f'{self.address}:{platform.ready}'
        if control:
            listen = {'control': f'{self.address}:{platform.control}'}
            (self.folder / 'data').mkdir(exist_ok=True)
        fields = {
            'node': self.name,
            'node-role': self.role,
            'machine-class': 'core' if control else 'edge',
            'serves': 'control' if control else 'edge',
            'ip': self.address,
            'zone': self.zone,
            'region': 'r',
            'zones': {zone: 'r' for zone in ZONES},
            'listen-addrs': listen,
            'port-range': [platform.peer, platform.peer + 15],
            'seed-nodes': platform.control_addresses(),
            'bootstrap': not self.was_started,
            'fault-counted': control,
            'fault-tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'retry-budget-ratio': 0.2,
                'budget-window-s': 10,
                'budget-slack': 132,
                'cold-overshoot': 1.5,
            },
        }
        if control:
            fields['data-path'] = str(self.folder / 'data')
        template = (ROOT / 'deploy' / 'node.ini.tmpl').read_text()
        file = self.folder / 'node.conf'
        file.write_text(render(template, fields))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['APRICOTTHREAD_NODE_FILE'] = str(file)
        self.was_started = True
        log = open(self.folder / 'log', 'ab')
        self.process = subprocess.Popen(
            ['python3', '-m', 'apricotthread.daemon.main'],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """End the process for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def _is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Platform:
    """Three machines of the core, and some edge machines."""

    def __init__(self, *, edges=2):
        if not (ROOT / 'target' / 'deps' / 'apricotthread').is_dir():
            raise CouldNotRun('the build of the deploy file is missing')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))
        chance = random.SystemRandom()
        for _ in range(100):
            self.net = f'127.{chance.randrange(40, 250)}'
            base = chance.randrange(11000, 30000)
            self.front, self.ready, self.control = base, base + 1, base + 2
            self.peer = base + 10
            hosts = [f'{self.net}.1.{n + 1}' for n in range(3)] + [
                f'{self.net}.2.{n + 1}' for n in range(edges)
            ]
            ports = [base, base + 1, base + 2, self.peer, 9464]
            if all(_is_free(h, p) for h in hosts for p in ports):
                break
        else:
            raise CouldNotRun('no free loopback addresses')
        self.controls = [
            Node(self, f'core-{n}', 'control', f'{self.net}.1.{n + 1}', zone)
            for n, zone in enumerate(ZONES)
        ]
        self.edges = [
            Node(self, f'edge-{n}', 'entry', f'{self.net}.2.{n + 1}',
                 ZONES[n % 3])
            for n in range(edges)
        ]

    def control_addresses(self):
        """Return the addresses that serve control."""
        return [f'{node.address}:{self.control}' for node in self.controls]

    def start(self):
        """Start all processes for the first time."""
        for node in self.controls + self.edges:
            node.start()

    def close(self):
        """End all processes and remove their files."""
        for node in self.controls + self.edges:
            node.end()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, within_s=30.0):
        """Wait until every edge machine says that it is ready."""
        until = time.monotonic() + within_s
        for node in self.edges:
            while True:
                answer = await call(
                    f'{node.address}:{self.ready}', 'GET', '/-/ready'
                )
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CouldNotRun(f'{node.name} is never ready')
                await asyncio.sleep(0.2)


# HTTP


class Broken(Exception):
    """An answer that is not complete."""


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *rest = head[:-4].split('\r\n')
    headers = {}
    for line in rest:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, on_part=lambda part: None):
    """Return a whole body; raise Broken if it ends early."""
    body = b''
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).strip(), 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body
                on_part(part)
                body += part
        size = int(headers.get('content-length', 0))
        body = await reader.readexactly(size)
        on_part(body)
        return body
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(body) from error


async def call(address, method, path, *, body=b'', headers=None, within_s=1.0):
    """Send one request on a channel of its own.

    Return status, headers and body, None if no whole answer came in time.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {path} HTTP/1.1']
            sent = {'Host': address, 'Content-Length': str(len(body))}
            sent.update(headers or {})
            lines += [f'{name}: {value}' for name, value in sent.items()]
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            first, answered = await read_head(reader)
            return (
                int(first.split()[1]),
                answered,
                await read_body(reader, answered),
            )
    except (OSError, TimeoutError, Broken, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """The operator of the platform."""

    def __init__(self, platform, record):
        self._platform, self._record = platform, record

    async def put(self, config, *, within_s=30.0):
        """Send a config until it is answered clearly; return the status."""
        body = config if isinstance(config, bytes) else json.dumps(
            config).encode()
        until = time.monotonic() + within_s
        turn, pause_s = 0, 0.1
        while time.monotonic() < until:
            addresses = self._platform.control_addresses()
            address = addresses[turn % len(addresses)]
            turn += 1
            answer = await call(
                address, 'POST', '/-/config/put', body=body,
                headers={'Content-Type': 'application/json'}, within_s=2.0,
            )
            if answer is not None and (
                answer[0] == 200 or 400 <= answer[0] < 500
            ):
                return answer[0]
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return 0

    async def get(self):
        """Return the bytes of the config read back, None if none comes."""
        for address in self._platform.control_addresses():
            answer = await call(address, 'GET', '/-/config/get')
            if answer is not None and answer[0] == 200:
                return answer[2]
        return None


# Workers


class Worker:
    """A worker of a plain service.

    `make_events` returns the events of a stream, as bytes, by their ids.
    """

    def __init__(self, platform, record, *, name, service, zone, number,
                 slots=8, make_events=None, gap_s=0.05):
        self.platform, self.record = platform, record
        self.name, self.service, self.zone = name, service, zone
        self.host = f'{platform.net}.3.{number + 1}'
        self.slots, self.gap_s = slots, gap_s
        self.make_events = make_events
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = ''
        self.running = 0
        self.crashed = False
        self._server = None
        self._tasks = set()
        self._writers = set()

    async def start(self):
        """Listen, and check in from now on."""
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        self._spawn(self._check_in())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self):
        """End at once: channels are reset, nothing listens any more."""
        self.crashed = True
        self.record.add(f'worker {self.name} crashes')
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self):
        """Return the body of a check-in."""
        self.sequence += 1
        return {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slot-count': self.slots,
            'state': self.state, 'cold-left-ms': 0,
            'sequence': self.sequence, 'born': self.born,
        }

    async def _check_in(self):
        turn = random.randrange(3)
        while True:
            body = json.dumps(self.describe()).encode()
            for _ in range(3):
                addresses = self.platform.control_addresses()
                answer = await call(
                    addresses[turn % 3], 'POST',
                    f'/-/instances/{self.name}/heartbeat', body=body,
                    headers={'Content-Type': 'application/json'},
                )
                if answer is not None and 200 <= answer[0] < 300:
                    break
                turn += 1
            await asyncio.sleep(BEAT_S)

    def _accept(self, reader, writer):
        self._writers.add(writer)
        self._spawn(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self.answer(first, headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, Broken):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, writer):
        """Answer one request."""
        expected = headers.get('expect-instance', self.name)
        attempt = headers.get('attempt-id', '')
        if expected != self.name:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0'
                + f'\r\nAttempt-Id: {attempt}\r\n\r\n'.encode())
            return
        self.running += 1
        self.record.add(
            f'worker {self.name} runs {attempt}: {first}; Last-Event-Id '
            f'{headers.get("last-event-id", "none")}')
        try:
            await self._run(headers, attempt, writer)
            self.record.add(f'worker {self.name} has run {attempt}')
        finally:
            self.running -= 1

    def seal(self, attempt):
        """Return the headers of a sound answer."""
        return (
            f'Attempt-Id: {attempt}\r\nResponse-Seal: s-{self.name}-{attempt}'
            f'\r\nInstance-Load: {self.running},0,{self.slots}\r\n')

    async def _run(self, headers, attempt, writer):
        if self.make_events is None:
            await asyncio.sleep(self.gap_s)
            body = f'{self.name} {attempt}'.encode()
            writer.write(
                (f'HTTP/1.1 200 OK\r\n{self.seal(attempt)}'
                 f'Content-Length: {len(body)}\r\n\r\n').encode() + body)
            return
        writer.write(
            (f'HTTP/1.1 200 OK\r\n{self.seal(attempt)}Content-Type: '
             'text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
             ).encode())
        last = int(headers.get('last-event-id', 0))
        for number, event in self.make_events():
            if number <= last:
                continue
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')


# Configs

LIMITS = {
    'max-header-bytes': 16384, 'max-body-bytes': 4194304,
    'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
}
HOST = 'site.example'
KEY = 'key-of-the-club'


def make_route(name, prefix, kind, service, **more):
    """Return a route; `more` has its other fields, with underscores."""
    route = {
        'name': name, 'host': HOST, 'path-prefix': prefix, 'kind': kind,
        'timeout-ms': 8000, 'target-latency-ms': 400, 'priority': 1,
        'service': service, 'max-attempts': 2, 'public': False,
    }
    route.update({k.replace('_', '-'): v for k, v in more.items()})
    return route


def make_config(version, routes, services):
    """Return a config; services are names of plain ones."""
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': name, 'health-path': '/health', 'max-conns': 110,
             'protocol': 'h1', 'tls': False, 'cold-start-s': 0.0,
             'cold-per-s': 0.0}
            for name in services
        ],
        'limits': LIMITS,
        'tenants': [{'name': 'club', 'api-keys': [KEY], 'priority': 1}],
    }


def run_case(folder, case):
    """Run a case, given as a coroutine function; exit with its result."""
    folder = pathlib.Path(folder).resolve()
    record = Record(folder)

    async def run():
        platform = Platform()
        try:
            async with asyncio.timeout(110.0):
                return await case(platform, record)
        finally:
            platform.close()

    record.add(f'TROUBLE={int(TROUBLE)}')
    try:
        result = asyncio.run(run())
    except (CouldNotRun, TimeoutError, OSError) as error:
        record.add(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(COULD_NOT_RUN)
    record.add('the rule was broken' if result == BROKEN else
               'the rule held' if result == HELD else 'could not run')
    print({BROKEN: 'broken', HELD: 'held'}.get(result, 'could not run'))
    sys.exit(result)
