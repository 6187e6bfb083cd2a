"""Estimates the load of each endpoint and ejects endpoints that fail."""

import collections
import collections.abc
import dataclasses
import statistics

from apricotthread.base import environment

# The weight of an endpoint's last reported load halves in this time, as the
# requests of other entries come and go.
OTHERS_HALF_LIFE_S = 1.0
# Weight of the newest response in the moving average, which is used while
# the leader sends no sums.
NEW_REPORT_WEIGHT = 1 / 16
# After this many failures in a row an endpoint is ejected for this time: it
# gets fewer requests than its peers.
EJECT_S = 2.0
EJECT_AFTER_FAILURES = 3
COLD_WINDOW_S = 1.0


@dataclasses.dataclass(kw_only=True)
class EndpointLoad:
    """The load of one endpoint, as this entry knows it.

    `in_flight` counts the requests of this entry, `others_in_flight` those
    of all other entries, estimated from the last response at the time
    `others_updated_at`.
    """

    in_flight: int = 0
    # Those of in_flight that were deferred and have not begun.
    deferred: int = 0
    # The value of in_flight in this entry's last report to the leader.
    reported_in_flight: int = 0
    others_in_flight: float = 0.0
    others_updated_at: float = float('-inf')
    last_byte_at: float = float('-inf')
    failures_in_row: int = 0
    ejected_until: float = float('-inf')
    send_times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class LoadTable:
    """Keeps the loads of all endpoints by id.

    The number of own requests in flight is exact. The number of other
    entries' requests comes from the endpoint's last response. As the
    response ages, it counts less, and the mean over the endpoints of the
    same model counts more. The leader's sums of all entries' reports give
    that mean.
    """

    def __init__(self, *, env: environment.Environment) -> None:
        self._env = env
        self.load_by_id: dict[str, EndpointLoad] = {}
        self._mean_others_by_model = collections.defaultdict(float)

    def get_load(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of an endpoint, adding it if it is new."""
        load = self.load_by_id.get(endpoint_id)
        if load is None:
            load = EndpointLoad()
            self.load_by_id[endpoint_id] = load
        return load

    def note_load(
        self, endpoint_id: str, *, model: str, requests: int
    ) -> None:
        """Update an endpoint's load from a response.

        `requests` counts those that run or wait at the endpoint.
        """
        load = self.get_load(endpoint_id)
        load.others_in_flight = max(0.0, requests - load.in_flight)
        load.others_updated_at = self._env.timer.now()
        mean = self._mean_others_by_model[model]
        self._mean_others_by_model[model] += (
            load.others_in_flight - mean
        ) * NEW_REPORT_WEIGHT

    def report_in_flight(self) -> dict[str, int]:
        """Return the own requests in flight by endpoint id, for a report.

        Remembers the numbers as reported.
        """
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
        """Update the means per model from the sums of all entries' reports.

        Only the means are used. The sum of a single endpoint is too old:
        all entries would send to the endpoint that had the lowest sum.
        """
        for model, endpoint_ids in endpoint_ids_by_model.items():
            self._mean_others_by_model[model] = statistics.fmean(
                max(
                    0,
                    in_flight_by_id.get(endpoint_id, 0)
                    - self.get_load(endpoint_id).reported_in_flight,
                )
                for endpoint_id in endpoint_ids
            )

    def estimate(self, endpoint_id: str, *, model: str) -> float:
        """Return the estimated number of requests at an endpoint."""
        mean = self._mean_others_by_model[model]
        load = self.load_by_id.get(endpoint_id)
        if load is None:
            return mean
        age_s = self._env.timer.now() - load.others_updated_at
        if age_s > 8 * OTHERS_HALF_LIFE_S:
            return load.in_flight + mean
        trust = 0.5 ** (age_s / OTHERS_HALF_LIFE_S)
        return (
            load.in_flight + trust * load.others_in_flight + (1 - trust) * mean
        )

    def estimate_deferred_share(
        self, endpoint_ids: collections.abc.Iterable[str]
    ) -> float:
        """Return the share of the requests at endpoints that is deferred.

        It is that of this entry's requests; other entries have as many.
        """
        own_loads = [
            load
            for name in endpoint_ids
            if (load := self.load_by_id.get(name)) is not None
        ]
        in_flight = sum(load.in_flight for load in own_loads)
        return sum(load.deferred for load in own_loads) / max(1, in_flight)

    def start(self, endpoint_id: str) -> None:
        """Count a request that is about to be sent."""
        load = self.get_load(endpoint_id)
        load.in_flight += 1
        load.send_times.append(self._env.timer.now())
        while len(load.send_times) > 64:
            load.send_times.popleft()

    def end(self, endpoint_id: str) -> None:
        """Stop counting a request that has ended."""
        load = self.get_load(endpoint_id)
        load.in_flight = max(0, load.in_flight - 1)

    def note_byte(self, endpoint_id: str) -> None:
        """Record that an endpoint has just sent data."""
        self.get_load(endpoint_id).last_byte_at = self._env.timer.now()

    def note_success(self, endpoint_id: str) -> None:
        """Record a good answer, which ends a row of failures."""
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
        """Whether an endpoint is ejected at present."""
        load = self.load_by_id.get(endpoint_id)
        return load is not None and (
            load.ejected_until > self._env.timer.now()
        )

    def sent_within_cold_window(self, endpoint_id: str) -> int:
        """Return how many requests this entry sent in the last second."""
        oldest = self._env.timer.now() - COLD_WINDOW_S
        return sum(
            sent_at > oldest
            for sent_at in self.get_load(endpoint_id).send_times
        )

    def forget(self, endpoint_id: str) -> None:
        """Drop the load of an endpoint that is gone, unless it is in use."""
        load = self.load_by_id.get(endpoint_id)
        if load is not None and not load.in_flight:
            del self.load_by_id[endpoint_id]
