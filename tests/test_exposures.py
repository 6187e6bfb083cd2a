"""Which ends of answers an entry takes for crashes of endpoints."""

import asyncio
import types

import pytest

from apricotthread.base import environment
from apricotthread.fakes import localsystem
from apricotthread.fleet import view
from apricotthread.gateway import exposures

PARTS = ('all', 'topic')


class Endpoints:
    """A head and a member at real addresses, as an entry knows them."""

    def __init__(self, *, head, member):
        self.endpoint_by_id = {
            'head': self._make_known(head),
            'member': self._make_known(member),
        }
        self.departing = set()

    def _make_known(self, address):
        return types.SimpleNamespace(
            announced=types.SimpleNamespace(born_ms=1, address=address),
            gone=False,
        )

    def member_ids(self, replica):
        """Return both endpoints."""
        return ('head', 'member')

    def is_departing(self, endpoint_id):
        """Whether an endpoint has said that it leaves."""
        return endpoint_id in self.departing


REPLICA = view.Replica(
    endpoint_id='head',
    address='',
    data_centre='north',
    model='m',
    slots=4,
    group_id='g',
)


async def accept(reader, writer):
    """Accept a connection and leave it open."""


async def break_off(change=lambda endpoints, exposure, monitor: None):
    """Break an answer off; return the crashes that are reported."""
    listening = await asyncio.start_server(accept, '127.0.0.1', 0)
    address = '%s:%d' % listening.sockets[0].getsockname()
    endpoints = Endpoints(head=address, member=address)
    monitor = exposures.ExposureMonitor(
        env=environment.make_environment(), fleet=endpoints, entry_id='entry'
    )
    exposure = monitor.begin(REPLICA, PARTS)
    change(endpoints, exposure, monitor)
    monitor.note_broken_off(exposure)
    await asyncio.sleep(0.4)
    listening.close()
    return monitor.make_report().crashes


def find_refusing_address():
    """Return an address that refuses connections."""
    (port,) = localsystem.find_free_ports(1)
    return f'127.0.0.1:{port}'


def test_an_endpoint_that_only_cut_its_connections_has_not_crashed():
    assert asyncio.run(break_off()) == ()


@pytest.mark.parametrize('name', ['head', 'member'])
def test_an_endpoint_that_refuses_connections_has_crashed(name):
    def refuse(endpoints, exposure, monitor):
        address = find_refusing_address()
        known = endpoints.endpoint_by_id[name]
        known.announced.address = address
        exposure.members = monitor.begin(REPLICA, PARTS).members

    (crash,) = asyncio.run(break_off(refuse))
    assert (crash.endpoint_id, crash.born_ms) == (name, 1)
    assert crash.position_by_part == {'all': 0, 'topic': 1}


@pytest.mark.parametrize('name', ['head', 'member'])
def test_an_endpoint_that_has_started_again_had_crashed(name):
    def restart(endpoints, exposure, monitor):
        endpoints.endpoint_by_id[name].announced.born_ms = 2

    (crash,) = asyncio.run(break_off(restart))
    assert (crash.endpoint_id, crash.born_ms) == (name, 1)


@pytest.mark.parametrize('name', ['head', 'member'])
def test_an_endpoint_that_said_that_it_leaves_has_not_crashed(name):
    def leave(endpoints, exposure, monitor):
        endpoints.endpoint_by_id[
            name
        ].announced.address = find_refusing_address()
        exposure.members = monitor.begin(REPLICA, PARTS).members
        endpoints.departing.add(name)

    assert asyncio.run(break_off(leave)) == ()


def test_a_prompt_whose_answer_had_gone_on_is_not_blamed():
    def go_on(endpoints, exposure, monitor):
        endpoints.endpoint_by_id['head'].announced.born_ms = 2
        for _ in range(exposures.SOUND_EVENTS):
            monitor.note_event(exposure)

    assert asyncio.run(break_off(go_on)) == ()


def test_a_request_without_shared_parts_is_not_watched():
    async def main():
        monitor = exposures.ExposureMonitor(
            env=environment.make_environment(), fleet=None, entry_id='entry'
        )
        assert monitor.begin(REPLICA, ()) is None

    asyncio.run(main())
