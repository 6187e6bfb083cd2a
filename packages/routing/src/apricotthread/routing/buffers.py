"""Bounded buffers between an engine and a reader that may be slow."""

import asyncio
import collections

from apricotthread.base import environment
from apricotthread.base import units
from apricotthread.nodes import messages

LOW_WATER = 0.25  # share of its bound at which a full buffer takes more
MAX_TAKE_BYTES = 2 * units.KIB
MIN_BOUND_BYTES = 1 * units.KIB
PLANNED_SHARE = 0.9  # of the node's limit; the last piece goes over a bound
PIECE_OVERHEAD_BYTES = 120  # memory of a piece beside its text


class NodeBufferBudget:
    """The bytes that all answers of a node may hold together."""

    def __init__(
        self, *, env: environment.Environment, limit_bytes: int
    ) -> None:
        self._env = env
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.open_buffers = 0

    def add(self, size: int) -> None:
        """Count bytes that came to be held, or with a minus, released."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    @property
    def is_spent(self) -> bool:
        """Whether all answers together hold what they may."""
        return self.held_bytes >= int(self._limit_bytes * PLANNED_SHARE)

    def bound_for(self, wanted_bytes: int) -> int:
        """Return what one answer may hold now.

        When many answers are open the node's limit is split evenly, so
        that the sum stays under it.
        """
        planned = int(self._limit_bytes * PLANNED_SHARE)
        fair = planned // max(1, self.open_buffers)
        return max(MIN_BOUND_BYTES, min(wanted_bytes, fair))

    def publish_gauges(self) -> None:
        """Set the gauges of what is held."""
        self._env.metrics.set_gauge('answer_bytes_held', self.held_bytes)
        self._env.metrics.set_gauge('answer_bytes_peak', self.peak_bytes)
        self._env.metrics.set_gauge('answers_open', self.open_buffers)


class AnswerBuffer:
    """The part of one answer that its reader has not taken yet.

    It holds the bare text; pieces that wait together are taken as one.
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
        self._wanted_bytes = bound_bytes
        self._pieces: collections.deque[messages.DispatchPiece] = (
            collections.deque()
        )
        self._held_bytes = 0
        self._changed = asyncio.Event()
        self._error: BaseException | None = None
        self._finished = False
        self._abort_error: BaseException | None = None
        self._taken_bytes = 0
        self._opened_at = env.timer.now()
        budget.open_buffers += 1

    @property
    def bound_bytes(self) -> int:
        """The bytes that the buffer may hold now."""
        return self._budget.bound_for(self._wanted_bytes)

    @property
    def is_full(self) -> bool:
        """Whether the engine has to wait.

        An answer of which nothing is held may always go on by a piece.
        """
        if self._held_bytes >= self.bound_bytes:
            return True
        return self._held_bytes > 0 and self._budget.is_spent

    @property
    def has_room(self) -> bool:
        """Whether a full buffer has drained enough to take more."""
        if self._held_bytes == 0:
            return True
        if self._budget.is_spent:
            return False
        return self._held_bytes <= self.bound_bytes * LOW_WATER

    def put(self, piece: messages.DispatchPiece) -> None:
        """Add a piece; the caller then waits if the buffer is full."""
        size = len(piece.data) + PIECE_OVERHEAD_BYTES
        self._pieces.append(piece)
        self._held_bytes += size
        self._budget.add(size)
        self._wake()

    def finish(self, error: BaseException | None = None) -> None:
        """Mark the end of the answer, with the error that cut it."""
        self._finished = True
        self._error = error
        self._wake()

    def abort(self, error: BaseException) -> None:
        """Have the reader get an error at once, whatever still comes."""
        self._abort_error = error
        self._wake()

    def _wake(self) -> None:
        self._changed.set()

    async def read(self) -> messages.DispatchPiece | None:
        """Return what waits as one piece, None at the end.

        Raises the error that cut the answer, after the pieces before it.
        """
        while not self._pieces and self._abort_error is None:
            if self._finished:
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
        while self._pieces and size < MAX_TAKE_BYTES:
            piece = self._pieces.popleft()
            parts.append(piece.data)
            tokens += piece.tokens
            size += len(piece.data)
            self._release(len(piece.data) + PIECE_OVERHEAD_BYTES)
        self._taken_bytes += size
        self._wake()
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
        """Return once there is a piece; raise an error that came first."""
        while not self._pieces and not self._finished:
            self._changed.clear()
            await self._changed.wait()
        if not self._pieces and self._error is not None:
            raise self._error

    async def wait_for_room(self) -> None:
        """Return once the buffer has drained to its low water mark."""
        while not self.has_room:
            self._changed.clear()
            await self._changed.wait()

    def predict_wait_s(self) -> float:
        """Return how long the reader needs to make room, as it reads."""
        excess = self._held_bytes - self.bound_bytes * LOW_WATER
        rate = self._read_rate()
        return excess / rate if rate else float('inf')

    def _read_rate(self) -> float:
        """Return the bytes a second that the reader has taken so far."""
        elapsed_s = self._env.timer.now() - self._opened_at
        return self._taken_bytes / elapsed_s if elapsed_s > 0 else 0.0

    def close(self) -> None:
        """Drop what is left, as the reader is gone or done."""
        self._release(self._held_bytes)
        self._pieces.clear()
        self._budget.open_buffers -= 1
