"""Metrics by OpenTelemetry, exposed in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from cicadahoist.reasons import Refusal, Retry

PREFIX = 'cicadahoist'


class Metrics:
    """Counters of one process: one for each refusal and retry reason."""

    __slots__ = ('_meter', '_refusals', '_retries')

    def __init__(self, provider: MeterProvider) -> None:
        self._meter = provider.get_meter(PREFIX)
        self._refusals = {
            reason: self._meter.create_counter(
                f'{PREFIX}_refusal_{reason.name}',
                description=reason.remedy,
            )
            for reason in Refusal
        }
        self._retries = {
            reason: self._meter.create_counter(
                f'{PREFIX}_retry_{reason.name}', description=reason.value
            )
            for reason in Retry
        }

    @classmethod
    def exposed(cls) -> 'Metrics':
        """Return metrics that :func:`render_metrics` shows."""
        return cls(MeterProvider(metric_readers=[PrometheusMetricReader()]))

    @classmethod
    def unexposed(cls) -> 'Metrics':
        """Return metrics that nobody reads, for short-lived processes."""
        return cls(MeterProvider())

    def refused(self, reason: Refusal) -> None:
        """Count one refusal."""
        self._refusals[reason].add(1)

    def retried(self, reason: Retry) -> None:
        """Count one retry."""
        self._retries[reason].add(1)

    def counter(self, name: str, description: str) -> Counter:
        """Create a further counter."""
        return self._meter.create_counter(
            f'{PREFIX}_{name}', description=description
        )

    def histogram(self, name: str, unit: str, description: str) -> Histogram:
        """Create a histogram."""
        return self._meter.create_histogram(
            f'{PREFIX}_{name}', unit=unit, description=description
        )


def render_metrics() -> bytes:
    """Return all exposed metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
