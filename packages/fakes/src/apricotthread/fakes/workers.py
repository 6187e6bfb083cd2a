"""Fake plain workers, which count how often each call was run."""

import asyncio
import collections

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import environment
from apricotthread.endpoints import announcements
from apricotthread.fakes import announcers

METHODS = ['GET', 'POST', 'PUT', 'DELETE']


class PlainWorker:
    """A fake worker of a plain service."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        endpoint_id: str,
        data_centre: str,
        service: str,
        url: str,
        max_requests: int = 16,
        work_s: float = 0.005,
    ) -> None:
        self._env = env
        self.endpoint_id = endpoint_id
        self.data_centre = data_centre
        self.service = service
        self.url = url
        self.max_requests = max_requests
        self.work_s = work_s
        self.sequence = 0
        self.running = 0
        self.is_dead = False
        self.leaving = False
        self.drop_answers = False
        self.last_start_at = float('-inf')

    def announce(self) -> announcements.Announcement | None:
        """Return the next announcement, None while dead."""
        if self.is_dead:
            return None
        self.sequence += 1
        return announcements.Announcement(
            endpoint_id=self.endpoint_id,
            incarnation=1,
            sequence=self.sequence,
            data_centre=self.data_centre,
            url=self.url,
            kind='plain',
            service=self.service,
            max_requests=self.max_requests,
            bear_requests=self.max_requests,
            running=self.running,
            leaving=self.leaving,
        )


class WorkerPool:
    """Fake workers that share one HTTP server and one count of runs.

    Runs are counted by the request body, in which callers send a unique
    name of the call. So a call that ran twice shows, even on two workers.
    """

    def __init__(self, *, env: environment.Environment, base_url: str) -> None:
        self._env = env
        self._base_url = base_url
        self.worker_by_id: dict[str, PlainWorker] = {}
        self.runs_by_call = collections.Counter()

    def add_worker(
        self, *, endpoint_id: str, data_centre: str, service: str
    ) -> PlainWorker:
        """Add a worker to the pool."""
        worker = PlainWorker(
            env=self._env,
            endpoint_id=endpoint_id,
            data_centre=data_centre,
            service=service,
            url=f'{self._base_url}/workers/{endpoint_id}',
        )
        self.worker_by_id[endpoint_id] = worker
        return worker

    async def run_announcements(
        self, entries_by_data_centre: dict[str, list[str]]
    ) -> None:
        """Announce every worker to an entry of its data centre."""
        async with asyncio.TaskGroup() as tasks:
            for index, worker in enumerate(self.worker_by_id.values()):
                announcer = announcers.Announcer(
                    env=self._env,
                    make_announcement=worker.announce,
                    entries=entries_by_data_centre[worker.data_centre],
                    first_entry_index=index,
                )
                tasks.create_task(announcer.run())

    def make_routes(self) -> list[routing.Route]:
        """Return the HTTP routes of the whole pool."""
        return [
            routing.Route(
                '/workers/{worker}/{path:path}', self._work, methods=METHODS
            ),
            routing.Route('/runs', self._show_runs),
        ]

    def make_application(self) -> applications.Starlette:
        """Return the HTTP application of the whole pool."""
        return applications.Starlette(routes=self.make_routes())

    async def run_call(self, worker: PlainWorker, call: str) -> str:
        """Run a call on a worker and count it; return the answer."""
        worker.running += 1
        worker.last_start_at = self._env.timer.now()
        try:
            self.runs_by_call[call] += 1
            await self._env.timer.sleep(worker.work_s)
        finally:
            worker.running -= 1
        return f'{worker.endpoint_id} ran {call}'

    async def _work(self, request: requests.Request) -> responses.Response:
        worker = self.worker_by_id[request.path_params['worker']]
        call = (await request.body()).decode()
        answer = await self.run_call(worker, call)
        return responses.JSONResponse(
            {'answer': answer, 'path': request.path_params['path']}
        )

    async def _show_runs(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(dict(self.runs_by_call))
