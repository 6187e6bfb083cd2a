"""Workers that check their groups, and lie when they are told to."""

import asyncio
import contextlib
import time

from soak import proxies
from soak import record
from soak import schedule
from tests import platformstandin

BEAT_S = 1.2  # as on the platform
JOIN_S = 0.2  # a member that ran the model before
FORM_S = 0.1
LATE_S = 1.5
# From the acknowledgement of an evacuation until nothing new may come.
TAKEN_OUT_S = 5.0
GROUP_SIZE = 3


class World:
    """All workers, and which of them were ready in which group."""

    def __init__(self, *, seen: record.Record) -> None:
        self.seen = seen
        self.worker_by_name: dict[str, 'Backend'] = {}
        self._was_ready: set[tuple] = set()
        self.taken_out_at: dict[str, float] = {}

    def note_ready(self, vm: str, order: platformstandin.Order) -> None:
        """Remember that a VM was ready in a group of these members."""
        self._was_ready.add((vm, *order.group_key))

    def judge_group(self, order: platformstandin.Order | None) -> str:
        """Return why the group of a head may not serve, '' if it may."""
        if order is None:
            return 'the head is in no group'
        members = order.member_ids
        if len(members) != GROUP_SIZE:
            return f'a group of {len(members)}'
        missing = [
            vm
            for vm in members
            if (vm, *order.group_key) not in self._was_ready
        ]
        return f'never ready: {missing}' if missing else ''

    def note_join(
        self,
        vm: str,
        held: platformstandin.Order | None,
        order: platformstandin.Order,
    ) -> None:
        """Check that a VM does not leave a group whose head may serve."""
        if held is None or held.group_id == order.group_id:
            return
        head = self.worker_by_name.get(held.member_ids[0])
        if head is None or not head.is_up or head.place is None:
            return
        if (
            head.place.group_id == held.group_id
            and head.place.epoch == held.epoch
            and head.place.state in ('open', 'closing')
        ):
            self.seen.double_members.append(
                f'{vm} joins {order.group_id} while {held.group_id} is open'
            )

    def note_run(self, worker: 'Backend', attempt_id: str, wrong: str) -> None:
        """Record that a worker began to run a request."""
        at_s = self.seen.now_s()
        self.seen.runs.append(
            record.Run(
                attempt_id=attempt_id,
                worker=worker.name,
                at_s=at_s,
                wrong=wrong,
            )
        )
        out_at_s = self.taken_out_at.get(worker.data_centre)
        if out_at_s is not None and at_s - out_at_s > TAKEN_OUT_S:
            self.seen.after_taken_out.append(
                f'{attempt_id} ran in {worker.data_centre} at {at_s:.1f} s'
            )


class Backend(platformstandin.Worker):
    """A worker behind a proxy, with one of several faults."""

    def __init__(self, *, world: World, links: proxies.Links, **values):
        super().__init__(**values)
        self.heartbeat_period_s = BEAT_S
        self._world = world
        self._links = links
        self._proxy = None
        self.fault: schedule.Kind | None = None
        self.is_up = False
        self._order = None
        self._fence = 0
        self._find_name = None
        world.worker_by_name[self.name] = self

    async def start_behind(self, find_name) -> None:
        """Listen behind a proxy, and announce the proxy's address."""
        self._find_name = find_name
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self._proxy = proxies.Proxy(
            links=self._links,
            name=self.name,
            forward_to=self._server.sockets[0].getsockname()[:2],
            find_name=find_name,
        )
        host, port = await self._proxy.open('127.0.0.1')
        self.address = f'{host}:{port}'
        self.is_up = True
        self._spawn(self._send_heartbeats())

    async def die(self, down_s: float) -> None:
        """Crash, and start again under the same name as a new life."""
        self.stop()
        self._proxy.close()
        self.is_up = False
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.place = None
        self._order = None
        self._fence = 0
        await self.start_behind(self._find_name)

    def close(self) -> None:
        """End for good."""
        self.stop()
        self._proxy.close()

    async def _answer(self, target, headers, body, writer):
        if self.fault is schedule.Kind.WORKER_SILENT:
            await asyncio.sleep(3600)
        await super()._answer(target, headers, body, writer)

    def _handle_order(self, order):
        """Refuse what is older than something seen, as workers do."""
        if order.fence < self._fence:
            return platformstandin.PRECONDITION_FAILED
        self._fence = order.fence
        held = self._order
        if order.kind != 'join':
            names_held = held is not None and (
                (order.group_id, order.epoch) == (held.group_id, held.epoch)
            )
            if order.kind == 'phase' or names_held:
                super()._handle_order(order)
                if self.place is None:
                    self._order = None
            return platformstandin.ACCEPTED
        if held is not None and order.epoch < held.epoch:
            return platformstandin.PRECONDITION_FAILED
        if held is not None and held.group_key == order.group_key:
            return platformstandin.ACCEPTED
        self._world.note_join(self.name, held, order)
        status = super()._handle_order(order)
        self._order = order
        self.place.state = 'joining'
        self._spawn(self._get_ready(order))
        return status

    async def _get_ready(self, order) -> None:
        await asyncio.sleep(JOIN_S)
        if self._order == order and self.place.state == 'joining':
            self.place.state = 'ready'
            self._world.note_ready(self.name, order)
            await self._send_heartbeat()

    async def _run(self, headers, writer):
        wrong = ''
        if 'model' in headers:
            if self.place is None or self.place.state != 'open':
                self._reject(writer, headers)
                return
            wrong = self._world.judge_group(self._order)
        self._world.note_run(self, self.get_attempt_id(headers), wrong)
        match self.fault:
            case schedule.Kind.WORKER_LATE:
                await asyncio.sleep(LATE_S)
            case schedule.Kind.WORKER_RESETS:
                writer.transport.abort()
                return
            case schedule.Kind.WORKER_GARBLES:
                writer.write(b'\x00garbled\r\n\r\n')
                writer.transport.abort()
                return
            case schedule.Kind.WORKER_TWICE:
                await super()._run(headers, writer)
                self._send_second_answer(writer, headers)
                return
        await super()._run(headers, writer)

    async def _send_heartbeat(self):
        if self.fault is schedule.Kind.WORKER_LIES:
            # Bytes that are no announcement, and one of another writer.
            with contextlib.suppress(OSError):
                await self._announce_bytes(b'{"service": 7, ', name=self.name)
                await self._announce_bytes(
                    b'{"service": "nobody"}', name='stranger'
                )
        await super()._send_heartbeat()
