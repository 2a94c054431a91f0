"""
Tests of how a request goes on when one of its two open attempts ends.

They guard against a second run of a request that may run once, against KV
caches that are lost between two prefills, and against requests that no attempt
continues.
"""

import pytest

from tests.test_serving.test_takeover import (
    HANDLE_BODY,
    ONCE,
    SILENCE_MS,
    advance_in_steps,
    make_world,
    send_check,
)
from tests.test_serving.world import (
    prompt_headers,
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
