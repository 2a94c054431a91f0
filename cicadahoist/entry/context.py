"""What the handlers of requests share."""

from collections.abc import Callable
from typing import Any, Protocol

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.entry.dispatcher import Dispatcher
from cicadahoist.entry.isolation import Isolation
from cicadahoist.entry.open_requests import OpenRequests
from cicadahoist.messages import UsageCount
from cicadahoist.metrics import Metrics
from cicadahoist.outside.engine import ENGINES, EngineAdapter
from cicadahoist.outside.service import SERVICES, ServiceAdapter
from cicadahoist.outside.store import Store
from cicadahoist.settings import (
    ENGINE_ADAPTER,
    INSTANCE_NAME,
    SERVICE_ADAPTER,
    STALL_TIMEOUT,
    USAGE_WINDOW,
)
from cicadahoist.table import Table


class UsageRecorder(Protocol):
    """Keeps usage so that the loss of this instance does not lose it."""

    async def record(self, count: UsageCount) -> None:
        """Return once the count is safe."""


class EntryContext:
    """
    Shared parts of one entry.

    :param config: checked settings
    :param clock: clock of the process
    :param metrics: counters of the process
    :param engines: adapter for engines
    :param plain_services: adapter for plain services
    :param store: the platform's store, for claims
    """

    __slots__ = (
        '_usage',
        'clock',
        'dispatcher',
        'engines',
        'entry_name',
        'is_leaving',
        'metrics',
        'isolation',
        'open_requests',
        'plain_services',
        'stall_timeout_ms',
        'store',
        'table',
        'usage_window_ms',
    )

    def __init__(
        self,
        config: Config,
        clock: Clock,
        metrics: Metrics,
        engines: EngineAdapter,
        plain_services: ServiceAdapter,
        store: Store,
    ) -> None:
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.engines = engines
        self.plain_services = plain_services
        self.open_requests = OpenRequests()
        self.dispatcher = Dispatcher.from_config(config, clock)
        self.isolation = Isolation(
            clock, self.open_requests, engines, plain_services
        )
        self.is_leaving = False
        self.entry_name = config.read(INSTANCE_NAME)
        self.stall_timeout_ms = config.read(STALL_TIMEOUT)
        self.usage_window_ms = config.read(USAGE_WINDOW)
        self.table: Callable[[], Table] = Table.empty
        self._usage: UsageRecorder | None = None

    @classmethod
    def from_config(
        cls,
        config: Config,
        clock: Clock,
        metrics: Metrics,
        store: Store,
        reactor: Any,
    ) -> 'EntryContext':
        """Return the parts that the settings describe."""
        engines = ENGINES.get(config.read(ENGINE_ADAPTER))
        plain_services = SERVICES.get(config.read(SERVICE_ADAPTER))
        return cls(
            config,
            clock,
            metrics,
            engines.from_config(config, reactor),
            plain_services.from_config(config, reactor),
            store,
        )

    def use_usage(self, usage: UsageRecorder) -> None:
        """Set where usage is recorded."""
        self._usage = usage

    async def record_usage(self, count: UsageCount) -> None:
        """Return once a count is safe."""
        if self._usage is not None:
            await self._usage.record(count)
