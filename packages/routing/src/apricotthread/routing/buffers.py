"""Bounded answer buffers between an engine and a reader."""

import asyncio
import collections

from apricotthread.base import environment
from apricotthread.base import units
from apricotthread.nodes import messages

LOW_WATER_SHARE = 0.25  # fill, as a share of the bound, to resume filling
MAX_READ_BYTES = 2 * units.KIB
MIN_BOUND_BYTES = 1 * units.KIB
USABLE_SHARE = 0.9  # of the node's limit, as a last piece may exceed a bound
PIECE_OVERHEAD_BYTES = 120  # memory that a piece takes besides its text


class NodeBufferBudget:
    """The bytes that the answer buffers of a node may hold together."""

    def __init__(
        self, *, env: environment.Environment, limit_bytes: int
    ) -> None:
        self._env = env
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.open_buffers = 0

    def add(self, size: int) -> None:
        """Add bytes that are now held; a negative size releases them."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    @property
    def is_spent(self) -> bool:
        """Whether the buffers together hold as much as they may."""
        return self.held_bytes >= int(self._limit_bytes * USABLE_SHARE)

    def bound_for(self, requested_bytes: int) -> int:
        """Return how many bytes one buffer may hold now.

        With many open buffers the node's limit is split evenly among
        them, so that their sum stays below it.
        """
        usable_bytes = int(self._limit_bytes * USABLE_SHARE)
        even_share = usable_bytes // max(1, self.open_buffers)
        return max(MIN_BOUND_BYTES, min(requested_bytes, even_share))

    def publish_gauges(self) -> None:
        """Set the gauges for buffered bytes and open buffers."""
        self._env.metrics.set_gauge('answer_bytes_held', self.held_bytes)
        self._env.metrics.set_gauge('answer_bytes_peak', self.peak_bytes)
        self._env.metrics.set_gauge('answers_open', self.open_buffers)


class AnswerBuffer:
    """Holds the part of one answer that its reader has not read yet.

    It holds only the text; pieces that are buffered together are read
    as one piece.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        budget: NodeBufferBudget,
        bound_bytes: int,
    ) -> None:
        self._env = env
        self._budget = budget
        self._requested_bytes = bound_bytes
        self._pieces: collections.deque[messages.DispatchPiece] = (
            collections.deque()
        )
        self._held_bytes = 0
        self._changed = asyncio.Event()
        self._error: BaseException | None = None
        self._is_finished = False
        self._abort_error: BaseException | None = None
        self._bytes_read = 0
        self._opened_at = env.timer.now()
        budget.open_buffers += 1

    @property
    def bound_bytes(self) -> int:
        """The bytes that this buffer may hold now."""
        return self._budget.bound_for(self._requested_bytes)

    @property
    def is_full(self) -> bool:
        """Whether the engine has to wait for the reader.

        An empty buffer always accepts one more piece, also when the
        node's limit is reached.
        """
        if self._held_bytes >= self.bound_bytes:
            return True
        return self._held_bytes > 0 and self._budget.is_spent

    @property
    def has_room(self) -> bool:
        """Whether a full buffer has drained enough to be filled again."""
        if self._held_bytes == 0:
            return True
        if self._budget.is_spent:
            return False
        return self._held_bytes <= self.bound_bytes * LOW_WATER_SHARE

    def put(self, piece: messages.DispatchPiece) -> None:
        """Add a piece; a caller waits afterwards if the buffer is full."""
        size = len(piece.data) + PIECE_OVERHEAD_BYTES
        self._pieces.append(piece)
        self._held_bytes += size
        self._budget.add(size)
        self._notify()

    def finish(self, error: BaseException | None = None) -> None:
        """Mark the end of the answer, with the error that ended it early."""
        self._is_finished = True
        self._error = error
        self._notify()

    def abort(self, error: BaseException) -> None:
        """Make the next read raise an error, even if pieces are left."""
        self._abort_error = error
        self._notify()

    def _notify(self) -> None:
        self._changed.set()

    async def read(self) -> messages.DispatchPiece | None:
        """Return buffered pieces joined as one, None at the end.

        Waits for a piece if none is buffered. Raises the error that
        ended the answer early once all pieces before it are read.
        """
        while not self._pieces and self._abort_error is None:
            if self._is_finished:
                if self._error is not None:
                    raise self._error
                return None
            self._changed.clear()
            await self._changed.wait()
        if self._abort_error is not None:
            raise self._abort_error
        first = self._pieces[0]
        tokens = 0
        parts = []
        size = 0
        while self._pieces and size < MAX_READ_BYTES:
            piece = self._pieces.popleft()
            parts.append(piece.data)
            tokens += piece.tokens
            size += len(piece.data)
            self._release(len(piece.data) + PIECE_OVERHEAD_BYTES)
        self._bytes_read += size
        self._notify()
        return messages.DispatchPiece(
            offset=first.offset,
            tokens=tokens,
            data=b''.join(parts),
            finish=piece.finish,
        )

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        self._budget.add(-size)

    async def wait_for_start(self) -> None:
        """Wait for the first piece; raise an error that comes before it."""
        while not self._pieces and not self._is_finished:
            self._changed.clear()
            await self._changed.wait()
        if not self._pieces and self._error is not None:
            raise self._error

    async def wait_for_room(self) -> None:
        """Wait until the buffer has drained to its low water mark."""
        while not self.has_room:
            self._changed.clear()
            await self._changed.wait()

    def predict_wait_s(self) -> float:
        """Return how long the reader will take to drain a full buffer.

        This is the time to the low water mark at the mean rate at which
        it has read so far, infinite if it has read nothing.
        """
        excess = self._held_bytes - self.bound_bytes * LOW_WATER_SHARE
        rate = self._read_rate()
        return excess / rate if rate else float('inf')

    def _read_rate(self) -> float:
        """Return the bytes per second that the reader has read so far."""
        elapsed_s = self._env.timer.now() - self._opened_at
        return self._bytes_read / elapsed_s if elapsed_s > 0 else 0.0

    def close(self) -> None:
        """Release all buffered bytes; the reader is gone or done."""
        self._release(self._held_bytes)
        self._pieces.clear()
        self._budget.open_buffers -= 1
