"""Requests and answers in the terms of the gateway, and how they travel."""

import dataclasses
import typing

from apricotthread.control import routetables
from apricotthread.endpoints import connections

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """What a caller says about its request, besides the body."""

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: Headers
    key: str
    time_left_s: float | None
    last_event_id: int
    model: str
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutedRequest:
    """A request that was matched to a route, and is to be forwarded."""

    caller: CallerRequest
    body: bytes
    route: routetables.Route
    service: routetables.Service
    account: str
    deadline: float
    received_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """What an endpoint's answer says about itself.

    `not_run` is the endpoint's word that it never ran the request.
    `running` is None where the endpoint does not tell its load.
    """

    request_id: str
    is_sealed: bool
    not_run: bool
    endpoint_id: str
    running: int | None = None
    waiting: int = 0
    at_fault: str = ''


class Dialect(typing.Protocol):
    """How requests and answers are written on the wire."""

    def parse_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Return what a caller's head says.

        Raises ApricotError with code BAD_REQUEST.
        """

    def build_request(
        self,
        request: RoutedRequest,
        *,
        address: str,
        endpoint_id: str,
        time_left_s: float,
        last_event_id: int,
    ) -> bytes:
        """Return the bytes of a whole request for an endpoint."""

    def parse_answer(self, answer: connections.Answer) -> AnswerMetadata:
        """Return what an endpoint's answer says about itself."""

    def answer_headers(self, answer: connections.Answer) -> Headers:
        """Return the headers of an answer that go on to the caller."""
