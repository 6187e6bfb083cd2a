"""A deployment of node processes of the test build, each behind proxies."""

import asyncio
import json
import math
import os
import pathlib
import shutil
import signal
import sys
import time

from apricotthread.fakes import childprocesses
from soak import backends
from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

DATA_CENTRES = ('north', 'south')
VM_COUNT = 9
PLAIN_WORKER_COUNT = 3
STOP_TIMEOUT_S = 15.0
# A process may exit while its disk fails and for this time afterwards, by the
# rules of the platform.
DISK_EXIT_GRACE_S = 1.0
RESTART_DELAY_S = 0.5
# Two polls of the balancer, each with its timeout.
READY_GRACE_S = 2.3
LOG_LINES_PER_S = 100


def make_topology(*, controls: int, entries: int) -> schedule.Topology:
    """Return the names of all nodes, workers and data centres."""
    return schedule.Topology(
        controls=tuple(f'control-{n + 1}' for n in range(controls)),
        entries=tuple(f'entry-{n + 1}' for n in range(entries)),
        workers=(
            *(f'vm-{n + 1}' for n in range(VM_COUNT)),
            *(f'bid-{n + 1}' for n in range(PLAIN_WORKER_COUNT)),
        ),
        data_centres=DATA_CENTRES,
    )


class Deployment(platformstandin.Deployment):
    """Nodes, workers and the proxies between them.

    Proxies listen at the known address of each node; the node itself binds
    another address that only its proxies know.
    """

    def __init__(
        self,
        *,
        children: childprocesses.ChildProcesses,
        folder: pathlib.Path,
        topology: schedule.Topology,
        observations: record.Observations,
    ) -> None:
        super().__init__(
            children=children,
            folder=folder,
            controls=len(topology.controls),
            entries=len(topology.entries),
        )
        self.topology = topology
        self.observations = observations
        self.links = proxies.Links()
        self.worker_monitor = backends.WorkerMonitor(observations=observations)
        self.host_by_name = {
            **dict(zip(topology.controls, self.control_hosts, strict=True)),
            **dict(zip(topology.entries, self.entries, strict=True)),
        }
        self.bind_address_by_name = {
            name: host.replace('127.0.1.', '127.0.3.').replace(
                '127.0.2.', '127.0.4.'
            )
            for name, host in self.host_by_name.items()
        }
        self._name_by_pid: dict[int, str] = {}
        self._proxies: list[proxies.Proxy] = []
        self._expected_exit_pids: set[int] = set()
        self._disk_fails_until_by_name: dict[str, float] = {}
        self.is_closing = False

    def url_by_entry(self, port: int) -> dict[str, str]:
        """Return the URL of each entry at a port."""
        return {
            name: f'http://{self.host_by_name[name]}:{port}'
            for name in self.topology.entries
        }

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of a node or worker, by its number."""
        return DATA_CENTRES[int(name.rpartition('-')[2]) % len(DATA_CENTRES)]

    def find_process_name(
        self, client: proxies.Address, server: proxies.Address
    ) -> str:
        """Return the name of the process that has connected."""
        return proxies.find_connection_owner(client, server, self._name_by_pid)

    async def start(self) -> None:
        """Start proxies, nodes and workers."""
        for name, host in self.host_by_name.items():
            await self._open_proxies(name, host)
        for name in self.host_by_name:
            await self.start_node_process(name, first=True)
        for name in self.topology.workers:
            is_vm = name.startswith('vm')
            data_centre = self.data_centre_of(name)
            backend = backends.Backend(
                worker_monitor=self.worker_monitor,
                links=self.links,
                name=name,
                service='models' if is_vm else 'bids',
                controls=self.controls,
                domain=data_centre if is_vm else '',
                data_centre=data_centre,
            )
            await backend.start_behind_proxy(self.find_process_name)

    async def _open_proxies(self, name: str, host: str) -> None:
        ports = [self.peer_port]
        if name in self.topology.controls:
            ports.append(self.control_port)
        else:
            ports.extend((self.caller_port, self.ready_port))
        for port in ports:
            proxy = proxies.Proxy(
                links=self.links,
                name=name,
                forward_to=(self.bind_address_by_name[name], port),
                find_process_name=(
                    self.find_process_name
                    if port == self.peer_port
                    else lambda client, server: proxies.SOAK_PROCESS
                ),
            )
            await proxy.open(host, port)
            self._proxies.append(proxy)

    async def start_node_process(self, name: str, *, first: bool) -> None:
        """Write the settings of a node and start its process."""
        host = self.host_by_name[name]
        bind_address = self.bind_address_by_name[name]
        is_control = name in self.topology.controls
        path = self.folder / f'{name}.ini'
        text = platformstandin.SETTINGS.format(
            host=host,
            data=self.data_folder(name) if is_control else '',
            caller='' if is_control else f'{bind_address}:{self.caller_port}',
            ready='' if is_control else f'{bind_address}:{self.ready_port}',
            control=f'{bind_address}:{self.control_port}'
            if is_control
            else '',
            seeds=','.join(self.controls[:3]),
            first='true' if first else 'false',
            port=self.peer_port,
            role='control' if is_control else 'entry',
            data_centre=self.data_centre_of(name),
            data_centres=','.join(DATA_CENTRES),
            more=f'bind_host = {bind_address}',
            grace=READY_GRACE_S,
            lines=LOG_LINES_PER_S,
        )
        path.write_text(text)
        with open(self.folder / f'{name}.log', 'ab') as log:
            process = await self.children.start(
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
        self.process_by_host[name] = process
        self._name_by_pid[process.pid] = name
        asyncio.create_task(self.watch(name, process))

    async def watch(self, name: str, process) -> None:
        """Record an unexpected exit of a node, or restart the node.

        It is restarted if it exits while its disk fails.
        """
        status = await process.wait()
        self._name_by_pid.pop(process.pid, None)
        if process.pid in self._expected_exit_pids or self.is_closing:
            return
        if time.monotonic() > self._disk_fails_until_by_name.get(name, 0.0):
            self.observations.exits.append(
                f'{name} ended with status {status}'
            )
            return
        # The node can not start without a disk; retry as a supervisor would.
        await asyncio.sleep(RESTART_DELAY_S)
        if self.process_by_host.get(name) is process and not self.is_closing:
            await self.start_node_process(name, first=False)

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the folder that is the disk of a node."""
        return self.folder / f'data-{name}'

    def fault_file(self, name: str) -> pathlib.Path:
        """Return the file with the injected faults of a node."""
        return self.folder / f'{name}.faults'

    def set_fault(self, name: str, **faults) -> None:
        """Set the faults of a node's disk or clock; without any, end them."""
        if 'disk' in faults:
            self._disk_fails_until_by_name[name] = math.inf
        elif name in self._disk_fails_until_by_name:
            self._disk_fails_until_by_name[name] = (
                time.monotonic() + DISK_EXIT_GRACE_S
            )
        path = self.fault_file(name)
        new_path = path.with_suffix('.new')
        new_path.write_text(json.dumps(faults))
        new_path.replace(path)

    def is_running(self, name: str) -> bool:
        """Whether a node was started and not yet ended by end_process."""
        return name in self.process_by_host

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a node if its process is alive."""
        process = self.process_by_host.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(signum)

    async def end_process(self, name: str, signum: signal.Signals) -> None:
        """End a node by a signal and wait for its exit.

        A node that takes longer than STOP_TIMEOUT_S is recorded as a
        violation and killed.
        """
        process = self.process_by_host.pop(name, None)
        if process is None:
            return
        self._expected_exit_pids.add(process.pid)
        if process.returncode is None:
            process.send_signal(signum)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.observations.exits.append(
                f'{name} did not exit after {signum.name}'
            )
            process.kill()
            await process.wait()

    def wipe(self, name: str) -> None:
        """Delete the disk of a node that is down."""
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    async def close(self) -> None:
        """End all workers, nodes and proxies."""
        self.is_closing = True
        for backend in self.worker_monitor.worker_by_name.values():
            backend.close()
        for name in list(self.process_by_host):
            self.send_signal(name, signal.SIGCONT)
            await self.end_process(name, signal.SIGKILL)
        for proxy in self._proxies:
            proxy.close()
