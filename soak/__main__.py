"""The command line of the soak: `python -m soak --seeds 1 2 3`."""

import asyncio
import json
import pathlib
import shutil
import sys
import tempfile

import defopt

from soak import play
from soak import record
from soak import schedule


def describe(played: play.Played) -> dict:
    """Return a row for the report."""
    attempts = played.seen.attempts
    outcomes = {outcome.value: 0 for outcome in record.Outcome}
    for attempt in attempts:
        outcomes[attempt.outcome.value] += 1
    injected = {kind.value: 0 for kind in schedule.Kind}
    for fault in played.plan.faults:
        injected[fault.kind.value] += 1
    refused = [
        attempt.ended_s - attempt.began_s
        for attempt in attempts
        if attempt.outcome is record.Outcome.REFUSED
    ]
    return {
        'seed': played.seed,
        'injected': injected,
        'outcomes': outcomes,
        'runs': len(played.seen.runs),
        'tables': len(played.seen.acknowledged),
        'longest_refusal_s': round(max(refused, default=0.0), 3),
        'longest_gap_s': round(_longest_gap_s(attempts), 3),
        'broken': {
            promise: found[:5]
            for promise, found in played.broken.items()
            if found
        },
    }


def _longest_gap_s(attempts: list[record.Attempt]) -> float:
    """Return the longest time in which no caller got a whole answer."""
    ends = sorted(
        attempt.ended_s
        for attempt in attempts
        if attempt.outcome is record.Outcome.WHOLE
    )
    return max(
        (b - a for a, b in zip(ends, ends[1:], strict=False)), default=0
    )


def run_soak(
    *,
    seeds: list[int],
    storm_s: float = 14.0,
    controls: int = 3,
    entries: int = 3,
    results: str = '',
    keep: str = '',
) -> int:
    """Play seeds one after the other; exit with 1 if a promise broke.

    :param seeds: what to play; the same seed has the same faults
    :param storm_s: seconds of overlapping faults
    :param controls: how many control nodes
    :param entries: how many entries
    :param results: a file that gets one JSON line for each seed
    :param keep: a folder for the logs of seeds that broke a promise
    """
    is_good = True
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix='apricotthread-soak-'))
        played = asyncio.run(
            play.Play(
                seed=seed,
                storm_s=storm_s,
                folder=folder,
                controls=controls,
                entries=entries,
            ).run()
        )
        row = describe(played)
        print(json.dumps(row), flush=True)
        if results:
            with open(results, 'a', encoding='utf-8') as file:
                file.write(json.dumps(row) + '\n')
        if not played.is_good:
            is_good = False
            for promise, found in played.broken.items():
                for line in found[:5]:
                    print(f'seed {seed}: {promise}: {line}', flush=True)
            if keep:
                shutil.copytree(folder, f'{keep}/{seed}', dirs_exist_ok=True)
        shutil.rmtree(folder)
    return 0 if is_good else 1


if __name__ == '__main__':
    sys.exit(defopt.run(run_soak))
