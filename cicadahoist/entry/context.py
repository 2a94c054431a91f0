"""Objects that the request handlers share."""

from typing import Any, Protocol

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.entry.billing import Billing
from cicadahoist.entry.dispatcher import Dispatcher
from cicadahoist.entry.isolation import Isolation
from cicadahoist.entry.open_requests import OpenRequests
from cicadahoist.metrics import Metrics
from cicadahoist.outside.engine import ENGINES, EngineAdapter
from cicadahoist.outside.service import SERVICES, ServiceAdapter
from cicadahoist.outside.store import Store
from cicadahoist.settings import (
    ANSWER_ID,
    ENGINE_ADAPTER,
    INSTANCE_NAME,
    SERVICE_ADAPTER,
    STALL_TIMEOUT,
)
from cicadahoist.table import Table


class TableSource(Protocol):
    """Provides the table in force."""

    def table(self) -> Table:
        """Return the table in force."""

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the table was last confirmed as the newest."""


class EntryContext:
    """
    Shared objects of one entry.

    :param config: validated settings
    :param clock: clock of the process
    :param metrics: counters of the process
    :param engines: adapter for engines
    :param plain_services: adapter for plain services
    :param store: the platform's object store, for claims
    """

    __slots__ = (
        '_table_source',
        'answer_id_form',
        'billing',
        'clock',
        'dispatcher',
        'engines',
        'is_leaving',
        'isolation',
        'metrics',
        'open_requests',
        'plain_services',
        'stall_timeout_ms',
        'store',
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
            clock,
            config.read(INSTANCE_NAME),
            self.open_requests,
            engines,
            plain_services,
        )
        self.is_leaving = False
        self.billing = Billing.from_config(config)
        self.answer_id_form = config.read(ANSWER_ID)
        self.stall_timeout_ms = config.read(STALL_TIMEOUT)
        self._table_source: TableSource | None = None

    @classmethod
    def from_config(
        cls,
        config: Config,
        clock: Clock,
        metrics: Metrics,
        store: Store,
        reactor: Any,
    ) -> 'EntryContext':
        """Return the context with the adapters that the settings name."""
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

    def set_table_source(self, source: TableSource) -> None:
        """Set the source of the table."""
        self._table_source = source

    def table(self) -> Table:
        """Return the table in force."""
        return (
            self._table_source.table() if self._table_source else Table.empty()
        )

    def table_age_ms(self) -> int:
        """Return the time since the table was last confirmed as the newest."""
        if self._table_source is None:
            return 0
        return self._table_source.age_ms(self.clock.now_ms())
