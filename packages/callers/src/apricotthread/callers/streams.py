"""Answers sent as server-sent events, no faster than they are read."""

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
COALESCE_S = 0.02  # a third of the 61 ms that tokens may be apart
DONE_EVENT = b'data: [DONE]\n\n'


class EventStream:
    """Sends one answer to one caller.

    The id of each event is the request id and the offset after it, so
    that the usual Last-Event-ID takes a broken stream up again.
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
        """Send the answer; raises ConnectionError if the caller leaves."""
        watch = asyncio.create_task(self._watch(receive))
        try:
            await self._send_all(send)
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch

    async def _watch(self, receive) -> None:
        """End the answer when the caller leaves; sending then stops."""
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
        sent_at = float('-inf')
        try:
            while True:
                early_s = sent_at + COALESCE_S - self._timer.now()
                if early_s > 0:
                    await self._timer.sleep(early_s)
                piece = await self._buffer.read()
                if piece is None:
                    break
                sent_at = self._timer.now()
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
    """Return the body that tells a caller of an error."""
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
