"""Metrics of the choices among targets with few slots."""

from cicadahoist.metrics import (
    LOAD_AGE,
    SLOTS_CHOSEN_ALONE,
    SLOTS_GRANTED,
    SLOTS_REFUSED,
    SLOTS_WAIT,
    TARGET_REJECTIONS,
    Metrics,
)
from cicadahoist.serving.slot_wishes import WishState


class BalanceMeters:
    """
    Counts choices by reason, and rejections by target.

    :param metrics: metrics of the process
    """

    __slots__ = ('_choices_by_state', '_load_age', '_rejections', '_wait')

    def __init__(self, metrics: Metrics) -> None:
        self._choices_by_state = {
            WishState.granted: metrics.counter(SLOTS_GRANTED),
            WishState.refused: metrics.counter(SLOTS_REFUSED),
            WishState.unknown: metrics.counter(SLOTS_CHOSEN_ALONE),
        }
        self._load_age = metrics.histogram(LOAD_AGE)
        self._rejections = metrics.counter(TARGET_REJECTIONS)
        self._wait = metrics.histogram(SLOTS_WAIT)

    def record_choice(self, state: WishState, waited_ms: int) -> None:
        """Record what the home has said, and how long that took."""
        self._choices_by_state[state].add(1)
        self._wait.record(waited_ms)

    def record_load_age(self, age_ms: float) -> None:
        """Record the age of the loads that a choice without home rests on."""
        self._load_age.record(age_ms)

    def count_rejection(self, target: str) -> None:
        """Count a request that a target has rejected."""
        self._rejections.add(1, {'target': target})
