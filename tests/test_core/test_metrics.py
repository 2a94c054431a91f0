from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from cicadahoist.metrics import METRICS, Metrics
from cicadahoist.reasons import Refusal, Retry


def read_counts(reader):
    collected = reader.get_metrics_data().resource_metrics[0].scope_metrics[0]
    return {
        metric.name: metric.data.data_points[0].value
        for metric in collected.metrics
    }


def test_each_reason_has_its_own_counter():
    reader = InMemoryMetricReader()
    metrics = Metrics(MeterProvider(metric_readers=[reader]))
    for count, reason in enumerate(Refusal, 1):
        for _ in range(count):
            metrics.count_refusal(reason)
    metrics.count_retry(Retry.store_busy)
    expected = {
        f'cicadahoist_refusal_{reason.name}': count
        for count, reason in enumerate(Refusal, 1)
    }
    expected |= {f'cicadahoist_retry_{reason.name}': 0 for reason in Retry}
    expected['cicadahoist_retry_store_busy'] = 1
    assert read_counts(reader) == expected


def test_every_metric_has_a_remedy_and_a_unique_name():
    specs = METRICS.specs()
    assert all(spec.operator_remedy and spec.description for spec in specs)
    assert len({spec.exposed_name for spec in specs}) == len(specs)
