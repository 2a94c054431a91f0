"""
Tests of targets that say in their answers that they leave or want a pause.

They guard against requests that reach a target which has said that it leaves,
also when an older entry of it arrives, against failures held against it, and
against requests within the pause that a target asked for.
"""

import pytest

from cicadahoist.metrics import TARGETS_LEAVING, TARGETS_PAUSED
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.reasons import Refusal
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    prompt_headers,
    target,
)

LEAVING = b'Server-Leaving: 1'
HANDLE_BODY = b'{"kv-handle":"h7","tokens":9000,"version":1}'


@pytest.fixture
def world():
    world = World()
    world.add(target('t1', started_ms=100), target('t2', started_ms=100))
    return world


def reject_with_pause(sent, seconds):
    sent.answer(
        503,
        b'',
        [b'X-Cicadahoist-Not-Executed: 1', b'Retry-After: ' + seconds],
        signed=False,
    )


def list_targets_of_next(world, count=8):
    """Return the targets that the next requests go to."""
    before = len(world.sent)
    for _ in range(count):
        world.send_request(b'/submit/x')
    return {sent.target for sent in world.sent[before:]}


@pytest.mark.parametrize('status', [200, 404, 500])
def test_a_target_that_says_it_leaves_gets_no_new_requests(world, status):
    caller = world.send_request(b'/submit/x')
    leaving = world.sent[0].target
    world.sent[0].answer(status, b'filed', [LEAVING])
    assert (caller.status, caller.body) == (status, b'filed')
    assert leaving not in list_targets_of_next(world)
    assert world.count(TARGETS_LEAVING) == 1


def test_the_head_of_an_answer_is_enough(world):
    world.send_request(b'/submit/x')
    sent = world.sent[0]
    sent.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n'
        b'X-Cicadahoist-Attempt-Id: ' + sent.attempt_id + b'\r\n'
        b'X-Cicadahoist-Server-Seal: s\r\nServer-Leaving: 1\r\n\r\n'
    )
    assert sent.target not in list_targets_of_next(world)


def test_what_runs_at_a_leaving_target_ends_in_peace(world):
    callers = [world.send_request(b'/submit/x') for _ in range(4)]
    leaving = world.sent[0].target
    world.sent[0].answer(200, b'first', [LEAVING])
    for sent in world.sent[1:4]:
        assert not sent.is_closed
        sent.answer(body=b'rest')
    assert [caller.status for caller in callers] == [200] * 4
    health = world.context.fleet.plain_targets.get_health(leaving)
    assert health.compute_usable_share(world.clock.now_ms()) == 1


def test_an_older_entry_does_not_bring_a_leaving_target_back(world):
    world.send_request(b'/submit/x')
    leaving = world.sent[0].target
    world.sent[0].answer(200, b'', [LEAVING])
    world.context.fleet.directory.remove(leaving)
    world.add(target(leaving, started_ms=100))
    assert leaving not in list_targets_of_next(world)


def test_a_later_process_of_a_target_is_used_again(world):
    world.send_request(b'/submit/x')
    leaving = world.sent[0].target
    world.sent[0].answer(200, b'', [LEAVING])
    world.add(target(leaving, started_ms=200))
    assert leaving in list_targets_of_next(world)


def test_a_word_of_a_former_process_does_not_bind_the_present_one(world):
    world.send_request(b'/submit/x')
    former = world.sent[0]
    world.add(target(former.target, started_ms=200))
    former.answer(200, b'', [LEAVING])
    assert former.target in list_targets_of_next(world)


def test_another_target_at_the_address_does_not_speak_for_the_listed_one(
    world,
):
    world.send_request(b'/submit/x')
    world.sent[0].answer(
        421, b'', [LEAVING, b'X-Cicadahoist-Not-Executed: 1'], signed=False
    )
    assert not world.count(TARGETS_LEAVING)


@pytest.mark.parametrize('text', [b'0', b'', b'yes', b'11'])
def test_other_values_of_the_header_mean_nothing(world, text):
    world.send_request(b'/submit/x')
    world.sent[0].answer(200, b'', [b'Server-Leaving: ' + text])
    assert list_targets_of_next(world) == {'t1', 't2'}


def test_a_target_that_says_so_for_a_minute_is_counted_once(world):
    callers = [world.send_request(b'/submit/x') for _ in range(6)]
    open_requests = [sent for sent in world.sent if sent.target == 't1']
    for sent in open_requests:
        world.clock.advance(1000)
        sent.answer(200, b'', [LEAVING])
    assert len(callers) == 6
    assert world.count(TARGETS_LEAVING) == 1


def test_a_departure_is_told_to_peers_for_a_while(world):
    notices = world.context.fleet.notices
    world.send_request(b'/submit/x')
    world.sent[0].answer(200, b'', [LEAVING])
    expected = (TargetLife(world.sent[0].target, 100),)
    assert notices.list_departures() == expected
    world.clock.advance(3001)
    assert notices.list_departures() == ()


def test_a_departure_that_a_peer_heard_is_applied_and_not_passed_on(world):
    notices = world.context.fleet.notices
    notices.apply_peer_departures([TargetLife('t1', 100)])
    assert list_targets_of_next(world) == {'t2'}
    assert notices.list_departures() == ()


def test_a_departure_of_an_unlisted_target_holds_for_its_later_entry(world):
    world.context.fleet.notices.apply_peer_departures([TargetLife('t3', 100)])
    world.add(target('t3', started_ms=100))
    assert list_targets_of_next(world) == {'t1', 't2'}


def test_an_engine_that_leaves_is_left_for_prefill_and_streams():
    world = World()
    world.add(
        target('p1', 'llm', 'prefill', started_ms=1),
        target('p2', 'llm', 'prefill', started_ms=1),
        target('d1', 'llm', 'decode', started_ms=1),
    )
    world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    leaving = world.sent[0].target
    world.sent[0].answer(body=HANDLE_BODY, headers=[LEAVING])
    # The handle of the leaving engine is still used.
    assert world.sent[1].target == 'd1'
    for _ in range(4):
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    assert leaving not in {sent.target for sent in world.sent[2:]}


def test_a_target_is_left_alone_for_the_pause_that_it_asked_for(world):
    world.send_request(b'/submit/x')
    paused = world.sent[0].target
    reject_with_pause(world.sent[0], b'1.5')
    assert world.count(TARGETS_PAUSED) == 1
    world.clock.advance(1400)
    assert paused not in list_targets_of_next(world)
    world.clock.advance(200)
    assert paused in list_targets_of_next(world)


def test_a_paused_target_is_not_ejected(world):
    world.send_request(b'/submit/x')
    reject_with_pause(world.sent[0], b'1')
    health = world.context.fleet.plain_targets.get_health(world.sent[0].target)
    assert health.compute_usable_share(world.clock.now_ms()) == 1


def test_callers_hear_at_once_when_all_targets_pause(world):
    for seconds in (b'4', b'1'):
        world.send_request(b'/submit/x')
        reject_with_pause(world.sent[-1], seconds)
    sent_count = len(world.sent)
    world.clock.advance(500)
    caller = world.send_request(b'/submit/x', patience=9000)
    assert len(world.sent) == sent_count
    assert caller.status == 503
    assert float(caller.header(b'Retry-After')) == pytest.approx(0.5)


def test_callers_hear_at_once_when_all_engines_pause():
    world = World()
    world.add(target('d1', 'llm', 'decode', started_ms=1))
    world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    reject_with_pause(world.sent[0], b'3')
    world.clock.advance(1000)
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    assert len(world.sent) == 1
    assert caller.status == 503
    assert float(caller.header(b'Retry-After')) == pytest.approx(2)
    assert Refusal.targets_paused.status == 503


@pytest.mark.parametrize(
    'text',
    [b'-1', b'Fri, 04 Dec 2026 16:00:00 GMT', b'nan', b'1e9', b'soon', b''],
)
def test_a_pause_that_is_no_number_is_ignored(world, text):
    world.send_request(b'/submit/x')
    reject_with_pause(world.sent[0], text)
    assert list_targets_of_next(world) == {'t1', 't2'}


def test_retry_after_of_another_status_is_no_pause(world):
    world.send_request(b'/submit/x')
    world.sent[0].answer(429, b'', [b'Retry-After: 5'])
    assert not world.count(TARGETS_PAUSED)


def test_prompts_in_prefill_do_not_go_to_an_engine_that_pauses_meanwhile():
    world = World()
    world.add(
        target('p1', 'llm', 'prefill', started_ms=1),
        target('d1', 'llm', 'decode', started_ms=1),
    )
    callers = [
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
        for _ in range(4)
    ]
    prefills = list(world.sent)
    prefills[0].answer(body=HANDLE_BODY)
    world.add(target('d2', 'llm', 'decode', started_ms=1))
    reject_with_pause(world.sent[-1], b'5')
    world.clock.advance(600)
    before = len(world.sent)
    for prefill in prefills[1:]:
        prefill.answer(body=HANDLE_BODY)
    assert len(callers) == 4
    assert {sent.target for sent in world.sent[before:]} == {'d2'}
