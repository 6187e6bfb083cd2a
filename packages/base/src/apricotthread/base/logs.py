"""Structured logs: eliot actions and messages as JSON lines."""

import collections
import contextlib
import os
import sys
import typing

import eliot
import orjson

from apricotthread.base import errors

MAX_PENDING_LINES = 2000
MAX_UNWRITTEN_BYTES = 1 << 20  # of output that the reader did not take
STANDARD_OUTPUT = 1


class LineWriter:
    """Writes log lines to standard output and never blocks on its reader.

    Lines are buffered in memory between flushes. Lines beyond the rate
    limit, or beyond the size of the buffers when the reader is too slow,
    are left out and counted. The next flush logs their number.
    """

    def __init__(self, *, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._line_allowance = float(lines_per_s)
        self._pending_lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self.lines_left_out = 0
        os.set_blocking(STANDARD_OUTPUT, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Buffer a message, or leave it out if a limit is reached."""
        if (
            self._line_allowance < 1
            or len(self._pending_lines) >= MAX_PENDING_LINES
            or len(self._unwritten) > MAX_UNWRITTEN_BYTES
        ):
            self.lines_left_out += 1
            return
        self._line_allowance -= 1
        self._pending_lines.append(
            orjson.dumps(
                message, default=str, option=orjson.OPT_APPEND_NEWLINE
            )
        )

    def refill(self, seconds: float) -> None:
        """Allow as many more lines as the rate limit gives for the seconds."""
        self._line_allowance = min(
            float(self._lines_per_s),
            self._line_allowance + self._lines_per_s * seconds,
        )

    def flush(self) -> None:
        """Write as many of the pending lines as the reader accepts."""
        if self.lines_left_out:
            lines_left_out, self.lines_left_out = self.lines_left_out, 0
            self._pending_lines.append(
                orjson.dumps(
                    {
                        'message_type': 'lines_left_out',
                        'count': lines_left_out,
                    },
                    option=orjson.OPT_APPEND_NEWLINE,
                )
            )
        data = self._unwritten + b''.join(self._pending_lines)
        self._pending_lines.clear()
        try:
            written = os.write(STANDARD_OUTPUT, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good, and there is nowhere to log it.
            written = len(data)
        self._unwritten = data[written:]


_line_writer: LineWriter | None = None


def open_log(path: str) -> None:
    """Write all log records to a file, or to standard error for '-'."""
    stream = sys.stderr if path == '-' else open(path, 'a', buffering=1)
    eliot.to_file(stream)


def open_bounded_log(*, lines_per_s: int) -> LineWriter:
    """Write log records to standard output, with a rate limit."""
    global _line_writer
    _line_writer = LineWriter(lines_per_s=lines_per_s)
    eliot.add_destinations(_line_writer)
    return _line_writer


def count_left_out(lines: int) -> None:
    """Count lines that were not logged because their request succeeded."""
    if _line_writer is not None:
        _line_writer.lines_left_out += lines


def log_event(event: str, **fields: typing.Any) -> None:
    """Write a record of an event."""
    eliot.log_message(message_type=event, **fields)


def log_fault(event: str, fault: errors.ApricotError, **fields) -> None:
    """Write a record of an error, with its code and message."""
    log_event(event, code=fault.code.label, reason=fault.message, **fields)


@contextlib.contextmanager
def log_action(action: str, **fields: typing.Any):
    """Write records of the start and the end of the enclosed block."""
    with eliot.start_action(action_type=action, **fields) as running:
        yield running
