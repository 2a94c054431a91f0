"""Admission: weighted fair queueing with limits and deadlines."""

import heapq
from itertools import count
from typing import Any

from result import Err, Ok, Result

from cicadahoist.policy.flows import Backlog, FlowKey, QueuedTicket
from cicadahoist.policy.lanes import URGENT, lane_of, prepare
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.poolqueue import PoolQueue
from cicadahoist.policy.tickets import Expired, Refused, Ticket
from cicadahoist.reasons import Refusal
from cicadahoist.registry import Registry

ADMISSIONS: Registry[Any] = Registry('admission')

MIN_RETRY_AFTER_MS = 100
NO_TARGET_RETRY_MS = 1000
RECHECK_MS = 250
PRESSED_MS = 5000


@ADMISSIONS.register('fair')
class FairQueue:
    """
    Queues requests per workspace and route until targets have room.

    :param loads: load of the targets, which tells the room of a pool
    :param limits: limits over all entries
    """

    __slots__ = (
        '_checked_ms',
        '_latest',
        '_limits',
        '_loads',
        '_numbers',
        '_queued_by_request',
        '_queues_by_pool',
    )

    def __init__(self, loads: TargetLoads, limits: LimitShares) -> None:
        self._loads = loads
        self._limits = limits
        self._queues_by_pool: dict[str, PoolQueue] = {}
        self._queued_by_request: dict[str, QueuedTicket] = {}
        self._latest: list[tuple[int, int, QueuedTicket]] = []
        self._numbers = count()
        self._checked_ms = 0

    def offer(self, ticket: Ticket, now_ms: int) -> Result[None, Refused]:
        """
        Queue a request, or refuse it if it cannot be answered in time.

        An admitted one is returned by a later :meth:`take` or
        :meth:`expired`, possibly at once.
        """
        queue = self._queue(ticket.pool)
        totals = self._loads.get_totals(ticket.pool)
        if not totals.slots and ticket.is_urgent:
            return Err(Refused(Refusal.no_target, NO_TARGET_RETRY_MS))
        queued = prepare(ticket, totals)
        start_ms = now_ms + round(queue.wait_ms(queued, totals, now_ms))
        if start_ms > queued.latest_ms:
            if ticket.is_urgent:
                queue.pressed_until_ms = now_ms + PRESSED_MS
            late_ms = max(MIN_RETRY_AFTER_MS, start_ms - queued.latest_ms)
            return Err(Refused(Refusal.deadline_unreachable, late_ms))
        limit_ms = self._limits.admit(ticket, now_ms)
        if limit_ms:
            return Err(Refused(Refusal.limit_reached, limit_ms))
        queue.append(queued)
        self._queued_by_request[ticket.request] = queued
        entry = (queued.latest_ms, next(self._numbers), queued)
        heapq.heappush(self._latest, entry)
        return Ok(None)

    def take(self, now_ms: int) -> list[Ticket]:
        """
        Return requests that are to be sent now.

        At most one for each target with room is returned; send these before
        the next call, and call again until nothing is returned.
        """
        if now_ms - self._checked_ms >= RECHECK_MS:
            self._checked_ms = now_ms
            for waiting in self._queues_by_pool.values():
                waiting.unblock_all()
        taken = []
        for pool, queue in self._queues_by_pool.items():
            if queue.is_empty():
                continue
            totals = self._loads.get_totals(pool)
            for queued in queue.take(totals, now_ms):
                self._queued_by_request.pop(queued.ticket.request)
                taken.append(queued.ticket)
        return taken

    def finished(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None = None
    ) -> None:
        """
        Count a request that was taken as ended.

        :param used_tokens: prompt and output tokens, where known
        """
        self._queue(ticket.pool).finished(ticket)
        self._limits.ended(ticket.rule)
        self._limits.settle(ticket, now_ms, used_tokens)

    def withdraw(self, ticket: Ticket, now_ms: int) -> bool:
        """Remove a queued request whose caller left; false if it is none."""
        queued = self._queued_by_request.pop(ticket.request, None)
        if queued is None:
            return False
        self._queue(ticket.pool).remove(queued)
        self._limits.settle(ticket, now_ms, 0)
        return True

    def expired(self, now_ms: int) -> list[Expired]:
        """Remove and return requests that can no longer make their deadline."""
        late = []
        while self._latest and self._latest[0][0] < now_ms:
            _, _, queued = heapq.heappop(self._latest)
            if queued.waiting:
                late.append(self._expire(queued, now_ms))
        return late

    def next_wake_ms(self, now_ms: int) -> int | None:
        """Return when to call :meth:`take` and :meth:`expired` next."""
        while self._latest and not self._latest[0][2].waiting:
            heapq.heappop(self._latest)
        if not self._latest:
            return None
        return min(self._latest[0][0] + 1, now_ms + RECHECK_MS)

    def backlog(self, pool: str) -> Backlog:
        """Return the queued work of a pool."""
        return self._queue(pool).total()

    def _expire(self, queued: QueuedTicket, now_ms: int) -> Expired:
        ticket = queued.ticket
        self._queued_by_request.pop(ticket.request)
        queue = self._queue(ticket.pool)
        queue.remove(queued)
        self._limits.settle(ticket, now_ms, 0)
        totals = self._loads.get_totals(ticket.pool)
        wait_ms = queue.wait_ms(queued, totals, now_ms)
        retry_ms = max(MIN_RETRY_AFTER_MS, round(wait_ms))
        refused = Refused(Refusal.deadline_unreachable, retry_ms)
        return Expired(ticket, refused)

    def _queue(self, pool: str) -> PoolQueue:
        queue = self._queues_by_pool.get(pool)
        if queue is None:
            queue = PoolQueue(self._limits, self._key_of)
            self._queues_by_pool[pool] = queue
        return queue

    def _key_of(self, ticket: Ticket) -> FlowKey:
        rule = ticket.rule
        return (lane_of(ticket), rule.workspace, rule.route)


@ADMISSIONS.register('fifo')
class FifoQueue(FairQueue):
    """Queues all requests in the order of their arrival."""

    __slots__ = ()

    def _key_of(self, ticket: Ticket) -> FlowKey:
        return (URGENT, '', '')
