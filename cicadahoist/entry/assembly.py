"""Builds the tasks of one entry."""

from typing import Any

from twisted.internet.task import LoopingCall

from cicadahoist.application import Application
from cicadahoist.clock import MS_PER_S
from cicadahoist.config import Config
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.dispatcher import TICK_MS
from cicadahoist.entry.peering import Peering
from cicadahoist.entry.server import EntryServer
from cicadahoist.entry.target_poller import TargetPoller
from cicadahoist.mesh.instance_list import InstanceListTask
from cicadahoist.mesh.local_port import LocalPort
from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.mesh.usage import UsageLedger
from cicadahoist.mesh.zone_status import ZoneStatusWriter
from cicadahoist.outside.store import STORES
from cicadahoist.settings import STORE_ADAPTER


class PolicyTick:
    """Runs the periodic parts of the policy every second."""

    __slots__ = ('_context', '_loop')

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._loop = LoopingCall(self._tick)

    async def start(self) -> None:
        """Start the periodic run."""
        self._loop.start(TICK_MS / MS_PER_S)

    async def stop(self) -> None:
        """Stop the periodic run."""
        self._loop.stop()

    def _tick(self) -> None:
        self._context.dispatcher.tick()
        self._context.isolation.tick()


def add_entry(application: Application, config: Config) -> None:
    """Add the tasks of an entry to an application."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    node = MeshNode.from_config(config, application.clock, reactor)
    store = STORES.get(config.read(STORE_ADAPTER)).from_config(config, reactor)
    table_sync = TableSync.from_config(config, store, node, application.clock)
    context = EntryContext.from_config(
        config, application.clock, application.metrics, store, reactor
    )
    usage = UsageLedger.from_config(config, node, store, application.clock)
    context.billing.set_recorder(usage)
    _add_all(
        application,
        node,
        LocalPort.from_config(config, node, application.clock, reactor),
        InstanceListTask.from_config(config, node, application.clock, reactor),
        table_sync,
        usage,
        ZoneStatusWriter(node, table_sync, store, application.clock),
        PolicyTick(context),
        Peering(context, node),
        TargetPoller(context, node),
        EntryServer(config, context, table_sync, reactor),
    )


def _add_all(application: Application, *tasks: Any) -> None:
    for task in tasks:
        application.add(task)
