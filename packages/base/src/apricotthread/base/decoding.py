"""What decoding bytes from elsewhere may raise, and bounds of numbers.

Numbers without a bound decode to any size, and fail only where they are sent
on.
"""

import typing

import msgspec

# A body that is nested too deeply raises RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeError, RecursionError)

MAX_COUNT = 1_000_000
MAX_INTEGER = 2**63 - 1  # the largest that MessagePack and Cap'n Proto sign

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Factor = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)]
Ordinal = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
