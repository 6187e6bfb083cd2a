"""The load that an endpoint can bear while it warms up."""

OVERLOAD_CUT = 0.5


class Ramp:
    """A limit that starts at what a cold endpoint bears.

    Each completed request raises the limit by one, so it doubles with
    every full round, up to the endpoint's own limit. A sign of overload
    halves it; a fresh cold start drops it at once.
    """

    def __init__(self, *, limit: int, bear: int, cold: bool) -> None:
        self._maximum = limit
        self._bear = max(1, min(bear, limit))
        self._limit = float(self._bear if cold else limit)
        self._was_cold = cold

    @property
    def limit(self) -> int:
        """The requests that the endpoint may hold now."""
        return int(self._limit)

    def update(self, *, limit: int, bear: int, cold: bool) -> None:
        """Take over what the endpoint announced."""
        self._maximum = limit
        self._bear = max(1, min(bear, limit))
        if cold and not self._was_cold:
            self._limit = float(self._bear)
        self._was_cold = cold
        self._limit = max(1.0, min(self._limit, float(limit)))

    def restart(self) -> None:
        """Drop to what a cold endpoint bears."""
        self._limit = float(self._bear)

    def on_completed(self) -> None:
        """Raise the limit after a whole answer."""
        self._limit = min(float(self._maximum), self._limit + 1)

    def on_overloaded(self) -> None:
        """Lower the limit after a sign of overload."""
        lowered = self._limit * OVERLOAD_CUT
        self._limit = max(float(min(self._bear, self._maximum)), lowered)
