"""The requests of callers as routing sees them."""

import dataclasses

PROMPT_BYTES_PER_TOKEN = 3  # an estimate on the safe side


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """What every request has; the deadline is a monotonic time."""

    request_id: str
    account: str
    service: str
    kind: str
    cost: float
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall(Call):
    """A request to a model service; it may always be repeated.

    The offset counts the tokens that the caller already has.
    """

    prompt: str
    max_tokens: int
    offset: int = 0
    priority: int = 0

    @property
    def max_size(self) -> int:
        """The tokens that the request may grow to in an engine."""
        prompt_bytes = len(self.prompt.encode())
        return prompt_bytes // PROMPT_BYTES_PER_TOKEN + 1 + self.max_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainCall(Call):
    """A request to a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    idempotency_key: str = ''

    @property
    def max_size(self) -> int:
        """The bytes that the request holds in the service."""
        return len(self.body) + 1


AnyCall = ModelCall | PlainCall
