"""Encoding of messages as Cap'n Proto frames."""

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
    """Return the name of the union member that carries a message."""
    name = body_type.__name__
    return name[0].lower() + name[1:]


TYPE_BY_FIELD = {_field_name(kind): kind for kind in messages.BODY_TYPES}
FIELD_BY_TYPE = {kind: field for field, kind in TYPE_BY_FIELD.items()}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Frame:
    """One message on a connection.

    The request id ties replies to their request; 0 is for messages that
    want no reply. The last reply to a request is marked.
    """

    request_id: int
    body: messages.Message
    last: bool = True


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, its length first."""
    builtins = msgspec.to_builtins(frame.body, builtin_types=(bytes,))
    message = _SCHEMA.Frame.new_message(
        requestId=frame.request_id,
        last=frame.last,
        body={FIELD_BY_TYPE[type(frame.body)]: builtins},
    )
    encoded = message.to_bytes()
    return LENGTH_PREFIX.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Frame:
    """Return the frame in the bytes, which come without their length.

    Raises ApricotError with code PROTOCOL for bytes that are no frame.
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
            message=f'frame of {len(encoded)} bytes can not be decoded: '
            f'{type(error).__name__}',
        ) from error
