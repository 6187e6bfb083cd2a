"""The choice among places that could run a request."""

import collections.abc
import dataclasses
import statistics

SAME_NODE_PENALTY = 0.0
SAME_DATA_CENTRE_PENALTY = 0.15
OTHER_DATA_CENTRE_PENALTY = 0.35
PREFIX_BONUS = 0.3  # utilisation that a cached prefix is worth
MIN_SPEED_FACTOR = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """Where a request could run: an own endpoint or another entry."""

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
        """The requests held and waiting for each place."""
        return (self.limit - self.free + self.waiting) / max(1, self.limit)


def choose_candidate(
    candidates: collections.abc.Sequence[Candidate],
) -> Candidate | None:
    """Return the best place with room, None if there is none.

    The least utilised counts, nearer ones preferred. A straggler's room
    is scaled down by its speed against the median of its peers. A cached
    prefix is worth a bounded amount of utilisation.
    """
    known = [p.seconds_per_token for p in candidates if p.seconds_per_token]
    median = statistics.median(known) if known else 0.0
    best = None
    best_score = float('inf')
    for candidate in candidates:
        score = score_candidate(candidate, median)
        if score < best_score:
            best = candidate
            best_score = score
    return best


def score_candidate(candidate: Candidate, median: float) -> float:
    """Return the utilisation of a place as it counts; lower is better."""
    factor = speed_factor(candidate.seconds_per_token, median)
    limit = max(1.0, candidate.limit * factor)
    used = candidate.limit - candidate.free
    if candidate.free <= 0 or used >= limit:
        return float('inf')
    bonus = PREFIX_BONUS if candidate.has_prefix else 0.0
    return used / limit + candidate.distance_penalty - bonus


def speed_factor(seconds_per_token: float, median: float) -> float:
    """Return the share of its limit that a straggler gets."""
    if not seconds_per_token or not median:
        return 1.0
    return max(MIN_SPEED_FACTOR, min(1.0, median / seconds_per_token))
