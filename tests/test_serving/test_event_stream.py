"""
Tests of splitting a stream into events.

They guard against events that are found late or torn because of how their
bytes arrive.
"""

import pytest

from cicadahoist.serving.event_stream import EventStream

EVENTS_BY_LINE_END = {
    'lf': [b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n'],
    'crlf': [b'id: 1\r\ndata: a\r\n\r\n', b'id: 2\r\ndata: b\r\n\r\n'],
    'mixed': [b'id: 1\r\ndata: a\n\r\n', b'id: 2\ndata: b\r\n\n'],
}


@pytest.mark.parametrize('events', EVENTS_BY_LINE_END.values())
@pytest.mark.parametrize('size', range(1, 12))
def test_events_are_found_however_their_bytes_arrive(events, size):
    stream = EventStream()
    body = b''.join(events)
    found = []
    for start in range(0, len(body), size):
        found.extend(stream.feed(body[start : start + size]))
    assert found == events
    assert not stream.is_inside_event


@pytest.mark.parametrize('events', EVENTS_BY_LINE_END.values())
def test_any_part_of_an_event_counts_as_inside_of_it(events):
    body = events[0]
    for end in range(1, len(body)):
        stream = EventStream()
        stream.feed(body[:end])
        assert stream.is_inside_event


def test_blank_lines_behind_the_last_event_are_kept_and_no_event():
    stream = EventStream()
    stream.feed(b'data: a\n\n\r\n')
    assert not stream.is_inside_event
    assert stream.take_rest() == b'\r\n'
