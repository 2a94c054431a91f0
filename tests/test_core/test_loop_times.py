"""
Tests of the times of the event loop.

They guard against input that counts as new although it has waited while the
process was busy, and against input that counts as old after an idle time.
"""

import os
import select

from cicadahoist.clock import Clock
from cicadahoist.loop_times import ConnectionInput, LoopTimes, ObservedPoller


class TimedPoller:
    """Poller that is idle for a set time when there are no events."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.events = []
        self.idle_ms = 0

    def poll(self, timeout_s, max_events):
        if not self.events and timeout_s:
            self._clock.advance(self.idle_ms)
            return [(3, select.EPOLLIN)]
        return self.events

    def register(self, descriptor, mask):
        """Do nothing."""

    modify = register
    unregister = register


def observed_poller():
    clock = Clock.manual()
    times = LoopTimes(clock)
    poller = TimedPoller(clock)
    return clock, times, poller, ObservedPoller(poller, times)


def test_input_of_a_turn_may_be_as_old_as_the_poll_before():
    clock, times, poller, observed = observed_poller()
    clock.advance(1000)
    poller.idle_ms = 40
    list(observed.poll(1, 9))
    assert times.input_since_ms == 1040
    clock.advance(600)
    poller.events = [(4, select.EPOLLIN)]
    list(observed.poll(1, 9))
    assert times.input_since_ms == 1040
    clock.advance(5)
    list(observed.poll(1, 9))
    assert times.input_since_ms == 1640


def test_input_that_ends_an_idle_time_is_new():
    clock, times, poller, observed = observed_poller()
    list(observed.poll(1, 9))
    poller.idle_ms = 3000
    list(observed.poll(5, 9))
    assert times.input_since_ms == clock.now_ms() == 3000


def test_without_a_poller_input_is_new():
    clock = Clock.manual()
    times = LoopTimes(clock)
    times.attach(object())
    clock.advance(500)
    assert times.input_since_ms == 500


def test_the_duration_of_each_turn_is_reported():
    clock, times, _, observed = observed_poller()
    durations_ms = []
    times.on_turn = lambda took_ms, events: durations_ms.append(took_ms)
    list(observed.poll(1, 9))
    clock.advance(120)
    list(observed.poll(1, 9))
    clock.advance(7)
    list(observed.poll(1, 9))
    assert durations_ms == [120, 7]


def test_a_real_poller_returns_what_is_ready_at_once():
    read_end, write_end = os.pipe()
    with select.epoll() as poller:
        observed = ObservedPoller(poller, LoopTimes(Clock.manual()))
        observed.register(read_end, select.EPOLLIN)
        os.write(write_end, b'x')
        assert list(observed.poll(-1, 9)) == [(read_end, select.EPOLLIN)]
        observed.unregister(read_end)
    os.close(read_end)
    os.close(write_end)


def test_first_input_of_a_connection_is_as_old_as_its_opening():
    clock, times, poller, observed = observed_poller()
    list(observed.poll(1, 9))
    clock.advance(300)
    poller.events = [(4, select.EPOLLIN)]
    list(observed.poll(1, 9))
    connection_input = ConnectionInput(times)
    clock.advance(200)
    list(observed.poll(1, 9))
    assert connection_input.since_ms == 0
    clock.advance(50)
    list(observed.poll(1, 9))
    assert connection_input.since_ms == 300 + 200
