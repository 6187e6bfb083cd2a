"""The routing table, which is replaced as a whole by version."""

import enum
import zlib

import msgspec

from apricotthread.base import uris


class Repeat(enum.Enum):
    """Whether a request that may have run may be repeated.

    With RESUME, a stream may be continued at another endpoint after the
    last event that was passed on.
    """

    ANY = 'any'
    RESUME = 'resume'
    NEVER = 'never'


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """The weight of one service in the split of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go to which services, and how they are handled."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat
    is_stream: bool
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int
    is_public: bool = False
    target_gap_s: float = 0.0
    # For how long a caller waits for the next event of a stream.
    patience_s: float = 2.0

    @property
    def key(self) -> tuple[str, str]:
        """The host and the prefix, the same in every writing of theirs."""
        return (
            uris.normalize_host(self.host),
            uris.normalize_path(self.prefix),
        )


class ModelProfile(msgspec.Struct, frozen=True, kw_only=True):
    """A model of a service: one group of VMs is one replica of it."""

    name: str
    group_size: int
    load_share: float
    pace: float
    load_s: float
    warm_load_s: float


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The speed and capacity of a model service's engines, per group."""

    slots: int
    memory_tokens: int
    models: tuple[ModelProfile, ...]
    step_s: float
    step_s_per_sequence: float
    step_s_per_context_token: float
    prefill_tokens_per_s: float
    steps_per_event: int
    loads_per_s: float
    concurrent_loads: int
    staged_limit: int
    forming_s: float

    def model_by_name(self) -> dict[str, ModelProfile]:
        """Return the models by name."""
        return {model.name: model for model in self.models}


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service that endpoints offer."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    engine: EngineProfile | None = None


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account, its keys, and its priority if it has one."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the duration of callers' requests."""

    max_header_bytes: int = 32768
    max_body_bytes: int = 4194304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that an entry needs in order to route requests."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    needs_key: bool = False
    limits: CallerLimits = CallerLimits()

    def service_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}


def check_table(table: RouteTable) -> list[str]:
    """Return the faults of a table, in one sentence each."""
    faults = []
    services = {service.name for service in table.services}
    keys = set()
    for route in table.routes:
        for share in route.shares:
            if share.service not in services:
                faults.append(
                    f'route {route.name!r} names the unknown service '
                    f'{share.service!r}'
                )
            if share.weight < 0:
                faults.append(f'route {route.name!r} has a negative weight')
        if sum(share.weight for share in route.shares) <= 0:
            faults.append(f'the weights of route {route.name!r} add up to 0')
        if route.timeout_s <= 0:
            faults.append(f'route {route.name!r} has no timeout')
        if route.key in keys:
            faults.append(
                f'route {route.name!r} has the host and prefix of another'
            )
        keys.add(route.key)
    name_by_key: dict[str, str] = {}
    for account in table.accounts:
        for key in account.keys:
            if name_by_key.setdefault(key, account.name) != account.name:
                faults.append(
                    f'accounts {name_by_key[key]!r} and {account.name!r} '
                    'share a key'
                )
    return faults


_DECODER = msgspec.msgpack.Decoder(RouteTable)


def pack_table(table: RouteTable) -> bytes:
    """Return a table for the log and for subscribers, compressed."""
    return zlib.compress(msgspec.msgpack.encode(table))


def unpack_table(packed: bytes) -> RouteTable:
    """Return the table decoded from compressed bytes."""
    return _DECODER.decode(zlib.decompress(packed))
