"""Disks of control nodes that are full one after another, on real nodes."""

import asyncio
import json
import sys

import pytest

from tests import platformstandin

FULL_S = 3.0
ROUNDS = 2
# So that changes are in progress whenever a disk fills up.
OPERATORS = 6


class FillingDeployment(platformstandin.Deployment):
    """A deployment whose disks can be full."""

    def _make_command(self, host, path):
        return [
            sys.executable,
            '-m',
            'soak.testnode',
            '--settings',
            str(path),
            '--faults',
            str(self._fault_path(host)),
        ]

    def _fault_path(self, host):
        return self.folder / f'faults-{host}.json'

    async def fill(self, host, seconds, fault):
        """Have the disk of a node refuse all writes for a while."""
        path = self._fault_path(host)
        path.write_text(json.dumps({'disk': fault}))
        await asyncio.sleep(seconds)
        path.write_text('{}')


@pytest.mark.parametrize(
    ('fault', 'pause_s'), [('full', 0.0), ('slow_and_full', 2.0)]
)
def test_changes_are_accepted_after_each_disk_was_full_for_a_while(
    fault, pause_s, children, tmp_path
):
    deployment = FillingDeployment(children=children, folder=tmp_path)
    versions = []

    async def put(version, *, within_s=30.0):
        status, _ = await deployment.call_control(
            platformstandin.PUT_TABLE_PATH,
            platformstandin.make_config(version),
            within_s=within_s,
        )
        assert status == 200, version
        versions.append(version)

    async def put_forever():
        while True:
            await put(max(versions) + 1)
            await asyncio.sleep(0.01)

    async def main():
        await deployment.start()
        await put(1)
        putting = [
            asyncio.create_task(put_forever()) for _ in range(OPERATORS)
        ]
        for _ in range(ROUNDS):
            for host in deployment.control_hosts:
                await deployment.fill(host, FULL_S, fault)
                await asyncio.sleep(pause_s)
        await asyncio.sleep(1.0)
        for task in putting:
            assert not task.done(), task.exception()
            task.cancel()
        for process in deployment.process_by_host.values():
            assert process.returncode is None
        await asyncio.gather(*putting, return_exceptions=True)
        # Once all disks have room, each change is accepted soon.
        for _ in range(20):
            await put(max(versions) + 2, within_s=4.0)
        # Any two control nodes make a majority, so no node is left behind.
        for host in deployment.control_hosts:
            await deployment.stop_node(host)
            await put(max(versions) + 1, within_s=8.0)
            await deployment.start_node(host, first=False)
            await asyncio.sleep(3.0)
        status, body = await deployment.call_control(
            platformstandin.GET_TABLE_PATH
        )
        assert status == 200
        assert json.loads(body)['version'] == max(versions)
        await deployment.close()

    asyncio.run(main())
