"""Queue of one pool: lanes for urgent, batch and cheap-tolerant requests."""

import heapq
from collections.abc import Callable
from itertools import count

from cicadahoist.policy.flows import (
    Backlog,
    Flow,
    FlowKey,
    Lane,
    QueuedTicket,
)
from cicadahoist.policy.lanes import (
    BATCH,
    CHEAP,
    LANES,
    URGENT,
    limit_wait_ms,
    ratio,
    room_of,
    slot_wait_ms,
)
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.state import PoolCapacity
from cicadahoist.policy.tickets import Ticket

FLOWS_KEPT = 10_000

KeyOf = Callable[[Ticket], FlowKey]


class PoolQueue:
    """
    Requests that wait for the targets of one pool.

    :param limits: limits on open requests
    :param key_of: names the flow of a ticket, its lane first
    """

    __slots__ = (
        '_blocked',
        '_flows_by_key',
        '_key_of',
        '_lanes',
        '_limits',
        '_numbers',
        '_releases',
        '_size',
        'pressed_until_ms',
    )

    def __init__(self, limits: LimitShares, key_of: KeyOf) -> None:
        self._limits = limits
        self._key_of = key_of
        self._lanes = {name: Lane() for name in LANES}
        self._flows_by_key: dict[FlowKey, Flow] = {}
        self._blocked: dict[FlowKey, Flow] = {}
        self._releases: list[tuple[int, int, QueuedTicket]] = []
        self._numbers = count()
        self._size = 0
        self.pressed_until_ms = 0

    def is_empty(self) -> bool:
        """Tell whether no request waits."""
        return not self._size

    def wait_ms(
        self, queued: QueuedTicket, totals: PoolCapacity, now_ms: int
    ) -> float:
        """Return how long a ticket is likely to wait."""
        key = self._key_of(queued.ticket)
        flow = self._flow(key, queued.ticket)
        ahead = self._ahead(flow)
        most = self._limits.most_open(queued.ticket.rule, now_ms)
        if not ahead.requests and room_of(key[0], totals):
            return 0
        return max(
            slot_wait_ms(key[0], ahead, queued.work, totals),
            ratio(ahead.prefill, totals.tokens_per_ms),
            limit_wait_ms(flow, queued, most),
        )

    def append(self, queued: QueuedTicket) -> None:
        """Queue a ticket."""
        key = self._key_of(queued.ticket)
        flow = self._flow(key, queued.ticket)
        self._flows_by_key[key] = flow
        flow.queue.append(queued)
        lane = self._lanes[key[0]]
        lane.enter(flow, queued.work)
        self._size += 1
        if key not in self._blocked:
            lane.push(flow)
        if key[0] == CHEAP:
            entry = (queued.released_ms, next(self._numbers), queued)
            heapq.heappush(self._releases, entry)

    def take(self, totals: PoolCapacity, now_ms: int) -> list[QueuedTicket]:
        """Return tickets that start now, at most one a target with room."""
        self._release(now_ms)
        taken = self._take_lane(URGENT, totals.urgent, now_ms)
        room = max(0, totals.batch - len(taken))
        if now_ms < self.pressed_until_ms:
            room = min(room, self._lanes[BATCH].pressing(now_ms))
        batch = self._take_lane(BATCH, room, now_ms)
        cheap_room = min(totals.cheap, room - len(batch))
        return taken + batch + self._take_lane(CHEAP, cheap_room, now_ms)

    def remove(self, queued: QueuedTicket) -> None:
        """Remove a waiting ticket."""
        queued.waiting = False
        key = self._key_of(queued.ticket)
        self._lanes[key[0]].leave(self._flows_by_key[key], queued.work)
        self._size -= 1

    def finished(self, ticket: Ticket) -> None:
        """Count a started ticket as ended and let its flow go on."""
        key = self._key_of(ticket)
        flow = self._flows_by_key.get(key)
        if flow is None:
            return
        flow.running = max(0, flow.running - 1)
        if self._blocked.pop(key, None) is not None:
            self._lanes[key[0]].push(flow)
        if len(self._flows_by_key) > FLOWS_KEPT:
            self._prune()

    def unblock_all(self) -> None:
        """Let flows compete again whose limit may have grown."""
        for key, flow in self._blocked.items():
            self._lanes[key[0]].push(flow)
        self._blocked.clear()

    def total(self) -> Backlog:
        """Return all queued work."""
        total = Backlog()
        for lane in self._lanes.values():
            total.add(lane.total())
        return total

    def _take_lane(
        self, name: str, room: int, now_ms: int
    ) -> list[QueuedTicket]:
        lane = self._lanes[name]
        taken: list[QueuedTicket] = []
        while len(taken) < room:
            flow = lane.pop()
            if flow is None:
                break
            queued = flow.head()
            if queued is None:
                continue
            if not self._limits.may_open(
                queued.ticket.rule, flow.running, now_ms
            ):
                self._blocked[flow.key] = flow
                continue
            taken.append(self._start(lane, flow, queued))
        return taken

    def _start(
        self, lane: Lane, flow: Flow, queued: QueuedTicket
    ) -> QueuedTicket:
        flow.queue.popleft()
        flow.running += 1
        lane.charge(flow, queued.ticket.cost.units)
        lane.leave(flow, queued.work)
        queued.waiting = False
        self._limits.started(queued.ticket.rule)
        self._size -= 1
        if flow.head() is not None:
            lane.push(flow)
        return queued

    def _release(self, now_ms: int) -> None:
        while self._releases and self._releases[0][0] <= now_ms:
            _, _, queued = heapq.heappop(self._releases)
            if queued.waiting:
                self._move(queued)

    def _move(self, queued: QueuedTicket) -> None:
        ticket = queued.ticket
        self.remove(queued)
        ticket.cheap_only = False
        released_ms = queued.released_ms
        self.append(
            QueuedTicket(ticket, queued.work, queued.latest_ms, released_ms)
        )

    def _flow(self, key: FlowKey, ticket: Ticket) -> Flow:
        flow = self._flows_by_key.get(key) or Flow(key)
        if not flow.backlog.requests:
            flow.priority = ticket.rule.priority
            flow.weight = max(1, ticket.rule.weight)
        return flow

    def _ahead(self, flow: Flow) -> Backlog:
        lane = self._lanes[flow.key[0]]
        ahead = lane.ahead_of(flow)
        if flow.key[0] != URGENT:
            ahead.add(self._lanes[URGENT].total())
        if flow.key[0] == CHEAP:
            ahead.add(self._lanes[BATCH].total())
        return ahead

    def _prune(self) -> None:
        for key, flow in list(self._flows_by_key.items()):
            busy = flow.running or flow.backlog.requests
            if not busy and not flow.in_heap:
                self._flows_by_key.pop(key)
