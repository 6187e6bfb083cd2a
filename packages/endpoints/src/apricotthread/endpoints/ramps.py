"""Request limits that grow while a cold endpoint warms up."""

OVERLOAD_FACTOR = 0.5  # a refusal multiplies the limit by this


class Ramp:
    """The request limit of one endpoint, raised as the endpoint warms up.

    While the endpoint announces that it is cold, the limit is the number
    of requests it accepts when cold. After that each completed request
    raises the limit by one, up to the endpoint's own limit, so the limit
    doubles each time that as many requests complete as it allows. A
    refusal halves the limit, but not below the cold limit. An announced
    or suspected cold start lowers it to the cold limit at once.
    """

    def __init__(self, *, limit: int, cold_limit: int, cold: bool) -> None:
        self._max_limit = max(1, limit)
        self._cold_limit = max(1, min(cold_limit, limit))
        self._is_cold = cold
        self._limit = float(self._cold_limit if cold else self._max_limit)

    @property
    def limit(self) -> int:
        """The number of requests that the endpoint may have open now."""
        return int(self._limit)

    def update(self, *, limit: int, cold_limit: int, cold: bool) -> None:
        """Apply the limits and the cold state from an announcement."""
        self._max_limit = max(1, limit)
        self._cold_limit = max(1, min(cold_limit, limit))
        self._is_cold = cold
        if cold:
            self._limit = float(self._cold_limit)
        self._limit = max(1.0, min(self._limit, float(self._max_limit)))

    def restart(self) -> None:
        """Lower the limit to the cold limit."""
        self._limit = min(self._limit, float(self._cold_limit))

    def on_completed(self) -> None:
        """Raise the limit after a complete answer, unless it is cold."""
        if not self._is_cold:
            self._limit = min(float(self._max_limit), self._limit + 1)

    def on_overloaded(self) -> None:
        """Lower the limit after a refusal."""
        lowered = max(float(self._cold_limit), self._limit * OVERLOAD_FACTOR)
        self._limit = min(self._limit, lowered)
