"""The operators' table of weights and limits: rows, columns and checks."""

import enum
import math
import re
import typing

import msgspec

from apricotthread.base import errors

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
DIGEST_PATTERN = re.compile(r'[0-9a-f]{64}')
MATCH_PATTERN = re.compile(r'[A-Z]+ /\S*')
MAX_WEIGHT = 1_000_000
MAX_COUNT = 1_000_000


class RowType(enum.Enum):
    """The kinds of row in the table."""

    SERVICE = 'service'
    ACCOUNT = 'account'
    REQUEST = 'request'


class Row(msgspec.Struct, frozen=True, kw_only=True, tag_field='row'):
    """The base of every row."""


class ServiceRow(Row, tag='service'):
    """A service, the pool of VMs that it uses and its weight."""

    name: str
    type: typing.Literal['model', 'plain']
    pool: str = 'default'
    weight: float = 1.0
    group_vms: int = 1
    model: str = ''
    version: str = ''


class AccountRow(Row, tag='account'):
    """A client account: its weight, its limit and its key's digest."""

    name: str
    weight: float = 1.0
    limit: int = 100
    key_sha256: str = ''


class RequestRow(Row, tag='request'):
    """A kind of request: its weight and whether it may be repeated."""

    name: str
    service: str
    match: str = ''
    weight: float = 1.0
    repeatable: bool = True


AnyRow = ServiceRow | AccountRow | RequestRow
ROW_CLASS_BY_TYPE = {
    RowType.SERVICE: ServiceRow,
    RowType.ACCOUNT: AccountRow,
    RowType.REQUEST: RequestRow,
}
COLUMNS = (
    'row',
    'name',
    'service',
    'type',
    'pool',
    'weight',
    'limit',
    'group_vms',
    'model',
    'version',
    'match',
    'repeatable',
    'key_sha256',
)


class RowKey(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """The unique key of a row."""

    row: str
    service: str
    name: str

    def __str__(self) -> str:
        place = f'{self.service}/' if self.service else ''
        return f'{self.row}:{place}{self.name}'


def key_of(row: AnyRow) -> RowKey:
    """Return the key of a row."""
    match row:
        case ServiceRow():
            return RowKey(row='service', service='', name=row.name)
        case AccountRow():
            return RowKey(row='account', service='', name=row.name)
        case RequestRow():
            return RowKey(row='request', service=row.service, name=row.name)


def parse_key(text: str) -> RowKey:
    """Parse a row key such as 'service:NAME' or 'request:SERVICE/NAME'."""
    row, _, rest = text.partition(':')
    service, slash, name = rest.rpartition('/')
    is_known = row in {kind.value for kind in RowType}
    if not is_known or not name or bool(slash) != (row == 'request'):
        raise errors.ApricotError(
            code=errors.ErrorCode.TABLE,
            message=f'row {text!r}: allowed is service:NAME, account:NAME '
            'or request:SERVICE/NAME',
        )
    return RowKey(row=row, service=service, name=name)


class TableFault(msgspec.Struct, frozen=True, kw_only=True):
    """One wrong cell of a table, and what is allowed in it."""

    place: str
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'{self.place}, column {self.column}: {self.value!r}: allowed '
            f'is {self.allowed}'
        )


class TableError(errors.ApricotError):
    """All faults that were found in a table."""

    def __init__(self, *, faults: list[TableFault]) -> None:
        super().__init__(
            code=errors.ErrorCode.TABLE,
            message='\n'.join(str(fault) for fault in faults),
        )
        self.faults = faults


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """All rows, in the order of their keys."""

    rows: tuple[AnyRow, ...] = ()

    def row_by_key(self) -> dict[RowKey, AnyRow]:
        """Return the rows by their keys."""
        return {key_of(row): row for row in self.rows}

    def service_by_name(self) -> dict[str, ServiceRow]:
        """Return the service rows by name."""
        return {r.name: r for r in self.rows if isinstance(r, ServiceRow)}

    def account_by_name(self) -> dict[str, AccountRow]:
        """Return the account rows by name."""
        return {r.name: r for r in self.rows if isinstance(r, AccountRow)}

    def kinds_by_service(self) -> dict[str, list[RequestRow]]:
        """Return the kinds of request by service."""
        kinds: dict[str, list[RequestRow]] = {}
        for row in self.rows:
            if isinstance(row, RequestRow):
                kinds.setdefault(row.service, []).append(row)
        return kinds


def make_table(rows: typing.Iterable[AnyRow]) -> Table:
    """Return the table of the rows, sorted by key."""
    return Table(rows=tuple(sorted(rows, key=key_of)))


def parse_yes_no(text: str) -> bool:
    """Parse 'yes' or 'no'."""
    return {'yes': True, 'no': False}[text]


def format_cell(value: typing.Any) -> str:
    """Return a value as the text of a cell."""
    match value:
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case _:
            return str(value)


PARSE_BY_COLUMN = {
    'weight': (float, f'a number above 0, at most {MAX_WEIGHT}'),
    'limit': (int, f'a whole number from 0 to {MAX_COUNT}'),
    'group_vms': (int, f'a whole number from 1 to {MAX_COUNT}'),
    'repeatable': (parse_yes_no, 'yes or no'),
}
PARSE_TEXT = (str, 'text')


def columns_of(row_class: type) -> tuple[str, ...]:
    """Return the columns of a row class, without the column 'row'."""
    return row_class.__struct_fields__


def check_row(row: AnyRow, *, place: str) -> list[TableFault]:
    """Return the wrong cells of one row."""
    faults = []

    def check(column: str, is_valid: bool, allowed: str) -> None:
        if not is_valid:
            faults.append(
                TableFault(
                    place=place,
                    column=column,
                    value=format_cell(getattr(row, column)),
                    allowed=allowed,
                )
            )

    name_allowed = 'letters, digits, dots, dashes, 64 at most'
    check('name', bool(NAME_PATTERN.fullmatch(row.name)), name_allowed)
    check(
        'weight',
        math.isfinite(row.weight) and 0 < row.weight <= MAX_WEIGHT,
        PARSE_BY_COLUMN['weight'][1],
    )
    match row:
        case ServiceRow():
            check('type', row.type in ('model', 'plain'), 'model or plain')
            check('pool', bool(NAME_PATTERN.fullmatch(row.pool)), name_allowed)
            check(
                'group_vms',
                1 <= row.group_vms <= MAX_COUNT,
                PARSE_BY_COLUMN['group_vms'][1],
            )
            if row.type == 'plain':
                check('group_vms', row.group_vms == 1, '1 if plain')
        case AccountRow():
            check(
                'limit',
                0 <= row.limit <= MAX_COUNT,
                PARSE_BY_COLUMN['limit'][1],
            )
            check(
                'key_sha256',
                not row.key_sha256
                or bool(DIGEST_PATTERN.fullmatch(row.key_sha256)),
                '64 hexadecimal digits in lower case, or empty',
            )
        case RequestRow():
            check(
                'match',
                not row.match or bool(MATCH_PATTERN.fullmatch(row.match)),
                "'METHOD /path' or 'METHOD /path*', or empty",
            )
    return faults


def check_table(table: Table) -> list[TableFault]:
    """Return the faults of each row and those between rows."""
    faults = []
    services = table.service_by_name()
    name_by_digest: dict[str, str] = {}
    for row in table.rows:
        place = f'row {key_of(row)}'
        faults.extend(check_row(row, place=place))
        match row:
            case RequestRow():
                if row.service not in services:
                    faults.append(
                        TableFault(
                            place=place,
                            column='service',
                            value=row.service,
                            allowed='the name of a service row',
                        )
                    )
            case AccountRow():
                if not row.key_sha256:
                    continue
                other = name_by_digest.setdefault(row.key_sha256, row.name)
                if other != row.name:
                    faults.append(
                        TableFault(
                            place=place,
                            column='key_sha256',
                            value=row.key_sha256,
                            allowed=f'a key other than that of {other}',
                        )
                    )
    return faults


def cells_of(row: AnyRow) -> dict[str, str]:
    """Return the cells of a row by column."""
    cells = {'row': type(row).__struct_config__.tag}
    for column in columns_of(type(row)):
        cells[column] = format_cell(getattr(row, column))
    return cells


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """A row before and after a change; None where it does not exist."""

    key: RowKey
    before: AnyRow | None
    after: AnyRow | None


def diff_tables(before: Table, after: Table) -> list[RowChange]:
    """Return the rows that differ, in the order of their keys."""
    old = before.row_by_key()
    new = after.row_by_key()
    return [
        RowChange(key=key, before=old.get(key), after=new.get(key))
        for key in sorted(set(old) | set(new))
        if old.get(key) != new.get(key)
    ]
