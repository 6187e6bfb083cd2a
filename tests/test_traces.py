"""Recorded traces of failures, each with its stated outcome."""

import pathlib

import pytest

from tests import replay

TRACES = sorted(
    (pathlib.Path(__file__).parent / 'traces').glob('*.jsonl'),
    key=lambda path: path.name,
)
NEVER = (
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
    seen = f'{counts}, codes {dict(replayed.codes)}'
    for name in NEVER:
        assert counts.get(name, 0) == 0, (name, seen)
    for name, value in replayed.expected.items():
        least = name.removeprefix('min_')
        most = name.removeprefix('max_')
        if least != name:
            assert counts.get(least, 0) >= value, (name, seen)
        elif most != name:
            assert counts.get(most, 0) <= value, (name, seen)
        else:
            assert counts.get(name, 0) == value, (name, seen)
