"""Passes commands to the leader from whichever node received them."""

import collections.abc

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import commands
from apricotthread.control import replica
from apricotthread.nodes import links
from apricotthread.nodes import messages

PROPOSE_RETRY_S = 0.1
# The end of a connection is read after what was sent before it.
CALLER_CHECK_S = 0.02

CallerCheck = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class Proposer:
    """Proposes commands to the leader, and handles those of other nodes."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        link_by_id: dict[str, links.PeerLink],
        lease_s: float,
    ) -> None:
        self._env = env
        self._raft = raft
        self._link_by_id = link_by_id
        self._lease_s = lease_s

    async def propose_while_wanted(
        self,
        command: commands.AnyCommand,
        *,
        is_caller_waiting: CallerCheck,
        timeout_s: float,
    ) -> commands.Result:
        """Propose an operator's command while its caller waits for it.

        Once the caller has left, a newer order may have been accepted. As
        long as it waits this is the newest, whatever the log has already.
        Raises ApricotError with code NO_QUORUM, as propose does.
        """
        deadline = self._env.timer.now() + timeout_s
        base_index = self._raft.applied_index
        while True:
            await self._env.timer.sleep(CALLER_CHECK_S)
            if not await is_caller_waiting():
                raise self._make_caller_left_error(command, errors.Ran.NO)
            result = await self.propose(
                rebase(command, base_index),
                timeout_s=deadline - self._env.timer.now(),
                is_caller_waiting=is_caller_waiting,
            )
            if not result.may_be_superseded:
                return result
            base_index = result.rebase_index

    async def propose(
        self,
        command: commands.AnyCommand,
        *,
        timeout_s: float,
        is_caller_waiting: CallerCheck | None = None,
    ) -> commands.Result:
        """Propose a command until it is agreed; return its result.

        An operator's command can safely be proposed again under its id, so
        it is retried until the timeout, or until its caller has left if that
        can be asked. Raises ApricotError with code NO_QUORUM, with ran NO if
        the command was certainly not logged.
        """
        payload = commands.encode_command(command)
        deadline = self._env.timer.now() + timeout_s
        may_have_run = False
        while True:
            remaining_s = deadline - self._env.timer.now()
            if remaining_s <= 0:
                raise self._make_no_quorum_error(may_have_run)
            try:
                async with self._env.timer.timeout(remaining_s):
                    return await self._propose_once(command, payload)
            except TimeoutError:
                may_have_run = True
            except errors.ApricotError as error:
                may_have_run |= error.ran is not errors.Ran.NO
            await self._env.timer.sleep(
                min(PROPOSE_RETRY_S, max(0.0, remaining_s))
            )
            if is_caller_waiting and not await is_caller_waiting():
                raise self._make_caller_left_error(
                    command,
                    errors.Ran.UNKNOWN if may_have_run else errors.Ran.NO,
                )

    def _make_caller_left_error(
        self, command: commands.AnyCommand, ran: errors.Ran
    ) -> errors.ApricotError:
        logs.log_event(
            'order_abandoned',
            command_id=command.origin.command_id,
            reason='its caller has left',
            ran=ran.value,
        )
        return errors.ApricotError(
            code=errors.ErrorCode.NO_QUORUM,
            message='the command is not proposed again: its caller has left',
            ran=ran,
        )

    def _make_no_quorum_error(self, may_have_run: bool) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.NO_QUORUM,
            message='no majority of the control nodes could be reached in '
            'time'
            + (
                '; the change may still be accepted, send the same command '
                'id again to learn its result'
                if may_have_run
                else ''
            ),
            ran=errors.Ran.UNKNOWN if may_have_run else errors.Ran.NO,
            retry_after_s=self._lease_s,
        )

    async def _propose_once(
        self, command: commands.AnyCommand, payload: bytes
    ) -> commands.Result:
        if self._raft.role is replica.Role.LEADER:
            return await self._raft.propose_as_leader(payload, order=command)
        link = self._link_by_id.get(self._raft.leader_id)
        if link is None:
            raise errors.ApricotError(
                code=errors.ErrorCode.NOT_LEADER,
                message='no leader is known',
            )
        reply = await link.call(
            messages.Proposal(payload=payload),
            timeout_s=self._lease_s * 2,
        )
        return commands.decode_result(reply.payload)

    async def on_proposal(
        self, peer: messages.Greeting, body: messages.Proposal
    ) -> messages.Message:
        """Append a command that another node passed on."""
        try:
            command = commands.decode_command(body.payload)
        except msgspec.DecodeError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.PROTOCOL,
                message=f'the command cannot be decoded: {error}',
            ) from error
        result = await self._raft.propose_as_leader(
            body.payload, order=command
        )
        return messages.ProposalReply(payload=commands.encode_result(result))


def rebase(
    command: commands.AnyCommand, base_index: int
) -> commands.AnyCommand:
    """Return an operator's command with another base index."""
    return msgspec.structs.replace(
        command,
        origin=msgspec.structs.replace(command.origin, base_index=base_index),
    )
