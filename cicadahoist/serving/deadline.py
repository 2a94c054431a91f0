"""The time by which a request must have its answer."""

from collections.abc import Callable

from cicadahoist.clock import Clock, Timer
from cicadahoist.requests import InboundRequest
from cicadahoist.rules import RouteRule

# Subtracted from the caller's deadline, because the answer has to reach the
# caller before it.
ANSWER_MARGIN_MS = 15
# The time that a message takes to leave may grow while a request is open. It is
# looked at this often, from this long before the deadline on.
LEAD_CHECK_PERIOD_MS = 100
MAX_LEAD_MS = 500


class Deadline:
    """
    The end of a request by its caller's deadline or its route's time-out.

    The timer runs late where the process is behind with its events: what must
    not happen after the deadline has to ask `has_passed` as well.

    :param due_ms: when the request ends
    :param clock: clock of the process
    """

    __slots__ = ('_action', '_clock', '_compute_lead_ms', '_timer', 'due_ms')

    def __init__(self, due_ms: int, clock: Clock) -> None:
        self._clock = clock
        self.due_ms = due_ms
        self._timer: Timer | None = None
        self._action: Callable[[], None] = _ignore
        self._compute_lead_ms: Callable[[], float] = float

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

    def start(
        self,
        action: Callable[[], None],
        compute_lead_ms: Callable[[], float] = float,
    ) -> None:
        """
        Call ``action`` before the deadline, unless cancelled before.

        :param compute_lead_ms: returns how long what is sent now takes to
            leave, by which the call comes earlier
        """
        self._action = action
        self._compute_lead_ms = compute_lead_ms
        self._wait()

    def _wait(self) -> None:
        left_ms = self.remaining_ms - self._compute_lead_ms()
        wait_ms = min(left_ms, LEAD_CHECK_PERIOD_MS)
        if left_ms > MAX_LEAD_MS:
            wait_ms = left_ms - MAX_LEAD_MS
        self._timer = self._clock.call_promptly(wait_ms, self._check)

    def _check(self) -> None:
        """Call the action, or wait on if less time is needed by now."""
        if self.remaining_ms > self._compute_lead_ms():
            self._wait()
        else:
            self._action()

    def cancel(self) -> None:
        """Cancel the call at the deadline."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _ignore() -> None:
    """Do nothing: the deadline was not started."""
