"""
Tests of requests to engines, with prefill and decode at two engines.

They guard against runs that are repeated although a stream was begun, events
that callers miss or get twice after a target breaks off, KV caches that are
never freed and load that stays counted after a run has ended.
"""

import pytest
from loguru import logger

from cicadahoist.policy.retry_share import RetryTerms
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    prompt_headers,
    target,
)

HANDLE_BODY = b'{"kv-handle":"h7","tokens":9000,"version":1}'
# With one instance, of which two more may start: one retry, and not two.
ONE_RETRY_SLACK = 5.5


@pytest.fixture
def world():
    world = World()
    world.add(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
    )
    return world


def send_check(world, **fields):
    return world.send_request(
        b'/check/x', *prompt_headers(), patience=2000, **fields
    )


def send_ask(world, *headers):
    return world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, *headers, patience=15_000
    )


def send_stream(sent, *numbers):
    sent.begin_stream()
    sent.send_events(*numbers)


def test_a_long_prompt_is_prefilled_and_decoded_at_two_engines(world):
    caller = send_check(world)
    prefill = world.sent[0]
    assert prefill.target == 'p1'
    assert prefill.header(b'X-Cicadahoist-Serving-Stage') == b'prefill'
    prefill.answer(body=HANDLE_BODY)
    run = world.sent[1]
    assert run.header(b'X-Cicadahoist-Kv-Source') == b'10.0.0.1:80/h7'
    assert run.header(b'X-Cicadahoist-Serving-Stage') is None
    send_stream(run, 1, 2)
    run.end_stream()
    assert caller.status == 200
    assert b'id: 2\ndata: t2\n\n' in caller.body
    assert caller.body.endswith(b'0\r\n\r\n')


def test_the_answer_to_a_prefill_is_not_passed_on(world):
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    assert not caller.received


def test_a_short_prompt_is_sent_to_one_decode_engine(world):
    send_ask(world)
    assert world.sent[0].target in {'d1', 'd2'}
    assert world.sent[0].header(b'X-Cicadahoist-Request-Priority') == b'0'


def test_after_a_lost_prefill_a_decode_engine_gets_the_prompt(world):
    caller = send_check(world)
    world.sent[0].reset()
    run = world.sent[1]
    assert run.target in {'d1', 'd2'}
    assert run.header(b'X-Cicadahoist-Kv-Source') is None
    send_stream(run, 1)
    run.end_stream()
    assert caller.status == 200


def test_a_rejected_prefill_without_retries_is_refused_as_not_run(world):
    caller = send_check(world)
    world.sent[0].reject()
    assert len(world.sent) == 1
    assert caller.status == 503


def test_a_stream_that_may_not_repeat_is_cut_visibly(world):
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    send_stream(world.sent[1], 1)
    world.sent[1].reset()
    assert len(world.sent) == 2
    assert caller.transport.is_aborted
    assert not caller.body.endswith(b'0\r\n\r\n')


def test_a_run_that_breaks_off_before_its_first_event_is_not_repeated(world):
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    world.sent[1].reset()
    assert len(world.sent) == 2
    assert caller.status == 502


def test_a_resumable_stream_goes_on_behind_the_last_whole_event(world):
    caller = send_ask(world)
    first = world.sent[0]
    send_stream(first, 1, 2)
    first.send_bytes(b'id: 3\ndata: bro')
    first.reset()
    second = world.sent[1]
    assert second.target != first.target
    assert second.header(b'Last-Event-Id') == b'2'
    send_stream(second, 3, 4)
    second.end_stream()
    events = caller.body
    assert [events.count(b'id: %d\n' % n) for n in (1, 2, 3, 4)] == [1] * 4
    assert b'bro' not in events
    assert events.endswith(b'0\r\n\r\n')


def test_events_that_the_caller_has_received_are_not_sent_again(world):
    caller = send_ask(world, b'Last-Event-Id: 5')
    run = world.sent[0]
    assert run.header(b'Last-Event-Id') == b'5'
    send_stream(run, 5, 6)
    run.end_stream()
    assert caller.body.count(b'id: 5') == 0
    assert caller.body.count(b'id: 6') == 1


def test_whole_events_are_passed_on_without_delay(world):
    caller = send_ask(world)
    send_stream(world.sent[0], 1)
    assert b't1' in caller.body
    world.sent[0].send_bytes(b'id: 2\nda')
    assert b'id: 2' not in caller.body


def test_work_ends_when_the_caller_leaves(world):
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    send_stream(world.sent[1], 1)
    caller.disconnect()
    assert world.sent[1].is_closed
    engine = world.context.fleet.boards.get_board('llm').get(
        world.sent[1].target
    )
    assert (
        engine.own_load.run_count,
        engine.own_load.kv_tokens,
        engine.own_load.prefill_tokens,
    ) == (0, 0, 0)


def test_an_unused_kv_cache_is_freed(world):
    world.connections.refusing_targets = {'d1', 'd2'}
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    assert caller.status == 503
    assert [handle.name for handle in world.freed_handles] == ['h7']


def test_a_prefill_whose_caller_left_is_stopped_without_a_run(world):
    caller = send_check(world)
    caller.disconnect()
    assert world.sent[0].is_closed
    assert len(world.sent) == 1


def test_a_request_that_cannot_begin_in_time_is_refused_at_once(world):
    for name in ('p1', 'd1', 'd2'):
        engine = world.context.fleet.boards.get_board('llm').get(name)
        engine.own_load.prefill_tokens = 400_000
    caller = send_check(world)
    assert not world.sent
    assert caller.status == 503
    assert 0 < float(caller.header(b'Retry-After')) <= 2 / 3


def test_without_engines_requests_are_refused_as_not_run():
    world = World()
    caller = send_check(world)
    assert caller.status == 503


def test_a_leaving_engine_gets_no_request(world):
    world.context.fleet.directory.put(
        target('p1', 'llm', 'prefill', is_leaving=True)
    )
    send_check(world)
    assert world.sent[0].target in {'d1', 'd2'}


def test_the_route_timeout_ends_a_stream_before_its_first_event(world):
    caller = send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    world.clock.advance(2000)
    assert caller.status == 504
    assert world.sent[1].is_closed


def test_a_reading_that_outlasts_the_deadline_did_not_run(world):
    caller = send_check(world)
    world.clock.advance(2000)
    assert caller.status == 503
    assert world.sent[0].is_closed


def test_retry_after_covers_the_queue_of_a_refused_request(world):
    for name in ('p1', 'd1', 'd2'):
        engine = world.context.fleet.boards.get_board('llm').get(name)
        engine.own_load.prefill_tokens = 110_000
    caller = send_check(world)
    assert caller.status == 503
    assert 0.3 < float(caller.header(b'Retry-After')) < 0.6


def test_rejected_readings_stay_within_the_repeat_budget(world):
    world.context.retries.update_terms(RetryTerms(0.2, 10, 10_000))
    requests = 60
    for _ in range(requests):
        world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
        prefill = world.sent[-1]
        if prefill.header(b'X-Cicadahoist-Serving-Stage') == b'prefill':
            # 421: another engine has this address now.
            prefill.answer(421, b'', signed=False)
        world.clock.advance(10)
    extra = len(world.sent) - requests
    assert extra <= 0.2 * requests + 10


def test_the_only_engine_with_capacity_is_found_outside_the_sample():
    world = World()
    world.add(
        target('d1', 'llm', 'decode'),
        *(target(f'p{number}', 'llm', 'prefill') for number in range(20)),
    )
    board = world.context.fleet.boards.get_board('llm')
    for number in range(19):
        board.get(f'p{number}').own_load.prefill_tokens = 300_000
    send_check(world)
    assert world.sent[0].target == 'p19'


def test_the_log_names_the_parts_that_other_requests_share(world):
    """Without them, no log shows which part is common to crashes."""
    lines = []
    handler = logger.add(
        lambda message: lines.append(message.record['extra']), level='INFO'
    )
    send_check(world)
    world.sent[0].reject()
    logger.remove(handler)
    assert lines[-1]['parts'] == ['aa', 'bb']


def make_split_world(slack):
    """Return a world with two engines of each role and some retries."""
    world = World()
    world.add(
        target('p1', 'llm', 'prefill'),
        target('p2', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
    )
    world.context.retries.update_terms(RetryTerms(0, slack, 10_000))
    return world


def break_split_stream(world):
    """Begin a stream after a prefill, and let its engine break it off."""
    caller = world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    world.sent[0].answer(body=HANDLE_BODY)
    send_stream(world.sent[1], 1)
    world.sent[1].reset()
    return caller


def test_a_resumed_stream_with_one_retry_left_is_not_prefilled_apart():
    """The second prefill and the run after it both count as repeats."""
    world = make_split_world(slack=ONE_RETRY_SLACK)
    caller = break_split_stream(world)
    resumed = world.sent[2]
    assert resumed.target in {'d1', 'd2'}
    assert resumed.header(b'Last-Event-Id') == b'1'
    send_stream(resumed, 2)
    resumed.end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    assert len(world.sent) == 3


def test_a_resumed_stream_with_two_retries_left_is_prefilled_apart():
    world = make_split_world(slack=2 * ONE_RETRY_SLACK)
    caller = break_split_stream(world)
    world.sent[2].answer(body=HANDLE_BODY)
    assert world.sent[3].header(b'Last-Event-Id') == b'1'
    send_stream(world.sent[3], 2)
    world.sent[3].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    assert not world.context.retries.try_spend_retry(
        'llm', world.clock.now_ms()
    )
