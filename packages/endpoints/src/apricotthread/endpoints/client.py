"""HTTP client that sends requests and orders to endpoints.

Each request has a connection of its own. An endpoint may send an answer
twice, and the second one would be taken for that of the next request: the
answers do not say which request they belong to.
"""

import collections.abc
import contextlib
import dataclasses
import urllib.parse

import msgspec

from apricotthread.base import decoding
from apricotthread.base import documents
from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.endpoints import announcements
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import connections

CONNECT_TIMEOUT_S = 1.0
READ_AHEAD_BYTES = 16 * units.KIB
# An engine may send this much without a whole piece.
MAX_LINE_BYTES = 64 * units.KIB
NOT_WHOLE_STATUS = 409
REFUSED_STATUSES = (429, 503)
NOT_RUN_HEADER = b'request-ran'
UNFORWARDED_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'authorization',
    }
)
# Characters of a path that are sent as they are.
PATH_CHARACTERS = "/?:@!$&'()*+,;=-._~%[]"
JSON_HEADERS = (('Content-Type', 'application/json'),)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainRequest:
    """A request to a plain service; the path includes the query."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainHead:
    """The status and headers of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class PlainAnswer:
    """An answer of a plain service, whose body is read in pieces."""

    def __init__(
        self, *, head: PlainHead, body: collections.abc.AsyncIterator[bytes]
    ) -> None:
        self.head = head
        self._body = body

    def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Return the body in order.

        Reading raises ApricotError with ran YES if the body is truncated.
        """
        return self._body


_PIECE_READER = documents.DocumentReader(
    document_type=announcements.GeneratedPiece
)
_ORDER_ANSWER_READER = documents.DocumentReader(
    document_type=announcements.OrderAnswer
)


class EndpointClient:
    """Sends requests to endpoints; a node has one instance.

    An endpoint that sends nothing of use for `stall_s` seconds has failed.
    """

    def __init__(
        self, *, env: environment.Environment, stall_s: float
    ) -> None:
        self._env = env
        self._stall_s = stall_s

    @contextlib.asynccontextmanager
    async def generate(
        self, url: str, request: announcements.GenerateRequest
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[announcements.GeneratedPiece]
    ]:
        """Open a stream of generated pieces.

        Leaving the context cancels the rest of the generation. Raises
        ApricotError: OVERLOADED if the engine refuses the request,
        GROUP_NOT_WHOLE if the engine's group is not whole, and
        ENDPOINT_FAILED if it cannot be reached or the stream breaks.
        """
        with _raise_as_endpoint_failed(url, errors.Ran.UNKNOWN):
            async with self._open(url) as connection:
                request_bytes = _build_request(
                    url,
                    method='POST',
                    path='/generate',
                    headers=JSON_HEADERS,
                    body=msgspec.json.encode(request),
                )
                connection.start(request_bytes)
                async with self._env.timer.timeout(self._stall_s):
                    answer = await connection.read_head()
                _check_generating(url, answer.status)
                yield self._read_pieces(url, connection)

    async def _read_pieces(
        self, url: str, connection: connections.EndpointConnection
    ) -> collections.abc.AsyncIterator[announcements.GeneratedPiece]:
        """Yield pieces; raise if the stream ends before the last piece."""
        with _raise_as_endpoint_failed(url, errors.Ran.YES):
            lines = _LineReader(connection=connection)
            while True:
                async with self._env.timer.timeout(self._stall_s):
                    line = await lines.read()
                if not line:
                    break
                piece = _PIECE_READER.read(line)
                yield piece
                if piece.finish:
                    return
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'engine at {url} ended its stream before the last piece',
            ran=errors.Ran.YES,
        )

    @contextlib.asynccontextmanager
    async def forward(
        self, url: str, request: PlainRequest
    ) -> collections.abc.AsyncIterator[PlainAnswer]:
        """Send a request to a plain service and yield its answer.

        A service may take as long as the caller waits to answer a request
        that can not be repeated; any other can be sent to another endpoint.

        Raises ApricotError with ran NO only if no byte of the request can
        have been sent, or if the service says that it did not run the
        request.
        """
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in UNFORWARDED_HEADERS
        ]
        headers.append(('Request-Id', request.request_id))
        request_bytes = _build_request(
            url,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
        )
        with _raise_as_endpoint_failed(url, errors.Ran.UNKNOWN):
            async with self._open(url) as connection:
                connection.start(
                    request_bytes, expects_body=request.method != 'HEAD'
                )
                async with contextlib.AsyncExitStack() as limits:
                    if request.repeatable:
                        await limits.enter_async_context(
                            self._env.timer.timeout(self._stall_s)
                        )
                    answer = await connection.read_head()
                if (
                    answer.status in REFUSED_STATUSES
                    and answer.get(NOT_RUN_HEADER) == 'no'
                ):
                    raise errors.ApricotError(
                        code=errors.ErrorCode.OVERLOADED,
                        message=f'service at {url} refused the request',
                        retry_after_s=1.0,
                    )
                yield PlainAnswer(
                    head=_make_head(answer),
                    body=self._read_body(url, connection),
                )

    async def _read_body(
        self, url: str, connection: connections.EndpointConnection
    ) -> collections.abc.AsyncIterator[bytes]:
        with _raise_as_endpoint_failed(url, errors.Ran.YES):
            while True:
                async with self._env.timer.timeout(self._stall_s):
                    data = await connection.read()
                if not data:
                    return
                yield data

    async def order(
        self, url: str, order: announcements.Order, *, timeout_s: float
    ) -> announcements.OrderAnswer:
        """Send an order to an engine VM and return its answer.

        An order that fails or times out is returned as not confirmed.
        """
        request_bytes = _build_request(
            url,
            method='POST',
            path='/orders',
            headers=JSON_HEADERS,
            body=msgspec.json.encode(order),
        )
        try:
            _, body = await connections.fetch(
                self._env,
                address=_find_address(url),
                request=request_bytes,
                timeout_s=timeout_s,
            )
            return _ORDER_ANSWER_READER.read(body)
        except (errors.ApricotError, *decoding.DECODE_ERRORS) as error:
            return announcements.OrderAnswer(
                confirmed=False, fencing=0, reason=str(error)
            )

    @contextlib.asynccontextmanager
    async def _open(
        self, url: str
    ) -> collections.abc.AsyncIterator[connections.EndpointConnection]:
        """Open a connection for one request; closing it cancels the request.

        Raises ConnectionLost with sent False.
        """
        connection = await connections.open_connection(
            self._env,
            _find_address(url),
            timeout_s=CONNECT_TIMEOUT_S,
            read_ahead_bytes=READ_AHEAD_BYTES,
        )
        try:
            yield connection
        finally:
            connection.close()


class _LineReader:
    """Splits a body into lines of bounded length, without empty ones."""

    def __init__(self, *, connection: connections.EndpointConnection) -> None:
        self._connection = connection
        self._unread = b''
        self._bytes_since_line = 0

    async def read(self) -> bytes:
        """Return the next line that is not empty, or b'' at the end.

        Raises ConnectionLost if none comes within MAX_LINE_BYTES.
        """
        while True:
            line, end, rest = self._unread.partition(b'\n')
            if end:
                self._unread = rest
                if line.strip():
                    self._bytes_since_line = len(rest)
                    return line
                continue
            if self._bytes_since_line > MAX_LINE_BYTES:
                raise connections.ConnectionLost(
                    reason='a line without end', sent=True
                )
            data = await self._connection.read()
            if not data:
                self._unread = b''
                return line.strip()
            self._bytes_since_line += len(data)
            self._unread = line + data


def _find_address(url: str) -> str:
    """Return the host and port of a URL; raises ApricotError."""
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port or 80
    except ValueError:
        parts, port = urllib.parse.urlsplit(''), 0
    if parts.scheme != 'http' or not parts.hostname:
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'{url!r} is not the URL of an endpoint',
        )
    return f'{parts.hostname}:{port}'


def _build_request(
    url: str,
    *,
    method: str,
    path: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Return a whole request as bytes.

    Raises ApricotError if a part of it could be taken for another part.
    """
    parts = urllib.parse.urlsplit(url)
    target = urllib.parse.quote(
        parts.path.rstrip('/') + path, safe=PATH_CHARACTERS
    )
    lines = [f'{method} {target} HTTP/1.1', f'Host: {parts.netloc}']
    lines.extend(f'{name}: {value}' for name, value in headers)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    if any(character in line for line in lines for character in '\r\n\0'):
        raise errors.ApricotError(
            code=errors.ErrorCode.BAD_REQUEST,
            message='a header contains the end of a line',
        )
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1', 'replace') + body


def _check_generating(url: str, status: int) -> None:
    """Raise ApricotError unless an engine's answer is a stream of pieces."""
    if status == NOT_WHOLE_STATUS:
        raise errors.ApricotError(
            code=errors.ErrorCode.GROUP_NOT_WHOLE,
            message=f'engine at {url} has lost its group',
            retry_after_s=1.0,
        )
    if status in REFUSED_STATUSES:
        raise errors.ApricotError(
            code=errors.ErrorCode.OVERLOADED,
            message=f'engine at {url} refused the request',
            retry_after_s=1.0,
        )
    if status != 200:
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'engine at {url} answered with status {status}',
            ran=errors.Ran.UNKNOWN,
        )


def _make_head(answer: answerreader.Answer) -> PlainHead:
    headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in answer.headers
    ]
    return PlainHead(
        status=answer.status,
        headers=tuple(
            (name, value)
            for name, value in headers
            if name not in UNFORWARDED_HEADERS
        ),
    )


@contextlib.contextmanager
def _raise_as_endpoint_failed(
    url: str, ran: errors.Ran
) -> collections.abc.Iterator[None]:
    """Raise ApricotError for what goes wrong on a connection.

    `ran` is whether the request was run, if it was sent.
    """
    try:
        yield
    except (
        connections.ConnectionLost,
        TimeoutError,
        *decoding.DECODE_ERRORS,
    ) as error:
        sent = getattr(error, 'sent', True)
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'endpoint at {url} failed: '
            f'{error or "nothing of use in time"}',
            ran=ran if sent else errors.Ran.NO,
            retry_after_s=1.0,
        ) from error
