"""The HTTP listeners of a node."""

import asyncio
import collections.abc
import contextlib
import enum
import functools
import re
import socket

import httptools
import uvicorn
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from apricotthread.base import logs
from apricotthread.base import units
from apricotthread.base import uris
from apricotthread.control import routetables
from apricotthread.daemon import connectiontable

BACKLOG = 1024
# A connection on which something arrived within this time may bring a
# request, or the rest of one, so a stop closes it later.
RECENT_S = 0.5
# Turns of the event loop until it has read all that came before them.
TURNS_TO_READ = 2
# What a head may have besides its headers.
MAX_REQUEST_LINE_BYTES = 8 * units.KIB
# What may arrive of a body after the answer to its request.
MAX_UNREAD_BYTES = 1 * units.MIB
# While a body arrives, at least so much has to arrive in each period.
BODY_PERIOD_S = 30.0
MIN_BODY_BYTES = 1 * units.KIB
# The kernel's receive buffer of a connection, so that clients that are not
# read wait themselves.
RECEIVE_BUFFER_BYTES = 32 * units.KIB
# What may arrive behind a request that is not answered yet.
READ_AHEAD_BYTES = 16 * units.KIB
# What is parsed at a time, and how often in a turn of the event loop.
MAX_PIECE_BYTES = 16 * units.KIB
MAX_PIECES_PER_TURN = 16
END_OF_MESSAGE = b'\r\n\r\n'  # of a head, and of a body in chunks
# Memory that a parsed header takes besides its text.
HEADER_OVERHEAD_BYTES = 200
# A body is held once by itself, and once in the request to an endpoint.
BODY_COPIES = 2
# A client that takes nothing of its answer for so long is disconnected.
UNREAD_PERIOD_S = 60.0
SHED_RETRY_S = 1
# A timer that fires later than this shows that the node was paused.
MAX_LATE_S = 0.25
# What a target in absolute form has before its path.
_ABSOLUTE = re.compile(rb'https?://(?P<authority>[^/?]+)', re.IGNORECASE)


class _Phase(enum.Enum):
    """What a connection waits for from its peer."""

    ANSWERING = 'answering'  # nothing until an answer is sent
    HEAD = 'head'
    BODY = 'body'


class _BadHead(Exception):
    """The head of a request is none, or may be read in several ways."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class _Config(uvicorn.Config):
    """The configuration of a listener, with limits that may change."""

    def __init__(
        self,
        application,
        *,
        limits: collections.abc.Callable[[], routetables.CallerLimits],
        table: connectiontable.ConnectionTable,
        **options,
    ) -> None:
        super().__init__(application, **options)
        self.limits = limits
        self.table = table
        self.is_draining = False
        self.is_stopping = False


class _FlowControl(flow_control.FlowControl):
    """Flow control that does not read while the server holds bytes back.

    The server resumes reading for each request that it begins to read or has
    answered.
    """

    def __init__(self, transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold_reading(self) -> None:
        """Read nothing until it is released."""
        self._is_held = True
        self.pause_reading()

    def release_reading(self) -> None:
        """Read on."""
        self._is_held = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read on unless reading is held."""
        if not self._is_held:
            super().resume_reading()


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """An HTTP connection that holds little for its client.

    It buffers little of an answer. A request is parsed once the one before
    it is answered; what has arrived of it waits unparsed, and beyond
    READ_AHEAD_BYTES in the kernel. The table of connections knows what is
    held, and may have it dropped.

    It is closed when its peer sends bytes without end that are no request,
    or a request so slowly that it would never be complete, or when it does
    not read its answer.

    When the node stops, it is closed only once nothing has arrived on it for
    RECENT_S, or after one more answer.
    """

    write_buffer_bytes = 2048

    def connection_made(self, transport) -> None:
        """Limit how much the transport buffers before writes have to wait."""
        super().connection_made(transport)
        self.flow = _FlowControl(transport)
        transport.set_write_buffer_limits(high=self.write_buffer_bytes)
        self._table = self.config.table
        self._unparsed = bytearray()
        self._is_parsing_due = False
        self._is_sent_ahead = False
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_answer_bytes = 0
        self._head_bytes = 0
        self._body_left = 0
        self._limits = self.config.limits()
        self._arrived_at = self.loop.time()
        self._bytes_without_body = 0
        self._body_bytes = 0
        self._unread_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_refused = False
        self._running: httptools_impl.RequestResponseCycle | None = None
        self._expect(_Phase.ANSWERING, self._limits.idle_timeout_s)
        self._table.add(self)
        if self.config.is_stopping:
            self.shutdown()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timer of a request that was arriving.

        The application learns of it though the peer has sent another request
        since: the server tells only the last one.
        """
        self._cancel_timer()
        self._cancel_unread_timer()
        self._table.remove(self)
        if self._running is not None and not self._running.response_complete:
            self._running.disconnected = True
            self._running.message_event.set()
        super().connection_lost(error)
        self._drop_request()

    def data_received(self, data: bytes) -> None:
        """Remember when data arrived; parse it or hold it back."""
        self._arrived_at = self.loop.time()
        if self._is_refused:
            return
        if self._unparsed or self._has_open_request():
            self._unparsed += data
            self._table.note_sent_ahead(self)
        else:
            if self._phase is _Phase.ANSWERING:
                self._is_sent_ahead = False
            self._parse(data)
        if len(self._unparsed) > READ_AHEAD_BYTES:
            self.flow.hold_reading()
        self._update_held()

    def _has_open_request(self) -> bool:
        """Whether a request has arrived as a whole and is not answered."""
        is_whole = self._phase is _Phase.ANSWERING and not self._is_idle()
        return is_whole or bool(self.pipeline)

    def _parse(self, data: bytes) -> None:
        """Parse up to the end of a request; hold the rest back."""
        start = 0
        for _ in range(MAX_PIECES_PER_TURN):
            end = self._find_piece_end(data, start)
            self._parse_piece(data[start:end])
            start = end
            if self._is_refused or self.transport.is_closing():
                return
            if start == len(data):
                return
            if self._has_open_request():
                break
        self._unparsed += data[start:]
        self._table.note_sent_ahead(self)
        self._schedule_parsing()

    @property
    def has_sent_ahead(self) -> bool:
        """Whether bytes wait behind a request that is being answered."""
        return bool(self._unparsed)

    def _schedule_parsing(self) -> None:
        """Go on with the bytes held back, after the turns of others."""
        if self._unparsed and not self._is_parsing_due:
            self._is_parsing_due = True
            self._table.add_turn(self._parse_held)

    def _parse_held(self) -> None:
        """Parse bytes that were held back."""
        self._is_parsing_due = False
        if self._has_open_request() or self.transport.is_closing():
            return
        self._is_sent_ahead = True
        data = bytes(self._unparsed)
        self._unparsed.clear()
        if data and not self._is_refused:
            self._parse(data)
        if len(self._unparsed) <= READ_AHEAD_BYTES:
            self.flow.release_reading()
        self._update_held()

    def _find_piece_end(self, data: bytes, start: int) -> int:
        """Return where to stop parsing, not behind the end of a request."""
        if self._phase is _Phase.BODY and self._body_left > 0:
            return min(len(data), start + self._body_left)
        most = min(len(data), start + MAX_PIECE_BYTES)
        found = data.find(END_OF_MESSAGE, start, most)
        return most if found < 0 else found + len(END_OF_MESSAGE)

    def _parse_piece(self, data: bytes) -> None:
        """Parse bytes; refuse those that are no request."""
        if self._phase is _Phase.ANSWERING and self._is_idle():
            # Also for empty lines, which the parser does not report.
            self._expect(_Phase.HEAD, self._limits.header_timeout_s)
            self._table.note_waiting(self)
        self._bytes_without_body += len(data)
        self._read(data)
        if self._is_refused or self.transport.is_closing():
            return
        max_head_bytes = self._limits.max_header_bytes + MAX_REQUEST_LINE_BYTES
        if self._bytes_without_body > max_head_bytes:
            self._refuse(400, 'The head of the request is too large.')
        elif self._unread_bytes > MAX_UNREAD_BYTES:
            self._log_cut('a body after its answer')
            self._close()

    def _read(self, data: bytes) -> None:
        """Parse bytes; read on where a head offers another protocol."""
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._is_refused:
                return
            match error.__context__:
                case _BadHead(status=status) as fault:
                    self._refuse(status, str(fault))
                case _:
                    self._refuse(400, 'Invalid HTTP request received.')
        except httptools.HttpParserUpgrade as stop:
            self._decline_upgrade(data[stop.args[0] :])

    def _decline_upgrade(self, rest: bytes) -> None:
        """Read a request that offers another protocol as one that does not.

        The parser takes what follows its head for the other protocol, which
        a server may ignore (RFC 9110, 7.8): its body is still to come.
        """
        head = [
            b'%b %b HTTP/%b'
            % (
                self.parser.get_method(),
                self.url,
                self.parser.get_http_version().encode(),
            )
        ]
        head.extend(
            name + b': ' + value
            for name, value in self.headers
            if name != b'upgrade'
        )
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._read(b'\r\n'.join(head) + b'\r\n\r\n')
        if rest and not self.transport.is_closing():
            self._read(rest)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are none (RFC 9110, 6.5)."""
        if self._phase is not _Phase.BODY:
            super().on_header(name, value)

    def on_message_begin(self) -> None:
        """Expect the rest of a head soon."""
        if self._is_refused:
            raise _BadHead(400, 'The connection closes.')
        super().on_message_begin()
        self._limits = self.config.limits()
        if self._phase is not _Phase.HEAD:
            self._expect(_Phase.HEAD, self._limits.header_timeout_s)

    def on_headers_complete(self) -> None:
        """Expect a body.

        The application gets the target of the request as it was sent.
        """
        if self.parser.get_method() == b'CONNECT':
            raise _BadHead(400, 'The method is one of proxies.')
        if self.parser.should_upgrade():
            return  # the head is read once more
        self._check_head()
        target = self._read_target()
        super().on_headers_complete()
        self.scope[uris.REQUEST_TARGET] = target
        self._body_left = self._read_content_length()
        self._head_bytes = self._count_head_bytes()
        self._bytes_without_body = 0
        self._body_bytes = 0
        self._unread_bytes = 0
        self._expect(_Phase.BODY, BODY_PERIOD_S)

    def _read_content_length(self) -> int:
        """Return the length that the head announces, 0 for none."""
        for name, value in self.headers:
            if name == b'content-length':
                return int(value)  # the parser takes digits only
        return 0

    def _count_head_bytes(self) -> int:
        """Return about how much memory the present head takes."""
        headers = self.headers or ()
        return self._bytes_without_body + HEADER_OVERHEAD_BYTES * len(headers)

    def _check_head(self) -> None:
        """Refuse a head that may be read in several ways (RFC 9112)."""
        names = [name for name, _ in self.headers]
        if names.count(b'host') > 1:
            raise _BadHead(400, 'The head has several hosts.')
        if b'#' in self.url:
            raise _BadHead(400, 'The target has a fragment.')
        if b'transfer-encoding' in names:
            codings = [
                coding.strip(b' \t').lower()
                for name, value in self.headers
                if name == b'transfer-encoding'
                for coding in value.split(b',')
            ]
            if [coding for coding in codings if coding] != [b'chunked']:
                raise _BadHead(501, 'The transfer coding is unknown.')

    def _refuse(self, status: int, message: str) -> None:
        """Answer with an error, and close the connection.

        Behind a request that is being answered, or was when these bytes
        came, the error might be taken for its answer, so the connection only
        closes.
        """
        self._log_cut(message)
        self._is_refused = True
        if not self._is_idle():
            self.cycle.keep_alive = False
            return
        if self._is_sent_ahead:
            self._close()
            return
        self._write_refusal(status, message)
        self._close()

    def _write_refusal(
        self, status: int, message: str, extra_headers: bytes = b''
    ) -> None:
        """Send an answer that this connection gives by itself."""
        body = message.encode()
        self.transport.write(
            httptools_impl.STATUS_LINE[status]
            + b'content-type: text/plain\r\nconnection: close\r\n'
            + extra_headers
            + b'content-length: %d\r\n\r\n%b' % (len(body), body)
        )

    def _close(self) -> None:
        """Close the connection, also if its client reads nothing more."""
        self.transport.close()
        self._watch_unread()

    def _drop_request(self) -> None:
        """Drop what has arrived of a request; others refer to this object."""
        self._unparsed.clear()
        self.headers = []
        self.scope = None
        if self.cycle is not None:
            self.cycle.body = bytearray()

    def shed(self, reason: str) -> None:
        """Drop what is held for the client, but a request in service.

        A request that is not whole is refused as not run. Where one is being
        answered, those behind it are dropped unread.
        """
        if self.transport.is_closing():
            self.transport.abort()
            self._table.remove(self)
            return
        self._log_cut(reason)
        self._is_refused = True
        self._unparsed.clear()
        is_unread = self._unread_answer_bytes > 0
        if self._has_open_request() and not is_unread:
            self.cycle.keep_alive = False
            self._update_held()
            return
        self._table.remove(self)
        cycle = self.cycle
        has_begun = self._phase is not _Phase.ANSWERING
        if cycle is not None and not cycle.response_complete:
            # Its application must not take the request for a whole one.
            cycle.disconnected = True
            cycle.message_event.set()
            has_begun = has_begun and not cycle.response_started
        # Now, as the connection is lost only after the reads of this turn.
        self._drop_request()
        if is_unread or self.transport.get_write_buffer_size():
            self.transport.abort()
            return
        if has_begun:
            self._write_refusal(
                503,
                f'Not run: this node has {reason}.',
                b'retry-after: %d\r\n' % SHED_RETRY_S,
            )
        self._close()

    def _update_held(self) -> None:
        """Tell the table how much memory this connection takes."""
        held_bytes = len(self._unparsed) + self._unread_answer_bytes
        if self._phase is _Phase.HEAD:
            held_bytes += self._count_head_bytes()
        elif not self._is_idle():
            held_bytes += self._head_bytes + BODY_COPIES * self._body_bytes
        self._table.set_held(self, held_bytes)

    def pause_writing(self) -> None:
        """Wait for the client to read its answer."""
        super().pause_writing()
        self._unread_answer_bytes = self.transport.get_write_buffer_size()
        self._table.note_waiting(self)
        self._watch_unread()
        self._update_held()

    def resume_writing(self) -> None:
        """Go on with an answer, most of which the client has taken."""
        super().resume_writing()
        self._unread_answer_bytes = 0
        self._cancel_unread_timer()
        self._watch_unread()
        if self._has_open_request():
            self._table.note_serving(self)
        self._update_held()

    def _watch_unread(self) -> None:
        """Disconnect a client that takes nothing of its answer.

        Only while nothing can be added to it: writes wait, or are over.
        """
        if not (self.flow.write_paused or self.transport.is_closing()):
            return
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes and self._unread_timer is None:
            self._unread_timer = self.loop.call_later(
                UNREAD_PERIOD_S, self._check_unread, unread_bytes
            )

    def _check_unread(self, unread_bytes_before: int) -> None:
        self._unread_timer = None
        if self.transport.get_write_buffer_size() < unread_bytes_before:
            self._watch_unread()
        else:
            self._log_cut('an unread answer')
            self.transport.abort()

    def _cancel_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _read_target(self) -> bytes:
        """Return the path and query as they were sent.

        The host of a target in absolute form goes before the header
        (RFC 9112, 3.2.2).
        """
        absolute = _ABSOLUTE.match(self.url)
        if absolute is None:
            return self.url
        self.headers[:] = [
            (name, absolute['authority'] if name == b'host' else value)
            for name, value in self.headers
        ]
        target = self.url[absolute.end() :]
        return target if target.startswith(b'/') else b'/' + target

    def on_body(self, body: bytes) -> None:
        """Count a part of a body, and whether an application reads it."""
        super().on_body(body)
        self._bytes_without_body = 0
        self._body_bytes += len(body)
        self._body_left -= len(body)
        if self._is_idle():
            self._unread_bytes += len(body)

    def on_message_complete(self) -> None:
        """Expect nothing until the answer is sent."""
        if self.parser.should_upgrade():
            return
        # Before the application knows that the request is whole: it may be
        # refused as not run.
        self._update_held()
        if self._is_refused:
            return
        super().on_message_complete()
        if self._is_idle():
            self._expect(_Phase.ANSWERING, self._limits.idle_timeout_s)
            return
        self._phase = _Phase.ANSWERING
        self._cancel_timer()
        if not self._unread_answer_bytes:
            self._table.note_serving(self)

    def _is_idle(self) -> bool:
        """Whether no request waits for the end of its answer."""
        return self.cycle is None or self.cycle.response_complete

    def _expect(self, phase: _Phase, within_s: float) -> None:
        """Close the connection later unless it reaches another phase."""
        self._phase = phase
        self._cancel_timer()
        due_at = self.loop.time() + within_s
        self._timer = self.loop.call_at(
            due_at, self._check, due_at, within_s, self._body_bytes
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(
        self, due_at: float, period_s: float, body_bytes_before: int
    ) -> None:
        """Close the connection if too little has arrived in a period.

        Nothing can arrive while this node does not read: it was paused, or
        the application is slow. While an earlier request is answered, the
        head of the next one may take its time.
        """
        may_wait = self._phase is not _Phase.BODY and not self._is_idle()
        was_paused = self.loop.time() - due_at > MAX_LATE_S
        has_body = (
            self._phase is _Phase.BODY
            and self._body_bytes - body_bytes_before >= MIN_BODY_BYTES
        )
        if has_body or may_wait or was_paused or self.flow.read_paused:
            self._expect(self._phase, period_s)
        else:
            if self._phase is not _Phase.ANSWERING:
                self._log_cut(f'a slow {self._phase.value}')
            self._close()

    def _log_cut(self, reason: str) -> None:
        """Log why a connection is closed while a request arrives."""
        logs.log_event('request_cut_off', reason=reason, peer=self.client)

    def _start_asgi_task(self, cycle, app) -> None:
        """Start an answer, which may be the last one of a drain."""
        self._running = cycle
        if self.config.is_draining:
            app = functools.partial(self._announce_close, cycle, app)
        super()._start_asgi_task(cycle, app)

    async def _announce_close(self, cycle, app, scope, receive, send):
        """Say that the connection closes, unless a request waits on it."""

        async def send_message(message) -> None:
            starts = message['type'] == 'http.response.start'
            if starts and not self._has_next_request():
                cycle.keep_alive = False
            await send(message)

        return await app(scope, receive, send_message)

    def on_response_complete(self) -> None:
        """Close the connection after the last answer of a stop."""
        is_last = self.config.is_stopping and not self._has_next_request()
        self.timeout_keep_alive = self._limits.idle_timeout_s
        super().on_response_complete()
        if is_last and not self.transport.is_closing():
            self.transport.close()
        if self._phase is _Phase.ANSWERING and not self._has_open_request():
            self._table.note_waiting(self)
        self._watch_unread()
        self._schedule_parsing()
        self._update_held()

    def _has_next_request(self) -> bool:
        """Whether a request waits behind the one that is being answered."""
        return bool(self.pipeline) or END_OF_MESSAGE in self._unparsed

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, also if its client reads nothing."""
        super().timeout_keep_alive_handler()
        self._watch_unread()

    def shutdown(self) -> None:
        """Close the connection when no request is open or arriving."""
        remaining_s = self._arrived_at + RECENT_S - self.loop.time()
        if self._unparsed:
            remaining_s = RECENT_S
        if (
            self._is_idle()
            and remaining_s > 0
            and not self.transport.is_closing()
        ):
            self.loop.call_later(remaining_s, self.shutdown)
            return
        if self._is_idle() or not self._has_next_request():
            super().shutdown()
        self._watch_unread()


class Listener(uvicorn.Server):
    """An HTTP server within the node, which handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Do not install uvicorn's signal handlers."""
        yield

    async def shutdown(self, sockets: list[socket.socket]) -> None:
        """Stop once what has come by now is accepted and read.

        The kernel would reset connections of the backlog, with the requests
        that they brought; and a connection counts as idle that has a request
        which is not read yet.
        """
        self.config.is_stopping = True
        for listening_socket in sockets:
            await self._accept_backlog(listening_socket)
        for _ in range(TURNS_TO_READ):
            await asyncio.sleep(0)
        await super().shutdown(sockets)

    async def _accept_backlog(self, listening_socket: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                connection, _ = listening_socket.accept()
                await loop.connect_accepted_socket(
                    self._make_protocol, connection
                )
            except BlockingIOError:
                return
            except ConnectionError:
                continue  # the caller has left
            except OSError as error:
                logs.log_event('accept_failed', reason=str(error))
                return

    def _make_protocol(self) -> BoundedProtocol:
        return BoundedProtocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self.server_state.connections)


def open_socket(host: str, port: int, *, send_buffer_bytes: int):
    """Return a listening socket whose connections have small buffers.

    The socket names its protocol, as the event loop turns off Nagle's
    algorithm only then. With it, each answer would wait 40 ms for an ACK.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening_socket = socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
    )
    listening_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listening_socket.bind((host, port))
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket


def make_listener(
    application,
    *,
    limits: collections.abc.Callable[
        [], routetables.CallerLimits
    ] = routetables.CallerLimits,
    table: connectiontable.ConnectionTable | None = None,
) -> Listener:
    """Return a listener that serves an ASGI application.

    `limits` returns what a peer may send at present, and how slowly. All
    listeners of a process share the `table` of connections.
    """
    return Listener(
        _Config(
            application,
            limits=limits,
            table=table or connectiontable.ConnectionTable(),
            http=BoundedProtocol,
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            server_header=False,
            timeout_graceful_shutdown=None,
        )
    )


async def run_listener(listener: Listener, listening_socket) -> None:
    """Serve until the listener is stopped and its requests are finished."""
    await listener.serve(sockets=[listening_socket])


def drain_listener(listener: Listener) -> None:
    """Close each connection after the answers to its present requests."""
    listener.config.is_draining = True


def stop_listener(listener: Listener) -> None:
    """Stop accepting connections; open requests are still finished."""
    listener.should_exit = True


async def wait_for_listeners(
    tasks: list[asyncio.Task], seconds: float
) -> None:
    """Wait up to `seconds` for listeners to finish."""
    if tasks:
        await asyncio.wait(tasks, timeout=max(0.0, seconds))
