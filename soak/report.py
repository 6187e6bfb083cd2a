"""Writes the soak results of fifty or more seeds into docs/SOAK.md."""

import collections
import json
import pathlib
import sys

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402, H306

PAGE = pathlib.Path('docs/SOAK.md')
PLOT = pathlib.Path('docs/soak.png')
BEGIN = '<!-- begin results -->'
END = '<!-- end results -->'


def read_rows(path: str) -> list[dict]:
    """Return the newest row of each seed in a file of results, by seed."""
    row_by_seed = {}
    for line in pathlib.Path(path).read_text(encoding='utf-8').splitlines():
        row = json.loads(line)
        row_by_seed[row['seed']] = row
    return [row_by_seed[seed] for seed in sorted(row_by_seed)]


def make_tables(rows: list[dict]) -> str:
    """Return tables of the injected faults and their outcomes, as Markdown."""
    injected = collections.Counter()
    outcomes = collections.Counter()
    broken = collections.Counter()
    for row in rows:
        injected.update(row['injected'])
        outcomes.update(row['outcomes'])
        broken.update(row['broken'].keys())
    request_count = sum(outcomes.values())
    lines = [
        f'{len(rows)} seeds, {sum(injected.values())} faults, {request_count} '
        f'requests, {sum(row["tables"] for row in rows)} tables '
        'acknowledged.',
        '',
        '| fault | times |',
        '| --- | --- |',
        *(f'| {kind} | {count} |' for kind, count in injected.items()),
        '',
        '| requests that were | share |',
        '| --- | --- |',
        *(
            f'| {name} | {count / request_count:.4f} |'
            for name, count in outcomes.items()
        ),
        '',
        '| longest | seconds | seed |',
        '| --- | --- | --- |',
        *(
            _make_worst_row(rows, key, name)
            for key, name in (
                ('longest_gap_s', 'time without a whole answer'),
                ('longest_refusal_s', 'time until a refusal'),
            )
        ),
        '',
        '| promise | seeds that broke it |',
        '| --- | --- |',
        *(f'| {name} | {count} |' for name, count in broken.items()),
    ]
    if not broken:
        lines.append('| none was broken | 0 |')
    return '\n'.join(lines)


def _make_worst_row(rows: list[dict], key: str, name: str) -> str:
    worst_row = max(rows, key=lambda row: row[key])
    return f'| {name} | {worst_row[key]} | {worst_row["seed"]} |'


def plot_gaps(rows: list[dict]) -> None:
    """Plot the longest time without a whole answer for each seed."""
    figure, axes = pyplot.subplots(figsize=(7, 3))
    axes.bar(
        [row['seed'] for row in rows], [row['longest_gap_s'] for row in rows]
    )
    axes.set_xlabel('seed')
    axes.set_ylabel('longest time without\na whole answer, s')
    figure.tight_layout()
    figure.savefig(PLOT, dpi=100)


def main(path: str) -> None:
    """Write the tables between the markers of the page, and the plot."""
    rows = read_rows(path)
    text = PAGE.read_text(encoding='utf-8')
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    tables = make_tables(rows)
    PAGE.write_text(
        f'{before}{BEGIN}\n\n{tables}\n\n{END}{after}', encoding='utf-8'
    )
    plot_gaps(rows)


if __name__ == '__main__':
    main(sys.argv[1])
