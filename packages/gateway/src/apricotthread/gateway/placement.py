"""Decides which replica gets a request, or why none does.

For engines the measure is the predicted time to the first event and to
the last one, from the engine's profile and the load that the entry
estimates. Nothing here waits or talks to anybody.
"""

import collections.abc
import dataclasses

from apricotthread.base import units
from apricotthread.control import routetables
from apricotthread.fleet import view

# A replica next door is preferred up to this much predicted time, as bytes
# between data centres cost.
FAR_PENALTY_S = 0.02
# Callers leave a stream that shows nothing for two seconds (the platform's
# protocol); an answer that starts later is made in vain.
LONGEST_FIRST_EVENT_S = 1.7
# The part of the target that the prediction may use; the rest is for the
# way, and for the load that the entry does not know of.
TARGET_SHARE = 0.85


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A replica, and what is known of it now."""

    replica: view.Replica
    load: float
    is_near: bool
    cold_allowance: int
    is_suspect: bool
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The replica for a request, and the prediction it was chosen by."""

    candidate: Candidate
    first_event_s: float
    total_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why no replica gets a request, and when to come back."""

    reason: str
    retry_after_s: float


def predict_latency(
    *,
    engine: routetables.EngineProfile,
    model: routetables.ModelProfile,
    load: float,
    prompt_tokens: int,
    output_tokens: int,
) -> tuple[float, float]:
    """Return the seconds to the first event, and to the last one."""
    batch = min(engine.slots, load + 1)
    step_s = model.pace * (
        engine.step_s
        + engine.step_s_per_sequence * batch
        + engine.step_s_per_context_token * batch * prompt_tokens
    )
    prefill_s = model.pace * prompt_tokens / engine.prefill_tokens_per_s
    decode_s = output_tokens * step_s
    pass_s = engine.steps_per_event * step_s
    excess = load + 1 - engine.slots
    wait_s = 0.0
    if excess > 0:
        wait_s = excess * (decode_s + prefill_s) / engine.slots
    first_s = wait_s + prefill_s + 1.5 * pass_s
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
) -> Choice | Refusal:
    """Return the replica that is predicted to answer soonest.

    Load: many streams on few groups, where the slots of some are taken.
    In overload a queue would make every answer late, and no more of them
    would be served: what a queue would make late is refused at once.
    """
    best = None
    best_score = 0.0
    none_open = True
    for candidate in candidates:
        none_open = False
        if candidate.cold_allowance <= 0:
            continue
        first_s, total_s = predict_latency(
            engine=engine,
            model=model,
            load=candidate.load,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        first_s *= candidate.slowness
        total_s *= candidate.slowness
        score = 3 * first_s + total_s
        if not candidate.is_near:
            score += FAR_PENALTY_S
        if candidate.is_suspect:
            score += LONGEST_FIRST_EVENT_S
        if best is None or score < best_score:
            best_score = score
            best = Choice(
                candidate=candidate, first_event_s=first_s, total_s=total_s
            )
    if best is None:
        reason = 'no group is open' if none_open else 'every group is cold'
        return Refusal(reason=reason, retry_after_s=0.3)
    has_room = best.candidate.load + 1 <= engine.slots
    limit_s = LONGEST_FIRST_EVENT_S if has_room else TARGET_SHARE * target_s
    if best.first_event_s > min(limit_s, time_left_s):
        return Refusal(
            reason='no group would start the answer in time',
            retry_after_s=round(best.first_event_s - 0.5 * target_s, 2),
        )
    return best


def place_on_worker(
    candidates: collections.abc.Iterable[Candidate],
    *,
    time_left_s: float,
) -> Choice | Refusal:
    """Return the worker of a plain service with the least load.

    Load: short calls on few workers, some of which fail or restart.
    """
    best = None
    best_score = 0.0
    none_there = True
    for candidate in candidates:
        none_there = False
        if candidate.cold_allowance <= 0:
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
        reason = 'no worker is there' if none_there else 'all are cold'
        return Refusal(reason=reason, retry_after_s=0.2)
    return Choice(candidate=best, first_event_s=0.0, total_s=0.0)


def milliseconds(seconds: float) -> int:
    """Return whole milliseconds, for logs."""
    return int(seconds * units.MS_PER_S)
