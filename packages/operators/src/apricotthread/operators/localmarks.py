"""Taking the own data centre out while no majority can be reached."""

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import commands
from apricotthread.control import folders
from apricotthread.control import journal
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.routing import view

FOLD_PERIOD_S = 1.0
FOLD_TIMEOUT_S = 5.0
MARK_NAME = 'localmark.log'


class LocalMarks:
    """Keeps a local mark until the agreed state has taken it over.

    A local mark can only take out. Other nodes of the data centre learn
    of it by heartbeat. Once a majority is back the same command is
    proposed, so the mark ends in the log and in the audit trail. On a
    node with a disk it outlasts a restart.
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
        """Take up a mark from before a restart; a torn one is dropped."""
        data = await self._folder.read(MARK_NAME) or b''
        records, _ = journal.decode_records(data, name=MARK_NAME)
        for record in records:
            self._put(commands.decode_command(record))

    async def set(self, command: commands.MarkDataCentre) -> None:
        """Take the own data centre out on the nodes within reach.

        It is in force at once, and kept as far as the disk allows.
        """
        self._put(command)
        record = journal.encode_record(commands.encode_command(command))
        await self._keep(record)

    async def _keep(self, record: bytes) -> None:
        try:
            await self._folder.replace(MARK_NAME, record)
        except OSError as error:
            logs.log_event('local_mark_not_kept', reason=str(error))

    def _put(self, command: commands.MarkDataCentre) -> None:
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
        """Fold the mark into the agreed state as soon as that goes."""
        async for _ in self._env.timer.subscribe(period_s=FOLD_PERIOD_S):
            command = self._command
            if command is None or not self._raft.has_majority():
                continue
            try:
                result = await self._proposer.propose(
                    command, timeout_s=FOLD_TIMEOUT_S
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
            await self._keep(b'')
