"""What an entry knows of the load of each endpoint."""

import collections
import dataclasses
import statistics

from apricotthread.base import environment

# Others' requests come and go; a report says little after this time.
REPORT_TAU_S = 1.0
# Of the newest response in the mean, while the leader's sums do not come.
REPORT_WEIGHT = 1 / 16
# An endpoint that fails in a row gets less than its peers for this time.
EJECT_S = 2.0
EJECT_AFTER_FAILURES = 3
COLD_WINDOW_S = 1.0


@dataclasses.dataclass(kw_only=True)
class EndpointLoad:
    """The load of one endpoint, as far as this entry knows."""

    in_flight: int = 0
    # As this entry said it in its last report.
    reported_in_flight: int = 0
    others: float = 0.0
    reported_at: float = float('-inf')
    last_byte_at: float = float('-inf')
    failures_in_row: int = 0
    ejected_until: float = float('-inf')
    sent_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class LoadTable:
    """The loads of all endpoints by id.

    Own work in flight is exact. What other entries have there is known
    from the last response; with time it counts less, and the mean over the
    model's endpoints more, which the leader makes of all entries' reports.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self.load_by_id: dict[str, EndpointLoad] = {}
        self._mean_others = collections.defaultdict(float)

    def get_load(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of an endpoint."""
        load = self.load_by_id.get(endpoint_id)
        if load is None:
            load = EndpointLoad()
            self.load_by_id[endpoint_id] = load
        return load

    def note_load(
        self, endpoint_id: str, *, model: str, running: int, waiting: int
    ) -> None:
        """Take what an endpoint's response says of its load."""
        load = self.get_load(endpoint_id)
        load.others = max(0.0, running + waiting - load.in_flight)
        load.reported_at = self._env.timer.now()
        mean = self._mean_others[model]
        self._mean_others[model] += (load.others - mean) * REPORT_WEIGHT

    def report_in_flight(self) -> dict[str, int]:
        """Return the own work at each endpoint, for this entry's report."""
        for load in self.load_by_id.values():
            load.reported_in_flight = load.in_flight
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self.load_by_id.items()
            if load.in_flight
        }

    def apply_in_flight_sums(
        self,
        in_flight_by_id: dict[str, int],
        endpoint_ids_by_model: dict[str, list[str]],
    ) -> None:
        """Take the work of all entries at each endpoint, as reported.

        Only the means are used: of a single endpoint the sums are too old,
        and all entries would send to the one that had the least.
        """
        for model, endpoint_ids in endpoint_ids_by_model.items():
            self._mean_others[model] = statistics.fmean(
                max(
                    0,
                    in_flight_by_id.get(endpoint_id, 0)
                    - self.get_load(endpoint_id).reported_in_flight,
                )
                for endpoint_id in endpoint_ids
            )

    def estimate(self, endpoint_id: str, *, model: str) -> float:
        """Return how many requests an endpoint probably has."""
        mean = self._mean_others[model]
        load = self.load_by_id.get(endpoint_id)
        if load is None:
            return mean
        age_s = self._env.timer.now() - load.reported_at
        if age_s > 8 * REPORT_TAU_S:
            return load.in_flight + mean
        trust = 0.5 ** (age_s / REPORT_TAU_S)
        return load.in_flight + trust * load.others + (1 - trust) * mean

    def start(self, endpoint_id: str) -> None:
        """Count a request that is being sent."""
        load = self.get_load(endpoint_id)
        load.in_flight += 1
        load.sent_at.append(self._env.timer.now())
        while len(load.sent_at) > 64:
            load.sent_at.popleft()

    def end(self, endpoint_id: str) -> None:
        """Stop counting a request."""
        load = self.get_load(endpoint_id)
        load.in_flight = max(0, load.in_flight - 1)

    def note_byte(self, endpoint_id: str) -> None:
        """Remember that an endpoint has just sent something."""
        self.get_load(endpoint_id).last_byte_at = self._env.timer.now()

    def note_success(self, endpoint_id: str) -> None:
        """Count a good answer."""
        self.get_load(endpoint_id).failures_in_row = 0

    def note_failure(self, endpoint_id: str) -> bool:
        """Count a failure; return whether it ejects the endpoint."""
        load = self.get_load(endpoint_id)
        load.failures_in_row += 1
        if load.failures_in_row < EJECT_AFTER_FAILURES:
            return False
        load.ejected_until = self._env.timer.now() + EJECT_S
        return True

    def is_ejected(self, endpoint_id: str) -> bool:
        """Whether an endpoint has failed too often just now."""
        load = self.load_by_id.get(endpoint_id)
        return load is not None and (
            load.ejected_until > self._env.timer.now()
        )

    def sent_within_cold_window(self, endpoint_id: str) -> int:
        """Return how many requests this entry sent within a second."""
        oldest = self._env.timer.now() - COLD_WINDOW_S
        return sum(
            moment > oldest for moment in self.get_load(endpoint_id).sent_at
        )

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        load = self.load_by_id.get(endpoint_id)
        if load is not None and not load.in_flight:
            del self.load_by_id[endpoint_id]
