"""Admission: weighted fair queueing with limits and deadlines."""

import heapq
from itertools import count
from typing import Any

from result import Err, Ok, Result

from cicadahoist.policy.flows import Backlog, FlowKey, QueuedTicket
from cicadahoist.policy.lanes import URGENT, build_queued_ticket, choose_lane
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.poolqueue import PoolQueue
from cicadahoist.policy.tickets import Expired, Refused, Ticket
from cicadahoist.reasons import Refusal
from cicadahoist.registry import Registry

ADMISSIONS: Registry[Any] = Registry('admission')

MIN_RETRY_AFTER_MS = 100
NO_TARGET_RETRY_MS = 1000
RECHECK_PERIOD_MS = 250
BATCH_THROTTLE_MS = 5000


@ADMISSIONS.register('fair')
class FairQueue:
    """
    Queues requests per workspace and route until targets have room.

    :param loads: load of the targets, which tells the room of a pool
    :param limits: limits over all entries
    """

    __slots__ = (
        '_last_recheck_ms',
        '_start_deadlines',
        '_limits',
        '_loads',
        '_tie_breakers',
        '_queued_by_request',
        '_queues_by_pool',
    )

    def __init__(self, loads: TargetLoads, limits: LimitShares) -> None:
        self._loads = loads
        self._limits = limits
        self._queues_by_pool: dict[str, PoolQueue] = {}
        self._queued_by_request: dict[str, QueuedTicket] = {}
        self._start_deadlines: list[tuple[int, int, QueuedTicket]] = []
        self._tie_breakers = count()
        self._last_recheck_ms = 0

    def offer(self, ticket: Ticket, now_ms: int) -> Result[None, Refused]:
        """
        Queue a request, or refuse it if it cannot be answered in time.

        An admitted one is returned by a later :meth:`take` or
        :meth:`expired`, possibly at once.
        """
        queue = self._get_queue(ticket.pool)
        totals = self._loads.get_totals(ticket.pool)
        if not totals.slots and ticket.is_urgent:
            return Err(Refused(Refusal.no_target, NO_TARGET_RETRY_MS))
        queued = build_queued_ticket(ticket, totals)
        expected_start_ms = now_ms + round(
            queue.estimate_wait_ms(queued, totals, now_ms)
        )
        if expected_start_ms > queued.latest_start_ms:
            if ticket.is_urgent:
                queue.throttle_batch_until_ms = now_ms + BATCH_THROTTLE_MS
            retry_after_ms = max(
                MIN_RETRY_AFTER_MS, expected_start_ms - queued.latest_start_ms
            )
            return Err(Refused(Refusal.deadline_unreachable, retry_after_ms))
        limit_retry_after_ms = self._limits.admit(ticket, now_ms)
        if limit_retry_after_ms:
            return Err(Refused(Refusal.limit_reached, limit_retry_after_ms))
        queue.append(queued)
        self._queued_by_request[ticket.request_id] = queued
        entry = (queued.latest_start_ms, next(self._tie_breakers), queued)
        heapq.heappush(self._start_deadlines, entry)
        return Ok(None)

    def pop_ready(self, now_ms: int) -> list[Ticket]:
        """
        Return requests that are to be sent now.

        At most one for each target with room is returned; send these before
        the next call, and call again until nothing is returned.
        """
        if now_ms - self._last_recheck_ms >= RECHECK_PERIOD_MS:
            self._last_recheck_ms = now_ms
            for pool_queue in self._queues_by_pool.values():
                pool_queue.unblock_all()
        taken = []
        for pool, queue in self._queues_by_pool.items():
            if queue.is_empty():
                continue
            totals = self._loads.get_totals(pool)
            for queued in queue.pop_ready(totals, now_ms):
                self._queued_by_request.pop(queued.ticket.request_id)
                taken.append(queued.ticket)
        return taken

    def record_end(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None = None
    ) -> None:
        """
        Count a request that was taken as ended.

        :param used_tokens: prompt and output tokens, where known
        """
        self._get_queue(ticket.pool).record_end(ticket)
        self._limits.record_end(ticket.rule)
        self._limits.settle(ticket, now_ms, used_tokens)

    def withdraw(self, ticket: Ticket, now_ms: int) -> bool:
        """Remove a queued request whose caller left; false if it is none."""
        queued = self._queued_by_request.pop(ticket.request_id, None)
        if queued is None:
            return False
        self._get_queue(ticket.pool).remove(queued)
        self._limits.settle(ticket, now_ms, 0)
        return True

    def pop_expired(self, now_ms: int) -> list[Expired]:
        """Remove and return requests that can no longer make their deadline."""
        late = []
        while self._start_deadlines and self._start_deadlines[0][0] < now_ms:
            _, _, queued = heapq.heappop(self._start_deadlines)
            if queued.is_waiting:
                late.append(self._expire(queued, now_ms))
        return late

    def compute_next_wake_ms(self, now_ms: int) -> int | None:
        """Return when to call :meth:`take` and :meth:`expired` next."""
        while (
            self._start_deadlines and not self._start_deadlines[0][2].is_waiting
        ):
            heapq.heappop(self._start_deadlines)
        if not self._start_deadlines:
            return None
        return min(self._start_deadlines[0][0] + 1, now_ms + RECHECK_PERIOD_MS)

    def sum_backlog(self, pool: str) -> Backlog:
        """Return the queued work of a pool."""
        return self._get_queue(pool).sum_backlog()

    def _expire(self, queued: QueuedTicket, now_ms: int) -> Expired:
        ticket = queued.ticket
        self._queued_by_request.pop(ticket.request_id)
        queue = self._get_queue(ticket.pool)
        queue.remove(queued)
        self._limits.settle(ticket, now_ms, 0)
        totals = self._loads.get_totals(ticket.pool)
        expected_wait_ms = queue.estimate_wait_ms(queued, totals, now_ms)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, round(expected_wait_ms))
        refused = Refused(Refusal.deadline_unreachable, retry_after_ms)
        return Expired(ticket, refused)

    def _get_queue(self, pool: str) -> PoolQueue:
        queue = self._queues_by_pool.get(pool)
        if queue is None:
            queue = PoolQueue(self._limits, self._build_flow_key)
            self._queues_by_pool[pool] = queue
        return queue

    def _build_flow_key(self, ticket: Ticket) -> FlowKey:
        rule = ticket.rule
        return (choose_lane(ticket), rule.workspace, rule.route)


@ADMISSIONS.register('fifo')
class FifoQueue(FairQueue):
    """Queues all requests in the order of their arrival."""

    __slots__ = ()

    def _build_flow_key(self, ticket: Ticket) -> FlowKey:
        return (URGENT, '', '')
