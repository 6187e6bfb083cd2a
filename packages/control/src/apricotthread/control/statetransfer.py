"""Transfer of the agreed state to a replica that is far behind."""

from apricotthread.base import units
from apricotthread.control import logstore
from apricotthread.nodes import links
from apricotthread.nodes import messages

SNAPSHOT_PIECE_BYTES = 256 * units.KIB


async def send_snapshot(
    link: links.PeerLink,
    snapshot: logstore.SnapshotRecord,
    *,
    term: int,
    leader: str,
    timeout_s: float,
) -> messages.Message | None:
    """Send a snapshot in pieces; return the last reply, None if lost."""
    reply = None
    for offset in range(0, len(snapshot.data), SNAPSHOT_PIECE_BYTES):
        end = offset + SNAPSHOT_PIECE_BYTES
        reply = await link.try_call(
            messages.SnapshotPiece(
                term=term,
                leader=leader,
                last_index=snapshot.index,
                last_term=snapshot.term,
                offset=offset,
                data=snapshot.data[offset:end],
                complete=end >= len(snapshot.data),
            ),
            timeout_s=timeout_s,
        )
        match reply:
            case messages.AppendReply(success=True):
                continue
            case _:
                return reply
    return reply


class SnapshotReceiver:
    """Assembles a snapshot from its pieces."""

    def __init__(self) -> None:
        self._received = bytearray()

    def add(self, piece: messages.SnapshotPiece) -> bool:
        """Add a piece; return False when an earlier piece is missing."""
        if piece.offset == 0:
            self._received = bytearray()
        if piece.offset != len(self._received):
            return False
        self._received += piece.data
        return True

    def finish(self, piece: messages.SnapshotPiece) -> logstore.SnapshotRecord:
        """Return the whole snapshot after its last piece."""
        record = logstore.SnapshotRecord(
            index=piece.last_index,
            term=piece.last_term,
            data=bytes(self._received),
        )
        self._received = bytearray()
        return record
