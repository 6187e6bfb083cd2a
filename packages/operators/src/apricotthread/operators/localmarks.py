"""Takes this node's data centre out while no majority can be reached."""

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import commands
from apricotthread.control import folders
from apricotthread.control import journal
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.routing import view

PROPOSE_PERIOD_S = 1.0
PROPOSE_TIMEOUT_S = 5.0
MARK_FILE_NAME = 'localmark.log'


class LocalMarks:
    """Keeps a local take-out mark until the agreed state contains it.

    A local mark can only take a data centre out, not bring it back. Other
    nodes of the data centre learn of it from heartbeats. Once a majority
    is reachable again, the same command is proposed, so that it gets into
    the log and the audit trail. On a node with a disk the mark survives a
    restart.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        raft: replica.Replica,
        proposer: proposals.Proposer,
        folder: folders.Folder,
    ) -> None:
        self._env = env
        self._system = system
        self._raft = raft
        self._proposer = proposer
        self._folder = folder
        self._command: commands.MarkDataCentre | None = None

    async def load(self) -> None:
        """Load the mark from before a restart; ignore a torn record."""
        data = await self._folder.read(MARK_FILE_NAME) or b''
        records, _ = journal.decode_records(data, name=MARK_FILE_NAME)
        for record in records:
            self._activate(commands.decode_command(record))

    async def set(self, command: commands.MarkDataCentre) -> None:
        """Take this data centre out on its nodes that this node reaches.

        The mark is in force at once, even if it cannot be saved to disk.
        """
        self._activate(command)
        record = journal.encode_record(commands.encode_command(command))
        await self._save(record)

    async def _save(self, record: bytes) -> None:
        try:
            await self._folder.replace(MARK_FILE_NAME, record)
        except OSError as error:
            logs.log_event('local_mark_not_kept', reason=str(error))

    def _activate(self, command: commands.MarkDataCentre) -> None:
        self._command = command
        self._system.local_mark = view.LocalMark(
            operator=command.origin.operator,
            source=command.origin.source,
            command_id=command.origin.command_id,
        )
        logs.log_event(
            'local_take_out',
            data_centre=command.data_centre,
            operator=command.origin.operator,
            command_id=command.origin.command_id,
        )

    async def run(self) -> None:
        """Propose the mark to the agreed state once there is a majority.

        The local mark is removed when the command is applied here.
        """
        async for _ in self._env.timer.subscribe(period_s=PROPOSE_PERIOD_S):
            command = self._command
            if command is None or not self._raft.has_majority():
                continue
            try:
                result = await self._proposer.propose(
                    command, timeout_s=PROPOSE_TIMEOUT_S
                )
            except errors.ApricotError as error:
                logs.log_fault('local_mark_not_folded', error)
                continue
            logs.log_event(
                'local_mark_folded',
                result=result.code or 'accepted',
                version=result.version,
            )
            await self._raft.wait_applied(result.version)
            self._command = None
            self._system.local_mark = None
            await self._save(b'')
