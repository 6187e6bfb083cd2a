"""Limits on what a process holds for all its clients."""

import asyncio
import random

import pytest

from apricotthread.daemon import connectiontable

MAX_BYTES = 1000
EVEN_SHARE = 100


class FakeConnection:
    """A connection that closes when it is shed, unless it is served."""

    def __init__(self, table):
        self.table = table
        self.is_served = False
        self.is_closed = False
        self.has_sent_ahead = False
        self.held_bytes = 0

    def hold(self, held_bytes):
        """Hold so many bytes."""
        self.held_bytes = held_bytes
        self.table.set_held(self, held_bytes)

    def serve(self):
        """Have a whole request, which is being answered."""
        self.is_served = True
        self.table.note_serving(self)

    def shed(self, reason):
        """Close, or drop what waits behind a request."""
        self.has_sent_ahead = False
        if not self.is_served:
            self.held_bytes = 0
            self.is_closed = True
            self.table.remove(self)


@pytest.fixture
def table():
    """Return a table of ten connections and 1000 bytes."""
    return connectiontable.ConnectionTable(
        max_connections=10, max_bytes=MAX_BYTES
    )


@pytest.fixture
def connect(table):
    """Return a function that opens connections."""

    def open_many(count):
        connections = [FakeConnection(table) for _ in range(count)]
        for connection in connections:
            table.add(connection)
        return connections

    return open_many


def test_the_connection_that_waited_longest_gives_way(table, connect):
    first, second, third, *_ = connect(10)
    second.serve()
    table.note_waiting(first)
    connect(1)
    assert third.is_closed
    assert not first.is_closed
    assert not second.is_closed
    assert table.open_connections == 10


def test_a_new_connection_gives_way_to_requests_in_service(table, connect):
    served = connect(10)
    for connection in served:
        connection.serve()
    (new,) = connect(1)
    assert new.is_closed
    assert not any(connection.is_closed for connection in served)


def test_requests_sent_ahead_give_way_to_a_new_connection(table, connect):
    served = connect(10)
    for connection in served:
        connection.serve()
    served[3].has_sent_ahead = True
    table.note_sent_ahead(served[3])
    (new,) = connect(1)
    assert not new.is_closed
    assert not served[3].has_sent_ahead
    new.serve()
    served[4].has_sent_ahead = True
    table.note_sent_ahead(served[4])
    (beyond,) = connect(1)
    assert beyond.is_closed  # until the one that was shed has closed


def test_bytes_of_the_longest_waiting_are_dropped(table, connect):
    first, small, second, third = connect(4)
    small.hold(EVEN_SHARE)
    first.hold(400)
    second.hold(400)
    table.note_waiting(first)
    third.hold(400)
    assert second.is_closed
    assert [first.is_closed, small.is_closed, third.is_closed] == [False] * 3


def test_a_request_in_service_keeps_its_bytes(table, connect):
    served, waiting = connect(2)
    served.hold(900)
    served.serve()
    waiting.hold(200)
    assert waiting.is_closed
    assert not served.is_closed


def test_one_request_may_hold_more_than_all(table, connect):
    alone, other = connect(2)
    alone.hold(5 * MAX_BYTES)
    assert not alone.is_closed
    other.hold(EVEN_SHARE + 1)
    assert alone.is_closed


@pytest.mark.parametrize('seed', range(50))
def test_the_sum_has_a_bound_whatever_clients_do(table, connect, seed):
    """Guards against ways to hold more than the limits by turns."""
    draw = random.Random(seed)
    live = []
    for _ in range(500):
        if len(live) < 14 and draw.random() < 0.4:
            live += connect(1)
        connection = draw.choice(live) if live else None
        if connection is None or connection.is_closed:
            live = [each for each in live if not each.is_closed]
            continue
        match draw.randrange(4):
            case 0 if not connection.is_served:
                most = draw.choice((EVEN_SHARE, 400))
                connection.hold(
                    min(400, connection.held_bytes + draw.randrange(most))
                )
            case 1 if connection.held_bytes:
                connection.serve()
            case 2 if connection.is_served:
                connection.is_served = False
                connection.hold(0)
                table.note_waiting(connection)
            case 3:
                table.remove(connection)
                connection.is_closed = True
        open_ones = [each for each in live if not each.is_closed]
        assert table.open_connections == len(open_ones) <= 10
        held_bytes = sum(each.held_bytes for each in open_ones)
        assert table.held_bytes == held_bytes <= 2 * MAX_BYTES


def test_turns_are_taken_one_by_one(table):
    """Guards against connections that take all turns of the event loop."""
    seen = []

    async def main():
        for number in range(5):
            table.add_turn(lambda number=number: seen.append(number))
        table.add_turn(lambda: table.add_turn(lambda: seen.append('last')))
        for count in range(6):
            assert len(seen) == min(count, 5)
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)

    asyncio.run(main())
    assert seen == [0, 1, 2, 3, 4, 'last']
