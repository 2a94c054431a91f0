"""Exchanges load, demand, crash blames and drain notices with peers."""

from typing import Any

from twisted.internet.task import LoopingCall

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.entry.context import EntryContext
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import (
    Blame,
    Demand,
    DrainNotice,
    InstanceInfo,
    LoadView,
    Quarantined,
    SuspectRun,
)
from cicadahoist.protocol.drain_notices import DrainNotices

EXCHANGE_PERIOD_MS = 500


class Peering:
    """
    Publishes the state of this entry and applies that of its peers.

    :param context: shared objects of the entry
    :param node: this instance's node in the mesh
    """

    __slots__ = ('_context', '_drains', '_loop', '_node')

    def __init__(self, context: EntryContext, node: MeshNode) -> None:
        self._context = context
        self._node = node
        self._drains = DrainNotices()
        self._loop = LoopingCall(self._exchange)
        self._loop.clock = context.clock.scheduler
        node.subscribe(LoadView, self._apply_load)
        node.subscribe(Demand, self._apply_demand)
        node.subscribe(DrainNotice, self._apply_drain)
        for kind in (Blame, Quarantined, SuspectRun):
            node.subscribe(kind, self._apply_isolation)
        context.isolation.set_broadcast(node.broadcast)

    async def start(self) -> None:
        """Start the periodic exchange."""
        self._loop.start(EXCHANGE_PERIOD_MS / MS_PER_S)

    async def stop(self) -> None:
        """Stop the periodic exchange."""
        self._loop.stop()

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def _exchange(self) -> None:
        dispatcher = self._context.dispatcher
        now_ms = self._clock.now_ms()
        members = sorted(self._node.view.not_gone())
        dispatcher.limits.sync_members(members, now_ms)
        self._node.broadcast_zone(dispatcher.loads.build_view())
        work = dispatcher.measure_work()
        self._node.broadcast_zone(work)
        self._node.send_to(self._node.info.name, work)
        self._node.broadcast(dispatcher.limits.publish(now_ms))

    def _apply_load(self, sender: InstanceInfo, view: LoadView) -> None:
        loads = self._context.dispatcher.loads
        loads.apply_peer_view(sender.name, view, self._clock.now_ms())

    def _apply_demand(self, sender: InstanceInfo, demand: Demand) -> None:
        limits = self._context.dispatcher.limits
        is_two_way = sender.name in self._node.view.reachable()
        if sender.zone != self._node.info.zone:
            is_two_way = self._node.view.is_live(sender)
        limits.apply_demand(
            sender.name, demand, self._clock.now_ms(), is_two_way=is_two_way
        )

    def _apply_isolation(self, sender: InstanceInfo, message: Any) -> None:
        self._context.isolation.apply_message(message)

    def _apply_drain(self, sender: InstanceInfo, notice: DrainNotice) -> None:
        """Stop sending work to a target, then report its open requests."""
        self._drains.apply(notice)
        is_drained = self._drains.is_drained(notice.target)
        loads = self._context.dispatcher.loads
        loads.set_draining(
            notice.target, self._clock.now_ms(), active=is_drained
        )
        own = self._node.info
        open_requests = self._context.open_requests.count_on(notice.target)
        for ack in self._drains.make_acks(
            own.name, own.incarnation, {notice.target: open_requests}
        ):
            if ack.target == notice.target:
                self._node.send_to(sender.name, ack)
