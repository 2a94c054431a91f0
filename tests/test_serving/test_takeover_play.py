"""
Random plays of a request at engines that fall silent, fail and leave.

They guard against events that are lost, doubled or mixed between versions, a
second run of a request that may run once, KV caches that are neither used nor
freed, and requests, attempts or loads that are left over.
"""

import random
import re

import pytest

from cicadahoist.requests import RepeatRule
from tests.test_serving.test_takeover import make_world
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    prompt_headers,
    route,
    target,
)

STEP_MS = 10
EVENT_COUNT = 6
TIMEOUT_MS = 4000
CALLER_COUNT = 3
ENGINES = [
    target('p1', 'llm', 'prefill', version='v1'),
    target('p2', 'llm', 'prefill', version='v2'),
    target('d1', 'llm', 'decode', version='v1'),
    target('d2', 'llm', 'decode', version='v2'),
    target('d3', 'llm', 'decode', version='v1'),
    target('d4', 'llm', 'decode', version='v2'),
]
VERSION_BY_TARGET = {engine.name: engine.version for engine in ENGINES}


class Play:
    """Plays some requests to engines that act at random."""

    def __init__(self, seed, repeat, max_sends):
        self.rng = random.Random(seed)
        self.world = make_world(
            *ENGINES,
            routes=[
                route(
                    'ask',
                    '/ask/',
                    'llm',
                    repeat=repeat,
                    is_streamed=True,
                    uses_engines=True,
                    max_sends=max_sends,
                    timeout_ms=TIMEOUT_MS,
                )
            ],
        )
        self.next_by_number = {}
        self.answered_handles = []
        self.callers = []
        self.silent_until_ms = {}
        self.run_attempt_ids = []

    def run(self):
        for _ in range(CALLER_COUNT):
            is_short = self.rng.random() < 0.4
            headers = SHORT_PROMPT_HEADERS if is_short else prompt_headers()
            self.callers.append(
                self.world.send_request(
                    b'/ask/x', *headers, patience=TIMEOUT_MS
                )
            )
        for _ in range((TIMEOUT_MS + 2000) // STEP_MS):
            self.world.clock.advance(STEP_MS)
            self.disturb()
            for number, sent in enumerate(list(self.world.sent)):
                is_silent = self.is_silent(sent.target)
                if not sent.is_closed and sent.request and not is_silent:
                    self.act(number, sent)
        self.finish_opens()
        self.world.clock.advance(STEP_MS)

    def is_silent(self, name):
        now_ms = self.world.clock.now_ms()
        return now_ms < self.silent_until_ms.get(name, 0)

    def disturb(self):
        rng = self.rng
        name = rng.choice(ENGINES).name
        connections = self.world.connections
        draw = rng.random()
        if draw < 0.03:
            until_ms = self.world.clock.now_ms() + rng.randrange(500, 2500)
            self.silent_until_ms[name] = until_ms
        elif draw < 0.04:
            connections.refusing_targets ^= {name}
        elif draw < 0.05:
            connections.pending_opens_by_target.setdefault(name, [])
        elif draw < 0.08:
            self.finish_opens()
        elif draw < 0.083:
            self.world.context.fleet.directory.remove(name)
        elif draw < 0.09:
            self.world.add(next(e for e in ENGINES if e.name == name))
        elif draw < 0.11:
            self.disturb_caller(rng.choice(self.callers), draw)

    def disturb_caller(self, caller, draw):
        producer = caller.transport.producer
        if caller.is_closed:
            return
        if draw < 0.092:
            caller.disconnect()
        elif producer is not None:
            producer.pauseProducing()
            self.world.clock.call_later(
                self.rng.randrange(300, 900), producer.resumeProducing
            )

    def finish_opens(self):
        pending = self.world.connections.pending_opens_by_target
        opens = [finish for finishes in pending.values() for finish in finishes]
        pending.clear()
        for finish in opens:
            finish()

    def act(self, number, sent):
        draw = self.rng.random()
        next_event = self.next_by_number.get(number)
        if draw > 0.06 or next_event == 'ended':
            return
        if draw < 0.004:
            self.count_run(number, sent)
            self.next_by_number[number] = 'ended'
            sent.reset()
        elif sent.target.startswith('p'):
            self.answer_prefill(number, sent)
        elif next_event is None:
            self.begin(number, sent)
        elif next_event <= EVENT_COUNT:
            self.next_by_number[number] = next_event + 1
            version = VERSION_BY_TARGET[sent.target].encode()
            sent.send_bytes(
                b'id: %d\ndata: t%d.%s\n\n' % (next_event, next_event, version)
            )
        else:
            self.next_by_number[number] = 'ended'
            sent.end_stream()

    def count_run(self, number, sent):
        is_first = self.next_by_number.get(number) is None
        if is_first and sent.target.startswith('d'):
            self.run_attempt_ids.append(sent.attempt_id)

    def answer_prefill(self, number, sent):
        self.next_by_number[number] = 'ended'
        name = b'h-%d-' % number
        self.answered_handles.append(name)
        sent.answer(
            body=b'{"kv-handle": "%s", "tokens": 9000, "version": 1}' % name
        )

    def begin(self, number, sent):
        draw = self.rng.random()
        if draw < 0.2:
            self.next_by_number[number] = 'ended'
            sent.reject()
            return
        self.count_run(number, sent)
        if draw < 0.3:
            self.next_by_number[number] = 'ended'
            sent.answer(500 if draw < 0.25 else 400, b'failed')
            return
        last_event = sent.header(b'Last-Event-Id')
        self.next_by_number[number] = int(last_event or 0) + 1
        sent.begin_stream()

    def list_lost_handles(self):
        freed = {handle.name.encode() for handle in self.world.freed_handles}
        requests = [sent.request for sent in self.world.sent]
        return [
            name
            for name in self.answered_handles
            if name not in freed
            and not any(name in request for request in requests)
        ]


@pytest.mark.parametrize('seed', range(60))
@pytest.mark.parametrize(
    ('repeat', 'max_sends'),
    [
        (RepeatRule.once, 3),
        (RepeatRule.resumable, 2),
        (RepeatRule.resumable, 4),
    ],
)
def test_requests_end_whole_or_in_due_form(seed, repeat, max_sends):
    play = Play(seed, repeat, max_sends)
    play.run()
    for caller in play.callers:
        found = re.findall(rb'data: t(\d+)[.](v\d)', caller.body)
        numbers = [int(number) for number, _ in found]
        assert numbers == list(range(1, len(numbers) + 1))
        assert len({version for _, version in found}) <= 1
        if caller.status == 200 and caller.body.endswith(b'0\r\n\r\n'):
            assert len(numbers) == EVENT_COUNT
        assert caller.received or caller.is_closed
    if repeat is RepeatRule.once:
        runs = play.run_attempt_ids
        assert len(runs) == len(set(runs))
    working = [
        sent.target
        for number, sent in enumerate(play.world.sent)
        if not sent.is_closed
        and sent.request
        and play.next_by_number.get(number) != 'ended'
    ]
    assert not working
    assert play.list_lost_handles() == []
    board = play.world.context.fleet.boards.get_board('llm')
    for engine in ENGINES:
        state = board.get(engine.name)
        if state is not None:
            load = state.own_load
            assert (load.run_count, load.prefill_tokens, load.kv_tokens) == (
                0,
                0,
                0,
            )
