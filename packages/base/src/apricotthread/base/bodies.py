"""Reads HTTP bodies up to a size limit."""

import collections.abc

from apricotthread.base import errors


async def read_limited(
    chunks: collections.abc.AsyncIterable[bytes], limit_bytes: int
) -> bytes:
    """Return the whole body.

    Raises ApricotError with code BODY_TOO_LARGE if it exceeds the limit.
    """
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > limit_bytes:
            raise errors.ApricotError(
                code=errors.ErrorCode.BODY_TOO_LARGE,
                message=f'the body is over the limit of {limit_bytes} bytes',
            )
    return bytes(body)
