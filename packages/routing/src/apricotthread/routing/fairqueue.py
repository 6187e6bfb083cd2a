"""A short, bounded queue, fair by weight among client accounts."""

import asyncio
import collections
import dataclasses
import itertools

from apricotthread.routing import calls


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """One request that waits for its turn."""

    call: calls.AnyCall
    weight: float
    start_tag: float
    order: int
    future: asyncio.Future
    local_only: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the request still wants its turn."""
        return not self.future.done()


class FairQueue:
    """Start-time fair queueing over the accounts of one service.

    Each account's requests are spaced by cost over weight on a virtual
    clock, and the request with the lowest start is next. So accounts
    that always wait are served in proportion to their weights, and one
    that was idle neither loses nor saves up anything.
    """

    def __init__(self, *, length: int) -> None:
        self._length = length
        self._waiters: list[Waiter] = []
        self._finish_by_account: dict[str, float] = {}
        self._virtual_time = 0.0
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def charge(self, call: calls.AnyCall, weight: float) -> float:
        """Space a request on its account's clock; return its start."""
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
        """Add a request at the end of its account's line."""
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
        """Return the request whose turn is next."""
        return min(
            self._waiters,
            key=lambda waiter: (waiter.start_tag, waiter.order),
            default=None,
        )

    def pop(self, waiter: Waiter) -> None:
        """Take a request out for its turn."""
        self._waiters.remove(waiter)
        self._virtual_time = max(self._virtual_time, waiter.start_tag)
        if not self._waiters:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Forget accounts whose clock is not ahead of the queue's."""
        self._finish_by_account = {
            account: finish
            for account, finish in self._finish_by_account.items()
            if finish > self._virtual_time
        }

    def remove_unserved(self, waiter: Waiter) -> None:
        """Take a request out that gave up, and refund its cost."""
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
        """Return who must make room in a full queue, None for nobody.

        It is the newest request of the account that is most over its
        share of the queue, if that is more over it than the newcomer.
        """
        count_by_account = collections.Counter(
            waiter.call.account for waiter in self._waiters
        )
        weight_by_account = {
            waiter.call.account: waiter.weight for waiter in self._waiters
        }
        weight_by_account[account] = weight
        count_by_account[account] += 1

        def excess(name: str) -> float:
            return count_by_account[name] / weight_by_account[name]

        worst = max(count_by_account, key=lambda name: (excess(name), name))
        if worst == account or excess(worst) <= excess(account):
            return None
        return max(
            (w for w in self._waiters if w.call.account == worst),
            key=lambda waiter: waiter.order,
        )

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its length."""
        return len(self._waiters) >= self._length

    def cost_ahead(self, account: str) -> float:
        """Return the cost that would be served before a new request."""
        start = max(
            self._virtual_time, self._finish_by_account.get(account, 0.0)
        )
        return sum(
            waiter.call.cost
            for waiter in self._waiters
            if waiter.start_tag <= start
        )
