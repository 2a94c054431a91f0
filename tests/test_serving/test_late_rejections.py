"""
Tests of rejections of other requests that arrive ahead of an answer.

They guard against a caller that is told that its request has not run while a
target runs it (REFUSED), and against a second run of it (TWICE).
"""

import pytest

from cicadahoist.policy.paths.target_path import PathFailure
from cicadahoist.requests import AnswerMeaning
from tests.test_platform.test_dialect import SIGNED, classify
from tests.test_serving.world import (
    HANDLE_BODY,
    SHORT_PROMPT_HEADERS,
    TARGETS,
    World,
    prompt_headers,
)

REJECTIONS = (400, 408, 421, 429, 500, 503)


@pytest.fixture
def world():
    world = World()
    world.add(*TARGETS)
    return world


def build_copy(status, attempt=b'other', *, is_marked=True):
    """Return the rejection of an attempt; no attempt is named if it is None."""
    lines = [b'HTTP/1.1 %d X' % status, b'Content-Length: 4']
    if attempt is not None:
        lines.append(b'X-Cicadahoist-Attempt-Id: ' + attempt)
    if is_marked:
        lines.append(b'X-Cicadahoist-Not-Executed: 1')
    lines.append(b'Retry-After: 0.7')
    return b'\r\n'.join(lines) + b'\r\n\r\nfull'


def reuse_connection(world, path=b'/submit/x', *headers, **fields):
    """Let a request end, and send another one on its connection."""
    world.context.fleet.directory.remove('t2')
    world.send_request(path, *headers, **fields)
    world.sent[0].answer()
    caller = world.send_request(path, *headers, **fields)
    again = world.sent[-1]
    assert again.connection.is_reused
    return caller, again


# Guards against a rejection of another request that counts for this one.
@pytest.mark.parametrize('status', REJECTIONS)
@pytest.mark.parametrize('path', [b'/submit/x', b'/lookup/x', b'/open/x'])
@pytest.mark.parametrize('copy_count', [1, 2])
def test_a_late_rejection_does_not_end_a_request(
    world, path, status, copy_count
):
    caller = world.send_request(path)
    sent = world.sent[0]
    sent.write(build_copy(status) * copy_count)
    assert caller.status is None
    assert len(world.sent) == 1
    sent.answer(body=b'done')
    assert (caller.status, caller.body) == (200, b'done')


# Guards against the same for the status by which a target moves away.
def test_a_late_421_without_a_mark_does_not_end_a_request(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].write(build_copy(421, is_marked=False))
    assert caller.status is None
    world.sent[0].answer(body=b'done')
    assert caller.status == 200


# Guards against the same at engines: a prefill, then its run.
@pytest.mark.parametrize('status', REJECTIONS)
def test_a_late_rejection_does_not_end_a_stream(world, status):
    caller = world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    prefill = world.sent[0]
    prefill.write(build_copy(status))
    prefill.answer(body=HANDLE_BODY)
    run = world.sent[1]
    assert run.header(b'X-Cicadahoist-Kv-Source')
    run.write(build_copy(status))
    assert caller.status is None
    run.begin_stream()
    run.send_events(1)
    run.end_stream()
    assert caller.status == 200
    assert len(world.sent) == 2


# Guards against a pause of a target that asked another caller for it.
def test_a_late_rejection_pauses_no_target(world):
    world.send_request(b'/submit/x')
    world.sent[0].write(build_copy(503))
    plain_targets = world.context.fleet.plain_targets
    now_ms = world.clock.now_ms()
    assert plain_targets.compute_pause_ms('app', now_ms) is None


# Guards against an answer that names no request and may be a late copy.
@pytest.mark.parametrize('status', REJECTIONS)
def test_an_answer_that_names_no_request_is_no_promise(world, status):
    caller, again = reuse_connection(world)
    again.write(build_copy(status, None))
    assert caller.status == 502
    assert again.is_closed


# Guards against an answer of another request that is passed on as this one's.
def test_a_success_that_names_no_request_is_not_passed_on(world):
    caller, again = reuse_connection(world)
    again.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
        b'X-Cicadahoist-Server-Seal: s\r\n\r\nold'
    )
    assert caller.status == 502
    assert b'old' not in caller.received


# Guards against a loss of what a target says on a connection of its own.
def test_a_rejection_without_a_name_counts_on_a_new_connection(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].write(build_copy(503, None))
    assert caller.status == 503


# Guards against a copy that names this request: its target has had it before,
# on a path that is down by now.
def test_a_second_attempt_at_a_target_has_a_connection_of_its_own(world):
    reuse_connection(world, b'/lookup/x')
    first = world.sent[-1]
    path = world.context.fleet.paths.get('t1')
    path.failure, path.is_relayable = PathFailure.refused, True
    first.reject()
    second = world.sent[-1]
    assert second is not first
    assert second.attempt_id == first.attempt_id
    assert not second.connection.is_reused


@pytest.mark.parametrize('status', REJECTIONS)
@pytest.mark.parametrize('is_signed', [True, False])
def test_the_attempt_is_compared_before_anything_else(status, is_signed):
    headers = [
        (b'x-cicadahoist-not-executed', b'1'),
        (b'x-cicadahoist-attempt-id', b'a0'),
        *([SIGNED] if is_signed else []),
    ]
    assert classify(status, *headers) is AnswerMeaning.foreign


# Guards against the id of an earlier stream that is taken up.
def test_a_late_rejection_of_the_resumed_attempt_is_skipped(world):
    caller = world.send_request(
        b'/ask/x',
        *SHORT_PROMPT_HEADERS,
        b'Last-Event-Id: 3',
        patience=15_000,
    )
    sent = world.sent[0]
    sent.write(build_copy(503))
    sent.begin_stream()
    sent.send_events(4)
    sent.end_stream()
    assert caller.status == 200
