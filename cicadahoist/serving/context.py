"""What the handling of all requests shares."""

from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.listings import TargetDirectory
from cicadahoist.metrics import Metrics
from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.demand_rate import DemandRate
from cicadahoist.policy.retry_share import RetryShares, RetryTerms
from cicadahoist.policy.true_time import TrueTime
from cicadahoist.rules import Deployment
from cicadahoist.serving.attempt import Dialect
from cicadahoist.serving.engine_boards import EngineBoards
from cicadahoist.serving.gossip import Gossip
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.outbound import TargetConnections
from cicadahoist.serving.plain_targets import PlainTargets
from cicadahoist.serving.usage_counts import UsageCounts

# A target that is not where it is listed is asked again after this time: its
# entry lapses after three missed heartbeats of 1.2 s.
SET_ASIDE_MS = 4000


class Fleet:
    """
    What is known of the targets.

    :param zone: availability zone of this instance
    """

    __slots__ = (
        '_clock',
        'answers',
        'boards',
        'connections',
        'directory',
        'is_settled',
        'plain',
    )

    def __init__(
        self, zone: str, connections: TargetConnections, clock: Clock
    ) -> None:
        self._clock = clock
        self.directory = TargetDirectory()
        self.connections = connections
        self.answers = AnswerWatch()
        self.boards = EngineBoards(self.directory, self.answers, zone)
        self.plain = PlainTargets(self.directory, self.answers, zone)
        # Whether the list of targets can be relied on for orders.
        self.is_settled = False
        self.directory.on_change(self._sync)

    def set_aside(self, target: str) -> None:
        """Use a target that is not where it is listed no more for now."""
        self.directory.set_aside(target)
        self._clock.call_later(SET_ASIDE_MS, self.directory.take_back, target)

    def _sync(self) -> None:
        names = {listing.name for listing in self.directory.everything()}
        self.connections.retain(names)
        self.answers.retain(names)
        self.plain.sync()
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
        'gossip',
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
        self.fleet = Fleet(zone, TargetConnections(reactor, clock), clock)
        self.deployment: Deployment | None = None
        self.demand = DemandRate()
        self.meters = Meters(metrics)
        self.retries = RetryShares(retry_terms)
        self.true_time = TrueTime(clock.now_ms, wall_ms)
        self.usage = UsageCounts()
        self.gossip = Gossip()

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, none before the first."""
        return self.deployment.version if self.deployment else None

    def use(self, deployment: Deployment) -> None:
        """Take over a configuration."""
        self.deployment = deployment
        self.fleet.boards.apply_deployment(deployment)

    def count_instances(self, count: int) -> None:
        """Take note of the number of instances."""
        self.demand.instances = count
        self.retries.instances = count
