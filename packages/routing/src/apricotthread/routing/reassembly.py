"""Putting an answer together from pieces of several streams."""

from apricotthread.base import errors
from apricotthread.nodes import messages


def accept_piece(expected_offset: int, piece: messages.DispatchPiece) -> bool:
    """Whether a piece continues the answer; False if it is known already.

    Raises ApricotError when tokens are missing before the piece, or it
    overlaps with known ones in part, as then the stream is no use.
    """
    end = piece.offset + piece.tokens
    if piece.offset == expected_offset:
        return True
    if end <= expected_offset and not piece.finish:
        return False
    raise errors.ApricotError(
        code=errors.ErrorCode.ENDPOINT_FAILED,
        message=f'stream has tokens {piece.offset} to {end}, expected '
        f'{expected_offset}',
        ran=errors.Ran.YES,
    )
