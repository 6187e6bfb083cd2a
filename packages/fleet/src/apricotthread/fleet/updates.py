"""Updates that control nodes send to their subscribers, as MessagePack."""

import msgspec

from apricotthread.endpoints import directory


class GroupNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A group in the ledger; the first member is the head."""

    group_id: str
    service: str
    model: str
    epoch: int
    member_ids: tuple[str, ...]


class EndpointNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The announcement of a changed endpoint, and whether it is lost."""

    heard: directory.Heard
    lost: bool


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """The differences since the last update of the same subscription.

    The first update of a subscription is complete. `applied_index` is the
    index of the last log entry that the agreed state includes.
    """

    complete: bool
    applied_index: int
    table_version: int
    table: bytes = b''
    taken_out: tuple[str, ...] = ()
    changed_groups: tuple[GroupNews, ...] = ()
    ended_groups: tuple[str, ...] = ()
    endpoints: tuple[EndpointNews, ...] = ()


_UPDATE_DECODER = msgspec.msgpack.Decoder(FleetUpdate)
_ANNOUNCEMENTS_DECODER = msgspec.msgpack.Decoder(list[directory.Heard])


def encode_update(update: FleetUpdate) -> bytes:
    """Return an update as MessagePack."""
    return msgspec.msgpack.encode(update)


def decode_update(payload: bytes) -> FleetUpdate:
    """Return the update in the bytes; raises msgspec.DecodeError."""
    return _UPDATE_DECODER.decode(payload)


def encode_announcements(heard: list[directory.Heard]) -> bytes:
    """Return announcements for other control nodes as MessagePack."""
    return msgspec.msgpack.encode(heard)


def decode_announcements(payload: bytes) -> list[directory.Heard]:
    """Return the announcements; raises msgspec.DecodeError."""
    return _ANNOUNCEMENTS_DECODER.decode(payload)
