"""Stand-in workers that inject faults and check the requests they get."""

import asyncio
import contextlib
import random
import time

from soak import callers
from soak import proxies
from soak import record
from soak import schedule
from soak import writings
from tests import platformstandin

HEARTBEAT_S = 1.2  # the period of announcements on the platform
# Time to join for a member that ran the model before.
JOIN_DELAY_S = 0.2
FORM_S = 0.1
LATE_ANSWER_DELAY_S = 1.5
DRIP_PERIOD_S = 0.1
CRASH_DELAY_S = 0.05  # after an answer that crashes a worker has begun
CRASH_S = 1.5
SOUND_AFTER_ODD_SHARE = 0.5
# Answers that have no end: what comes first, and what comes from then on.
ENDLESS_ANSWERS = (
    ('', 'X-Filler: more\r\n' * 100),
    ('X-Filler: ', 'more and more ' * 100),
    ('Transfer-Encoding: chunked\r\n\r\n4;x=', 'more and more ' * 100),
    (
        'Transfer-Encoding: chunked\r\n\r\n',
        '400\r\n' + 'x' * 1024 + '\r\n',
    ),
)
# After this time from the acknowledgement that a data centre is taken out,
# its workers may get no new requests.
TAKE_OUT_LIMIT_S = 5.0
GROUP_SIZE = 3


class WorkerMonitor:
    """Checks group membership and taken-out data centres for all workers.

    It records which worker was ready in which group, and which requests
    they ran.
    """

    def __init__(self, *, observations: record.Observations) -> None:
        self.observations = observations
        self.worker_by_name: dict[str, 'Backend'] = {}
        self._ready_memberships: set[tuple] = set()
        self.taken_out_at_by_data_centre: dict[str, float] = {}
        # The share of the requests that workers break off at present.
        self.broken_share = 0.0

    def record_ready(self, vm: str, order: platformstandin.Order) -> None:
        """Record that a VM was ready in the group of an order.

        A group with another epoch or other members is another group.
        """
        self._ready_memberships.add((vm, *order.group_key))

    def find_group_violation(self, order: platformstandin.Order | None) -> str:
        """Return why the group of a head may not serve, or '' if it may.

        A group may serve when it has GROUP_SIZE members and each of them
        was ready in this very group.
        """
        if order is None:
            return 'the head is in no group'
        members = order.member_ids
        if len(members) != GROUP_SIZE:
            return f'a group of {len(members)}'
        missing = [
            vm
            for vm in members
            if (vm, *order.group_key) not in self._ready_memberships
        ]
        return f'never ready: {missing}' if missing else ''

    def check_join(
        self,
        vm: str,
        current_order: platformstandin.Order | None,
        order: platformstandin.Order,
    ) -> None:
        """Check that a VM does not leave a group whose head may still serve.

        `current_order` is the order by which it joined its present group.
        """
        if current_order is None or current_order.group_id == order.group_id:
            return
        head = self.worker_by_name.get(current_order.member_ids[0])
        if head is None or not head.is_up or head.place is None:
            return
        if (
            head.place.group_id == current_order.group_id
            and head.place.epoch == current_order.epoch
            and head.place.state in ('open', 'closing')
        ):
            self.observations.double_memberships.append(
                f'{vm} joins {order.group_id} while '
                f'{current_order.group_id} is open'
            )

    def record_run(
        self, worker: 'Backend', attempt_id: str, violation: str
    ) -> None:
        """Record that a worker began to run a request.

        `violation` says why the group may not serve, '' if it may.
        """
        at_s = self.observations.now_s()
        self.observations.runs.append(
            record.Run(
                attempt_id=attempt_id,
                worker=worker.name,
                at_s=at_s,
                violation=violation,
            )
        )
        taken_out_at_s = self.taken_out_at_by_data_centre.get(
            worker.data_centre
        )
        if (
            taken_out_at_s is not None
            and at_s - taken_out_at_s > TAKE_OUT_LIMIT_S
        ):
            self.observations.runs_after_take_out.append(
                f'{attempt_id} ran in {worker.data_centre} at {at_s:.1f} s'
            )


class Backend(platformstandin.Worker):
    """A worker behind a proxy that can show one fault at a time."""

    def __init__(
        self, *, worker_monitor: WorkerMonitor, links: proxies.Links, **values
    ):
        super().__init__(**values)
        self.heartbeat_period_s = HEARTBEAT_S
        self._worker_monitor = worker_monitor
        self._links = links
        self._proxy = None
        self.fault: schedule.Kind | None = None
        self.is_up = False
        self._current_order = None
        self._highest_fence = 0
        self._find_process_name = None
        self._generator = random.Random(self.name)
        self._writing = random.Random(f'writing of {self.name}')
        worker_monitor.worker_by_name[self.name] = self

    async def start_behind_proxy(self, find_process_name) -> None:
        """Listen behind a proxy, and announce the address of the proxy."""
        self._find_process_name = find_process_name
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self._proxy = proxies.Proxy(
            links=self._links,
            name=self.name,
            forward_to=self._server.sockets[0].getsockname()[:2],
            find_process_name=find_process_name,
        )
        host, port = await self._proxy.open('127.0.0.1')
        self.address = f'{host}:{port}'
        self.is_up = True
        self._spawn(self._send_heartbeats())

    async def crash_and_restart(self, down_s: float) -> None:
        """Crash, and restart after `down_s` as a new incarnation."""
        self.stop()
        self._proxy.close()
        self.is_up = False
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.place = None
        self._current_order = None
        self._highest_fence = 0
        await self.start_behind_proxy(self._find_process_name)

    def close(self) -> None:
        """Stop the worker and its proxy for good."""
        self.stop()
        self._proxy.close()

    async def _answer(self, target, headers, body, writer):
        if target not in platformstandin.CONTROL_PATHS:
            observations = self._worker_monitor.observations
            observations.arrivals.append(
                record.Arrival(
                    attempt_id=self.get_attempt_id(headers),
                    service=self.service,
                    worker=self.name,
                    at_s=observations.now_s(),
                    born_ms=self.born,
                )
            )
        if self.fault is schedule.Kind.WORKER_SILENT:
            await asyncio.sleep(3600)
        await super()._answer(target, headers, body, writer)

    def _note_named(self, attempt):
        observations = self._worker_monitor.observations
        observations.named_limits.append(
            record.NamedLimit(
                attempt_id=attempt,
                worker=self.name,
                at_s=observations.now_s(),
            )
        )

    def _tell_leaving(self, attempt):
        if self.is_leaving:
            self._note_unwilling(attempt, busy_s=None)
        return super()._tell_leaving(attempt)

    def _note_unwilling(self, attempt, *, busy_s):
        observations = self._worker_monitor.observations
        observations.unwilling.append(
            record.Unwilling(
                attempt_id=attempt,
                worker=self.name,
                at_s=observations.now_s(),
                born_ms=self.born,
                busy_s=busy_s,
            )
        )

    def _handle_order(self, order):
        """Execute an order; refuse an older fence or epoch, as workers do."""
        if order.fence < self._highest_fence:
            return platformstandin.PRECONDITION_FAILED
        self._highest_fence = order.fence
        current_order = self._current_order
        if order.kind != 'join':
            is_for_current_order = current_order is not None and (
                (order.group_id, order.epoch)
                == (current_order.group_id, current_order.epoch)
            )
            if order.kind == 'phase' or is_for_current_order:
                super()._handle_order(order)
                if self.place is None:
                    self._current_order = None
            return platformstandin.ACCEPTED
        if current_order is not None and order.epoch < current_order.epoch:
            return platformstandin.PRECONDITION_FAILED
        if (
            current_order is not None
            and current_order.group_key == order.group_key
        ):
            return platformstandin.ACCEPTED
        self._worker_monitor.check_join(self.name, current_order, order)
        status = super()._handle_order(order)
        self._current_order = order
        self.place.state = 'joining'
        self._spawn(self._become_ready(order))
        return status

    async def _become_ready(self, order) -> None:
        await asyncio.sleep(JOIN_DELAY_S)
        if self._current_order == order and self.place.state == 'joining':
            self.place.state = 'ready'
            self._worker_monitor.record_ready(self.name, order)
            await self._send_heartbeat()

    async def _crash_by_prompt(self, headers, writer):
        """Begin an answer, then crash."""
        writer.write(self.make_head(headers) + b'\r\n')
        await asyncio.sleep(CRASH_DELAY_S)
        observations = self._worker_monitor.observations
        observations.guilty_runs.append(
            record.GuiltyRun(
                attempt_id=self.get_attempt_id(headers),
                at_s=observations.now_s(),
                crashed=self.is_up,
            )
        )
        if self.is_up:
            restarting = asyncio.create_task(self.crash_and_restart(CRASH_S))
            await asyncio.shield(restarting)

    async def _run(self, headers, writer):
        if self.refuses:
            self._note_unwilling(
                self.get_attempt_id(headers), busy_s=self.busy_s
            )
            self._reject(writer, headers)
            return
        violation = ''
        if 'model' in headers:
            if self.place is None or self.place.state != 'open':
                self._reject(writer, headers)
                return
            if callers.GUILTY_PART in platformstandin.read_shared_parts(
                headers
            ):
                await self._crash_by_prompt(headers, writer)
                return
            violation = self._worker_monitor.find_group_violation(
                self._current_order
            )
        self._worker_monitor.record_run(
            self, self.get_attempt_id(headers), violation
        )
        if self._generator.random() < self._worker_monitor.broken_share:
            writer.transport.abort()
            return
        match self.fault:
            case schedule.Kind.WORKER_LATE:
                await asyncio.sleep(LATE_ANSWER_DELAY_S)
            case schedule.Kind.WORKER_RESETS:
                writer.transport.abort()
                return
            case schedule.Kind.WORKER_GARBLES:
                writer.write(self._writing.choice(writings.ODD_ANSWERS))
                if self._writing.random() < SOUND_AFTER_ODD_SHARE:
                    await super()._run(headers, writer)
                    return
                await writer.drain()
                writer.transport.abort()
                return
            case schedule.Kind.WORKER_TWICE:
                await super()._run(headers, writer)
                self._send_second_answer(writer, headers)
                return
            case schedule.Kind.WORKER_DRIPS:
                await self._drip(headers, writer)
            case schedule.Kind.WORKER_ENDLESS:
                await self._send_without_end(headers, writer)
        if self._writing.random() < writings.INTERIM_SHARE:
            writer.write(writings.INTERIM_ANSWER)
        await super()._run(headers, writer)

    def write_event(self, number):
        """Return an event in a drawn writing."""
        return writings.write_event(self._writing, number)

    def write_header(self, name, value):
        """Return a header line in a drawn writing."""
        return writings.write_header(self._writing, name, value)

    async def _drip(self, headers, writer):
        """Begin an answer, then send a comment now and then."""
        writer.write(
            self.make_head(headers) + b'Content-Length: 99999\r\n\r\n'
        )
        while True:
            writer.write(b':\n')
            await writer.drain()
            await asyncio.sleep(DRIP_PERIOD_S)

    async def _send_without_end(self, headers, writer):
        """Send bytes that are no answer until the connection is closed."""
        beginning, endless = self._generator.choice(ENDLESS_ANSWERS)
        writer.write(self.make_head(headers) + beginning.encode())
        while True:
            writer.write(endless.encode())
            await writer.drain()

    async def _send_heartbeat(self):
        if self.fault is schedule.Kind.WORKER_LIES:
            # Sends bytes that do not parse, and an announcement under the
            # name of another worker.
            with contextlib.suppress(OSError):
                await self._announce_bytes(b'{"service": 7, ', name=self.name)
                await self._announce_bytes(
                    b'{"service": "nobody"}', name='stranger'
                )
        await super()._send_heartbeat()
