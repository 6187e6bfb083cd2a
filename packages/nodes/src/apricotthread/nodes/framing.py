"""Encoding and decoding of messages as Cap'n Proto frames."""

import dataclasses
import pathlib
import struct

import capnp
import msgspec

from apricotthread.base import errors
from apricotthread.nodes import messages

SCHEMA_FILE = pathlib.Path(__file__).with_name('peer.capnp')
LENGTH_PREFIX = struct.Struct('<I')

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(SCHEMA_FILE))


def _field_name(body_type: type[messages.Message]) -> str:
    """Return the name of the union field that holds a message type."""
    name = body_type.__name__
    return name[0].lower() + name[1:]


TYPE_BY_FIELD = {_field_name(kind): kind for kind in messages.BODY_TYPES}
FIELD_BY_TYPE = {kind: field for field, kind in TYPE_BY_FIELD.items()}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Frame:
    """One message on a connection.

    The request id links replies to their request; it is 0 for messages
    without a reply. `last` is set on the last reply to a request.
    """

    request_id: int
    body: messages.Message
    last: bool = True


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes, prefixed with its length."""
    builtins = msgspec.to_builtins(frame.body, builtin_types=(bytes,))
    message = _SCHEMA.Frame.new_message(
        requestId=frame.request_id,
        last=frame.last,
        body={FIELD_BY_TYPE[type(frame.body)]: builtins},
    )
    encoded = message.to_bytes()
    return LENGTH_PREFIX.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Frame:
    """Return the frame in the bytes, given without the length prefix.

    Raises ApricotError with code PROTOCOL if the bytes are not a frame.
    """
    try:
        with _SCHEMA.Frame.from_bytes(encoded) as reader:
            field = str(reader.body.which)
            builtins = getattr(reader.body, field).to_dict()
            return Frame(
                request_id=reader.requestId,
                last=reader.last,
                body=msgspec.convert(builtins, TYPE_BY_FIELD[field]),
            )
    except (
        capnp.KjException,
        msgspec.ValidationError,
        KeyError,
        ValueError,
    ) as error:
        raise errors.ApricotError(
            code=errors.ErrorCode.PROTOCOL,
            message=f'frame of {len(encoded)} bytes cannot be decoded: '
            f'{type(error).__name__}',
        ) from error
