"""Calls fake endpoints without sockets, for tests on a virtual clock."""

import collections.abc
import contextlib

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.endpoints import announcements
from apricotthread.endpoints import client
from apricotthread.fakes import engines
from apricotthread.fakes import workers

LATENCY_S = 0.001


class DirectPlainAnswer:
    """The complete answer of a fake worker."""

    def __init__(self, *, body: bytes) -> None:
        self.head = client.PlainHead(
            status=200, headers=(('Content-Type', 'text/plain'),)
        )
        self._body = body

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in one piece."""
        yield self._body


class DirectClient:
    """Has the interface of EndpointClient, but calls the fakes directly."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        fleet: engines.EngineFleet,
        pool: workers.WorkerPool,
        stall_s: float,
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._pool = pool
        self._stall_s = stall_s

    @contextlib.asynccontextmanager
    async def generate(
        self, url: str, request: announcements.GenerateRequest
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[announcements.GeneratedPiece]
    ]:
        """Open a stream of pieces that a fake engine generates."""
        await self._env.timer.sleep(LATENCY_S)
        vm = self._fleet.vm_by_url[url]
        if vm.is_dead:
            raise self._make_error(url, errors.Ran.NO)
        if not vm.accepts(request.group_id):
            raise errors.ApricotError(
                code=errors.ErrorCode.GROUP_NOT_WHOLE,
                message=f'engine at {url} has lost its group',
            )
        lines = vm.generate(request)
        async with contextlib.aclosing(lines):
            yield self._read_pieces(url, lines)

    def _make_error(self, url: str, ran: errors.Ran) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'endpoint at {url} failed',
            ran=ran,
        )

    async def _read_pieces(
        self, url: str, lines
    ) -> collections.abc.AsyncIterator[announcements.GeneratedPiece]:
        while True:
            try:
                async with self._env.timer.timeout(self._stall_s):
                    line = await anext(lines)
            except StopAsyncIteration:
                raise self._make_error(url, errors.Ran.YES) from None
            except (
                TimeoutError,
                ConnectionError,
                engines.EngineOverloaded,
            ) as error:
                raise self._make_error(url, errors.Ran.YES) from error
            piece = msgspec.json.decode(
                line, type=announcements.GeneratedPiece
            )
            yield piece
            if piece.finish:
                return

    @contextlib.asynccontextmanager
    async def forward(
        self, url: str, request: client.PlainRequest
    ) -> collections.abc.AsyncIterator[DirectPlainAnswer]:
        """Send a request to a fake worker and yield its answer."""
        await self._env.timer.sleep(LATENCY_S)
        worker = self._pool.worker_by_id[url.rpartition('/')[2]]
        if worker.is_dead:
            raise self._make_error(url, errors.Ran.NO)
        body = await self._pool.run_call(worker, request.body.decode())
        if worker.drop_answers:
            raise self._make_error(url, errors.Ran.UNKNOWN)
        yield DirectPlainAnswer(body=body.encode())

    async def order(
        self, url: str, order: announcements.Order, *, timeout_s: float
    ) -> announcements.OrderAnswer:
        """Send an order to a fake engine VM.

        An unreachable VM gives an unconfirmed answer after the timeout.
        """
        await self._env.timer.sleep(LATENCY_S)
        vm = self._fleet.vm_by_url[url]
        if vm.is_dead or vm.is_paused or vm.is_silent:
            await self._env.timer.sleep(timeout_s)
            return announcements.OrderAnswer(confirmed=False, fencing=0)
        return vm.order(order)
