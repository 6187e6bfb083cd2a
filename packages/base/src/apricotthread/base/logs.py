"""Structured logs: eliot actions and messages written as JSON lines."""

import collections
import contextlib
import os
import sys
import typing

import eliot
import orjson

from apricotthread.base import errors

MAX_PENDING_LINES = 2000
MAX_UNWRITTEN_BYTES = 1 << 20  # kept while the reader takes nothing
STANDARD_OUTPUT = 1


class LineWriter:
    """Writes lines to standard output without ever waiting for a reader.

    Lines wait in memory between flushes. Past the bound on lines a
    second, and when nobody reads, lines are left out and counted.
    """

    def __init__(self, *, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._allowed = float(lines_per_s)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self.lines_left_out = 0
        os.set_blocking(STANDARD_OUTPUT, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Take one message, unless too many have come."""
        if (
            self._allowed < 1
            or len(self._waiting) >= MAX_PENDING_LINES
            or len(self._unwritten) > MAX_UNWRITTEN_BYTES
        ):
            self.lines_left_out += 1
            return
        self._allowed -= 1
        self._waiting.append(
            orjson.dumps(
                message, default=str, option=orjson.OPT_APPEND_NEWLINE
            )
        )

    def refill(self, seconds: float) -> None:
        """Allow the lines of some more seconds."""
        self._allowed = min(
            float(self._lines_per_s),
            self._allowed + self._lines_per_s * seconds,
        )

    def flush(self) -> None:
        """Write what is waiting, as far as the reader takes it."""
        if self.lines_left_out:
            lines_left_out, self.lines_left_out = self.lines_left_out, 0
            self._waiting.append(
                orjson.dumps(
                    {
                        'message_type': 'lines_left_out',
                        'count': lines_left_out,
                    },
                    option=orjson.OPT_APPEND_NEWLINE,
                )
            )
        data = self._unwritten + b''.join(self._waiting)
        self._waiting.clear()
        try:
            written = os.write(STANDARD_OUTPUT, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody will ever read again; there is no place to say so.
            written = len(data)
        self._unwritten = data[written:]


_writer: LineWriter | None = None


def open_log(path: str) -> None:
    """Send every log record to the file, or to standard error for '-'."""
    stream = sys.stderr if path == '-' else open(path, 'a', buffering=1)
    eliot.to_file(stream)


def open_bounded_log(*, lines_per_s: int) -> LineWriter:
    """Send log records to standard output, so many a second at most."""
    global _writer
    _writer = LineWriter(lines_per_s=lines_per_s)
    eliot.add_destinations(_writer)
    return _writer


def count_left_out(lines: int) -> None:
    """Count lines that were not written, as their request went well."""
    if _writer is not None:
        _writer.lines_left_out += lines


def log_event(event: str, **fields: typing.Any) -> None:
    """Write one record of something that happened."""
    eliot.log_message(message_type=event, **fields)


def log_fault(event: str, fault: errors.ApricotError, **fields) -> None:
    """Write one record of a fault, with its code."""
    log_event(event, code=fault.code.label, reason=fault.message, **fields)


@contextlib.contextmanager
def log_action(action: str, **fields: typing.Any):
    """Write the start and the end of an action around the block."""
    with eliot.start_action(action_type=action, **fields) as running:
        yield running
