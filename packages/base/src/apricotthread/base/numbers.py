"""Reads numbers that anyone may write, in headers, within bounds.

Only ASCII digits count: `float` also reads `nan`, `1e400` and `1_0`, and
`str.isdigit` is true for digits that `int` does not read.
"""

import re

from apricotthread.base import decoding

_DECIMAL = re.compile(r'[0-9]{1,20}(\.[0-9]{0,20})?', re.ASCII)
_DIGITS = re.compile(r'[0-9]+(\.[0-9]*)?', re.ASCII)
WHITESPACE = ' \t'
MAX_DIGITS = 19  # of the largest integer


def parse_integer(
    text: str, *, maximum: int = decoding.MAX_INTEGER
) -> int | None:
    """Return a whole number from 0 to `maximum`, None for all else."""
    text = text.strip(WHITESPACE)
    if not (text.isdigit() and text.isascii() and len(text) <= MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= maximum else None


def parse_decimal(text: str, *, maximum: float) -> float | None:
    """Return a decimal number from 0 to `maximum`, None for all else."""
    text = text.strip(WHITESPACE)
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if number <= maximum else None


def parse_clamped(text: str, *, maximum: float) -> float | None:
    """Return a decimal number, `maximum` for a larger one, else None."""
    text = text.strip(WHITESPACE)
    if not _DIGITS.fullmatch(text):
        return None
    return min(float(text), maximum)
