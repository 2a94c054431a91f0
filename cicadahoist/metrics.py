"""Metrics by OpenTelemetry, exposed in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from cicadahoist.reasons import Refusal, RelayRefusal, Retry

PREFIX = 'cicadahoist'


class MetricSpec:
    """
    A declared metric.

    :param name: name without the prefix of the package
    :param description: what is counted or measured, the help text
    :param operator_remedy: what an operator can do when the value rises
    :param unit: unit of a histogram, empty for a counter
    """

    __slots__ = ('description', 'name', 'operator_remedy', 'unit')

    def __init__(
        self,
        name: str,
        description: str,
        *,
        operator_remedy: str,
        unit: str = '',
    ) -> None:
        self.name = name
        self.description = description
        self.operator_remedy = operator_remedy
        self.unit = unit

    @classmethod
    def of_refusal(cls, reason: Refusal) -> 'MetricSpec':
        """Return the counter of a refusal reason."""
        return cls(
            f'refusal_{reason.name}',
            f'Requests refused: {reason.code}.',
            operator_remedy=reason.operator_remedy,
        )

    @classmethod
    def of_retry(cls, reason: Retry) -> 'MetricSpec':
        """Return the counter of a retry reason."""
        return cls(
            f'retry_{reason.name}',
            f'Retries because {reason.meaning}.',
            operator_remedy=reason.operator_remedy,
        )

    @classmethod
    def of_relay_refusal(cls, reason: RelayRefusal) -> 'MetricSpec':
        """Return the counter of a refusal between instances."""
        return cls(
            f'relay_{reason.name}',
            f'Connections through a peer not opened: {reason.meaning}. Counted '
            'at both instances.',
            operator_remedy=reason.operator_remedy,
        )

    @property
    def exposed_name(self) -> str:
        """Name of the metric in ``/metrics``."""
        suffix = f'_{self.unit}' if self.unit else '_total'
        return f'{PREFIX}_{self.name}{suffix}'


class MetricSet:
    """All declared metrics, beginning with one for each reason."""

    __slots__ = ('_by_name',)

    def __init__(self) -> None:
        reasons = [
            *map(MetricSpec.of_refusal, Refusal),
            *map(MetricSpec.of_retry, Retry),
            *map(MetricSpec.of_relay_refusal, RelayRefusal),
        ]
        self._by_name = {spec.name: spec for spec in reasons}

    def declare(self, spec: MetricSpec) -> MetricSpec:
        """Add a metric and return it."""
        self._by_name[spec.name] = spec
        return spec

    def specs(self) -> list[MetricSpec]:
        """Return all metrics in the order of their declaration."""
        return list(self._by_name.values())


METRICS = MetricSet()
FIRST_BYTE = METRICS.declare(
    MetricSpec(
        'serving_first_byte',
        'Time from the arrival of a request to the first byte of its answer.',
        operator_remedy='look at the load of the engines, then at the network',
        unit='ms',
    )
)
QUOTA_USED = METRICS.declare(
    MetricSpec(
        'quota_used',
        'Tokens of runs of workspaces with a quota, by workspace.',
        operator_remedy='none: compare it with the quota of the workspace',
    )
)
QUOTA_GRANTED = METRICS.declare(
    MetricSpec(
        'quota_granted',
        'Tokens granted to requests, by workspace.',
        operator_remedy='none: compare it with the quota of the workspace',
    )
)
QUOTA_REFUSED = METRICS.declare(
    MetricSpec(
        'quota_refused',
        'Tokens refused to requests, by workspace.',
        operator_remedy='raise the quota of the workspace if there is '
        'capacity; if it uses less than its quota, see whether instances '
        'reach each other',
    )
)
QUOTA_RETURNED = METRICS.declare(
    MetricSpec(
        'quota_returned',
        'Granted tokens of requests that did not run, by workspace.',
        operator_remedy='see for which other reason requests are refused',
    )
)
READ_WAIT = METRICS.declare(
    MetricSpec(
        'serving_read_wait',
        'Longest time for which a request can have waited until it was read.',
        operator_remedy='give the instance more processor time, or add '
        'instances',
        unit='ms',
    )
)
LONG_TURN = METRICS.declare(
    MetricSpec(
        'loop_long_turn',
        'Durations of turns of the event loop over 100 ms.',
        operator_remedy='give the instance more processor time, or add '
        'instances',
        unit='ms',
    )
)
LOAD_BYTES = METRICS.declare(
    MetricSpec(
        'serving_load_bytes',
        'Bytes of load reports sent to other instances.',
        operator_remedy='compare with the bandwidth of the instance',
    )
)
WATCH_NEWS_SENT = METRICS.declare(
    MetricSpec(
        'serving_watch_news_sent',
        'Messages on the state of the store sent to instances of the zone.',
        operator_remedy='none; only the readers of a zone send them',
    )
)
WATCH_GAPS = METRICS.declare(
    MetricSpec(
        'serving_watch_gaps',
        'Changes of the store that were missed and read from it.',
        operator_remedy='look for lost datagrams in the zone if it rises fast',
    )
)
LOAD_DATAGRAMS_SENT = METRICS.declare(
    MetricSpec(
        'serving_load_datagrams_sent',
        'Datagrams sent to other instances.',
        operator_remedy='compare instances: collectors send about ten a second '
        'to each member of their zone',
    )
)
LOAD_DATAGRAMS_RECEIVED = METRICS.declare(
    MetricSpec(
        'serving_load_datagrams_received',
        'Datagrams received from other instances.',
        operator_remedy='compare instances: members of a large fleet receive '
        'fewer than 25 a second',
    )
)
COLLECTOR_CHANGES = METRICS.declare(
    MetricSpec(
        'serving_collector_changes',
        'Changes of the collector that gets the load reports of this instance.',
        operator_remedy='look for lost datagrams, or for a collector without '
        'processor time',
    )
)
ANSWERED = METRICS.declare(
    MetricSpec(
        'serving_answered',
        'Requests that got the whole answer of a target.',
        operator_remedy='none',
    )
)
ENDED_BY_CLOSE = METRICS.declare(
    MetricSpec(
        'serving_ended_by_close',
        'Answers of targets with neither a length nor chunks, which ended with '
        'their connection.',
        operator_remedy='let the targets send answers with a length or in '
        'chunks',
    )
)
ANSWERS_SKIPPED = METRICS.declare(
    MetricSpec(
        'serving_answers_skipped',
        'Answers of targets to other requests than the one that waited.',
        operator_remedy='find the targets in the log, and see why they answer '
        'twice',
    )
)
ANSWERS_UNATTRIBUTED = METRICS.declare(
    MetricSpec(
        'serving_answers_unattributed',
        'Attempts that were given up as their answer could not be told from '
        'another one.',
        operator_remedy='find the targets in the log, and see why they answer '
        'twice, or break off an answer on a connection that goes on',
    )
)
CLOSED_UNDER_REQUEST = METRICS.declare(
    MetricSpec(
        'serving_closed_under_request',
        'Requests that waited unread in the socket of a connection when the '
        'process ended.',
        operator_remedy='none, if rare: callers send these requests again',
    )
)
ENDED_BESIDE_CHANGE = METRICS.declare(
    MetricSpec(
        'serving_ended_beside_change',
        'Requests that ended within 3 s of a new configuration.',
        operator_remedy='none',
    )
)
CUT_BESIDE_CHANGE = METRICS.declare(
    MetricSpec(
        'serving_cut_beside_change',
        'Answers cut off within 3 s of a new configuration.',
        operator_remedy='compare their share with that of other times; if it '
        'is higher, see what the configuration changed',
    )
)
ENDED_OTHERWISE = METRICS.declare(
    MetricSpec(
        'serving_ended_otherwise',
        'Requests that ended at other times.',
        operator_remedy='none',
    )
)
CUT_OTHERWISE = METRICS.declare(
    MetricSpec(
        'serving_cut_otherwise',
        'Answers cut off at other times.',
        operator_remedy='see the last attempts of these requests in the log',
    )
)
PATHS_DOWN = METRICS.declare(
    MetricSpec(
        'serving_paths_down',
        'Times that a target was found to be reached only through peers.',
        operator_remedy='check the links between this instance and the targets '
        'that the log names',
    )
)
SILENT_KEPT = METRICS.declare(
    MetricSpec(
        'serving_silent_kept',
        'Attempts at silent targets from which no other could take over.',
        operator_remedy='see why the target is silent; add targets if it is '
        'often the only one',
    )
)
RECORD_READS = METRICS.declare(
    MetricSpec(
        'serving_record_reads',
        'Reads of the recorded software versions.',
        operator_remedy='see whether instances reach each other: they tell '
        'each other what is recorded',
    )
)
RECORD_WRITES = METRICS.declare(
    MetricSpec(
        'serving_record_writes',
        'Attempts to record software versions in the store.',
        operator_remedy='none, unless it rises without a new version',
    )
)
RECORD_WAITS = METRICS.declare(
    MetricSpec(
        'serving_record_waits',
        'Waits of requests until the version of a target was recorded.',
        operator_remedy='see whether the store answers, if it rises often',
    )
)
TARGET_CRASHES = METRICS.declare(
    MetricSpec(
        'serving_target_crashes',
        'Targets that broke off requests and refused connections afterwards.',
        operator_remedy='see the logs of these targets, and the requests and '
        'prompt parts that the instances have logged',
    )
)
PART_HOLDS = METRICS.declare(
    MetricSpec(
        'serving_part_holds',
        'Prompt parts that this instance has found to crash engines.',
        operator_remedy='find the part in the log, and ask its workspace for '
        'the prompt',
    )
)
TARGETS_LEAVING = METRICS.declare(
    MetricSpec(
        'serving_targets_leaving',
        'Targets that said in an answer that they leave.',
        operator_remedy='none beside a release; otherwise see who stops them',
    )
)
TARGETS_PAUSED = METRICS.declare(
    MetricSpec(
        'serving_targets_paused',
        'Answers in which targets asked for a pause.',
        operator_remedy='see the load of these targets; add some if it goes on',
    )
)
ENGINE_COUNT_DECISIONS = METRICS.declare(
    MetricSpec(
        'serving_engine_count_decisions',
        'Changes of the number of engines that a large fleet should have.',
        operator_remedy='the log line "number of engines decided" has the sums',
    )
)
ROLE_CLOSURES = METRICS.declare(
    MetricSpec(
        'serving_role_closures',
        'Engines closed to new work before a change of their role.',
        operator_remedy='if many, the mix of prompts and answers changes',
    )
)
PLACED_AGAIN = METRICS.declare(
    MetricSpec(
        'serving_placed_again',
        'Attempts placed again as their engine was closed before they were '
        'sent.',
        operator_remedy='none: they would have waited for a change of role',
    )
)
SLOTS_GRANTED = METRICS.declare(
    MetricSpec(
        'balance_granted',
        'Slots that the home of a service has granted to this instance.',
        operator_remedy='none',
    )
)
SLOTS_CHOSEN_ALONE = METRICS.declare(
    MetricSpec(
        'balance_chosen_alone',
        'Targets with few slots that this instance chose by load reports, as '
        'no home answered.',
        operator_remedy='see whether the home that the log names runs, and '
        'whether it has the processor time to answer',
    )
)
SLOTS_REFUSED = METRICS.declare(
    MetricSpec(
        'balance_refused',
        'Requests refused as all slots were taken for too long.',
        operator_remedy='add targets to the service if this goes on',
    )
)
SLOTS_WAIT = METRICS.declare(
    MetricSpec(
        'balance_wait',
        'Time from asking for a slot until the answer.',
        operator_remedy='some ms are the round trip to the home; if more, add '
        'targets',
        unit='ms',
    )
)
LOAD_AGE = METRICS.declare(
    MetricSpec(
        'balance_load_age',
        'Age of the load reports at choices without a home.',
        operator_remedy='see whether the peers send load reports',
        unit='ms',
    )
)
TARGET_REJECTIONS = METRICS.declare(
    MetricSpec(
        'balance_rejections',
        'Requests that targets have rejected as not run, by target.',
        operator_remedy='if one target rejects many, see its load; if all do, '
        'add targets',
    )
)
RELAYS_USED = METRICS.declare(
    MetricSpec(
        'relay_used',
        'Connections to targets that this instance opened through a peer.',
        operator_remedy='see why the instance does not reach these targets',
    )
)
RELAYS_OPENED = METRICS.declare(
    MetricSpec(
        'relay_opened',
        'Connections to targets that this instance opened for its peers.',
        operator_remedy='see which peers have lost their links to targets',
    )
)
RELAYED_BYTES = METRICS.declare(
    MetricSpec(
        'relay_bytes',
        'Bytes that this instance passed on between peers and targets.',
        operator_remedy='compare with the bandwidth of the instance',
    )
)


class Metrics:
    """Metrics of one process, with a counter for each reason."""

    __slots__ = ('_meter', '_refusals', '_retries')

    def __init__(self, provider: MeterProvider) -> None:
        self._meter = provider.get_meter(PREFIX)
        self._refusals = {
            reason: self.counter(MetricSpec.of_refusal(reason))
            for reason in Refusal
        }
        self._retries = {
            reason: self.counter(MetricSpec.of_retry(reason))
            for reason in Retry
        }

    @classmethod
    def exposed(cls) -> 'Metrics':
        """Return metrics that :func:`render_metrics` includes."""
        return cls(MeterProvider(metric_readers=[PrometheusMetricReader()]))

    @classmethod
    def unexposed(cls) -> 'Metrics':
        """Return metrics without an exporter, for short-lived processes."""
        return cls(MeterProvider())

    def count_refusal(self, reason: Refusal) -> None:
        """Count one refusal."""
        self._refusals[reason].add(1)

    def count_retry(self, reason: Retry) -> None:
        """Count one retry."""
        self._retries[reason].add(1)

    def counter(self, spec: MetricSpec) -> Counter:
        """
        Return the counter of a declared metric.

        Adding 0 makes ``/metrics`` show the counter before its first event.
        """
        counter = self._meter.create_counter(
            f'{PREFIX}_{spec.name}', description=spec.description
        )
        counter.add(0)
        return counter

    def histogram(self, spec: MetricSpec) -> Histogram:
        """Return the histogram of a declared metric."""
        return self._meter.create_histogram(
            f'{PREFIX}_{spec.name}',
            unit=spec.unit,
            description=spec.description,
        )


def render_metrics() -> bytes:
    """Return all exposed metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
