"""Time limits for deferreds."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer


def fire_after(
    deferred: 'Deferred[Any]', clock: Clock, wait_ms: float, outcome: Any
) -> None:
    """
    Fire a deferred after a time unless it has fired by then.

    :param deferred: the deferred; its timer is cancelled when it fires
    :param wait_ms: time in ms
    :param outcome: result, or exception for the errback
    """
    fire: Callable[[Any], None] = deferred.callback
    if isinstance(outcome, Exception):
        fire = deferred.errback
    timer = clock.call_later(wait_ms, fire, outcome)
    deferred.addBoth(_cancel_timer, timer)


def _cancel_timer(result: Any, timer: Timer) -> Any:
    if timer.active():
        timer.cancel()
    return result
