"""An entry's view of the fleet, merged from its control nodes' updates."""

import collections
import collections.abc
import dataclasses

import msgspec

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fleet import updates

# A head that closes finishes its requests first.
SERVING_STATES = frozenset(
    {directory.MemberState.OPEN, directory.MemberState.CLOSING}
)


@dataclasses.dataclass(kw_only=True)
class KnownEndpoint:
    """The state of an endpoint, and which control nodes have lost it."""

    announced: directory.Announcement
    gone: bool
    cold_until: float
    lost_by: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replica:
    """An endpoint that accepts requests of one model or plain service.

    For a model it is the head of a group that is whole and open.
    """

    endpoint_id: str
    address: str
    data_centre: str
    model: str
    slots: int
    group_id: str = ''
    epoch: int = 0
    # The incarnation of the endpoint: its start in Unix ms.
    born_ms: int = 0


class FleetView:
    """Merges the updates of several control nodes.

    The agreed state with the highest log index is used, and the newest
    announcement of each endpoint. An endpoint is lost if every connected
    control node reports it lost; while no control node is connected, the
    last state is kept.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        on_table: collections.abc.Callable[
            [routetables.RouteTable], None
        ] = lambda table: None,
    ) -> None:
        self._env = env
        self._on_table = on_table
        self._connected: set[str] = set()
        # By service, and in each by endpoint id.
        self._replicas_by_service: dict[str, dict[str, Replica]] = {}
        self.applied_index = -1
        self.table: routetables.RouteTable | None = None
        self.taken_out: frozenset[str] = frozenset()
        self._groups_by_control: dict[str, dict[str, updates.GroupNews]] = {}
        self.groups: tuple[updates.GroupNews, ...] = ()
        self.endpoint_by_id: dict[str, KnownEndpoint] = {}
        self.last_update_at = float('-inf')

    @property
    def connected(self) -> frozenset[str]:
        """The ids of the control nodes that send updates at present."""
        return frozenset(self._connected)

    def connect(self, control_id: str) -> None:
        """Add a control node whose next update is about to be applied."""
        self._connected.add(control_id)

    def disconnect(self, control_id: str) -> None:
        """Remove a control node and its reports of lost endpoints."""
        self._connected.discard(control_id)
        self._groups_by_control.pop(control_id, None)
        for known in self.endpoint_by_id.values():
            known.lost_by.discard(control_id)
        self._replicas_by_service.clear()

    def apply_update(
        self, control_id: str, update: updates.FleetUpdate
    ) -> None:
        """Merge an update of one control node."""
        self.last_update_at = self._env.timer.now()
        groups = self._groups_by_control.setdefault(control_id, {})
        if update.complete:
            groups.clear()
            for known in self.endpoint_by_id.values():
                known.lost_by.discard(control_id)
        for news in update.endpoints:
            self._apply_endpoint(control_id, news)
        if update.table:
            self._apply_table(update)
        for group in update.changed_groups:
            groups[group.group_id] = group
        for group_id in update.ended_groups:
            groups.pop(group_id, None)
        if update.applied_index > self.applied_index:
            self.applied_index = update.applied_index
            self.taken_out = frozenset(update.taken_out)
            self.groups = tuple(groups.values())
        self._replicas_by_service.clear()

    def _apply_table(self, update: updates.FleetUpdate) -> None:
        if self.table is not None and (
            update.table_version <= self.table.version
        ):
            return
        self.table = routetables.unpack_table(update.table)
        logs.log_event(
            'table_in_force',
            version=self.table.version,
            routes=len(self.table.routes),
        )
        self._on_table(self.table)

    def _apply_endpoint(
        self, control_id: str, news: updates.EndpointNews
    ) -> None:
        announced = news.heard.announcement
        cold_until = (
            self._env.timer.now() + announced.cold_s - news.heard.age_s
        )
        known = self.endpoint_by_id.get(announced.endpoint_id)
        if known is None or announced.born_ms > known.announced.born_ms:
            known = KnownEndpoint(
                announced=announced,
                gone=news.heard.gone,
                cold_until=cold_until,
            )
            self.endpoint_by_id[announced.endpoint_id] = known
        elif announced.born_ms < known.announced.born_ms:
            return
        else:
            known.gone = known.gone or news.heard.gone
            is_leaving = announced.leaving or known.announced.leaving
            if announced.sequence >= known.announced.sequence:
                known.announced = announced
                if announced.cold_s > 0:
                    known.cold_until = cold_until
            if is_leaving:
                self._mark_leaving(known)
        if news.lost:
            known.lost_by.add(control_id)
        else:
            known.lost_by.discard(control_id)

    def note_leaving(self, endpoint_id: str, born_ms: int) -> bool:
        """Record that an incarnation leaves; return whether that is news.

        It holds for the rest of the incarnation, whatever it announces.
        """
        known = self.endpoint_by_id.get(endpoint_id)
        if known is None or known.announced.born_ms != born_ms:
            return False
        if known.announced.leaving:
            return False
        self._mark_leaving(known)
        self._replicas_by_service.clear()
        return True

    def _mark_leaving(self, known: KnownEndpoint) -> None:
        if not known.announced.leaving:
            known.announced = msgspec.structs.replace(
                known.announced, leaving=True
            )

    def _is_not_leaving(self, endpoint_id: str) -> bool:
        """Whether an endpoint is known and has not announced its leaving."""
        known = self.endpoint_by_id.get(endpoint_id)
        return not (known is None or known.gone or known.announced.leaving)

    def is_available(self, endpoint_id: str) -> bool:
        """Whether an endpoint is known and neither lost nor leaving."""
        known = self.endpoint_by_id.get(endpoint_id)
        if known is None or known.gone or known.announced.leaving:
            return False
        return not known.lost_by or bool(self._connected - known.lost_by)

    def has_ended(self, endpoint_id: str) -> bool:
        """Whether an endpoint has ended, or is silent for all control nodes.

        The head of a group that was dissolved has not.
        """
        known = self.endpoint_by_id.get(endpoint_id)
        if known is None or known.gone:
            return True
        return bool(known.lost_by) and not self._connected - known.lost_by

    def cold_for_s(self, endpoint_id: str) -> float:
        """Return how many seconds an endpoint stays cold, 0 if warm."""
        known = self.endpoint_by_id.get(endpoint_id)
        if known is None:
            return 0.0
        return max(0.0, known.cold_until - self._env.timer.now())

    def replicas(self, service: str) -> collections.abc.Collection[Replica]:
        """Return the replicas that accept new requests of a service."""
        return self._get_replicas(service).values()

    def _get_replicas(self, service: str) -> dict[str, Replica]:
        known = self._replicas_by_service.get(service)
        if known is None:
            known = {
                replica.endpoint_id: replica
                for replica in self._find_replicas(service)
            }
            self._replicas_by_service[service] = known
        return known

    def endpoint_ids_by_model(self) -> dict[str, list[str]]:
        """Return replicas' endpoint ids by model; '' is for plain services."""
        ids_by_model = collections.defaultdict(list)
        for service in self.table.services if self.table else ():
            for replica in self.replicas(service.name):
                ids_by_model[replica.model].append(replica.endpoint_id)
        return ids_by_model

    def _find_replicas(self, service: str) -> list[Replica]:
        row = self.table.service_by_name().get(service)
        if row is not None and row.engine is not None:
            return [
                replica
                for group in self.groups
                if group.service == service
                for replica in self._open_heads(group, row.engine)
            ]
        return [
            Replica(
                endpoint_id=endpoint_id,
                address=known.announced.address,
                data_centre=known.announced.data_centre,
                model='',
                slots=known.announced.slots,
                born_ms=known.announced.born_ms,
            )
            for endpoint_id, known in self.endpoint_by_id.items()
            if known.announced.service == service
            and known.announced.data_centre not in self.taken_out
            and self.is_available(endpoint_id)
        ]

    def _open_heads(
        self, group: updates.GroupNews, engine: routetables.EngineProfile
    ) -> collections.abc.Iterator[Replica]:
        """Yield the head of a group if the group is whole and open.

        A silent member may be cut off from the control nodes only, so it
        is no reason to skip the group; the leader decides whether it works
        by the group's progress.
        """
        if not all(self._is_not_leaving(name) for name in group.member_ids):
            return
        announced = self.endpoint_by_id[group.member_ids[0]].announced
        place = announced.place
        if (
            place is None
            or place.group_id != group.group_id
            or place.epoch != group.epoch
            or place.state is not directory.MemberState.OPEN
            or announced.data_centre in self.taken_out
        ):
            return
        yield Replica(
            endpoint_id=announced.endpoint_id,
            address=announced.address,
            data_centre=announced.data_centre,
            model=group.model,
            slots=engine.slots,
            group_id=group.group_id,
            epoch=group.epoch,
            born_ms=announced.born_ms,
        )

    def member_ids(self, replica: Replica) -> tuple[str, ...]:
        """Return the endpoints that a replica needs, its own first."""
        for group in self.groups:
            if group.group_id == replica.group_id and (
                group.epoch == replica.epoch
            ):
                return group.member_ids
        return (replica.endpoint_id,)

    def is_departing(self, endpoint_id: str) -> bool:
        """Whether an endpoint has said that it leaves, or has ended."""
        return not self._is_not_leaving(endpoint_id)

    def takes_requests(self, replica: Replica) -> bool:
        """Whether a replica accepts new requests."""
        known = self.endpoint_by_id.get(replica.endpoint_id)
        if known is None or self.table is None:
            return False
        replicas = self._get_replicas(known.announced.service)
        return replicas.get(replica.endpoint_id) == replica

    def is_lost(self, replica: Replica) -> bool:
        """Whether a replica can not finish the requests that it has.

        One that takes no new requests can: before it leaves, before its
        group is repaired, and while its data centre is taken out.
        """
        known = self.endpoint_by_id.get(replica.endpoint_id)
        if known is None:
            return True
        if not replica.group_id:
            return False
        place = known.announced.place
        if (
            place is None
            or place.group_id != replica.group_id
            or place.epoch != replica.epoch
            or place.state not in SERVING_STATES
        ):
            return True
        # A head that said that it is gone may finish its requests, though its
        # group is repaired or dissolved at once.
        return not known.gone and not any(
            group.group_id == replica.group_id and group.epoch == replica.epoch
            for group in self.groups
        )
