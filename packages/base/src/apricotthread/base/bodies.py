"""Reading bodies that may be larger than is allowed."""

import collections.abc

from apricotthread.base import errors


async def read_limited(
    chunks: collections.abc.AsyncIterable[bytes], limit_bytes: int
) -> bytes:
    """Return the whole body; raises BODY_TOO_LARGE over the limit."""
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > limit_bytes:
            raise errors.ApricotError(
                code=errors.ErrorCode.BODY_TOO_LARGE,
                message=f'the body is over the limit of {limit_bytes} bytes',
            )
    return bytes(body)
