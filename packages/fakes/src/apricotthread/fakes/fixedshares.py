"""A share of all entries' bounds that is never lost."""


class FixedShare:
    """The share of one of so many entries, without a lease."""

    def __init__(self, *, entries: int = 1) -> None:
        self.entries = entries

    def fraction(self, window_s: float) -> float:
        """Return the share of a bound, whatever its window."""
        return 1 / self.entries
