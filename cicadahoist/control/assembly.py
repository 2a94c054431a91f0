"""Builds the tasks of a control process."""

from typing import Any

from cicadahoist.application import Application
from cicadahoist.config import Config
from cicadahoist.control.claim_sweeper import ClaimSweeper
from cicadahoist.control.context import ControlContext
from cicadahoist.control.engine_duty import EngineDuty
from cicadahoist.control.figure_calls import FigureCalls
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.planner import Planner
from cicadahoist.control.target_assembly import build_target_tasks
from cicadahoist.control.targets import Targets
from cicadahoist.control.usage_report import UsageReporter
from cicadahoist.control.usage_sources import UsageSources
from cicadahoist.outside.engine import ENGINES
from cicadahoist.outside.platform import USAGE_INTAKES
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.policy.roles import ROLE_PLANNERS
from cicadahoist.protocol.records import lease_name
from cicadahoist.settings import (
    ENGINE_ADAPTER,
    ROLE_PLANNER,
    USAGE_ADAPTER,
    USAGE_WINDOW,
)


def add_control(application: Application, config: Config) -> None:
    """Add the tasks of the control process to an application."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    context = ControlContext(config, application.clock, reactor)
    application.add(context.link)
    tasks = (
        *_build_engine_tasks(context),
        *build_target_tasks(context),
        *_build_usage_tasks(context),
    )
    for task in tasks:
        application.add(task)


def _build_engine_tasks(context: ControlContext) -> list[Any]:
    adapters = ENGINES.get(context.config.read(ENGINE_ADAPTER))
    engines = adapters.from_config(context.config, context.reactor)
    targets = Targets(TableStore(context.store))
    authority = context.build_authority(lease_name(context.zone, 'engines'))
    duty = EngineDuty(
        authority, engines, context.link, context.clock, targets, context.zone
    )
    reader = FleetReader(
        engines, targets, context.link, context.clock, context.zone
    )
    task = context.build_lease_task(
        authority,
        duty,
        lambda: context.link.is_up() and reader.is_reachable(),
    )
    duty.set_plan_handler(task.handle)
    roles = ROLE_PLANNERS.get(context.config.read(ROLE_PLANNER))
    return [task, Planner(task, duty, reader, roles(), context.clock)]


def _build_usage_tasks(context: ControlContext) -> list[Any]:
    adapters = USAGE_INTAKES.get(context.config.read(USAGE_ADAPTER))
    intake = adapters.from_config(context.config, context.reactor)
    authority = context.build_authority(lease_name('usage', '0'))
    reporter = UsageReporter(
        UsageSources(context.store),
        FigureCalls(context.store, intake),
        context.link,
        context.clock,
        context.config.read(USAGE_WINDOW),
    )
    reporter.set_lease_check(authority.lease.is_holder)
    sweeper = ClaimSweeper(
        context.store, context.clock, authority.lease.is_holder
    )
    task = context.build_lease_task(authority, reporter, context.link.is_up)
    return [task, sweeper]
