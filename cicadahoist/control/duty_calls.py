"""Carries out the orders and readings that a lease asks for."""

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
    Calls of one duty.

    :param duty: the work under the lease
    :param handle: takes the events that the answers give
    """

    __slots__ = ('_calls', '_duty', '_handle')

    def __init__(self, duty: Duty, handle: Callable[[Any], None]) -> None:
        self._duty = duty
        self._handle = handle
        self._calls: set[Deferred[None]] = set()

    def run(self, action: Action) -> None:
        """Carry out an action; orders leave in this turn of the reactor."""
        match action:
            case LeaseWon():
                self._duty.begin_term(action.record)
            case StepDown():
                self._step_down()
            case SendOrder():
                self._spawn(self._duty.send(action.entry))
            case ReadTarget():
                self._spawn(self._duty.read(action.target, action.token))
            case OrderSettled():
                self._duty.handle_outcome(action.entry, action.outcome)

    def _step_down(self) -> None:
        self._duty.end_term()
        # What is being sent under the old epoch is broken off.
        for call in list(self._calls):
            call.cancel()

    def _spawn(self, answer: Awaitable[Any]) -> None:
        call = Deferred.fromCoroutine(self._pass_on(answer))
        self._calls.add(call)
        call.addBoth(self._forget, call)
        call.addErrback(_log)

    async def _pass_on(self, answer: Awaitable[Any]) -> None:
        event = await answer
        if event is not None:
            self._handle(event)

    def _forget(self, passed: Any, call: Deferred[None]) -> Any:
        self._calls.discard(call)
        return passed


def _log(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error('order ended: {0}', failure.getTraceback())
