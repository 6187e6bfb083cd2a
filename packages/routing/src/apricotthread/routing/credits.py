"""Limits of client accounts that hold across entries.

Each entry owns a fixed part of an account's limit, so the parts never
sum to more than the limit, whatever is cut or lost. An entry that runs
short borrows from another, which owns so much less until the loan ends.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import zlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.nodes import links
from apricotthread.nodes import messages

BORROW_SHARE = 0.25  # of the own part, asked for at a time
BORROW_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Credits lent to another entry.

    The holder may start requests on them within the lease; what it has
    started may run until the loan ends.
    """

    holder: str
    incarnation: int
    amount: int
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Borrowed:
    """Credits from another entry, good for new requests until then."""

    amount: int
    valid_until: float


def own_part(
    limit: int, account: str, node_id: str, entry_ids: list[str]
) -> int:
    """Return the part of a limit that a node owns.

    The parts of all entries sum to the limit; which entries get the
    remainder differs between accounts. A node that is no entry owns none.
    """
    if node_id not in entry_ids:
        return 0
    count = len(entry_ids)
    turn = zlib.crc32(account.encode()) % count
    position = (sorted(entry_ids).index(node_id) + turn) % count
    return limit * (position + 1) // count - limit * position // count


class AccountLimits:
    """The credits that this entry has of each account's limit."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        node_id: str,
        incarnation: int,
        entry_ids: list[str],
        link_by_id: dict[str, links.PeerLink],
        limit_of: collections.abc.Callable[[str], int],
        lease_s: float,
        request_timeout_s: float,
    ) -> None:
        self._env = env
        self._node_id = node_id
        self._incarnation = incarnation
        self._entry_ids = entry_ids
        self._link_by_id = link_by_id
        self._limit_of = limit_of
        self._lease_s = lease_s
        self._request_timeout_s = request_timeout_s
        self._in_use = collections.Counter()
        self._loans: dict[str, dict[str, Loan]] = {}
        self._borrowed: dict[str, dict[str, Borrowed]] = {}
        self._borrowing: dict[str, asyncio.Task] = {}
        self._started_at: float | None = None

    @property
    def has_recovered_loans(self) -> bool:
        """Whether loans from before a restart are known again.

        Holders renew them within a lease; until then nothing is free.
        """
        if self._started_at is None:
            return False
        return self._env.timer.now() - self._started_at >= self._lease_s

    def owned(self, account: str) -> int:
        """Return the own part, less what is lent."""
        if not self.has_recovered_loans:
            return 0
        part = own_part(
            self._limit_of(account), account, self._node_id, self._entry_ids
        )
        now = self._env.timer.now()
        loans = self._loans.get(account, {})
        lent = sum(
            loan.amount for loan in loans.values() if loan.ends_at > now
        )
        return part - lent

    def free(self, account: str) -> int:
        """Return how many further requests of the account may start."""
        now = self._env.timer.now()
        borrowed = sum(
            credit.amount
            for credit in self._borrowed.get(account, {}).values()
            if credit.valid_until > now
        )
        return self.owned(account) + borrowed - self._in_use[account]

    async def acquire(self, account: str) -> None:
        """Take one credit, borrowing if need be.

        Raises ApricotError with code ACCOUNT_LIMIT.
        """
        if self.free(account) <= 0:
            await self._borrow(account)
        if self.free(account) <= 0:
            self._env.metrics.count('account_limit_refusals')
            raise errors.ApricotError(
                code=errors.ErrorCode.ACCOUNT_LIMIT,
                message=f'account {account} has reached its limit of '
                f'{self._limit_of(account)} requests at a time',
                retry_after_s=1.0,
            )
        self._in_use[account] += 1

    def release(self, account: str) -> None:
        """Give a credit back."""
        self._in_use[account] -= 1

    async def _borrow(self, account: str) -> None:
        """Ask the other entries in turn; one round at a time."""
        running = self._borrowing.get(account)
        if running is None:
            running = asyncio.create_task(self._borrow_round(account))
            self._borrowing[account] = running
            running.add_done_callback(
                lambda _: self._borrowing.pop(account, None)
            )
        await asyncio.shield(running)

    async def _borrow_round(self, account: str) -> None:
        limit = self._limit_of(account)
        share = limit / len(self._entry_ids) * BORROW_SHARE
        wanted = max(1, int(share))
        lenders = [n for n in self._entry_ids if n in self._link_by_id]
        self._env.random.shuffle(lenders)
        for lender in lenders:
            if not self._link_by_id[lender].is_connected:
                continue
            await self._ask(account, lender, wanted)
            if self.free(account) > 0:
                return

    async def _ask(self, account: str, lender: str, wanted: int) -> None:
        """Ask one entry for credits, renewing those borrowed before."""
        sent_at = self._env.timer.now()
        credits_by_lender = self._borrowed.setdefault(account, {})
        held = credits_by_lender.get(lender)
        reply = await self._link_by_id[lender].try_call(
            messages.CreditRequest(
                pool=account,
                holder=self._node_id,
                incarnation=self._incarnation,
                wanted=wanted,
                in_use=held.amount if held is not None else 0,
            ),
            timeout_s=BORROW_TIMEOUT_S,
        )
        if isinstance(reply, messages.CreditReply):
            credits_by_lender[lender] = Borrowed(
                amount=reply.granted,
                valid_until=sent_at + reply.lease_ms / units.MS_PER_S,
            )

    async def run(self) -> None:
        """Renew the credits that are needed and return the others."""
        self._started_at = self._env.timer.now()
        async for _ in self._env.timer.subscribe(period_s=self._lease_s / 3):
            for account in list(self._borrowed):
                await self._settle(account)

    async def _settle(self, account: str) -> None:
        needed = self._in_use[account] - self.owned(account)
        credits_by_lender = self._borrowed[account]
        for lender, held in list(credits_by_lender.items()):
            kept = max(0, min(held.amount, needed))
            needed -= kept
            credits_by_lender[lender] = dataclasses.replace(held, amount=kept)
            await self._ask(account, lender, 0)
            if not kept:
                credits_by_lender.pop(lender, None)
        if not credits_by_lender:
            self._borrowed.pop(account, None)

    async def on_credit_request(
        self, peer: messages.Greeting, body: messages.CreditRequest
    ) -> messages.Message:
        """Lend credits that are free here, or take some back."""
        loans = self._loans.setdefault(body.pool, {})
        known = loans.pop(body.holder, None)
        kept = body.in_use
        if known is not None and known.incarnation == body.incarnation:
            kept = min(known.amount, body.in_use)
        spare = self.free(body.pool) - kept
        granted = kept + max(0, min(body.wanted, spare // 2 + spare % 2))
        if granted:
            loans[body.holder] = Loan(
                holder=body.holder,
                incarnation=body.incarnation,
                amount=granted,
                ends_at=self._env.timer.now()
                + self._lease_s
                + self._request_timeout_s,
            )
        return messages.CreditReply(
            granted=granted, lease_ms=int(self._lease_s * units.MS_PER_S)
        )
