"""Slowness of the engines of a service that have not been measured yet."""

from collections.abc import Iterable
from statistics import median

# An engine that is not measured counts as faster than others, so that it is
# tried.
OPTIMISM = 0.9


class TypicalSlowness:
    """
    Median slowness of the measured engines of a service.

    Engines of one service are alike. Without it, an engine that has just
    started would seem faster than all others by as much as the deployment's
    engines are slower than the default, and attract all requests.
    """

    __slots__ = ('_slowness_by_engine', 'ratio')

    def __init__(self) -> None:
        self._slowness_by_engine: dict[str, float] = {}
        self.ratio = 1.0

    def record(self, engine: str, slowness: float) -> None:
        """Record the measured slowness of an engine."""
        self._slowness_by_engine[engine] = slowness
        self.ratio = OPTIMISM * median(self._slowness_by_engine.values())

    def retain(self, engines: Iterable[str]) -> None:
        """Forget other engines; the ratio stays until the next measurement."""
        self._slowness_by_engine = {
            name: self._slowness_by_engine[name]
            for name in engines
            if name in self._slowness_by_engine
        }
