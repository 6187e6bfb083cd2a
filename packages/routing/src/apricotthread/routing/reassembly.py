"""Joins the pieces of successive streams into one answer."""

from apricotthread.base import errors
from apricotthread.nodes import messages


def accept_piece(expected_offset: int, piece: messages.DispatchPiece) -> bool:
    """Return whether a piece comes next; False if it is a duplicate.

    Raises ApricotError if tokens before the piece are missing or it
    partly overlaps with tokens received before: the stream is unusable.
    """
    end = piece.offset + piece.tokens
    if piece.offset == expected_offset:
        return True
    if end <= expected_offset and not piece.finish:
        return False
    raise errors.ApricotError(
        code=errors.ErrorCode.ENDPOINT_FAILED,
        message=f'stream sent tokens {piece.offset} to {end}, expected '
        f'token {expected_offset}',
        ran=errors.Ran.YES,
    )
