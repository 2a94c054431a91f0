"""Admission of requests: weighted fair queueing, limits and deadlines."""

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
# Period after which blocked flows are checked against their limits again.
RECHECK_PERIOD_MS = 250
# Time for which batch work yields after an urgent request was rejected because
# it could not meet its deadline.
BATCH_THROTTLE_MS = 5000


@ADMISSIONS.register('fair')
class FairQueue:
    """
    Queues requests by workspace and route until targets have room.

    :param loads: load of the targets, from which the free capacity of each
        pool follows
    :param limits: this entry's shares of the limits of rules
    """

    __slots__ = (
        '_last_recheck_ms',
        '_limits',
        '_loads',
        '_queued_by_request',
        '_queues_by_pool',
        '_start_deadlines',
        '_tie_breakers',
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
        Queue a request, or reject it if it cannot be answered in time.

        Each queued request is returned once by a later call of
        :meth:`pop_ready` or :meth:`pop_expired`, unless it is withdrawn.

        :return: the rejection, if the request was not queued
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
        Remove and return requests that are to be sent now.

        At most one request is returned for each target with room. The caller
        sends these before the next call, so that they count as load, and
        repeats the call until nothing is returned.
        """
        if now_ms - self._last_recheck_ms >= RECHECK_PERIOD_MS:
            self._last_recheck_ms = now_ms
            for pool_queue in self._queues_by_pool.values():
                pool_queue.unblock_all()
        ready = []
        for pool, queue in self._queues_by_pool.items():
            if queue.is_empty():
                continue
            totals = self._loads.get_totals(pool)
            for queued in queue.pop_ready(totals, now_ms):
                self._queued_by_request.pop(queued.ticket.request_id)
                ready.append(queued.ticket)
        return ready

    def record_end(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None = None
    ) -> None:
        """
        Record the end of a request that :meth:`pop_ready` returned.

        :param used_tokens: prompt and output tokens, ``None`` if not known
        """
        self._get_queue(ticket.pool).record_end(ticket)
        self._limits.record_end(ticket.rule)
        self._limits.settle(ticket, now_ms, used_tokens)

    def withdraw(self, ticket: Ticket, now_ms: int) -> bool:
        """
        Remove a queued request whose caller disconnected.

        :return: whether the request was still queued
        """
        queued = self._queued_by_request.pop(ticket.request_id, None)
        if queued is None:
            return False
        self._get_queue(ticket.pool).remove(queued)
        self._limits.settle(ticket, now_ms, 0)
        return True

    def pop_expired(self, now_ms: int) -> list[Expired]:
        """Remove and return requests that can no longer meet their deadline."""
        expired = []
        while self._start_deadlines and self._start_deadlines[0][0] < now_ms:
            _, _, queued = heapq.heappop(self._start_deadlines)
            if queued.is_waiting:
                expired.append(self._expire(queued, now_ms))
        return expired

    def compute_next_wake_ms(self, now_ms: int) -> int | None:
        """
        Return the next time to call :meth:`pop_ready` and :meth:`pop_expired`.

        :return: time in ms, ``None`` if no request waits
        """
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
    """Queues all requests of a pool in their order of arrival, as one flow."""

    __slots__ = ()

    def _build_flow_key(self, ticket: Ticket) -> FlowKey:
        return (URGENT, '', '')
