"""Entries, a leader and engines on a virtual clock, for crashing prompts."""

import asyncio
import collections
import contextlib
import dataclasses
import types

from apricotthread.fleet import crashreports
from apricotthread.fleet import quarantine
from apricotthread.fleet import view
from apricotthread.gateway import exposures

FIRST_EVENT_S = 0.2
EVENT_GAP_S = 0.07
EVENTS = 30
BACK_S = 2.5
REPORT_S = 0.5
ALERT_S = 0.1
URGENT_S = 0.05
LINK_S = 0.002
CRASH_DELAYS_S = (0.05, 0.15)  # after the answer has begun
MAX_ATTEMPTS = 2
BAD = 'bad'


@dataclasses.dataclass(kw_only=True)
class Engine:
    """A group of engine VMs; the first is the head."""

    name: str
    born_ms: int = 1
    is_up: bool = True
    is_leaving: bool = False
    # A member is down, so that answers stall.
    lost_member: bool = False
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class EntryFleet:
    """What an entry's view of the fleet says of the engines."""

    def __init__(self, *, engines):
        self._engines = engines
        self.has_control = True

    @property
    def endpoint_by_id(self):
        """The announcements of heads and members."""
        return {
            name: types.SimpleNamespace(
                announced=types.SimpleNamespace(
                    born_ms=engine.born_ms, address=name
                ),
                gone=False,
            )
            for engine in self._engines.values()
            for name in (engine.name, f'{engine.name}-member')
        }

    def member_ids(self, replica):
        """Return head and member of a group."""
        return (replica.endpoint_id, f'{replica.endpoint_id}-member')

    def is_departing(self, endpoint_id):
        """Whether an engine has said that it leaves."""
        return self._engines[endpoint_id.split('-')[0]].is_leaving


class Entry:
    """An entry that sends requests to engines, and reports to the leader."""

    def __init__(self, *, world, name, timer=None):
        self.world = world
        self.name = name
        self.is_linked = True
        self.monitor = exposures.ExposureMonitor(
            env=dataclasses.replace(world.env, timer=timer or world.env.timer),
            fleet=EntryFleet(engines=world.engine_by_name),
            entry_id=name,
        )
        self.monitor._is_refused = self._is_refused
        self._urgent = asyncio.Event()
        self.monitor.subscribe(self._urgent.set)

    async def _is_refused(self, address):
        engine = self.world.engine_by_name[address.split('-')[0]]
        await self.world.env.timer.sleep(LINK_S)
        if address.endswith('-member'):
            return engine.lost_member
        return not engine.is_up

    async def run(self):
        """Send reports until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with self.world.env.timer.timeout(
                    ALERT_S if self.monitor.is_alert else REPORT_S
                ):
                    await self._urgent.wait()
            self._urgent.clear()
            report = self.monitor.make_report()
            await self.world.env.timer.sleep(LINK_S)
            leader = self.world.leader
            if self.is_linked and leader is not None:
                leader.take(self.name, report)
                reply = leader.reply_to(report)
                await self.world.env.timer.sleep(LINK_S)
                self.monitor.apply_reply(
                    crashreports.decode_reply(crashreports.encode_reply(reply))
                )
            await self.world.env.timer.sleep(URGENT_S)

    async def send(self, parts):
        """Play one request of a caller; return how it ended."""
        self.monitor.note_request(parts)
        tried = set()
        for _ in range(MAX_ATTEMPTS):
            if self.monitor.find_kept_away(parts):
                return 'quarantined'
            engine = self.world.choose(tried)
            if engine is None:
                return 'refused'
            tried.add(engine.name)
            if await self._attempt(engine, parts):
                return 'served'
        return 'failed'

    async def _attempt(self, engine, parts):
        world = self.world
        replica = view.Replica(
            endpoint_id=engine.name,
            address=engine.name,
            data_centre='north',
            model='m',
            slots=8,
            group_id='g',
        )
        exposure = self.monitor.begin(replica, parts)
        world.arrivals[parts].append(world.env.timer.now())
        ended = engine.ended
        if not await self._wait(ended, FIRST_EVENT_S):
            self.monitor.note_broken_off(exposure)
            return False
        if BAD in parts:
            asyncio.ensure_future(world.crash_by_prompt(engine))
        for _ in range(world.events):
            if engine.lost_member and not ended.is_set():
                # The stall is noticed a while later.
                await world.env.timer.sleep(0.7)
                self.monitor.note_broken_off(exposure)
                return False
            self.monitor.note_event(exposure)
            if not await self._wait(ended, EVENT_GAP_S):
                self.monitor.note_broken_off(exposure)
                return False
        self.monitor.note_whole(exposure)
        return True

    async def _wait(self, ended, seconds):
        """Return whether an engine has not ended within a time."""
        try:
            async with self.world.env.timer.timeout(seconds):
                await ended.wait()
        except TimeoutError:
            return True
        return False


class World:
    """Engines, entries, and the leader, None while there is none."""

    def __init__(self, *, env, random, engines=12, entries=4):
        self.env = env
        self.random = random
        self.engine_by_name = {
            f'vm{number}': Engine(name=f'vm{number}')
            for number in range(engines)
        }
        self.leader = quarantine.Quarantine(env=env)
        self.entries = [
            Entry(world=self, name=f'entry{number}')
            for number in range(entries)
        ]
        self.events = EVENTS  # of each answer
        # Whether a crash by a prompt takes a member in place of the head.
        self.crashes_member = False
        self.crashes = []
        self.arrivals = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        self._tasks = set()

    def spawn(self, coroutine):
        """Start a task that ends with the world."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self):
        """Start the entries."""
        for entry in self.entries:
            self.spawn(entry.run())

    async def close(self):
        """End all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def choose(self, tried):
        """Return an engine for an attempt, None if there is none."""
        engines = [
            engine
            for engine in self.engine_by_name.values()
            if engine.is_up
            and not engine.lost_member
            and not engine.is_leaving
            and engine.name not in tried
        ]
        return self.random.choice(engines) if engines else None

    async def crash_by_prompt(self, engine):
        """Crash an engine a moment after it began to answer."""
        born_ms = engine.born_ms
        await self.env.timer.sleep(self.random.uniform(*CRASH_DELAYS_S))
        if (
            engine.is_up
            and engine.born_ms == born_ms
            and (not engine.lost_member)
        ):
            self.crashes.append(self.env.timer.now())
            if self.crashes_member:
                self.lose_member(engine)
            else:
                self.crash(engine)

    def crash(self, engine):
        """End an engine; it is back later and knows nothing of before."""
        if not engine.is_up:
            return
        engine.is_up = False
        self.disconnect(engine)
        self.spawn(self._bring_back(engine))

    def lose_member(self, engine):
        """End a member: the head goes on accepting, and answers stall."""
        engine.lost_member = True
        self.spawn(self._bring_back(engine))

    def disconnect(self, engine):
        """Cut all connections of an engine."""
        engine.ended.set()
        engine.ended = asyncio.Event()

    async def _bring_back(self, engine):
        await self.env.timer.sleep(BACK_S)
        if engine.lost_member:
            self.disconnect(engine)
        engine.lost_member = False
        engine.is_up = True
        engine.born_ms += 1

    async def offer(self, *, rate, seconds, make_parts, kind):
        """Send requests to random entries at a rate."""
        for _ in range(int(rate * seconds)):
            await self.env.timer.sleep(self.random.expovariate(rate))
            entry = self.random.choice(self.entries)
            self.spawn(self._record(entry, make_parts(), kind))

    async def _record(self, entry, parts, kind):
        sent_at = self.env.timer.now()
        self.ends[kind].append((sent_at, await entry.send(parts)))

    def count_arrivals(self, part, *, after):
        """Return how many requests with a part reached engines."""
        return sum(
            at > after
            for parts, moments in self.arrivals.items()
            if part in parts
            for at in moments
        )

    def served_share(self, kind, *, after=0.0):
        """Return the share of requests that were served."""
        ends = [end for at, end in self.ends[kind] if at >= after]
        return ends.count('served') / len(ends)

    def quarantined(self):
        """Return the parts that any node has in quarantine."""
        boards = [entry.monitor.quarantine for entry in self.entries]
        if self.leader is not None:
            boards.append(self.leader)
        return {
            record.part
            for board in boards
            for record in board.records()
            if record.condition is crashreports.Condition.QUARANTINED
        }
