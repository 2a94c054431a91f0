"""
Streams that a target breaks off and that a copy of an answer follows.

They guard against a piece of a stream that holds bytes of another answer
(ORDER, MIXED): what is missing of its chunk or its length is taken from there.
"""

import pytest

from tests.test_serving.test_answers.copies import build_answer, build_head
from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target

EVENTS = b'id: 1\ndata: t1\n\nid: 2\ndata: t2%s\n\n' % (b'x' * 300)
# Enough for the head of a copy, which ends as an event does.
LOST_BYTES = 300


def break_off_a_stream(path, framing):
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    caller = world.send_request(path, *SHORT_PROMPT_HEADERS, patience=15_000)
    world.add(target('d2', 'llm', 'decode'))
    sent = world.sent[0]
    stream = build_head(sent.attempt_id, framing=framing, body=EVENTS)
    if framing == 'chunks':
        stream += b'%x\r\n' % len(EVENTS)
    stream += EVENTS
    copy = build_answer(sent.attempt_id, framing=framing, body=EVENTS)
    sent.write(stream[:-LOST_BYTES] + copy)
    return world, caller


# Guards against the head of a copy inside an event.
@pytest.mark.parametrize('path', [b'/check/x', b'/ask/x'])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_no_event_holds_the_head_of_a_copy(path, framing):
    _, caller = break_off_a_stream(path, framing)
    assert b'HTTP/1.1' not in caller.received[1:]


# Guards against a stream that goes on elsewhere behind such an event, and looks
# whole.
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_stream_goes_on_behind_its_last_own_event(framing):
    world, caller = break_off_a_stream(b'/ask/x', framing)
    rest = world.sent[-1]
    if rest.target == 'd2':
        last = int(rest.header(b'Last-Event-Id') or 0)
        rest.write(build_head(rest.attempt_id, framing='chunks'))
        rest.send_events(last + 1, last + 2)
        rest.end_stream()
    looks_whole = caller.received.endswith(b'0\r\n\r\n')
    assert not (looks_whole and b'seal-of' in caller.body)
