"""Reads the settings of a node from an INI file and checks all of them."""

import configparser
import dataclasses
import enum
import ipaddress
import pathlib
import typing

from apricotthread.base import errors
from apricotthread.base import units

MAX_PORT = 65535
FORBIDDEN_NAME_CHARACTERS = set(' \t/,:;"\'')


class Role(enum.Enum):
    """A role of a node; a node may have both."""

    ENTRY = 'entry'
    CONTROL = 'control'


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingFault:
    """A wrong or missing line of a settings file."""

    file: str
    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'{self.file}: [{self.section}] {self.key} = {self.value!r}: '
            f'allowed is {self.allowed}'
        )


class SettingsError(errors.ApricotError):
    """All faults of a settings file."""

    def __init__(self, *, faults: list[SettingFault]) -> None:
        super().__init__(
            code=errors.ErrorCode.SETTINGS,
            message='\n'.join(str(fault) for fault in faults),
        )
        self.faults = faults


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeAddress:
    """The identity, peer address and roles of a node."""

    node_id: str
    data_centre: str
    host: str
    peer_port: int
    roles: frozenset[Role]

    @property
    def is_voter(self) -> bool:
        """Whether the node may vote on agreed state."""
        return Role.CONTROL in self.roles

    @property
    def is_entry(self) -> bool:
        """Whether the node accepts requests of callers."""
        return Role.ENTRY in self.roles


@dataclasses.dataclass(frozen=True, kw_only=True)
class Discovery:
    """Settings of a node that discovers the others from seeds.

    They replace the list of all nodes in section [nodes]. The seeds are
    control nodes, and any of them may be down. The seeds become the
    initial voters, but only if `first_start` says that the whole system
    starts for the first time.
    """

    seeds: tuple[NodeAddress, ...]
    first_start: bool
    data_centres: tuple[str, ...]
    # The IP address to bind; empty if it is the one that peers connect to.
    bind_host: str = ''
    caller_address: 'Address | None' = None
    readiness_address: 'Address | None' = None
    control_address: 'Address | None' = None
    metrics_address: 'Address | None' = None
    tolerated_losses: int = 1
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_overshoot: float = 1.0
    log_lines_per_s: int = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """The checked settings of one node."""

    node_id: str
    data_centre: str
    data_folder: str
    listen_host: str
    node_by_id: dict[str, NodeAddress]
    caller_port: int = 0
    endpoint_port: int = 0
    operator_port: int = 0
    log_file: str = '-'
    max_body_bytes: int = 4 * units.MIB
    max_header_bytes: int = 32 * units.KIB
    max_frame_bytes: int = 8 * units.MIB
    queue_length: int = 256
    queue_wait_s: float = 10.0
    request_timeout_s: float = 120.0
    answer_buffer_bytes: int = 64 * units.KIB
    node_buffer_bytes: int = 64 * units.MIB
    socket_buffer_bytes: int = 4 * units.KIB
    client_buffer_bytes: int = 64 * units.MIB
    max_connections: int = 1024
    stall_s: float = 5.0
    drain_s: float = 600.0
    ready_grace_s: float = 2.0
    heartbeat_s: float = 0.5
    lease_s: float = 2.0
    endpoint_lease_s: float = 3.0
    claim_retention_s: float = 86400.0

    discovery: 'Discovery | None' = None

    @property
    def own(self) -> NodeAddress:
        """The entry of this node in `node_by_id`."""
        return self.node_by_id[self.node_id]


def parse_size(text: str) -> int:
    """Parse a size in bytes, with an optional K or M for binary units."""
    factor = {'K': units.KIB, 'M': units.MIB}.get(text[-1:].upper(), 1)
    digits = text[:-1] if factor > 1 else text
    size = int(digits) * factor
    if size <= 0:
        raise ValueError(text)
    return size


def parse_seconds(text: str) -> float:
    """Parse a positive, finite number of seconds."""
    seconds = float(text)
    if not 0 < seconds < float('inf'):
        raise ValueError(text)
    return seconds


def parse_count(text: str) -> int:
    """Parse a whole number of at least 1."""
    count = int(text)
    if count < 1:
        raise ValueError(text)
    return count


def parse_port(text: str) -> int:
    """Parse a TCP port."""
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(text)
    return port


def parse_host(text: str) -> str:
    """Parse an IP address."""
    return str(ipaddress.ip_address(text))


def parse_name(text: str) -> str:
    """Parse a name without blanks, commas, colons, quotes or slashes."""
    if (
        not text.isprintable()
        or not text
        or FORBIDDEN_NAME_CHARACTERS & set(text)
    ):
        raise ValueError(text)
    return text


def parse_path(text: str) -> str:
    """Parse the path of a file or folder; it may be empty."""
    if '\0' in text:
        raise ValueError(text)
    return text


def parse_flag(text: str) -> bool:
    """Parse true or false."""
    return {'true': True, 'false': False}[text.lower()]


def parse_address(text: str) -> Address | None:
    """Parse IP:PORT; return None for an empty text."""
    if not text:
        return None
    host, _, port = text.rpartition(':')
    return Address(host=parse_host(host.strip('[]')), port=parse_port(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of IP:PORT addresses."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(parse_address(part) for part in parts if part)


def parse_names(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of names; a trailing comma is allowed."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(parse_name(part) for part in parts if part)


def parse_roles(text: str) -> frozenset[Role]:
    """Parse a comma-separated list of roles."""
    return frozenset(Role(name) for name in parse_names(text))


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingKey:
    """A key of the settings file.

    `field` names the attribute of Settings or Discovery that holds the value
    that `parse` returns. `parse` raises ValueError or KeyError for a value
    that is not allowed. `allowed` describes the allowed values in errors.
    """

    section: str
    key: str
    field: str
    parse: typing.Callable[[str], typing.Any]
    allowed: str
    required: bool = False


ALLOWED_ADDRESS = 'an address of the form IP:PORT, or nothing'
ALLOWED_NAME = 'a name without blanks, commas, colons, quotes or slashes'
ALLOWED_PORT = 'a port from 1 to 65535'
ALLOWED_SIZE = 'a size above 0 in bytes, or with K or M'
ALLOWED_SECONDS = 'a number of seconds above 0'
ALLOWED_COUNT = 'a whole number above 0'

KEYS = (
    SettingKey(
        section='node',
        key='id',
        field='node_id',
        parse=parse_name,
        allowed=ALLOWED_NAME,
        required=True,
    ),
    SettingKey(
        section='node',
        key='data_centre',
        field='data_centre',
        parse=parse_name,
        allowed=ALLOWED_NAME,
        required=True,
    ),
    SettingKey(
        section='node',
        key='data_folder',
        field='data_folder',
        parse=parse_path,
        allowed='a folder; required for the control role, else empty',
    ),
    SettingKey(
        section='listen',
        key='host',
        field='listen_host',
        parse=parse_host,
        allowed='an IP number',
        required=True,
    ),
    *(
        SettingKey(
            section='listen',
            key=key,
            field=key,
            parse=parse_port,
            allowed=ALLOWED_PORT,
            required=True,
        )
        for key in ('caller_port', 'endpoint_port', 'operator_port')
    ),
    SettingKey(
        section='log',
        key='file',
        field='log_file',
        parse=parse_path,
        allowed="a file, or '-' for standard error",
    ),
    *(
        SettingKey(
            section='limits',
            key=key,
            field=key,
            parse=parse_size,
            allowed=ALLOWED_SIZE,
        )
        for key in (
            'max_body_bytes',
            'max_header_bytes',
            'max_frame_bytes',
            'answer_buffer_bytes',
            'node_buffer_bytes',
            'socket_buffer_bytes',
            'client_buffer_bytes',
        )
    ),
    *(
        SettingKey(
            section='limits',
            key=key,
            field=key,
            parse=parse_count,
            allowed=ALLOWED_COUNT,
        )
        for key in ('queue_length', 'max_connections')
    ),
    *(
        SettingKey(
            section='timing',
            key=key,
            field=key,
            parse=parse_seconds,
            allowed=ALLOWED_SECONDS,
        )
        for key in (
            'queue_wait_s',
            'request_timeout_s',
            'stall_s',
            'drain_s',
            'ready_grace_s',
            'heartbeat_s',
            'lease_s',
            'endpoint_lease_s',
            'claim_retention_s',
        )
    ),
)
# These keys replace section [nodes] where nodes discover each other.
DISCOVERY_KEYS = (
    SettingKey(
        section='discovery',
        key='seeds',
        field='seeds',
        parse=parse_addresses,
        allowed='addresses of control nodes, IP:PORT, joined by commas',
        required=True,
    ),
    SettingKey(
        section='discovery',
        key='first_start',
        field='first_start',
        parse=parse_flag,
        allowed='true at the first start of the whole system, else false',
        required=True,
    ),
    SettingKey(
        section='discovery',
        key='data_centres',
        field='data_centres',
        parse=parse_names,
        allowed='the names of all data centres, joined by commas',
        required=True,
    ),
    SettingKey(
        section='discovery',
        key='peer_port',
        field='peer_port',
        parse=parse_port,
        allowed=ALLOWED_PORT,
        required=True,
    ),
    SettingKey(
        section='discovery',
        key='roles',
        field='roles',
        parse=parse_roles,
        allowed='entry, control or both, joined by a comma',
        required=True,
    ),
    SettingKey(
        section='listen',
        key='bind_host',
        field='bind_host',
        parse=parse_host,
        allowed='an IP number of this machine',
    ),
    *(
        SettingKey(
            section='fleet',
            key=key,
            field=key,
            parse=parse_count,
            allowed=ALLOWED_COUNT,
        )
        for key in ('tolerated_losses', 'log_lines_per_s')
    ),
    *(
        SettingKey(
            section='fleet',
            key=key,
            field=key,
            parse=parse_seconds,
            allowed='a number above 0',
        )
        for key in (
            'retry_ratio',
            'retry_slack',
            'retry_window_s',
            'cold_overshoot',
        )
    ),
    *(
        SettingKey(
            section='listen',
            key=key,
            field=key,
            parse=parse_address,
            allowed=ALLOWED_ADDRESS,
        )
        for key in (
            'caller_address',
            'readiness_address',
            'control_address',
            'metrics_address',
        )
    ),
)
DISCOVERY_FIELDS = {key.field for key in DISCOVERY_KEYS}
PORTS_WITHOUT_DISCOVERY = ('caller_port', 'endpoint_port', 'operator_port')
ALL_KEYS = (*KEYS, *DISCOVERY_KEYS)
KEY_BY_SECTION_AND_KEY = {(key.section, key.key): key for key in ALL_KEYS}
SECTIONS = sorted({key.section for key in ALL_KEYS} | {'nodes'})
ALLOWED_NODE_ROW = (
    "'DATA_CENTRE IP:PORT ROLES', with roles entry, control or both "
    'joined by a comma'
)


def parse_node(node_id: str, text: str) -> NodeAddress:
    """Parse a row of section [nodes]; raises ValueError if it is wrong."""
    data_centre, address, roles = text.split()
    host, _, port = address.rpartition(':')
    return NodeAddress(
        node_id=parse_name(node_id),
        data_centre=parse_name(data_centre),
        host=parse_host(host.strip('[]')),
        peer_port=parse_port(port),
        roles=frozenset(Role(role) for role in roles.split(',')),
    )


def parse_settings(text: str, *, file: str) -> Settings:
    """Parse and check the text of a settings file.

    `file` is the name of the file in errors. Raises SettingsError with all
    faults of the text.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text, source=file)
    except (configparser.Error, UnicodeError) as error:
        raise SettingsError(
            faults=[
                SettingFault(
                    file=file,
                    section='-',
                    key='-',
                    value=str(error).splitlines()[0],
                    allowed='sections, and lines of the form key = value',
                )
            ]
        ) from None
    faults: list[SettingFault] = []
    value_by_field: dict[str, typing.Any] = {}
    node_by_id: dict[str, NodeAddress] = {}

    def add_fault(section: str, key: str, value: str, allowed: str) -> None:
        faults.append(
            SettingFault(
                file=file,
                section=section,
                key=key,
                value=value,
                allowed=allowed,
            )
        )

    for key in parser.defaults():
        add_fault('DEFAULT', key, '', 'no DEFAULT section')
    for section in parser.sections():
        if section not in SECTIONS:
            add_fault(section, '-', '', f'one of {", ".join(SECTIONS)}')
            continue
        for key, value in parser.items(section):
            if section == 'nodes':
                try:
                    node_by_id[key] = parse_node(key, value)
                except ValueError:
                    add_fault(section, key, value, ALLOWED_NODE_ROW)
                continue
            setting_key = KEY_BY_SECTION_AND_KEY.get((section, key))
            if setting_key is None:
                allowed = [k.key for k in ALL_KEYS if k.section == section]
                add_fault(section, key, value, f'one of {allowed}')
                continue
            try:
                value_by_field[setting_key.field] = setting_key.parse(value)
            except (KeyError, ValueError):
                add_fault(section, key, value, setting_key.allowed)
    has_discovery = parser.has_section('discovery')
    for key in ALL_KEYS:
        if parser.has_option(key.section, key.key) or not key.required:
            continue
        if has_discovery and key.key in PORTS_WITHOUT_DISCOVERY:
            continue
        if not has_discovery and key.section == 'discovery':
            continue
        add_fault(key.section, key.key, '', key.allowed)
    discovery = None
    if has_discovery and not faults:
        discovery = _make_discovery(value_by_field)
        node_by_id = _make_initial_nodes(discovery, value_by_field)
    faults.extend(_check_related_keys(value_by_field, node_by_id, file))
    if faults:
        raise SettingsError(faults=faults)
    value_by_field.setdefault('data_folder', '')
    for name in DISCOVERY_FIELDS:
        value_by_field.pop(name, None)
    return Settings(
        node_by_id=node_by_id, discovery=discovery, **value_by_field
    )


def _make_discovery(value_by_field: dict[str, typing.Any]) -> Discovery:
    """Return the discovery settings from the parsed values."""
    peer_port = value_by_field['peer_port']
    return Discovery(
        seeds=tuple(
            NodeAddress(
                node_id=seed.host,
                data_centre='',
                host=seed.host,
                peer_port=peer_port,
                roles=frozenset({Role.CONTROL}),
            )
            for seed in value_by_field['seeds']
        ),
        **{
            name: value_by_field[name]
            for name in DISCOVERY_FIELDS - {'seeds', 'peer_port', 'roles'}
            if name in value_by_field
        },
    )


def _make_initial_nodes(
    discovery: Discovery, value_by_field: dict[str, typing.Any]
) -> dict[str, NodeAddress]:
    """Return the nodes known at the start, by id: the seeds and itself."""
    node_by_id = {seed.node_id: seed for seed in discovery.seeds}
    node_id = value_by_field['node_id']
    node_by_id[node_id] = NodeAddress(
        node_id=node_id,
        data_centre=value_by_field['data_centre'],
        host=value_by_field['listen_host'],
        peer_port=value_by_field['peer_port'],
        roles=value_by_field['roles'],
    )
    return node_by_id


def _check_related_keys(
    value_by_field: dict[str, typing.Any],
    node_by_id: dict[str, NodeAddress],
    file: str,
) -> list[SettingFault]:
    """Return the faults in the combination of several keys."""
    faults = []
    node_id = value_by_field.get('node_id', '')
    own = node_by_id.get(node_id)
    has_fixed_nodes = 'seeds' not in value_by_field
    if node_id and own is None and has_fixed_nodes:
        faults.append(
            SettingFault(
                file=file,
                section='nodes',
                key=node_id,
                value='',
                allowed=f'a row for this node: {ALLOWED_NODE_ROW}',
            )
        )
    data_centre = value_by_field.get('data_centre', '')
    if own is not None and data_centre and own.data_centre != data_centre:
        faults.append(
            SettingFault(
                file=file,
                section='node',
                key='data_centre',
                value=data_centre,
                allowed=f'{own.data_centre}, as the row in [nodes] says',
            )
        )
    folder = value_by_field.get('data_folder', '')
    if own is not None and own.is_voter and not folder:
        faults.append(
            SettingFault(
                file=file,
                section='node',
                key='data_folder',
                value=folder,
                allowed='a folder on a disk, since the node has the control '
                'role',
            )
        )
    voters = [node for node in node_by_id.values() if node.is_voter]
    if has_fixed_nodes and node_by_id and len(voters) % 2 == 0:
        faults.append(
            SettingFault(
                file=file,
                section='nodes',
                key='-',
                value=', '.join(node.node_id for node in voters),
                allowed='an odd number of nodes with the control role',
            )
        )
    heartbeat_s = value_by_field.get('heartbeat_s', Settings.heartbeat_s)
    lease_s = value_by_field.get('lease_s', Settings.lease_s)
    if lease_s < 3 * heartbeat_s:
        faults.append(
            SettingFault(
                file=file,
                section='timing',
                key='lease_s',
                value=str(lease_s),
                allowed=f'at least 3 x heartbeat_s = {3 * heartbeat_s}',
            )
        )
    return faults


def read_settings(path: str) -> Settings:
    """Read and check a settings file; raises SettingsError."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeError, ValueError) as error:
        raise SettingsError(
            faults=[
                SettingFault(
                    file=path,
                    section='-',
                    key='-',
                    value=str(error),
                    allowed='a readable text file in UTF-8',
                )
            ]
        ) from None
    return parse_settings(text, file=path)
