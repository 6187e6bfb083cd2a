"""Reports of crashes from entries to the leader, and its replies."""

import enum

import msgspec


class Condition(enum.Enum):
    """What is done with requests that have a part."""

    QUARANTINED = 'quarantined'
    ON_PROBATION = 'on_probation'
    RELEASED = 'released'


class PartRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The condition of a part; a higher revision replaces a lower one.

    The condition ends in `remaining_s` seconds. `strikes` counts how often the
    part was quarantined, for `quarantine_s` seconds the last time, and
    `crashes` the crashes that it explained at first. It is `tentative` while
    another part may be the cause in its place.
    """

    part: str
    revision: int
    condition: Condition
    remaining_s: float
    strikes: int = 1
    crashes: int = 0
    quarantine_s: float = 0.0
    tentative: bool = False


class Crash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A crash that an entry saw, and the parts that may be its cause.

    They are those of the requests whose answers had just begun, or had not
    yet, with their greatest position in a prompt. The first is 0.
    """

    endpoint_id: str
    born_ms: int
    age_s: float
    position_by_part: dict[str, int]


class Sighting(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an entry knows of a part.

    `sound_age_s` is the age of the last sound answer to a request with it,
    None without one, and `requests` how many of its recent requests have it.
    """

    sound_age_s: float | None = None
    requests: int = 0


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry reports; `digest` is that of its own records.

    It sends the records as well while they differ from the leader's.
    `recent_requests` is the number that the sightings refer to.
    """

    digest: int = 0
    recent_requests: int = 0
    crashes: tuple[Crash, ...] = ()
    sighting_by_part: dict[str, Sighting] = {}
    records: tuple[PartRecord, ...] = ()


class QuarantineReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The leader's answer to a report.

    It has records only if their digest differs from the entry's. The entry
    reports what it knows of the `watched` parts.
    """

    digest: int
    records: tuple[PartRecord, ...] = ()
    watched: tuple[str, ...] = ()


_REPLY_DECODER = msgspec.msgpack.Decoder(QuarantineReply)


def encode_reply(reply: QuarantineReply) -> bytes:
    """Return a reply as MessagePack."""
    return msgspec.msgpack.encode(reply)


def decode_reply(payload: bytes) -> QuarantineReply:
    """Return the reply in the bytes; raises msgspec.DecodeError."""
    return _REPLY_DECODER.decode(payload)
