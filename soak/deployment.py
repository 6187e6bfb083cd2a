"""Nodes of a test build as processes, each behind proxies."""

import asyncio
import json
import math
import os
import pathlib
import shutil
import signal
import sys
import time

from soak import backends
from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

DATA_CENTRES = ('north', 'south')
VMS = 9
PLAIN_WORKERS = 3
STOP_TIMEOUT_S = 15.0
# A process may end by itself while its disk fails, and so long after (the
# platform's rules).
EXIT_AFTER_S = 1.0
RESTART_S = 0.5
# Two questions of the balancer, each with its time limit.
READY_GRACE_S = 2.3
LOG_LINES_PER_S = 100


def make_shape(*, controls: int, entries: int) -> schedule.Shape:
    """Return the names of everybody."""
    return schedule.Shape(
        controls=tuple(f'control-{n + 1}' for n in range(controls)),
        entries=tuple(f'entry-{n + 1}' for n in range(entries)),
        workers=(
            *(f'vm-{n + 1}' for n in range(VMS)),
            *(f'bid-{n + 1}' for n in range(PLAIN_WORKERS)),
        ),
        data_centres=DATA_CENTRES,
    )


class Deployment(platformstandin.Deployment):
    """Each node binds an address that only its proxies know."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        shape: schedule.Shape,
        seen: record.Record,
    ) -> None:
        super().__init__(
            folder=folder,
            controls=len(shape.controls),
            entries=len(shape.entries),
        )
        self.shape = shape
        self.seen = seen
        self.links = proxies.Links()
        self.world = backends.World(seen=seen)
        self.host_by_name = {
            **dict(zip(shape.controls, self.control_hosts, strict=True)),
            **dict(zip(shape.entries, self.entries, strict=True)),
        }
        self.bound_by_name = {
            name: host.replace('127.0.1.', '127.0.3.').replace(
                '127.0.2.', '127.0.4.'
            )
            for name, host in self.host_by_name.items()
        }
        self._name_by_pid: dict[int, str] = {}
        self._proxies: list[proxies.Proxy] = []
        self._expected_exits: set[int] = set()
        self._disk_fails_until: dict[str, float] = {}
        self.is_closing = False

    def url_by_entry(self, port: int) -> dict[str, str]:
        """Return where each entry is reached at a port."""
        return {
            name: f'http://{self.host_by_name[name]}:{port}'
            for name in self.shape.entries
        }

    def data_centre_of(self, name: str) -> str:
        """Return where a node or a worker stands, by its number."""
        return DATA_CENTRES[int(name.rpartition('-')[2]) % len(DATA_CENTRES)]

    def find_name(self, port: int) -> str:
        """Return which process has a connection from a local port."""
        return proxies.find_owner(port, self._name_by_pid)

    async def start(self) -> None:
        """Start proxies, nodes and workers."""
        for name, host in self.host_by_name.items():
            await self._open_proxies(name, host)
        for name in self.host_by_name:
            await self.start_named(name, first=True)
        for name in self.shape.workers:
            is_vm = name.startswith('vm')
            data_centre = self.data_centre_of(name)
            backend = backends.Backend(
                world=self.world,
                links=self.links,
                name=name,
                service='models' if is_vm else 'bids',
                controls=self.controls,
                domain=data_centre if is_vm else '',
                data_centre=data_centre,
            )
            await backend.start_behind(self.find_name)

    async def _open_proxies(self, name: str, host: str) -> None:
        ports = [self.peer_port]
        if name in self.shape.controls:
            ports.append(self.control_port)
        else:
            ports.extend((self.caller_port, self.ready_port))
        for port in ports:
            proxy = proxies.Proxy(
                links=self.links,
                name=name,
                forward_to=(self.bound_by_name[name], port),
                find_name=(
                    self.find_name
                    if port == self.peer_port
                    else lambda _: proxies.OUTSIDE
                ),
            )
            await proxy.open(host, port)
            self._proxies.append(proxy)

    async def start_named(self, name: str, *, first: bool) -> None:
        """Start a node."""
        host = self.host_by_name[name]
        bound = self.bound_by_name[name]
        is_control = name in self.shape.controls
        path = self.folder / f'{name}.ini'
        text = platformstandin.SETTINGS.format(
            host=host,
            data=self.data_folder(name) if is_control else '',
            caller='' if is_control else f'{bound}:{self.caller_port}',
            ready='' if is_control else f'{bound}:{self.ready_port}',
            control=f'{bound}:{self.control_port}' if is_control else '',
            seeds=','.join(self.controls[:3]),
            first='true' if first else 'false',
            port=self.peer_port,
            role='control' if is_control else 'entry',
            data_centre=self.data_centre_of(name),
            data_centres=','.join(DATA_CENTRES),
            more=f'bind_host = {bound}',
            grace=READY_GRACE_S,
            lines=LOG_LINES_PER_S,
        )
        path.write_text(text)
        log = open(self.folder / f'{name}.log', 'ab')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'soak.testnode',
            '--settings',
            str(path),
            '--faults',
            str(self.fault_file(name)),
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        log.close()
        self.process_by_host[name] = process
        self._name_by_pid[process.pid] = name
        asyncio.create_task(self.watch(name, process))

    async def watch(self, name: str, process) -> None:
        """Note a node that ends by itself."""
        status = await process.wait()
        self._name_by_pid.pop(process.pid, None)
        if process.pid in self._expected_exits or self.is_closing:
            return
        if time.monotonic() > self._disk_fails_until.get(name, 0.0):
            self.seen.exits.append(f'{name} ended with status {status}')
            return
        # Without a disk it can not start; a supervisor tries again.
        await asyncio.sleep(RESTART_S)
        if self.process_by_host.get(name) is process and not self.is_closing:
            await self.start_named(name, first=False)

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the disk of a node."""
        return self.folder / f'data-{name}'

    def fault_file(self, name: str) -> pathlib.Path:
        """Return the file that says what of a node fails."""
        return self.folder / f'{name}.faults'

    def set_fault(self, name: str, **faults) -> None:
        """Have a node's disk or time of day fail, or be right again."""
        if 'disk' in faults:
            self._disk_fails_until[name] = math.inf
        elif name in self._disk_fails_until:
            self._disk_fails_until[name] = time.monotonic() + EXIT_AFTER_S
        path = self.fault_file(name)
        new = path.with_suffix('.new')
        new.write_text(json.dumps(faults))
        new.replace(path)

    def is_running(self, name: str) -> bool:
        """Whether a node's process is there."""
        return name in self.process_by_host

    def send_signal(self, name: str, how: signal.Signals) -> None:
        """Send a signal to a node that runs."""
        process = self.process_by_host.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(how)

    async def end(self, name: str, how: signal.Signals) -> None:
        """End a node by a signal, and wait for it."""
        process = self.process_by_host.pop(name, None)
        if process is None:
            return
        self._expected_exits.add(process.pid)
        if process.returncode is None:
            process.send_signal(how)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.seen.exits.append(f'{name} did not end on {how.name}')
            process.kill()
            await process.wait()

    def wipe(self, name: str) -> None:
        """Lose the disk of a node that is down."""
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    async def close(self) -> None:
        """End everything that was started."""
        self.is_closing = True
        for backend in self.world.worker_by_name.values():
            backend.close()
        for name in list(self.process_by_host):
            self.send_signal(name, signal.SIGCONT)
            await self.end(name, signal.SIGKILL)
        for proxy in self._proxies:
            proxy.close()
