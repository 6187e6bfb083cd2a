"""Nodes of a fleet on a virtual clock, before workers that name limits."""

import bisect
import collections

from tests import retryworld

CONTACT_S = 3.0
KNOWN_S = 0.5
BOUND_WINDOW_S = 4.0
BOUND_FACTOR = 1.5
BOUND_SLACK = 5
UNLIMITED = float('inf')
# An eighth of the target of the route, and the steps of the clock.
LONGEST_WAIT_S = 0.125 * retryworld.ROUTE.target_s + 0.005


class LimitWorld(retryworld.RetryWorld):
    """A RetryWorld whose workers name limits, each one of its own.

    `limit_by_address` has the limits that are named at present, as numbers
    or as texts that are sent as they are.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.limit_by_address = {}
        # When each worker named which limit.
        self._named_by_address = collections.defaultdict(list)
        # The requests of entries that had been told for a while.
        self.told_arrivals = []
        self.answers_with_limits = 0
        # When an entry first passed on an answer that named one.
        self._told_at_by_pair = {}

    def set_limit(self, address, limit):
        """Have a worker name a limit from now on, None for none."""
        self.limit_by_address[address] = limit
        is_number = isinstance(limit, float)
        self._named_by_address[address].append(
            (self.env.timer.now(), limit if is_number else UNLIMITED)
        )

    def name_limit(self, address, node_id):
        """Return the header of the limit, and note who was told."""
        limit = self.limit_by_address.get(address)
        if limit is None:
            return []
        self.answers_with_limits += 1
        self._told_at_by_pair.setdefault(
            (address, node_id), self.env.timer.now()
        )
        return [(b'server-limit', str(limit).encode())]

    async def kill(self, *node_ids):
        """End nodes at once, with what they were told."""
        for pair in list(self._told_at_by_pair):
            if pair[1] in node_ids:
                del self._told_at_by_pair[pair]
        await super().kill(*node_ids)

    def note_arrival(self, address, request_id, node_id):
        """Record a request, and whether its entry knew of the limit."""
        super().note_arrival(address, request_id, node_id)
        arrival = self.arrivals[-1]
        told_at = self._told_at_by_pair.get((address, node_id), UNLIMITED)
        if arrival.at - told_at >= KNOWN_S:
            self.told_arrivals.append(arrival)

    def known_limit(self, node_id, address):
        """Return what an entry takes for the limit of a worker."""
        return self.node_by_id[node_id].entry.limits.find_limit(address)

    def count(self, node_id, name):
        """Return a counter of a node."""
        return self.metrics_by_id[node_id].count_by_name[name]

    def worst_excess(self):
        """Return by how many requests the worst window passes a limit.

        A limit counts from CONTACT_S after it was named; meanwhile the
        highest one of that time does.
        """
        worst = -UNLIMITED
        times_by_address = collections.defaultdict(list)
        for arrival in self.told_arrivals:
            times_by_address[arrival.address].append(arrival.at)
        for address, times in times_by_address.items():
            for first, start in enumerate(times):
                end = start + BOUND_WINDOW_S
                count = bisect.bisect_left(times, end) - first
                allowed = (
                    BOUND_FACTOR * self._allowed(address, start, end)
                    + BOUND_SLACK
                )
                worst = max(worst, count - allowed)
        return worst

    def _allowed(self, address, start, end):
        """Return how many requests the limits of a window add up to."""
        named = self._named_by_address[address]
        if not named or start < named[0][0] + CONTACT_S:
            return UNLIMITED
        steps = sorted(
            {start, end}
            | {at for at, _ in named if start < at < end}
            | {
                at + CONTACT_S
                for at, _ in named
                if start < at + CONTACT_S < end
            }
        )
        return sum(
            (after - before) * self._highest_limit(named, (before + after) / 2)
            for before, after in zip(steps, steps[1:])
        )

    def _highest_limit(self, named, at):
        """Return the highest limit that was in force in the last seconds."""
        first = max(
            (
                number
                for number, (named_at, _) in enumerate(named)
                if named_at <= at - CONTACT_S
            ),
            default=0,
        )
        return max(
            limit for named_at, limit in named[first:] if named_at <= at
        )

    def used_share(self, start, end):
        """Return which share of the present limits was used in a time."""
        count = sum(start <= arrival.at < end for arrival in self.arrivals)
        return count / (end - start) / sum(self.limit_by_address.values())
