"""Deferreds with a bound on time."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer


def fire_after(
    deferred: 'Deferred[Any]', clock: Clock, wait_ms: float, fired: Any
) -> None:
    """
    Fire a deferred after a time unless it fires before.

    :param wait_ms: the time in ms
    :param fired: result, or exception
    """
    fire: Callable[[Any], None] = deferred.callback
    if isinstance(fired, Exception):
        fire = deferred.errback
    timer = clock.call_later(wait_ms, fire, fired)
    deferred.addBoth(_cancel, timer)


def _cancel(passed: Any, timer: Timer) -> Any:
    if timer.active():
        timer.cancel()
    return passed
