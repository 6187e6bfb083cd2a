"""Runs node processes on loopback and calls their operator interface."""

import asyncio
import contextlib
import dataclasses
import errno
import hashlib
import os
import pathlib
import random
import signal
import socket
import sys

import aiohttp
import msgspec

from apricotthread.control import commands
from apricotthread.control import tables
from apricotthread.fakes import childprocesses
from apricotthread.operators import bodies

HOST = '127.0.0.1'
# Binding a port at this address reserves it; nothing listens there.
RESERVATION_HOST = '127.255.255.254'
# Below the ports that the operating system gives to outgoing connections.
PORTS = range(10000, 32768)
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
STOP_TIMEOUT_S = 30.0

SETTINGS = """\
[node]
id = {node_id}
data_centre = {data_centre}
data_folder = {data_folder}

[listen]
host = {host}
caller_port = {caller_port}
endpoint_port = {endpoint_port}
operator_port = {operator_port}

[nodes]
{nodes}

[log]
file = {log_file}

[timing]
{timing}
[limits]
{limits}
"""

# In an order of its own for each process, to try few ports in vain.
_untried_ports = iter(random.sample(PORTS, len(PORTS)))
# Sockets that reserve ports while this process lives.
_reservations: list[socket.socket] = []


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodePlan:
    """The id, data centre, role and ports of a node of a local system."""

    node_id: str
    data_centre: str
    is_voter: bool
    peer_port: int
    caller_port: int
    endpoint_port: int
    operator_port: int

    @property
    def caller_url(self) -> str:
        """Return the URL for callers."""
        return f'http://{HOST}:{self.caller_port}'

    @property
    def endpoint_url(self) -> str:
        """Return the URL at which endpoints announce themselves."""
        return f'http://{HOST}:{self.endpoint_port}'

    @property
    def operator_url(self) -> str:
        """Return the URL for operators."""
        return f'http://{HOST}:{self.operator_port}'


def find_free_ports(count: int) -> list[int]:
    """Return free TCP ports, each given out once.

    A port stays reserved, across processes, for the life of this process.
    Raises OSError if no port is left.
    """
    return [_reserve_port() for _ in range(count)]


def _reserve_port() -> int:
    for port in _untried_ports:
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
            with socket.socket() as unused_socket:
                unused_socket.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port
    raise OSError(errno.EADDRINUSE, 'no port is free')


def plan_nodes(data_centres: list[str], per_data_centre: int):
    """Return nodes for each data centre; the first of each is a voter."""
    names = [
        (name, number)
        for name in data_centres
        for number in range(1, per_data_centre + 1)
    ]
    ports = iter(find_free_ports(4 * len(names)))
    return [
        NodePlan(
            node_id=f'{name}-{number}',
            data_centre=name,
            is_voter=number == 1,
            peer_port=next(ports),
            caller_port=next(ports),
            endpoint_port=next(ports),
            operator_port=next(ports),
        )
        for name, number in names
    ]


def digest_key(key: str) -> str:
    """Return the digest of an account's key as stored in the table."""
    return hashlib.sha256(key.encode()).hexdigest()


class LocalSystem:
    """Node processes on loopback that are started and stopped by id.

    `children` owns the processes, and ends those that were not stopped.
    """

    def __init__(
        self,
        *,
        children: childprocesses.ChildProcesses,
        folder: pathlib.Path,
        nodes: list[NodePlan],
        timing: dict[str, str] | None = None,
        limits: dict[str, str] | None = None,
    ) -> None:
        self._children = children
        self.folder = folder
        self.plan_by_id = {plan.node_id: plan for plan in nodes}
        self._timing = timing or {}
        self._limits = limits or {}
        self.process_by_id: dict[str, asyncio.subprocess.Process] = {}

    def settings_path(self, node_id: str) -> pathlib.Path:
        """Return the path of a node's settings file."""
        return self.folder / f'{node_id}.ini'

    def log_path(self, node_id: str) -> pathlib.Path:
        """Return the path of a node's log."""
        return self.folder / f'{node_id}.log'

    def write_settings(self) -> None:
        """Write the settings file of every node."""
        self.folder.mkdir(parents=True, exist_ok=True)
        rows = [
            f'{p.node_id} = {p.data_centre} {HOST}:{p.peer_port} '
            + ('entry,control' if p.is_voter else 'entry')
            for p in self.plan_by_id.values()
        ]
        for plan in self.plan_by_id.values():
            data_folder = self.folder / f'{plan.node_id}.data'
            text = SETTINGS.format(
                node_id=plan.node_id,
                data_centre=plan.data_centre,
                data_folder=data_folder if plan.is_voter else '',
                host=HOST,
                caller_port=plan.caller_port,
                endpoint_port=plan.endpoint_port,
                operator_port=plan.operator_port,
                nodes='\n'.join(rows),
                log_file=self.log_path(plan.node_id),
                timing=_format_keys(self._timing),
                limits=_format_keys(self._limits),
            )
            self.settings_path(plan.node_id).write_text(text)

    async def start_node(self, node_id: str) -> None:
        """Start one node process."""
        daemon = pathlib.Path(sys.executable).with_name('apricotthread-node')
        with open(self.folder / f'{node_id}.out', 'ab') as out:
            process = await self._children.start(
                str(daemon),
                '--settings',
                str(self.settings_path(node_id)),
                stdout=out,
                stderr=out,
            )
        self.process_by_id[node_id] = process

    async def start(self) -> None:
        """Write the settings and start every node."""
        self.write_settings()
        for node_id in self.plan_by_id:
            await self.start_node(node_id)

    async def stop_node(self, node_id: str) -> int:
        """Stop one node gracefully; return its exit status.

        A node that has not stopped after STOP_TIMEOUT_S seconds is killed.
        """
        process = self.process_by_id.pop(node_id)
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def kill_node(self, node_id: str) -> None:
        """Kill one node, to simulate a crash."""
        process = self.process_by_id.pop(node_id)
        process.kill()
        await process.wait()

    async def stop(self) -> dict[str, int]:
        """Stop every node; return the exit statuses by node id."""
        names = list(self.process_by_id)
        statuses = await asyncio.gather(*(self.stop_node(n) for n in names))
        return dict(zip(names, statuses, strict=True))

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Return once every running node is ready for callers."""
        for node_id in self.process_by_id:
            url = self.plan_by_id[node_id].caller_url + '/readyz'
            await wait_for_status(session, url, 200)

    async def wait_for_leader(self, session: aiohttp.ClientSession) -> str:
        """Return the leader's id once a node reports one."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                for node_id in self.process_by_id:
                    status = await self.fetch_status(session, node_id)
                    if status is not None and status.leader:
                        return status.leader
                await asyncio.sleep(POLL_S)

    async def fetch_status(
        self, session: aiohttp.ClientSession, node_id: str
    ) -> bodies.StatusBody | None:
        """Return the status that a node reports, None if it is down."""
        url = self.plan_by_id[node_id].operator_url + '/status'
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                return msgspec.json.decode(
                    await response.read(), type=bodies.StatusBody
                )
        return None

    async def change_rows(
        self,
        session: aiohttp.ClientSession,
        node_id: str,
        rows: list[tables.AnyRow],
        *,
        command_id: str | None = None,
        base_version: int = 10**9,
    ) -> bodies.OutcomeBody:
        """Set rows of the table through one node."""
        body = bodies.ChangeBody(
            command_id=command_id or os.urandom(8).hex(),
            operator='local',
            base_version=base_version,
            edits=[
                commands.RowEdit(key=tables.key_of(row), row=row)
                for row in rows
            ],
        )
        return await self._post(session, node_id, '/changes', body)

    async def mark_data_centre(
        self,
        session: aiohttp.ClientSession,
        node_id: str,
        name: str,
        *,
        out: bool,
    ) -> bodies.OutcomeBody:
        """Take a data centre out or bring it back through one node."""
        body = bodies.MarkBody(
            command_id=os.urandom(8).hex(),
            operator='local',
            base_version=10**9,
            out=out,
        )
        return await self._post(
            session, node_id, f'/data-centres/{name}', body
        )

    async def _post(
        self,
        session: aiohttp.ClientSession,
        node_id: str,
        path: str,
        body: msgspec.Struct,
    ) -> bodies.OutcomeBody:
        url = self.plan_by_id[node_id].operator_url + path
        async with session.post(
            url, data=msgspec.json.encode(body)
        ) as response:
            return msgspec.json.decode(
                await response.read(), type=bodies.OutcomeBody
            )


def _format_keys(value_by_key: dict[str, str]) -> str:
    return ''.join(f'{k} = {v}\n' for k, v in value_by_key.items())


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, status: int
) -> None:
    """Return once a URL answers with the HTTP status."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.get(url) as response:
                    if response.status == status:
                        return
            await asyncio.sleep(POLL_S)
