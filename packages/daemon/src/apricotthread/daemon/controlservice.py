"""Handles the calls of operators and endpoints on a control node."""

import collections.abc
import hashlib
import zlib

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import pauses
from apricotthread.control import commands
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.control import routetables
from apricotthread.endpoints import directory
from apricotthread.fleet import publisher
from apricotthread.nodes import links
from apricotthread.nodes import messages

PROPOSE_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 0.6
LEADER_POLL_S = 0.02
# The platform's callers wait a second for an answer.
CALLER_WAIT_S = 0.8
MARK_RETRY_S = 0.05


class ControlService:
    """Proposes changes to agreed state, and reads agreed state."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        proposer: proposals.Proposer,
        fleet_publisher: publisher.Publisher,
        link_by_id: dict[str, links.PeerLink],
        pause_detector: pauses.PauseDetector,
        data_centres: collections.abc.Iterable[str],
        get_table: collections.abc.Callable[[], routetables.RouteTable | None],
    ) -> None:
        self._env = env
        self._raft = raft
        self._proposer = proposer
        self._fleet_publisher = fleet_publisher
        self._link_by_id = link_by_id
        self._pauses = pause_detector
        self._data_centres = frozenset(data_centres)
        self._get_table = get_table
        # The document read last; all answers that hold it share its bytes.
        self._compressed_document = b''
        self._document = b''

    def _make_origin(self, command_id: str, source: str) -> commands.Origin:
        return commands.Origin(
            command_id=command_id,
            operator='platform',
            source=source,
            wall_time_s=self._env.timer.wall_time(),
        )

    async def replace_table(
        self, document: bytes, table: routetables.RouteTable, *, source: str
    ) -> None:
        """Propose a routing table; it takes effect if its version is highest.

        Raises ApricotError with code NO_QUORUM or OUTCOME_UNKNOWN.
        """
        digest = hashlib.blake2b(document, digest_size=16).hexdigest()
        result = await self._proposer.propose(
            commands.ReplaceTable(
                origin=self._make_origin(
                    f'table-{table.version}-{digest}', source
                ),
                version=table.version,
                document=zlib.compress(document),
                table=routetables.pack_table(table),
            ),
            timeout_s=PROPOSE_TIMEOUT_S,
        )
        logs.log_event(
            'table_agreed',
            version=table.version,
            accepted=result.accepted,
            source=source,
        )

    async def read_document(self) -> bytes:
        """Return the newest routing table, as the operator sent it.

        Raises ApricotError with code NO_QUORUM if this node cannot find out
        which table is the newest, and NO_TABLE if there is none.
        """
        if self._raft.role is replica.Role.LEADER:
            _, document = await self._read_as_leader()
        else:
            _, document = await self._fetch_from_leader()
        if not document:
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_TABLE,
                message='no routing table has been submitted yet',
                retry_after_s=1.0,
            )
        if document != self._compressed_document:
            self._compressed_document = document
            self._document = zlib.decompress(document)
        return self._document

    async def _read_as_leader(self) -> tuple[int, bytes]:
        """Return the version and document once they are surely the newest.

        That is when this leader holds its lease, has committed an entry in
        its term, and has applied all entries committed so far.
        """
        deadline = self._env.timer.now() + READ_TIMEOUT_S
        while self._env.timer.now() < deadline:
            index = self._raft.commit_index
            if (
                self._raft.holds_lease()
                and self._raft.has_committed_in_term()
                and self._raft.applied_index >= index
            ):
                content = self._raft.state.content
                return content.routes_version, content.routes_document
            await self._env.timer.sleep(LEADER_POLL_S)
        raise self._make_no_leader_error()

    async def _fetch_from_leader(self) -> tuple[int, bytes]:
        link = self._link_by_id.get(self._raft.leader_id)
        if link is None:
            raise self._make_no_leader_error()
        reply = await link.try_call(
            messages.DocumentRequest(), timeout_s=READ_TIMEOUT_S
        )
        match reply:
            case messages.DocumentReply(version=version, document=document):
                return version, document
        raise self._make_no_leader_error()

    def _make_no_leader_error(self) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.NO_QUORUM,
            message='no leader with a majority could be reached for the '
            'newest table',
            retry_after_s=0.5,
        )

    async def on_document_request(
        self, peer: messages.Greeting, body: messages.DocumentRequest
    ) -> messages.Message:
        """Return the newest routing table to another control node."""
        if self._raft.role is not replica.Role.LEADER:
            raise self._make_no_leader_error()
        version, document = await self._read_as_leader()
        return messages.DocumentReply(version=version, document=document)

    async def mark_data_centre(
        self,
        data_centre: str,
        *,
        out: bool,
        source: str,
        is_caller_waiting: proposals.CallerCheck,
    ) -> None:
        """Take a data centre out, or bring it back.

        The call names no version that it is based on, so one that comes late
        could undo a newer one. It is proposed only while its caller waits for
        it, and on top of what was agreed then: a proposal that is late itself
        is refused if another order about the data centre was accepted since.
        Else it is to be sent again.
        Raises ApricotError with code UNKNOWN_ROW or NO_QUORUM.
        """
        if data_centre not in self._data_centres:
            raise errors.ApricotError(
                code=errors.ErrorCode.UNKNOWN_ROW,
                message=f'there is no data centre {data_centre!r}',
            )
        deadline = self._env.timer.now() + CALLER_WAIT_S
        base_version = base_index = 0
        while True:
            base_version = max(base_version, self._raft.state.version)
            base_index = max(base_index, self._raft.applied_index)
            why_late = await self._find_why_late(deadline, is_caller_waiting)
            if why_late:
                break
            command = commands.MarkDataCentre(
                origin=self._make_origin(self._env.new_id(), source),
                base_version=base_version,
                data_centre=data_centre,
                out=out,
                force=True,
            )
            result = await self._propose_mark(
                proposals.rebase(command, base_index), is_caller_waiting
            )
            if result.accepted:
                return
            # The leader may have agreed on more than this node has applied.
            base_version = result.version
            if result.may_be_superseded:
                base_index = result.rebase_index
        logs.log_event(
            'late_mark_refused',
            data_centre=data_centre,
            out=out,
            source=source,
            reason=why_late,
        )
        raise errors.ApricotError(
            code=errors.ErrorCode.NO_QUORUM,
            message=f'{data_centre!r} is not marked: {why_late}; send the '
            'change again',
            retry_after_s=MARK_RETRY_S,
        )

    async def _propose_mark(
        self,
        command: commands.MarkDataCentre,
        is_caller_waiting: proposals.CallerCheck,
    ) -> commands.Result:
        result = await self._proposer.propose(
            command,
            timeout_s=PROPOSE_TIMEOUT_S,
            is_caller_waiting=is_caller_waiting,
        )
        logs.log_event(
            'data_centre_marked',
            data_centre=command.data_centre,
            out=command.out,
            accepted=result.accepted,
            source=command.origin.source,
            base_version=command.base_version,
            base_index=command.origin.base_index,
            version=result.version,
        )
        return result

    async def _find_why_late(
        self, deadline: float, is_caller_waiting: proposals.CallerCheck
    ) -> str:
        """Return why a call may have been replaced by now, empty if not."""
        if self._pauses.may_be_old():
            return 'this node stood still, so the call may be old'
        if self._env.timer.now() >= deadline:
            return 'the mark was changed meanwhile'
        await self._env.timer.sleep(proposals.CALLER_CHECK_S)
        return '' if await is_caller_waiting() else 'its caller has left'

    def announce(self, announcement: directory.Announcement) -> None:
        """Process an endpoint's announcement.

        Raises ApricotError with code BAD_REQUEST for an unknown service.
        """
        table = self._get_table()
        if table is not None and (
            announcement.service not in table.service_by_name()
        ):
            raise errors.ApricotError(
                code=errors.ErrorCode.BAD_REQUEST,
                message=f'{announcement.endpoint_id!r} announces the unknown '
                f'service {announcement.service!r}',
            )
        self._fleet_publisher.announce(announcement)

    def leave(self, endpoint_id: str, born_ms: int) -> None:
        """Mark an endpoint as gone, unless it has restarted since.

        `born_ms` is the start of the endpoint that leaves, in Unix ms, or 0
        if it is unknown.
        """
        if not self._fleet_publisher.leave(endpoint_id, born_ms):
            logs.log_event('farewell_ignored', endpoint=endpoint_id)
