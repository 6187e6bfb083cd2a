"""Generates the answers of fake engines, which depend only on the prompt.

Tests generate the same answer and compare it with what a caller received.
"""

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
    """Return the token at an index of the answer to a prompt."""
    seed = zlib.crc32(prompt.encode())
    return f'{WORDS[(seed + 7 * index) % len(WORDS)]}{index} '


def make_answer(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt, `tokens` tokens long."""
    return ''.join(make_token(prompt, index) for index in range(tokens))
