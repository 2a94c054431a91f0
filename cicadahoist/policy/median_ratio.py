"""Running median of the ratio between measured and predicted times."""

import math

# Change of the logarithm of the estimate by one observation: the first one, and
# once many have been made.
FIRST_STEP = 0.4
LAST_STEP = 0.03
# Observations over which the step shrinks by half.
HALVING_COUNT = 6
MAX_RATIO = 30.0


class MedianRatio:
    """
    Median of a ratio, whose estimate is independent of outliers.

    It covers a factor of six within a dozen observations, so that an instance
    that has just started soon predicts the times of engines it knows nothing
    about.
    """

    __slots__ = ('_count', '_logarithm')

    def __init__(self) -> None:
        self._logarithm = 0.0
        self._count = 0

    @property
    def ratio(self) -> float:
        """The present estimate, 1 before the first observation."""
        return math.exp(self._logarithm)

    def observe(self, predicted_ms: float, took_ms: float) -> None:
        """
        Move the estimate towards the ratio of one observation.

        :param predicted_ms: time predicted with the present estimate
        :param took_ms: measured time
        """
        step = max(LAST_STEP, FIRST_STEP * 0.5 ** (self._count / HALVING_COUNT))
        self._count += 1
        if took_ms < predicted_ms:
            step = -step
        limit = math.log(MAX_RATIO)
        self._logarithm = min(limit, max(-limit, self._logarithm + step))
