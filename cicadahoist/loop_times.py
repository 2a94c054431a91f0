"""Turns of the event loop: how long they take, how old their input is."""

from collections.abc import Callable, Iterator
from typing import Any

from cicadahoist.clock import Clock

Event = tuple[int, int]


class LoopTimes:
    """
    Bounds how long input has waited before this process reads it.

    A poll returns everything that is ready. What a turn of the loop reads has
    therefore arrived after the poll before, however long that turn took. Time
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

    def begin_event(self) -> None:
        """Count an event of the turn, after the calls that are due by then."""
        self._clock.run_prompt_calls()
        self._event_count += 1


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
    Passes the calls of a reactor on to its poller and records the turns.

    Timers run between turns only, as they may conclude from what has not been
    read that nothing has arrived. Calls that conclude nothing, the prompt calls
    of the clock, run between the events of a turn.

    :param poller: the ``select.epoll`` object of the reactor
    :param times: where the turns are recorded
    """

    __slots__ = ('_poller', '_times', 'modify', 'register', 'unregister')

    def __init__(self, poller: Any, times: LoopTimes) -> None:
        self._poller = poller
        self._times = times
        self.modify = poller.modify
        self.register = poller.register
        self.unregister = poller.unregister

    def poll(self, timeout_s: float, max_events: int) -> Iterator[Event]:
        """
        Return the events that are ready, or wait for some.

        :param timeout_s: time to wait, negative for no limit
        :param max_events: greatest number of events to return
        """
        self._times.end_turn()
        events = self._poller.poll(0, max_events)
        if events or not timeout_s:
            self._times.begin_turn()
            return self._take_events(events)
        events = self._poller.poll(timeout_s, max_events)
        self._times.begin_turn_after_idle()
        return self._take_events(events)

    def _take_events(self, events: list[Event]) -> Iterator[Event]:
        for event in events:
            self._times.begin_event()
            yield event


def _ignore(took_ms: int, event_count: int) -> None:
    """Do nothing."""
