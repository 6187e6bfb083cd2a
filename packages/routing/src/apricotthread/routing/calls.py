"""The request types that the routing code handles."""

import dataclasses

PROMPT_BYTES_PER_TOKEN = 3  # low estimate, to overstate token counts


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """The fields that all requests have.

    The deadline is a time of the monotonic clock in seconds. The cost is
    what the request counts for in fair queueing.
    """

    request_id: str
    account: str
    service: str
    kind: str
    cost: float
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall(Call):
    """A request to a model service, which is always safe to repeat.

    The offset is the number of tokens that the caller already has.
    """

    prompt: str
    max_tokens: int
    offset: int = 0
    priority: int = 0

    @property
    def max_size(self) -> int:
        """The most tokens that prompt and answer may take in an engine."""
        prompt_bytes = len(self.prompt.encode())
        return prompt_bytes // PROMPT_BYTES_PER_TOKEN + 1 + self.max_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainCall(Call):
    """A request to a plain HTTP service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    idempotency_key: str = ''

    @property
    def max_size(self) -> int:
        """The bytes that the request takes up in the service."""
        return len(self.body) + 1


AnyCall = ModelCall | PlainCall
