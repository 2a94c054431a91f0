"""Turns of the event loop: how long they take, how old their input is."""

import select
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from cicadahoist.clock import Clock

# Time after which the rest of the events of a poll waits until timers have run.
MAX_TURN_MS = 50
# What a poll reports of a descriptor whatever it is registered for.
_ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP

Event = tuple[int, int]


class LoopTimes:
    """
    Bounds how long input has waited before this process reads it.

    A poll returns everything that is ready. What the turns after a poll read
    has therefore arrived after the poll before, however long they took. Time
    in which the machine does not schedule an idle process is not included.

    Before the first turn, input counts as read when it arrives.

    :param clock: clock of the process
    """

    __slots__ = (
        '_began_ms',
        '_clock',
        '_event_count',
        '_input_since_ms',
        '_polled_ms',
        'on_turn',
        'turn_number',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._input_since_ms: int | None = None
        self._polled_ms = self._began_ms
        self._event_count = 0
        self.turn_number = 0
        # Called with the duration of each turn in ms, and its event count.
        self.on_turn: Callable[[int, int], None] = _ignore

    @property
    def input_since_ms(self) -> int:
        """Earliest time at which input of this turn can have arrived."""
        if self._input_since_ms is None:
            return self._clock.now_ms()
        return self._input_since_ms

    def attach(self, reactor: Any) -> None:
        """Observe the polls of a reactor, if it is one that uses epoll."""
        poller = getattr(reactor, '_poller', None)
        if poller is not None:
            # Twisted has no interface for this.
            reactor._poller = ObservedPoller(poller, self)  # noqa: SLF001

    def end_turn(self) -> None:
        """Record that all input was handled and the next poll begins."""
        now_ms = self._clock.now_ms()
        if self.turn_number:
            self.on_turn(now_ms - self._began_ms, self._event_count)
        self._began_ms = now_ms

    def begin_turn(self) -> None:
        """Record that a poll found input without waiting for it."""
        self._event_count = 0
        self._input_since_ms = self._polled_ms
        self._polled_ms = self._began_ms
        self.turn_number += 1

    def begin_turn_after_idle(self) -> None:
        """Record that a poll has waited until now, when input arrived."""
        self._event_count = 0
        now_ms = self._clock.now_ms()
        self._input_since_ms = now_ms
        self._polled_ms = now_ms
        self._began_ms = now_ms
        self.turn_number += 1

    def count_event(self) -> bool:
        """Return whether the turn has time for one more event; count it."""
        if self._clock.now_ms() - self._began_ms > MAX_TURN_MS:
            return False
        self._event_count += 1
        return True

    def resume_turn(self) -> None:
        """Record that a turn handles what the one before has left."""
        self._event_count = 0


class ConnectionInput:
    """
    Bounds how long input of one connection has waited.

    :param times: turns of the event loop
    """

    __slots__ = ('_opened_since_ms', '_opened_turn', '_times')

    def __init__(self, times: LoopTimes) -> None:
        self._times = times
        self._opened_since_ms = times.input_since_ms
        self._opened_turn = times.turn_number

    @property
    def since_ms(self) -> int:
        """Earliest time at which input of this turn can have arrived."""
        # The poll of the turn that opened the connection did not include it.
        if self._times.turn_number == self._opened_turn + 1:
            return self._opened_since_ms
        return self._times.input_since_ms


class ObservedPoller:
    """
    Passes the calls of a reactor on to its poller and bounds its turns.

    Timers run between turns only. Events that a turn has no time for wait, and
    the next turn goes on with them; none is reported that its descriptor is no
    longer registered for, which may belong to another connection by then.

    :param poller: the ``select.epoll`` object of the reactor
    :param times: where the turns are recorded
    """

    __slots__ = ('_poller', '_times', '_waiting', 'register')

    def __init__(self, poller: Any, times: LoopTimes) -> None:
        self._poller = poller
        self._times = times
        self._waiting: deque[Event] = deque()
        self.register = poller.register

    def modify(self, descriptor: int, mask: int) -> None:
        """
        Change what a descriptor is registered for.

        :param mask: the events to report
        """
        self._poller.modify(descriptor, mask)
        self._restrict(descriptor, mask | _ALWAYS_REPORTED)

    def unregister(self, descriptor: int) -> None:
        """Report nothing more of a descriptor."""
        self._poller.unregister(descriptor)
        self._restrict(descriptor, 0)

    def poll(self, timeout_s: float, max_events: int) -> Iterable[Event]:
        """
        Return the events that are ready, or wait for some.

        :param timeout_s: time to wait, negative for no limit
        :param max_events: greatest number of events to ask for
        """
        self._times.end_turn()
        if self._waiting:
            self._times.resume_turn()
            return self._take_events()
        events = self._poller.poll(0, max_events)
        if events or not timeout_s:
            self._times.begin_turn()
        else:
            events = self._poller.poll(timeout_s, max_events)
            self._times.begin_turn_after_idle()
        self._waiting.extend(events)
        return self._take_events()

    def _take_events(self) -> Iterator[Event]:
        """Yield events as long as the turn has time for them."""
        while self._waiting and self._times.count_event():
            yield self._waiting.popleft()

    def _restrict(self, descriptor: int, mask: int) -> None:
        """Drop what waits of a descriptor beyond a mask."""
        if self._waiting:
            self._waiting = deque(
                (waiting, found & mask if waiting == descriptor else found)
                for waiting, found in self._waiting
                if waiting != descriptor or found & mask
            )


def _ignore(took_ms: int, event_count: int) -> None:
    """Do nothing."""
