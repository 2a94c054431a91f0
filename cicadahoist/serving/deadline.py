"""The time by which a request must have its answer."""

from collections.abc import Callable

from cicadahoist.clock import Clock, Timer
from cicadahoist.requests import InboundRequest
from cicadahoist.rules import RouteRule

# Subtracted from the caller's deadline, because the answer has to reach the
# caller before it.
ANSWER_MARGIN_MS = 15


class Deadline:
    """
    The end of a request by its caller's deadline or its route's time-out.

    The timer runs late where the process is behind with its events: what must
    not happen after the deadline has to ask `has_passed` as well.

    :param due_ms: when the request ends
    :param clock: clock of the process
    """

    __slots__ = ('_clock', '_timer', 'due_ms')

    def __init__(self, due_ms: int, clock: Clock) -> None:
        self._clock = clock
        self.due_ms = due_ms
        self._timer: Timer | None = None

    @classmethod
    def from_request(
        cls, request: InboundRequest, route: RouteRule, clock: Clock
    ) -> 'Deadline':
        """Return the deadline of a request, whichever comes first."""
        wait_ms = route.timeout_ms
        if request.patience_ms is not None:
            wait_ms = min(wait_ms, request.patience_ms - ANSWER_MARGIN_MS)
        return cls(request.arrived_ms + wait_ms, clock)

    @property
    def remaining_ms(self) -> int:
        """Time left, negative after the deadline."""
        return self.due_ms - self._clock.now_ms()

    @property
    def has_passed(self) -> bool:
        """Whether no time is left."""
        return self.remaining_ms <= 0

    def start(self, action: Callable[[], None]) -> None:
        """Call ``action`` at the deadline, unless cancelled before."""
        self._timer = self._clock.call_later(self.remaining_ms, action)

    def cancel(self) -> None:
        """Cancel the call at the deadline."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
