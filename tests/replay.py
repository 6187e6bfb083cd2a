"""Replays a recorded trace on real nodes and counts its outcomes.

A trace is a file of JSON lines: a header, events with the seconds at
which they occur, and the expected outcome. During the whole trace callers
send requests through entries that report that they are ready.
"""

import asyncio
import collections
import itertools
import json
import pathlib

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import tables
from apricotthread.fakes import answers
from apricotthread.fakes import cluster as clusters
from apricotthread.fakes import engines
from apricotthread.fakes import virtualclock
from apricotthread.routing import calls

START_S = 20.0
WATCH_PERIOD_S = 0.05
MAX_TOKENS = 40
TIMEOUT_S = 30.0
PROPOSE_TIMEOUT_S = 15.0
IN_FORCE_WAIT_S = 6.0
NO_WORK_AFTER_S = 3.0


class Replay:
    """One replay of a trace.

    Outcomes are counted in `counts` by the names that traces expect, and
    codes of refusals in `codes`.
    """

    def __init__(self, path: pathlib.Path) -> None:
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        self.header = lines[0]
        self.events = [line for line in lines if 'do' in line]
        self.expected = lines[-1]['expect']
        self.counts = collections.Counter()
        self.codes = collections.Counter()
        self.env = virtualclock.make_environment(self.header.get('seed', 1))
        self.cluster = None
        self.running = True
        self._id_numbers = itertools.count(1)
        self._outcomes_by_bid = collections.defaultdict(list)
        self._calls_by_node = collections.defaultdict(set)
        self._taken_out_at = {}
        self._leaving_at = {}
        self._version_by_node = {}

    def run(self) -> dict[str, int]:
        """Replay the trace; return the counts by name."""
        virtualclock.run(self._run())
        return dict(self.counts)

    async def _run(self) -> None:
        header = self.header
        self.cluster = clusters.MemoryCluster(
            env=self.env,
            learners=header.get('learners', 3),
            **header.get('settings', {}),
        )
        self._add_endpoints()
        self.cluster.start_all()
        self.cluster.start_endpoints()
        await self.cluster.wait_for_leader()
        await self._set_table(header.get('group_vms', 2))
        await self.env.timer.sleep(START_S)
        caller_tasks = [
            *(
                asyncio.create_task(self._send_model_calls())
                for _ in range(header.get('model_callers', 6))
            ),
            *(
                asyncio.create_task(self._send_bids())
                for _ in range(header.get('bid_callers', 3))
            ),
        ]
        watch_task = asyncio.create_task(self._watch())
        await self._play_events()
        self.running = False
        await asyncio.gather(*caller_tasks)
        watch_task.cancel()
        self._count_outcomes()
        await self.cluster.stop_all()

    def _add_endpoints(self) -> None:
        traits = engines.EngineTraits(**self.header.get('traits', {}))
        numbers_with_vms = self.header.get('vm_data_centres', [1, 2, 3])
        for number in (1, 2, 3):
            data_centre = f'dc{number}'
            if number not in numbers_with_vms:
                continue
            for vm in range(self.header.get('vms', 5)):
                self.cluster.fleet.add_vm(
                    endpoint_id=f'{data_centre}-vm{vm}',
                    data_centre=data_centre,
                    fabric_domain=f'{data_centre}-fabric',
                    traits=traits,
                )
            self.cluster.pool.add_worker(
                endpoint_id=f'{data_centre}-w',
                data_centre=data_centre,
                service='bidding',
            )

    async def _set_table(self, group_vms: int) -> None:
        rows = [
            tables.ServiceRow(
                name='describe', type='model', group_vms=group_vms
            ),
            tables.ServiceRow(name='bidding', type='plain'),
            tables.AccountRow(name='acme', limit=600),
        ]
        await self._propose('v1', self._make_change(rows))

    def _make_change(self, rows) -> commands.ChangeRows:
        return commands.ChangeRows(
            origin=self._make_origin(),
            base_version=10**9,
            edits=[
                commands.RowEdit(key=tables.key_of(row), row=row)
                for row in rows
            ],
        )

    def _make_origin(self) -> commands.Origin:
        return commands.Origin(
            command_id=f'c{next(self._id_numbers)}',
            operator='replay',
            source='trace',
            wall_time_s=self.env.timer.wall_time(),
        )

    async def _propose(self, node_id, command) -> commands.Result | None:
        node = self.cluster.node_by_id[node_id]
        try:
            return await node.proposer.propose(
                command, timeout_s=PROPOSE_TIMEOUT_S
            )
        except errors.ApricotError as error:
            self.codes[error.code.label] += 1
            return None

    # Playing the events of the trace

    async def _play_events(self) -> None:
        started_at = self.env.timer.now()
        for event in self.events:
            await self._sleep_until(started_at + event['at'])
            await self._apply_event(event)
        await self._sleep_until(started_at + self.header['seconds'])

    async def _sleep_until(self, time_s: float) -> None:
        await self.env.timer.sleep(max(0.0, time_s - self.env.timer.now()))

    async def _apply_event(self, event: dict) -> None:
        cluster = self.cluster
        vms = cluster.fleet.vm_by_id
        match event['do']:
            case 'kill_vm':
                vms[event['vm']].kill()
            case 'restart_vm':
                vms[event['vm']].restart()
                self._leaving_at.pop(event['vm'], None)
            case 'silence_vm':
                vms[event['vm']].is_silent = True
            case 'speak_vm':
                vms[event['vm']].is_silent = False
            case 'slow_vm':
                vms[event['vm']].slow_factor = event['factor']
            case 'leave_vm':
                vms[event['vm']].leaving = True
                self._leaving_at[event['vm']] = self.env.timer.now()
            case 'kill_domain':
                for vm in vms.values():
                    if vm.fabric_domain == event['domain']:
                        vm.kill()
            case 'restart_domain':
                for vm in vms.values():
                    if vm.fabric_domain == event['domain']:
                        vm.restart()
            case 'late_order':
                vms[event['vm']].order(self._make_late_order(event))
            case 'leave_worker':
                cluster.pool.worker_by_id[event['worker']].leaving = True
                self._leaving_at[event['worker']] = self.env.timer.now()
            case 'drop_answers':
                cluster.pool.worker_by_id[event['worker']].drop_answers = True
            case 'give_answers':
                cluster.pool.worker_by_id[event['worker']].drop_answers = False
            case 'crash':
                node_id = self._resolve_node(event['node'])
                for task in list(self._calls_by_node[node_id]):
                    task.cancel()
                await cluster.crash(node_id)
            case 'start':
                for node_id in cluster.address_by_id:
                    if node_id not in cluster.node_by_id:
                        cluster.start(node_id)
            case 'cut_dc':
                self._cut_off_data_centre(event['dc'])
            case 'silence_links':
                cluster.fake_network.silence(event['node'])
            case 'heal':
                cluster.fake_network.heal()
            case 'take_out' | 'bring_back':
                await self._mark_data_centre(event)
            case 'change':
                await self._change_limit(event)

    def _resolve_node(self, name: str) -> str:
        if name != 'leader':
            return name
        return self.cluster.leaders()[0]

    def _make_late_order(self, event: dict):
        return engines.announcements.Order(
            action='join', fencing=event['fencing'], group_id='old'
        )

    def _cut_off_data_centre(self, name: str) -> None:
        addresses = self.cluster.address_by_id.values()
        inside_ids = [a.node_id for a in addresses if a.data_centre == name]
        for inside_id in inside_ids:
            for other_id in self.cluster.address_by_id:
                if other_id not in inside_ids:
                    self.cluster.fake_network.cut_both(inside_id, other_id)

    async def _mark_data_centre(self, event: dict) -> None:
        out = event['do'] == 'take_out'
        result = await self._propose(
            event.get('node', 'v1'),
            commands.MarkDataCentre(
                origin=self._make_origin(),
                base_version=10**9,
                data_centre=event['dc'],
                out=out,
            ),
        )
        if result is not None and result.accepted:
            self.counts['marks_accepted'] += 1
            self._taken_out_at.pop(event['dc'], None)
            if out:
                self._taken_out_at[event['dc']] = self.env.timer.now()

    async def _change_limit(self, event: dict) -> None:
        row = tables.AccountRow(name='acme', limit=event['limit'])
        result = await self._propose(
            event.get('node', 'v1'), self._make_change([row])
        )
        if result is None or not result.accepted:
            self.counts['changes_refused'] += 1
            return
        self.counts['changes_accepted'] += 1
        await self.env.timer.sleep(IN_FORCE_WAIT_S)
        if not event.get('everywhere', True):
            return
        for node in self.cluster.node_by_id.values():
            if node.raft.state.version < result.version:
                self.counts['late_versions'] += 1

    # Sending requests

    def _choose_entry(self):
        """Return a random ready node, as a load balancer does."""
        ready = [
            node
            for node in self.cluster.node_by_id.values()
            if not node.why_not_ready()
        ]
        return self.env.random.choice(ready) if ready else None

    async def _run_at_entry(self, entry, call_coroutine) -> None:
        """Run a call at an entry; a crash of the entry cancels it."""
        task = asyncio.create_task(call_coroutine)
        entry_calls = self._calls_by_node[entry.settings.node_id]
        entry_calls.add(task)
        await asyncio.wait([task])
        entry_calls.discard(task)
        if task.cancelled():
            self.counts['interrupted'] += 1
        else:
            task.result()

    async def _send_model_calls(self) -> None:
        while self.running:
            entry = self._choose_entry()
            if entry is not None:
                prompt = f'lot {next(self._id_numbers)}'
                await self._run_at_entry(
                    entry, self._send_model_call(entry, prompt)
                )
            await self.env.timer.sleep(0.05)

    async def _send_model_call(self, entry, prompt: str) -> None:
        self.counts['sent'] += 1
        call_started_at = self.env.timer.now()
        text = ''
        call = calls.ModelCall(
            request_id=f'r{next(self._id_numbers)}',
            account='acme',
            service='describe',
            kind='k',
            cost=1.0,
            deadline=self.env.timer.now() + TIMEOUT_S,
            prompt=prompt,
            max_tokens=MAX_TOKENS,
        )
        try:
            async with entry.router.open_model(call) as buffer:
                while (piece := await buffer.read()) is not None:
                    text += piece.data.decode()
                    await self.env.timer.sleep(
                        self.header.get('reader_s', 0.0)
                    )
        except errors.ApricotError as error:
            self.codes[error.code.label] += 1
            self.counts['cut' if text else 'refused'] += 1
            return
        elapsed_ms = round(1000 * (self.env.timer.now() - call_started_at))
        self.counts['slowest_ms'] = max(self.counts['slowest_ms'], elapsed_ms)
        if text == answers.make_answer(prompt, MAX_TOKENS):
            self.counts['whole'] += 1
        else:
            self.counts['wrong'] += 1

    async def _send_bids(self) -> None:
        while self.running:
            bid = f'bid {next(self._id_numbers)}'
            for _ in range(self.header.get('tries', 2)):
                entry = self._choose_entry()
                if entry is not None:
                    await self._run_at_entry(entry, self._send_bid(entry, bid))
            await self.env.timer.sleep(0.2)

    async def _send_bid(self, entry, bid: str) -> None:
        call = calls.PlainCall(
            request_id=f'r{next(self._id_numbers)}',
            account='acme',
            service='bidding',
            kind='bid',
            cost=1.0,
            deadline=self.env.timer.now() + TIMEOUT_S,
            method='POST',
            path='/bids',
            headers=(),
            body=bid.encode(),
            repeatable=False,
            idempotency_key=bid,
        )
        try:
            async with entry.router.open_plain(call) as answer:
                body = b''.join([data async for data in answer.body])
        except errors.ApricotError as error:
            self.codes[error.code.label] += 1
            self._outcomes_by_bid[bid].append(error.ran.value)
            return
        except asyncio.CancelledError:
            self._outcomes_by_bid[bid].append('interrupted')
            raise
        self._outcomes_by_bid[bid].append('answered')
        if not body.endswith(bid.encode()):
            self.counts['wrong'] += 1

    # Checking the guarantees

    async def _watch(self) -> None:
        """Count violations of the guarantees until cancelled."""
        async for now in self.env.timer.subscribe(period_s=WATCH_PERIOD_S):
            self._check_groups()
            self._check_versions()
            for name, since in self._taken_out_at.items():
                self.counts['work_while_out'] += self._got_work(
                    now, since, self._endpoints_of(name)
                )
            for name, since in self._leaving_at.items():
                endpoint = self.cluster.fleet.vm_by_id.get(
                    name
                ) or self.cluster.pool.worker_by_id.get(name)
                self.counts['work_while_leaving'] += self._got_work(
                    now, since, [endpoint]
                )

    def _got_work(self, now: float, since: float, endpoints) -> bool:
        """Return whether an endpoint got new work long after it should not.

        `since` is when it was taken out or began to leave; work may still
        arrive for NO_WORK_AFTER_S seconds after that.
        """
        return now - since > NO_WORK_AFTER_S and any(
            endpoint.last_start_at > since + NO_WORK_AFTER_S
            for endpoint in endpoints
        )

    def _endpoints_of(self, data_centre: str):
        return [
            endpoint
            for endpoint in (
                *self.cluster.fleet.vm_by_id.values(),
                *self.cluster.pool.worker_by_id.values(),
            )
            if endpoint.data_centre == data_centre
        ]

    def _check_groups(self) -> None:
        for node in self.cluster.node_by_id.values():
            member_ids = [
                member.endpoint_id
                for group in node.raft.state.content.group_ledger.groups()
                for member in (*group.members, *group.departed)
            ]
            self.counts['in_two_groups'] += len(member_ids) - len(
                set(member_ids)
            )

    def _check_versions(self) -> None:
        for node_id, node in self.cluster.node_by_id.items():
            version = node.raft.state.version
            last_version = self._version_by_node.get((node_id, id(node)), 0)
            self.counts['reverted'] += version < last_version
            self._version_by_node[node_id, id(node)] = version

    def _count_outcomes(self) -> None:
        vms = self.cluster.fleet.vm_by_id.values()
        self.counts['falls'] = sum(vm.overload_crashes for vm in vms)
        self.counts['partial_starts'] = sum(vm.partial_starts for vm in vms)
        runs = self.cluster.pool.runs_by_call
        for bid, outcomes in self._outcomes_by_bid.items():
            self.counts['bids'] += 1
            self.counts['bids_answered'] += 'answered' in outcomes
            self.counts['doubled'] += runs[bid] > 1
            self.counts['lost'] += 'answered' in outcomes and not runs[bid]
            self.counts['false_refusals'] += (
                set(outcomes) == {'no'} and runs[bid] > 0
            )
        self.counts['parked'] = sum(
            node.env.metrics.count_by_name['answers_parked']
            for node in self.cluster.node_by_id.values()
        )
        self.counts['peak_bytes'] = max(
            node.budget.peak_bytes for node in self.cluster.node_by_id.values()
        )
