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
    summary = f'{counts}, codes {dict(replayed.codes)}'
    for name in ALWAYS_ZERO:
        assert counts.get(name, 0) == 0, (name, summary)
    for name, value in replayed.expected.items():
        min_key = name.removeprefix('min_')
        max_key = name.removeprefix('max_')
        if min_key != name:
            assert counts.get(min_key, 0) >= value, (name, summary)
        elif max_key != name:
            assert counts.get(max_key, 0) <= value, (name, summary)
        else:
            assert counts.get(name, 0) == value, (name, summary)
