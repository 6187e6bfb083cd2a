"""Structured logs: eliot actions and messages as JSON lines."""

import collections
import contextlib
import os
import select
import sys
import time
import traceback
import typing

import eliot
import orjson

from apricotthread.base import errors
from apricotthread.base import metrics

MAX_PENDING_LINES = 2000
MAX_PENDING_BYTES = 1 << 20  # of output that the reader did not take
# POSIX guarantees that a pipe takes a write of this size whole or not at
# all. So no line is cut, even if the process is killed.
MAX_WRITE_BYTES = select.PIPE_BUF
STANDARD_OUTPUT = 1
# Of a trace only its end is logged, so that its line fits into one write.
MAX_TRACE_CHARS = 2000


class LineWriter:
    """Writes log lines to standard output and never blocks on its reader.

    Lines are buffered in memory between flushes, and written whole. Lines
    beyond the rate limit, lines too long for one write, and lines beyond the
    size of the buffer when the reader is too slow are left out and counted.
    The next flush logs their number.
    """

    def __init__(self, *, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._line_allowance = float(lines_per_s)
        self._pending_lines: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        # The rest of a write of which a file or a socket took only a part.
        self._unwritten = b''
        self.lines_left_out = 0
        # Lines about answered requests, which are logged as a sample only.
        self.unsampled_lines = 0
        os.set_blocking(STANDARD_OUTPUT, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Buffer a message, or leave it out if a limit is reached."""
        if (
            self._line_allowance < 1
            or len(self._pending_lines) >= MAX_PENDING_LINES
            or self._pending_bytes > MAX_PENDING_BYTES
        ):
            self.lines_left_out += 1
            return
        line = _encode(message)
        if len(line) > MAX_WRITE_BYTES:
            self.lines_left_out += 1
            return
        self._line_allowance -= 1
        self._append(line)

    def _append(self, line: bytes) -> None:
        self._pending_lines.append(line)
        self._pending_bytes += len(line)

    def refill(self, seconds: float) -> None:
        """Allow as many more lines as the rate limit gives for the seconds."""
        self._line_allowance = min(
            float(self._lines_per_s),
            self._line_allowance + self._lines_per_s * seconds,
        )

    def flush(self) -> None:
        """Write as many of the pending lines as the reader accepts."""
        if self.lines_left_out:
            self._append(
                _encode(
                    {
                        'message_type': 'lines_left_out',
                        'count': self.lines_left_out,
                        'unsampled': self.unsampled_lines,
                        'timestamp': time.time(),
                    }
                )
            )
            self.lines_left_out = self.unsampled_lines = 0
        while self._unwritten or self._pending_lines:
            data = self._unwritten or self._take_lines()
            try:
                written = os.write(STANDARD_OUTPUT, data)
            except ConnectionError:
                # The reader is gone for good, and there is nowhere to log it.
                written = len(data)
            except OSError:
                # The pipe or the disk is full; the next flush tries again.
                written = 0
            self._unwritten = data[written:]
            if self._unwritten:
                return

    def _take_lines(self) -> bytes:
        """Return the oldest lines, as many as fit into one write."""
        lines = []
        size = 0
        while self._pending_lines:
            size += len(self._pending_lines[0])
            if lines and size > MAX_WRITE_BYTES:
                break
            lines.append(self._pending_lines.popleft())
        data = b''.join(lines)
        self._pending_bytes -= len(data)
        return data


def _encode(message: dict[str, typing.Any]) -> bytes:
    return orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)


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


def count_unsampled(lines: int) -> None:
    """Count lines that were not logged because their request succeeded."""
    if _line_writer is not None:
        _line_writer.unsampled_lines += lines


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


def log_bug(event: str, **fields: typing.Any) -> None:
    """Write a record of the exception that is being handled."""
    log_event(event, trace=traceback.format_exc()[-MAX_TRACE_CHARS:], **fields)


@contextlib.contextmanager
def contain_bug(
    event: str, process_metrics: metrics.Metrics, **fields: typing.Any
):
    """Log and count an unexpected exception of the enclosed block.

    For periodic work on one of many objects, which can be done again: a bug
    that shows in one of them must not end the process. Changes of agreed
    state are no such work, as a replica that skips one diverges.
    """
    try:
        yield
    except Exception:
        process_metrics.count('bugs_contained')
        log_bug(event, **fields)
