"""Chooses the replica for a request, or refuses the request.

Replicas of a model are compared by the predicted times to the first and
to the last event. The prediction uses the engine's profile and the load
that the entry estimates. The functions here do no I/O and do not wait.
"""

import collections.abc
import dataclasses
import enum

from apricotthread.base import units
from apricotthread.control import routetables
from apricotthread.fleet import view

# Added to the score of a replica in another data centre, as traffic between
# data centres has a cost.
FAR_PENALTY_S = 0.02
# The share of a caller's patience that the predicted time may use: an answer
# that starts later is wasted.
PATIENCE_SHARE = 0.85
# The share of it that a request may wait behind punctual ones. Their number
# is not known in advance, so the prediction is less certain.
DEFERRED_SHARE = 0.5
# Added to the score of a replica that may have failed, in seconds.
SUSPECT_PENALTY_S = 1.7
# By the platform's protocol, callers come back up to a third of the time they
# have left after a refusal, and mostly once. Late in that time it is most
# likely that a lost group serves again, or that a burst has passed.
RETRY_AFTER_SHARE = 0.3
# A caller is told to return after at least this share of that time, so that
# callers refused together do not return together.
MIN_RETRY_SHARE = 0.5
# The share of the target that the predicted time may use. The rest is for
# the network, and for load that the entry does not know of.
TARGET_SHARE = 0.85


class Urgency(enum.Enum):
    """How soon an endpoint should start a request, against its others.

    An answer that was begun goes on first. One that is late already comes
    after all that may still be on time.
    """

    RESUMED = 'resumed'
    PUNCTUAL = 'punctual'
    DEFERRED = 'deferred'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A replica with the values that placement compares.

    `load` is the number of its requests, and `deferred_load` how many of them
    wait behind punctual ones. `is_near` means that it is in the entry's own
    data centre, `is_suspect` that it is ejected, has stalled or is silent.
    `cold_allowance` is how many more requests it may get now. `slowness` is
    the factor by which it is slower than its peers, at least 1.
    `held_s` is for how long it refuses requests, 0 if it does not.
    `permits` is how many more requests this entry may send to an endpoint
    that names a limit, None if it names none.
    """

    replica: view.Replica
    load: float
    deferred_load: float = 0.0
    is_near: bool
    cold_allowance: int
    is_suspect: bool
    slowness: float = 1.0
    permits: int | None = None
    held_s: float = 0.0

    @property
    def is_at_limit(self) -> bool:
        """Whether it names a limit and this entry may send nothing more."""
        return self.permits is not None and self.permits <= 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen replica, and the predicted times that it was chosen by."""

    candidate: Candidate
    first_event_s: float
    total_s: float
    urgency: Urgency = Urgency.PUNCTUAL


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why no replica gets a request, and when the caller may retry.

    `limited_ids` are the endpoints that are left out as they are at the limit
    that they name. `held_s` is after how many seconds the first of those may
    be asked again that refuse requests, None if none is left out for that.
    """

    reason: str
    retry_after_s: float
    limited_ids: tuple[str, ...] = ()
    held_s: float | None = None


def predict_latency(
    *,
    engine: routetables.EngineProfile,
    model: routetables.ModelProfile,
    load: float,
    prompt_tokens: int,
    output_tokens: int,
) -> tuple[float, float]:
    """Predict the seconds to the first and to the last event of an answer.

    `load` is the number of requests that the group already has.
    """
    batch = min(engine.slots, load + 1)
    step_s = model.pace * (
        engine.step_s
        + engine.step_s_per_sequence * batch
        + engine.step_s_per_context_token * batch * prompt_tokens
    )
    prefill_s = model.pace * prompt_tokens / engine.prefill_tokens_per_s
    decode_s = output_tokens * step_s
    event_interval_s = engine.steps_per_event * step_s
    queued = load + 1 - engine.slots
    wait_s = 0.0
    if queued > 0:
        wait_s = queued * (decode_s + prefill_s) / engine.slots
    first_s = wait_s + prefill_s + 1.5 * event_interval_s
    return first_s, wait_s + prefill_s + decode_s


def place_on_engine(
    candidates: collections.abc.Iterable[Candidate],
    *,
    engine: routetables.EngineProfile,
    model: routetables.ModelProfile,
    prompt_tokens: int,
    output_tokens: int,
    time_left_s: float,
    target_s: float,
    patience_s: float,
    can_be_on_time: bool,
    draw: float,
) -> Choice | Refusal:
    """Return the replica with the best predicted times, or a refusal.

    The expected load is many streams on few groups, some without a free
    slot. In overload a queue would make every answer late without serving
    more of them, so a request that would start late is refused at once. A
    caller that returns is late already: it may wait, but endpoints start its
    request only after all that may still be on time.

    `draw` is a uniform random number from 0 to 1 that spreads the times at
    which refused callers return.
    """
    best = None
    best_score = 0.0
    has_no_group = True
    limited_ids = []
    holds_s = []
    for candidate in candidates:
        has_no_group = False
        if candidate.cold_allowance <= 0:
            continue
        if candidate.held_s > 0:
            holds_s.append(candidate.held_s)
            continue
        if candidate.is_at_limit:
            limited_ids.append(candidate.replica.endpoint_id)
            continue
        first_s, total_s = predict_latency(
            engine=engine,
            model=model,
            load=candidate.load
            - (candidate.deferred_load if can_be_on_time else 0.0),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        first_s *= candidate.slowness
        total_s *= candidate.slowness
        score = 3 * first_s + total_s
        if not candidate.is_near:
            score += FAR_PENALTY_S
        if candidate.is_suspect:
            score += SUSPECT_PENALTY_S
        if best is None or score < best_score:
            best_score = score
            best = Choice(
                candidate=candidate, first_event_s=first_s, total_s=total_s
            )
    if best is None:
        reason = 'every group is cold'
        if has_no_group:
            reason = 'no group is open'
        elif limited_ids:
            reason = 'every group is at its limit'
        elif holds_s:
            reason = 'every group is busy or refuses requests'
        return Refusal(
            reason=reason,
            retry_after_s=_retry_after_s(time_left_s, draw),
            limited_ids=tuple(limited_ids),
            held_s=min(holds_s, default=None),
        )
    has_room = best.candidate.load + 1 <= engine.slots
    limit_s = TARGET_SHARE * target_s
    if has_room:
        limit_s = PATIENCE_SHARE * patience_s
    elif not can_be_on_time:
        limit_s = DEFERRED_SHARE * patience_s
    if best.first_event_s > min(limit_s, time_left_s):
        return Refusal(
            reason='no group would start the answer in time',
            retry_after_s=_retry_after_s(time_left_s, draw),
            limited_ids=tuple(limited_ids),
        )
    if can_be_on_time:
        return best
    return dataclasses.replace(best, urgency=Urgency.DEFERRED)


def _retry_after_s(time_left_s: float, draw: float) -> float:
    """Return after how many seconds a refused caller should return."""
    share = MIN_RETRY_SHARE + (1 - MIN_RETRY_SHARE) * draw
    return round(RETRY_AFTER_SHARE * time_left_s * share, 2)


def place_on_worker(
    candidates: collections.abc.Iterable[Candidate],
    *,
    time_left_s: float,
) -> Choice | Refusal:
    """Return the least loaded worker of a plain service, or a refusal.

    The expected load is short calls on few workers, some of which fail or
    restart.
    """
    best = None
    best_score = 0.0
    has_no_worker = True
    limited_ids = []
    holds_s = []
    for candidate in candidates:
        has_no_worker = False
        if candidate.cold_allowance <= 0:
            continue
        if candidate.held_s > 0:
            holds_s.append(candidate.held_s)
            continue
        if candidate.is_at_limit:
            limited_ids.append(candidate.replica.endpoint_id)
            continue
        score = candidate.load / max(1, candidate.replica.slots)
        if not candidate.is_near:
            score += 0.2
        if candidate.is_suspect:
            score += 1.0
        if best is None or score < best_score:
            best = candidate
            best_score = score
    if best is None:
        reason = 'every worker is cold'
        if has_no_worker:
            reason = 'no worker is there'
        elif limited_ids:
            reason = 'every worker is at its limit'
        elif holds_s:
            reason = 'every worker is busy or refuses requests'
        return Refusal(
            reason=reason,
            retry_after_s=0.2,
            limited_ids=tuple(limited_ids),
            held_s=min(holds_s, default=None),
        )
    return Choice(candidate=best, first_event_s=0.0, total_s=0.0)


def milliseconds(seconds: float) -> int:
    """Return whole milliseconds, for logs."""
    return int(seconds * units.MS_PER_S)
