"""State and services shared by the handling of all requests."""

from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.metrics import Metrics
from cicadahoist.policy.caller_admission.caller_limits import CallerLimitHistory
from cicadahoist.policy.caller_admission.config_currency import ConfigCurrency
from cicadahoist.policy.caller_admission.memory_budget import MemoryBudget
from cicadahoist.policy.demand_rate import DemandRate
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.policy.retry_share import RetryShares, RetryTerms
from cicadahoist.policy.true_time import TrueTime
from cicadahoist.rules import CallerLimits, Deployment
from cicadahoist.serving.attempt import Dialect
from cicadahoist.serving.fleet import Fleet
from cicadahoist.serving.gossip import Gossip
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.part_watch import PartWatch
from cicadahoist.serving.path_log import PathLog
from cicadahoist.serving.quota_exchange import QuotaExchange
from cicadahoist.serving.stream_exchange import StreamExchange
from cicadahoist.serving.target_connections import TargetConnections
from cicadahoist.serving.target_crashes import TargetCrashes
from cicadahoist.serving.usage_counts import UsageCounts

# A change of the configuration may affect what ends up to this time later: it
# has to be in force at all instances within 2 s, and open requests follow.
CHANGE_WINDOW_MS = 3000


class ServingContext:
    """
    Shared parts of the data path.

    :param zone: availability zone of this instance
    :param dialect: translates between wire format and core
    :param clock: clock of the process
    :param metrics: metrics of the process
    :param retry_terms: limits on retries over all instances
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_caller_limits',
        '_currency',
        '_deployed_ms',
        '_memory',
        '_quotas',
        'clock',
        'demand',
        'deployment',
        'dialect',
        'fleet',
        'gossip',
        'link',
        'meters',
        'retries',
        'streams',
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
        self.true_time = TrueTime(clock.now_ms, wall_ms)
        self.gossip = Gossip()
        part_watch = PartWatch(self.gossip, clock, self._read_true_ms, metrics)
        self.fleet = Fleet(
            zone,
            TargetConnections(reactor, clock),
            clock,
            part_watch,
            TargetCrashes(
                clock, self._read_true_ms, part_watch, self.gossip, metrics
            ),
            metrics,
        )
        self.gossip.is_cut_off = self.fleet.is_cut_off
        path_log = PathLog(self.fleet.paths, clock, metrics)
        self.fleet.paths.on_change(path_log.record_change)
        self.deployment: Deployment | None = None
        self._caller_limits = CallerLimitHistory()
        self._deployed_ms: int | None = None
        self._currency = ConfigCurrency()
        self.demand = DemandRate()
        self.meters = Meters(metrics)
        self.retries = RetryShares(retry_terms)
        self.usage = UsageCounts()
        self.link = LinkQueue()
        self._memory = MemoryBudget(clock.now_ms)
        self.streams = StreamExchange(clock)
        self._quotas = QuotaExchange(clock, metrics)
        self.fleet.directory.on_change(self._observe_versions)

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, none before the first."""
        return self.deployment.version if self.deployment else None

    @property
    def quotas(self) -> QuotaExchange:
        """Quotas of workspaces over all instances."""
        return self._quotas

    @property
    def currency(self) -> ConfigCurrency:
        """Whether the configuration may be relied on for keys."""
        return self._currency

    @property
    def memory(self) -> MemoryBudget:
        """Memory that may be spent on callers."""
        return self._memory

    @property
    def is_large_fleet(self) -> bool:
        """Whether the deployment has many instances."""
        return self.gossip.is_large_fleet

    @property
    def config_age_ms(self) -> int | None:
        """Time since the latest new configuration, none before the first."""
        if self._deployed_ms is None:
            return None
        return self.clock.now_ms() - self._deployed_ms

    @property
    def is_beside_change(self) -> bool:
        """Whether the configuration has just changed."""
        age_ms = self.config_age_ms
        return age_ms is not None and age_ms <= CHANGE_WINDOW_MS

    def apply_deployment(self, deployment: Deployment) -> None:
        """Apply a configuration to all further requests."""
        if self.version != deployment.version:
            self._deployed_ms = self.clock.now_ms()
            self._currency.record_own(deployment.version, self._deployed_ms)
        self.deployment = deployment
        self._caller_limits.apply(deployment.limits, self.clock.now_ms())
        self.fleet.boards.apply_deployment(deployment)
        self.streams.apply_deployment(deployment)
        self._quotas.apply_quotas(deployment.quota_by_workspace)

    def compute_link_wait_ms(self) -> float:
        """Return how long what is sent now waits at the link."""
        return self.link.compute_wait_ms(self.clock.now_ms())

    def get_caller_limits(self, since_ms: int) -> CallerLimits:
        """Return the limits for what a caller began at a time."""
        return self._caller_limits.get_since(since_ms)

    def set_memory_limit(self, memory_mb: float | None) -> None:
        """
        Set the memory limit of the process, before it serves callers.

        :param memory_mb: the limit in MiB, none for no limit
        """
        self._memory = MemoryBudget.from_memory_mb(self.clock.now_ms, memory_mb)

    def set_notice(self, notice_ms: int) -> None:
        """Set the time in which callers hear of a new configuration."""
        self._caller_limits.notice_ms = notice_ms

    def _read_true_ms(self) -> int:
        return self.true_time.now_ms()

    def _observe_versions(self) -> None:
        self.streams.recorded.observe(
            [
                (listing.service, listing.version)
                for listing in self.fleet.directory.list_all()
            ]
        )

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that share demand and retry budgets."""
        self.demand.instance_count = count
        self.retries.instance_count = count
        self.gossip.set_instance_count(count)
        self.fleet.balances.set_fleet(count, is_large=self.is_large_fleet)
