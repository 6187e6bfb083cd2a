"""A replica of the agreed state: election, log replication, application.

The algorithm is Raft with pre-votes and leader leases.
"""

import asyncio
import enum

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings
from apricotthread.base import units
from apricotthread.control import audit
from apricotthread.control import commands
from apricotthread.control import logstore
from apricotthread.control import orders
from apricotthread.control import progress
from apricotthread.control import state
from apricotthread.control import statetransfer
from apricotthread.control import voters
from apricotthread.nodes import links
from apricotthread.nodes import messages

MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 256 * units.KIB
SNAPSHOT_EVERY_ENTRIES = 256
# The leader relies on this share of its lease only: clocks may drift.
LEADER_LEASE_FRACTION = 0.9
ADMISSION_RETRY_S = 0.5


class Role(enum.Enum):
    """The current role of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Replica:
    """Keeps the log and the agreed state of one node.

    A voter has the control role, and the other voters identify it by the
    id of its disk. Every other node is a learner: it follows the log but
    never votes.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        own: settings.NodeAddress,
        node_by_id: dict[str, settings.NodeAddress],
        link_by_id: dict[str, links.PeerLink],
        store: logstore.LogStore,
        trail: audit.AuditTrail,
        heartbeat_s: float,
        lease_s: float,
        initial_voter_ids: frozenset[str] | None = None,
        data_centres: tuple[str, ...] = (),
    ) -> None:
        self._env = env
        self._own = own
        self._node_by_id = node_by_id
        self._link_by_id = link_by_id
        self.trail = trail
        self._heartbeat_s = heartbeat_s
        self._lease_s = lease_s
        # An election is over after this time, won or not.
        self._vote_wait_s = lease_s / 2
        self.store = store
        self.state = state.AgreedState()
        self._order_positions = orders.OrderPositions()
        self.voters = voters.Voters(
            own=own,
            node_by_id=node_by_id,
            link_by_id=link_by_id,
            store=store,
            lease_s=lease_s,
            initial_voter_ids=initial_voter_ids,
            get_content=lambda: self.state.content,
            get_applied_index=lambda: self.applied_index,
        )
        self._data_centres = data_centres
        self._tasks: asyncio.TaskGroup | None = None
        self._replication_task_by_id: dict[str, asyncio.Task] = {}
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.commit_index = 0
        self.applied_index = 0
        self.applied = asyncio.Event()
        self._heard_leader_at = float('-inf')
        self._refuse_votes_until = float('-inf')
        self._await_elected_until = float('-inf')
        self._progress = progress.ProgressTable(peer_ids=[], next_index=1)
        self._result_by_index: dict[int, asyncio.Future] = {}
        self.leader_since = float('-inf')
        self._may_campaign = True
        self._commit_advanced = asyncio.Event()
        self._replication_needed = asyncio.Event()
        self._role_changed = asyncio.Event()
        self._log_lock = asyncio.Lock()
        self._snapshot_receiver = statetransfer.SnapshotReceiver()

    # Startup and peers

    async def load(self) -> None:
        """Load the log, the snapshot and the audit trail from disk."""
        await self.store.load()
        snapshot = self.store.snapshot
        if snapshot.index:
            self._install_snapshot(snapshot)
        await self.trail.load()
        self._raise_commit_index(
            min(self.store.committed_index, self.store.last_index)
        )
        if self.store.term:
            # Before the restart this node may have acknowledged a leader
            # that still relies on its lease, so it must not vote yet.
            now = self._env.timer.now()
            self._refuse_votes_until = now + self._lease_s

    async def run(self) -> None:
        """Run elections, replication and application until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            self._tasks = tasks
            tasks.create_task(self._apply_committed())
            if self._own.is_voter:
                tasks.create_task(self._run_election_loop())
                for link in self._link_by_id.values():
                    self.add_peer(link)

    def add_peer(self, link: links.PeerLink) -> None:
        """Start replicating the log to a peer while this node leads."""
        if self._tasks is None or link.peer_id in self._replication_task_by_id:
            return
        self._replication_task_by_id[link.peer_id] = self._tasks.create_task(
            self._replicate(link)
        )

    def remove_peer(self, node_id: str) -> None:
        """Stop replicating to a node that has left."""
        task = self._replication_task_by_id.pop(node_id, None)
        if task is not None:
            task.cancel()

    def _install_snapshot(self, snapshot: logstore.SnapshotRecord) -> None:
        """Replace the agreed state by that of a snapshot."""
        self.state = state.AgreedState.decode(snapshot.data)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.applied_index = snapshot.index
        self._order_positions.reset(snapshot.index)
        self._notify_applied()

    async def _replace_state(self, snapshot: logstore.SnapshotRecord) -> None:
        """Store a snapshot and replace the log and the agreed state by it.

        Both change at once: nothing may run in between, as it would look
        for entries to apply that the log no longer has.
        """
        await self.store.save_snapshot(snapshot)
        self._install_snapshot(snapshot)
        await self.store.compact_journal()

    def _notify_applied(self) -> None:
        self.applied.set()
        self.applied = asyncio.Event()

    # Election

    async def _run_election_loop(self) -> None:
        """Start an election whenever no leader was heard for the timeout."""
        while True:
            election_timeout_s = self._lease_s * (
                1 + self._env.random.random()
            )
            is_first_term = self.store.term == 0
            await self._env.timer.sleep(
                election_timeout_s / 10
                if is_first_term
                else election_timeout_s / 4
            )
            if not self.voters.is_admitted():
                try:
                    await self.voters.try_initial_admission()
                except errors.ApricotError as error:
                    logs.log_fault('admission_failed', error)
                if not self.voters.is_admitted():
                    await self._env.timer.sleep(ADMISSION_RETRY_S)
                continue
            if not self._may_campaign:
                continue
            if self.role is Role.LEADER:
                time_as_leader_s = self._env.timer.now() - self.leader_since
                if time_as_leader_s > self._lease_s and not self.holds_lease():
                    self._step_down('lost its lease')
                continue
            now = self._env.timer.now()
            if (
                now - self._heard_leader_at < election_timeout_s
                or now < self._await_elected_until
            ):
                continue
            try:
                await self._start_election()
            except errors.ApricotError as error:
                logs.log_fault('campaign_failed', error)

    async def _start_election(self) -> None:
        """Hold a pre-vote, then an election, and lead if elected.

        The pre-vote holds for the next term only: by then this node may
        have voted for another candidate, who would lose a later term to it.
        """
        term = self.store.term + 1
        if not await self._ask_for_votes(pre_vote=True):
            return
        async with self._log_lock:
            if self._has_heard_leader_recently() or self.store.term >= term:
                return
            await self.store.save_term(term, self._own.node_id)
            self.role = Role.CANDIDATE
            self.leader_id = ''
        if not await self._ask_for_votes(pre_vote=False):
            return
        if self.store.term == term and self.role is Role.CANDIDATE:
            await self._become_leader()

    def _has_heard_leader_recently(self) -> bool:
        now = self._env.timer.now()
        return now - self._heard_leader_at < self._lease_s

    async def _ask_for_votes(self, *, pre_vote: bool) -> bool:
        term = self.store.term + (1 if pre_vote else 0)
        request = messages.VoteRequest(
            term=term,
            candidate=self._own.node_id,
            last_index=self.store.last_index,
            last_term=self.store.last_term,
            pre_vote=pre_vote,
        )
        disk_by_voter = self.voters.disk_by_voter()
        voters = disk_by_voter.keys() - {self._own.node_id}
        reachable_voters = [v for v in sorted(voters) if v in self._link_by_id]
        replies = await asyncio.gather(
            *(
                self._link_by_id[voter].try_call(
                    request, timeout_s=self._vote_wait_s
                )
                for voter in reachable_voters
            )
        )
        granted = {self._own.node_id}
        for voter, reply in zip(reachable_voters, replies, strict=True):
            match reply:
                case messages.VoteReply(granted=True, disk_id=disk_id) if (
                    disk_id == disk_by_voter[voter]
                ):
                    granted.add(voter)
                case messages.VoteReply(term=newer) if newer > term:
                    await self._adopt_newer_term(newer)
        return self.voters.has_quorum(granted)

    async def _adopt_newer_term(self, term: int) -> None:
        """Save a newer term and step down."""
        async with self._log_lock:
            if term > self.store.term:
                await self.store.save_term(term, '')
                self._step_down('saw a newer term')

    async def on_vote_request(
        self, peer: messages.Greeting, body: messages.VoteRequest
    ) -> messages.Message:
        """Vote for a candidate whose log is at least as new as this one.

        The candidate decides whether the vote counts: the log of a voter
        may not have its own admission yet.
        """
        async with self._log_lock:
            granted = await self._decide_vote(body)
            return messages.VoteReply(
                term=self.store.term,
                granted=granted,
                disk_id=self.store.identity.disk_id,
            )

    async def _decide_vote(self, body: messages.VoteRequest) -> bool:
        now = self._env.timer.now()
        may_have_leader = (
            self._has_heard_leader_recently()
            or now < self._refuse_votes_until
            or (self.role is Role.LEADER and self.holds_lease())
        )
        if may_have_leader:
            return False
        is_current = (body.last_term, body.last_index) >= (
            self.store.last_term,
            self.store.last_index,
        )
        if body.pre_vote:
            return is_current and body.term > self.store.term
        if body.term < self.store.term:
            return False
        voted_for = self.store.voted_for
        if body.term > self.store.term:
            voted_for = ''
            self._step_down('saw a newer term')
        if not is_current or voted_for not in ('', body.candidate):
            if body.term > self.store.term:
                await self.store.save_term(body.term, '')
            return False
        await self.store.save_term(body.term, body.candidate)
        self._await_elected_until = self._env.timer.now() + self._vote_wait_s
        return True

    async def resign(self) -> None:
        """Step down for good and let the other voters elect at once.

        Without the resignation they would wait for the lease to end.
        """
        self._may_campaign = False
        if self.role is not Role.LEADER:
            return
        resignation = messages.Resignation(term=self.store.term)
        self._step_down('resigned')
        await asyncio.gather(
            *(
                self._link_by_id[voter].try_call(
                    resignation, timeout_s=self._heartbeat_s
                )
                for voter in self.voters.disk_by_voter()
                if voter in self._link_by_id
            )
        )

    async def on_resignation(
        self, peer: messages.Greeting, body: messages.Resignation
    ) -> messages.Message:
        """Forget the leader that resigned, so that an election can start."""
        if body.term == self.store.term and peer.node_id == self.leader_id:
            self.leader_id = ''
            self._heard_leader_at = float('-inf')
        return messages.Done()

    async def _become_leader(self) -> None:
        """Become the leader and append the first entry of the term."""
        now = self._env.timer.now()
        self.role = Role.LEADER
        self.leader_id = self._own.node_id
        self.leader_since = now
        self._progress = progress.ProgressTable(
            peer_ids=list(self._link_by_id),
            next_index=self.store.last_index + 1,
        )
        logs.log_event('leader_elected', term=self.store.term)
        self._env.metrics.count('leader_elections')
        self._wake_waiters(self._role_changed)
        data_centres = set(self._data_centres) or {
            n.data_centre for n in self._node_by_id.values()
        }
        first_command = commands.StartTerm(
            data_centres=sorted(data_centres),
            disk_by_voter=self.store.identity.disk_by_voter,
        )
        try:
            await self._append_as_leader(
                commands.encode_command(first_command)
            )
        except errors.ApricotError as error:
            self._step_down(error.message)

    def _wake_waiters(self, event: asyncio.Event) -> None:
        """Wake the tasks that wait for the event now, and leave it unset."""
        event.set()
        event.clear()

    def _step_down(self, reason: str) -> None:
        if self.role is Role.LEADER:
            logs.log_event(
                'leader_stepped_down', term=self.store.term, reason=reason
            )
            self.leader_id = ''
            for future in self._result_by_index.values():
                if not future.done():
                    future.set_exception(self._make_leadership_lost_error())
            self._result_by_index.clear()
        self.role = Role.FOLLOWER
        self._wake_waiters(self._role_changed)

    def _make_leadership_lost_error(self) -> errors.ApricotError:
        return errors.ApricotError(
            code=errors.ErrorCode.OUTCOME_UNKNOWN,
            message='the leader lost its lease before the change was '
            'confirmed; send the same command id again to learn its result',
            ran=errors.Ran.UNKNOWN,
            retry_after_s=self._lease_s,
        )

    def lease_remaining_s(self) -> float:
        """Return how long this node is certain to stay the only leader.

        The value is 0 or negative when this is not certain.
        """
        if self.role is not Role.LEADER:
            return 0.0
        now = self._env.timer.now()
        majority_acknowledged_at = self._progress.majority_acknowledged_at(
            self.voters.disk_by_voter(), own_id=self._own.node_id, now=now
        )
        return (
            majority_acknowledged_at
            + self._lease_s * LEADER_LEASE_FRACTION
            - now
        )

    def holds_lease(self) -> bool:
        """Whether this node is certain to be the only leader."""
        return self.lease_remaining_s() > 0

    def has_majority(self) -> bool:
        """Whether a leader with a majority was heard within one lease."""
        if self.role is Role.LEADER:
            return self.holds_lease()
        return self._has_heard_leader_recently()

    # Replication, on the leader

    async def _append_as_leader(
        self, payload: bytes, *, order: commands.AnyCommand | None = None
    ) -> asyncio.Future[commands.Result]:
        """Append a command to the log; return a future of its result.

        An order that a newer one may have replaced is refused instead.
        """
        async with self._log_lock:
            if self.role is not Role.LEADER:
                raise self._make_leadership_lost_error()
            if order is not None and self._may_be_superseded(order):
                future = asyncio.get_running_loop().create_future()
                future.set_result(self._refuse_superseded(order))
                return future
            entry = messages.LogEntry(
                index=self.store.last_index + 1,
                term=self.store.term,
                payload=payload,
            )
            future = asyncio.get_running_loop().create_future()
            self._result_by_index[entry.index] = future
            self._wake_waiters(self._replication_needed)
            await self.store.append([entry])
        self._advance_commit()
        self._wake_application()
        return future

    def _may_be_superseded(self, order: commands.AnyCommand) -> bool:
        """Whether the log may have a newer order about the same.

        This is decided before the order is logged: replicas of an older
        release apply what is logged without asking. An order that is
        repeated gets its first result.
        """
        if not orders.subjects_of(order) or (
            order.origin.command_id in self.state.content.result_by_command_id
        ):
            return False
        unapplied = (
            (
                index,
                commands.decode_command(self.store.entry_at(index).payload),
            )
            for index in range(
                self.applied_index + 1, self.store.last_index + 1
            )
        )
        return self._order_positions.may_be_superseded(order, unapplied)

    def _refuse_superseded(
        self, order: commands.AnyCommand
    ) -> commands.Result:
        subjects = ', '.join(sorted(orders.subjects_of(order)))
        logs.log_event(
            'order_may_be_superseded',
            command_id=order.origin.command_id,
            subjects=subjects,
            base_index=order.origin.base_index,
            applied_index=self.applied_index,
        )
        return commands.Result(
            version=self.state.version,
            code=errors.ErrorCode.CONFLICT.label,
            message=f'an order about {subjects} was accepted since',
            rebase_index=self.applied_index,
        )

    async def _replicate(self, link: links.PeerLink) -> None:
        """Keep the log of one peer up to date while this node leads."""
        while True:
            if self.role is not Role.LEADER:
                await self._role_changed.wait()
                continue
            peer_progress = self._progress.get_or_create(link.peer_id)
            try:
                is_behind = await self._replicate_once(link, peer_progress)
            except errors.ApricotError as error:
                # A newer term from the peer could not be saved on disk;
                # the peer sends that term again.
                logs.log_fault('replication_failed', error, peer=link.peer_id)
                await self._env.timer.sleep(self._heartbeat_s)
                continue
            if is_behind or self.role is not Role.LEADER:
                continue
            try:
                async with self._env.timer.timeout(self._heartbeat_s):
                    await self._replication_needed.wait()
            except TimeoutError:
                pass

    async def _replicate_once(
        self, link: links.PeerLink, peer_progress: progress.Progress
    ) -> bool:
        """Send missing entries to a peer; return whether more are missing."""
        sent_at = self._env.timer.now()
        sent_commit_index = self.commit_index
        previous_index = peer_progress.next_index - 1
        previous_term = self.store.term_at(previous_index)
        if previous_term is None:
            reply = await statetransfer.send_snapshot(
                link,
                self.store.snapshot,
                term=self.store.term,
                leader=self._own.node_id,
                timeout_s=self._lease_s,
            )
        else:
            reply = await link.try_call(
                messages.AppendRequest(
                    term=self.store.term,
                    leader=self._own.node_id,
                    previous_index=previous_index,
                    previous_term=previous_term,
                    entries=self.store.entries_from(
                        peer_progress.next_index,
                        limit=MAX_APPEND_ENTRIES,
                        limit_bytes=MAX_APPEND_BYTES,
                    ),
                    commit_index=self.commit_index,
                ),
                timeout_s=self._lease_s,
            )
        if not isinstance(reply, messages.AppendReply):
            await self._env.timer.sleep(self._heartbeat_s / 4)
            return False
        if reply.term > self.store.term:
            await self._adopt_newer_term(reply.term)
            return False
        if reply.term < self.store.term or self.role is not Role.LEADER:
            return False
        peer_progress.acknowledged_at = sent_at
        peer_progress.sent_commit_index = sent_commit_index
        peer_progress.applied_index = reply.applied_index
        peer_progress.set_disk(reply.disk_id)
        if reply.success:
            peer_progress.match_index = reply.match_index
            peer_progress.next_index = reply.match_index + 1
            self._advance_commit()
        else:
            peer_progress.next_index = min(
                max(1, peer_progress.next_index - 1), reply.match_index + 1
            )
        return (
            peer_progress.next_index <= self.store.last_index
            or peer_progress.sent_commit_index < self.commit_index
        )

    def _advance_commit(self) -> None:
        """Commit the entries that a majority of the voters has synced."""
        if self.role is not Role.LEADER:
            return
        majority_index = self._progress.majority_synced_index(
            self.voters.disk_by_voter(),
            own_id=self._own.node_id,
            own_index=self.store.synced_index,
        )
        if (
            majority_index > self.commit_index
            and self.store.term_at(majority_index) == self.store.term
        ):
            self.commit_index = majority_index
            self._wake_waiters(self._replication_needed)
            self._commit_advanced.set()

    # Replication, on followers

    async def _accept_leader(self, term: int, leader: str) -> bool:
        """Follow the sender as the leader unless its term is out of date."""
        if term < self.store.term:
            return False
        if term > self.store.term:
            await self.store.save_term(term, '')
        if self.role is not Role.FOLLOWER:
            self._step_down('received a message from another leader')
        self.leader_id = leader
        self._heard_leader_at = self._env.timer.now()
        return True

    def _append_reply(
        self, success: bool, matched_index: int
    ) -> messages.Message:
        return messages.AppendReply(
            term=self.store.term,
            success=success,
            match_index=matched_index,
            applied_index=self.applied_index,
            disk_id=self.store.identity.disk_id,
        )

    async def on_append_request(
        self, peer: messages.Greeting, body: messages.AppendRequest
    ) -> messages.Message:
        """Append the leader's entries and reply once they are synced."""
        async with self._log_lock:
            if not await self._accept_leader(body.term, body.leader):
                return self._append_reply(False, 0)
            known_term = self.store.term_at(body.previous_index)
            if body.previous_index < self.store.snapshot.index:
                return self._append_reply(True, self.store.snapshot.index)
            if known_term != body.previous_term:
                hint = min(self.store.last_index, body.previous_index - 1)
                return self._append_reply(
                    False, max(hint, self.store.snapshot.index)
                )
            new_entries = [
                entry
                for entry in body.entries
                if self.store.term_at(entry.index) != entry.term
            ]
            if new_entries:
                await self.store.append(new_entries)
                self._wake_application()
            matched_index = body.previous_index + len(body.entries)
            if self.store.synced_index < matched_index:
                return self._append_reply(False, self.store.synced_index)
            self._raise_commit_index(min(body.commit_index, matched_index))
            return self._append_reply(True, matched_index)

    def _raise_commit_index(self, index: int) -> None:
        if index > self.commit_index:
            self.commit_index = index
            self._commit_advanced.set()

    def _wake_application(self) -> None:
        """Have stored entries applied that had been committed before."""
        if self.commit_index > self.applied_index:
            self._commit_advanced.set()

    async def on_snapshot_piece(
        self, peer: messages.Greeting, body: messages.SnapshotPiece
    ) -> messages.Message:
        """Collect the pieces of a snapshot and install it when complete."""
        async with self._log_lock:
            if not await self._accept_leader(body.term, body.leader):
                return self._append_reply(False, 0)
            if not self._snapshot_receiver.add(body):
                return self._append_reply(False, self.store.snapshot.index)
            if not body.complete:
                return self._append_reply(True, self.store.snapshot.index)
            record = self._snapshot_receiver.finish(body)
            if record.index > self.applied_index:
                await self._replace_state(record)
                await self._fill_audit_gap(record.index)
            return self._append_reply(True, record.index)

    async def _fill_audit_gap(self, index: int) -> None:
        """Fetch the audit records of entries that a snapshot skipped."""
        link = self._link_by_id.get(self.leader_id)
        if link is None or not self._own.is_voter:
            return
        reply = await link.try_call(
            messages.AuditRequest(since=self.trail.last_index),
            timeout_s=self._lease_s / 2,
        )
        if isinstance(reply, messages.AuditReply):
            await self.trail.fill_gap(reply, index)

    # Application of committed entries

    async def _apply_committed(self) -> None:
        """Apply committed entries in order and save snapshots."""
        while True:
            await self._commit_advanced.wait()
            self._commit_advanced.clear()
            records = []
            # Others may have committed what this disk has not stored, and a
            # failed write drops from the log.
            while self.applied_index < min(
                self.commit_index, self.store.synced_index
            ):
                index = self.applied_index + 1
                entry = self.store.entry_at(index)
                command = commands.decode_command(entry.payload)
                result, audit_records = self.state.apply(command, index=index)
                records.extend(audit_records)
                if result.accepted:
                    self._order_positions.add(command, index)
                self.applied_index = index
                future = self._result_by_index.pop(index, None)
                if future is not None and not future.done():
                    future.set_result(result)
            self._notify_applied()
            self._env.metrics.set_gauge('agreed_version', self.state.version)
            try:
                await self.trail.append(records)
                if self.commit_index > self.store.committed_index:
                    await self.store.save_commit(self.applied_index)
                await self._compact()
            except errors.ApricotError as error:
                logs.log_fault('snapshot_failed', error)
                self._step_down(error.message)

    async def _compact(self) -> None:
        """Save a snapshot once enough entries follow the last one."""
        applied = self.applied_index - self.store.snapshot.index
        if applied < SNAPSHOT_EVERY_ENTRIES:
            return
        async with self._log_lock:
            index = self.applied_index
            term = self.store.term_at(index)
            await self.store.save_snapshot(
                logstore.SnapshotRecord(
                    index=index, term=term, data=self.state.encode()
                )
            )
            await self.store.compact_journal()

    # Proposals, and queries of the progress

    async def propose_as_leader(
        self, payload: bytes, *, order: commands.AnyCommand | None = None
    ) -> commands.Result:
        """Append a command as the leader and return its result.

        `order` is the decoded command if an operator sent it. Raises
        ApricotError with code NOT_LEADER when this node is not certain to be
        the leader.
        """
        if not self.holds_lease():
            raise errors.ApricotError(
                code=errors.ErrorCode.NOT_LEADER,
                message='this node is not the leader',
            )
        try:
            future = await self._append_as_leader(payload, order=order)
        except errors.ApricotError as error:
            self._step_down(error.message)
            raise
        return await future

    async def wait_applied(self, version: int) -> None:
        """Wait until the agreed state has at least the version."""
        while self.state.version < version:
            await self.applied.wait()

    def progress_of(self, peer_id: str) -> progress.Progress:
        """Return the progress of a peer's log, as known to the leader."""
        return self._progress.get_or_create(peer_id)

    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term has been committed.

        Only then does a new leader know all that was committed before.
        """
        return self.store.term_at(self.commit_index) == self.store.term

    def has_applied_all_entries(self) -> bool:
        """Whether this node leads and has applied its whole log.

        The newest entry must be of its own term.
        """
        return (
            self.role is Role.LEADER
            and self.applied_index == self.store.last_index
            and self.store.last_term == self.store.term
        )

    # State for nodes that restart while no leader can be reached

    async def on_state_request(
        self, peer: messages.Greeting, body: messages.StateRequest
    ) -> messages.Message:
        """Send the agreed state that this node has applied."""
        if not self.applied_index:
            return messages.StateReply(index=0, term=0, data=b'')
        return messages.StateReply(
            index=self.applied_index,
            term=self.store.term_at(self.applied_index) or 0,
            data=self.state.encode(),
        )

    async def fetch_state(self) -> None:
        """Install the newest agreed state of the connected peers.

        It is ignored unless it is newer than this node's own state.
        """
        replies = await asyncio.gather(
            *(
                link.try_call(messages.StateRequest(), timeout_s=self._lease_s)
                for link in self._link_by_id.values()
                if link.is_connected
            )
        )
        peer_progress = [
            r for r in replies if isinstance(r, messages.StateReply)
        ]
        newest = max(
            peer_progress, key=lambda reply: reply.index, default=None
        )
        if newest is None or newest.index <= self.applied_index:
            return
        async with self._log_lock:
            if newest.index <= self.applied_index:
                return
            record = logstore.SnapshotRecord(
                index=newest.index, term=newest.term, data=newest.data
            )
            await self._replace_state(record)
