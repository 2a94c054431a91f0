"""One attempt at a streamed answer: relays a target's events."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from cicadahoist.clock import Clock
from cicadahoist.entry.answer_stream import AnswerStream, Progress
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.events import EventSplitter


class AttemptEnd(Enum):
    """How an attempt ended."""

    complete = 'complete'
    broken = 'broken'
    stalled = 'stalled'
    stopped = 'stopped'


class StreamAttempt(Protocol):
    """
    Relays the body of a target's answer to the caller.

    Bytes that arrive after the end of the attempt are dropped.

    :param answer: the answer that the attempt continues
    :param caller: receives the events
    :param clock: clock of the process
    :param on_first_token: called once, at the first output
    :param on_data: called whenever the target sends data
    """

    transport: Any

    def __init__(
        self,
        answer: AnswerStream,
        caller: CallerRequest,
        clock: Clock,
        on_first_token: Callable[[], None],
        on_data: Callable[[], None],
    ) -> None:
        self.ended: Deferred[AttemptEnd] = Deferred()
        self._answer = answer
        self._caller = caller
        self._clock = clock
        self._on_first_token: Callable[[], None] | None = on_first_token
        self._on_data = on_data
        self._splitter = EventSplitter()
        self._is_open = True
        self._is_paused = False
        self._last_activity_ms = clock.now_ms()

    def get_last_activity_ms(self) -> int:
        """
        Return the time at which the target last sent data.

        A target that is paused by a slow caller counts as active.
        """
        if self._is_paused:
            return self._clock.now_ms()
        return self._last_activity_ms

    def connectionMade(self) -> None:
        """Apply the caller's flow control to the connection to the target."""
        if not self._caller.is_gone:
            self._caller.http.registerProducer(self, streaming=True)

    def dataReceived(self, received: bytes) -> None:
        """Relay the events that are now complete."""
        if not self._is_open:
            return
        self._last_activity_ms = self._clock.now_ms()
        self._on_data()
        out: list[bytes] = []
        progress = Progress.going_on
        for payload in self._splitter.feed(received):
            progress = self._answer.accept(payload, out)
            if progress is not Progress.going_on:
                break
        if out:
            self._forward(out)
        if progress is Progress.complete:
            self.end(AttemptEnd.complete)
        elif progress is Progress.broken or self._splitter.is_event_too_long:
            self.end(AttemptEnd.broken)

    def _forward(self, out: list[bytes]) -> None:
        if self._on_first_token is not None:
            self._on_first_token()
            self._on_first_token = None
        if self._answer.record is not None:
            self._answer.record.extend(out)
        if not self._caller.is_gone:
            self._caller.http.write(b''.join(out))

    def connectionLost(self, reason: Any = None) -> None:
        """End the attempt as broken, unless it has ended already."""
        self.end(AttemptEnd.broken)

    def end(self, end: AttemptEnd) -> None:
        """End the attempt; close the connection unless it is complete."""
        if not self._is_open:
            return
        self._is_open = False
        if not self._caller.is_gone:
            self._caller.http.unregisterProducer()
        if end is not AttemptEnd.complete and self.transport is not None:
            self.transport.stopProducing()
        self.ended.callback(end)

    def pauseProducing(self) -> None:
        """Stop reading from the target while the caller reads slowly."""
        self._is_paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading from the target."""
        self._is_paused = False
        self._last_activity_ms = self._clock.now_ms()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """
        Continue to read although the caller is gone.

        The open request decides whether the attempt ends.
        """
        if self._is_paused:
            self.resumeProducing()
