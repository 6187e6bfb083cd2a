"""What a leader knows of its peers' logs."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Progress:
    """How far a peer's log is known to match, while this node leads."""

    next_index: int
    match_index: int = 0
    applied_index: int = 0
    sent_commit_index: int = 0
    acknowledged_at: float = float('-inf')
    disk_id: str = ''


class ProgressTable:
    """The progress of every peer, and what a majority has of it."""

    def __init__(self, *, peer_ids: list[str], next_index: int) -> None:
        self._next_index = next_index
        self.by_id = {
            name: Progress(next_index=next_index) for name in peer_ids
        }

    def of(self, peer_id: str) -> Progress:
        """Return the progress of a peer, also of one found just now."""
        return self.by_id.setdefault(
            peer_id, Progress(next_index=self._next_index)
        )

    def majority_acknowledged_at(
        self, disk_by_voter: dict[str, str], *, own_id: str, now: float
    ) -> float:
        """Return the last moment at which a majority surely followed."""
        moments = [
            now if voter == own_id else self._acknowledged_at(voter, disk_id)
            for voter, disk_id in disk_by_voter.items()
        ]
        return _majority_value(moments, default=float('-inf'))

    def _acknowledged_at(self, voter: str, disk_id: str) -> float:
        progress = self.by_id.get(voter)
        if progress is None or progress.disk_id != disk_id:
            return float('-inf')
        return progress.acknowledged_at

    def majority_synced_index(
        self, disk_by_voter: dict[str, str], *, own_id: str, own_index: int
    ) -> int:
        """Return the newest entry that a majority has synced."""
        matches = [
            own_index if voter == own_id else self._match(voter, disk_id)
            for voter, disk_id in disk_by_voter.items()
        ]
        return int(_majority_value(matches, default=0))

    def _match(self, voter: str, disk_id: str) -> int:
        progress = self.by_id.get(voter)
        if progress is None or progress.disk_id != disk_id:
            return 0
        return progress.match_index


def _majority_value(values: list[float], *, default: float) -> float:
    """Return the highest value that a majority reaches."""
    if not values:
        return default
    return sorted(values)[(len(values) - 1) // 2]
