"""Measures how state, messages, processor time and memory grow, by role.

Writes CSV files and regenerates the tables of docs/CAPACITY.md from
them. To regenerate only the tables, run `python -m bench.pages`.
"""

import asyncio
import dataclasses
import time

import msgspec
import numpy

from apricotthread.control import commands
from apricotthread.control import ledger
from apricotthread.control import registers
from apricotthread.control import state
from apricotthread.control import tables
from apricotthread.fakes import groupsimulation
from apricotthread.fakes import localsystem
from apricotthread.groups import planner
from apricotthread.nodes import framing
from apricotthread.nodes import messages
from apricotthread.operators import bodies
from bench import pages
from bench import rig

NODE_COUNTS = (3, 5, 7, 15, 30)
VM_COUNTS = (0, 40, 120)
PLAN_DOMAINS = (4, 17, 70)  # of 20 VMs each
PLAN_ROUNDS = 20
SETTLE_S = 6.0
REST_S = 10.0
CHANGES = 40
CHANGE_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """The resources that a node has used until `measured_at`."""

    measured_at: float
    cpu_s: float
    sent_bytes: float
    sent_frames: float
    resident_bytes: int


async def read_usage(site: rig.Site, http, node: localsystem.NodePlan):
    """Return the resources that a node has used so far."""
    values = {'peer_bytes_sent_total': 0.0, 'peer_frames_sent_total': 0.0}
    async with http.get(node.operator_url + '/metrics') as response:
        for line in (await response.text()).splitlines():
            name, _, value = line.removeprefix('apricotthread_').partition(' ')
            if name in values:
                values[name] = float(value)
    pid = site.pid(node.node_id)
    return Usage(
        measured_at=time.perf_counter(),
        cpu_s=rig.cpu_seconds(pid),
        sent_bytes=values['peer_bytes_sent_total'],
        sent_frames=values['peer_frames_sent_total'],
        resident_bytes=rig.resident_bytes(pid),
    )


def role_of(node: localsystem.NodePlan, leader: str) -> str:
    """Return the role of a node in the measurement."""
    if node.node_id == leader:
        return 'leader'
    return 'follower' if node.is_voter else 'entry'


def usage_per_second(before: Usage, after: Usage) -> dict[str, float]:
    """Return the usage per second between two measurements."""
    elapsed = after.measured_at - before.measured_at
    return {
        'cpu_percent': 100 * (after.cpu_s - before.cpu_s) / elapsed,
        'bytes_per_s': (after.sent_bytes - before.sent_bytes) / elapsed,
        'frames_per_s': (after.sent_frames - before.sent_frames) / elapsed,
        'mb': after.resident_bytes / 2**20,
    }


def plan_spread_nodes(count: int) -> list[localsystem.NodePlan]:
    """Return nodes spread over three data centres, three of them voters."""
    names = ['dc1', 'dc2', 'dc3']
    nodes = localsystem.plan_nodes(names, -(-count // 3))
    nodes.sort(
        key=lambda n: (n.node_id.rpartition('-')[2].zfill(3), n.node_id)
    )
    return nodes[:count]


async def measure_nodes(count: int) -> list[dict]:
    """Return the usage by role, at rest and for each change."""
    async with rig.run_site(
        nodes=plan_spread_nodes(count), vms=0, workers=0
    ) as (
        site,
        http,
    ):
        leader = await site.system.wait_for_leader(http)
        await asyncio.sleep(SETTLE_S)
        before = [await read_usage(site, http, n) for n in site.nodes]
        await asyncio.sleep(REST_S)
        rest = [await read_usage(site, http, n) for n in site.nodes]
        for number in range(CHANGES):
            row = tables.AccountRow(name='changed', limit=number)
            await site.system.change_rows(http, leader, [row])
            await asyncio.sleep(CHANGE_PAUSE_S)
        busy = [await read_usage(site, http, n) for n in site.nodes]
    usage_pairs_by_role: dict[str, list[tuple[dict, dict]]] = {}
    for node, start, middle, end in zip(
        site.nodes, before, rest, busy, strict=True
    ):
        usage_pairs_by_role.setdefault(role_of(node, leader), []).append(
            (usage_per_second(start, middle), usage_per_second(middle, end))
        )
    changes_per_s = CHANGES / (busy[0].measured_at - rest[0].measured_at)
    return [
        make_node_row(count, role, usage_pairs, changes_per_s)
        for role, usage_pairs in sorted(usage_pairs_by_role.items())
    ]


def make_node_row(
    count: int,
    role: str,
    usage_pairs: list[tuple[dict, dict]],
    changes_per_s: float,
) -> dict:
    """Return the mean usage of the nodes of one role.

    Each pair holds the usage of a node at rest and during changes.
    """

    def mean(phase: int, key: str) -> float:
        return float(numpy.mean([pair[phase][key] for pair in usage_pairs]))

    cpu = (
        (mean(1, 'cpu_percent') - mean(0, 'cpu_percent')) / changes_per_s * 1e4
    )
    size = (mean(1, 'bytes_per_s') - mean(0, 'bytes_per_s')) / changes_per_s
    return {
        'nodes': count,
        'role': role,
        'rest_cpu_percent': round(mean(0, 'cpu_percent'), 2),
        'rest_bytes_per_s': round(mean(0, 'bytes_per_s')),
        'rest_frames_per_s': round(mean(0, 'frames_per_s'), 1),
        'mb': round(mean(0, 'mb'), 1),
        'change_cpu_us': round(cpu),
        'change_bytes': round(size),
    }


async def measure_vms(count: int) -> dict:
    """Return the usage of an entry for the VMs that announce to it."""
    async with rig.run_site(
        data_centres=1, per_data_centre=2, vms=count, workers=0
    ) as (site, http):
        await asyncio.sleep(SETTLE_S)
        before = [await read_usage(site, http, n) for n in site.nodes]
        await asyncio.sleep(REST_S)
        after = [await read_usage(site, http, n) for n in site.nodes]
    used = usage_per_second(before[1], after[1])
    return {
        'vms_at_home': count // 2,
        'cpu_percent': round(used['cpu_percent'], 2),
        'bytes_per_s': round(used['bytes_per_s']),
        'mb': round(used['mb'], 1),
    }


def measure_state() -> list[dict]:
    """Return the encoded size in bytes of each kind of state and message."""
    origin = commands.Origin(
        command_id='c' * 16,
        operator='operator',
        source='10.0.0.1:50000',
        wall_time_s=1.7e9,
    )
    row = tables.AccountRow(name='acme', limit=40, key_sha256='a' * 64)
    member = commands.GroupMember(
        endpoint_id='dc1-rack1-vm1', incarnation=1, url='http://10.0.0.1:9000'
    )
    group = ledger.Group(
        group_id='g' * 12,
        service='describe',
        model='model',
        version='1',
        data_centre='dc1',
        fabric_domain='dc1-rack1',
        fencing=1000,
        state='serving',
        members=[member] * 8,
    )
    change = commands.ChangeRows(
        origin=origin,
        base_version=1000,
        edits=[commands.RowEdit(key=tables.key_of(row), row=row)],
    )
    audit = state.AuditRecord(
        index=1,
        wall_time_s=1.7e9,
        operator='operator',
        source='10.0.0.1:50000',
        command_id='c' * 16,
        action='change_rows',
        subject='account:acme',
        before=msgspec.json.encode(row).decode(),
        after=msgspec.json.encode(row).decode(),
        version=1000,
        result='accepted',
    )
    claim = messages.Claim(
        claim_id='c' * 32,
        holder='dc1-1',
        incarnation=1,
        request_id='r' * 32,
        digest='d' * 64,
        claimed_at_ms=1,
    )
    register = registers.Register(key='k' * 64, attempt=1, claim=claim)
    report = messages.VmReport(
        endpoint_id='dc1-rack1-vm1',
        incarnation=1,
        fabric_domain='dc1-rack1',
        url='http://10.0.0.1:9000',
        accelerators=4,
        checks_fencing=True,
        member_state='ready',
        group_id='g' * 12,
        fencing=1000,
        leaving=False,
        cold=False,
        age_ms=1,
    )
    capacity = messages.Capacity(
        service='describe', free_requests=1, free_bytes=1, limit_requests=1
    )
    sizes = {
        'table row': len(msgspec.json.encode(row)),
        'group of 8 in the ledger': len(msgspec.json.encode(group)),
        'change in the log': len(commands.encode_command(change)),
        'audit record': len(msgspec.json.encode(audit)),
        'remembered command': len(
            msgspec.json.encode(commands.Result(version=1000))
        )
        + 20,
        'claim register': len(msgspec.msgpack.encode(register)),
        'heartbeat without VMs': heartbeat_bytes([], []),
        'VM in a heartbeat': heartbeat_bytes([report] * 100, []) // 100,
        'service in a heartbeat': heartbeat_bytes([], [capacity] * 100) // 100,
        'token piece between entries': len(
            framing.encode_frame(
                framing.Frame(
                    request_id=1,
                    body=messages.DispatchPiece(
                        offset=1, tokens=1, data=b'token '
                    ),
                )
            )
        ),
    }
    return [{'state': name, 'bytes': size} for name, size in sizes.items()]


def heartbeat_bytes(
    vms: list[messages.VmReport], capacities: list[messages.Capacity]
) -> int:
    """Return the size of a heartbeat on the wire in bytes."""
    body = messages.Heartbeat(
        sequence=1,
        incarnation=1,
        draining=False,
        applied_index=1,
        version=1,
        capacities=capacities,
        vms=vms,
    )
    return len(framing.encode_frame(framing.Frame(request_id=1, body=body)))


def measure_plans() -> list[dict]:
    """Return the planning time and the status size by number of VMs."""
    rows = []
    for domains in PLAN_DOMAINS:
        simulation = groupsimulation.Simulation(
            group_vms=8,
            domains=tuple(f'd{number}' for number in range(domains)),
            domain_size=20,
        )
        simulation.settle(4)
        plan_input = simulation.make_plan_input()
        started = time.process_time()
        for _ in range(PLAN_ROUNDS):
            planner.make_plan(plan_input)
        elapsed = time.process_time() - started
        groups = [
            bodies.GroupStatus(group=group, whole=True)
            for group in simulation.groups()
        ]
        rows.append(
            {
                'vms': len(simulation.vms),
                'groups': len(groups),
                'plan_ms': round(elapsed / PLAN_ROUNDS * 1000, 2),
                'ledger_kb': round(len(simulation.state.encode()) / 1024, 1),
                'groups_in_status_kb': round(
                    len(msgspec.json.encode(groups)) / 1024, 1
                ),
            }
        )
    return rows


def measure_framing() -> list[dict]:
    """Return the processor time of encoding and decoding messages."""
    piece = framing.Frame(
        request_id=1,
        body=messages.DispatchPiece(offset=1, tokens=1, data=b'token '),
    )
    rows = []
    for name, frame in (('token piece', piece),):
        encoded = framing.encode_frame(frame)[framing.LENGTH_PREFIX.size :]
        count = 20000
        started = time.process_time()
        for _ in range(count):
            framing.encode_frame(frame)
        middle = time.process_time()
        for _ in range(count):
            framing.decode_frame(encoded)
        end = time.process_time()
        rows.append(
            {
                'message': name,
                'encode_us': round((middle - started) / count * 1e6, 1),
                'decode_us': round((end - middle) / count * 1e6, 1),
            }
        )
    return rows


async def measure() -> None:
    """Take all measurements and write their results."""
    rig.write_rows('capacity_state', measure_state())
    rig.write_rows('capacity_framing', measure_framing())
    rig.write_rows('capacity_plans', measure_plans())
    nodes = []
    for count in NODE_COUNTS:
        nodes.extend(await measure_nodes(count))
    rig.write_rows('capacity_nodes', nodes)
    vms = [await measure_vms(count) for count in VM_COUNTS]
    rig.write_rows('capacity_vms', vms)


def main() -> None:
    """Take all measurements and write the tables of the pages."""
    asyncio.run(measure())
    pages.main()


if __name__ == '__main__':
    main()
