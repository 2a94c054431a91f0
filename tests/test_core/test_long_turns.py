"""
Time-outs of a process that has more input than it can handle.

They guard against requests that are held past the time-out of their route: a
turn of the event loop handled all input that a poll had found before it ran the
timers that fell due meanwhile.
"""

import os
import weakref

import pytest
from twisted.internet.epollreactor import EPollReactor

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.loop_times import LoopTimes
from cicadahoist.serving.deadline import Deadline
from tests.test_serving.test_late_process import BusyClock
from tests.test_serving.test_load_exchange import Instance, Network

EVENT_MS = 5
# A request may be held for half a second past its time-out; a fifth of that is
# left to the event loop.
MAX_LATE_MS = 100
INPUTS = 300
DATAGRAMS = 100


class Time:
    """Time that passes only as the process works."""

    def __init__(self):
        self.now_ms = 1000

    def work(self):
        self.now_ms += EVENT_MS


class Input:
    """A readable descriptor that takes time to read."""

    def __init__(self, time, name):
        self.time = time
        self.name = name
        self.read_end, self.write_end = os.pipe()
        os.write(self.write_end, b'x')
        self.read_count = 0

    def fileno(self):
        return self.read_end

    def logPrefix(self):
        return self.name

    def doRead(self):
        os.read(self.read_end, 1)
        self.read_count += 1
        self.time.work()

    def close(self):
        os.close(self.read_end)
        os.close(self.write_end)


@pytest.fixture
def time():
    return Time()


@pytest.fixture
def reactor(time):
    reactor = EPollReactor()
    reactor.seconds = lambda: time.now_ms / MS_PER_S
    yield reactor
    for selectable in reactor.removeAll():
        if isinstance(selectable, Input):
            selectable.close()


@pytest.fixture
def clock(reactor, time):
    clock = Clock(reactor, lambda: time.now_ms)
    LoopTimes(clock).attach(reactor)
    return clock


def add_inputs(reactor, time):
    inputs = [Input(time, f'input {number}') for number in range(INPUTS)]
    for one in inputs:
        reactor.addReader(one)
    return inputs


def test_a_deadline_holds_beside_input_of_many_connections(
    reactor, clock, time
):
    inputs = add_inputs(reactor, time)
    deadline = Deadline(time.now_ms + 3 * EVENT_MS, clock)
    ended_ms = []
    deadline.start(lambda: ended_ms.append(time.now_ms))
    for _ in range(INPUTS):
        reactor.iterate(0)
    assert len(ended_ms) == 1
    assert ended_ms[0] - deadline.due_ms <= MAX_LATE_MS
    assert all(one.read_count == 1 for one in inputs)


def test_a_cancelled_deadline_ends_nothing(reactor, clock, time):
    add_inputs(reactor, time)
    deadline = Deadline(time.now_ms + 3 * EVENT_MS, clock)
    ended_ms = []
    deadline.start(lambda: ended_ms.append(time.now_ms))
    deadline.cancel()
    for _ in range(INPUTS):
        reactor.iterate(0)
    assert not ended_ms


def test_a_cancelled_call_keeps_nothing_alive(clock):
    # Guards against requests that stay in memory until they would have ended.
    held = Time()
    clock.call_promptly(60_000, held.work).cancel()
    is_alive = weakref.ref(held)
    del held
    assert is_alive() is None


def test_a_timer_that_watches_for_input_runs_after_what_has_arrived(
    reactor, clock, time
):
    # It would take a target for silent whose answer waits to be read.
    inputs = add_inputs(reactor, time)
    read_counts = []
    clock.call_later(
        3 * EVENT_MS,
        lambda: read_counts.append(sum(one.read_count for one in inputs)),
    )
    for _ in range(INPUTS):
        reactor.iterate(0)
    assert read_counts == [INPUTS]


def test_a_deadline_holds_beside_many_datagrams():
    clock = BusyClock()
    instance = Instance(Network(), 1, 'zone-a', clock)
    deadline = Deadline(clock.now_ms() + 3 * EVENT_MS, clock)
    ended_ms = []
    deadline.start(lambda: ended_ms.append(clock.now_ms()))
    for _ in range(DATAGRAMS):
        instance.exchange.datagramReceived(b'?', ('h', 2))
        clock.be_busy(EVENT_MS)
    assert len(ended_ms) == 1
    assert ended_ms[0] - deadline.due_ms <= MAX_LATE_MS
