"""How far predicted times to a first token are off."""

# Change with each request: a dozen requests show a change of 60 ms.
STEP_MS = 5.0
# Longer errors stem from failures, not from load.
MAX_BIAS_MS = 300.0


class PredictionBias:
    """
    Median time by which first tokens come later than was predicted.

    What is not modelled adds up in it: slow links of the instance, its
    processor, loads that are known late.
    """

    __slots__ = ('median_ms',)

    def __init__(self) -> None:
        self.median_ms = 0.0

    def observe(self, predicted_ms: float, took_ms: float) -> None:
        """
        Learn from one request.

        :param predicted_ms: prediction, the median error included
        """
        step_ms = STEP_MS if took_ms > predicted_ms else -STEP_MS
        self.median_ms = max(0.0, min(MAX_BIAS_MS, self.median_ms + step_ms))
