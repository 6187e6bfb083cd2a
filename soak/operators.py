"""Operators who hand in tables and take data centres out."""

import asyncio
import json
import random

import aiohttp

from soak import backends
from soak import record
from tests import platformstandin

CALL_TIMEOUT_S = 1.5
RETRY_S = 0.2
GIVE_UP_S = 20.0
READ_PERIOD_S = 0.7
SUCCESSION = 4  # tables in quick succession


def make_table(version: int) -> bytes:
    """Return a table with a route for each version up to this one."""
    return platformstandin.make_config(
        version,
        group_size=backends.GROUP_SIZE,
        extra_prefixes=[f'/version-{n}/' for n in range(1, version + 1)],
    )


class Operators:
    """Several operators, who may work at the same time."""

    def __init__(
        self,
        *,
        seed: int,
        seen: record.Record,
        world: backends.World,
        controls: list[str],
    ) -> None:
        self._random = random.Random(seed)
        self._seen = seen
        self._world = world
        self._controls = controls
        self._version = 0

    def _next_version(self) -> int:
        self._version += 1
        return self._version

    async def hand_in(self) -> None:
        """Hand in the next table until it is acknowledged."""
        await self._hand_in(self._next_version())

    async def hand_in_succession(self) -> None:
        """Hand in tables one after the other, and resend the last."""
        for _ in range(SUCCESSION):
            await self.hand_in()
        await self._hand_in(self._version)

    async def race(self) -> None:
        """Have two operators hand in tables at the same time."""
        await asyncio.gather(self.hand_in(), self.hand_in())

    async def _hand_in(self, version: int) -> None:
        status = await self._call(
            platformstandin.PUT_TABLE_PATH, make_table(version)
        )
        if status == 200:
            self._seen.acknowledged.append(
                record.Acknowledged(version=version, at_s=self._seen.now_s())
            )

    async def take_out(self, data_centre: str) -> None:
        """Have nothing more sent to a data centre."""
        path = platformstandin.make_evacuation_path(data_centre, out=True)
        if await self._call(path, b'') == 200:
            self._world.taken_out_at[data_centre] = self._seen.now_s()

    async def bring_back(self, data_centre: str) -> None:
        """Take an evacuation back."""
        self._world.taken_out_at.pop(data_centre, None)
        path = platformstandin.make_evacuation_path(data_centre, out=False)
        await self._call(path, b'')

    async def _call(self, path: str, body: bytes) -> int:
        """Call control nodes until one gives a clear answer."""
        deadline = self._seen.now_s() + GIVE_UP_S
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._seen.now_s() < deadline:
                control = self._random.choice(self._controls)
                try:
                    async with session.post(
                        f'http://{control}{path}', data=body
                    ) as answer:
                        await answer.read()
                        if answer.status < 500:
                            return answer.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass  # another control node is asked
                await asyncio.sleep(RETRY_S)
        return 0

    async def read_back_often(self) -> None:
        """Read the table of control nodes in turn until cancelled."""
        while True:
            await asyncio.sleep(READ_PERIOD_S)
            await self.read_back()

    async def read_back(self) -> bool:
        """Read the table once; return whether there was a clear answer."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        control = self._random.choice(self._controls)
        asked_s = self._seen.now_s()
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(
                    f'http://{control}{platformstandin.GET_TABLE_PATH}'
                ) as answer:
                    text = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        if answer.status != 200:
            return False
        self._seen.read_back.append(
            record.ReadBack(
                version=json.loads(text)['version'], asked_s=asked_s
            )
        )
        return True
