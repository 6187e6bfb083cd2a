"""EVAC: an evacuated zone gets requests again, though nobody took it back.

The end of the evacuation went to a node that was cut off from the core and
got no response. The operator then asked for the evacuation once more, and
that was acknowledged.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standin3  # noqa: E402

ZONES = ('z-a', 'z-b', 'z-c')
ZONE = 'z-c'
START = f'/-/evacuations/{ZONE}/start'
END = f'/-/evacuations/{ZONE}/end'
CUT_S = 4.0  # core_cut lasts 4 to 5.5 s in the site file
ORDER_AFTER_S = 2.3
EVACUATE_S = 5.0  # evacuate-ms
CONTACT_S = 3.0  # contact-ms
OUTER_S = 5.0  # outer-ms stretches evacuate-ms while the core is unstable


async def case(record, trouble):
    nodes = standin3.Nodes(
        record, controls=3, entries=3, zones=ZONES, has_cuts=True
    )
    workers = []
    try:
        workers = await standin3.start_plain(nodes, record)
        client = standin3.PlainClient(nodes, record, workers)
        runs = await client.ask_for(3.0)
        if not runs[ZONE]:
            raise standin3.CannotRun(f'{ZONE} is not used at first')
        leader = nodes.find_leader()
        isolated, other = (h for h in nodes.control_hosts if h != leader)
        address_of = {h: f'{h}:{nodes.control}' for h in nodes.control_hosts}
        connected = [address_of[other], address_of[leader]]
        await standin3.order_until_acknowledged(record, connected, START)
        await asyncio.sleep(EVACUATE_S)
        runs = await client.ask_for(3.0)
        if runs[ZONE]:
            raise standin3.CannotRun(f'{ZONE} is used while it is evacuated')
        heal = None
        if trouble:
            record(f'trouble: {isolated} is cut off from the core')
            nodes.cut(isolated)

            async def end_cut():
                await asyncio.sleep(CUT_S)
                nodes.cut()
                record('trouble: the cut has healed')

            heal = asyncio.create_task(end_cut())
        await asyncio.sleep(ORDER_AFTER_S)
        await standin3.order_once(record, address_of[isolated], END)
        await standin3.order_until_acknowledged(record, connected, START)
        if heal is not None:
            await heal
        # All bounds and excuses, counted from the later of ack and cut's end.
        await asyncio.sleep(EVACUATE_S + OUTER_S + CONTACT_S)
        runs = await client.ask_for(6.0)
        if sum(runs.values()) < 50:
            raise standin3.CannotRun('too few calls ran to judge')
        if runs[ZONE]:
            record(
                f'EVAC broken: the evacuation of {ZONE} was acknowledged and '
                f'not taken back since, and {runs[ZONE]} requests reach it'
            )
        return runs[ZONE] > 0
    finally:
        for worker in workers:
            worker.stop()
        await nodes.close()


standin3.run(case, pathlib.Path(__file__).parent)
