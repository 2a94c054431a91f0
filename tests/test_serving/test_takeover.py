"""
Tests of a second target beside a silent one.

They guard against pieces that reach a caller twice or not at all while two
targets are at work on its answer, against two runs of a request that may run
once, and against attempts that stay open after the request has ended.
"""

import random

import pytest

from cicadahoist.metrics import SILENT_KEPT
from cicadahoist.policy.retry_share import RetryTerms
from cicadahoist.requests import RepeatRule
from cicadahoist.serving.plain_flow import PLAIN_SILENCE_MS
from cicadahoist.serving.takeover import REVIEW_PERIOD_MS
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    deployment,
    prompt_headers,
    route,
    target,
)

STEP_MS = 10
SILENCE_MS = 450
HANDLE_BODY = b'{"kv-handle": "h7", "tokens": 9000, "version": 1}'
EVENT_COUNT = 12
TIMEOUT_MS = 15_000


def advance_in_steps(world, span_ms):
    for _ in range(span_ms // STEP_MS):
        world.clock.advance(STEP_MS)


def make_world(*listings, routes=None):
    world = World()
    world.add(*listings)
    if routes is not None:
        world.context.apply_deployment(deployment(version=2, routes=routes))
    return world


@pytest.fixture
def world():
    return make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )


def begin_ask(world):
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.sent[0].begin_stream()
    world.sent[0].send_events(1, 2)
    advance_in_steps(world, SILENCE_MS)
    return caller


def count_open(world):
    return sum(not sent.is_closed for sent in world.sent)


def test_the_silent_engine_may_still_go_on_first(world):
    caller = begin_ask(world)
    assert len(world.sent) == 2
    world.sent[0].send_events(3)
    assert world.sent[1].is_closed
    world.sent[0].end_stream()
    assert caller.body.count(b'data: t') == 3
    assert caller.body.endswith(b'0\r\n\r\n')


def test_events_of_both_engines_reach_the_caller_once(world):
    caller = begin_ask(world)
    world.sent[1].begin_stream()
    world.sent[1].send_events(3, 4)
    assert world.sent[0].is_closed
    world.sent[1].send_events(5)
    world.sent[1].end_stream()
    for number in range(1, 6):
        assert caller.body.count(b'data: t%d\n' % number) == 1


def test_the_silent_engine_is_kept_until_the_other_brings_an_event(world):
    begin_ask(world)
    advance_in_steps(world, 2000)
    assert [sent.is_closed for sent in world.sent] == [False, False]
    world.sent[1].begin_stream()
    assert not world.sent[0].is_closed
    world.sent[1].send_events(3)
    assert world.sent[0].is_closed


def test_the_other_engine_stops_when_the_silent_one_answers_others():
    world = make_world(target('d1', 'llm', 'decode'))
    for _ in range(2):
        world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    world.add(target('d2', 'llm', 'decode'))
    advance_in_steps(world, SILENCE_MS)
    first, other, *second = world.sent
    assert {sent.target for sent in second} == {'d2'}
    other.begin_stream()
    advance_in_steps(world, REVIEW_PERIOD_MS)
    assert all(sent.is_closed for sent in second)
    assert not first.is_closed


def test_the_stream_stays_when_the_other_engine_breaks_off(world):
    caller = begin_ask(world)
    world.sent[1].reset()
    advance_in_steps(world, 2 * REVIEW_PERIOD_MS)
    assert not world.sent[0].is_closed
    world.sent[0].send_events(3)
    world.sent[0].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')


def test_the_other_engine_goes_on_when_the_silent_one_breaks_off(world):
    caller = begin_ask(world)
    world.sent[0].reset()
    assert len(world.sent) == 2
    world.sent[1].begin_stream()
    world.sent[1].send_events(3)
    world.sent[1].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')


def test_both_engines_stop_when_the_caller_leaves(world):
    caller = begin_ask(world)
    caller.disconnect()
    assert count_open(world) == 0


def test_both_engines_stop_at_the_deadline():
    world = make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )
    world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=SILENCE_MS)
    advance_in_steps(world, SILENCE_MS)
    assert len(world.sent) == 2
    assert count_open(world) == 0


def test_no_second_engine_without_a_retry(world):
    world.context.retries.update_terms(RetryTerms(0, 0, 10_000))
    begin_ask(world)
    assert len(world.sent) == 1
    assert world.count(SILENT_KEPT) == 1


def test_no_second_engine_beyond_the_limit_of_the_route():
    world = make_world(
        *(target(f'd{number}', 'llm', 'decode') for number in range(4))
    )
    begin_ask(world)
    world.sent[1].reject()
    advance_in_steps(world, 2000)
    assert len(world.sent) == 2


def test_a_lookup_gets_the_first_of_two_answers():
    world = make_world(target('t1'), target('t2'))
    caller = world.send_request(b'/lookup/x')
    advance_in_steps(world, PLAIN_SILENCE_MS + STEP_MS)
    world.sent[0].answer(body=b'first')
    assert world.sent[1].is_closed
    assert caller.body == b'first'


def test_a_lookup_ignores_a_failure_while_another_target_is_at_work():
    world = make_world(target('t1'), target('t2'))
    caller = world.send_request(b'/lookup/x')
    advance_in_steps(world, PLAIN_SILENCE_MS + STEP_MS)
    world.sent[1].answer(500, b'failed')
    assert not caller.received
    world.sent[0].answer(body=b'found')
    assert caller.body == b'found'


ONCE = route(
    'check',
    '/check/',
    'llm',
    repeat=RepeatRule.once,
    is_streamed=True,
    uses_engines=True,
    max_sends=3,
)


def send_check(*listings):
    world = make_world(*listings, routes=[ONCE])
    caller = world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    assert world.sent[0].target == 'p1'
    advance_in_steps(world, SILENCE_MS)
    return world, caller


def test_the_first_of_two_prefills_is_used():
    world, _ = send_check(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('p2', 'llm', 'prefill', version='v2'),
        target('d2', 'llm', 'decode', version='v2'),
    )
    second = world.sent[1]
    second.answer(body=HANDLE_BODY)
    assert world.sent[0].is_closed
    assert len(world.sent) == 3


def test_a_late_prefill_does_not_start_a_second_run():
    world, caller = send_check(
        target('p1', 'llm', 'prefill'), target('d1', 'llm', 'decode')
    )
    run = world.sent[1]
    assert run.target == 'd1'
    world.sent[0].answer(body=HANDLE_BODY)
    assert len(world.sent) == 2
    assert [handle.name for handle in world.freed_handles] == ['h7']
    run.begin_stream()
    run.send_events(1)
    run.end_stream()
    assert caller.status == 200


class RandomTargets:
    """Lets the engines of one stream act at random, soundly unless broken."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = make_world(
            *(target(f'd{number}', 'llm', 'decode') for number in range(3)),
            routes=[
                route(
                    'ask',
                    '/ask/',
                    'llm',
                    repeat=RepeatRule.resumable,
                    is_streamed=True,
                    uses_engines=True,
                    max_sends=3,
                    timeout_ms=TIMEOUT_MS,
                )
            ],
        )
        self.next_by_attempt = {}
        self.broken_count = 0
        self.open_ms = 0

    def run(self):
        caller = self.world.send_request(
            b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
        )
        for _ in range(2000):
            self.world.clock.advance(STEP_MS)
            for number, sent in enumerate(list(self.world.sent)):
                if not sent.is_closed and sent.request:
                    self.act(number, sent)
            assert self.count_at_work() <= 2
            if not caller.is_closed:
                self.open_ms = self.world.clock.now_ms()
        return caller

    def count_at_work(self):
        return sum(
            not sent.is_closed and self.next_by_attempt.get(number) != 'ended'
            for number, sent in enumerate(self.world.sent)
        )

    def act(self, number, sent):
        draw = self.rng.random()
        next_event = self.next_by_attempt.get(number)
        if draw > 0.02 or next_event == 'ended':
            return
        if next_event is None:
            self.begin(number, sent)
        elif draw < 0.001:
            self.broken_count += 1
            self.next_by_attempt[number] = 'ended'
            sent.reset()
        elif next_event <= EVENT_COUNT:
            self.next_by_attempt[number] = next_event + 1
            sent.send_events(next_event)
        else:
            self.next_by_attempt[number] = 'ended'
            sent.end_stream()

    def begin(self, number, sent):
        if number and self.rng.random() < 0.3:
            self.next_by_attempt[number] = 'ended'
            sent.reject()
            return
        last_event = sent.header(b'Last-Event-Id')
        self.next_by_attempt[number] = int(last_event or 0) + 1
        sent.begin_stream()


@pytest.mark.parametrize('seed', range(60))
def test_callers_get_each_event_once_whatever_the_engines_do(seed):
    targets = RandomTargets(seed)
    caller = targets.run()
    counts = [
        caller.body.count(b'data: t%d\n' % number)
        for number in range(1, EVENT_COUNT + 1)
    ]
    delivered_count = sum(counts)
    missing_count = EVENT_COUNT - delivered_count
    assert counts == [1] * delivered_count + [0] * missing_count
    assert targets.count_at_work() == 0
    is_whole = caller.body.endswith(b'0\r\n\r\n')
    assert not is_whole or not missing_count
    # Only a broken engine or the deadline ends an answer early.
    was_late = targets.open_ms >= TIMEOUT_MS - 2 * STEP_MS
    assert is_whole or targets.broken_count or was_late
