"""What the handling of all requests shares."""

from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.listings import TargetDirectory
from cicadahoist.metrics import Metrics
from cicadahoist.policy.demand_rate import DemandRate
from cicadahoist.policy.retry_share import RetryShares, RetryTerms
from cicadahoist.policy.true_time import TrueTime
from cicadahoist.rules import Deployment
from cicadahoist.serving.attempt import Dialect
from cicadahoist.serving.engine_boards import EngineBoards
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.outbound import TargetConnections
from cicadahoist.serving.plain_targets import PlainTargets
from cicadahoist.serving.usage_counts import UsageCounts


class Fleet:
    """
    What is known of the targets.

    :param zone: availability zone of this instance
    """

    __slots__ = ('boards', 'connections', 'directory', 'is_settled', 'plain')

    def __init__(self, zone: str, connections: TargetConnections) -> None:
        self.directory = TargetDirectory()
        self.connections = connections
        self.boards = EngineBoards(self.directory, zone)
        self.plain = PlainTargets(self.directory, zone)
        # Whether the list of targets can be relied on for orders.
        self.is_settled = False
        self.directory.on_change(self._sync)

    def _sync(self) -> None:
        names = {listing.name for listing in self.directory.everything()}
        self.connections.retain(names)
        self.plain.retain(names)
        self.boards.sync()


class ServingContext:
    """
    Shared parts of the data path.

    :param zone: availability zone of this instance
    :param dialect: translates between wire and core
    :param retry_terms: bounds on repeats over all instances
    """

    __slots__ = (
        'clock',
        'demand',
        'deployment',
        'dialect',
        'fleet',
        'meters',
        'retries',
        'true_time',
        'usage',
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
        self.dialect = dialect
        self.clock = clock
        self.fleet = Fleet(zone, TargetConnections(reactor, clock))
        self.deployment: Deployment | None = None
        self.demand = DemandRate()
        self.meters = Meters(metrics)
        self.retries = RetryShares(retry_terms)
        self.true_time = TrueTime(clock.now_ms, wall_ms)
        self.usage = UsageCounts()

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, none before the first."""
        return self.deployment.version if self.deployment else None

    def use(self, deployment: Deployment) -> None:
        """Take over a configuration."""
        self.deployment = deployment
        self.fleet.boards.use(deployment)

    def count_instances(self, count: int) -> None:
        """Take note of the number of instances."""
        self.demand.instances = count
        self.retries.instances = count
