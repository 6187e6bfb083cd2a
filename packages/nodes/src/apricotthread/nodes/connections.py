"""Connections that carry frames, and networks that open and accept them."""

import asyncio
import collections.abc
import contextlib
import typing

from apricotthread.base import errors
from apricotthread.base import metrics
from apricotthread.base import settings
from apricotthread.nodes import framing

ConnectionHandler = collections.abc.Callable[
    ['Connection'], collections.abc.Awaitable[None]
]


class Connection(typing.Protocol):
    """A two-way, ordered stream of frames to one peer."""

    async def send(self, frame: framing.Frame) -> None:
        """Send a frame, waiting while the peer reads too slowly."""

    async def receive(self) -> framing.Frame:
        """Return the next frame.

        Raises ConnectionError when the connection ends and ApricotError
        with code PROTOCOL for an invalid frame.
        """

    def close(self) -> None:
        """Close the connection at once."""


class Network(typing.Protocol):
    """Opens connections to peers and accepts those from peers."""

    async def dial(self, address: settings.NodeAddress) -> Connection:
        """Open a connection; raise OSError when that fails."""

    async def serve(
        self, address: settings.NodeAddress, handle: ConnectionHandler
    ) -> None:
        """Accept connections until cancelled, each in a task of its own."""


class TcpConnection:
    """A connection over TCP."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_frame_bytes: int,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._metrics = process_metrics
        self._reader = reader
        self._writer = writer
        self._max_frame_bytes = max_frame_bytes

    async def send(self, frame: framing.Frame) -> None:
        """Send a frame, waiting while the peer reads too slowly.

        Raises OSError if the connection is closed.
        """
        encoded = framing.encode_frame(frame)
        if self._writer.is_closing():
            raise ConnectionResetError('the connection is closed')
        self._metrics.count('peer_frames_sent')
        self._metrics.count('peer_bytes_sent', len(encoded))
        self._writer.write(encoded)
        await self._writer.drain()

    async def receive(self) -> framing.Frame:
        """Return the next frame."""
        try:
            prefix = await self._reader.readexactly(framing.LENGTH_PREFIX.size)
            (length,) = framing.LENGTH_PREFIX.unpack(prefix)
            if length > self._max_frame_bytes:
                raise errors.ApricotError(
                    code=errors.ErrorCode.PROTOCOL,
                    message=f'frame of {length} bytes is over the limit of '
                    f'{self._max_frame_bytes}',
                )
            encoded = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError('connection ended') from error
        return framing.decode_frame(encoded)

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()


class TcpNetwork:
    """Opens and accepts connections over TCP."""

    def __init__(
        self, *, max_frame_bytes: int, process_metrics: metrics.Metrics
    ) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._metrics = process_metrics

    async def dial(self, address: settings.NodeAddress) -> Connection:
        """Open a connection to a peer."""
        reader, writer = await asyncio.open_connection(
            address.host, address.peer_port
        )
        return self._wrap(reader, writer)

    async def serve(
        self, address: settings.NodeAddress, handle: ConnectionHandler
    ) -> None:
        """Accept connections until cancelled, each in a task of its own."""

        async def accept(reader, writer) -> None:
            connection = self._wrap(reader, writer)
            # asyncio.start_server logs a cancelled handler as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await handle(connection)
            connection.close()

        server = await asyncio.start_server(
            accept, address.host, address.peer_port
        )
        async with server:
            await server.serve_forever()

    def _wrap(self, reader, writer) -> TcpConnection:
        return TcpConnection(
            reader=reader,
            writer=writer,
            max_frame_bytes=self._max_frame_bytes,
            process_metrics=self._metrics,
        )
