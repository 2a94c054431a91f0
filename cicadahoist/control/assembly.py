"""Builds the tasks of the control process of one instance."""

from collections.abc import Callable
from typing import Any

from cicadahoist.application import Application
from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.control.duty import Duty
from cicadahoist.control.engine_duty import EngineDuty
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.figure_calls import FigureCalls
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.planner import Planner
from cicadahoist.control.targets import Targets
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.control.usage_report import UsageReporter
from cicadahoist.control.usage_sources import UsageSources
from cicadahoist.ids import new_nonce, rendezvous
from cicadahoist.outside.engine import ENGINES
from cicadahoist.outside.platform import USAGE_INTAKES
from cicadahoist.outside.store import STORES
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.policy.roles import ROLE_PLANNERS
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.records import lease_name
from cicadahoist.protocol.term_timer import TermTimer
from cicadahoist.settings import (
    ENGINE_ADAPTER,
    INSTANCE_NAME,
    INSTANCE_ZONE,
    ROLE_PLANNER,
    STORE_ADAPTER,
    USAGE_ADAPTER,
    USAGE_WINDOW,
)

CANDIDATES = 2


class ControlAssembly:
    """
    Parts that the duties of one control process share.

    :param config: checked settings
    :param clock: clock of the process
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_clock',
        '_config',
        '_deadlines',
        '_engines',
        '_holder',
        '_reactor',
        '_store',
        '_zone',
        'link',
    )

    def __init__(self, config: Config, clock: Clock, reactor: Any) -> None:
        self._config = config
        self._clock = clock
        self._reactor = reactor
        self._zone = config.read(INSTANCE_ZONE)
        self._holder = '{0}/{1}'.format(config.read(INSTANCE_NAME), new_nonce())
        self._deadlines = TermDeadlines(TermTimer())
        stores = STORES.get(config.read(STORE_ADAPTER))
        self._store = stores.from_config(config, reactor)
        engines = ENGINES.get(config.read(ENGINE_ADAPTER))
        self._engines = engines.from_config(config, reactor)
        self.link = EntryLink.from_config(config, clock, reactor)

    def engine_tasks(self) -> list[Any]:
        """Return the tasks that order and plan the zone's engines."""
        name = lease_name(self._zone, 'engines')
        authority = Authority.from_config(self._config, name, self._holder)
        targets = Targets(TableStore(self._store))
        duty = EngineDuty(
            authority, self._engines, self.link, self._clock, targets
        )
        reader = FleetReader(
            self._engines, targets, self.link, self._clock, self._zone
        )
        task = self._lease_task(
            authority,
            duty,
            lambda: self.link.is_up() and reader.is_reachable(),
        )
        duty.use_task(task.handle)
        roles = ROLE_PLANNERS.get(self._config.read(ROLE_PLANNER))
        return [task, Planner(task, duty, reader, roles(), self._clock)]

    def usage_tasks(self) -> list[Any]:
        """Return the tasks that report usage."""
        intakes = USAGE_INTAKES.get(self._config.read(USAGE_ADAPTER))
        intake = intakes.from_config(self._config, self._reactor)
        name = lease_name('usage', '0')
        authority = Authority.from_config(self._config, name, self._holder)
        reporter = UsageReporter(
            UsageSources(self._store),
            FigureCalls(self._store, intake),
            self.link,
            self._clock,
            self._config.read(USAGE_WINDOW),
        )
        reporter.use_lease(authority.lease.is_holder)
        return [self._lease_task(authority, reporter, self.link.is_up)]

    def _lease_task(
        self,
        authority: Authority,
        duty: Duty,
        may_hold: Callable[[], bool],
    ) -> LeaseTask:
        return LeaseTask(
            authority,
            duty,
            self._store,
            self._clock,
            self._deadlines,
            may_stand=self._candidate_for(authority.lease.name),
            may_hold=may_hold,
        )

    def _candidate_for(self, lease: str) -> Callable[[], bool]:
        own = self._config.read(INSTANCE_NAME)

        def may_stand() -> bool:  # noqa: WPS430
            # Few stand for a lease at a time, as each reads it every second.
            live = list(self.link.zone_live(self._zone))
            return own in rendezvous(lease, live, CANDIDATES)

        return may_stand


def add_control(application: Application, config: Config) -> None:
    """Add the tasks of control to an application."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    assembly = ControlAssembly(config, application.clock, reactor)
    application.add(assembly.link)
    for task in (*assembly.engine_tasks(), *assembly.usage_tasks()):
        application.add(task)
