"""Reads JSON documents by RFC 8259, in every writing that it allows."""

import decimal
import json
import typing

import msgspec

from apricotthread.base import decoding

T = typing.TypeVar('T')


class DocumentReader(typing.Generic[T]):
    """Reads documents of one type.

    Names that the type does not have are ignored. Of a name that comes twice
    the last one counts, or with `unique_names` none: other readers may take
    another one.
    """

    def __init__(
        self, *, document_type: type[T], unique_names: bool = False
    ) -> None:
        self._decoder = msgspec.json.Decoder(document_type)
        self._unique_names = unique_names

    def read(self, document: bytes) -> T:
        """Return a document; raises one of decoding.DECODE_ERRORS."""
        # msgspec checks only the texts that it returns.
        document.decode('utf-8')
        try:
            read = self._decoder.decode(document)
        except msgspec.ValidationError:
            # Whole numbers may have a fraction or an exponent (section 6),
            # which msgspec does not take for whole numbers.
            return self._decoder.decode(
                json.dumps(self._load(document)).encode()
            )
        if self._unique_names:
            self._load(document)
        return read

    def _load(self, document: bytes) -> typing.Any:
        """Return a document as Python objects, with plain whole numbers.

        Raises msgspec.DecodeError if it is no JSON or has a name twice.
        """
        try:
            return json.loads(
                document,
                parse_float=_parse_number,
                parse_constant=_refuse_constant,
                object_pairs_hook=_make_object if self._unique_names else None,
            )
        except ValueError as error:
            raise msgspec.DecodeError(str(error)) from error


def _parse_number(text: str) -> int | float:
    number = float(text)
    if abs(number) <= 2 * decoding.MAX_INTEGER:
        exact = decimal.Decimal(text)
        if exact == exact.to_integral_value():
            return int(exact)
    return number


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no number of JSON')


def _make_object(members: list[tuple[str, typing.Any]]) -> dict:
    value_by_name = dict(members)
    if len(value_by_name) < len(members):
        raise ValueError('an object has a name twice')
    return value_by_name
