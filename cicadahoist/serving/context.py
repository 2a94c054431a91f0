"""What the handling of all requests shares."""

from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.ids import fast_hash
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.metrics import METRICS, Metrics, MetricSpec
from cicadahoist.policy.demand_rate import DemandRate
from cicadahoist.policy.engine_board import EngineBoard, EngineState
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.placement import Placer
from cicadahoist.policy.retry_share import RetryShare
from cicadahoist.policy.true_time import TrueTime
from cicadahoist.rules import Deployment
from cicadahoist.serving.attempt import Dialect
from cicadahoist.serving.outbound import TargetConnections
from cicadahoist.serving.usage_counts import UsageCounts

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


class RetryTerms:
    """Bounds on repeats as the platform states them."""

    __slots__ = ('share', 'slack', 'window_ms')

    def __init__(self, share: float, slack: float, window_ms: int) -> None:
        self.share = share
        self.slack = slack
        self.window_ms = window_ms


class ServingContext:
    """
    Shared parts of the data path.

    :param zone: availability zone of this instance
    :param dialect: translates between wire and core
    :param retry_terms: bounds on repeats over all instances
    """

    __slots__ = (
        '_boards_by_service',
        '_health_by_target',
        '_open_by_target',
        '_retry_terms',
        '_retries_by_service',
        'answered',
        'clock',
        'connections',
        'demand',
        'deployment',
        'dialect',
        'directory',
        'first_byte',
        'instances',
        'is_settled',
        'metrics',
        'true_time',
        'usage',
        'zone',
    )

    def __init__(
        self,
        zone: str,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        retry_terms: RetryTerms,
        reactor: Any,
    ) -> None:
        self.zone = zone
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.directory = TargetDirectory()
        self.connections = TargetConnections(reactor, clock)
        self.deployment: Deployment | None = None
        self.instances = 1
        self.demand = DemandRate()
        # Whether the list of targets can be relied on for orders.
        self.is_settled = False
        self.usage = UsageCounts()
        self.true_time = TrueTime(clock.now_ms, wall_ms)
        self.answered = metrics.counter(ANSWERED)
        self.first_byte = metrics.histogram(FIRST_BYTE)
        self._retry_terms = retry_terms
        self._boards_by_service: dict[str, EngineBoard] = {}
        self._retries_by_service: dict[str, RetryShare] = {}
        self._open_by_target: dict[str, int] = {}
        self._health_by_target: dict[str, TargetHealth] = {}
        self.directory.on_change(self._sync_targets)

    def use(self, deployment: Deployment) -> None:
        """Take over a configuration."""
        self.deployment = deployment
        self._sync_targets()

    def count_instances(self, count: int) -> None:
        """Take note of the number of instances."""
        self.instances = count
        self.demand.instances = count

    def board(self, service: str) -> EngineBoard:
        """Return the engines of a service."""
        board = self._boards_by_service.get(service)
        if board is None:
            board = EngineBoard(self.zone)
            self._boards_by_service[service] = board
            self._sync_board(service, board)
        return board

    def boards(self) -> list[EngineBoard]:
        """Return the engines of all services in use."""
        return list(self._boards_by_service.values())

    def placer(self, service: str) -> Placer:
        """Return what places requests on the engines of a service."""
        return Placer(self.board(service))

    def retries(self, service: str) -> RetryShare:
        """Return the own share of the repeats at a service."""
        retries = self._retries_by_service.get(service)
        if retries is None:
            terms = self._retry_terms
            retries = RetryShare(terms.share, terms.slack, terms.window_ms)
            self._retries_by_service[service] = retries
        return retries

    def plain_target(
        self, service: str, request_id: str, tried: set[str]
    ) -> Listing | None:
        """Return the least used target of a plain service, or none."""
        now_ms = self.clock.now_ms()
        options = [
            (
                self._open_by_target.get(listing.name, 0),
                listing.zone != self.zone,
                fast_hash(request_id + listing.name),
                listing,
            )
            for listing in self.directory.usable(service)
            if listing.name not in tried
            and self.health(listing.name).share(now_ms)
        ]
        if options:
            return min(options, key=lambda option: option[:3])[3]
        untried = [
            listing
            for listing in self.directory.usable(service)
            if listing.name not in tried
        ]
        return untried[0] if untried else None

    def health(self, target: str) -> TargetHealth:
        """Return the health of a target of a plain service."""
        health = self._health_by_target.get(target)
        if health is None:
            health = TargetHealth()
            self._health_by_target[target] = health
        return health

    def opened(self, target: str) -> None:
        """Count an attempt at a target."""
        self._open_by_target[target] = self._open_by_target.get(target, 0) + 1

    def closed(self, target: str) -> None:
        """Count an attempt as ended."""
        left = self._open_by_target.get(target, 1) - 1
        if left > 0:
            self._open_by_target[target] = left
        else:
            self._open_by_target.pop(target, None)

    def _sync_targets(self) -> None:
        names = {listing.name for listing in self.directory.everything()}
        self.connections.retain(names)
        for target in list(self._health_by_target):
            if target not in names:
                self._health_by_target.pop(target)
        for service, board in self._boards_by_service.items():
            self._sync_board(service, board)

    def _sync_board(self, service: str, board: EngineBoard) -> None:
        rule = self.deployment and self.deployment.services_by_name.get(service)
        engine = rule.engine if rule else None
        cache_tokens = engine.cache_tokens if engine else 0
        board.sync(
            EngineState(
                listing.name,
                listing.zone,
                listing.role,
                listing.slots,
                cache_tokens=cache_tokens,
                is_cheap=listing.is_cheap,
            )
            for listing in self.directory.usable(service)
        )
