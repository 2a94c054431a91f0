"""Hands counts to peers and waits until they acknowledge copies."""

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.ids import rendezvous
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import InstanceInfo, UsageCopied, UsageCount

COPIES = 2
RESEND_MS = 100
COPY_LIMIT_MS = 400


class Pending:
    """
    A count whose copies are not yet acknowledged.

    :param count: the count
    :param needed: how many copies are wanted
    """

    __slots__ = ('asked', 'copied', 'count', 'done', 'needed')

    def __init__(self, count: UsageCount, needed: int) -> None:
        self.count = count
        self.needed = needed
        self.asked: list[str] = []
        self.copied: set[str] = set()
        self.done: Deferred[None] = Deferred()

    def finish(self) -> None:
        """End the wait."""
        if not self.done.called:
            self.done.callback(None)

    @property
    def is_enough(self) -> bool:
        """Whether as many peers hold a copy as are needed."""
        return len(self.copied) >= self.needed


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
        self._pending_by_request: dict[str, Pending] = {}
        node.subscribe(UsageCopied, self._on_copied)

    async def replicate(self, count: UsageCount) -> int:
        """
        Hand a count to ``COPIES`` peers, or to all where there are fewer.

        Peers that do not answer within ``RESEND_MS`` are made up for by
        others; after ``COPY_LIMIT_MS`` the wait ends.

        :return: how many peers acknowledged a copy
        """
        pending = Pending(count, self._needed())
        if pending.needed == 0:
            return 0
        self._pending_by_request[count.request] = pending
        self._ask(pending)
        timers = [
            self._clock.call_later(RESEND_MS, self._ask, pending),
            self._clock.call_later(COPY_LIMIT_MS, pending.finish),
        ]
        await pending.done
        self._pending_by_request.pop(count.request, None)
        for timer in timers:
            if timer.active():
                timer.cancel()
        return len(pending.copied)

    def _needed(self) -> int:
        return min(COPIES, len(self._node.view.zone_peers()))

    def _ask(self, pending: Pending) -> None:
        pending.needed = self._needed()
        if pending.is_enough:
            pending.finish()
            return
        for name in self._next_peers(pending):
            pending.asked.append(name)
            self._node.send_to(name, pending.count)

    def _next_peers(self, pending: Pending) -> list[str]:
        view = self._node.view
        own = self._node.info.name
        live = view.zone_peers()
        reachable = rendezvous(own, list(view.reachable()), len(live))
        others = [name for name in live if name not in reachable]
        fresh = [
            name for name in reachable + others if name not in pending.asked
        ]
        missing = pending.needed - len(pending.copied)
        # With too few others, those asked before are asked again.
        again = [name for name in pending.asked if name not in pending.copied]
        return (fresh + again)[:missing]

    def _on_copied(self, sender: InstanceInfo, copied: UsageCopied) -> None:
        for request in copied.requests:
            pending = self._pending_by_request.get(request)
            if pending is not None:
                pending.copied.add(sender.name)
                if pending.is_enough:
                    pending.finish()
