"""A worker of the stand-in that a part of a prompt crashes."""

import asyncio
import collections
import time

from tests import platformstandin

CRASH_DELAY_S = 0.05  # after the first events of the answer
BACK_S = 1.0
STALL_S = 5.0  # of a group whose member is gone


class CrashingWorker(platformstandin.Worker):
    """A worker that ends when it begins to answer on the part 'bad'.

    It is back after a second and knows nothing of before. `crashes` has the
    moments of crashes for that part, `arrivals` those of requests with each
    part. With `peer_by_name` the last member of its group ends in its place,
    and it falls silent.
    """

    def __init__(self, *, crash_part='bad', peer_by_name=None, **values):
        super().__init__(**values)
        self.crash_part = crash_part
        self._peer_by_name = peer_by_name
        self.crashes = []
        self.arrivals = collections.defaultdict(list)
        self._writers = set()
        self._restarting = None
        self.is_up = True

    async def crash(self):
        """End, and start again after a while."""
        self.is_up = False
        self._server.close()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        self._restarting = asyncio.create_task(self._come_back())

    async def _crash_member(self):
        """End the last member, and stand still until this one breaks."""
        join = next(o for o in reversed(self.orders) if o.kind == 'join')
        peer = self._peer_by_name[join.member_ids[-1]]
        if peer.is_up:
            await peer.crash()
        await asyncio.sleep(STALL_S)

    async def _come_back(self):
        await asyncio.sleep(BACK_S)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.place = None
        await self.start()
        self.is_up = True

    def stop(self):
        """Stop for good."""
        if self._restarting is not None:
            self._restarting.cancel()
        super().stop()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, headers, writer):
        parts = platformstandin.read_shared_parts(headers)
        for part in parts:
            self.arrivals[part].append(time.monotonic())
        if self.crash_part in parts:
            writer.write(self.make_head(headers) + b'\r\n')
            await asyncio.sleep(CRASH_DELAY_S)
            self.crashes.append(time.monotonic())
            if self._peer_by_name is not None:
                await self._crash_member()
            else:
                await self.crash()
            raise ConnectionError
        await super()._run(headers, writer)
