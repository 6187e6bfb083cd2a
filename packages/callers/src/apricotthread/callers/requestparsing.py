"""Reading callers' requests: account, headers, body and kind."""

import dataclasses
import hashlib
import re

from starlette import requests

from apricotthread.base import errors
from apricotthread.control import tables
from apricotthread.routing import view

REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9._-]{8,64}')
KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')
MAX_OFFSET = 10**9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resumption:
    """Where a stream that broke is to be taken up again."""

    request_id: str
    offset: int


def make_request_error(message: str) -> errors.ApricotError:
    """Return the error for a request that can not be understood."""
    return errors.ApricotError(
        code=errors.ErrorCode.BAD_REQUEST, message=message
    )


def find_account(
    request: requests.Request, system: view.SystemView
) -> tables.AccountRow:
    """Return the account of the bearer key; raises UNAUTHORIZED."""
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
    """Return the seconds that the caller gives the request."""
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
    """Return the caller's idempotency key, empty for none."""
    key = request.headers.get('idempotency-key', '')
    if key and not KEY_PATTERN.fullmatch(key):
        raise make_request_error(
            'Idempotency-Key: allowed are 1 to 255 visible ASCII characters'
        )
    return key


def read_resumption(request: requests.Request) -> Resumption | None:
    """Return where to take a broken stream up again, None for a new one.

    The header is the id of the last event that the caller got.
    """
    text = request.headers.get('last-event-id')
    if not text:
        return None
    request_id, _, offset = text.rpartition(':')
    is_right = (
        REQUEST_ID_PATTERN.fullmatch(request_id)
        and offset.isascii()
        and offset.isdigit()
        and len(offset) <= len(str(MAX_OFFSET))
    )
    if not is_right:
        raise make_request_error(
            f'Last-Event-ID: {text!r}: allowed is the id of the last event '
            'of a stream, REQUEST_ID:OFFSET'
        )
    return Resumption(request_id=request_id, offset=int(offset))


def check_headers(request: requests.Request, limit_bytes: int) -> None:
    """Raise ApricotError when the headers are too large together."""
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
    """Return a service of the type; raises UNKNOWN_SERVICE."""
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
    """Return the kind of a request: by name, else by the longest match.

    A request that no row matches is of a default kind. It may be
    repeated only if its method says so.
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
    wanted_method, _, wanted_path = pattern.partition(' ')
    if method != wanted_method:
        return False
    if wanted_path.endswith('*'):
        return path.startswith(wanted_path[:-1])
    return path == wanted_path
