"""
Bodies and answers that an instance holds for its callers.

They guard against bytes that are held after their use, and against bodies that
are read although their head alone decides.
"""

import pytest

from cicadahoist.policy.caller_admission.memory_budget import STALL_MS
from tests.test_serving.world import TARGETS, World

BODY = b'x' * 1_000_000
BOUND_MB = 110


@pytest.fixture
def world():
    world = World()
    world.context.set_memory_limit(BOUND_MB)
    world.add(*TARGETS)
    return world


def begin(world, path=b'/submit/x', key=b'k1', body=BODY, missing=1):
    """Send all of a request but its last bytes; return its caller."""
    caller = world.caller()
    caller.write(
        b'POST %s HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Cicadahoist-Attempt-Id: u1\r\nAuthorization: Token %s\r\n'
        b'Content-Length: %d\r\n\r\n'
        % (path, key, len(body))
        + body[: len(body) - missing]
    )
    return caller


def held_bytes(world):
    return world.context.memory.held_bytes


def test_a_body_is_held_until_its_answer(world):
    caller = world.send_request(b'/submit/x', body=BODY)
    assert held_bytes(world) == len(BODY)
    world.sent[0].answer()
    assert caller.status == 200
    assert held_bytes(world) == 0


@pytest.mark.parametrize('path', [b'/submit/x', b'/lookup/x'])
def test_a_body_is_held_until_its_caller_and_its_target_have_left(world, path):
    caller = world.send_request(path, body=BODY)
    caller.disconnect()
    if not world.sent[0].is_closed:
        world.sent[0].answer()
    assert held_bytes(world) == 0


def test_a_body_is_held_for_a_second_try(world):
    world.send_request(b'/lookup/x', body=BODY)
    world.sent[0].reject()
    assert world.sent[1].request.endswith(BODY)
    world.sent[1].answer()
    assert held_bytes(world) == 0


def test_a_body_is_given_back_at_the_time_out(world):
    caller = world.send_request(b'/submit/x', body=BODY)
    world.clock.advance(2000)
    assert caller.status == 504
    assert held_bytes(world) == 0


def test_a_body_is_given_back_when_the_process_ends(world):
    caller = world.send_request(b'/submit/x', body=BODY)
    caller.connection.active_request.give_up()
    assert held_bytes(world) == 0


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [(b'/submit/x', b'k9', 401), (b'/none/x', b'k1', 404)],
)
def test_what_the_head_decides_is_answered_before_the_body(
    world, path, key, status
):
    caller = begin(world, path, key)
    assert caller.status == status
    assert held_bytes(world) == 0


def test_a_body_that_is_stated_too_long_is_refused_by_its_head(world):
    caller = begin(world, body=b'x' * 5_000_000, missing=4_999_999)
    assert caller.status == 413
    assert held_bytes(world) == 0


def test_bodies_without_room_are_refused_as_not_run(world):
    callers = [begin(world) for _ in range(12)]
    refused = [caller for caller in callers if caller.status]
    assert {caller.status for caller in refused} == {503}
    assert all(float(caller.header(b'Retry-After')) > 0 for caller in refused)
    assert 0 < len(refused) < len(callers)
    assert world.send_request(b'/submit/x', body=b'small').status is None
    assert len(world.sent) == 1


def test_a_stalled_upload_yields_to_another(world):
    callers = [begin(world) for _ in range(12)]
    open_callers = [caller for caller in callers if not caller.status]
    world.clock.advance(STALL_MS)
    late = begin(world)
    assert late.status is None
    assert sum(caller.status == 503 for caller in open_callers) == 1


def test_an_upload_that_its_caller_closes_is_given_back(world):
    begin(world).disconnect()
    assert held_bytes(world) == 0


def test_chunks_are_counted_as_they_come(world):
    caller = world.caller()
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Cicadahoist-Attempt-Id: u1\r\nAuthorization: Token k1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    caller.write(b'186A0\r\n' + b'x' * 100_000 + b'\r\n')
    assert held_bytes(world) == 100_000
    caller.write(b'0\r\n\r\n')
    world.sent[0].answer()
    assert held_bytes(world) == 0


def test_an_answer_that_is_collected_is_held(world):
    caller = world.send_request(b'/submit/x')
    sent = world.sent[0]
    sent.write(
        b'HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n'
        b'X-Cicadahoist-Attempt-Id: ' + sent.attempt_id + b'\r\n'
        b'X-Cicadahoist-Server-Seal: seal-of-target\r\n\r\n' + BODY[:-1]
    )
    assert held_bytes(world) == len(BODY) - 1
    sent.write(b'x')
    assert caller.body == BODY
    caller.connection.sweep(world.clock.now_ms())
    assert held_bytes(world) == 0


def test_an_answer_without_room_fails_and_its_target_is_not_blamed(world):
    held = world.context.memory.open()
    held.try_grow(100_000_000)
    caller = world.send_request(b'/submit/x')
    world.sent[0].answer(body=BODY)
    assert caller.status == 502
    assert world.send_request(b'/submit/x').status is None
