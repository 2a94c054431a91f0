"""
Time-outs of a process that has more input than it can handle.

They guard against requests that are held past the time-out of their route: a
turn of the event loop handled all input that a poll had found before it ran the
timers that fell due meanwhile.
"""

import os
import socket

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import DatagramProtocol

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.loop_times import LoopTimes
from cicadahoist.serving.datagrams import listen_for_datagrams

EVENT_MS = 5
# A request may be held for half a second past its time-out; a fifth of that is
# left to the event loop.
MAX_LATE_MS = 100
INPUTS = 300


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
        self.write()
        self.read_count = 0
        self.on_read = lambda: None

    def write(self):
        os.write(self.write_end, b'x')

    def fileno(self):
        return self.read_end

    def logPrefix(self):
        return self.name

    def doRead(self):
        os.read(self.read_end, 1)
        self.read_count += 1
        self.time.work()
        self.on_read()

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
    LoopTimes(Clock(reactor, lambda: time.now_ms)).attach(reactor)
    yield reactor
    for selectable in reactor.removeAll():
        if isinstance(selectable, Input):
            selectable.close()


def add_inputs(reactor, time, count=INPUTS):
    inputs = [Input(time, f'input {number}') for number in range(count)]
    for one in inputs:
        reactor.addReader(one)
    return inputs


def test_a_timer_runs_in_time_beside_input_of_many_connections(reactor, time):
    inputs = add_inputs(reactor, time)
    due_ms = time.now_ms + 3 * EVENT_MS
    fired_ms = []
    reactor.callLater(
        3 * EVENT_MS / MS_PER_S, lambda: fired_ms.append(time.now_ms)
    )
    for _ in range(INPUTS):
        reactor.iterate(0)
    assert fired_ms[0] - due_ms <= MAX_LATE_MS
    assert all(one.read_count == 1 for one in inputs)


def test_a_timer_runs_in_time_beside_many_datagrams(reactor, time):
    class Receiver(DatagramProtocol):
        count = 0

        def datagramReceived(self, datagram, addr):
            self.count += 1
            time.work()

    receiver = Receiver()
    port = listen_for_datagrams(reactor, 0, receiver, '127.0.0.1')
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for _ in range(100):
            sender.sendto(b'x' * 300, ('127.0.0.1', port.getHost().port))
    due_ms = time.now_ms + 3 * EVENT_MS
    fired_ms = []
    reactor.callLater(
        3 * EVENT_MS / MS_PER_S, lambda: fired_ms.append(time.now_ms)
    )
    for _ in range(200):
        reactor.iterate(0)
    assert receiver.count == 100
    assert fired_ms[0] - due_ms <= MAX_LATE_MS


def test_an_input_that_ended_meanwhile_is_not_read(reactor, time):
    # Its descriptor may belong to a new connection by then.
    inputs = add_inputs(reactor, time)
    ended = []

    def end_others():
        if not ended:
            ended.extend(one for one in inputs if not one.read_count)
            for one in ended:
                reactor.removeReader(one)

    for one in inputs:
        one.on_read = end_others
    for _ in range(INPUTS):
        reactor.iterate(0)
    assert len(ended) == INPUTS - 1
    assert not any(one.read_count for one in ended)
    for one in ended:
        one.close()


def test_all_inputs_take_turns(reactor, time):
    inputs = add_inputs(reactor, time, 60)
    for one in inputs:
        # It always has more to read.
        one.on_read = one.write
    for _ in range(200):
        reactor.iterate(0)
    counts = [one.read_count for one in inputs]
    assert max(counts) - min(counts) <= 1
