"""Types for requests and answers, and the interface of wire formats."""

import dataclasses
import typing

from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.gateway import placement

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """The parsed head of a caller's request.

    `target` is the path with the query, as sent. `key` is the API key.
    `time_left_s` is None if the caller sets no limit. `last_event_id` is
    None unless the caller resumes a stream after that event. `output_tokens`
    is the most tokens that the answer may have. `shared_parts` are the ids
    of the parts of the prompt that other requests may have as well, in order.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: Headers
    key: str
    time_left_s: float | None
    last_event_id: int | None
    model: str
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutedRequest:
    """A request with the route and the service that were found for it.

    `account` is the name of the client account, empty on a public route.
    `deadline` and `received_at` are times of the timer, in seconds.
    `can_be_on_time` is false if the caller has been asking for longer than
    the target of the route already.
    """

    caller: CallerRequest
    body: bytes
    route: routetables.Route
    service: routetables.Service
    account: str
    deadline: float
    received_at: float
    can_be_on_time: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointLoad:
    """How many requests an endpoint runs, and how many wait there."""

    running: int
    waiting: int

    @property
    def total(self) -> int:
        """The number of requests at the endpoint."""
        return self.running + self.waiting


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """What the head of an endpoint's answer says about the answer.

    `is_sealed` says whether the answer carries a signature, `not_run`
    whether the endpoint states that it never ran the request. `load` is None
    if the endpoint does not report its load, or, with `is_load_odd`, what is
    no load. `at_fault` is the server that
    the answer names as the one at fault, if any. `limit_per_s` is how many
    requests a second the endpoint takes from all entries together, None if it
    names no limit; `is_limit_odd` means that it names one that is no number
    above 0, or several. `is_leaving` says that the endpoint is about to end,
    `busy_s` for how long it wants no more requests of this entry; with
    `is_standing_odd` it says one of these in a way that means nothing.
    """

    request_id: str
    is_sealed: bool
    not_run: bool
    endpoint_id: str
    load: EndpointLoad | None = None
    is_load_odd: bool = False
    at_fault: str = ''
    limit_per_s: float | None = None
    is_limit_odd: bool = False
    is_leaving: bool = False
    busy_s: float | None = None
    is_standing_odd: bool = False


class Dialect(typing.Protocol):
    """Parses and builds the HTTP messages of one platform."""

    def parse_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Parse the head of a caller's request.

        Raises ApricotError with code BAD_REQUEST.
        """

    def build_request(
        self,
        request: RoutedRequest,
        *,
        address: str,
        endpoint_id: str,
        time_left_s: float,
        last_event_id: int | None,
        urgency: placement.Urgency,
    ) -> bytes:
        """Return the bytes of a request to an endpoint, head and body."""

    def parse_answer(self, answer: answerreader.Answer) -> AnswerMetadata:
        """Parse the metadata in the head of an endpoint's answer."""

    def answer_headers(self, answer: answerreader.Answer) -> Headers:
        """Return the headers of an answer to pass on to the caller."""
