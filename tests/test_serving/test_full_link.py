"""
Tests of an instance whose own link is full.

They guard against sends that reach targets after their callers have left, and
against targets that are blamed for the wait.
"""

import pytest

from cicadahoist.policy.link_queue import OVERHEAD_FACTOR, LinkQueue
from tests.test_serving.test_model_flow import HANDLE_BODY, send_check
from tests.test_serving.world import TARGETS, World


@pytest.fixture
def world():
    world = World()
    world.context.link = LinkQueue.from_mbps(8)
    world.add(*TARGETS)
    return world


def fill_link(world, wait_ms):
    """Let the link of the instance be busy for a time."""
    world.context.link.record_sent(
        wait_ms * 1000 / OVERHEAD_FACTOR, world.clock.now_ms()
    )


def requests_sent(world):
    return [sent for sent in world.sent if sent.request]


def test_what_would_leave_the_link_after_the_deadline_is_not_sent(world):
    """Guard against GONE: sends that wait in the link until callers leave."""
    fill_link(world, 1600)
    caller = world.send_request(b'/submit/x', patience=1500)
    assert not requests_sent(world)
    assert caller.status == 503


def test_no_decode_is_sent_that_would_leave_the_link_too_late(world):
    """Guard against GONE: a decode that waits in the link too long."""
    caller = send_check(world)
    fill_link(world, 2000)
    world.sent[0].answer(body=HANDLE_BODY)
    assert len(requests_sent(world)) == 1
    assert caller.status == 503
    assert [handle.name for handle in world.freed_handles] == ['h7']


def test_the_deadline_handed_over_excludes_the_wait_in_the_link(world):
    """Guard against targets that work past the deadlines of callers."""
    fill_link(world, 400)
    world.send_request(b'/lookup/x', patience=1500)
    handed_over = world.sent[0].header(b'X-Cicadahoist-Deadline-Ms')
    assert int(handed_over) == 1500 - 15 - 400


def test_prompts_are_refused_at_once_while_the_link_is_full(world):
    """Guard against prompts that are accepted and then wait in the link."""
    fill_link(world, 400)
    caller = send_check(world)
    assert not requests_sent(world)
    assert caller.status == 503


def test_a_refusal_leaves_the_link_by_the_time_out(world):
    """Guard against CONFIG: answers that wait in the link past a time-out."""
    caller = world.send_request(b'/submit/x', patience=5000)
    # The time-out of the route is 2,000 ms.
    world.clock.advance(1800)
    assert caller.status is None
    fill_link(world, 600)
    world.clock.advance(100)
    assert caller.status == 504


def test_a_wait_in_the_link_that_has_ended_does_not_shorten_a_request(world):
    """Guard against requests that are ended early for bytes long gone."""
    fill_link(world, 600)
    caller = world.send_request(b'/submit/x', patience=5000)
    world.clock.advance(1500)
    assert caller.status is None
    world.sent[0].answer()
    assert caller.status == 200


def test_requests_themselves_fill_the_link(world):
    for _ in range(4):
        world.send_request(b'/submit/x', patience=1500, body=b'x' * 9400)
    waited_ms = world.context.link.compute_wait_ms(world.clock.now_ms())
    assert waited_ms == pytest.approx(4 * 10 * OVERHEAD_FACTOR)


def test_answers_and_loads_fill_the_link(world):
    caller = world.send_request(b'/submit/x', patience=1500)
    before_ms = world.context.link.compute_wait_ms(world.clock.now_ms())
    world.sent[0].answer(body=b'x' * 10_000)
    after_ms = world.context.link.compute_wait_ms(world.clock.now_ms())
    assert caller.status == 200
    assert after_ms - before_ms == pytest.approx(10 * OVERHEAD_FACTOR)


def test_a_target_is_not_silent_while_the_request_waits_in_the_link(world):
    """Guard against targets that are left because the own link is slow."""
    fill_link(world, 500)
    world.send_request(b'/lookup/x', patience=1500)
    world.clock.advance(800)
    assert len(requests_sent(world)) == 1
    world.clock.advance(200)
    world.clock.advance(200)
    assert len(requests_sent(world)) == 2
