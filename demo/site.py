"""The system that the demonstration runs: nodes, endpoints and a table."""

import asyncio
import contextlib
import pathlib
import shutil
import sys

import aiohttp
import msgspec

from apricotthread.control import tables
from apricotthread.fakes import childprocesses
from apricotthread.fakes import endpointhost
from apricotthread.fakes import localsystem

DATA_CENTRES = ['north', 'middle', 'south']
VMS_PER_DATA_CENTRE = 4
ACCOUNT_KEYS = {'farmers': 'demo-farmers', 'arbiters': 'demo-arbiters'}
SERVING_TIMEOUT_S = 30.0
POLL_S = 0.2
TABLE = (
    tables.ServiceRow(name='describe', type='model', group_vms=2, weight=2),
    tables.ServiceRow(name='explain', type='model', group_vms=2, weight=1),
    tables.ServiceRow(name='bidding', type='plain'),
    tables.ServiceRow(name='tournament', type='plain'),
    *(
        tables.AccountRow(
            name=name, limit=240, key_sha256=localsystem.digest_key(key)
        )
        for name, key in ACCOUNT_KEYS.items()
    ),
    tables.RequestRow(
        name='bid', service='bidding', match='POST /bids*', repeatable=False
    ),
    tables.RequestRow(
        name='result',
        service='tournament',
        match='POST /results*',
        repeatable=False,
    ),
)


class Site:
    """Three nodes in three data centres, and a process of fake endpoints."""

    def __init__(
        self,
        *,
        children: childprocesses.ChildProcesses,
        folder: pathlib.Path,
    ) -> None:
        self._children = children
        shutil.rmtree(folder, ignore_errors=True)
        self.folder = folder.absolute()
        self.nodes = localsystem.plan_nodes(DATA_CENTRES, 1)
        self.system = localsystem.LocalSystem(
            children=children,
            folder=self.folder,
            nodes=self.nodes,
            timing={'ready_grace_s': '1'},
        )
        self.host_port = localsystem.find_free_ports(1)[0]
        self._host_process: asyncio.subprocess.Process | None = None

    @property
    def host_url(self) -> str:
        """Return the base URL of the process of fake endpoints."""
        return f'http://{localsystem.HOST}:{self.host_port}'

    async def start(self, http: aiohttp.ClientSession) -> None:
        """Start everything; return once every service is served."""
        await self.system.start()
        await self._start_host()
        await self.system.wait_for_leader(http)
        await self.system.change_rows(http, self.nodes[0].node_id, list(TABLE))
        await self.system.wait_until_ready(http)
        await self.wait_until_serving(http)

    async def _start_host(self) -> None:
        plan = endpointhost.HostPlan(
            port=self.host_port,
            entries_by_data_centre={
                node.data_centre: [node.endpoint_url] for node in self.nodes
            },
            vms=[
                endpointhost.VmPlan(
                    endpoint_id=f'{name}-vm{number}',
                    data_centre=name,
                    fabric_domain=f'{name}-fabric',
                )
                for name in DATA_CENTRES
                for number in range(1, VMS_PER_DATA_CENTRE + 1)
            ],
            workers=[
                endpointhost.WorkerPlan(
                    endpoint_id=f'{name}-{service}',
                    data_centre=name,
                    service=service,
                )
                for name in DATA_CENTRES
                for service in ('bidding', 'tournament')
            ],
        )
        path = self.folder / 'endpoints.json'
        path.write_bytes(msgspec.json.encode(plan))
        self._host_process = await self._children.start(
            sys.executable,
            '-m',
            'apricotthread.fakes.endpointhost',
            str(path),
        )

    async def wait_until_serving(self, http: aiohttp.ClientSession) -> None:
        """Return once every service has endpoints that accept requests."""
        async with asyncio.timeout(SERVING_TIMEOUT_S):
            while not await self._is_serving(http):
                await asyncio.sleep(POLL_S)

    async def _is_serving(self, http: aiohttp.ClientSession) -> bool:
        status = await self.system.fetch_status(http, self.nodes[0].node_id)
        if status is None or not status.services:
            return False
        return all(service.limit_requests for service in status.services)

    async def stop(self) -> dict[str, int]:
        """Stop everything; return the exit statuses by node id."""
        statuses = await self.system.stop()
        if self._host_process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._host_process.terminate()
            await self._host_process.wait()
        return statuses
