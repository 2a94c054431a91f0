"""
Requests of one name, and the connections that have carried it.

They guard against a late copy of one answer that counts for another request
(MIXED): the name alone does not tell the answers to these requests apart.
"""

import pytest

from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut
from tests.test_serving.test_answers.copies import build_answer
from tests.test_serving.world import (
    HANDLE_BODY,
    SHORT_PROMPT_HEADERS,
    World,
    prompt_headers,
    target,
)

NAME = b'one-name'
SETTLE_MS = 50


def send_named(world, path, name=NAME, headers=(), patience=15_000):
    """Send a request whose caller chooses the name."""
    caller = world.caller()
    lines = [b'POST ' + path + b' HTTP/1.1', b'Host: h.example']
    lines.append(b'X-Cicadahoist-Attempt-Id: ' + name)
    lines.append(b'X-Cicadahoist-Deadline-Ms: %d' % patience)
    lines.extend((b'Content-Length: 0', b'Authorization: Token k1'))
    caller.write(b'\r\n'.join((*lines, *headers)) + b'\r\n\r\n')
    return caller


# Guards against the answer to a booking that is told as that of another one.
@pytest.mark.parametrize('other_count', [0, 1, 3])
def test_a_connection_does_not_carry_a_name_twice(other_count):
    world = World()
    world.add(target('t1'))
    send_named(world, b'/submit/x')
    first = world.sent[0]
    first.answer()
    for _ in range(other_count):
        world.send_request(b'/submit/x')
        assert world.sent[-1].connection is first.connection
        world.sent[-1].answer()
    caller = send_named(world, b'/submit/x')
    again = world.sent[-1]
    assert again.connection is not first.connection
    first.write(build_answer(NAME, body=b'first'))
    again.write(build_answer(NAME, body=b'again'))
    assert (caller.status, caller.body) == (200, b'again')


def test_a_request_of_another_name_gets_the_connection():
    world = World()
    world.add(target('t1'))
    for name in (b'a', b'aa', b'b'):
        send_named(world, b'/submit/x', name)
        world.sent[-1].answer()
    assert len({sent.connection for sent in world.sent}) == 1


# Guards against the same on the connections themselves, also through a peer.
@pytest.mark.parametrize('is_relayed', [False, True])
def test_no_path_carries_a_name_twice(is_relayed):
    world = CutWorld(target('t1'))
    if is_relayed:
        world.network.cut(Cut.refused)
    for name in (NAME, b'other', NAME):
        send_named(world, b'/submit/x', name)
        world.advance(SETTLE_MS)
    first, other, again = world.network.arrivals
    assert first.is_relayed is is_relayed
    assert other.connection is first.connection
    assert again.connection is not first.connection


# Guards against a connection that waits for another name and is in the way of
# those behind it.
def test_a_connection_without_the_name_is_found_behind_one_with_it():
    world = World()
    world.add(target('t1'))
    send_named(world, b'/submit/x', b'other')
    send_named(world, b'/submit/x')
    for sent in world.sent[:2]:
        sent.answer()
    send_named(world, b'/submit/x')
    assert world.sent[2].connection is world.sent[0].connection


class Split:
    """A prompt that was prefilled and run, once, under one name."""

    def __init__(self) -> None:
        self.world = World()
        self.world.add(
            target('p1', 'llm', 'prefill'), target('d1', 'llm', 'decode')
        )
        self.send(prompt_headers())
        self.prefill, self.run = self._answer()

    def send(self, headers):
        return send_named(self.world, b'/ask/x', headers=headers)

    def _answer(self):
        prefill = self.world.sent[0]
        assert prefill.target == 'p1'
        prefill.answer(body=HANDLE_BODY, signed=False)
        run = self.world.sent[1]
        assert run.target == 'd1'
        run.begin_stream()
        run.send_events(1)
        run.end_stream()
        return prefill, run

    def change_role(self, name, role):
        self.world.add(target(name, 'llm', role))


# Guards against the answer to a prefill that is taken for that to a run, where
# the engine has changed its role in between.
@pytest.mark.parametrize('is_signed', [False, True])
def test_a_copy_of_a_prefill_answers_no_run(is_signed):
    split = Split()
    split.change_role('p1', 'decode')
    split.change_role('d1', 'prefill')
    caller = split.send(SHORT_PROMPT_HEADERS)
    run = split.world.sent[-1]
    assert run.target == 'p1'
    copies = split.prefill
    copies.answer(body=HANDLE_BODY, signed=is_signed)
    assert run.connection is not copies.connection
    run.begin_stream()
    run.send_events(1)
    run.end_stream()
    assert caller.status == 200
    assert b'kv-handle' not in caller.body
    assert caller.body.count(b'data: t1') == 1


# Guards against the answer to a run that is taken for that to a prefill: the
# prefill would count as failed, and its cache would be lost.
def test_a_copy_of_a_run_answers_no_prefill():
    split = Split()
    split.change_role('p1', 'decode')
    split.change_role('d1', 'prefill')
    split.send(prompt_headers())
    prefill = split.world.sent[-1]
    assert prefill.target == 'd1'
    assert prefill.header(b'X-Cicadahoist-Serving-Stage') == b'prefill'
    assert prefill.connection is not split.run.connection


# Guards against a name that reaches the target changed: the answer that states
# it would be taken for that to another request until the deadline.
@pytest.mark.parametrize('name', [b'n\xe9', b'n\xc3\xa9', b'\xa0n\x85'])
def test_a_name_of_any_bytes_is_told_from_others(name):
    world = World()
    world.add(target('t1'))
    send_named(world, b'/submit/x', b'n')
    world.sent[0].answer()
    caller = send_named(world, b'/submit/x', name)
    again = world.sent[1]
    assert again.attempt_id == name
    assert again.connection is world.sent[0].connection
    again.write(build_answer(b'n', 500) + build_answer(name))
    assert (caller.status, caller.body) == (200, b'own')
    assert name in caller.received
