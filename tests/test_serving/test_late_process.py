"""
Tests of an instance that is behind with its events.

They guard against work for callers that no longer wait: timers, answers and
disconnects fall due together, and the handling of one must not rely on that of
another.
"""

import pytest
from twisted.internet.task import Clock as ManualTime

from cicadahoist.clock import MS_PER_S, Clock
from tests.test_serving.test_model_flow import (
    HANDLE_BODY,
    send_ask,
    send_check,
    send_stream,
)
from tests.test_serving.world import (
    ROUTES,
    TARGETS,
    World,
    deployment,
    route,
)

LOOKUP_HEADERS = [
    b'Authorization: Token k1',
    b'X-Cicadahoist-Deadline-Ms: 1500',
]


class BusyClock(Clock):
    """Manual clock of a process that can be too busy to run its timers."""

    __slots__ = ('_busy_ms',)

    def __init__(self) -> None:
        scheduler = ManualTime()
        self._busy_ms = 0
        super().__init__(
            scheduler,
            lambda: round(scheduler.seconds() * MS_PER_S) + self._busy_ms,
        )

    def be_busy(self, duration_ms):
        """Let time pass without running timers."""
        self._busy_ms += duration_ms


class BusyWorld(World):
    """Instance whose event loop polls only when a test lets it."""

    def __init__(self) -> None:
        super().__init__(BusyClock())
        self.poll()

    def poll(self):
        """Begin a turn of the event loop."""
        self.loop_times.end_turn()
        self.loop_times.begin_turn()

    @property
    def requests_sent(self):
        """Attempts of which a byte was sent."""
        return [sent for sent in self.sent if sent.request]


@pytest.fixture
def world():
    world = BusyWorld()
    world.add(*TARGETS)
    return world


def hold_connections(world, *names):
    """Let connections to the named targets open only by `open_connections`."""
    world.connections.pending_opens_by_target = {name: [] for name in names}


def open_connections(world):
    for pending in world.connections.pending_opens_by_target.values():
        for complete in pending:
            complete()


def test_no_decode_is_sent_after_the_deadline_when_its_timer_is_late(world):
    """Guard against GONE: sends that reach engines after callers have left."""
    caller = send_check(world)
    world.clock.be_busy(2000)
    world.sent[0].answer(body=HANDLE_BODY)
    assert len(world.requests_sent) == 1
    assert caller.status == 503
    assert [handle.name for handle in world.freed_handles] == ['h7']


def test_no_request_is_repeated_after_the_deadline(world):
    """Guard against GONE: repeats for callers that have left."""
    world.send_request(b'/lookup/x', patience=1500)
    world.clock.be_busy(1500)
    world.sent[0].reject()
    assert len(world.requests_sent) == 1


def test_a_stream_is_not_resumed_after_the_deadline(world):
    """Guard against GONE: streams resumed for callers that have left."""
    caller = send_ask(world)
    send_stream(world.sent[0], 1)
    world.clock.be_busy(15_000)
    world.sent[0].reset()
    assert len(world.requests_sent) == 1
    assert caller.transport.is_aborted


def test_nothing_is_sent_on_connections_that_open_after_the_deadline(world):
    """Guard against GONE: sends whose connections opened too late."""
    hold_connections(world, 'p1', 't1', 't2')
    callers = [
        send_check(world),
        world.send_request(b'/lookup/x', patience=1500),
        world.send_request(b'/submit/x', patience=1500),
    ]
    world.clock.be_busy(2000)
    open_connections(world)
    assert not world.requests_sent
    assert [caller.status for caller in callers] == [503] * 3


def test_a_cache_is_freed_whose_decode_was_not_sent_in_time(world):
    """Guard against KV caches that stay at their engines unused."""
    hold_connections(world, 'd1', 'd2')
    send_check(world)
    world.sent[0].answer(body=HANDLE_BODY)
    world.clock.be_busy(2000)
    open_connections(world)
    assert len(world.requests_sent) == 1
    assert [handle.name for handle in world.freed_handles] == ['h7']


def test_the_deadline_handed_over_shrinks_while_a_connection_opens(world):
    """Guard against targets that work past the deadlines of callers."""
    hold_connections(world, 'p1', 't1', 't2')
    send_check(world)
    world.send_request(b'/lookup/x', patience=1500)
    world.clock.be_busy(900)
    open_connections(world)
    assert sorted(
        int(sent.header(b'X-Cicadahoist-Deadline-Ms'))
        for sent in world.requests_sent
    ) == [1500 - 15 - 900, 2000 - 15 - 900]


def test_time_before_a_request_is_read_counts_against_its_deadline(world):
    """Guard against GONE: deadlines counted anew from a late read."""
    caller = world.caller()
    world.clock.be_busy(700)
    world.poll()
    caller.send(b'/lookup/x', LOOKUP_HEADERS)
    handed_over = world.sent[0].header(b'X-Cicadahoist-Deadline-Ms')
    assert int(handed_over) == 1500 - 15 - 700
    world.clock.advance(1500 - 15 - 700)
    assert caller.status == 504


def test_a_request_read_after_its_deadline_is_refused_without_a_send(world):
    """Guard against GONE: work on requests that were given up unread."""
    caller = world.caller()
    world.clock.be_busy(1600)
    world.poll()
    caller.send(b'/lookup/x', LOOKUP_HEADERS)
    assert not world.requests_sent
    assert caller.status == 503


def test_read_ahead_input_waits_while_the_request_before_is_answered(world):
    """Guard against deadlines of pipelined requests that are counted anew."""
    caller = world.caller()
    caller.send(b'/lookup/x', LOOKUP_HEADERS)
    world.clock.advance(100)
    world.poll()
    world.poll()
    caller.send(b'/lookup/y', LOOKUP_HEADERS)
    world.clock.advance(300)
    world.sent[0].answer()
    world.clock.advance(0)
    handed_over = world.sent[1].header(b'X-Cicadahoist-Deadline-Ms')
    assert int(handed_over) == 1500 - 15 - 300


def test_a_submission_is_not_sent_when_its_caller_left_before(world):
    """Guard against GONE: unsent work that goes on without its caller."""
    hold_connections(world, 't1', 't2')
    caller = world.send_request(b'/submit/x', patience=1500)
    caller.disconnect()
    open_connections(world)
    assert not world.requests_sent


def test_a_rejected_submission_is_not_repeated_when_its_caller_left(world):
    """Guard against GONE: repeats of rejected work without its caller."""
    world.context.apply_deployment(
        deployment(
            routes=[
                *ROUTES,
                route('book', '/book/', 'app', max_sends=2),
            ]
        )
    )
    caller = world.send_request(b'/book/x', patience=1500)
    caller.disconnect()
    assert not world.sent[0].is_closed
    world.sent[0].reject()
    assert len(world.requests_sent) == 1


def test_a_submission_that_was_sent_runs_on_without_its_caller(world):
    """Guard against submissions cut off with an unknown outcome."""
    caller = world.send_request(b'/submit/x', patience=1500)
    caller.disconnect()
    assert not world.sent[0].is_closed
    world.sent[0].answer()
    assert len(world.requests_sent) == 1


@pytest.mark.parametrize('path', [b'/lookup/x', b'/submit/x'])
def test_nothing_is_sent_when_the_close_of_the_caller_is_unread(world, path):
    """Guard against GONE: sends while the caller's close waits to be read."""
    hold_connections(world, 't1', 't2')
    caller = world.send_request(path, patience=1500)
    caller.transport.close_by_peer()
    open_connections(world)
    assert not world.requests_sent


def test_no_decode_is_sent_when_the_close_of_the_caller_is_unread(world):
    """Guard against GONE: a decode sent while the caller's close is unread."""
    caller = send_check(world)
    caller.transport.close_by_peer()
    world.sent[0].answer(body=HANDLE_BODY)
    assert len(world.requests_sent) == 1
    assert [handle.name for handle in world.freed_handles] == ['h7']


def test_callers_with_unread_input_still_wait(world):
    """Guard against refusals of callers that send their next request early."""
    caller = send_check(world)
    caller.transport.receive_unread(b'POST')
    world.sent[0].answer(body=HANDLE_BODY)
    assert len(world.requests_sent) == 2
