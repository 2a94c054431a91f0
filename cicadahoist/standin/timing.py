"""Deferreds with a bound on time."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer


def fire_after(
    deferred: 'Deferred[Any]', clock: Clock, wait_ms: float, outcome: Any
) -> None:
    """
    Fire a deferred after a time unless it fires before.

    :param wait_ms: the time in ms
    :param outcome: result, or exception
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
