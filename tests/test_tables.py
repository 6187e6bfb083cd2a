"""The operators' table: CSV parsing and writing, faults of wrong cells."""

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.control import tablecsv
from apricotthread.control import tables

VALID_TABLE = """\
row,name,service,type,pool,weight,limit,group_vms,match,repeatable
service,describe,,model,gpu,2,,8,,
service,bidding,,plain,,,,,,
account,acme,,,,3,40,,,
request,bid,bidding,,,5,,,POST /bids*,no
"""


def faults_of(text):
    """Return the faults of a table."""
    with pytest.raises(tables.TableError) as caught:
        tablecsv.parse_csv(text)
    return caught.value.faults


def test_csv_round_trip_keeps_the_table():
    table = tablecsv.parse_csv(VALID_TABLE)
    assert tablecsv.parse_csv(tablecsv.format_csv(table)) == table
    assert len(table.rows) == 4


@pytest.mark.parametrize(
    ('old', 'new', 'column', 'allowed'),
    [
        (',gpu,2,', ',gpu,-2,', 'weight', 'above 0'),
        (',gpu,2,', ',gpu,nan,', 'weight', 'above 0'),
        (',model,', ',robot,', 'type', 'model or plain'),
        ('account,acme', 'acount,acme', 'row', 'service, account or request'),
        ('3,40', '3,many', 'limit', 'whole number'),
        ('POST /bids*', 'bids', 'match', 'METHOD'),
        (',no\n', ',perhaps\n', 'repeatable', 'yes or no'),
        ('request,bid,bidding', 'request,bid,betting', 'service',
         'name of a service row'),
        ('account,acme', 'account,a b', 'name', 'letters'),
        ('account,acme,,', 'account,acme,,model', 'type', 'empty in a'),
        (',limit,', ',limits,', 'limits', 'each once of'),
    ],
)  # fmt: skip
def test_a_wrong_cell_names_row_column_value_and_what_is_allowed(
    old, new, column, allowed
):
    assert old in VALID_TABLE
    fault = faults_of(VALID_TABLE.replace(old, new))[0]
    assert fault.column == column
    assert allowed in fault.allowed
    assert fault.place.startswith(('line ', 'row '))


def test_all_wrong_cells_are_reported_together():
    text = VALID_TABLE.replace('3,40', 'x,y')
    assert {fault.column for fault in faults_of(text)} == {'weight', 'limit'}


def test_two_rows_with_the_same_name_are_refused():
    assert faults_of(VALID_TABLE + 'account,acme,,,,1,1,,,\n')


def test_two_accounts_with_the_same_key_are_refused():
    rows = [tables.AccountRow(name=name, key_sha256='a' * 64) for name in 'xy']
    (fault,) = tables.check_table(tables.make_table(rows))
    assert fault.column == 'key_sha256'


@hypothesis.given(text=strategies.text(max_size=300))
def test_random_text_is_refused_or_parsed(text):
    try:
        table = tablecsv.parse_csv('row,name,weight\n' + text)
    except tables.TableError as error:
        assert error.faults
    else:
        assert not tables.check_table(table)


@hypothesis.given(text=strategies.text(max_size=60))
def test_random_row_keys_are_refused_or_round_trip(text):
    try:
        key = tables.parse_key(text)
    except tables.errors.ApricotError:
        return
    assert str(key) == text
