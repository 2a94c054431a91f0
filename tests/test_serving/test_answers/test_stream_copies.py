"""
Copies of streams, on a connection that carries the next one.

They guard against events of another stream (MIXED), and against a stream that
is lost although the copy before it was whole.
"""

import pytest

from tests.test_serving.test_answers.copies import build_head
from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target

STEP_BYTES = 11
framings = pytest.mark.parametrize('framing', ['length', 'chunks'])


def build_stream(name, text, framing='chunks'):
    events = [b'id: %d\ndata: %s%d\n\n' % (n, text, n) for n in (1, 2, 3)]
    body = b''.join(events)
    head = build_head(name, framing=framing, body=body)
    if framing == 'length':
        return head + body
    chunks = [b'%x\r\n%s\r\n' % (len(event), event) for event in events]
    return head + b''.join(chunks) + b'0\r\n\r\n'


def ask(world, path=b'/ask/x'):
    caller = world.send_request(path, *SHORT_PROMPT_HEADERS, patience=15_000)
    return caller, world.sent[-1]


def reuse_stream(path=b'/ask/x'):
    """Return a world, a caller, and the attempts of two streams."""
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    _, first = ask(world, path)
    first.write(build_stream(first.attempt_id, b'first'))
    caller, again = ask(world, path)
    assert again.connection is first.connection
    return world, caller, first, again


def is_whole(caller):
    is_ended = caller.body.endswith(b'0\r\n\r\n')
    return is_ended and caller.body.count(b'data: own') == 3


@framings
@pytest.mark.parametrize('path', [b'/ask/x', b'/check/x'])
def test_a_stream_is_whole_behind_a_copy_in_parts(path, framing):
    copy_size = len(build_stream(b'a000', b'first', framing))
    for cut in range(1, copy_size, STEP_BYTES):
        _, caller, first, again = reuse_stream(path)
        copy = build_stream(first.attempt_id, b'first', framing)
        own = build_stream(again.attempt_id, b'own', framing)
        again.write(copy[:cut])
        again.write(copy[cut:] + own[:cut])
        again.write(own[cut:])
        assert is_whole(caller), cut
        assert b'first' not in caller.body


# The framing of a copy that breaks off takes bytes of the stream behind it.
@framings
@pytest.mark.parametrize('path', [b'/ask/x', b'/check/x'])
def test_a_stream_behind_a_cut_copy_is_its_own_or_lost_at_once(path, framing):
    copy_size = len(build_stream(b'a000', b'first', framing))
    for cut in range(1, copy_size, STEP_BYTES):
        world, caller, first, again = reuse_stream(path)
        world.add(target('d2', 'llm', 'decode'))
        copy = build_stream(first.attempt_id, b'first', framing)
        again.write(copy[:cut])
        if not again.is_closed:
            again.write(build_stream(again.attempt_id, b'own', framing))
        assert b'first' not in caller.body
        is_sent_on = world.sent[-1].target == 'd2'
        assert is_whole(caller) or is_sent_on or caller.status == 502, cut


# Guards against a connection that is used again with a copy in it, read or not.
@pytest.mark.parametrize('copy_size', [1, 40, 4096])
@pytest.mark.parametrize('is_read', [True, False])
def test_a_connection_with_a_copy_behind_a_stream_is_not_used(
    is_read, copy_size
):
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    caller, sent = ask(world)
    own = build_stream(sent.attempt_id, b'own')
    copy = build_stream(sent.attempt_id, b'copy')[:copy_size]
    if is_read:
        sent.write(own + copy)
    else:
        sent.write(own)
        sent.transport.receive_unread(copy)
    assert is_whole(caller)
    assert b'copy' not in caller.body
    assert ask(world)[1].connection is not sent.connection


# Guards against a copy on the connection of an engine that takes a stream over:
# its events would go on where the silent engine has stopped.
@framings
def test_a_copy_before_a_stream_that_is_taken_over_brings_no_event(framing):
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    _, first = ask(world)
    first.write(build_stream(first.attempt_id, b'first'))
    world.add(target('d2', 'llm', 'decode'))
    world.context.fleet.directory.remove('d1')
    caller, silent = ask(world)
    assert silent.target == 'd2'
    silent.begin_stream()
    silent.send_bytes(b'id: 1\ndata: own1\n\n')
    world.add(target('d1', 'llm', 'decode'))
    for _ in range(300):
        world.clock.advance(10)
    again = world.sent[-1]
    assert again.connection is first.connection
    assert again.header(b'Last-Event-Id') == b'1'
    copy = build_stream(first.attempt_id, b'first', framing)
    again.write(copy[:150])
    again.write(copy[150:])
    again.begin_stream()
    again.send_bytes(b'id: 2\ndata: own2\n\nid: 3\ndata: own3\n\n')
    again.end_stream()
    assert is_whole(caller)
    assert b'first' not in caller.body
    assert silent.is_closed
