"""Choice of the endpoint or entry that runs a request."""

import collections.abc
import dataclasses
import statistics

# Penalties for distance, as utilisation that is added to the score.
SAME_NODE_PENALTY = 0.0
SAME_DATA_CENTRE_PENALTY = 0.15
OTHER_DATA_CENTRE_PENALTY = 0.35
PREFIX_BONUS = 0.3  # utilisation that a cached prefix is worth
MIN_SPEED_FACTOR = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An endpoint of this entry, or another entry, that may run a request.

    The counts are request slots: how many are free, how many there are
    in all, and how many requests wait for one.
    """

    node_id: str
    endpoint_id: str
    free: int
    limit: int
    distance_penalty: float
    seconds_per_token: float = 0.0
    has_prefix: bool = False
    waiting: int = 0

    @property
    def load(self) -> float:
        """The requests running and waiting, per request slot."""
        return (self.limit - self.free + self.waiting) / max(1, self.limit)


def choose_candidate(
    candidates: collections.abc.Sequence[Candidate],
) -> Candidate | None:
    """Return the best candidate with a free slot, None if there is none.

    The least utilised one wins; distance adds to the utilisation. The
    limit of a straggler is scaled down by its speed relative to the
    median. A cached prefix is worth a bounded amount of utilisation.
    """
    measured = [c.seconds_per_token for c in candidates if c.seconds_per_token]
    median = statistics.median(measured) if measured else 0.0
    best = None
    best_score = float('inf')
    for candidate in candidates:
        score = score_candidate(candidate, median)
        if score < best_score:
            best = candidate
            best_score = score
    return best


def score_candidate(candidate: Candidate, median: float) -> float:
    """Return a candidate's adjusted utilisation; the lowest one wins."""
    factor = speed_factor(candidate.seconds_per_token, median)
    limit = max(1.0, candidate.limit * factor)
    used = candidate.limit - candidate.free
    if candidate.free <= 0 or used >= limit:
        return float('inf')
    bonus = PREFIX_BONUS if candidate.has_prefix else 0.0
    return used / limit + candidate.distance_penalty - bonus


def speed_factor(seconds_per_token: float, median: float) -> float:
    """Return the share of its limit that an endpoint of this speed gets."""
    if not seconds_per_token or not median:
        return 1.0
    return max(MIN_SPEED_FACTOR, min(1.0, median / seconds_per_token))
