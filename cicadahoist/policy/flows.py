"""Queues of one pool: flows in the order of start-time fair queueing."""

import heapq
from collections import deque
from itertools import count

from cicadahoist.policy.tickets import Ticket

PRESSING_MS = 20_000

FlowKey = tuple[str, str, str]


class Backlog:
    """
    Queued work.

    :param requests: queued requests
    :param hold_ms: time for which they will hold slots, summed up
    :param prefill: their prompt tokens
    """

    __slots__ = ('hold_ms', 'prefill', 'requests')

    def __init__(
        self, requests: int = 0, hold_ms: float = 0, prefill: float = 0
    ) -> None:
        self.requests = requests
        self.hold_ms = hold_ms
        self.prefill = prefill

    def add(self, other: 'Backlog', factor: float = 1) -> None:
        """Add other work, scaled by a factor; -1 takes it away."""
        self.requests += round(factor * other.requests)
        self.hold_ms += factor * other.hold_ms
        self.prefill += factor * other.prefill


class QueuedTicket:
    """
    A ticket in a queue.

    :param work: what it adds to the backlog
    :param latest_ms: when it has to start at the latest
    :param released_ms: until when it waits for cheap targets only
    """

    __slots__ = ('latest_ms', 'released_ms', 'ticket', 'waiting', 'work')

    def __init__(
        self, ticket: Ticket, work: Backlog, latest_ms: int, released_ms: int
    ) -> None:
        self.ticket = ticket
        self.work = work
        self.latest_ms = latest_ms
        self.released_ms = released_ms
        self.waiting = True


class Flow:
    """Tickets of one workspace on one route."""

    __slots__ = (
        'backlog',
        'finish_tag',
        'in_heap',
        'key',
        'priority',
        'queue',
        'running',
        'weight',
    )

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.queue: deque[QueuedTicket] = deque()
        self.backlog = Backlog()
        self.finish_tag = float(0)
        self.in_heap = False
        self.priority = 0
        self.running = 0
        self.weight = 1

    def head(self) -> QueuedTicket | None:
        """Return the first ticket that still waits."""
        while self.queue and not self.queue[0].waiting:
            self.queue.popleft()
        return self.queue[0] if self.queue else None


class Lane:
    """
    Flows of one pool that compete for the same room.

    Flows with a better priority go first. Among equals, the one with the
    lowest start tag does: a flow that comes back after a pause starts at the
    virtual time, hence before the next request of any flow with a backlog.
    """

    __slots__ = (
        '_backlogs_by_priority',
        '_heap',
        '_numbers',
        '_weights_by_priority',
        'virtual',
    )

    def __init__(self) -> None:
        self.virtual = float(0)
        self._heap: list[tuple[int, float, int, Flow]] = []
        self._numbers = count()
        self._backlogs_by_priority: dict[int, Backlog] = {}
        self._weights_by_priority: dict[int, int] = {}

    def push(self, flow: Flow) -> None:
        """Let a flow with a waiting ticket compete."""
        if flow.in_heap:
            return
        flow.in_heap = True
        start = max(self.virtual, flow.finish_tag)
        entry = (flow.priority, start, next(self._numbers), flow)
        heapq.heappush(self._heap, entry)

    def pop(self) -> Flow | None:
        """Take out the flow that goes next."""
        if not self._heap:
            return None
        _, start, _, flow = heapq.heappop(self._heap)
        flow.in_heap = False
        flow.finish_tag = max(flow.finish_tag, start)
        return flow

    def pressing(self, now_ms: int) -> int:
        """Return 1 if the next ticket has to start soon, else 0."""
        queued = self._heap[0][-1].head() if self._heap else None
        if queued is None:
            return 0
        return int(queued.latest_ms - now_ms < PRESSING_MS)

    def charge(self, flow: Flow, units: int) -> None:
        """Count a request of a flow as started."""
        self.virtual = max(self.virtual, flow.finish_tag)
        flow.finish_tag += units / flow.weight

    def enter(self, flow: Flow, work: Backlog) -> None:
        """Count queued work."""
        priority = flow.priority
        if not flow.backlog.requests:
            weights = self._weights_by_priority
            weights[priority] = weights.get(priority, 0) + flow.weight
        flow.backlog.add(work)
        backlogs = self._backlogs_by_priority
        backlogs.setdefault(priority, Backlog()).add(work)

    def leave(self, flow: Flow, work: Backlog) -> None:
        """Count work as no longer queued."""
        flow.backlog.add(work, -1)
        self._backlogs_by_priority[flow.priority].add(work, -1)
        if not flow.backlog.requests:
            self._weights_by_priority[flow.priority] -= flow.weight

    def ahead_of(self, flow: Flow) -> Backlog:
        """
        Return the work that goes before the next request of a flow.

        While the flow works off its own backlog, the other flows of its
        priority get their shares.
        """
        ahead = Backlog()
        priority, weight = flow.priority, flow.weight
        for other, backlog in self._backlogs_by_priority.items():
            if other < priority:
                ahead.add(backlog)
        same = self._backlogs_by_priority.get(priority)
        if same is None or not flow.backlog.requests:
            return ahead
        weights = max(weight, self._weights_by_priority[priority])
        if same.hold_ms * weight < flow.backlog.hold_ms * weights:
            ahead.add(same)
        else:
            ahead.add(flow.backlog, weights / weight)
        return ahead

    def total(self) -> Backlog:
        """Return all queued work."""
        total = Backlog()
        for backlog in self._backlogs_by_priority.values():
            total.add(backlog)
        return total
