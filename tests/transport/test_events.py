"""Splitting a stream into complete events, however its bytes arrive."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.transport.events import EventSplitter, EventTooLarge


@given(st.lists(st.integers(0, 10**6), min_size=1, max_size=8), st.data())
def test_events_are_complete_and_in_order_for_any_split(ids, data):
    stream = b"".join(f"id: {number}\ndata: x{number}\n\n".encode() for number in ids)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=10)))
    splitter = EventSplitter()
    events = []
    for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        events += splitter.feed(stream[start:end])
    assert [event.event_id for event in events] == [str(number) for number in ids]
    assert b"".join(event.data for event in events) == stream
    assert splitter.rest == b""


def test_incomplete_event_is_not_returned():
    # If a target fails within an event, the caller must not get the incomplete event, because the
    # target that continues the stream sends the whole event again.
    splitter = EventSplitter()
    assert len(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")) == 1
    assert splitter.rest == b"id: 2\nda"


def test_events_may_end_with_crlf():
    events = EventSplitter().feed(b"id: 7\r\ndata: a\r\n\r\n")
    assert [event.event_id for event in events] == ["7"]


def test_oversized_event_is_refused():
    with pytest.raises(EventTooLarge):
        EventSplitter().feed(b"data: " + b"x" * (2 << 20))
