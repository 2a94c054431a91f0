"""Calls a duty on behalf of its lease."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.control.duty import Duty
from cicadahoist.log import get_logger
from cicadahoist.protocol.actions import (
    Action,
    LeaseWon,
    OrderSettled,
    ReadTarget,
    SendOrder,
    StepDown,
)

logger = get_logger(__name__)


class DutyCalls:
    """
    Runs the calls of one duty and cancels them when the lease is lost.

    :param duty: the work done by the lease holder
    :param handle: receives the events that the calls return
    """

    __slots__ = ('_calls', '_duty', '_handle')

    def __init__(self, duty: Duty, handle: Callable[[Any], None]) -> None:
        self._duty = duty
        self._handle = handle
        self._calls: set[Deferred[None]] = set()

    def run(self, action: Action) -> None:
        """
        Execute an action.

        An order is sent within the same reactor iteration, while the check
        that the lease is held still applies.
        """
        match action:
            case LeaseWon():
                self._duty.begin_term(action.record)
            case StepDown():
                self._step_down()
            case SendOrder():
                self._start_call(self._duty.send(action.entry))
            case ReadTarget():
                self._start_call(self._duty.read(action.target, action.token))
            case OrderSettled():
                self._duty.handle_outcome(action.entry, action.outcome)

    def _step_down(self) -> None:
        self._duty.end_term()
        # Cancel calls that are still in progress under the old epoch.
        for call in list(self._calls):
            call.cancel()

    def _start_call(self, event_source: Awaitable[Any]) -> None:
        call = Deferred.fromCoroutine(self._deliver_event(event_source))
        self._calls.add(call)
        call.addBoth(self._discard_call, call)
        call.addErrback(_log_failure)

    async def _deliver_event(self, event_source: Awaitable[Any]) -> None:
        event = await event_source
        if event is not None:
            self._handle(event)

    def _discard_call(self, result: Any, call: Deferred[None]) -> Any:
        self._calls.discard(call)
        return result


def _log_failure(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'duty call failed with an unexpected error: {0}',
            failure.getTraceback(),
        )
