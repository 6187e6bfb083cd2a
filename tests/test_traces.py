"""Replays recorded traces of failures and checks their stated outcomes.

No trace may have any of the outcomes in ALWAYS_ZERO.
"""

import pathlib

import pytest

from tests import replay

TRACES = sorted(
    (pathlib.Path(__file__).parent / 'traces').glob('*.jsonl'),
    key=lambda path: path.name,
)
ALWAYS_ZERO = (
    'wrong',
    'cut',
    'doubled',
    'lost',
    'false_refusals',
    'in_two_groups',
    'reverted',
    'partial_starts',
    'work_while_out',
    'work_while_leaving',
    'late_versions',
)


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_a_trace_ends_as_stated(path):
    replayed = replay.Replay(path)
    counts = replayed.run()
    description = f'{counts}, codes {dict(replayed.codes)}'
    for name in ALWAYS_ZERO:
        assert counts.get(name, 0) == 0, (name, description)
    for name, value in replayed.expected.items():
        name_without_min = name.removeprefix('min_')
        name_without_max = name.removeprefix('max_')
        if name_without_min != name:
            assert counts.get(name_without_min, 0) >= value, (
                name,
                description,
            )
        elif name_without_max != name:
            assert counts.get(name_without_max, 0) <= value, (
                name,
                description,
            )
        else:
            assert counts.get(name, 0) == value, (name, description)
