"""Limits on what a process holds for the clients of all its listeners."""

import asyncio
import collections
import collections.abc
import os
import resource
import typing

from apricotthread.base import metrics
from apricotthread.base import settings
from apricotthread.base import units

# The rest is for endpoints, other nodes and files.
CLIENTS_SHARE_OF_DESCRIPTORS = 0.5
# Small requests may hold as much again, and a parsed one takes more than its
# bytes for a moment.
BUFFER_SHARE_OF_MEMORY = 1 / 8
# Memory for the objects and the kernel's buffers of a connection.
CONNECTION_BYTES = 256 * units.KIB
# How far connections that close after an answer may exceed the limit.
CLOSING_SHARE = 1 / 8


class Connection(typing.Protocol):
    """A client's connection that can be closed in favour of others."""

    @property
    def has_sent_ahead(self) -> bool:
        """Whether bytes wait behind a request that is being answered."""

    def shed(self, reason: str) -> None:
        """Drop what is held for the client, but a request in service.

        Without such a request, the connection is closed and removed.
        """


class ConnectionTable:
    """The open connections of clients, and the bytes held for each.

    A connection waits while its client has to act: to send a request or the
    rest of one, or to read an answer. Past a limit, the connections that
    have waited longest are shed. One whose request is being answered is not,
    but loses what was sent ahead, and closes after the answer.

    A connection that holds at most an even share of the bytes is not shed
    for them, so all together hold at most twice `max_bytes`, besides one
    request that holds more than that alone.
    """

    def __init__(
        self,
        *,
        max_connections: int = settings.Settings.max_connections,
        max_bytes: int = settings.Settings.client_buffer_bytes,
        process_metrics: metrics.Metrics | None = None,
    ) -> None:
        self._max_connections = max_connections
        self._max_bytes = max_bytes
        self._even_share = max_bytes // max_connections
        self._metrics = process_metrics or metrics.Metrics()
        self._held_by_connection: dict[Connection, int] = {}
        # These are sets in the order of insertion, longest waiting first.
        self._waiting: dict[Connection, None] = {}
        self._sent_ahead: dict[Connection, None] = {}
        self._turns: collections.deque[collections.abc.Callable] = (
            collections.deque()
        )
        self.held_bytes = 0

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._held_by_connection)

    def add(self, connection: Connection) -> None:
        """Add a connection that was accepted, and waits."""
        self._held_by_connection[connection] = 0
        self._waiting[connection] = None
        if self.open_connections > self._max_connections:
            self._shed(self._choose_for(connection), 'too many connections')

    def _choose_for(self, connection: Connection) -> Connection:
        """Return the connection to shed for a new one, or the new one."""
        most = self._max_connections * (1 + CLOSING_SHARE)
        while self._sent_ahead and self.open_connections <= most:
            ahead = next(iter(self._sent_ahead))
            del self._sent_ahead[ahead]
            if ahead.has_sent_ahead:
                return ahead
        return next(iter(self._waiting), connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.held_bytes -= self._held_by_connection.pop(connection, 0)
        self._waiting.pop(connection, None)
        self._sent_ahead.pop(connection, None)

    def note_waiting(self, connection: Connection) -> None:
        """Note that a connection waits for its client from now on."""
        if connection in self._held_by_connection:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def note_sent_ahead(self, connection: Connection) -> None:
        """Note that bytes wait behind the request of a connection."""
        if connection in self._held_by_connection:
            self._sent_ahead[connection] = None

    def note_serving(self, connection: Connection) -> None:
        """Note that the client of a connection has nothing to do."""
        self._waiting.pop(connection, None)

    def set_held(self, connection: Connection, held_bytes: int) -> None:
        """Note how many bytes are held for a connection.

        If all together are too many, connections are shed: those that wait,
        and then this one, on which bytes have arrived.
        """
        before = self._held_by_connection.get(connection)
        if before is None or before == held_bytes:
            return
        self._held_by_connection[connection] = held_bytes
        self.held_bytes += held_bytes - before
        if held_bytes > before and self.held_bytes > self._max_bytes:
            self._make_room(connection)

    def _make_room(self, connection: Connection) -> None:
        for waiting in list(self._waiting):
            if waiting is not connection and self._holds_much(waiting):
                self._shed(waiting, 'too many bytes held for clients')
                if self.held_bytes <= self._max_bytes:
                    return
        own_bytes = self._held_by_connection[connection]
        is_alone = own_bytes == self.held_bytes
        if self._holds_much(connection) and not is_alone:
            self._shed(connection, 'too many bytes held for clients')

    def _holds_much(self, connection: Connection) -> bool:
        return self._held_by_connection[connection] > self._even_share

    def _shed(self, connection: Connection, reason: str) -> None:
        self._metrics.count('connections_shed')
        connection.shed(reason)

    def add_turn(self, take_turn: collections.abc.Callable[[], None]) -> None:
        """Call a function in a later iteration of the event loop.

        There is one such call in each iteration, for all connections, so
        requests that do not wait for others are served between them.
        """
        self._turns.append(take_turn)
        if len(self._turns) == 1:
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        take_turn = self._turns.popleft()
        if self._turns:
            asyncio.get_running_loop().call_soon(self._give_turn)
        take_turn()

    def publish_gauges(self) -> None:
        """Set the gauges for connections and bytes."""
        self._metrics.set_gauge('client_connections', self.open_connections)
        self._metrics.set_gauge('client_bytes_held', self.held_bytes)


def make_table(
    own_settings: settings.Settings, process_metrics: metrics.Metrics
) -> ConnectionTable:
    """Return the table of a process, which fits into its machine."""
    memory_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    most_connections = memory_bytes // CONNECTION_BYTES
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        most_connections = min(
            most_connections, int(soft_limit * CLIENTS_SHARE_OF_DESCRIPTORS)
        )
    return ConnectionTable(
        max_connections=max(
            1, min(own_settings.max_connections, most_connections)
        ),
        max_bytes=min(
            own_settings.client_buffer_bytes,
            int(memory_bytes * BUFFER_SHARE_OF_MEMORY),
        ),
        process_metrics=process_metrics,
    )
