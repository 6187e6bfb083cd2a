"""Conversion between errors and fault messages."""

from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.nodes import messages


def make_fault(error: errors.ApricotError) -> messages.Fault:
    """Return the fault message for an error."""
    return messages.Fault(
        code=error.code.label,
        message=error.message,
        ran=error.ran.value,
        retry_after_ms=int((error.retry_after_s or 0) * units.MS_PER_S),
    )


def make_error(fault: messages.Fault) -> errors.ApricotError:
    """Return the error in a fault message."""
    return errors.ApricotError(
        code=errors.CODE_BY_LABEL.get(fault.code, errors.ErrorCode.PROTOCOL),
        message=fault.message,
        ran=errors.Ran(fault.ran),
        retry_after_s=fault.retry_after_ms / units.MS_PER_S or None,
    )
