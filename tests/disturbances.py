"""What befalls the nodes of a fleet while callers are served.

Each function disturbs a RetryWorld until it is cancelled.
"""

from tests import retryworld


async def entries_killed_together(world):
    """Kill all entries twice within a window."""
    await world.env.timer.sleep(2.0)
    await world.restart(*world.entry_ids)
    await world.env.timer.sleep(5.0)
    await world.restart(*world.entry_ids)


async def entries_killed_in_turn(world):
    """Kill one entry after the other, each within two seconds."""
    while True:
        for node_id in world.entry_ids:
            await world.env.timer.sleep(1.0)
            await world.restart(node_id)


async def control_restarts(world):
    """Kill control nodes, all together and in turn."""
    await world.env.timer.sleep(2.0)
    await world.restart(*world.control_ids)
    while True:
        for node_id in world.control_ids:
            await world.env.timer.sleep(1.5)
            await world.restart(node_id)


async def leaders_lost(world):
    """Cut off the leader again and again."""
    while True:
        await world.env.timer.sleep(1.0)
        leader_id = world.leader_id()
        if leader_id is not None:
            await world.isolate(leader_id, seconds=4.0)


async def data_centres_cut(world):
    """Cut off one data centre after the other."""
    while True:
        for data_centre in retryworld.DATA_CENTRES:
            await world.env.timer.sleep(1.0)
            await world.isolate(
                *world.data_centre_ids(data_centre), seconds=12.0
            )


async def entries_paused(world):
    """Pause half of the entries, for longer than they are counted."""
    while True:
        await world.env.timer.sleep(2.0)
        paused = world.random.sample(
            world.entry_ids, len(world.entry_ids) // 2
        )
        await world.pause(*paused, seconds=7.0)


async def entries_join(world):
    """Start with two entries, and add the others one by one."""
    await world.kill(*world.entry_ids[2:])
    world.callers_at = world.entry_ids[:2]
    await world.env.timer.sleep(12.0)
    for node_id in world.entry_ids[2:]:
        await world.env.timer.sleep(0.3)
        world.start(node_id)
        world.callers_at = [*world.callers_at, node_id]


async def callers_move(world):
    """Move all callers from some entries to the others."""
    half = len(world.entry_ids) // 2
    while True:
        for callers_at in (world.entry_ids[:half], world.entry_ids[half:]):
            world.callers_at = callers_at
            await world.env.timer.sleep(5.0)


async def any_of_them(world):
    """Disturb nodes at random, so that disturbances overlap."""
    draw = world.random
    while True:
        node_ids = draw.sample(
            list(world.address_by_id), draw.randint(1, len(world.entry_ids))
        )
        match draw.randrange(4):
            case 0:
                disturbance = world.restart(*node_ids)
            case 1:
                disturbance = world.restart(*world.entry_ids)
            case 2:
                disturbance = world.isolate(
                    *node_ids, seconds=draw.uniform(0.5, 8.0)
                )
            case 3:
                disturbance = world.pause(
                    *node_ids, seconds=draw.uniform(0.5, 8.0)
                )
        world.spawn(disturbance)
        await world.env.timer.sleep(draw.uniform(0.2, 4.0))


ALL = [
    entries_killed_together,
    entries_killed_in_turn,
    control_restarts,
    leaders_lost,
    data_centres_cut,
    entries_paused,
    entries_join,
    callers_move,
    any_of_them,
]
