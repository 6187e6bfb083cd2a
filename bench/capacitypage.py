"""Computes the tables of docs/CAPACITY.md from the measured results.

The cost at the size of the fleet is extrapolated with straight lines that
are fitted to the measurements.
"""

import collections.abc
import dataclasses

import numpy

ReadRows = collections.abc.Callable[[str], list[dict[str, str]]]

NODES = 380
WORKERS = 1400
REQUESTS_PER_S = 2800
TOKENS_PER_S = 980_000
DATA_CENTRES = 10
GROUP_VMS = 8
CHANGES_PER_S = 2200 / 86400
LINKS = 12  # 8 in the data centre and 4 beyond it
RELAYS = DATA_CENTRES + 4  # a relay in each data centre, and the voters
CPU_BOUND_PERCENT = 2.3
MEMORY_BOUND_MB = 64
BYTES_BOUND_PER_S = 5 * 1024
STREAM_S = 21  # 350 tokens at 61 ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """A line fitted to measurements, and their largest deviation from it."""

    intercept: float
    slope: float
    max_deviation: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def size_at(self, value: float) -> float:
        """Return the size at which the line reaches a value."""
        return (value - self.intercept) / self.slope


def fit(sizes: list[float], values: list[float]) -> Slope:
    """Return the least-squares line through the measurements."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    deviations = numpy.array(values) - (intercept + slope * numpy.array(sizes))
    return Slope(
        intercept=float(intercept),
        slope=float(slope),
        max_deviation=float(numpy.abs(deviations).max()),
    )


def fit_nodes(rows: list[dict[str, str]], role: str, key: str) -> Slope:
    """Return the line of one figure of a role by number of peers."""
    role_rows = [row for row in rows if row['role'] == role]
    return fit(
        [float(row['nodes']) - 1 for row in role_rows],
        [float(row[key]) for row in role_rows],
    )


def make_table(heading: list[str], rows: list[list[str]]) -> str:
    """Return a table in Markdown."""
    lines = [heading, ['---'] * len(heading), *rows]
    return '\n'.join('| ' + ' | '.join(line) + ' |' for line in lines)


def copy_table(rows: list[dict[str, str]]) -> str:
    """Return measured rows as a table in Markdown."""
    heading = list(rows[0])
    return make_table(heading, [[row[key] for key in heading] for row in rows])


def describe_slope(slope: Slope, unit: str, per: str) -> str:
    """Return the equation of a line with its units."""
    return (
        f'{slope.intercept:.3g} + {slope.slope:.3g} {unit} for each {per} '
        f'(± {slope.max_deviation:.2g})'
    )


def make_control_rows(rows: list[dict[str, str]]) -> list[list[str]]:
    """Return the cost of the control plane by role, at the fleet's size."""
    table = []
    for role, links in (
        ('entry', LINKS),
        ('follower', LINKS),
        ('leader', RELAYS),
    ):
        for key, unit, bound in (
            ('rest_cpu_percent', '% of a core', CPU_BOUND_PERCENT),
            ('rest_bytes_per_s', 'B/s', BYTES_BOUND_PER_S),
            ('mb', 'MB', MEMORY_BOUND_MB),
        ):
            slope = fit_nodes(rows, role, key)
            full_mesh_cost = slope.value_at(NODES - 1)
            breaks_at = (
                f'{slope.size_at(bound) + 1:.0f} nodes'
                if slope.slope > 0 and slope.intercept < bound
                else ('any size' if slope.intercept >= bound else 'never')
            )
            fleet_cost = slope.value_at(links)
            table.append(
                [
                    role,
                    describe_slope(slope, unit, 'peer'),
                    f'{full_mesh_cost:.3g} {unit}',
                    f'{bound:g} {unit}',
                    breaks_at,
                    str(links),
                    f'{fleet_cost:.3g} {unit}',
                    f'{fleet_cost / bound:.2f}',
                ]
            )
    return table


def make_data_rows(read_rows: ReadRows) -> list[list[str]]:
    """Return the cost of requests and tokens at the size of the fleet."""
    tokens = [
        row for row in read_rows('entry_tokens') if 'entry' in row['measure']
    ]
    slow_token_us = float(tokens[0]['cpu_us_per_token'])
    fast_token_us = float(tokens[1]['cpu_us_per_token'])
    request_us = float(read_rows('entry_requests')[0]['cpu_us_per_request'])
    stream_bytes = float(read_rows('entry_memory')[0]['bytes_per_stream'])
    framing = read_rows('capacity_framing')[0]
    relay_us = 2 * (float(framing['encode_us']) + float(framing['decode_us']))
    open_streams = REQUESTS_PER_S * STREAM_S

    def cores(us: float, rate: float) -> str:
        total = us * rate / 1e6
        return f'{total:.1f} cores, {100 * total / NODES:.1f} % of one a node'

    return [
        [
            'token, 20 ms apart',
            f'{slow_token_us:g} µs',
            cores(slow_token_us, TOKENS_PER_S),
            'data path of an entry',
        ],
        [
            'token, 5 ms apart, coalesced to 20 ms',
            f'{fast_token_us:g} µs',
            cores(fast_token_us, TOKENS_PER_S),
            'the same, pieces that wait are sent as one',
        ],
        [
            'token passed on by another entry',
            f'+ {relay_us:.0f} µs of framing',
            cores(relay_us, TOKENS_PER_S),
            'if every request comes in at another entry than the home',
        ],
        [
            'request, admission to end',
            f'{request_us:g} µs',
            cores(request_us, REQUESTS_PER_S),
            'scheduler, limits, HTTP',
        ],
        [
            'open stream',
            f'{stream_bytes / 1024:.0f} KB',
            f'{stream_bytes * open_streams / NODES / 2**20:.1f} MB a node',
            f'{open_streams} open streams of {STREAM_S} s',
        ],
    ]


def make_vm_rows(read_rows: ReadRows) -> list[list[str]]:
    """Return the cost for the entries that VMs announce to, in the fleet."""
    rows = read_rows('capacity_vms')
    sizes = [float(row['vms_at_home']) for row in rows]
    vms_per_node = WORKERS / NODES
    table = []
    for key, unit, bound in (
        ('cpu_percent', '% of a core', CPU_BOUND_PERCENT),
        ('bytes_per_s', 'B/s', BYTES_BOUND_PER_S),
        ('mb', 'MB', MEMORY_BOUND_MB),
    ):
        slope = fit(sizes, [float(row[key]) for row in rows])
        table.append(
            [
                describe_slope(slope, unit, 'VM'),
                f'{slope.slope * vms_per_node:.3g} {unit}',
                f'{slope.slope * vms_per_node / bound:.3f}',
            ]
        )
    return table


def make_state_rows(read_rows: ReadRows) -> list[list[str]]:
    """Return the size of the agreed state at the size of the fleet."""
    size_by_name = {
        row['state']: int(row['bytes']) for row in read_rows('capacity_state')
    }
    counts = {
        'table row': (300, 'assumed: 20 services, 200 accounts, 80 kinds'),
        'group of 8 in the ledger': (
            WORKERS // GROUP_VMS,
            f'{WORKERS // GROUP_VMS} groups',
        ),
        'remembered command': (4096, 'the newest 4,096'),
        'change in the log': (256, 'between snapshots'),
        'audit record': (2200 * 365, 'a year on disk'),
        'claim register': (
            int(REQUESTS_PER_S * 0.01 * 86400),
            'assumed: 1 in 100 requests has a key, kept a day',
        ),
    }
    return [
        [
            name,
            f'{size_by_name[name]} B',
            note,
            f'{size_by_name[name] * count / 2**20:.2f} MB',
        ]
        for name, (count, note) in counts.items()
    ]


def make_tables(read_rows: ReadRows) -> dict[str, str]:
    """Return every table of the page by its name."""
    nodes = read_rows('capacity_nodes')
    return {
        'measured-nodes': copy_table(nodes),
        'plans': copy_table(read_rows('capacity_plans')),
        'measured-vms': copy_table(read_rows('capacity_vms')),
        'measured-state': copy_table(read_rows('capacity_state')),
        'control': make_table(
            [
                'role',
                'measured',
                'all links, 380 nodes',
                'bound',
                'breaks at',
                'links in the fleet',
                'with these',
                'ratio to bound',
            ],
            make_control_rows(nodes),
        ),
        'vms': make_table(
            ['measured at the home', '3.7 VMs a node', 'ratio to bound'],
            make_vm_rows(read_rows),
        ),
        'state': make_table(
            ['state', 'each', 'how many', 'together'],
            make_state_rows(read_rows),
        ),
        'data': make_table(
            ['unit', 'measured', 'fleet', 'what'], make_data_rows(read_rows)
        ),
        'agreement': '\n\n'.join(
            copy_table(read_rows(name))
            for name in (
                'agreement_changes',
                'agreement_claims',
                'agreement_kills',
            )
        ),
    }


def replace_table(text: str, name: str, table: str) -> str:
    """Return the page's text with the table between its two markers."""
    begin = f'<!-- begin {name} -->'
    end = f'<!-- end {name} -->'
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    return f'{head}{begin}\n{table}\n{end}{tail}'
