"""Queue of one pool, with lanes for urgent, batch and cheap-only requests."""

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
    count_targets_with_room,
    divide_or_zero,
    estimate_limit_wait_ms,
    estimate_slot_wait_ms,
)
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.state import PoolCapacity
from cicadahoist.policy.tickets import Ticket

# Number of known flows above which idle ones are dropped.
PRUNE_FLOWS_ABOVE = 10_000

FlowKeyBuilder = Callable[[Ticket], FlowKey]


class PoolQueue:
    """
    Requests that wait for the targets of one pool.

    :param limits: limits on running requests
    :param build_flow_key: returns the key of a ticket's flow, whose first
        part is the lane
    """

    __slots__ = (
        '_blocked_flows_by_key',
        '_build_flow_key',
        '_cheap_only_releases',
        '_flows_by_key',
        '_lanes_by_name',
        '_limits',
        '_tie_breakers',
        '_waiting_count',
        'throttle_batch_until_ms',
    )

    def __init__(
        self, limits: LimitShares, build_flow_key: FlowKeyBuilder
    ) -> None:
        self._limits = limits
        self._build_flow_key = build_flow_key
        self._lanes_by_name = {name: Lane() for name in LANES}
        self._flows_by_key: dict[FlowKey, Flow] = {}
        self._blocked_flows_by_key: dict[FlowKey, Flow] = {}
        self._cheap_only_releases: list[tuple[int, int, QueuedTicket]] = []
        self._tie_breakers = count()
        self._waiting_count = 0
        self.throttle_batch_until_ms = 0

    def is_empty(self) -> bool:
        """Return whether no request waits."""
        return not self._waiting_count

    def estimate_wait_ms(
        self, queued: QueuedTicket, totals: PoolCapacity, now_ms: int
    ) -> float:
        """Return the expected wait of a ticket in ms."""
        key = self._build_flow_key(queued.ticket)
        flow = self._get_flow(key, queued.ticket)
        ahead = self._sum_work_ahead(flow)
        max_running = self._limits.compute_max_running(
            queued.ticket.rule, now_ms
        )
        if not ahead.request_count and count_targets_with_room(key[0], totals):
            return 0
        return max(
            estimate_slot_wait_ms(key[0], ahead, queued.work, totals),
            divide_or_zero(ahead.prefill_tokens, totals.tokens_per_ms),
            estimate_limit_wait_ms(flow, queued, max_running),
        )

    def append(self, queued: QueuedTicket) -> None:
        """Add a ticket to the lane and flow that its key names."""
        key = self._build_flow_key(queued.ticket)
        flow = self._get_flow(key, queued.ticket)
        self._flows_by_key[key] = flow
        flow.queue.append(queued)
        lane = self._lanes_by_name[key[0]]
        lane.add_work(flow, queued.work)
        self._waiting_count += 1
        if key not in self._blocked_flows_by_key:
            lane.push(flow)
        if key[0] == CHEAP:
            entry = (
                queued.cheap_only_until_ms,
                next(self._tie_breakers),
                queued,
            )
            heapq.heappush(self._cheap_only_releases, entry)

    def pop_ready(
        self, totals: PoolCapacity, now_ms: int
    ) -> list[QueuedTicket]:
        """
        Remove and return tickets that start now.

        At most one ticket is returned for each target with room. After a
        rejection of urgent work, batch tickets start only if they are due
        soon.

        :param totals: capacity of the pool
        """
        self._release_cheap_only(now_ms)
        ready = self._pop_lane(URGENT, totals.urgent, now_ms)
        room = max(0, totals.batch - len(ready))
        if now_ms < self.throttle_batch_until_ms:
            room = min(room, self._lanes_by_name[BATCH].count_due_soon(now_ms))
        batch = self._pop_lane(BATCH, room, now_ms)
        cheap_room = min(totals.cheap, room - len(batch))
        return ready + batch + self._pop_lane(CHEAP, cheap_room, now_ms)

    def remove(self, queued: QueuedTicket) -> None:
        """Remove a waiting ticket."""
        queued.is_waiting = False
        key = self._build_flow_key(queued.ticket)
        self._lanes_by_name[key[0]].remove_work(
            self._flows_by_key[key], queued.work
        )
        self._waiting_count -= 1

    def record_end(self, ticket: Ticket) -> None:
        """Record that a started ticket ended and unblock its flow."""
        key = self._build_flow_key(ticket)
        flow = self._flows_by_key.get(key)
        if flow is None:
            return
        flow.running_count = max(0, flow.running_count - 1)
        if self._blocked_flows_by_key.pop(key, None) is not None:
            self._lanes_by_name[key[0]].push(flow)
        if len(self._flows_by_key) > PRUNE_FLOWS_ABOVE:
            self._prune_idle_flows()

    def unblock_all(self) -> None:
        """Return blocked flows to their lanes; their limits may have grown."""
        for key, flow in self._blocked_flows_by_key.items():
            self._lanes_by_name[key[0]].push(flow)
        self._blocked_flows_by_key.clear()

    def sum_backlog(self) -> Backlog:
        """Return the queued work of all lanes."""
        total = Backlog()
        for lane in self._lanes_by_name.values():
            total.add(lane.sum_backlog())
        return total

    def _pop_lane(
        self, name: str, room: int, now_ms: int
    ) -> list[QueuedTicket]:
        lane = self._lanes_by_name[name]
        ready: list[QueuedTicket] = []
        while len(ready) < room:
            flow = lane.pop()
            if flow is None:
                break
            queued = flow.peek_waiting()
            if queued is None:
                continue
            if not self._limits.may_start(
                queued.ticket.rule, flow.running_count, now_ms
            ):
                self._blocked_flows_by_key[flow.key] = flow
                continue
            ready.append(self._start(lane, flow, queued))
        return ready

    def _start(
        self, lane: Lane, flow: Flow, queued: QueuedTicket
    ) -> QueuedTicket:
        flow.queue.popleft()
        flow.running_count += 1
        lane.charge(flow, queued.ticket.cost.weighted_tokens)
        lane.remove_work(flow, queued.work)
        queued.is_waiting = False
        self._limits.record_start(queued.ticket.rule)
        self._waiting_count -= 1
        if flow.peek_waiting() is not None:
            lane.push(flow)
        return queued

    def _release_cheap_only(self, now_ms: int) -> None:
        while (
            self._cheap_only_releases
            and self._cheap_only_releases[0][0] <= now_ms
        ):
            _, _, queued = heapq.heappop(self._cheap_only_releases)
            if queued.is_waiting:
                self._move_to_batch(queued)

    def _move_to_batch(self, queued: QueuedTicket) -> None:
        ticket = queued.ticket
        self.remove(queued)
        ticket.cheap_only = False
        cheap_only_until_ms = queued.cheap_only_until_ms
        self.append(
            QueuedTicket(
                ticket, queued.work, queued.latest_start_ms, cheap_only_until_ms
            )
        )

    def _get_flow(self, key: FlowKey, ticket: Ticket) -> Flow:
        flow = self._flows_by_key.get(key) or Flow(key)
        if not flow.backlog.request_count:
            flow.priority = ticket.rule.priority
            flow.weight = max(1, ticket.rule.weight)
        return flow

    def _sum_work_ahead(self, flow: Flow) -> Backlog:
        lane = self._lanes_by_name[flow.key[0]]
        ahead = lane.sum_work_ahead(flow)
        if flow.key[0] != URGENT:
            ahead.add(self._lanes_by_name[URGENT].sum_backlog())
        if flow.key[0] == CHEAP:
            ahead.add(self._lanes_by_name[BATCH].sum_backlog())
        return ahead

    def _prune_idle_flows(self) -> None:
        for key, flow in list(self._flows_by_key.items()):
            is_busy = flow.running_count or flow.backlog.request_count
            if not is_busy and not flow.is_in_heap:
                self._flows_by_key.pop(key)
