"""One worker of a small fleet ends; do the control processes go on?

The control processes are restarted in turn first, as for an update, with
and without the disruption.
"""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MODELS = {
    'm0': {
        'size': 3,
        'traffic-share': 0.67,
        'pace': 1.0,
        'load-s': 2.0,
        'warmup-s': 0.3,
    },
    'm1': {
        'size': 2,
        'traffic-share': 0.33,
        'pace': 0.6,
        'load-s': 2.0,
        'warmup-s': 0.3,
    },
}
WATCHED_S = 40.0


def make_config(version):
    return standin.make_config(
        version,
        routes=[
            standin.make_route(
                'r-1',
                prefix='/lots/',
                kind='streaming',
                service='models',
                timeout_ms=8000,
                resumable=True,
                sticky=True,
                **{'target-gap-ms': 250},
            )
        ],
        services=[
            standin.make_service(
                'models',
                **{'engine-profile': standin.make_engine(MODELS)},
            )
        ],
    )


def count_open(platform):
    return sum(
        w.group is not None and w.group['state'] == 'open'
        for w in platform.workers
    )


async def wait_for_groups(platform, count, within_s):
    for _ in range(int(within_s * 10)):
        if count_open(platform) >= count:
            return True
        await asyncio.sleep(0.1)
    return False


async def play(record):
    platform = standin.Platform(record=record)
    operator = standin.Operator(platform)
    try:
        await platform.start()
        if await operator.send('/-/config/put', make_config(1)) != 200:
            raise standin.CannotRun('the first config was not accepted')
        for number in range(6):
            await platform.add_worker(
                name=f'w-a{number}',
                service='models',
                zone='za',
                domain='d1',
                models=MODELS,
            )
        for number in range(2):
            await platform.add_worker(
                name=f'w-b{number}',
                service='models',
                zone='zb',
                domain='d2',
                models=MODELS,
            )
        if not await wait_for_groups(platform, 3, 20.0):
            raise standin.CannotRun('the groups were not opened')
        record.add('all groups are open')
        await asyncio.sleep(3.0)
        for node in platform.cores:
            node.signal(signal.SIGTERM)
            await asyncio.sleep(5.0)
        record.add('the control processes were restarted in turn')
        ends_before = {n.name: len(n.own_ends) for n in platform.cores}
        if any(ends_before.values()):
            raise standin.CannotRun('a process ended before the disruption')
        if TROUBLE:
            worker = platform.workers[-1]
            record.add(f'{worker.name} is killed and does not come back')
            worker.stop()
        await asyncio.sleep(WATCHED_S)
        ends = {n.name: len(n.own_ends) for n in platform.cores}
        record.add(f'processes that ended by themselves: {ends}')
        status = await operator.send(
            '/-/config/put', make_config(2), within_s=8.0
        )
        record.add(f'a config sent now: {status}')
        often = [name for name, count in ends.items() if count >= 3]
        if 2 * len(often) >= len(platform.cores):
            return (
                'Fault: on half of the core, processes ended by themselves '
                f'three times: {ends}'
            )
        return ''
    finally:
        await platform.close()


standin.run_case(play, HERE, trouble=TROUBLE)
