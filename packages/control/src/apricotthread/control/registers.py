"""Claim registers: the durable state of claims on each voter."""

import collections.abc
import dataclasses
import time

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import units
from apricotthread.control import folders
from apricotthread.control import journal
from apricotthread.nodes import messages

CLAIMS_NAME = 'claims.log'
TOMBSTONE_FACTOR = 30  # expired keys are refused for 30 retention times
REWRITE_BYTES = 16 * units.MIB
EXPIRED = 'expired'


class Register(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to claim a key: promise, acceptance and outcome."""

    key: str
    attempt: int
    promised: messages.Ballot = messages.Ballot()
    accepted: messages.Ballot = messages.Ballot()
    claim: messages.Claim = messages.Claim()
    outcome: messages.ClaimOutcome | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegisterKey:
    """The lookup key of a register."""

    key: str
    attempt: int


class RegisterStore:
    """The claim registers of one voter, synced before each reply."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        folder: folders.Folder,
        retention_s: float,
        may_answer: collections.abc.Callable[[], bool],
    ) -> None:
        self._env = env
        self._journal = journal.Journal(folder=folder, name=CLAIMS_NAME)
        self._retention_ms = int(retention_s * units.MS_PER_S)
        self._may_answer = may_answer
        self._register_by_key: dict[RegisterKey, Register] = {}
        self._rewrite_at = REWRITE_BYTES

    async def load(self) -> None:
        """Read the registers from the data folder."""
        decoder = msgspec.msgpack.Decoder(Register)
        for record in await self._journal.load():
            register = decoder.decode(record)
            self._register_by_key[_key_of(register)] = register
        self._drop_old_registers()

    def _now_ms(self) -> int:
        return int(self._env.timer.wall_time() * units.MS_PER_S)

    def _drop_old_registers(self) -> None:
        """Drop the registers that are older than the tombstone time."""
        oldest_ms = self._now_ms() - TOMBSTONE_FACTOR * self._retention_ms
        self._register_by_key = {
            register_key: register
            for register_key, register in self._register_by_key.items()
            if not register.claim.claimed_at_ms
            or register.claim.claimed_at_ms > oldest_ms
        }

    def _check_may_answer(self) -> None:
        if not self._may_answer():
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_QUORUM,
                message='this node is not admitted to answer for claims',
            )

    async def _save(self, register: Register) -> None:
        """Store a register and return once it is synced.

        Later requests see it at once. Their own records follow it in the
        journal, so their changes are synced no earlier than this one.
        """
        self._register_by_key[_key_of(register)] = register
        await self._recover()
        await self._journal.append([msgspec.msgpack.encode(register)])
        if self._journal.size > self._rewrite_at:
            await self._compact()

    async def _recover(self) -> None:
        if self._journal.has_failed:
            await self._compact()

    async def _compact(self) -> None:
        """Rewrite the journal with only the newest state of each register."""
        started_at = time.perf_counter()
        self._drop_old_registers()
        records = [
            msgspec.msgpack.encode(self._strip_expired_answer(register))
            for register in self._register_by_key.values()
        ]
        try:
            await self._journal.rewrite(records)
        except OSError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.STORAGE,
                message=f'{CLAIMS_NAME}: {error}',
            ) from error
        self._rewrite_at = max(REWRITE_BYTES, 2 * self._journal.size)
        logs.log_event(
            'claims_rewritten',
            registers=len(records),
            seconds=time.perf_counter() - started_at,
        )

    def _is_expired(self, register: Register) -> bool:
        claimed_at_ms = register.claim.claimed_at_ms
        oldest_ms = self._now_ms() - self._retention_ms
        return bool(claimed_at_ms) and claimed_at_ms < oldest_ms

    def _strip_expired_answer(self, register: Register) -> Register:
        """Return the register, without its answer if that has expired."""
        if not self._is_expired(register) or register.outcome is None:
            return register
        return msgspec.structs.replace(
            register,
            outcome=msgspec.structs.replace(register.outcome, body=b''),
        )

    async def on_prepare(
        self, peer: messages.Greeting, body: messages.ClaimPrepare
    ) -> messages.Message:
        """Promise not to accept older ballots; ballot 0 only reads."""
        self._check_may_answer()
        register = self._find(body.key, body.attempt)
        if body.ballot.number == 0:
            return self._make_reply(register, granted=True)
        if body.ballot < register.promised:
            return self._make_reply(register, granted=False)
        promised = msgspec.structs.replace(register, promised=body.ballot)
        await self._save(promised)
        return self._make_reply(promised, granted=True)

    async def on_accept(
        self, peer: messages.Greeting, body: messages.ClaimAccept
    ) -> messages.Message:
        """Accept a claim unless a newer ballot was promised."""
        self._check_may_answer()
        register = self._find(body.key, body.attempt)
        if body.ballot < register.promised:
            return self._make_reply(register, granted=False)
        accepted = msgspec.structs.replace(
            register,
            promised=body.ballot,
            accepted=body.ballot,
            claim=body.claim,
        )
        await self._save(accepted)
        return self._make_reply(accepted, granted=True)

    async def on_outcome(
        self, peer: messages.Greeting, body: messages.ClaimOutcome
    ) -> messages.Message:
        """Record the outcome of a call; the first outcome is final."""
        self._check_may_answer()
        register = self._find(body.key, body.attempt)
        previous = register.outcome
        if previous is not None and previous.claim_id == body.claim_id:
            return self._make_reply(register, granted=True)
        if (
            previous is not None
            and previous.claim_id == register.claim.claim_id
        ):
            return self._make_reply(register, granted=False)
        recorded = msgspec.structs.replace(register, outcome=body)
        await self._save(recorded)
        return self._make_reply(recorded, granted=True)

    def _find(self, key: str, attempt: int) -> Register:
        return self._register_by_key.get(
            RegisterKey(key=key, attempt=attempt)
        ) or Register(key=key, attempt=attempt)

    def _make_reply(
        self, register: Register, *, granted: bool
    ) -> messages.ClaimReply:
        """Return the reply, with the outcome of the accepted claim only."""
        outcome = register.outcome
        if outcome is None or outcome.claim_id != register.claim.claim_id:
            return messages.ClaimReply(
                granted=granted,
                promised=register.promised,
                accepted=register.accepted,
                claim=register.claim,
                outcome=EXPIRED if self._is_expired(register) else '',
            )
        return messages.ClaimReply(
            granted=granted,
            promised=register.promised,
            accepted=register.accepted,
            claim=register.claim,
            outcome=(
                EXPIRED if self._is_expired(register) else outcome.outcome
            ),
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
        )


def _key_of(register: Register) -> RegisterKey:
    return RegisterKey(key=register.key, attempt=register.attempt)
