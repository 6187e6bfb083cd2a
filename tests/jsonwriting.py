"""Writes JSON in the ways that RFC 8259 allows, as drawn by Hypothesis."""

import json
import random

from hypothesis import strategies

SPACES = ('', ' ', '\n', '\t', ' \r\n ')


class Writer:
    """Writes values, and draws how from a source of random numbers."""

    def __init__(self, *, source):
        self._random = source

    def write(self, value) -> str:
        """Return a value as a document or a part of one."""
        match value:
            case dict():
                members = list(value.items())
                self._random.shuffle(members)
                return self._join(
                    '{}',
                    [
                        self._write_text(name)
                        + self._space()
                        + ':'
                        + self.write(member)
                        for name, member in members
                    ],
                )
            case list() | tuple():
                return self._join('[]', [self.write(item) for item in value])
            case str():
                text = self._write_text(value)
            case bool() | None:
                text = json.dumps(value)
            case int():
                text = self._write_whole(value)
            case _:
                text = self._random.choice((repr(value), f'{value:.17E}'))
        return self._space() + text + self._space()

    def _space(self):
        return self._random.choice(SPACES)

    def _join(self, ends, parts):
        return (
            self._space() + ends[0] + ','.join(parts) + ends[1] + self._space()
        )

    def _write_text(self, text):
        return '"' + ''.join(map(self._write_character, text)) + '"'

    def _write_character(self, character):
        if self._random.random() < 0.2:
            units = character.encode('utf-16-be').hex()
            return ''.join(
                '\\u' + units[start : start + 4]
                for start in range(0, len(units), 4)
            )
        if character == '/' and self._random.random() < 0.5:
            return '\\/'
        return json.dumps(character, ensure_ascii=False)[1:-1]

    def _write_whole(self, number):
        forms = [f'{number}', f'{number}.0', f'{number}.00e0']
        if number:
            forms.append(f'{number}0e-1')
        if number and number % 10 == 0:
            forms.append(f'{number // 10}E+1')
        return self._random.choice(forms)


def documents(value):
    """Return a strategy for the documents that mean `value`."""
    return strategies.integers(0, 2**32).map(
        lambda seed: Writer(source=random.Random(seed)).write(value).encode()
    )
