"""LOST: an evacuation whose end was acknowledged comes back for good.

The start of the evacuation went to a node that was cut off from the core and
got no response. The operator then withdrew it, and that was acknowledged.
"""

import asyncio
import json
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
CONTACT_S = 3.0  # contact-ms
DOWN_S = 0.8  # of the closing kill_all
RECOVER_S = 12.0  # recover-s


async def case(record, trouble):
    nodes = standin3.Nodes(
        record, controls=3, entries=3, zones=ZONES, has_cuts=True
    )
    workers = []
    try:
        workers = await standin3.start_plain(nodes, record)
        client = standin3.PlainClient(nodes, record, workers)
        runs = await client.ask_for(4.0)
        if not runs[ZONE]:
            raise standin3.CannotRun(f'{ZONE} is not used at first')
        leader = nodes.find_leader()
        isolated, other = (h for h in nodes.control_hosts if h != leader)
        address_of = {h: f'{h}:{nodes.control}' for h in nodes.control_hosts}
        connected = [address_of[other], address_of[leader]]
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
        await standin3.order_once(record, address_of[isolated], START)
        await standin3.order_until_acknowledged(record, connected, END)
        if heal is not None:
            await heal
        await asyncio.sleep(2 * CONTACT_S)
        await client.ask_for(4.0)
        # The final fault comes immediately after a config was acknowledged.
        operator = standin3.Operator(nodes, record)
        config = {**standin3.PLAIN_CONFIG, 'version': 2}
        await operator.send('/-/config/put', json.dumps(config).encode())
        record('final fault: all processes are killed')
        hosts = [*nodes.control_hosts, *nodes.entry_hosts]
        await nodes.kill(hosts)
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            await nodes.start(host)
        await nodes.wait_ready()
        await asyncio.sleep(RECOVER_S)
        runs = await client.ask_for(8.0)
        if sum(runs.values()) < 50:
            raise standin3.CannotRun('too few calls ran to judge')
        if not runs[ZONE]:
            record(
                f'LOST broken: the end of the evacuation of {ZONE} was '
                'acknowledged, and no request reaches its worker'
            )
        return not runs[ZONE]
    finally:
        for worker in workers:
            worker.stop()
        await nodes.close()


standin3.run(case, pathlib.Path(__file__).parent)
