"""Command line of the soak test: `python -m soak --seeds 1 2 3`."""

import asyncio
import json
import pathlib
import shutil
import sys
import tempfile

import defopt

from apricotthread.fakes import childprocesses
from soak import play
from soak import record
from soak import schedule


def describe(played: play.SoakResult) -> dict:
    """Return the row of the results file that summarises a run."""
    attempts = played.observations.attempts
    outcomes = {outcome.value: 0 for outcome in record.Outcome}
    for attempt in attempts:
        outcomes[attempt.outcome.value] += 1
    injected = {kind.value: 0 for kind in schedule.Kind}
    for fault in played.plan.faults:
        injected[fault.kind.value] += 1
    refusal_times_s = [
        attempt.ended_s - attempt.began_s
        for attempt in attempts
        if attempt.outcome is record.Outcome.REFUSED
    ]
    return {
        'seed': played.seed,
        'injected': injected,
        'outcomes': outcomes,
        'runs': len(played.observations.runs),
        'tables': len(played.observations.acknowledged_tables),
        'longest_refusal_s': round(max(refusal_times_s, default=0.0), 3),
        'longest_gap_s': round(_longest_gap_s(attempts), 3),
        'broken': {
            promise: violations[:5]
            for promise, violations in played.violations_by_promise.items()
            if violations
        },
    }


def _longest_gap_s(attempts: list[record.Attempt]) -> float:
    """Return the longest time in which no caller got a whole answer, in s."""
    end_times_s = sorted(
        attempt.ended_s
        for attempt in attempts
        if attempt.outcome is record.Outcome.WHOLE
    )
    return max(
        (
            later - earlier
            for earlier, later in zip(
                end_times_s, end_times_s[1:], strict=False
            )
        ),
        default=0,
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
    """Run seeds one after the other; exit with 1 if a promise was broken.

    :param seeds: the seeds to run; a seed always gives the same faults
    :param storm_s: length of the phase of overlapping faults, in seconds
    :param controls: number of control nodes
    :param entries: number of entry nodes
    :param results: file to which one JSON line for each seed is appended
    :param keep: folder for the files of seeds that broke a promise
    """
    has_passed = True
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix='apricotthread-soak-'))
        with childprocesses.ChildProcesses() as children:
            played = asyncio.run(
                play.SoakRunner(
                    children=children,
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
        if not played.has_passed:
            has_passed = False
            for promise, violations in played.violations_by_promise.items():
                for line in violations[:5]:
                    print(f'seed {seed}: {promise}: {line}', flush=True)
            if keep:
                shutil.copytree(folder, f'{keep}/{seed}', dirs_exist_ok=True)
        shutil.rmtree(folder)
    return 0 if has_passed else 1


if __name__ == '__main__':
    sys.exit(defopt.run(run_soak))
