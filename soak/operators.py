"""Operators that submit tables and take data centres out."""

import asyncio
import json
import random

import aiohttp

from soak import backends
from soak import record
from tests import platformstandin

CALL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.2
CALL_TOTAL_TIMEOUT_S = 20.0
READ_PERIOD_S = 0.7
SUCCESSION_LENGTH = 4  # tables submitted in quick succession


def make_table(version: int) -> bytes:
    """Return a table with a route for each version up to this one."""
    return platformstandin.make_config(
        version,
        group_size=backends.GROUP_SIZE,
        extra_prefixes=[f'/version-{n}/' for n in range(1, version + 1)],
    )


class Operators:
    """Calls control nodes as several concurrent operators do."""

    def __init__(
        self,
        *,
        seed: int,
        observations: record.Observations,
        worker_monitor: backends.WorkerMonitor,
        controls: list[str],
    ) -> None:
        self._random = random.Random(seed)
        self._observations = observations
        self._worker_monitor = worker_monitor
        self._controls = controls
        self._version = 0

    def _next_version(self) -> int:
        self._version += 1
        return self._version

    async def submit_table(self) -> None:
        """Submit the next table with retries; record its acknowledgement."""
        await self._submit_version(self._next_version())

    async def submit_in_succession(self) -> None:
        """Submit tables one after the other, then resend the last one."""
        for _ in range(SUCCESSION_LENGTH):
            await self.submit_table()
        await self._submit_version(self._version)

    async def submit_concurrently(self) -> None:
        """Submit two tables at the same time, as by two operators."""
        await asyncio.gather(self.submit_table(), self.submit_table())

    async def _submit_version(self, version: int) -> None:
        status = await self._call(
            platformstandin.PUT_TABLE_PATH, make_table(version)
        )
        if status == 200:
            self._observations.acknowledged_tables.append(
                record.AcknowledgedTable(
                    version=version, at_s=self._observations.now_s()
                )
            )

    async def take_out(self, data_centre: str) -> None:
        """Take a data centre out, so that it gets no new requests."""
        path = platformstandin.make_evacuation_path(data_centre, out=True)
        if await self._call(path, b'') == 200:
            self._worker_monitor.taken_out_at_by_data_centre[data_centre] = (
                self._observations.now_s()
            )

    async def bring_back(self, data_centre: str) -> None:
        """Bring a data centre back."""
        self._worker_monitor.taken_out_at_by_data_centre.pop(data_centre, None)
        path = platformstandin.make_evacuation_path(data_centre, out=False)
        await self._call(path, b'')

    async def _call(self, path: str, body: bytes) -> int:
        """Call random control nodes until a status is below 500.

        Returns the status, or 0 after CALL_TOTAL_TIMEOUT_S.
        """
        deadline = self._observations.now_s() + CALL_TOTAL_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._observations.now_s() < deadline:
                control = self._random.choice(self._controls)
                try:
                    async with session.post(
                        f'http://{control}{path}', data=body
                    ) as answer:
                        await answer.read()
                        if answer.status < 500:
                            return answer.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass  # try another control node
                await asyncio.sleep(RETRY_DELAY_S)
        return 0

    async def read_back_periodically(self) -> None:
        """Read the table from random control nodes until cancelled."""
        while True:
            await asyncio.sleep(READ_PERIOD_S)
            await self.read_back()

    async def read_back(self) -> bool:
        """Read and record the table's version; return whether this worked."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        control = self._random.choice(self._controls)
        asked_s = self._observations.now_s()
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
        self._observations.read_back.append(
            record.ReadBack(
                version=json.loads(text)['version'], asked_s=asked_s
            )
        )
        return True
