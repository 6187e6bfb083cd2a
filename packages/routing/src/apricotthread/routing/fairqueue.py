"""A short, bounded queue with weighted fair shares for accounts."""

import asyncio
import collections
import dataclasses
import itertools

from apricotthread.routing import calls


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """One queued request; its future gets the reserved slot."""

    call: calls.AnyCall
    weight: float
    start_tag: float
    order: int
    future: asyncio.Future
    local_only: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the request still waits for a slot."""
        return not self.future.done()


class FairQueue:
    """Start-time fair queueing over the accounts of one service.

    On a virtual clock, a request of an account starts when the one
    before it finishes, or now if that is later; it takes its cost
    divided by the account's weight. The request with the earliest start
    is served next. Accounts that always have requests queued are served
    in proportion to their weights; an idle account neither loses nor
    accumulates a share.
    """

    def __init__(self, *, length: int) -> None:
        self._max_length = length
        self._waiters: list[Waiter] = []
        self._finish_by_account: dict[str, float] = {}
        self._virtual_time = 0.0
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def charge(self, call: calls.AnyCall, weight: float) -> float:
        """Charge an account for a request; return its virtual start."""
        finish = self._finish_by_account.get(call.account, 0.0)
        start = max(self._virtual_time, finish)
        self._finish_by_account[call.account] = start + call.cost / weight
        return start

    def push(
        self,
        call: calls.AnyCall,
        weight: float,
        future: asyncio.Future,
        *,
        local_only: bool = False,
    ) -> Waiter:
        """Queue a request behind the others of its account."""
        waiter = Waiter(
            call=call,
            weight=weight,
            start_tag=self.charge(call, weight),
            order=next(self._order),
            future=future,
            local_only=local_only,
        )
        self._waiters.append(waiter)
        return waiter

    def peek(self) -> Waiter | None:
        """Return the request to serve next, None if the queue is empty."""
        return min(
            self._waiters,
            key=lambda waiter: (waiter.start_tag, waiter.order),
            default=None,
        )

    def pop(self, waiter: Waiter) -> None:
        """Remove a request that is served, and advance the clock."""
        self._waiters.remove(waiter)
        self._virtual_time = max(self._virtual_time, waiter.start_tag)
        if not self._waiters:
            self._drop_idle_accounts()

    def _drop_idle_accounts(self) -> None:
        """Drop accounts whose last finish is not ahead of the clock."""
        self._finish_by_account = {
            account: finish
            for account, finish in self._finish_by_account.items()
            if finish > self._virtual_time
        }

    def remove_unserved(self, waiter: Waiter) -> None:
        """Remove a request without serving it, and refund its cost."""
        if waiter not in self._waiters:
            return
        self._waiters.remove(waiter)
        refund = waiter.call.cost / waiter.weight
        account = waiter.call.account
        self._finish_by_account[account] -= refund
        for other in self._waiters:
            is_later = other.order > waiter.order
            if other.call.account == account and is_later:
                other.start_tag -= refund

    def find_victim(self, account: str, weight: float) -> Waiter | None:
        """Return the request to evict from a full queue for a new one.

        It is the newest request of the account with the most requests
        queued for its weight. Returns None if the account of the new
        request, with that request, would have as many for its weight, or
        more.
        """
        request_count_by_account = collections.Counter(
            waiter.call.account for waiter in self._waiters
        )
        weight_by_account = {
            waiter.call.account: waiter.weight for waiter in self._waiters
        }
        weight_by_account[account] = weight
        request_count_by_account[account] += 1

        def usage(name: str) -> float:
            """Return the queued requests of an account per weight."""
            return request_count_by_account[name] / weight_by_account[name]

        largest = max(
            request_count_by_account,
            key=lambda name: (usage(name), name),
        )
        if largest == account or usage(largest) <= usage(account):
            return None
        return max(
            (w for w in self._waiters if w.call.account == largest),
            key=lambda waiter: waiter.order,
        )

    @property
    def is_full(self) -> bool:
        """Whether the queue holds as many requests as it may."""
        return len(self._waiters) >= self._max_length

    def cost_ahead(self, account: str) -> float:
        """Return the cost served before a new request of an account."""
        start = max(
            self._virtual_time, self._finish_by_account.get(account, 0.0)
        )
        return sum(
            waiter.call.cost
            for waiter in self._waiters
            if waiter.start_tag <= start
        )
