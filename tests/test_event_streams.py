"""Event streams are understood in every writing that the format allows."""

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.gateway import events
from tests import eventstreamjudge

NUMBERS = range(1, 9)
DATA_THEN_ID = (b'', [b'data: raised the bid: 1007', b'id'], b'\n')
cuts = strategies.lists(strategies.integers(0, 400), max_size=8)


def feed_in_parts(splitter, body, positions):
    """Feed a body that is cut at some positions."""
    ends = sorted({0, len(body), *(p for p in positions if p < len(body))})
    return b''.join(
        splitter.feed(body[start:end])
        for start, end in zip(ends, ends[1:], strict=False)
    )


@hypothesis.given(
    writing=eventstreamjudge.writings(),
    second_writing=eventstreamjudge.writings(),
    positions=cuts,
    broken_at=strategies.integers(0, 600),
)
@hypothesis.example(
    writing=DATA_THEN_ID,
    second_writing=DATA_THEN_ID,
    positions=[],
    broken_at=100,
)
def test_a_resumed_stream_has_each_event_once_in_any_writing(
    writing, second_writing, positions, broken_at
):
    """Guards against ids that are not found where they may stand."""
    first = eventstreamjudge.write_stream(writing, NUMBERS)[:broken_at]
    splitter = events.EventSplitter(last_id=None)
    returned = feed_in_parts(splitter, first, positions)
    assert splitter.can_resume
    splitter.restart()
    rest = range((splitter.last_id or 0) + 1, NUMBERS.stop)
    returned += feed_in_parts(
        splitter,
        eventstreamjudge.write_stream(second_writing, rest),
        positions,
    )
    assert splitter.is_between_events
    assert [e.event_id for e in eventstreamjudge.read(returned)] == [
        str(number) for number in NUMBERS
    ]


@hypothesis.given(
    writing=eventstreamjudge.writings(),
    positions=cuts,
    known=strategies.integers(0, 5),
)
def test_events_that_a_caller_has_are_dropped_in_any_writing(
    writing, positions, known
):
    """Guards against second copies from an endpoint that begins anew."""
    splitter = events.EventSplitter(last_id=known or None)
    body = eventstreamjudge.write_stream(writing, NUMBERS)
    returned = feed_in_parts(splitter, body, positions)
    assert [e.event_id for e in eventstreamjudge.read(returned)] == [
        str(number) for number in range(known + 1, NUMBERS.stop)
    ]


@hypothesis.given(writing=eventstreamjudge.writings(), positions=cuts)
def test_a_stream_that_does_not_break_is_passed_on_byte_by_byte(
    writing, positions
):
    body = eventstreamjudge.write_stream(writing, NUMBERS)
    body += writing[2]  # an empty line, which may follow the last event
    splitter = events.EventSplitter(last_id=None)
    assert feed_in_parts(splitter, body, positions) == body
    assert splitter.is_between_events
    assert events.has_data(body)


def test_the_last_of_several_ids_counts():
    splitter = events.EventSplitter(last_id=None)
    event = b'id: 1\ndata: a\nid: 2\n\n'
    assert splitter.feed(event) == event
    assert splitter.last_id == 2


@pytest.mark.parametrize('text', [b'1_0', b'', b'x', b'-1', b'\xd9\xa1'])
def test_an_id_that_is_no_whole_number_breaks_the_stream(text):
    splitter = events.EventSplitter(last_id=None)
    with pytest.raises(events.BrokenStream):
        splitter.feed(b'data: a\nid: ' + text + b'\n\n')


def test_a_stream_is_not_resumed_after_data_without_an_id():
    """Guards against data that is sent twice, as no id tells it apart."""
    splitter = events.EventSplitter(last_id=None)
    splitter.feed(b'id: 1\ndata: a\n\n: comment\n\nretry: 5\n\n')
    assert splitter.can_resume
    splitter.feed(b'data: b\n\n')
    assert not splitter.can_resume
