"""A process that serves fake engine VMs and workers on loopback."""

import asyncio
import contextlib
import pathlib
import sys

import msgspec
from starlette import applications
import uvicorn

from apricotthread.base import environment
from apricotthread.fakes import engines
from apricotthread.fakes import workers


class HostPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that the process serves, as JSON in a file."""

    port: int
    entries_by_data_centre: dict[str, list[str]]
    vms: list['VmPlan'] = []
    workers: list['WorkerPlan'] = []


class VmPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A fake engine VM to serve."""

    endpoint_id: str
    data_centre: str
    fabric_domain: str
    traits: engines.EngineTraits = engines.EngineTraits()


class WorkerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A fake plain worker to serve."""

    endpoint_id: str
    data_centre: str
    service: str


async def run_host(plan: HostPlan) -> None:
    """Serve and announce the endpoints until the server stops."""
    env = environment.make_environment()
    base_url = f'http://127.0.0.1:{plan.port}'
    fleet = engines.EngineFleet(env=env, base_url=base_url)
    pool = workers.WorkerPool(env=env, base_url=base_url)
    for vm in plan.vms:
        fleet.add_vm(
            endpoint_id=vm.endpoint_id,
            data_centre=vm.data_centre,
            fabric_domain=vm.fabric_domain,
            traits=vm.traits,
        )
    for worker in plan.workers:
        pool.add_worker(
            endpoint_id=worker.endpoint_id,
            data_centre=worker.data_centre,
            service=worker.service,
        )
    application = applications.Starlette(
        routes=[*fleet.make_application().routes, *pool.make_routes()]
    )
    server = uvicorn.Server(
        uvicorn.Config(
            application,
            host='127.0.0.1',
            port=plan.port,
            log_level='critical',
            lifespan='off',
            timeout_graceful_shutdown=1,
        )
    )
    async with asyncio.TaskGroup() as tasks:
        announce_tasks = [
            tasks.create_task(
                fleet.run_announcements(plan.entries_by_data_centre)
            ),
            tasks.create_task(
                pool.run_announcements(plan.entries_by_data_centre)
            ),
        ]
        await server.serve()
        for task in announce_tasks:
            task.cancel()


def main() -> None:
    """Serve the endpoints of the plan file named on the command line."""
    plan = msgspec.json.decode(
        pathlib.Path(sys.argv[1]).read_bytes(), type=HostPlan
    )
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run_host(plan))


if __name__ == '__main__':
    main()
