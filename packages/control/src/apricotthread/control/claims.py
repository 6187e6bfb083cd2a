"""Claims on idempotency keys: each grants one dispatch of a call."""

import asyncio
import collections.abc
import dataclasses
import hashlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.control import registers
from apricotthread.nodes import links
from apricotthread.nodes import messages

DONE = 'done'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
CALL_TIMEOUT_S = 1.0
# A claim that was outbid waits up to so long, and longer each time. With waits
# shorter than a round at the disks, claims outbid each other for ever.
RETRY_S = 0.04
MAX_RETRY_S = 1.0
MAX_DOUBLINGS = 5
POLL_S = 0.1
OUTCOME_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The claim was granted: this entry may dispatch the call, once."""

    key: str
    attempt: int
    claim: messages.Claim


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The call has run before; this is the answer of that run."""

    request_id: str
    status: int
    content_type: str
    body: bytes


Decision = Granted | Answered


@dataclasses.dataclass(frozen=True, kw_only=True)
class _DecidedClaim:
    """A claim that a majority accepted, and its outcome if known."""

    claim: messages.Claim
    outcome: messages.ClaimReply | None


def make_key(account: str, service: str, idempotency_key: str) -> str:
    """Return the key to claim for an idempotency key of a caller."""
    parts = '\0'.join((account, service, idempotency_key))
    return hashlib.sha256(parts.encode()).hexdigest()


def make_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeated call is recognised as equal."""
    head = f'{method}\0{path}\0'.encode()
    return hashlib.sha256(head + body).hexdigest()


class Claimant:
    """Claims keys for one entry, at the claim registers of the voters.

    Each attempt at a key is decided by single-decree Paxos among the
    registers: promise, then acceptance, each synced by a majority. The
    next attempt starts only after the holder of the previous one has
    recorded that it never dispatched the call.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        node_id: str,
        incarnation: int,
        link_by_id: dict[str, links.PeerLink],
        own_registers: registers.RegisterStore | None,
        voters: collections.abc.Callable[[], collections.abc.Collection[str]],
    ) -> None:
        self._env = env
        self._node_id = node_id
        self._incarnation = incarnation
        self._link_by_id = link_by_id
        self._own_registers = own_registers
        self._get_voters = voters
        self._tasks: set[asyncio.Task] = set()
        self._greeting = messages.Greeting(
            protocol=links.PROTOCOL_VERSION,
            node_id=node_id,
            data_centre='',
            incarnation=incarnation,
        )

    async def claim(
        self, *, key: str, digest: str, request_id: str, timeout_s: float
    ) -> Decision:
        """Claim a key, or return the answer that it already has.

        Raises ApricotError: NO_QUORUM with ran NO, KEY_REUSED,
        KEY_TOO_OLD, or OUTCOME_UNKNOWN when another entry holds the
        claim and its outcome is not known.
        """
        claim = messages.Claim(
            claim_id=self._env.new_id(),
            holder=self._node_id,
            incarnation=self._incarnation,
            request_id=request_id,
            digest=digest,
            claimed_at_ms=self._now_ms(),
        )
        attempt = 1
        other_claim: messages.Claim | None = None
        try:
            async with self._env.timer.timeout(timeout_s):
                while attempt <= MAX_ATTEMPTS:
                    other_claim = None
                    decided = await self._decide(key, attempt, claim)
                    if decided.claim == claim:
                        return Granted(key=key, attempt=attempt, claim=claim)
                    other_claim = decided.claim
                    outcome = await self._await_outcome(key, attempt, decided)
                    answer = self._read_outcome(outcome, other_claim, digest)
                    if answer is not None:
                        return answer
                    attempt += 1
        except TimeoutError:
            pass
        if other_claim is not None:
            raise self._make_unknown_error(other_claim)
        self.record(key=key, attempt=attempt, claim=claim, outcome=NOT_RUN)
        raise errors.ApricotError(
            code=errors.ErrorCode.NO_QUORUM,
            message='no majority of the control nodes granted the claim in '
            'time; the call was not run',
            ran=errors.Ran.NO,
            retry_after_s=1.0,
        )

    def _read_outcome(
        self,
        outcome: messages.ClaimReply | None,
        claim: messages.Claim,
        digest: str,
    ) -> Answered | None:
        """Return the recorded answer, or None if the call was never run."""
        if outcome is None or outcome.outcome == UNKNOWN:
            raise self._make_unknown_error(claim)
        if outcome.outcome == registers.EXPIRED:
            raise self._make_expired_error()
        if claim.digest != digest:
            raise self._make_reused_error()
        if outcome.outcome == NOT_RUN:
            return None
        return Answered(
            request_id=claim.request_id,
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
        )

    def _now_ms(self) -> int:
        return int(self._env.timer.wall_time() * units.MS_PER_S)

    def _make_unknown_error(
        self, claim: messages.Claim
    ) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.OUTCOME_UNKNOWN,
            message=f'request {claim.request_id} with this key was claimed '
            f'by {claim.holder} and its outcome is not known; it is not run '
            'again',
            ran=errors.Ran.UNKNOWN,
        )

    def _make_expired_error(self) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.KEY_TOO_OLD,
            message='the idempotency key is older than the retention time; '
            'the call is not run again',
            ran=errors.Ran.UNKNOWN,
        )

    def _make_reused_error(self) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.KEY_REUSED,
            message='the idempotency key was used for a call with another '
            'body; this call was not run',
            ran=errors.Ran.NO,
        )

    async def _decide(
        self, key: str, attempt: int, claim: messages.Claim
    ) -> _DecidedClaim:
        """Run Paxos for the attempt and return the chosen claim."""
        number = 1
        rounds = 0
        while True:
            began_at = self._env.timer.now()
            ballot = messages.Ballot(number=number, claim_id=claim.claim_id)
            ballot_replies = await self._ask_all(
                messages.ClaimPrepare(key=key, attempt=attempt, ballot=ballot)
            )
            promises = [r for r in ballot_replies if r.granted]
            chosen = claim
            if self._is_majority(len(promises)):
                newest = max(promises, key=lambda reply: reply.accepted)
                if newest.accepted.number:
                    chosen = newest.claim
                accept_replies = await self._ask_all(
                    messages.ClaimAccept(
                        key=key, attempt=attempt, ballot=ballot, claim=chosen
                    )
                )
                granted = [r for r in accept_replies if r.granted]
                if self._is_majority(len(granted)):
                    return _DecidedClaim(
                        claim=chosen,
                        outcome=_find_outcome([*promises, *granted], chosen),
                    )
                ballot_replies = [*ballot_replies, *accept_replies]
            highest = max(
                (reply.promised.number for reply in ballot_replies), default=0
            )
            number = max(number, highest) + 1
            round_s = max(RETRY_S, self._env.timer.now() - began_at)
            wait_s = min(
                MAX_RETRY_S, round_s * 2 ** min(rounds, MAX_DOUBLINGS)
            )
            rounds += 1
            await self._env.timer.sleep(wait_s * self._env.random.random())

    async def _await_outcome(
        self, key: str, attempt: int, decided: _DecidedClaim
    ) -> messages.ClaimReply | None:
        """Wait for the outcome that the holder records.

        The holder records one at its own timeout at the latest. Returns
        None when the holder has died or its link is down, because then
        no other node can know the outcome.
        """
        outcome = decided.outcome
        while outcome is None:
            if not self._can_holder_report(decided.claim):
                return None
            await self._env.timer.sleep(POLL_S)
            replies = await self._ask_all(
                messages.ClaimPrepare(
                    key=key, attempt=attempt, ballot=messages.Ballot()
                )
            )
            outcome = _find_outcome(replies, decided.claim)
        return outcome

    def _can_holder_report(self, claim: messages.Claim) -> bool:
        if claim.holder == self._node_id:
            return claim.incarnation == self._incarnation
        link = self._link_by_id.get(claim.holder)
        return link is not None and link.is_connected

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._get_voters()) > 0

    async def _ask_all(
        self, body: messages.Message
    ) -> list[messages.ClaimReply]:
        """Ask every voter; return once a majority granted or all replied."""
        voters = self._get_voters()
        tasks = [asyncio.create_task(self._ask(v, body)) for v in voters]
        replies: list[messages.ClaimReply] = []
        granted = 0
        try:
            for next_reply in asyncio.as_completed(tasks):
                reply = await next_reply
                if reply is None:
                    continue
                replies.append(reply)
                granted += reply.granted
                if self._is_majority(granted):
                    break
        finally:
            for task in tasks:
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        return replies

    async def _ask(
        self, voter: str, body: messages.Message
    ) -> messages.ClaimReply | None:
        if voter == self._node_id:
            return await self._ask_own_registers(body)
        link = self._link_by_id.get(voter)
        if link is None:
            return None
        return await link.try_call(body, timeout_s=CALL_TIMEOUT_S)

    async def _ask_own_registers(
        self, body: messages.Message
    ) -> messages.ClaimReply | None:
        store = self._own_registers
        if store is None:
            return None
        try:
            match body:
                case messages.ClaimPrepare():
                    return await store.on_prepare(self._greeting, body)
                case messages.ClaimAccept():
                    return await store.on_accept(self._greeting, body)
                case messages.ClaimOutcome():
                    return await store.on_outcome(self._greeting, body)
        except errors.ApricotError:
            return None

    def record(
        self,
        *,
        key: str,
        attempt: int,
        claim: messages.Claim,
        outcome: str,
        status: int = 0,
        content_type: str = '',
        body: bytes = b'',
    ) -> asyncio.Task[bool]:
        """Record an outcome; the task returns whether a majority has it.

        Only the holder of the claim may call this. The outcome may be
        NOT_RUN only if no byte of the call has been or will be sent.
        """
        message = messages.ClaimOutcome(
            key=key,
            attempt=attempt,
            claim_id=claim.claim_id,
            claimed_at_ms=claim.claimed_at_ms,
            outcome=outcome,
            status=status,
            content_type=content_type,
            body=body,
        )
        task = asyncio.create_task(self._record_until_majority(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel the requests and records that are still in progress."""
        for task in self._tasks:
            task.cancel()

    async def _record_until_majority(
        self, message: messages.ClaimOutcome
    ) -> bool:
        try:
            async with self._env.timer.timeout(OUTCOME_TIMEOUT_S):
                while True:
                    replies = await self._ask_all(message)
                    if self._is_majority(sum(r.granted for r in replies)):
                        return True
                    await self._env.timer.sleep(self._env.jitter(POLL_S))
        except TimeoutError:
            return False


def _find_outcome(
    replies: list[messages.ClaimReply], claim: messages.Claim
) -> messages.ClaimReply | None:
    """Return a reply with the outcome of the claim, None without one."""
    for reply in replies:
        if reply.outcome and reply.claim == claim:
            return reply
    return None
