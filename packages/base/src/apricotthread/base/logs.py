"""Structured logs: eliot actions and messages written as JSON lines."""

import contextlib
import sys
import typing

import eliot

from apricotthread.base import errors


def open_log(path: str) -> None:
    """Send every log record to the file, or to standard error for '-'."""
    stream = sys.stderr if path == '-' else open(path, 'a', buffering=1)
    eliot.to_file(stream)


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
