"""
Tests of callers that read slowly.

They guard against engines that count as silent, and whose work is done again
elsewhere, because this instance does not read their answers meanwhile.
"""

from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target

STEP_MS = 10


def advance_in_steps(world, span_ms):
    for _ in range(span_ms // STEP_MS):
        world.clock.advance(STEP_MS)


def begin_ask(world):
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.sent[0].begin_stream()
    world.sent[0].send_events(1)
    return caller


def test_an_engine_whose_answer_is_not_read_is_not_silent():
    world = World()
    world.add(target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode'))
    caller = begin_ask(world)
    caller.transport.producer.pauseProducing()
    advance_in_steps(world, 2000)
    assert len(world.sent) == 1
    caller.transport.producer.resumeProducing()
    advance_in_steps(world, 300)
    world.sent[0].send_events(2)
    world.sent[0].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    assert len(world.sent) == 1


def test_an_engine_that_is_silent_after_a_pause_is_left():
    world = World()
    world.add(target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode'))
    caller = begin_ask(world)
    caller.transport.producer.pauseProducing()
    advance_in_steps(world, 2000)
    caller.transport.producer.resumeProducing()
    advance_in_steps(world, 1000)
    assert len(world.sent) == 2


# Guards against a hung engine that counts as active for one slow caller.
def test_a_slow_caller_does_not_hide_the_silence_of_its_engine():
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    slow = begin_ask(world)
    world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    world.add(target('d2', 'llm', 'decode'))
    slow.transport.producer.pauseProducing()
    advance_in_steps(world, 1500)
    assert [sent.target for sent in world.sent] == ['d1', 'd1', 'd2']
