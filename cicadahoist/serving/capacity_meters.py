"""Metrics of the engines of large fleets and their roles."""

from cicadahoist.metrics import (
    ENGINE_COUNT_DECISIONS,
    PLACED_AGAIN,
    ROLE_CLOSURES,
    Metrics,
)


class CapacityMeters:
    """
    Counts decisions on engines, and what they do to requests.

    :param metrics: metrics of the process
    """

    __slots__ = ('_decisions', '_placed_again', '_role_closures')

    def __init__(self, metrics: Metrics) -> None:
        self._decisions = metrics.counter(ENGINE_COUNT_DECISIONS)
        self._placed_again = metrics.counter(PLACED_AGAIN)
        self._role_closures = metrics.counter(ROLE_CLOSURES)

    def count_decision(self) -> None:
        """Count a change of the wanted number of engines."""
        self._decisions.add(1)

    def count_placed_again(self) -> None:
        """Count an attempt whose engine was closed before it was sent."""
        self._placed_again.add(1)

    def count_role_closure(self) -> None:
        """Count an engine that is closed before a change of its role."""
        self._role_closures.add(1)
