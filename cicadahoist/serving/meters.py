"""Counters and histograms of the data path."""

from cicadahoist.metrics import METRICS, Metrics, MetricSpec
from cicadahoist.reasons import Refusal, Retry

FIRST_BYTE = METRICS.declare(
    MetricSpec(
        'serving_first_byte',
        'Time from a whole request to the first byte of its answer.',
        operator_remedy='look at the load of the engines, then at the network',
        unit='ms',
    )
)
ANSWERED = METRICS.declare(
    MetricSpec(
        'serving_answered',
        'Requests that got the whole answer of a target.',
        operator_remedy='none',
    )
)


class Meters:
    """
    Counts how requests end.

    :param metrics: metrics of the process
    """

    __slots__ = ('_answered', '_first_byte', '_metrics')

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._answered = metrics.counter(ANSWERED)
        self._first_byte = metrics.histogram(FIRST_BYTE)

    def answered(self) -> None:
        """Count a whole answer."""
        self._answered.add(1)

    def began(self, took_ms: int) -> None:
        """Record the time to a first byte."""
        self._first_byte.record(took_ms)

    def refused(self, reason: Refusal) -> None:
        """Count a refusal."""
        self._metrics.refused(reason)

    def retried(self, reason: Retry) -> None:
        """Count a repeat."""
        self._metrics.retried(reason)
