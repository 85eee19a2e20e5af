"""Property tests of the splitting of streams: the result does not depend on how bytes arrive."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonflow.gateway.event_splitter import EventSplitter

LINE_ENDS = st.sampled_from([b"\n", b"\r\n"])
LINES = st.sampled_from(
    [b"id: 1", b"id: 2", b"id:33", b"data: a", b"data", b": c", b"retry: 1", b"", b"x-v: 2"]
)
RESTS = st.sampled_from([b"", b"id", b"data: x", b"\r", b": c"])


@st.composite
def streams(draw):
    lines = draw(st.lists(st.tuples(LINES, LINE_ENDS), max_size=14))
    return b"".join(line + end for line, end in lines) + draw(RESTS)


def split(stream, cuts):
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(stream)]
    pieces = [splitter.feed(stream[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)]
    return splitter, b"".join(pieces)


@settings(max_examples=300, deadline=None)
@given(st.data(), streams())
def test_events_do_not_depend_on_where_the_stream_is_cut(data, stream):
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=8))
    whole, whole_events = split(stream, [])
    cut, cut_events = split(stream, cuts)
    assert cut_events + cut.incomplete == stream
    assert cut_events.strip(b"\r\n") == whole_events.strip(b"\r\n")
    assert cut.last_event_id == whole.last_event_id
    assert cut.event_count == whole.event_count
    assert cut.is_position_known == whole.is_position_known
    assert cut.is_inside_event == whole.is_inside_event


def test_an_id_of_thousands_of_digits_is_no_error():
    """The request's task failed at it: its caller got no answer."""
    splitter = EventSplitter(b"1")
    event = b"id: %s\ndata: a\n\n" % (b"9" * 5_000)
    assert splitter.feed(event) == event
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b""
    assert splitter.repeats
