"""Reads the answers of endpoints by RFC 9110 and RFC 9112.

What is no answer by these fails at once, and nothing of it is passed on: a
status outside 200 to 599, a switch of protocols, an interim answer with a
body, two lengths that differ, a transfer coding that was not asked for.
"""

import collections
import dataclasses

import httptools

from apricotthread.base import numbers
from apricotthread.base import units

# What an endpoint may send without a byte of a body: heads, trailers, or the
# framing of a body.
MAX_HEAD_BYTES = 64 * units.KIB
MAX_IDLE_S = 600.0
# Only these are passed on; RFC 9110 (15) defines no others.
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
# Never followed by a body, whatever length their heads have (RFC 9112, 6.3).
BODILESS_STATUSES = frozenset({204, 304})
TRANSFER_ENCODING = b'transfer-encoding'
FRAMING_HEADERS = frozenset({b'content-length', TRANSFER_ENCODING})
# The only transfer coding that may be sent without a TE header.
CHUNKED = [b'chunked']


@dataclasses.dataclass(kw_only=True)
class Answer:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> str:
        """Return the first value of a header, empty if it is missing."""
        for header, value in self.headers:
            if header == name:
                return value.decode('latin-1')
        return ''

    def get_list(self, name: bytes) -> str:
        """Return all values of a header that is a list (RFC 9110, 5.3)."""
        values = [value for header, value in self.headers if header == name]
        return b','.join(values).decode('latin-1')


class AnswerReader:
    """Reads one answer from the bytes of a connection.

    `failure` says why the bytes are no answer, and is empty while they may be
    one. A complete answer stays complete if more bytes follow it; they belong
    to no request.
    """

    def __init__(self, *, expects_body: bool = True) -> None:
        self._expects_body = expects_body
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: collections.deque[bytes] = collections.deque()
        self._bytes_without_body = 0
        self.answer: Answer | None = None
        self.failure = ''
        self.is_complete = False
        # Whether the answer has neither a length nor chunks.
        self.ends_with_connection = False
        self.may_keep_connection = True
        self.buffered_bytes = 0
        # How long the endpoint keeps an idle connection, None if it does not
        # say.
        self.idle_limit_s: float | None = None

    def feed(self, data: bytes) -> None:
        """Read the next bytes."""
        self._bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'not an HTTP answer: {type(error).__name__}')
        except httptools.HttpParserUpgrade:
            self._fail('a switch of protocols')
        if self._bytes_without_body > MAX_HEAD_BYTES:
            self._fail('a head without end')

    def end(self) -> None:
        """Complete an answer that ends with its connection."""
        if (
            self.answer is not None
            and self.ends_with_connection
            and not self.failure
        ):
            self.is_complete = True
            self.may_keep_connection = False

    def take_body(self) -> bytes:
        """Return what has been read of the body since the last call."""
        data = (
            self._chunks.popleft()
            if len(self._chunks) == 1
            else b''.join(self._chunks)
        )
        self._chunks.clear()
        self.buffered_bytes = 0
        return data

    def _fail(self, reason: str) -> None:
        self.failure = self.failure or reason
        self.may_keep_connection = False

    @property
    def _is_over(self) -> bool:
        """Whether what follows belongs to no answer."""
        return self.is_complete or bool(self.failure)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Refuse a second answer that follows in the same bytes."""
        if self.is_complete:
            self._fail('a second answer')
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are none (RFC 9110, 6.5)."""
        if self.answer is None and not self.failure:
            # The parser leaves the white space after a value.
            self._headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Store the head, how the answer ends and the idle timeout."""
        if self._is_over:
            return
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES and status != SWITCHING_PROTOCOLS:
            return
        if status not in FINAL_STATUSES:
            self._fail(f'the status {status:03} of no answer')
            return
        names = {name for name, _ in self._headers}
        if TRANSFER_ENCODING in names and self._read_codings() != CHUNKED:
            self._fail('an unknown transfer coding')
            return
        self.answer = Answer(status=status, headers=self._headers)
        if not self._parser.should_keep_alive():
            self.may_keep_connection = False
        if not self._expects_body or status in BODILESS_STATUSES:
            # The parser takes a length in the head for that of a body.
            self.may_keep_connection = False
            self.is_complete = True
        else:
            self.ends_with_connection = names.isdisjoint(FRAMING_HEADERS)
        if b'keep-alive' in names:
            self._read_idle_limit()

    def _read_codings(self) -> list[bytes]:
        """Return the transfer codings, without empty elements."""
        values = [
            value.split(b',')
            for name, value in self._headers
            if name == TRANSFER_ENCODING
        ]
        codings = [coding.strip(b' \t').lower() for coding in sum(values, [])]
        return [coding for coding in codings if coding]

    def _read_idle_limit(self) -> None:
        for part in self.answer.get_list(b'keep-alive').split(','):
            key, _, value = part.strip().partition('=')
            if key == 'timeout':
                limit_s = numbers.parse_clamped(value, maximum=MAX_IDLE_S)
                if limit_s is not None:
                    self.idle_limit_s = limit_s

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body."""
        if self.answer is None:
            self._fail('an interim answer with a body')
        if not self._is_over:
            self._chunks.append(body)
            self.buffered_bytes += len(body)
            self._bytes_without_body = 0

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self.answer is not None and not self.failure:
            self.is_complete = True
