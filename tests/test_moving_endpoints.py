"""Endpoints that start again elsewhere, and addresses that are used again."""

import collections
import dataclasses
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from apricotthread.endpoints import directory
from apricotthread.fleet import updates
from apricotthread.fleet import view
from tests import test_directory

CONTROLS = ('c-1', 'c-2', 'c-3')
IDS = ('i-1', 'i-2', 'i-3')
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80')


@dataclasses.dataclass(kw_only=True)
class Process:
    """One start of an endpoint, and how it is known to have ended."""

    endpoint_id: str
    address: str
    born_ms: int
    sequence: int = 0
    is_running: bool = True
    has_left: bool = False

    def announce(self):
        """Return the next announcement."""
        self.sequence += 1
        return test_directory.make_heard(
            self.endpoint_id,
            address=self.address,
            born_ms=self.born_ms,
            sequence=self.sequence,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Farewell:
    """Says that an endpoint ends."""

    endpoint_id: str
    born_ms: int


class MovingEndpoints(stateful.RuleBasedStateMachine):
    """Three control nodes and two entries, with messages out of order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        env = types.SimpleNamespace(
            timer=types.SimpleNamespace(now=lambda: self.now)
        )
        self.directory_by_id = {
            name: directory.Directory(env=env, lost_after_s=1e9)
            for name in CONTROLS
        }
        self.views = [view.FleetView(env=env) for _ in range(2)]
        self.sent_revision = collections.Counter()
        self.processes = []
        # What is under way, in no order: the control node, the message, and
        # whether that node is to forward it.
        self.messages = []

    def _running(self):
        return [process for process in self.processes if process.is_running]

    @stateful.rule(
        endpoint_id=strategies.sampled_from(IDS),
        address=strategies.sampled_from(ADDRESSES),
    )
    def start(self, endpoint_id, address):
        """Start an endpoint, whatever had its id and address has ended."""
        for process in self._running():
            if endpoint_id == process.endpoint_id or (
                address == process.address
            ):
                process.is_running = False
        self.processes.append(
            Process(
                endpoint_id=endpoint_id,
                address=address,
                born_ms=1000 + len(self.processes),
            )
        )

    @stateful.precondition(lambda self: self._running())
    @stateful.rule(
        data=strategies.data(), control=strategies.sampled_from(CONTROLS)
    )
    def announce(self, data, control):
        """Have an endpoint that runs send an announcement."""
        process = data.draw(strategies.sampled_from(self._running()))
        self.messages.append((control, process.announce(), True))

    @stateful.precondition(lambda self: self._running())
    @stateful.rule(
        data=strategies.data(), control=strategies.sampled_from(CONTROLS)
    )
    def leave(self, data, control):
        """Have an endpoint end with a farewell."""
        process = data.draw(strategies.sampled_from(self._running()))
        process.is_running = False
        process.has_left = True
        self.messages.append(
            (
                control,
                Farewell(
                    endpoint_id=process.endpoint_id, born_ms=process.born_ms
                ),
                True,
            )
        )

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(data=strategies.data(), is_kept=strategies.booleans())
    def deliver(self, data, is_kept):
        """Deliver any message, perhaps for the first of two times."""
        index = data.draw(strategies.integers(0, len(self.messages) - 1))
        message = self.messages[index]
        if not is_kept:
            del self.messages[index]
        self._receive(*message)

    def _receive(self, control, message, is_first):
        known = self.directory_by_id[control]
        match message:
            case Farewell(endpoint_id=endpoint_id, born_ms=born_ms):
                heard = known.leave(endpoint_id, born_ms)
                is_news = heard is not None
            case heard:
                is_news = known.apply(heard)
        if is_news and is_first:
            self.messages.extend(
                (other, heard, False) for other in CONTROLS if other != control
            )

    @stateful.rule(seconds=strategies.sampled_from((0.5, 5.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds
        for known in self.directory_by_id.values():
            known.find_lost()

    @stateful.rule(
        entry=strategies.integers(0, 1),
        control=strategies.sampled_from(CONTROLS),
    )
    def update(self, entry, control):
        """Send an entry what has changed at a control node."""
        known = self.directory_by_id[control]
        since = self.sent_revision[entry, control]
        self.sent_revision[entry, control] = known.revision
        self.views[entry].connect(control)
        self.views[entry].apply_update(
            control,
            updates.FleetUpdate(
                complete=since == 0,
                applied_index=0,
                table_version=0,
                endpoints=tuple(
                    updates.EndpointNews(heard=heard, lost=lost)
                    for heard, lost in known.changes_since(since)
                ),
            ),
        )

    @stateful.rule()
    def check(self):
        """Deliver everything, and compare each node with what runs."""
        for process in self._running():
            self.messages.append((CONTROLS[0], process.announce(), True))
        while self.messages:
            self._receive(*self.messages.pop())
        running_by_id = {
            process.endpoint_id: process for process in self._running()
        }
        for control, known in self.directory_by_id.items():
            for entry in range(2):
                self.update(entry, control)
            self._compare(
                running_by_id,
                {
                    endpoint_id: record.announcement
                    for endpoint_id, record in known.record_by_id.items()
                    if not record.gone
                },
            )
        for fleet in self.views:
            self._compare(
                running_by_id,
                {
                    endpoint_id: endpoint.announced
                    for endpoint_id, endpoint in fleet.endpoint_by_id.items()
                    if fleet.is_available(endpoint_id)
                },
            )

    def _compare(self, running_by_id, usable_by_id):
        for endpoint_id, process in running_by_id.items():
            assert endpoint_id in usable_by_id
            announced = usable_by_id[endpoint_id]
            assert announced.address == process.address
            assert announced.born_ms == process.born_ms
        for process in self.processes:
            if process.is_running or not self._is_known_to_have_ended(process):
                continue
            announced = usable_by_id.get(process.endpoint_id)
            assert announced is None or announced.born_ms != process.born_ms

    def _is_known_to_have_ended(self, process):
        """Whether more than silence tells of the end of a process."""
        return process.has_left or any(
            later.sequence and later.born_ms > process.born_ms
            for later in self.processes
            if later.address == process.address
            or later.endpoint_id == process.endpoint_id
        )


TestMovingEndpoints = MovingEndpoints.TestCase
TestMovingEndpoints.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30
)


def test_a_farewell_counts_before_anything_else_is_heard(env):
    """Guards against a worker that has left, and whose heartbeat is late."""

    def body():
        known = directory.Directory(env=env, lost_after_s=3.0)
        known.apply(test_directory.make_heard('i-2', born_ms=500))
        for endpoint_id in ('i-1', 'i-2'):
            assert known.leave(endpoint_id, 1000).gone
            known.apply(test_directory.make_heard(endpoint_id, born_ms=1000))
            assert known.record_by_id[endpoint_id].gone
            assert known.leave(endpoint_id, 900) is None

    test_directory.run(body)


def test_an_endpoint_that_moved_is_not_ended_by_the_next_at_its_old_address(
    env,
):
    """Guards against a route that loses all endpoints that started anew."""

    def body():
        known = directory.Directory(env=env, lost_after_s=3.0)
        first, second = ADDRESSES[:2]
        known.apply(test_directory.make_heard(address=first, born_ms=1000))
        known.apply(test_directory.make_heard(address=second, born_ms=3000))
        for name, born_ms in (('i-2', 2000), ('i-3', 4000)):
            known.apply(
                test_directory.make_heard(name, address=first, born_ms=born_ms)
            )
        assert not known.record_by_id['i-1'].gone
        assert known.record_by_id['i-2'].gone
        assert not known.record_by_id['i-3'].gone

    test_directory.run(body)
