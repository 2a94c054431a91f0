"""How far predicted times to a first token are off."""

# Share of a new error that is taken over: some ten requests show a change.
GAIN = 0.1
# Longer errors stem from single failures, not from load.
MOST_MS = 300.0


class PredictionError:
    """
    Mean time by which first tokens come later than was predicted.

    What is not modelled adds up in it: slow links of the instance, its
    processor, loads that are known late.
    """

    __slots__ = ('mean_ms',)

    def __init__(self) -> None:
        self.mean_ms = 0.0

    def observe(self, predicted_ms: float, took_ms: float) -> None:
        """
        Learn from one request.

        :param predicted_ms: prediction, the mean error included
        """
        error_ms = max(-MOST_MS, min(MOST_MS, took_ms - predicted_ms))
        self.mean_ms = max(0.0, min(MOST_MS, self.mean_ms + GAIN * error_ms))
