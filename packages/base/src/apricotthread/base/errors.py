"""Error codes, and the exception that carries them."""

import enum


class Ran(enum.Enum):
    """Whether a refused or failed request was run by an endpoint."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorCode(enum.Enum):
    """Kinds of errors; each has a stable label and an HTTP status."""

    BAD_REQUEST = ('bad_request', 400)
    UNAUTHORIZED = ('unauthorized', 401)
    UNKNOWN_SERVICE = ('unknown_service', 404)
    UNKNOWN_ROW = ('unknown_row', 404)
    UNKNOWN_PART = ('unknown_part', 404)
    BODY_TOO_LARGE = ('body_too_large', 413)
    CONFLICT = ('conflict', 409)
    KEY_REUSED = ('idempotency_key_reused', 422)
    KEY_TOO_OLD = ('idempotency_key_too_old', 410)
    ACCOUNT_LIMIT = ('account_limit', 429)
    OVERLOADED = ('overloaded', 503)
    NO_CAPACITY = ('no_capacity', 503)
    QUARANTINED = ('prompt_quarantined', 503)
    NO_QUORUM = ('no_quorum', 503)
    NO_TABLE = ('no_table', 503)
    NOT_LEADER = ('not_leader', 503)
    DRAINING = ('draining', 503)
    TAKEN_OUT = ('data_centre_taken_out', 503)
    DEADLINE = ('deadline_exceeded', 504)
    GROUP_NOT_WHOLE = ('group_not_whole', 503)
    ENDPOINT_FAILED = ('endpoint_failed', 502)
    OUTCOME_UNKNOWN = ('outcome_unknown', 502)
    PEER_UNREACHABLE = ('peer_unreachable', 503)
    PROTOCOL = ('protocol_error', 400)
    STORAGE = ('storage_error', 503)
    DAMAGED = ('data_folder_damaged', 500)
    SETTINGS = ('bad_settings', 400)
    TABLE = ('bad_table', 400)

    def __init__(self, label: str, http_status: int) -> None:
        self.label = label
        self.http_status = http_status


CODE_BY_LABEL = {code.label: code for code in ErrorCode}


class ApricotError(Exception):
    """An error with a code, a message, and whether the request was run.

    `retry_after_s` tells the caller when to try again, None for no advice.
    """

    def __init__(
        self,
        *,
        code: ErrorCode,
        message: str,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.ran = ran
        self.retry_after_s = retry_after_s
