"""JSON bodies of requests to model services and of their answers."""

import typing

import msgspec

from apricotthread.base import decoding
from apricotthread.base import documents
from apricotthread.base import errors

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 65536


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /v1/completions; other fields are ignored."""

    model: str
    prompt: str
    max_tokens: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_MAX_TOKENS)
    ] = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of POST /v1/chat/completions; other fields are ignored."""

    model: str
    messages: typing.Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_MAX_TOKENS)
    ] = DEFAULT_MAX_TOKENS
    stream: bool = False

    @property
    def prompt(self) -> str:
        """The chat as one prompt, with a line for each message."""
        lines = [f'{m.role}: {m.content}\n' for m in self.messages]
        return ''.join([*lines, 'assistant: '])


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a chat answer."""

    content: str


class Choice(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The only choice of an answer.

    A completion has a text, a whole chat answer a message, an event of a
    streamed chat answer a delta.
    """

    finish_reason: str | None
    text: str | None = None
    message: ChatMessage | None = None
    delta: Delta | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """The number of generated tokens."""

    completion_tokens: int


class AnswerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer, or one event of a stream."""

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every refusal and failure.

    `ran` says whether the request may have run.
    """

    code: str
    message: str
    ran: str
    request_id: str


_CHAT_READER = documents.DocumentReader(document_type=ChatBody)
_COMPLETION_READER = documents.DocumentReader(document_type=CompletionBody)


def parse_body(body: bytes, *, chat: bool) -> CompletionBody | ChatBody:
    """Parse the body of a request; raises ApricotError BAD_REQUEST."""
    try:
        return (_CHAT_READER if chat else _COMPLETION_READER).read(body)
    except decoding.DECODE_ERRORS as error:
        raise errors.ApricotError(
            code=errors.ErrorCode.BAD_REQUEST, message=f'body: {error}'
        ) from error


def make_choice(*, chat: bool, stream: bool, text: str, finish: str) -> Choice:
    """Return the choice for a text, in the form that the API requires."""
    reason = finish or None
    if not chat:
        return Choice(text=text, finish_reason=reason)
    if stream:
        return Choice(delta=Delta(content=text), finish_reason=reason)
    return Choice(
        message=ChatMessage(role='assistant', content=text),
        finish_reason=reason,
    )
