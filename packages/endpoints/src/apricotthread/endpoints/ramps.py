"""The load that an endpoint can bear while it warms up."""

OVERLOAD_FACTOR = 0.5


class Ramp:
    """A limit that starts at what a cold endpoint bears.

    While the endpoint says that it is cold, the limit is what it says
    that it bears. From then on each completed request raises the limit
    by one, so it doubles with every full round, up to the endpoint's
    own limit. A refusal halves it. A cold start, announced or suspected,
    drops it at once.
    """

    def __init__(self, *, limit: int, cold_limit: int, cold: bool) -> None:
        self._max_limit = max(1, limit)
        self._cold_limit = max(1, min(cold_limit, limit))
        self._is_cold = cold
        self._limit = float(self._cold_limit if cold else self._max_limit)

    @property
    def limit(self) -> int:
        """The requests that the endpoint may hold now."""
        return int(self._limit)

    def update(self, *, limit: int, cold_limit: int, cold: bool) -> None:
        """Take over what the endpoint announced."""
        self._max_limit = max(1, limit)
        self._cold_limit = max(1, min(cold_limit, limit))
        self._is_cold = cold
        if cold:
            self._limit = float(self._cold_limit)
        self._limit = max(1.0, min(self._limit, float(self._max_limit)))

    def restart(self) -> None:
        """Drop to what a cold endpoint bears."""
        self._limit = min(self._limit, float(self._cold_limit))

    def on_completed(self) -> None:
        """Raise the limit after a whole answer of a warm endpoint."""
        if not self._is_cold:
            self._limit = min(float(self._max_limit), self._limit + 1)

    def on_overloaded(self) -> None:
        """Lower the limit after a refusal."""
        lowered = max(float(self._cold_limit), self._limit * OVERLOAD_FACTOR)
        self._limit = min(self._limit, lowered)
