"""Parses callers' requests: account, headers, service and request kind."""

import dataclasses
import hashlib
import re

from starlette import requests

from apricotthread.base import errors
from apricotthread.control import tables
from apricotthread.routing import view

REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9._-]{8,64}')
IDEMPOTENCY_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')
MAX_OFFSET = 10**9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resumption:
    """The request and the offset in tokens at which to resume a stream."""

    request_id: str
    offset: int


def make_request_error(message: str) -> errors.ApricotError:
    """Return the error for a request that cannot be parsed."""
    return errors.ApricotError(
        code=errors.ErrorCode.BAD_REQUEST, message=message
    )


def find_account(
    request: requests.Request, system: view.SystemView
) -> tables.AccountRow:
    """Return the account of the bearer key.

    Raises ApricotError UNAUTHORIZED if the key is missing or unknown.
    """
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    if scheme.lower() == 'bearer' and key:
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = system.find_account(digest)
        if account is not None:
            return account
    raise errors.ApricotError(
        code=errors.ErrorCode.UNAUTHORIZED,
        message="the header 'Authorization: Bearer KEY' with the key of an "
        'account is missing or wrong',
    )


def read_timeout_s(request: requests.Request, longest_s: float) -> float:
    """Return the timeout from the header, `longest_s` at most.

    Raises ApricotError BAD_REQUEST if it is not a number above 0.
    """
    text = request.headers.get('request-timeout')
    if text is None:
        return longest_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float('inf'):
        raise make_request_error(
            f'Request-Timeout: {text!r}: allowed is a number of seconds '
            'above 0'
        )
    return min(seconds, longest_s)


def read_idempotency_key(request: requests.Request) -> str:
    """Return the caller's idempotency key, empty if there is none."""
    key = request.headers.get('idempotency-key', '')
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise make_request_error(
            'Idempotency-Key: allowed are 1 to 255 visible ASCII characters'
        )
    return key


def read_resumption(request: requests.Request) -> Resumption | None:
    """Return where to resume a broken stream, None for a new request.

    The header holds the id of the last event that the caller received.
    """
    text = request.headers.get('last-event-id')
    if not text:
        return None
    request_id, _, offset = text.rpartition(':')
    is_valid = (
        REQUEST_ID_PATTERN.fullmatch(request_id)
        and offset.isascii()
        and offset.isdigit()
        and len(offset) <= len(str(MAX_OFFSET))
    )
    if not is_valid:
        raise make_request_error(
            f'Last-Event-ID: {text!r}: allowed is the id of the last event '
            'of a stream, REQUEST_ID:OFFSET'
        )
    return Resumption(request_id=request_id, offset=int(offset))


def check_headers(request: requests.Request, limit_bytes: int) -> None:
    """Raise ApricotError if all headers together exceed the limit."""
    size = sum(len(name) + len(value) for name, value in request.headers.raw)
    if size > limit_bytes:
        raise errors.ApricotError(
            code=errors.ErrorCode.BODY_TOO_LARGE,
            message=f'headers of {size} bytes are over the limit of '
            f'{limit_bytes}',
        )


def find_service(
    name: str, service_type: str, table: tables.Table
) -> tables.ServiceRow:
    """Return the service; raises UNKNOWN_SERVICE if none has this type."""
    service = table.service_by_name().get(name)
    if service is None or service.type != service_type:
        raise errors.ApricotError(
            code=errors.ErrorCode.UNKNOWN_SERVICE,
            message=f'there is no {service_type} service {name!r}',
        )
    return service


def find_kind(
    service: str, method: str, path: str, name: str, table: tables.Table
) -> tables.RequestRow:
    """Return the kind of a request.

    A row without a pattern is chosen by the name that the caller gives,
    else the row with the longest matching pattern. A request that no row
    matches gets a default kind, repeatable for GET, HEAD and OPTIONS.
    """
    kinds = table.kinds_by_service().get(service, [])
    for row in kinds:
        if name and row.name == name and not row.match:
            return row
    matching = [row for row in kinds if _matches(row.match, method, path)]
    if matching:
        return max(matching, key=lambda row: len(row.match))
    return tables.RequestRow(
        name='other',
        service=service,
        repeatable=method in ('GET', 'HEAD', 'OPTIONS'),
    )


def _matches(pattern: str, method: str, path: str) -> bool:
    if not pattern:
        return False
    pattern_method, _, pattern_path = pattern.partition(' ')
    if method != pattern_method:
        return False
    if pattern_path.endswith('*'):
        return path.startswith(pattern_path[:-1])
    return path == pattern_path
