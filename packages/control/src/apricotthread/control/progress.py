"""Replication progress of the peers, as tracked by the leader."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Progress:
    """How far the log of a peer is known to match the leader's log."""

    next_index: int
    match_index: int = 0
    applied_index: int = 0
    sent_commit_index: int = 0
    acknowledged_at: float = float('-inf')
    disk_id: str = ''

    def set_disk(self, disk_id: str) -> None:
        """Store which disk the peer has; a new one has none of the log."""
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.match_index = 0


class ProgressTable:
    """The progress of every peer, and what a majority has reached."""

    def __init__(self, *, peer_ids: list[str], next_index: int) -> None:
        self._next_index = next_index
        self.progress_by_id = {
            name: Progress(next_index=next_index) for name in peer_ids
        }

    def get_or_create(self, peer_id: str) -> Progress:
        """Return the progress of a peer; a new peer gets an initial one."""
        return self.progress_by_id.setdefault(
            peer_id, Progress(next_index=self._next_index)
        )

    def majority_acknowledged_at(
        self, disk_by_voter: dict[str, str], *, own_id: str, now: float
    ) -> float:
        """Return the latest time when a majority certainly followed."""
        acknowledged_times = [
            now
            if voter == own_id
            else self._acknowledged_at_of(voter, disk_id)
            for voter, disk_id in disk_by_voter.items()
        ]
        return _majority_value(acknowledged_times, default=float('-inf'))

    def _acknowledged_at_of(self, voter: str, disk_id: str) -> float:
        progress = self.progress_by_id.get(voter)
        if progress is None or progress.disk_id != disk_id:
            return float('-inf')
        return progress.acknowledged_at

    def majority_synced_index(
        self, disk_by_voter: dict[str, str], *, own_id: str, own_index: int
    ) -> int:
        """Return the index of the newest entry that a majority has synced."""
        match_indexes = [
            own_index
            if voter == own_id
            else self._match_index_of(voter, disk_id)
            for voter, disk_id in disk_by_voter.items()
        ]
        return int(_majority_value(match_indexes, default=0))

    def _match_index_of(self, voter: str, disk_id: str) -> int:
        progress = self.progress_by_id.get(voter)
        if progress is None or progress.disk_id != disk_id:
            return 0
        return progress.match_index


def _majority_value(values: list[float], *, default: float) -> float:
    """Return the highest value that a majority reaches."""
    if not values:
        return default
    return sorted(values)[(len(values) - 1) // 2]
