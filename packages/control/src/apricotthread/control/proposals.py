"""Passes commands to the leader from whichever node received them."""

import msgspec

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.control import commands
from apricotthread.control import replica
from apricotthread.nodes import links
from apricotthread.nodes import messages

PROPOSE_RETRY_S = 0.1


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

    async def propose(
        self, command: commands.AnyCommand, *, timeout_s: float
    ) -> commands.Result:
        """Propose a command until it is agreed; return its result.

        An operator's command can safely be proposed again under its id,
        so it is retried until the timeout. Raises ApricotError with code
        NO_QUORUM, with ran NO if the command was certainly not logged.
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
                    return await self._propose_once(payload)
            except TimeoutError:
                may_have_run = True
            except errors.ApricotError as error:
                may_have_run |= error.ran is not errors.Ran.NO
            await self._env.timer.sleep(
                min(PROPOSE_RETRY_S, max(0.0, remaining_s))
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

    async def _propose_once(self, payload: bytes) -> commands.Result:
        if self._raft.role is replica.Role.LEADER:
            return await self._raft.propose_as_leader(payload)
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
            commands.decode_command(body.payload)
        except msgspec.DecodeError as error:
            raise errors.ApricotError(
                code=errors.ErrorCode.PROTOCOL,
                message=f'the command cannot be decoded: {error}',
            ) from error
        result = await self._raft.propose_as_leader(body.payload)
        return messages.ProposalReply(payload=commands.encode_result(result))
