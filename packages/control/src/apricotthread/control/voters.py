"""The voters: control nodes, each identified by the id of its disk."""

import asyncio
import collections.abc

from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.control import commands
from apricotthread.control import logstore
from apricotthread.control import state
from apricotthread.nodes import links
from apricotthread.nodes import messages


class Voters:
    """The set of voters as of the newest log entry, and their admission."""

    def __init__(
        self,
        *,
        own: settings.NodeAddress,
        node_by_id: dict[str, settings.NodeAddress],
        link_by_id: dict[str, links.PeerLink],
        store: logstore.LogStore,
        lease_s: float,
        initial_voter_ids: frozenset[str] | None,
        get_content: collections.abc.Callable[[], state.Content],
        get_applied_index: collections.abc.Callable[[], int],
    ) -> None:
        self._own = own
        self._node_by_id = node_by_id
        self._link_by_id = link_by_id
        self._store = store
        self._lease_s = lease_s
        self._initial_voter_ids = initial_voter_ids
        self._get_content = get_content
        self._get_applied_index = get_applied_index

    def disk_by_voter(self) -> dict[str, str]:
        """Return the disk id of each voter as of the newest log entry.

        Entries count as soon as they are in the log, also unapplied ones.
        """
        disk_by_node_id = dict(self._get_content().disk_by_voter)
        if not disk_by_node_id:
            disk_by_node_id = dict(self._store.identity.disk_by_voter)
        for index in range(
            self._get_applied_index() + 1, self._store.last_index + 1
        ):
            payload = self._store.entry_at(index).payload
            match commands.decode_command(payload):
                case commands.AdmitVoter(node_id=node_id, disk_id=disk_id):
                    disk_by_node_id.setdefault(node_id, disk_id)
                case commands.RemoveVoter(node_id=node_id):
                    if len(disk_by_node_id) > 1:
                        disk_by_node_id.pop(node_id, None)
        return disk_by_node_id

    def is_admitted(self) -> bool:
        """Whether this node may vote with the disk that it has now."""
        disk_id = self._store.identity.disk_id
        return self.disk_by_voter().get(self._own.node_id) == disk_id

    def may_answer_for_claims(self) -> bool:
        """Whether this voter still has all its claim registers.

        A voter on a replaced disk would treat a claimed key as free, so
        it does not answer for claims.
        """
        return self.is_admitted() and self._store.identity.admitted

    def has_quorum(self, node_ids: collections.abc.Iterable[str]) -> bool:
        """Whether the nodes are a majority of the voters."""
        voters = self.disk_by_voter()
        return 2 * len(voters.keys() & set(node_ids)) > len(voters)

    async def try_initial_admission(self) -> None:
        """Admit this node if all initial voters start for the first time.

        Once a voter has been admitted with a set of disks, only those
        disks count; a node that lost its disk waits for an operator.
        """
        voter_ids = self._list_initial_voters()
        if self._own.node_id not in voter_ids:
            return
        other_voter_ids = [
            name for name in voter_ids if name != self._own.node_id
        ]
        replies = await asyncio.gather(
            *(
                self._link_by_id[name].try_call(
                    messages.IdentityRequest(), timeout_s=self._lease_s
                )
                for name in other_voter_ids
            )
        )
        own_disk = self._store.identity.disk_id
        disk_by_node_id = {self._own.node_id: own_disk}
        for name, reply in zip(other_voter_ids, replies, strict=True):
            match reply:
                case messages.IdentityReply(admitted=True, voters=voters):
                    admitted_disks = {v.node_id: v.disk_id for v in voters}
                    if admitted_disks.get(self._own.node_id) == own_disk:
                        await self._save_admission(admitted_disks)
                    return
                case messages.IdentityReply(disk_id=disk_id):
                    disk_by_node_id[name] = disk_id
        if len(disk_by_node_id) == len(voter_ids):
            await self._save_admission(disk_by_node_id)

    def _list_initial_voters(self) -> list[str]:
        """Return the ids of the voters at the first start of the system.

        Where nodes discover each other these are the seeds at the first
        start, and none at a later start.
        """
        if self._initial_voter_ids is not None:
            return sorted(self._initial_voter_ids)
        return [n.node_id for n in self._node_by_id.values() if n.is_voter]

    async def _save_admission(self, disk_by_node_id: dict[str, str]) -> None:
        logs.log_event('voter_admitted', voters=sorted(disk_by_node_id))
        await self._store.save_identity(
            logstore.Identity(
                disk_id=self._store.identity.disk_id,
                admitted=True,
                disk_by_voter=disk_by_node_id,
            )
        )

    async def on_identity_request(
        self, peer: messages.Greeting, body: messages.IdentityRequest
    ) -> messages.Message:
        """Reply with the disk id of this node and the voters it knows."""
        admitted_disks = self.disk_by_voter()
        return messages.IdentityReply(
            disk_id=self._store.identity.disk_id,
            admitted=bool(admitted_disks),
            voters=[
                messages.VoterDisk(node_id=name, disk_id=disk)
                for name, disk in admitted_disks.items()
            ],
        )

    async def fetch_disk_id(self, node_id: str) -> str:
        """Return the id of the disk that a control node has now.

        Raises ApricotError when it is not a control node in the settings
        or cannot be reached.
        """
        node = self._node_by_id.get(node_id)
        if node is None or not node.is_voter:
            raise errors.ApricotError(
                code=errors.ErrorCode.UNKNOWN_ROW,
                message=f'{node_id!r} is not a control node in the settings',
            )
        if node_id == self._own.node_id:
            return self._store.identity.disk_id
        reply = await self._link_by_id[node_id].call(
            messages.IdentityRequest(), timeout_s=self._lease_s
        )
        return reply.disk_id
