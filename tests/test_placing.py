"""Simulations of many entries that place requests on the same groups."""

import pytest

from apricotthread.fakes import placementsimulation
from apricotthread.gateway import loads
from bench import placing


def run_load(make_table, *, entries, groups, slots, load_share):
    """Return the shares of requests in time, late and refused."""
    return placementsimulation.PlacementSimulation(
        entries=entries,
        groups=groups,
        slots=slots,
        load_share=load_share,
        seed=1,
        make_table=make_table,
    ).run()


@pytest.mark.parametrize(
    ('entries', 'groups', 'slots'), [(7, 6, 13), (63, 16, 19), (87, 8, 24)]
)
def test_in_overload_entries_refuse_little_more_than_necessary(
    entries, groups, slots
):
    result = run_load(
        loads.LoadTable,
        entries=entries,
        groups=groups,
        slots=slots,
        load_share=1.3,
    )
    # At least nine tenths of what the groups can serve is served.
    assert 1 - result.refused >= 0.9 / 1.3


def test_entries_without_the_sums_of_all_entries_refuse_too_much():
    shape = {'entries': 63, 'groups': 16, 'slots': 19, 'load_share': 1.3}
    informed = run_load(loads.LoadTable, **shape)
    naive = run_load(placing.NaiveLoadTable, **shape)
    assert naive.refused > 2 * informed.refused
    assert informed.in_time > naive.in_time


def test_below_capacity_nothing_is_refused():
    result = run_load(
        loads.LoadTable, entries=63, groups=16, slots=19, load_share=0.8
    )
    assert result.refused == 0
    assert result.in_time > 0.95
