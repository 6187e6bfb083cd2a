"""Orders that reach a real control node late do not undo newer ones."""

import asyncio
import signal

import aiohttp
import pytest

from tests import platformstandin

FROZEN_S = 3.0
ANSWER_WAIT_S = 1.0
# After a node has woken up, it has applied what was agreed meanwhile.
SETTLED_S = 2.0


async def mark(control, *, out):
    """Take the data centre out or bring it back; return the status or 0."""
    path = platformstandin.make_evacuation_path('north', out=out)
    timeout = aiohttp.ClientTimeout(total=ANSWER_WAIT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.post(f'http://{control}{path}') as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def serves(deployment):
    """Whether an entry has a worker for a call."""
    status, _, _ = await deployment.send_request(
        deployment.entries[0], '/reads/1', Attempt_Id='r-1'
    )
    return status == 200


@pytest.mark.parametrize('frozen', range(3))
@pytest.mark.parametrize('out_at_last', [True, False])
def test_an_order_read_on_waking_does_not_undo_a_newer_one(
    children, tmp_path, frozen, out_at_last
):
    """Guards against an evacuation that a frozen node has withdrawn."""
    deployment = platformstandin.Deployment(
        children=children, folder=tmp_path, entries=1
    )

    async def main():
        try:
            await deployment.start()
            await deployment.call_control(
                platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
            )
            await deployment.add_worker(name='w', service='bids')
            await deployment.wait_until(lambda: serves(deployment))
            await play_marks(deployment, frozen, out_at_last)
            await asyncio.sleep(SETTLED_S)
            assert await serves(deployment) is not out_at_last
        finally:
            await deployment.close()

    asyncio.run(main())


async def play_marks(deployment, frozen, out_at_last):
    """Give three orders, the second at a node that is frozen meanwhile."""
    control = deployment.controls[frozen]
    others = [c for c in deployment.controls if c != control]

    async def order(*, out):
        path = platformstandin.make_evacuation_path('north', out=out)
        for _ in range(20):
            for other in others:
                if await mark(other, out=out) == 200:
                    return
            await asyncio.sleep(0.1)
        raise AssertionError(f'{path} was not acknowledged')

    await order(out=out_at_last)
    process = deployment.process_by_host[deployment.control_hosts[frozen]]
    process.send_signal(signal.SIGSTOP)
    try:
        assert await mark(control, out=not out_at_last) == 0
        await order(out=not out_at_last)
        await order(out=out_at_last)
        await asyncio.sleep(FROZEN_S)
    finally:
        process.send_signal(signal.SIGCONT)
