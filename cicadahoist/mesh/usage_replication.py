"""Replicates usage counts to peers, and waits for acknowledgements."""

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
    A count that waits for acknowledgements.

    :param count: the count
    :param needed_count: number of acknowledgements to wait for
    """

    __slots__ = (
        'acknowledged_peers',
        'count',
        'done',
        'needed_count',
        'requested_peers',
    )

    def __init__(self, count: UsageCount, needed_count: int) -> None:
        self.count = count
        self.needed_count = needed_count
        self.requested_peers: list[str] = []
        self.acknowledged_peers: set[str] = set()
        self.done: Deferred[None] = Deferred()

    def finish(self) -> None:
        """End the wait; repeated calls have no effect."""
        if not self.done.called:
            self.done.callback(None)

    @property
    def has_enough_copies(self) -> bool:
        """Whether enough peers acknowledged a copy."""
        return len(self.acknowledged_peers) >= self.needed_count


class UsageReplication:
    """
    Sends copies of the counts of this process to peers of the zone.

    :param node: the mesh node of this process
    :param clock: time source
    """

    __slots__ = ('_clock', '_node', '_pending_by_request')

    def __init__(self, node: MeshNode, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._pending_by_request: dict[str, PendingCount] = {}
        node.subscribe(UsageCopied, self._on_copied)

    async def replicate(self, count: UsageCount) -> int:
        """
        Copy a count to ``COPY_COUNT`` peers, or to all if there are fewer.

        Copies not acknowledged within ``RESEND_MS`` are sent to other peers
        as well; after ``COPY_TIMEOUT_MS`` the wait ends.

        :return: number of peers that acknowledged a copy
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
        new_peers = [
            name
            for name in reachable + others
            if name not in pending.requested_peers
        ]
        missing = pending.needed_count - len(pending.acknowledged_peers)
        # With too few new peers, the copy is resent to the earlier ones.
        unacknowledged_peers = [
            name
            for name in pending.requested_peers
            if name not in pending.acknowledged_peers
        ]
        return (new_peers + unacknowledged_peers)[:missing]

    def _on_copied(self, sender: InstanceInfo, copied: UsageCopied) -> None:
        for request in copied.requests:
            pending = self._pending_by_request.get(request)
            if pending is not None:
                pending.acknowledged_peers.add(sender.name)
                if pending.has_enough_copies:
                    pending.finish()
