"""
Tests of how a request goes on when one of its two open attempts ends.

They guard against a second run of a request that may run once, against KV
caches that are lost between two prefills, and against requests that no attempt
continues.
"""

import pytest

from cicadahoist.metrics import SILENT_KEPT
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.requests import RepeatRule
from cicadahoist.serving.plain_flow import PLAIN_SILENCE_MS
from tests.test_serving.test_takeover import (
    HANDLE_BODY,
    ONCE,
    SILENCE_MS,
    STEP_MS,
    advance_in_steps,
    begin_ask,
    make_world,
    send_check,
)
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    prompt_headers,
    route,
    target,
)


def send_check_with_run():
    world, caller = send_check(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
    )
    assert len(world.sent) == 2
    return world, caller


# Guards against a second run of a request that may run once.
@pytest.mark.parametrize('way', ['reset', 'failure'])
def test_a_late_prefill_does_not_repeat_a_run_that_failed(way):
    world, caller = send_check_with_run()
    prefill, run = world.sent
    if way == 'reset':
        run.reset()
    else:
        run.answer(500, b'failed')
    if not prefill.is_closed:
        prefill.answer(body=HANDLE_BODY)
    advance_in_steps(world, 500)
    assert len(world.sent) == 2
    assert caller.status in {500, 502}
    assert prefill.is_closed


# Guards against a second run after a run was stopped for its prefill.
def test_a_prefill_engine_that_wakes_up_does_not_repeat_a_run():
    world = make_world(target('p1', 'llm', 'prefill'), routes=[ONCE])
    world.add(target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode'))
    for _ in range(2):
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    prefills = [sent for sent in world.sent if sent.target == 'p1']
    assert len(prefills) == 2
    advance_in_steps(world, SILENCE_MS + 50)
    attempt_id = prefills[0].attempt_id
    prefills[1].answer(body=HANDLE_BODY)
    advance_in_steps(world, 300)
    if not prefills[0].is_closed:
        prefills[0].answer(body=HANDLE_BODY)
    advance_in_steps(world, 100)
    runs = [
        sent
        for sent in world.sent
        if sent.attempt_id == attempt_id and sent.target != 'p1'
    ]
    assert len(runs) == 1


# Guards against a KV cache that is lost when the other prefill is stopped.
@pytest.mark.parametrize('first', [0, 1])
def test_the_run_uses_the_kv_cache_of_the_first_of_two_prefills(first):
    world, _ = send_check(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('p2', 'llm', 'prefill', version='v2'),
        target('d2', 'llm', 'decode', version='v2'),
    )
    assert world.sent[1].target == 'p2'
    world.sent[first].answer(body=HANDLE_BODY)
    assert len(world.sent) == 3
    run = world.sent[2]
    assert run.target == ('d1', 'd2')[first]
    assert b'h7' in run.request


# Guards against a request that is left to an attempt that was stopped.
def test_a_stream_goes_on_when_its_engine_ends_while_another_one_connects():
    world = make_world(
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
        target('d3', 'llm', 'decode'),
        routes=[
            route(
                'ask',
                '/ask/',
                'llm',
                repeat=RepeatRule.resumable,
                is_streamed=True,
                uses_engines=True,
                max_sends=4,
                timeout_ms=15_000,
            )
        ],
    )
    world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    first = world.sent[0]
    first.begin_stream()
    first.send_events(1)
    opens = {name: [] for name in ('d1', 'd2', 'd3') if name != first.target}
    world.connections.pending_opens_by_target.update(opens)
    advance_in_steps(world, SILENCE_MS)
    assert len(world.sent) == 2
    first.send_events(2)
    first.reset()
    for pending in opens.values():
        for finish in list(pending):
            finish()
    world.connections.pending_opens_by_target.clear()
    advance_in_steps(world, 500)
    running = [
        sent for sent in world.sent if sent.request and not sent.is_closed
    ]
    assert any(sent.header(b'Last-Event-Id') == b'2' for sent in running)


# Guards against an answer that is cut off by a refusal of the other engine.
def test_the_stream_stays_when_the_other_engine_answers_with_an_error():
    world = make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )
    caller = begin_ask(world)
    world.sent[1].answer(400, b'bad')
    assert not world.sent[0].is_closed
    world.sent[0].send_events(3)
    world.sent[0].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')


# Guards against an open attempt that is forgotten beside a stopped one.
def test_an_engine_that_is_chosen_again_stays_an_open_attempt():
    world = make_world(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        routes=[ONCE],
    )
    opens = world.connections.pending_opens_by_target
    opens['d1'] = []
    caller = world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    advance_in_steps(world, SILENCE_MS)
    assert [sent.target for sent in world.sent] == ['p1', 'd1']
    stopped_open = opens.pop('d1')[0]
    world.sent[0].answer(body=HANDLE_BODY)
    assert [sent.target for sent in world.sent] == ['p1', 'd1', 'd1']
    stopped_open()
    advance_in_steps(world, 2000)
    assert caller.status == 504
    assert world.sent[2].is_closed


# Guards against the bytes of two runs in one answer that is no stream.
def test_a_begun_answer_that_cannot_be_resumed_has_one_run():
    world = make_world(
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
        routes=[
            route(
                'ask',
                '/ask/',
                'llm',
                repeat=RepeatRule.repeatable,
                uses_engines=True,
                max_sends=3,
                timeout_ms=15_000,
            )
        ],
    )
    begin_ask(world)
    assert len(world.sent) == 1
    assert world.count(SILENT_KEPT) == 1


# Guards against an answer that is cut off as the engine that was to take over
# has left meanwhile.
def test_the_stream_stays_when_the_other_engine_leaves_during_its_prefill():
    world = make_world(target('d1', 'llm', 'decode'))
    caller = world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    first = world.sent[0]
    first.begin_stream()
    first.send_events(1)
    world.add(target('p2', 'llm', 'prefill'), target('d2', 'llm', 'decode'))
    advance_in_steps(world, 2 * SILENCE_MS)
    assert [sent.target for sent in world.sent] == ['d1', 'p2']
    world.context.fleet.directory.remove('d2')
    world.sent[1].answer(body=HANDLE_BODY)
    assert not first.is_closed
    first.send_events(2)
    first.end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    assert [handle.name for handle in world.freed_handles] == ['h7']


# Guards against an answer that is given up as a second send would be too late.
def test_a_lookup_waits_where_a_second_send_would_come_too_late():
    world = make_world(target('t1'), target('t2'))
    link = LinkQueue(bytes_per_ms=10)
    world.context.link = link
    caller = world.send_request(b'/lookup/x', patience=PLAIN_SILENCE_MS + 65)
    advance_in_steps(world, PLAIN_SILENCE_MS - STEP_MS)
    link.record_sent(1000, world.clock.now_ms())
    advance_in_steps(world, 2 * STEP_MS)
    assert not caller.received
    world.sent[0].answer(body=b'found')
    assert caller.body == b'found'
