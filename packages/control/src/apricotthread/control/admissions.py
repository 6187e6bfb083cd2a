"""Replaces voters whose disks are lost, without an operator."""

import collections

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.control import commands
from apricotthread.control import replica
from apricotthread.nodes import links
from apricotthread.nodes import membership

CHECK_PERIOD_S = 0.25
PROPOSE_TIMEOUT_S = 2.0


class VoterManager:
    """Keeps the target number of voters on live disks, on the leader.

    It makes one change at a time and waits until that is agreed. A disk
    is admitted only once it has the whole log, so that it cannot weaken
    a majority.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        raft: replica.Replica,
        members: membership.Membership,
        target_voter_count: int,
        lost_after_s: float,
    ) -> None:
        self._env = env
        self._raft = raft
        self._members = members
        self._target_voter_count = target_voter_count
        self._lost_after_s = lost_after_s

    async def run(self) -> None:
        """Propose the changes that the voters need, until cancelled."""
        async for _ in self._env.timer.subscribe(period_s=CHECK_PERIOD_S):
            if (
                not self._raft.holds_lease()
                or not self._raft.has_applied_all_entries()
            ):
                continue
            command = self.find_next_change()
            if command is None:
                continue
            logs.log_event(
                'voters_change_proposed',
                change=type(command).__name__,
                peer=command.node_id,
                voters=sorted(self._raft.voters.disk_by_voter()),
            )
            try:
                async with self._env.timer.timeout(PROPOSE_TIMEOUT_S):
                    await self._raft.propose_as_leader(
                        commands.encode_command(command)
                    )
                logs.log_event(
                    'voters_changed',
                    change=type(command).__name__,
                    peer=command.node_id,
                    voters=sorted(self._raft.voters.disk_by_voter()),
                )
            except errors.ApricotError as error:
                logs.log_fault('voters_change_failed', error)
            except TimeoutError:
                logs.log_event('voters_change_slow')

    def find_next_change(
        self,
    ) -> commands.AdmitVoter | commands.RemoveVoter | None:
        """Return the next change that the voters need, if any."""
        disk_by_voter = self._raft.voters.disk_by_voter()
        replaced = [
            voter
            for voter, disk_id in disk_by_voter.items()
            if self._has_other_disk(voter, disk_id)
        ]
        if replaced and self._can_remove(replaced[0], disk_by_voter):
            return self._make_removal(replaced[0])
        lost = [v for v in disk_by_voter if self._is_lost(v)]
        if len(disk_by_voter) > self._target_voter_count:
            surplus = lost or self._pick_surplus_voter(disk_by_voter)
            if surplus and self._can_remove(surplus[0], disk_by_voter):
                return self._make_removal(surplus[0])
            return None
        if lost or len(disk_by_voter) < self._target_voter_count:
            live = [v for v in disk_by_voter if v not in lost]
            return self._make_admission(disk_by_voter, live)
        return None

    def _make_admission(
        self, disk_by_voter: dict[str, str], live: list[str]
    ) -> commands.AdmitVoter | None:
        """Return the admission of a candidate, if there is one.

        Candidates in data centres without a live voter are preferred.
        """
        voting_data_centres = {self._data_centre_of(voter) for voter in live}
        candidates = [
            link
            for node_id, link in sorted(self._members.link_by_id.items())
            if node_id not in disk_by_voter and self._is_caught_up(link)
        ]
        candidates.sort(
            key=lambda link: (
                self._data_centre_of(link.peer_id) in voting_data_centres
            )
        )
        if not candidates:
            return None
        node_id = candidates[0].peer_id
        return commands.AdmitVoter(
            origin=self._make_origin(),
            node_id=node_id,
            disk_id=self._raft.progress_of(node_id).disk_id,
        )

    def _make_removal(self, node_id: str) -> commands.RemoveVoter:
        return commands.RemoveVoter(
            origin=self._make_origin(), node_id=node_id
        )

    def _make_origin(self) -> commands.Origin:
        return commands.Origin(
            command_id=self._env.new_id(),
            operator='admission',
            source=self._members.own.node_id,
            wall_time_s=self._env.timer.wall_time(),
        )

    def _data_centre_of(self, node_id: str) -> str:
        link = self._members.link_by_id.get(node_id)
        if link is None or link.peer_greeting is None:
            return (
                self._members.node_by_id[node_id].data_centre
                if node_id in self._members.node_by_id
                else ''
            )
        return link.peer_greeting.data_centre

    def _has_other_disk(self, voter: str, disk_id: str) -> bool:
        if voter == self._members.own.node_id:
            return False
        reported = self._raft.progress_of(voter).disk_id
        return bool(reported) and reported != disk_id

    def _is_lost(self, voter: str) -> bool:
        if voter == self._members.own.node_id:
            return False
        acknowledged_at = self._raft.progress_of(voter).acknowledged_at
        leader_since = self._raft.leader_since
        now = self._env.timer.now()
        return now - max(acknowledged_at, leader_since) > self._lost_after_s

    def _is_caught_up(self, link: links.PeerLink) -> bool:
        peer_progress = self._raft.progress_of(link.peer_id)
        return (
            settings.Role.CONTROL in link.peer.roles
            and link.is_connected
            and bool(peer_progress.disk_id)
            and not self._is_lost(link.peer_id)
            and peer_progress.match_index >= self._raft.commit_index > 0
        )

    def _can_remove(self, voter: str, disk_by_voter: dict[str, str]) -> bool:
        """Whether the remaining voters have a live majority without it."""
        remaining = [v for v in disk_by_voter if v != voter]
        live = [
            v
            for v in remaining
            if not self._is_lost(v)
            and not self._has_other_disk(v, disk_by_voter[v])
        ]
        return 2 * len(live) > len(remaining)

    def _pick_surplus_voter(self, disk_by_voter: dict[str, str]) -> list[str]:
        """Return a voter of the data centre with the most voters."""
        own_id = self._members.own.node_id
        voters_by_dc = collections.defaultdict(list)
        for voter in sorted(disk_by_voter):
            voters_by_dc[self._data_centre_of(voter)].append(voter)
        fullest = max(voters_by_dc.values(), key=len)
        return [v for v in fullest if v != own_id][:1]
