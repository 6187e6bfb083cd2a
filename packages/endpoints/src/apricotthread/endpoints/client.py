"""Requests and orders to endpoints over HTTP."""

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
HOP_HEADERS = frozenset(
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
    """A request to a plain service."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainHead:
    """The start of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class PlainAnswer:
    """The answer of a plain service: its head, then its body in pieces."""

    def __init__(self, *, response: aiohttp.ClientResponse, url: str) -> None:
        self._response = response
        self._url = url
        self.head = PlainHead(
            status=response.status,
            headers=tuple(
                (str(name), value)
                for name, value in response.headers.items()
                if name.lower() not in HOP_HEADERS
            ),
        )

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in order; raises ApricotError if it is cut."""
        try:
            async for piece in self._response.content.iter_chunked(
                PLAIN_PIECE_BYTES
            ):
                yield piece
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_failure(self._url, error, errors.Ran.YES) from error


_PIECE_DECODER = msgspec.json.Decoder(announcements.GeneratedPiece)


class EndpointClient:
    """Sends requests to endpoints; one for each node."""

    def __init__(
        self, *, env: environment.Environment, stall_s: float
    ) -> None:
        self._env = env
        self._stall_s = stall_s
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pools; needs the running event loop."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._stall_s,
        )
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_CONNECTION_S
            ),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self._fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    @contextlib.asynccontextmanager
    async def generate(
        self, url: str, request: announcements.GenerateRequest
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[announcements.GeneratedPiece]
    ]:
        """Open a stream of generated pieces; leaving it cancels the rest.

        Raises ApricotError: OVERLOADED when the engine refused,
        GROUP_NOT_WHOLE when its group is not there, and ENDPOINT_FAILED
        when it can not be reached or the stream breaks.
        """
        try:
            async with self._pooled.post(
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
            raise _make_failure(url, error, errors.Ran.UNKNOWN) from error

    async def _read_pieces(
        self, url: str, response: aiohttp.ClientResponse
    ) -> collections.abc.AsyncIterator[announcements.GeneratedPiece]:
        """Yield pieces; a stream that ends without finish is a failure."""
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
            raise _make_failure(url, error, errors.Ran.YES) from error
        raise errors.ApricotError(
            code=errors.ErrorCode.ENDPOINT_FAILED,
            message=f'engine at {url} ended its stream early',
            ran=errors.Ran.YES,
        )

    @contextlib.asynccontextmanager
    async def forward(
        self, url: str, request: PlainRequest
    ) -> collections.abc.AsyncIterator[PlainAnswer]:
        """Send a request to a plain service and give its answer.

        A request that may not be repeated goes out on a connection made
        for it, which has so just proved itself alive. Raises
        ApricotError with ran NO only if no byte of it can have left, or
        the service said that it was not run.
        """
        session = self._pooled if request.repeatable else self._fresh
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in HOP_HEADERS
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
            raise _make_failure(url, error, errors.Ran.NO) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise _make_failure(url, error, errors.Ran.NO) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_failure(url, error, errors.Ran.UNKNOWN) from error

    async def order(
        self, url: str, order: announcements.Order, *, timeout_s: float
    ) -> announcements.OrderAnswer:
        """Send an order to an engine VM and return its answer.

        An order without an answer in time counts as not confirmed.
        """
        try:
            async with self._env.timer.timeout(timeout_s):
                async with self._fresh.post(
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
                confirmed=False, fencing=0, reason=_describe(error)
            )


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _make_failure(
    url: str, error: BaseException, ran: errors.Ran
) -> errors.ApricotError:
    return errors.ApricotError(
        code=errors.ErrorCode.ENDPOINT_FAILED,
        message=f'endpoint at {url} failed: {_describe(error)}',
        ran=ran,
        retry_after_s=1.0,
    )
