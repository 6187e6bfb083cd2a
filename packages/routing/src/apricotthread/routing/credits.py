"""Concurrency limits of client accounts, enforced across all entries.

Each entry owns a fixed part of an account's limit, counted in credits:
one credit allows one request at a time. The parts sum to the limit, so
it holds even when entries fail or the network is partitioned. An entry
that runs short borrows credits from another, which can not use them
until the loan ends.
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

BORROW_SHARE = 0.25  # of an entry's part, requested from a lender at a time
BORROW_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Credits lent to another entry.

    The holder may start requests with them only within the lease;
    requests that it has started may run until the loan ends.
    """

    holder: str
    incarnation: int
    amount: int
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowedCredits:
    """Borrowed credits, usable for new requests until they expire."""

    amount: int
    valid_until: float


def own_part(
    limit: int, account: str, node_id: str, entry_ids: list[str]
) -> int:
    """Return the part of an account's limit that a node owns.

    The parts of all entries sum to the limit. A hash of the account
    determines which entries get the remainder. A node that is not an
    entry owns nothing.
    """
    if node_id not in entry_ids:
        return 0
    count = len(entry_ids)
    rotation = zlib.crc32(account.encode()) % count
    position = (sorted(entry_ids).index(node_id) + rotation) % count
    return limit * (position + 1) // count - limit * position // count


class AccountLimits:
    """Manages the credits that this entry holds for each account."""

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
        self._in_use_by_account = collections.Counter()
        self._loans_by_account: dict[str, dict[str, Loan]] = {}
        self._borrowed_by_account: dict[str, dict[str, BorrowedCredits]] = {}
        self._borrow_task_by_account: dict[str, asyncio.Task] = {}
        self._started_at: float | None = None

    @property
    def has_recovered_loans(self) -> bool:
        """Whether loans granted before a restart are known again.

        Holders renew them within one lease after the start. Until then
        this entry neither uses nor lends its own credits.
        """
        if self._started_at is None:
            return False
        return self._env.timer.now() - self._started_at >= self._lease_s

    def owned_credits(self, account: str) -> int:
        """Return the credits of this entry's part that are not lent."""
        if not self.has_recovered_loans:
            return 0
        part = own_part(
            self._limit_of(account), account, self._node_id, self._entry_ids
        )
        now = self._env.timer.now()
        loans = self._loans_by_account.get(account, {})
        lent = sum(
            loan.amount for loan in loans.values() if loan.ends_at > now
        )
        return part - lent

    def free_credits(self, account: str) -> int:
        """Return how many more requests of an account may start here."""
        now = self._env.timer.now()
        borrowed = sum(
            credit.amount
            for credit in self._borrowed_by_account.get(account, {}).values()
            if credit.valid_until > now
        )
        return (
            self.owned_credits(account)
            + borrowed
            - self._in_use_by_account[account]
        )

    async def acquire(self, account: str) -> None:
        """Take one credit, borrowing from other entries if none is free.

        Raises ApricotError with code ACCOUNT_LIMIT if there is none.
        """
        if self.free_credits(account) <= 0:
            await self._borrow(account)
        if self.free_credits(account) <= 0:
            self._env.metrics.count('account_limit_refusals')
            raise errors.ApricotError(
                code=errors.ErrorCode.ACCOUNT_LIMIT,
                message=f'account {account} has reached its limit of '
                f'{self._limit_of(account)} requests at a time',
                retry_after_s=1.0,
            )
        self._in_use_by_account[account] += 1

    def release(self, account: str) -> None:
        """Return a credit when its request has ended."""
        self._in_use_by_account[account] -= 1

    async def _borrow(self, account: str) -> None:
        """Borrow credits, or join the round that is already running."""
        borrow_task = self._borrow_task_by_account.get(account)
        if borrow_task is None:
            borrow_task = asyncio.create_task(self._borrow_round(account))
            self._borrow_task_by_account[account] = borrow_task
            borrow_task.add_done_callback(
                lambda _: self._borrow_task_by_account.pop(account, None)
            )
        await asyncio.shield(borrow_task)

    async def _borrow_round(self, account: str) -> None:
        """Ask the other entries in random order until a credit is free."""
        limit = self._limit_of(account)
        share = limit / len(self._entry_ids) * BORROW_SHARE
        wanted = max(1, int(share))
        lenders = [n for n in self._entry_ids if n in self._link_by_id]
        self._env.random.shuffle(lenders)
        for lender in lenders:
            if not self._link_by_id[lender].is_connected:
                continue
            await self._request_credits(account, lender, wanted)
            if self.free_credits(account) > 0:
                return

    async def _request_credits(
        self, account: str, lender: str, wanted: int
    ) -> None:
        """Request credits from one entry; renew those borrowed before."""
        sent_at = self._env.timer.now()
        credits_by_lender = self._borrowed_by_account.setdefault(account, {})
        borrowed_credits = credits_by_lender.get(lender)
        reply = await self._link_by_id[lender].try_call(
            messages.CreditRequest(
                pool=account,
                holder=self._node_id,
                incarnation=self._incarnation,
                wanted=wanted,
                in_use=borrowed_credits.amount
                if borrowed_credits is not None
                else 0,
            ),
            timeout_s=BORROW_TIMEOUT_S,
        )
        if isinstance(reply, messages.CreditReply):
            credits_by_lender[lender] = BorrowedCredits(
                amount=reply.granted,
                valid_until=sent_at + reply.lease_ms / units.MS_PER_S,
            )

    async def run(self) -> None:
        """Periodically renew borrowed credits in use, return the rest."""
        self._started_at = self._env.timer.now()
        async for _ in self._env.timer.subscribe(period_s=self._lease_s / 3):
            for account in list(self._borrowed_by_account):
                await self._renew_borrowed(account)

    async def _renew_borrowed(self, account: str) -> None:
        """Renew the credits that requests still need, return the rest."""
        needed = self._in_use_by_account[account] - self.owned_credits(account)
        credits_by_lender = self._borrowed_by_account[account]
        for lender, borrowed_credits in list(credits_by_lender.items()):
            kept = max(0, min(borrowed_credits.amount, needed))
            needed -= kept
            credits_by_lender[lender] = dataclasses.replace(
                borrowed_credits, amount=kept
            )
            await self._request_credits(account, lender, 0)
            if not kept:
                credits_by_lender.pop(lender, None)
        if not credits_by_lender:
            self._borrowed_by_account.pop(account, None)

    async def on_credit_request(
        self, peer: messages.Greeting, body: messages.CreditRequest
    ) -> messages.Message:
        """Renew the loan of a peer, and lend it more if it asks for more.

        The loan is cut to what the peer reports as in use, and then
        grows by at most half (rounded up) of the credits free here. A loan
        that this entry does not know, or knows from another incarnation
        of the peer, counts as the peer reports it.
        """
        loans = self._loans_by_account.setdefault(body.pool, {})
        current_loan = loans.pop(body.holder, None)
        kept = body.in_use
        if (
            current_loan is not None
            and current_loan.incarnation == body.incarnation
        ):
            kept = min(current_loan.amount, body.in_use)
        spare = self.free_credits(body.pool) - kept
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
