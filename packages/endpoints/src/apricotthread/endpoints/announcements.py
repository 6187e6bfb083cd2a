"""Messages exchanged with endpoints: announcements, orders, generation."""

import typing

import msgspec

from apricotthread.base import decoding


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one endpoint VM, sent about once a second.

    The incarnation grows with each start, the sequence with each
    announcement. For a group, the numbers of its head count. `limit_per_s`
    is how many requests a second it takes, 0 without a limit. It wants no new
    requests for `busy_s`.
    """

    endpoint_id: str
    incarnation: decoding.Ordinal
    sequence: decoding.Ordinal
    data_centre: str
    url: str
    kind: typing.Literal['engine', 'plain']
    service: str = ''
    fabric_domain: str = ''
    accelerators: decoding.Count = 0
    checks_fencing: bool = True
    max_requests: decoding.Count = 1
    bear_requests: decoding.Count = 1
    limit_per_s: decoding.Rate = 0.0
    busy_s: decoding.Rate = 0.0
    memory_bytes: decoding.Ordinal = 0
    bytes_per_token: decoding.Ordinal = 1
    used_bytes: decoding.Ordinal = 0
    running: decoding.Count = 0
    cold: bool = False
    leaving: bool = False
    member_state: typing.Literal['idle', 'loading', 'ready'] = 'idle'
    group_id: str = ''
    fencing: decoding.Ordinal = 0
    cached_prefixes: list[str] = []


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """How often to announce, and to which other entries if this one ends."""

    announce_every_s: float
    lease_s: float
    draining: bool
    entries: list[str]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine VM.

    Engines that check fencing numbers refuse orders with an older one.
    """

    action: typing.Literal['join', 'release', 'load']
    fencing: int
    group_id: str = ''
    service: str = ''
    model: str = ''
    version: str = ''
    rank: int = 0
    members: list[str] = []


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the VM confirmed an order, and its newest fencing number."""

    confirmed: bool
    fencing: int
    reason: str = ''


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an engine.

    Generation with the same seed is repeatable, so that an answer can be
    resumed at the offset.
    """

    request_id: str
    prompt: str
    max_tokens: int
    offset: int
    priority: int
    seed: str
    group_id: str = ''


class GeneratedPiece(msgspec.Struct, frozen=True, kw_only=True):
    """One line of an engine's stream: the tokens at an offset, or the end.

    The offset counts tokens from the start of the answer. In the last
    piece, `finish` holds the reason why generation ended.
    """

    offset: int
    tokens: int = 0
    text: str = ''
    finish: str = ''
