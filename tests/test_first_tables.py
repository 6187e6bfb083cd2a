"""The first routing table, whose version may be 0."""

import msgspec
import pytest

from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import state
from apricotthread.fakes import virtualclock
from apricotthread.platform import configs
from tests import platformstandin
from tests import retryworld


class FirstTableWorld(retryworld.RetryWorld):
    """Nodes whose first table has version 0."""

    table = msgspec.structs.replace(retryworld.TABLE, version=0)


def replace(agreed, version, table):
    """Apply a command that replaces the table."""
    agreed.apply(
        commands.ReplaceTable(
            origin=commands.Origin(
                command_id=f'c-{version}-{table}',
                operator='',
                source='test',
                wall_time_s=0.0,
            ),
            version=version,
            document=table,
            table=table,
        ),
        index=1,
    )


def test_a_table_of_version_0_is_in_force_and_read_back(env):
    """Guards against a table that is acknowledged and lost."""

    async def main():
        world = FirstTableWorld(env=env, seed=1, workers=3, entries=3)
        try:
            await world.start_first()
            await world.offer(rate=50.0, seconds=2.0)
            await env.timer.sleep(1.0)
            for node_id in world.control_ids:
                service = world.node_by_id[node_id].control.service
                assert await service.read_document() == b'{}'
        finally:
            await world.close()
        return world

    world = virtualclock.run(main())
    assert world.served_share() == 1.0


def test_only_a_higher_version_replaces_a_table():
    agreed = state.AgreedState()
    for version, table in ((0, b'a'), (0, b'b'), (2, b'c'), (1, b'd')):
        replace(agreed, version, table)
    assert agreed.content.routes_version == 2
    assert agreed.content.routes_table == b'c'
    again = state.AgreedState()
    replace(again, 0, b'a')
    replace(again, 0, b'b')
    assert again.content.routes_table == b'a'


@pytest.mark.parametrize('version', [-1, -(2**63), 2**63, 1e400])
def test_a_version_out_of_bounds_is_refused(version):
    config = msgspec.json.decode(platformstandin.make_config(1))
    text = msgspec.json.encode(config | {'version': 77}).replace(
        b'77', repr(version).encode()
    )
    with pytest.raises(errors.ApricotError):
        configs.read_config(text)
