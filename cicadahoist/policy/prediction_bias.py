"""Median error of predicted times to the first token."""

# Change of the estimate per request: it follows an error of 60 ms within a
# dozen requests.
STEP_MS = 5.0
# Larger errors come from failures, not from load.
MAX_BIAS_MS = 300.0


class PredictionBias:
    """
    Running estimate of the median delay of first tokens beyond prediction.

    It covers what predictions do not model: slow links and the processor of
    the instance, and loads that arrive late.
    """

    __slots__ = ('median_ms',)

    def __init__(self) -> None:
        self.median_ms = 0.0

    def observe(self, predicted_ms: float, took_ms: float) -> None:
        """
        Move the estimate towards the error of one request.

        :param predicted_ms: predicted time, the estimate included
        :param took_ms: measured time
        """
        step_ms = STEP_MS if took_ms > predicted_ms else -STEP_MS
        self.median_ms = max(0.0, min(MAX_BIAS_MS, self.median_ms + step_ms))
