"""HTTP client that sends requests and orders to endpoints."""

import collections.abc
import contextlib
import dataclasses

import aiohttp
import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.endpoints import announcements

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10.0
READ_BUFFER_BYTES = 16 * units.KIB
PLAIN_PIECE_BYTES = 16 * units.KIB
NOT_WHOLE_STATUS = 409
REFUSED_STATUSES = (429, 503)
NOT_RUN_HEADER = 'Request-Ran'
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

    def __init__(self, *, response: aiohttp.ClientResponse, url: str) -> None:
        self._response = response
        self._url = url
        self.head = PlainHead(
            status=response.status,
            headers=tuple(
                (str(name), value)
                for name, value in response.headers.items()
                if name.lower() not in UNFORWARDED_HEADERS
            ),
        )

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in order.

        Raises ApricotError with ran YES if the body is truncated.
        """
        try:
            async for piece in self._response.content.iter_chunked(
                PLAIN_PIECE_BYTES
            ):
                yield piece
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_error(self._url, error, errors.Ran.YES) from error


_PIECE_DECODER = msgspec.json.Decoder(announcements.GeneratedPiece)


class EndpointClient:
    """Sends requests to endpoints; a node has one instance."""

    def __init__(
        self, *, env: environment.Environment, stall_s: float
    ) -> None:
        self._env = env
        self._stall_s = stall_s
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the client sessions; needs a running event loop."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._stall_s,
        )
        self._pooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_CONNECTION_S
            ),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self._unpooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

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
        try:
            async with self._pooled_session.post(
                f'{url}/generate',
                data=msgspec.json.encode(request),
                headers={'Content-Type': 'application/json'},
            ) as response:
                if response.status == NOT_WHOLE_STATUS:
                    raise errors.ApricotError(
                        code=errors.ErrorCode.GROUP_NOT_WHOLE,
                        message=f'engine at {url} has lost its group',
                        retry_after_s=1.0,
                    )
                if response.status in REFUSED_STATUSES:
                    raise errors.ApricotError(
                        code=errors.ErrorCode.OVERLOADED,
                        message=f'engine at {url} refused the request',
                        retry_after_s=1.0,
                    )
                if response.status != 200:
                    raise errors.ApricotError(
                        code=errors.ErrorCode.ENDPOINT_FAILED,
                        message=f'engine at {url} answered with status '
                        f'{response.status}',
                        ran=errors.Ran.UNKNOWN,
                    )
                yield self._read_pieces(url, response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_error(url, error, errors.Ran.UNKNOWN) from error

    async def _read_pieces(
        self, url: str, response: aiohttp.ClientResponse
    ) -> collections.abc.AsyncIterator[announcements.GeneratedPiece]:
        """Yield pieces; raise if the stream ends before the last piece."""
        try:
            async for line in response.content:
                if not line.strip():
                    continue
                piece = _PIECE_DECODER.decode(line)
                yield piece
                if piece.finish:
                    return
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
            ValueError,
        ) as error:
            raise _make_error(url, error, errors.Ran.YES) from error
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

        A request that must not be repeated is sent on a new connection,
        because a reused one may have died unnoticed. Raises ApricotError
        with ran NO only if no byte of the request can have been sent, or
        if the service says that it did not run the request.
        """
        session = (
            self._pooled_session
            if request.repeatable
            else self._unpooled_session
        )
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in UNFORWARDED_HEADERS
        ]
        headers.append(('Request-Id', request.request_id))
        try:
            async with session.request(
                request.method,
                url + request.path,
                data=request.body or None,
                headers=headers,
                allow_redirects=False,
            ) as response:
                if (
                    response.status in REFUSED_STATUSES
                    and response.headers.get(NOT_RUN_HEADER) == 'no'
                ):
                    raise errors.ApricotError(
                        code=errors.ErrorCode.OVERLOADED,
                        message=f'service at {url} refused the request',
                        retry_after_s=1.0,
                    )
                yield PlainAnswer(response=response, url=url)
        except aiohttp.ClientConnectorError as error:
            raise _make_error(url, error, errors.Ran.NO) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise _make_error(url, error, errors.Ran.NO) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_error(url, error, errors.Ran.UNKNOWN) from error

    async def order(
        self, url: str, order: announcements.Order, *, timeout_s: float
    ) -> announcements.OrderAnswer:
        """Send an order to an engine VM and return its answer.

        An order that fails or times out is returned as not confirmed.
        """
        try:
            async with self._env.timer.timeout(timeout_s):
                async with self._unpooled_session.post(
                    f'{url}/orders',
                    data=msgspec.json.encode(order),
                    headers={'Content-Type': 'application/json'},
                ) as response:
                    body = await response.read()
                    return msgspec.json.decode(
                        body, type=announcements.OrderAnswer
                    )
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            return announcements.OrderAnswer(
                confirmed=False, fencing=0, reason=_describe_error(error)
            )


def _describe_error(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _make_error(
    url: str, error: BaseException, ran: errors.Ran
) -> errors.ApricotError:
    return errors.ApricotError(
        code=errors.ErrorCode.ENDPOINT_FAILED,
        message=f'endpoint at {url} failed: {_describe_error(error)}',
        ran=ran,
        retry_after_s=1.0,
    )
