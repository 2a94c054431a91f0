"""Builds the tasks that buy and release targets in a zone."""

from typing import Any

from cicadahoist.control.context import ControlContext
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.target_demand import TargetDemand
from cicadahoist.control.target_duty import TargetDuty
from cicadahoist.control.target_market import MarketReader
from cicadahoist.control.target_orders import TargetSender
from cicadahoist.control.target_planner import TargetPlanner
from cicadahoist.control.target_rounds import TargetRounds
from cicadahoist.control.target_rows import TargetRows
from cicadahoist.control.targets import Targets
from cicadahoist.outside.engine import ENGINES
from cicadahoist.outside.platform import TARGET_ORDERS
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.records import lease_name
from cicadahoist.settings import (
    ENGINE_ADAPTER,
    MOST_ORDERED,
    TARGET_ORDER_ADAPTER,
)


class TargetParts:
    """
    Builds and holds the objects that the tasks of one zone share.

    :param context: settings, store and link of the process
    """

    __slots__ = ('context', 'engines', 'platform', 'table_store', 'targets')

    def __init__(self, context: ControlContext) -> None:
        config = context.config
        orders = TARGET_ORDERS.get(config.read(TARGET_ORDER_ADAPTER))
        engines = ENGINES.get(config.read(ENGINE_ADAPTER))
        self.context = context
        self.platform = orders.from_config(config, context.reactor)
        self.engines = engines.from_config(config, context.reactor)
        self.table_store = TableStore(context.store)
        self.targets = Targets(self.table_store)

    def build_duty(self, authority: Authority) -> TargetDuty:
        """Build the duty of the lease holder."""
        return TargetDuty(
            authority,
            TargetSender(self.platform, self.context.zone),
            self.engines,
            self.context.link,
            self.context.clock,
            self.targets,
        )

    def build_rows(self) -> TargetRows:
        """Build the access to the table rows of the zone."""
        return TargetRows(self.table_store, self.targets, self.context.zone)

    def build_planner(
        self, duty: TargetDuty, rows: TargetRows
    ) -> TargetPlanner:
        """Build the planner with the limits from the settings."""
        zone, link = self.context.zone, self.context.link
        clock = self.context.clock
        return TargetPlanner(
            duty,
            rows,
            FleetReader(self.engines, self.targets, link, clock, zone),
            TargetDemand(link, clock, zone),
            clock,
            zone=zone,
            most_ordered=self.context.config.read(MOST_ORDERED),
        )


def build_target_tasks(context: ControlContext) -> list[Any]:
    """Build the tasks for the lease of a zone's targets."""
    parts = TargetParts(context)
    authority = context.build_authority(lease_name(context.zone, 'targets'))
    duty = parts.build_duty(authority)
    task = context.build_lease_task(authority, duty, context.link.is_up)
    duty.set_plan_handler(task.handle)
    rows = parts.build_rows()
    market = MarketReader(parts.platform, context.zone)
    planner = parts.build_planner(duty, rows)
    rounds = TargetRounds(task, duty, market, rows, planner, context.clock)
    return [task, rounds]
