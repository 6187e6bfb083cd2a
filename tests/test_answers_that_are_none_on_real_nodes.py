"""Real nodes, one of whose workers sends what is no answer."""

import asyncio
import collections
import time

import aiohttp

from tests import platformstandin
from tests import test_answers_that_are_none

REQUESTS_PER_S = 80
SETTLING_S = 3.0
PLAYED_S = 2.5
BUDGET_S = 1.0
# An answer that is ready comes within milliseconds; only one that is waited
# for comes near the deadline.
AT_ONCE_S = 0.8 * BUDGET_S
SOUND_WORKERS = 3
# So that all workers get requests; reads count as stalled after 0.25 s.
BUSY_S = 0.15
MIN_SERVED_SHARE = 0.99
# A call that may not be repeated fails when it meets such a worker, which an
# entry finds out by a few of them, and then by one in each two seconds.
MAX_FAILED_CALLS = 12


class OddWorker(platformstandin.Worker):
    """Answers callers with bytes that are no answer, perhaps a sound after."""

    def __init__(self, *, odd, has_more, **values):
        super().__init__(**values)
        self._odd = odd
        self._has_more = has_more
        self.odd_answers = 0

    async def _run(self, headers, writer):
        self.odd_answers += 1
        attempt_id = headers['attempt-id'].encode()
        writer.write(self._odd.replace(b'r-1', attempt_id))
        if self._has_more:
            await super()._run(headers, writer)


async def send(deployment, number, path, outcomes):
    """Send one request; count its status, or what is wrong with it."""
    host = deployment.entries[number % len(deployment.entries)]
    attempt_id = f'{path[1]}{time.monotonic_ns()}'
    started = time.monotonic()
    try:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=2 * BUDGET_S)
        ) as session:
            async with session.post(
                f'http://{host}:{deployment.caller_port}{path}',
                headers=platformstandin.make_caller_headers(
                    attempt_id, budget_s=BUDGET_S
                ),
            ) as answer:
                text = (await answer.read()).decode('latin-1')
                outcome = answer.status
    except (aiohttp.ClientError, TimeoutError):
        outcome = 'no answer'
    else:
        if outcome == 200 and text not in {
            f'{worker.name} {attempt_id}' for worker in deployment.workers
        }:
            outcome = 'wrong bytes'
        elif time.monotonic() - started > AT_ONCE_S:
            outcome = 'late'
    outcomes[path, outcome] += 1


async def press(deployment, seconds, outcomes):
    """Send reads and bids to all entries for some seconds."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(seconds * REQUESTS_PER_S)):
            path = ('/reads/1', '/bids/1')[number // 2 % 2]
            tasks.create_task(send(deployment, number, path, outcomes))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(deployment, kind, *, has_more):
    """Have an odd worker stand beside the sound ones; return the outcomes."""
    worker = OddWorker(
        odd=test_answers_that_are_none.NO_ANSWERS[kind],
        has_more=has_more,
        controls=deployment.controls,
        name=f'odd-{len(deployment.workers)}',
        service='bids',
    )
    await worker.start()
    deployment.workers.append(worker)
    outcomes = collections.Counter()
    await press(deployment, PLAYED_S, outcomes)
    worker.stop()
    assert worker.odd_answers > 0, outcomes
    return outcomes


def test_a_worker_without_an_answer_costs_few_calls(children, tmp_path):
    """Guards against joined answers, waits in vain and missing answers."""
    deployment = platformstandin.Deployment(children=children, folder=tmp_path)
    outcomes_by_case = {}

    async def main():
        try:
            await deployment.start()
            await deployment.call_control(
                platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
            )
            for number in range(SOUND_WORKERS):
                worker = await deployment.add_worker(
                    name=f'sound-{number}', service='bids'
                )
                worker.gap_s = BUSY_S
            # At first entries have no share of the budget for retries.
            await asyncio.sleep(SETTLING_S)
            await press(deployment, 1.0, collections.Counter())
            for kind in test_answers_that_are_none.NO_ANSWERS:
                for has_more in (False, True):
                    outcomes_by_case[kind, has_more] = await play(
                        deployment, kind, has_more=has_more
                    )
        finally:
            await deployment.close()

    asyncio.run(main())
    for case, outcomes in outcomes_by_case.items():
        print(case, dict(outcomes))
        assert not {'no answer', 'wrong bytes', 'late'} & {
            outcome for _, outcome in outcomes
        }, (case, outcomes)
        reads = sum(n for (path, _), n in outcomes.items() if 'reads' in path)
        bids = outcomes.total() - reads
        assert outcomes['/reads/1', 200] >= MIN_SERVED_SHARE * reads, case
        failed = bids - outcomes['/bids/1', 200]
        assert failed <= MAX_FAILED_CALLS, (case, outcomes)
        assert outcomes['/bids/1', 502] == failed, (case, outcomes)
