"""
Tests of requests to plain services.

They guard against a submission that runs twice because its answer was lost,
answers that are truncated, unsigned or meant for another request, and retries
beyond the shared budget.
"""

import pytest

from tests.test_serving.world import World, target


@pytest.fixture
def world():
    world = World()
    world.add(target('t1'), target('t2'))
    return world


def test_answers_are_passed_on_with_their_signature(world):
    caller = world.send_request(b'/submit/x', body=b'return')
    sent = world.sent[0]
    assert sent.request.startswith(b'POST /submit/x HTTP/1.1')
    assert sent.request.endswith(b'return')
    assert sent.header(b'X-Cicadahoist-Tenant') == b'w1'
    sent.answer(body=b'filed')
    assert (caller.status, caller.body) == (200, b'filed')
    assert caller.header(b'X-Cicadahoist-Server-Seal') == b'seal-of-target'


def test_a_submission_whose_answer_is_lost_is_not_sent_again(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].reset()
    assert len(world.sent) == 1
    assert caller.status == 502
    assert caller.header(b'Retry-After') is None


def test_a_submission_that_a_full_target_rejects_is_refused_as_not_run(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].reject()
    assert len(world.sent) == 1
    assert caller.status == 503
    assert 0 < float(caller.header(b'Retry-After')) <= 2 / 3


def test_a_submission_goes_to_another_target_while_no_byte_was_sent(world):
    world.connections.refusing_targets = {'t1'}
    callers = [world.send_request(b'/submit/x') for _ in range(4)]
    assert {sent.target for sent in world.sent} == {'t2'}
    for sent in world.sent:
        sent.answer()
    assert [caller.status for caller in callers] == [200] * 4


def test_with_unreachable_targets_requests_are_refused_as_not_run(world):
    world.connections.refusing_targets = {'t1', 't2'}
    caller = world.send_request(b'/submit/x')
    assert caller.status == 503
    assert not world.sent


def test_a_lookup_is_repeated_at_another_target(world):
    caller = world.send_request(b'/lookup/x', method=b'GET')
    first = world.sent[0]
    first.reset()
    assert world.sent[1].target != first.target
    world.sent[1].answer(body=b'found')
    assert caller.body == b'found'


def test_a_failed_lookup_is_repeated_once_and_then_passed_on(world):
    caller = world.send_request(b'/lookup/x', method=b'GET')
    world.sent[0].answer(500, b'one')
    world.sent[1].answer(500, b'two')
    assert len(world.sent) == 2
    assert (caller.status, caller.body) == (500, b'two')
    assert caller.header(b'X-Cicadahoist-Server-Seal') == b'seal-of-target'


def test_repeats_stay_within_the_shared_budget(world):
    world.context.retries = type(world.context.retries)(
        world.context.retries._terms.__class__(0, 0, 10_000)
    )
    caller = world.send_request(b'/lookup/x', method=b'GET')
    world.sent[0].reset()
    assert len(world.sent) == 1
    assert caller.status == 502


def test_a_success_without_signature_never_reaches_a_caller(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].answer(200, b'forged', signed=False)
    assert caller.status == 502
    assert b'forged' not in caller.received


def test_the_late_answer_of_an_earlier_request_is_skipped(world):
    caller = world.send_request(b'/submit/x')
    sent = world.sent[0]
    late = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
        b'X-Cicadahoist-Attempt-Id: other\r\n'
        b'X-Cicadahoist-Server-Seal: s\r\n\r\nold'
    )
    sent.write(late)
    assert caller.status is None
    sent.answer(body=b'new')
    assert caller.body == b'new'
    assert sent.is_closed


def test_bytes_after_a_whole_answer_close_the_connection(world):
    caller = world.send_request(b'/submit/x')
    sent = world.sent[0]
    sent.answer(body=b'one')
    assert not sent.is_closed
    sent.write(b'HTTP/1.1 200 OK\r\n')
    assert sent.is_closed
    assert caller.body == b'one'


def test_an_answer_without_length_ends_with_its_connection(world):
    head = (
        b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Server-Seal: s\r\n'
        b'Connection: close\r\n\r\n'
    )
    caller = world.send_request(b'/submit/x')
    world.sent[0].write(head + b'all')
    world.sent[0].close()
    assert caller.body == b'all'
    cut = world.send_request(b'/submit/x')
    world.sent[1].write(head + b'some')
    world.sent[1].reset()
    assert cut.status == 502


def test_a_truncated_answer_is_not_passed_on(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n'
        b'X-Cicadahoist-Server-Seal: s\r\n\r\nshort'
    )
    world.sent[0].close()
    assert caller.status == 502


def test_not_run_holds_although_the_answer_breaks_off(world):
    caller = world.send_request(b'/submit/x')
    world.sent[0].write(
        b'HTTP/1.1 503 X\r\nContent-Length: 9\r\n'
        b'X-Cicadahoist-Not-Executed: 1\r\n\r\n'
    )
    world.sent[0].reset()
    assert caller.status == 503


def test_the_route_timeout_ends_a_request_and_its_work(world):
    caller = world.send_request(b'/submit/x', patience=9000)
    world.clock.advance(1999)
    assert caller.status is None
    world.clock.advance(1)
    assert caller.status == 504
    assert world.sent[0].is_closed


def test_a_request_that_no_target_has_got_is_refused_at_its_deadline(world):
    world.connections.pending_opens_by_target = {'t1': [], 't2': []}
    caller = world.send_request(b'/submit/x', patience=500)
    world.clock.advance(500)
    assert caller.status == 503


def test_targets_receive_the_remaining_time(world):
    world.send_request(b'/submit/x', patience=800)
    assert int(world.sent[0].header(b'X-Cicadahoist-Deadline-Ms')) <= 800


def test_a_submission_runs_on_when_its_caller_leaves(world):
    caller = world.send_request(b'/submit/x')
    caller.disconnect()
    assert not world.sent[0].is_closed
    world.sent[0].answer()


def test_a_lookup_ends_when_its_caller_leaves(world):
    caller = world.send_request(b'/lookup/x', method=b'GET')
    caller.disconnect()
    assert world.sent[0].is_closed
    assert len(world.sent) == 1


def test_runs_are_billed_once_also_when_their_answer_is_lost(world):
    world.send_request(b'/lookup/x', method=b'GET')
    world.sent[0].reset()
    world.sent[1].answer()
    world.send_request(b'/submit/x')
    world.sent[2].reset()
    world.send_request(b'/submit/x')
    world.sent[3].reject()
    counted = world.context.usage.snapshot().values()
    assert sum(counts['w1'] for counts in counted) == 2


def test_idle_connections_are_reused_while_the_target_keeps_them(world):
    world.context.fleet.directory.remove('t2')
    world.send_request(b'/submit/x')
    world.sent[0].answer(headers=[b'Keep-Alive: timeout=2'])
    world.clock.advance(1500)
    world.send_request(b'/submit/x')
    assert world.sent[1].transport is world.sent[0].transport
    world.sent[1].answer(headers=[b'Keep-Alive: timeout=2'])
    world.clock.advance(1700)
    world.send_request(b'/submit/x')
    assert world.sent[2].transport is not world.sent[0].transport


def test_a_target_that_is_not_where_it_is_listed_is_left_out():
    world = World()
    world.add(target('t1'), target('t2'))
    world.send_request(b'/submit/x')
    misplaced = world.sent[-1].target
    world.sent[-1].answer(421, b'', signed=False)
    for _ in range(6):
        world.send_request(b'/submit/x')
    assert misplaced not in {sent.target for sent in world.sent[1:]}


def test_a_misplaced_target_is_used_again_once_it_is_listed_anew():
    world = World()
    world.add(target('t1'))
    world.send_request(b'/submit/x')
    world.sent[-1].answer(421, b'', signed=False)
    assert world.send_request(b'/submit/x').status == 503
    world.add(target('t1', started_ms=7))
    world.send_request(b'/submit/x')
    assert len(world.sent) == 2


def test_a_misplaced_target_is_used_again_after_a_while():
    world = World()
    world.add(target('t1'))
    world.send_request(b'/submit/x')
    world.sent[-1].answer(421, b'', signed=False)
    world.clock.advance(4000)
    world.send_request(b'/submit/x')
    assert len(world.sent) == 2


def fail_twice(world, failing):
    """Send requests until a target that half of them go to has failed two."""
    failed_count = 0
    while failed_count < 2:
        world.send_request(b'/submit/x')
        sent = world.sent[-1]
        has_failed = sent.target == failing
        sent.answer(500 if has_failed else 200)
        failed_count += has_failed


def test_a_target_that_fails_requests_is_avoided(world):
    fail_twice(world, 't1')
    before = len(world.sent)
    for _ in range(6):
        world.send_request(b'/submit/x')
        world.sent[-1].answer()
    assert {sent.target for sent in world.sent[before:]} == {'t2'}


def test_a_failing_target_is_used_where_the_other_is_busy(world):
    fail_twice(world, 't1')
    before = len(world.sent)
    for _ in range(12):
        world.send_request(b'/submit/x')
    assert {sent.target for sent in world.sent[before:]} == {'t1', 't2'}
