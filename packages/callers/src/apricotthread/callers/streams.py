"""Sends answers to callers as server-sent events.

An answer is read from its buffer no faster than the caller reads it.
"""

import asyncio
import codecs
import contextlib

import msgspec

from apricotthread.base import errors
from apricotthread.base import timers
from apricotthread.callers import bodies
from apricotthread.routing import buffers

EVENT_HEADERS = (
    (b'content-type', b'text/event-stream; charset=utf-8'),
    (b'cache-control', b'no-store'),
)
# Tokens within this time go into one event. It is a third of the 61 ms that
# may lie between two tokens.
COALESCE_S = 0.02
DONE_EVENT = b'data: [DONE]\n\n'


class EventStream:
    """Sends one answer to one caller.

    The id of each event is REQUEST_ID:OFFSET, with the offset in tokens
    after the event, so that a client can resume a broken stream with the
    standard header Last-Event-ID.
    """

    def __init__(
        self,
        *,
        timer: timers.TimerService,
        request_id: str,
        service: str,
        chat: bool,
        buffer: buffers.AnswerBuffer,
    ) -> None:
        self._timer = timer
        self._request_id = request_id
        self._service = service
        self._chat = chat
        self._buffer = buffer
        self.sent_tokens = 0

    async def run(self, receive, send) -> None:
        """Send the answer.

        Raises ConnectionError if the caller disconnects, and
        ApricotError if the answer fails.
        """
        watcher = asyncio.create_task(self._watch_for_disconnect(receive))
        try:
            await self._send_all(send)
        finally:
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher

    async def _watch_for_disconnect(self, receive) -> None:
        """Abort the buffer when the caller disconnects, to stop sending."""
        await _wait_for_disconnect(receive)
        self._buffer.abort(ConnectionError('the caller has left'))

    async def _send_all(self, send) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    *EVENT_HEADERS,
                    (b'request-id', self._request_id.encode()),
                ],
            }
        )
        decoder = codecs.getincrementaldecoder('utf-8')('replace')
        last_sent_at = float('-inf')
        try:
            while True:
                wait_s = last_sent_at + COALESCE_S - self._timer.now()
                if wait_s > 0:
                    await self._timer.sleep(wait_s)
                piece = await self._buffer.read()
                if piece is None:
                    break
                last_sent_at = self._timer.now()
                self.sent_tokens += piece.tokens
                text = decoder.decode(piece.data)
                await _send_body(send, self._make_event(piece, text))
        except errors.ApricotError as error:
            await _send_body(send, self._make_error_event(error), last=True)
            raise
        await _send_body(send, DONE_EVENT, last=True)

    def _make_event(self, piece, text: str) -> bytes:
        offset = piece.offset + piece.tokens
        answer = bodies.AnswerBody(
            id=self._request_id,
            object=(
                'chat.completion.chunk' if self._chat else 'text_completion'
            ),
            model=self._service,
            choices=[
                bodies.make_choice(
                    chat=self._chat,
                    stream=True,
                    text=text,
                    finish=piece.finish,
                )
            ],
        )
        return b'id: %s:%d\ndata: %s\n\n' % (
            self._request_id.encode(),
            offset,
            msgspec.json.encode(answer),
        )

    def _make_error_event(self, error: errors.ApricotError) -> bytes:
        refusal = make_refusal(error, self._request_id)
        return b'event: error\ndata: %s\n\n' % msgspec.json.encode(refusal)


def make_refusal(
    error: errors.ApricotError, request_id: str
) -> bodies.RefusalBody:
    """Return the body of an error answer to a caller."""
    return bodies.RefusalBody(
        code=error.code.label,
        message=error.message,
        ran=error.ran.value,
        request_id=request_id,
    )


async def _send_body(send, data: bytes, *, last: bool = False) -> None:
    await send(
        {'type': 'http.response.body', 'body': data, 'more_body': not last}
    )


async def _wait_for_disconnect(receive) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
