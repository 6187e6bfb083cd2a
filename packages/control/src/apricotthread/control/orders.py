"""Tells which of two orders about the same subject is newer.

An order that finds nothing to change leaves no version, so versions do not
tell it apart from older orders that are still on their way.
"""

import collections.abc

from apricotthread.control import commands


class OrderPositions:
    """The log index of the newest accepted order about each subject.

    Snapshots do not contain the positions. All orders before a snapshot that
    was loaded or received count as made at its index.
    """

    def __init__(self) -> None:
        self._snapshot_index = 0
        self._index_by_subject: dict[str, int] = {}

    def reset(self, snapshot_index: int) -> None:
        """Forget the positions, as the state was replaced by a snapshot."""
        self._snapshot_index = snapshot_index
        self._index_by_subject.clear()

    def add(self, command: commands.AnyCommand, index: int) -> None:
        """Store the position of an accepted command."""
        for subject in subjects_of(command):
            self._index_by_subject[subject] = index

    def may_be_superseded(
        self,
        order: commands.AnyCommand,
        unapplied: collections.abc.Iterable[tuple[int, commands.AnyCommand]],
    ) -> bool:
        """Whether there is an order about the same after the base index.

        `unapplied` are the commands in the log that are not applied yet, with
        their indexes. An order that is among them is no newer one itself.
        """
        origin = order.origin
        if origin.base_index is None:
            return False
        subjects = subjects_of(order)
        newest_index = max(
            self._index_by_subject.get(subject, self._snapshot_index)
            for subject in subjects
        )
        for index, logged in unapplied:
            if subjects & subjects_of(logged):
                if logged.origin.command_id == origin.command_id:
                    return False
                newest_index = index
        return newest_index > origin.base_index


def subjects_of(command: commands.AnyCommand) -> frozenset[str]:
    """Return what the position of an order in the log decides about.

    Rows and routing tables have none: each change of them names a version
    that tells which one is newer.
    """
    match command:
        case commands.MarkDataCentre(data_centre=name):
            return frozenset({f'data_centre:{name}'})
        case (
            commands.AdmitVoter(node_id=node_id)
            | commands.RemoveVoter(node_id=node_id)
        ):
            return frozenset({f'voter:{node_id}'})
    return frozenset()
