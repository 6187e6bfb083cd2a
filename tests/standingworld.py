"""Nodes of a fleet on a virtual clock, before workers that leave or refuse."""

import collections

from tests import retryworld

# The bounds of the platform.
DRAIN_S = 2.0
KNOWN_S = 0.5
MAX_IN_BUSY_TIME = 2


class StandingWorld(retryworld.RetryWorld):
    """A RetryWorld whose workers say in answers that they want no requests.

    `leaving` are the addresses that say so in all answers, though what they
    announce does not. Those in `refusing` refuse all requests at once; the
    value is the text of the time that they name, None for none.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.leaving = set()
        self.refusing = {}
        self.refusals_only = False
        self._is_closed = False
        self.times_told = 0
        # Requests that came to a worker too late after an entry was told.
        self.late_arrivals = []
        # When each entry was told first that a worker leaves.
        self._told_at_by_pair = {}
        # Start, end and requests of each time that a worker named.
        self._busy_times_by_pair = collections.defaultdict(list)
        self._sent_at_by_request = {}

    async def _request(self, node_id, request_id):
        self._sent_at_by_request[request_id] = self.env.timer.now()
        await super()._request(node_id, request_id)

    def _tell(self, address, node_id):
        if address not in self.leaving:
            return []
        self.times_told += 1
        self._told_at_by_pair.setdefault(
            (address, node_id), self.env.timer.now()
        )
        return [(b'server-leaving', b'1')]

    def name_limit(self, address, node_id):
        """Return the headers of a success."""
        return [] if self.refusals_only else self._tell(address, node_id)

    def refuse(self, address, node_id):
        """Return the headers of a refusal, if the worker refuses."""
        if address not in self.refusing:
            return None
        named = self.refusing[address]
        headers = [(b'instance-load', b'0,0,50')]
        headers += self._tell(address, node_id)
        if named is not None:
            now = self.env.timer.now()
            headers.append((b'retry-after', named.encode()))
            self._busy_times_by_pair[address, node_id].append(
                [now + KNOWN_S, now + read_seconds(named), 0]
            )
        return headers

    def note_arrival(self, address, request_id, node_id):
        """Record a request, and whether it should not have come."""
        super().note_arrival(address, request_id, node_id)
        now = self.env.timer.now()
        told_at = self._told_at_by_pair.get((address, node_id))
        sent_at = self._sent_at_by_request[request_id]
        if told_at is not None and sent_at > told_at + DRAIN_S:
            self.late_arrivals.append((address, node_id, now))
        for busy_time in self._busy_times_by_pair[address, node_id]:
            if busy_time[0] <= now < busy_time[1]:
                busy_time[2] += 1

    async def kill(self, *node_ids):
        """End nodes at once, with what they were told."""
        if not self._is_closed:
            for by_pair in (self._told_at_by_pair, self._busy_times_by_pair):
                for pair in [p for p in by_pair if p[1] in node_ids]:
                    del by_pair[pair]
        await super().kill(*node_ids)

    async def close(self):
        """End all tasks, and keep what was recorded."""
        self._is_closed = True
        await super().close()

    def restart_worker(self, address):
        """Have another incarnation of a worker begin at its address."""
        self.leaving.discard(address)
        self.refusing.pop(address, None)
        for pair in [p for p in self._told_at_by_pair if p[0] == address]:
            del self._told_at_by_pair[pair]
        self.born_ms_by_address[address] = self.born_ms + 1

    def most_in_a_busy_time(self):
        """Return the most requests that came in a time that was named."""
        counts = [
            busy_time[2]
            for busy_times in self._busy_times_by_pair.values()
            for busy_time in busy_times
        ]
        assert counts
        return max(counts)

    def told_entries(self):
        """Return how many entries were told that each worker leaves."""
        return collections.Counter(pair[0] for pair in self._told_at_by_pair)

    def count_arrivals(self, addresses, start, end=float('inf')):
        """Return how many requests came to these workers in a time."""
        return sum(
            start <= arrival.at < end and arrival.address in addresses
            for arrival in self.arrivals
        )


def read_seconds(text):
    """Return a time that a worker names, 0 if a sound reader takes none."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < 3600 else 0.0
