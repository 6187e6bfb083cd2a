"""The text that a fake engine generates, known beforehand."""

import zlib

WORDS = (
    'bale',
    'lot',
    'moist',
    'dry',
    'straw',
    'pair',
    'board',
    'round',
    'tie',
    'rook',
    'knight',
    'score',
)


def make_token(prompt: str, index: int) -> str:
    """Return one token of the answer to a prompt."""
    seed = zlib.crc32(prompt.encode())
    return f'{WORDS[(seed + 7 * index) % len(WORDS)]}{index} '


def make_answer(prompt: str, tokens: int) -> str:
    """Return the answer to a prompt."""
    return ''.join(make_token(prompt, index) for index in range(tokens))
