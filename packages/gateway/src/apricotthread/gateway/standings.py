"""Whether this entry may send a request to an endpoint now.

What endpoints announce, and what their answers say, decides. An endpoint that
is busy names in a refusal for how long it wants no request of this entry. One
that refuses without a time may look idle, as a refusal takes no time, so each
refusal in a row keeps requests from it for twice as long. After that, or after
its busy time, one request at a time finds out whether it takes requests again.

The question is asked while placing, and again at the moment of sending: a
request may have waited meanwhile, in a queue, for a connection or a permit.
"""

import collections.abc
import dataclasses
import math

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.fleet import evidence
from apricotthread.fleet import view
from apricotthread.gateway import requests

# An endpoint is left out for so long after its first refusal, and for twice as
# long after each that follows. One that refuses though it reports free slots
# does so for another reason; one without may have a free slot at any moment.
FIRST_HOLD_S = 0.05
FIRST_IDLE_HOLD_S = 0.2
MAX_HOLD_S = 1.6
MAX_FULL_HOLD_S = 0.1
MAX_DOUBLINGS = 5
# Refusals come at once. A request that was not refused by then is accepted.
PROBE_S = 0.25
# A refusal says nothing about an endpoint so long after its hold.
FADE_S = 3.0
# After a busy time the entries come back spread over this time, or over the
# longer one if the endpoint was still busy after an earlier time.
BUSY_SPREAD_S = 0.3
AGAIN_BUSY_SPREAD_S = 0.8
# For so long the leader is told who leaves; it tells all others.
TOLD_S = 10.0
MAX_DESCRIBED = 4
BUSY_STATUS = 503
REFUSAL_STATUSES = (429, 503)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Standing:
    """What keeps this entry's requests from an endpoint, and for how long.

    `reason` is empty if nothing does. `wait_s` is infinite for the rest of
    an incarnation.
    """

    reason: str = ''
    wait_s: float = 0.0

    @property
    def may_send(self) -> bool:
        """Whether a request may be sent now."""
        return not self.reason


OPEN = Standing()
NOT_TAKING = Standing(
    reason='the endpoint takes no new requests', wait_s=math.inf
)


@dataclasses.dataclass(kw_only=True)
class _Refusals:
    """The refusals of one incarnation of an endpoint; times of the timer."""

    born_ms: int
    in_row: int = 0
    # When the last one came that counts as one in a row.
    refused_at: float = -math.inf
    held_until: float = -math.inf
    busy_until: float = -math.inf
    probed_until: float = -math.inf

    @property
    def fades_at(self) -> float:
        return max(self.held_until, self.busy_until) + FADE_S


class StandingTable:
    """Keeps what answers say of whether endpoints want requests."""

    def __init__(
        self, *, env: environment.Environment, fleet: view.FleetView
    ) -> None:
        self._env = env
        self._fleet = fleet
        self._refusals_by_id: dict[str, _Refusals] = {}
        self._told_until_by_leaver: dict[evidence.Leaver, float] = {}
        self._on_leaver: collections.abc.Callable[[], None] = lambda: None

    def subscribe(self, on_leaver: collections.abc.Callable[[], None]) -> None:
        """Have a function called when an answer says that one leaves."""
        self._on_leaver = on_leaver

    # Questions

    def find(self, replica: view.Replica) -> Standing:
        """Return whether a request may be sent to a replica now."""
        if not self._fleet.takes_requests(replica):
            return NOT_TAKING
        return self.find_hold(replica)

    def find_hold(self, replica: view.Replica) -> Standing:
        """Return the same for a replica that takes requests in general."""
        refusals = self._refusals_by_id.get(replica.endpoint_id)
        if refusals is None:
            return OPEN
        now = self._env.timer.now()
        if refusals.born_ms != replica.born_ms or now >= refusals.fades_at:
            del self._refusals_by_id[replica.endpoint_id]
            return OPEN
        if now < refusals.busy_until:
            return Standing(
                reason='the endpoint is busy', wait_s=refusals.busy_until - now
            )
        held_until = max(refusals.held_until, refusals.probed_until)
        if now < held_until:
            return Standing(
                reason='the endpoint refuses requests', wait_s=held_until - now
            )
        return OPEN

    def is_busy(self, replica: view.Replica) -> bool:
        """Whether an endpoint has said that it wants nothing at present."""
        refusals = self._refusals_by_id.get(replica.endpoint_id)
        return refusals is not None and (
            self._env.timer.now() < refusals.busy_until
        )

    def describe_holds(
        self, replicas: collections.abc.Iterable[view.Replica]
    ) -> str:
        """Return why and for how long some of these replicas are held back."""
        described = []
        for replica in replicas:
            standing = self.find_hold(replica)
            if not standing.may_send:
                described.append(
                    f'{replica.endpoint_id}: {standing.reason}, '
                    f'{standing.wait_s:.2f} s'
                )
            if len(described) == MAX_DESCRIBED:
                break
        return '; '.join(described)

    # News

    def note_sent(self, replica: view.Replica) -> None:
        """Record a request that is about to be sent."""
        refusals = self._refusals_by_id.get(replica.endpoint_id)
        if refusals is not None:
            refusals.probed_until = self._env.timer.now() + PROBE_S

    def observe(
        self,
        replica: view.Replica,
        status: int,
        answer: requests.AnswerMetadata,
        *,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Take over what an answer says to a request that was sent then."""
        if answer.is_standing_odd:
            self._env.metrics.count('odd_standings')
        if answer.endpoint_id not in ('', replica.endpoint_id):
            return
        if answer.is_leaving:
            self._note_leaving(replica, request_id)
        if status == BUSY_STATUS and answer.busy_s is not None:
            self._note_busy(replica, answer.busy_s, request_id)
        elif answer.not_run:
            # A request that was misdirected, say, tells nothing of others.
            if status in REFUSAL_STATUSES:
                self._note_refusal(replica, answer, sent_at)
        else:
            self._note_accepted(replica, sent_at)

    def _note_leaving(self, replica: view.Replica, request_id: str) -> None:
        leaver = evidence.Leaver(
            endpoint_id=replica.endpoint_id, born_ms=replica.born_ms
        )
        if not self._fleet.note_leaving(leaver.endpoint_id, leaver.born_ms):
            return
        self._told_until_by_leaver[leaver] = self._env.timer.now() + TOLD_S
        self._env.metrics.count('endpoints_leaving')
        logs.log_event(
            'endpoint_leaves',
            endpoint=leaver.endpoint_id,
            born_ms=leaver.born_ms,
            request_id=request_id,
        )
        self._on_leaver()

    def _note_busy(
        self, replica: view.Replica, busy_s: float, request_id: str
    ) -> None:
        """Leave an endpoint alone for as long as it said, from now.

        Each such answer binds, so a shorter one does not end a longer one.
        """
        now = self._env.timer.now()
        refusals = self._get_refusals(replica)
        was_busy = now < refusals.busy_until
        refusals.in_row += 1
        spread_s = BUSY_SPREAD_S * self._env.random.random()
        if refusals.in_row > 1 and not was_busy:
            spread_s = self._env.jitter(AGAIN_BUSY_SPREAD_S)
        refusals.refused_at = now
        refusals.busy_until = max(refusals.busy_until, now + busy_s + spread_s)
        refusals.probed_until = -math.inf
        if not was_busy:
            self._env.metrics.count('endpoints_busy')
            logs.log_event(
                'endpoint_busy',
                endpoint=replica.endpoint_id,
                busy_s=busy_s,
                request_id=request_id,
            )

    def _note_refusal(
        self,
        replica: view.Replica,
        answer: requests.AnswerMetadata,
        sent_at: float,
    ) -> None:
        """Hold requests back, longer if one after the last hold failed."""
        self._env.metrics.count('requests_refused_by_endpoints')
        refusals = self._get_refusals(replica)
        if sent_at < refusals.refused_at:
            return
        refusals.in_row += 1
        refusals.refused_at = self._env.timer.now()
        first_s, max_s = FIRST_HOLD_S, MAX_HOLD_S
        if answer.load is not None and answer.load.total >= replica.slots:
            max_s = MAX_FULL_HOLD_S
        elif answer.load is not None:
            first_s = FIRST_IDLE_HOLD_S
        hold_s = first_s * 2 ** min(refusals.in_row - 1, MAX_DOUBLINGS)
        refusals.held_until = refusals.refused_at + self._env.jitter(
            min(max_s, hold_s)
        )
        refusals.probed_until = -math.inf

    def _note_accepted(self, replica: view.Replica, sent_at: float) -> None:
        """End a hold if the endpoint took a request that came after it."""
        refusals = self._refusals_by_id.get(replica.endpoint_id)
        if refusals is None or refusals.born_ms != replica.born_ms:
            return
        now = self._env.timer.now()
        if now >= refusals.busy_until and sent_at >= refusals.refused_at:
            del self._refusals_by_id[replica.endpoint_id]

    def _get_refusals(self, replica: view.Replica) -> _Refusals:
        refusals = self._refusals_by_id.get(replica.endpoint_id)
        if refusals is None or refusals.born_ms < replica.born_ms:
            refusals = _Refusals(born_ms=replica.born_ms)
            self._refusals_by_id[replica.endpoint_id] = refusals
        return refusals

    # Reports to the leader

    def make_report(self) -> tuple[evidence.Leaver, ...]:
        """Return the endpoints that said lately that they leave."""
        now = self._env.timer.now()
        self._refusals_by_id = {
            endpoint_id: refusals
            for endpoint_id, refusals in self._refusals_by_id.items()
            if now < refusals.fades_at
        }
        self._env.metrics.set_gauge(
            'endpoints_held',
            sum(
                now < max(refusals.held_until, refusals.busy_until)
                for refusals in self._refusals_by_id.values()
            ),
        )
        self._told_until_by_leaver = {
            leaver: until
            for leaver, until in self._told_until_by_leaver.items()
            if now < until
        }
        return tuple(self._told_until_by_leaver)
