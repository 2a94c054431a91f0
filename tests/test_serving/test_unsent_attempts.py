"""
Tests of attempts that end before a byte is sent.

They guard against attempts that are watched for ever after their end, which
costs processor time and retries of requests that are over.
"""

from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target


def count_timers_after(world):
    """Return how many timers are left once a request has ended."""
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.sent[-1].begin_stream()
    world.sent[-1].send_events(1)
    world.sent[-1].end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    caller.disconnect()
    for _ in range(1000):
        world.clock.advance(20)
    return len(world.clock.scheduler.getDelayedCalls())


def test_an_attempt_that_was_not_sent_is_watched_no_longer():
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    assert count_timers_after(world) == 0
    world = World()
    names = ['d1', 'd2', 'd3']
    world.add(*(target(name, 'llm', 'decode') for name in names))
    world.connections.refusing_targets = {'d1', 'd2'}
    while not world.connections.refused_names:
        assert count_timers_after(world) == 0
