"""What all measurements share: a site, process accounting, results."""

import asyncio
import collections.abc
import contextlib
import csv
import os
import pathlib
import resource
import shutil
import sys
import tempfile

import aiohttp
import msgspec

from apricotthread.control import tables
from apricotthread.fakes import endpointhost
from apricotthread.fakes import engines
from apricotthread.fakes import localsystem

KEY = 'bench'
RESULTS = pathlib.Path('bench/results')
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
READY_TIMEOUT_S = 60.0
HEADERS = {'Authorization': f'Bearer {KEY}'}


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory of a process that is resident now."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def write_rows(name: str, rows: list[dict]) -> pathlib.Path:
    """Write a table of results as CSV and print it."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f'{name}.csv'
    with open(path, 'w', newline='', encoding='utf-8') as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator='\n')
        writer.writeheader()
        writer.writerows(rows)
    for row in rows:
        print('  ' + '  '.join(f'{k}={v}' for k, v in row.items()))
    return path


def raise_file_limit() -> None:
    """Allow as many open connections as the system does."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Site:
    """Nodes as processes, one process of fakes, and a table."""

    def __init__(
        self,
        *,
        nodes: list[localsystem.NodePlan] | None = None,
        data_centres: int = 1,
        per_data_centre: int = 1,
        vms: int = 2,
        group_vms: int = 1,
        workers: int = 1,
        traits: engines.EngineTraits | None = None,
        timing: dict[str, str] | None = None,
        limits: dict[str, str] | None = None,
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='bench'))
        names = [f'dc{number}' for number in range(1, data_centres + 1)]
        self.nodes = nodes or localsystem.plan_nodes(names, per_data_centre)
        self.system = localsystem.LocalSystem(
            folder=self.folder,
            nodes=self.nodes,
            timing=timing,
            limits=limits,
        )
        self._group_vms = group_vms
        entries: dict[str, list[str]] = {}
        for node in self.nodes:
            entries.setdefault(node.data_centre, []).append(node.endpoint_url)
        ports = dict(
            zip(names, localsystem.find_free_ports(len(names)), strict=True)
        )
        self.host_url = f'http://{localsystem.HOST}:{ports[names[0]]}'
        self._plan_by_data_centre = {
            name: endpointhost.HostPlan(
                port=ports[name],
                entries_by_data_centre=entries,
                vms=[
                    endpointhost.VmPlan(
                        endpoint_id=f'{name}-vm{number}',
                        data_centre=name,
                        fabric_domain=f'{name}-fabric',
                        traits=traits or engines.EngineTraits(cold_requests=0),
                    )
                    for number in range(vms)
                ],
                workers=[
                    endpointhost.WorkerPlan(
                        endpoint_id=f'{name}-w{number}',
                        data_centre=name,
                        service='bidding',
                    )
                    for number in range(workers)
                ],
            )
            for name in names
        }
        self._vms = vms * data_centres
        self._hosts: dict[str, asyncio.subprocess.Process] = {}

    def pid(self, node_id: str) -> int:
        """Return the process id of a node."""
        return self.system.process_by_id[node_id].pid

    async def start(self, http: aiohttp.ClientSession) -> None:
        """Start everything; return once every group serves."""
        await self.system.start()
        for name in self._plan_by_data_centre:
            await self.start_host(name)
        await self.system.wait_for_leader(http)
        await self.system.change_rows(
            http, self.nodes[0].node_id, self._rows()
        )
        await self.system.wait_until_ready(http)
        await self._wait_for_groups(http)

    async def start_host(self, data_centre: str) -> None:
        """Start the process of a data centre's endpoints."""
        path = self.folder / f'{data_centre}.json'
        plan = self._plan_by_data_centre[data_centre]
        path.write_bytes(msgspec.json.encode(plan))
        self._hosts[data_centre] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'apricotthread.fakes.endpointhost',
            str(path),
        )

    def kill_host(self, data_centre: str) -> None:
        """Kill a data centre's endpoints as a loss of power would."""
        self._hosts[data_centre].kill()

    def _rows(self) -> list[tables.AnyRow]:
        return [
            tables.ServiceRow(
                name='describe', type='model', group_vms=self._group_vms
            ),
            tables.ServiceRow(name='bidding', type='plain'),
            tables.RequestRow(
                name='bid',
                service='bidding',
                match='POST /bids*',
                repeatable=False,
            ),
            tables.AccountRow(
                name='bench',
                limit=100000,
                key_sha256=localsystem.digest_key(KEY),
            ),
        ]

    async def _wait_for_groups(self, http: aiohttp.ClientSession) -> None:
        wanted = self._vms // self._group_vms
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                seen = await self.system.fetch_status(
                    http, self.nodes[0].node_id
                )
                if seen and sum(g.whole for g in seen.groups) >= wanted:
                    return
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """Stop everything and remove the folder."""
        for node_id in list(self.system.process_by_id):
            await self.system.kill_node(node_id)
        for host in self._hosts.values():
            with contextlib.suppress(ProcessLookupError):
                host.terminate()
            await host.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def run_site(**options):
    """Run a site around a measurement; gives it and a client."""
    raise_file_limit()
    site = Site(**options)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as http:
        try:
            await site.start(http)
            yield site, http
        finally:
            await site.stop()


@contextlib.asynccontextmanager
async def run_naive_entry(
    http: aiohttp.ClientSession, group
) -> collections.abc.AsyncIterator[tuple[str, int]]:
    """Run the naive entry before a group; yield its URL and process id."""
    (port,) = localsystem.find_free_ports(1)
    naive = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bench.naive_entry',
        str(port),
        group.head.url,
        group.group_id,
    )
    url = f'http://{localsystem.HOST}:{port}'
    try:
        await localsystem.wait_for_status(http, url + '/', 404)
        yield url, naive.pid
    finally:
        naive.kill()
        await naive.wait()
