"""Hands counts to peers and waits until they acknowledge copies."""

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.ids import rendezvous
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import InstanceInfo, UsageCopied, UsageCount

COPY_COUNT = 2
RESEND_MS = 100
COPY_TIMEOUT_MS = 400


class PendingCount:
    """
    A count whose copies are not yet acknowledged.

    :param count: the count
    :param needed_count: how many copies are wanted
    """

    __slots__ = (
        'requested_peers',
        'acknowledged_peers',
        'count',
        'done',
        'needed_count',
    )

    def __init__(self, count: UsageCount, needed_count: int) -> None:
        self.count = count
        self.needed_count = needed_count
        self.requested_peers: list[str] = []
        self.acknowledged_peers: set[str] = set()
        self.done: Deferred[None] = Deferred()

    def finish(self) -> None:
        """End the wait."""
        if not self.done.called:
            self.done.callback(None)

    @property
    def has_enough_copies(self) -> bool:
        """Whether as many peers hold a copy as are needed."""
        return len(self.acknowledged_peers) >= self.needed_count


class UsageReplication:
    """
    Copies of own counts at peers of the zone.

    :param node: the mesh
    :param clock: gives the time
    """

    __slots__ = ('_clock', '_node', '_pending_by_request')

    def __init__(self, node: MeshNode, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._pending_by_request: dict[str, PendingCount] = {}
        node.subscribe(UsageCopied, self._on_copied)

    async def replicate(self, count: UsageCount) -> int:
        """
        Hand a count to ``COPY_COUNT`` peers, or to all where there are fewer.

        Peers that do not answer within ``RESEND_MS`` are made up for by
        others; after ``COPY_TIMEOUT_MS`` the wait ends.

        :return: how many peers acknowledged a copy
        """
        pending = PendingCount(count, self._count_needed())
        if pending.needed_count == 0:
            return 0
        self._pending_by_request[count.request] = pending
        self._send_copies(pending)
        timers = [
            self._clock.call_later(RESEND_MS, self._send_copies, pending),
            self._clock.call_later(COPY_TIMEOUT_MS, pending.finish),
        ]
        await pending.done
        self._pending_by_request.pop(count.request, None)
        for timer in timers:
            if timer.active():
                timer.cancel()
        return len(pending.acknowledged_peers)

    def _count_needed(self) -> int:
        return min(COPY_COUNT, len(self._node.view.zone_peers()))

    def _send_copies(self, pending: PendingCount) -> None:
        pending.needed_count = self._count_needed()
        if pending.has_enough_copies:
            pending.finish()
            return
        for name in self._choose_peers(pending):
            pending.requested_peers.append(name)
            self._node.send_to(name, pending.count)

    def _choose_peers(self, pending: PendingCount) -> list[str]:
        view = self._node.view
        own = self._node.info.name
        live = view.zone_peers()
        reachable = rendezvous(own, list(view.reachable()), len(live))
        others = [name for name in live if name not in reachable]
        fresh = [
            name
            for name in reachable + others
            if name not in pending.requested_peers
        ]
        missing = pending.needed_count - len(pending.acknowledged_peers)
        # With too few others, those asked before are asked again.
        again = [
            name
            for name in pending.requested_peers
            if name not in pending.acknowledged_peers
        ]
        return (fresh + again)[:missing]

    def _on_copied(self, sender: InstanceInfo, copied: UsageCopied) -> None:
        for request in copied.requests:
            pending = self._pending_by_request.get(request)
            if pending is not None:
                pending.acknowledged_peers.add(sender.name)
                if pending.has_enough_copies:
                    pending.finish()
