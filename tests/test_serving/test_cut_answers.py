"""
Tests of how cut answers are counted and logged.

They guard against answers that an instance cuts off without a trace of whether
its target was silent or its configuration had just changed.
"""

import pytest
from loguru import logger

from cicadahoist.metrics import (
    CLOSED_UNDER_REQUEST,
    CUT_BESIDE_CHANGE,
    CUT_OTHERWISE,
    ENDED_BESIDE_CHANGE,
    ENDED_OTHERWISE,
)
from cicadahoist.serving.context import CHANGE_WINDOW_MS
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    connect,
    deployment,
    target,
)

COUNTERS = (
    ENDED_BESIDE_CHANGE,
    CUT_BESIDE_CHANGE,
    ENDED_OTHERWISE,
    CUT_OTHERWISE,
)


@pytest.fixture
def world():
    world = World()
    world.add(target('t1'), target('d1', 'llm', 'decode'))
    return world


@pytest.fixture
def log_lines():
    """Return the fields of each log line, with its message."""
    lines = []
    handler = logger.add(
        lambda message: lines.append(
            {
                **message.record['extra'],
                'message': message.record['message'],
            }
        ),
        level='INFO',
    )
    yield lines
    logger.remove(handler)


def break_stream(world, silent_ms=0):
    """Begin a stream that may not be resumed, and let its target reset it."""
    world.send_request(b'/check/x', *SHORT_PROMPT_HEADERS, patience=2000)
    run = world.sent[-1]
    run.begin_stream()
    run.send_events(1)
    world.clock.advance(silent_ms)
    run.reset()


def list_counts(world):
    return [world.count(spec) for spec in COUNTERS]


def test_a_cut_beside_a_new_configuration_is_counted_as_such(world):
    break_stream(world)
    assert list_counts(world) == [1, 1, 0, 0]


def test_a_cut_long_after_a_new_configuration_is_counted_apart(world):
    world.clock.advance(CHANGE_WINDOW_MS + 1)
    break_stream(world)
    assert list_counts(world) == [0, 0, 1, 1]


def test_the_same_configuration_read_again_is_no_change(world):
    world.clock.advance(CHANGE_WINDOW_MS + 1)
    world.context.apply_deployment(deployment())
    break_stream(world)
    assert list_counts(world) == [0, 0, 1, 1]
    world.context.apply_deployment(deployment(version=2))
    break_stream(world)
    assert list_counts(world) == [1, 1, 1, 1]


def test_a_failure_before_the_answer_begins_is_no_cut(world):
    world.send_request(b'/submit/x')
    world.sent[0].reset()
    assert list_counts(world) == [1, 0, 0, 0]


def test_the_log_tells_the_silence_and_the_age_of_the_configuration(
    world, log_lines
):
    world.clock.advance(5000)
    break_stream(world, silent_ms=300)
    by_message = {line['message']: line for line in log_lines}
    assert by_message['attempt ended']['silent_ms'] == 300
    ended = by_message['request ended']
    assert ended['is_cut']
    assert ended['config_age_ms'] == 5300


# Guards against requests that the end of a process leaves without a trace.
def test_a_request_left_unread_at_the_end_is_counted_and_logged(
    world, log_lines
):
    transport = connect(world.caller_connections.buildProtocol(None))
    transport.receive_unread(b'POST /check/x HT')
    world.caller_connections.report_unread()
    assert world.count(CLOSED_UNDER_REQUEST) == 1
    assert any(line['message'].endswith('a request') for line in log_lines)
