"""Assembles the duties that one instance at a time holds."""

from collections.abc import Callable
from typing import Any

from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.platform.clients import (
    ORDER_TIMEOUT_MS,
    new_platform_client,
    new_store_client,
)
from cicadahoist.platform.cloud import PlatformCalls
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.objects import LeaseObjects
from cicadahoist.platform.settings_file import Address, InstanceSettings
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.orders import OrderBook
from cicadahoist.protocol.timing import LeaseTiming
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.duties import (
    LEASE_KIND,
    LEASE_NAME,
    NoTimer,
    PlatformDuties,
)
from cicadahoist.serving.engine_demand import EngineDemand
from cicadahoist.serving.fence_register import FenceRegister
from cicadahoist.serving.fleet_orders import RoleChangeJob, TargetScalingJob
from cicadahoist.serving.held_parts_job import HeldPartsJob
from cicadahoist.serving.load_exchange import PEER_KIND
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.usage_report import UsageReportJob
from cicadahoist.serving.version_history import VersionHistoryJob

USAGE_PERIOD_MS = 800
ORDER_PERIOD_MS = 500
# 20 samples within the shortest window of the load.
DEMAND_PERIOD_MS = 100
HELD_PARTS_PERIOD_MS = 3000
# A holder stops using the lease twice this time before its term ends.
LEASE_MARGIN_MS = 200


class DutyAssembly:
    """
    Builds the task that competes for the lease of the duties.

    :param orders: address of the platform's interface for orders and reports
    :param incarnation: unique name of this process
    """

    __slots__ = ('_context', '_incarnation', '_orders', '_reactor', '_settings')

    def __init__(
        self,
        context: ServingContext,
        settings: InstanceSettings,
        orders: Address,
        incarnation: str,
        reactor: Any,
    ) -> None:
        self._context = context
        self._settings = settings
        self._orders = orders
        self._incarnation = incarnation
        self._reactor = reactor

    def build_task(
        self,
        engines: EngineCalls,
        peers: Peers,
        may_stand: Callable[[], bool],
    ) -> 'LapsingLease':
        """
        Return the lease task.

        :param engines: sends orders to engines
        :param peers: computes how often this instance checks the lease
        :param may_stand: returns whether this instance may acquire and hold
            the lease
        """
        settings = self._settings
        store = new_store_client(settings.store_address, self._reactor)
        calls = PlatformCalls.from_address(
            self._orders,
            new_platform_client(self._reactor),
            settings.instance,
            ORDER_TIMEOUT_MS,
        )
        clock = self._context.clock
        duties = PlatformDuties(
            clock,
            self._context.true_time.now_ms,
            store,
            FenceRegister(store, self._incarnation),
        )
        usage = UsageReportJob(
            store,
            calls,
            PEER_KIND,
            settings.usage_window_ms,
            settings.usage_due_ms,
        )
        duties.add(usage, USAGE_PERIOD_MS)
        demand = EngineDemand(self._context, settings.zones, peers)
        duties.add(demand, DEMAND_PERIOD_MS)
        duties.add(
            TargetScalingJob(self._context, calls, settings.zones, demand),
            ORDER_PERIOD_MS,
        )
        duties.add(
            RoleChangeJob(self._context, engines, demand), ORDER_PERIOD_MS
        )
        duties.add(
            VersionHistoryJob(store, self._context.streams, clock),
            ORDER_PERIOD_MS,
        )
        duties.add(
            HeldPartsJob(store, self._context.gossip.held_parts),
            HELD_PARTS_PERIOD_MS,
        )
        task = LeaseTask(
            self._build_authority(),
            duties,
            LeaseObjects(store, LEASE_KIND),
            clock,
            TermDeadlines(NoTimer()),
            may_stand=may_stand,
            may_hold=lambda: may_stand() and not duties.is_token_taken,
            standby_check_period_s=lambda: peers.compute_check_period_s(
                clock.now_ms()
            ),
        )
        duties.set_term(task)
        self._context.gossip.holds_duties = lambda: task.is_holder
        return LapsingLease(task)

    def _build_authority(self) -> Authority:
        timing = LeaseTiming(
            term_ms=self._settings.term_ms,
            margin_ms=LEASE_MARGIN_MS,
            order_bound_ms=ORDER_TIMEOUT_MS,
        )
        lease = LeaseKeeper(
            LEASE_NAME, self._incarnation, timing, may_release=False
        )
        return Authority(lease, OrderBook(lease))


class LapsingLease:
    """
    Lease task that lets the lease lapse when the process ends.

    The lease is not released, so that the holder never changes within a term.
    """

    __slots__ = ('_task',)

    def __init__(self, task: LeaseTask) -> None:
        self._task = task

    async def start(self) -> None:
        """Start the task."""
        await self._task.start()

    async def stop(self) -> None:
        """Do nothing, so that the lease is not released."""
