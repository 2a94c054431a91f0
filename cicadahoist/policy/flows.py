"""Start-time fair queueing of the flows of one pool."""

import heapq
from collections import deque
from itertools import count

from cicadahoist.policy.tickets import Ticket

# A ticket with less time than this to its start deadline is due soon.
DUE_SOON_MS = 20_000

FlowKey = tuple[str, str, str]


class Backlog:
    """
    Sum of queued work.

    :param request_count: number of queued requests
    :param slot_hold_ms: total time for which they will occupy slots
    :param prefill_tokens: total of their prompt tokens that are not cached
    """

    __slots__ = ('prefill_tokens', 'request_count', 'slot_hold_ms')

    def __init__(
        self,
        request_count: int = 0,
        slot_hold_ms: float = 0,
        prefill_tokens: float = 0,
    ) -> None:
        self.request_count = request_count
        self.slot_hold_ms = slot_hold_ms
        self.prefill_tokens = prefill_tokens

    def add(self, other: 'Backlog', factor: float = 1) -> None:
        """Add other work times a factor; a factor of -1 subtracts it."""
        self.request_count += round(factor * other.request_count)
        self.slot_hold_ms += factor * other.slot_hold_ms
        self.prefill_tokens += factor * other.prefill_tokens


class QueuedTicket:
    """
    A ticket in a queue.

    :param work: work that it adds to the backlog
    :param latest_start_ms: latest start that still meets its deadlines
    :param cheap_only_until_ms: time until which it waits for reclaimable
        targets only, if it is in the cheap lane
    """

    __slots__ = (
        'cheap_only_until_ms',
        'is_waiting',
        'latest_start_ms',
        'ticket',
        'work',
    )

    def __init__(
        self,
        ticket: Ticket,
        work: Backlog,
        latest_start_ms: int,
        cheap_only_until_ms: int,
    ) -> None:
        self.ticket = ticket
        self.work = work
        self.latest_start_ms = latest_start_ms
        self.cheap_only_until_ms = cheap_only_until_ms
        self.is_waiting = True


class Flow:
    """Queued tickets of one workspace on one route in one lane."""

    __slots__ = (
        'backlog',
        'finish_tag',
        'is_in_heap',
        'key',
        'priority',
        'queue',
        'running_count',
        'weight',
    )

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.queue: deque[QueuedTicket] = deque()
        self.backlog = Backlog()
        self.finish_tag = float(0)
        self.is_in_heap = False
        self.priority = 0
        self.running_count = 0
        self.weight = 1

    def peek_waiting(self) -> QueuedTicket | None:
        """Return the first waiting ticket; drop those that were removed."""
        while self.queue and not self.queue[0].is_waiting:
            self.queue.popleft()
        return self.queue[0] if self.queue else None


class Lane:
    """
    Flows of one pool that compete for the same capacity.

    Flows with a lower priority number go first. Within a priority, the flow
    with the lowest start tag goes first. A flow that was idle starts at the
    virtual time, and so goes before the next request of each flow with a
    backlog.
    """

    __slots__ = (
        '_backlogs_by_priority',
        '_heap',
        '_tie_breakers',
        '_weights_by_priority',
        'virtual_time',
    )

    def __init__(self) -> None:
        self.virtual_time = float(0)
        self._heap: list[tuple[int, float, int, Flow]] = []
        self._tie_breakers = count()
        self._backlogs_by_priority: dict[int, Backlog] = {}
        self._weights_by_priority: dict[int, int] = {}

    def push(self, flow: Flow) -> None:
        """Add a flow with a waiting ticket to the heap."""
        if flow.is_in_heap:
            return
        flow.is_in_heap = True
        start_tag = max(self.virtual_time, flow.finish_tag)
        entry = (flow.priority, start_tag, next(self._tie_breakers), flow)
        heapq.heappush(self._heap, entry)

    def pop(self) -> Flow | None:
        """Remove and return the flow that goes next, or ``None``."""
        if not self._heap:
            return None
        _, start_tag, _, flow = heapq.heappop(self._heap)
        flow.is_in_heap = False
        flow.finish_tag = max(flow.finish_tag, start_tag)
        return flow

    def count_due_soon(self, now_ms: int) -> int:
        """Return 1 if the next ticket is due to start soon, else 0."""
        queued = self._heap[0][-1].peek_waiting() if self._heap else None
        if queued is None:
            return 0
        return int(queued.latest_start_ms - now_ms < DUE_SOON_MS)

    def charge(self, flow: Flow, weighted_tokens: int) -> None:
        """
        Advance the virtual time and the flow's finish tag for a start.

        :param weighted_tokens: work of the request that starts
        """
        self.virtual_time = max(self.virtual_time, flow.finish_tag)
        flow.finish_tag += weighted_tokens / flow.weight

    def add_work(self, flow: Flow, work: Backlog) -> None:
        """Add queued work of a flow."""
        priority = flow.priority
        if not flow.backlog.request_count:
            weights = self._weights_by_priority
            weights[priority] = weights.get(priority, 0) + flow.weight
        flow.backlog.add(work)
        backlogs = self._backlogs_by_priority
        backlogs.setdefault(priority, Backlog()).add(work)

    def remove_work(self, flow: Flow, work: Backlog) -> None:
        """Remove work of a flow that is no longer queued."""
        flow.backlog.add(work, -1)
        self._backlogs_by_priority[flow.priority].add(work, -1)
        if not flow.backlog.request_count:
            self._weights_by_priority[flow.priority] -= flow.weight

    def sum_work_ahead(self, flow: Flow) -> Backlog:
        """
        Return the work that is served before a new request of a flow.

        While the flow's own backlog is served, the other flows of its priority
        get their weighted shares.
        """
        ahead = Backlog()
        priority, weight = flow.priority, flow.weight
        for other_priority, backlog in self._backlogs_by_priority.items():
            if other_priority < priority:
                ahead.add(backlog)
        same_priority = self._backlogs_by_priority.get(priority)
        if same_priority is None or not flow.backlog.request_count:
            return ahead
        weight_sum = max(weight, self._weights_by_priority[priority])
        if (
            same_priority.slot_hold_ms * weight
            < flow.backlog.slot_hold_ms * weight_sum
        ):
            ahead.add(same_priority)
        else:
            ahead.add(flow.backlog, weight_sum / weight)
        return ahead

    def sum_backlog(self) -> Backlog:
        """Return the queued work of all flows."""
        total = Backlog()
        for backlog in self._backlogs_by_priority.values():
            total.add(backlog)
        return total
