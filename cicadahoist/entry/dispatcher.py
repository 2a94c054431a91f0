"""Admission, routing and retry budgets of one entry, driven by the clock."""

from collections.abc import Callable
from enum import Enum
from random import Random

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer
from cicadahoist.config import Config
from cicadahoist.entry.pool_demands import PoolDemands
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.messages import PoolWork
from cicadahoist.policy.admission import ADMISSIONS
from cicadahoist.policy.cost import CostModel
from cicadahoist.policy.handoff import OUTPUT_ROLES, HandoffPolicy
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.retries import RetryBudgets
from cicadahoist.policy.routing import ROUTERS
from cicadahoist.policy.tickets import Refused, RouteRequest, Ticket
from cicadahoist.reasons import Refusal
from cicadahoist.settings import (
    ADMISSION,
    HANDOFF_TOKENS,
    INSTANCE_NAME,
    INSTANCE_ZONE,
    ROUTER,
)
from cicadahoist.table import Table, Target

TICK_MS = 1000


class Verdict(Enum):
    """How a wait for admission ended, other than by a refusal."""

    admitted = 'admitted'
    withdrawn = 'withdrawn'


class Dispatcher:
    """
    Holds the policy objects of one entry and runs its admission queue.

    :param config: validated settings
    :param clock: clock of the process, drives the wake-ups of the queue
    :param rng: random source of routing samples and retry jitter
    """

    __slots__ = (
        '_clock',
        '_demands',
        '_is_processing',
        '_queue',
        '_router',
        '_table',
        '_waiting_by_request',
        '_wake_timer',
        'budgets',
        'costs',
        'handoffs',
        'limits',
        'loads',
        'prefixes',
    )

    def __init__(self, config: Config, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self.loads = TargetLoads()
        self.limits = LimitShares(config.read(INSTANCE_NAME))
        self.costs = CostModel()
        self.handoffs = HandoffPolicy(config.read(HANDOFF_TOKENS))
        self.prefixes = PrefixIndex()
        self.budgets = RetryBudgets(rng)
        admission = ADMISSIONS.get(config.read(ADMISSION))
        self._queue = admission(self.loads, self.limits)
        router = ROUTERS.get(config.read(ROUTER))
        self._router = router(
            self.loads, self.prefixes, config.read(INSTANCE_ZONE), rng
        )
        self._table = Table.empty()
        self._waiting_by_request: dict[str, Deferred[Verdict | Refused]] = {}
        self._demands = PoolDemands()
        self._wake_timer: Timer | None = None
        self._is_processing = False

    @classmethod
    def from_config(cls, config: Config, clock: Clock) -> 'Dispatcher':
        """Return a dispatcher with the policy selected in the settings."""
        return cls(config, clock, Random())

    def apply_table(self, table: Table) -> None:
        """Replace the known targets by those of a table revision."""
        self._table = table
        self.loads.sync(
            list(table.targets_by_name.values()), self._clock.now_ms()
        )
        self.process_queue()

    def tick(self) -> None:
        """Recompute the load and run the queue; called every ``TICK_MS``."""
        self.loads.tick(self._clock.now_ms())
        self.process_queue()

    async def admit(
        self,
        ticket: Ticket,
        set_canceller: Callable[[Callable[[], None]], None],
    ) -> bool:
        """
        Wait until a request is admitted.

        The caller has to send the request before it awaits anything else.

        :param set_canceller: called with the function that ends the wait
        :return: whether the request was admitted; false if the wait was
            cancelled
        :raises RequestRefusedError: admission refuses the request, such as
            for a deadline that cannot be met
        """
        accepted = self._queue.offer(ticket, self._clock.now_ms())
        self._demands.record_arrival(ticket, self._clock.now_ms())
        if isinstance(accepted, Err):
            self._demands.record_end(ticket)
            raise _make_refusal(accepted.unwrap_err())
        waiting: Deferred[Verdict | Refused] = Deferred()
        self._waiting_by_request[ticket.request_id] = waiting
        set_canceller(lambda: self._withdraw(ticket))
        self.process_queue()
        verdict = await waiting
        if verdict is not Verdict.admitted:
            self._demands.record_end(ticket)
        if isinstance(verdict, Refused):
            raise _make_refusal(verdict)
        return verdict is Verdict.admitted

    def record_end(self, ticket: Ticket, used_tokens: int) -> None:
        """Record the end of an admitted request and its token usage."""
        self._demands.record_end(ticket)
        self._queue.record_end(ticket, self._clock.now_ms(), used_tokens)
        self.process_queue()

    def measure_work(self) -> PoolWork:
        """Return the present demand of each pool, for the planners."""
        return self._demands.measure_work(self._clock.now_ms())

    def choose_target(self, pool: str, request: RouteRequest) -> Target | None:
        """Choose the target of an attempt and record the attempt as sent."""
        target = self._route(pool, request)
        if target is not None:
            self.loads.record_sent(target.name, request, self._clock.now_ms())
            self.prefixes.record_stored(target.name, request.blocks)
        return target

    def has_target(self, pool: str, request: RouteRequest) -> bool:
        """Return whether any target may run an attempt."""
        return self._route(pool, request) is not None

    def _route(self, pool: str, request: RouteRequest) -> Target | None:
        """
        Return the target that the router chooses, or none.

        A prefill engine gets a request only if the request names its role,
        or if no other engine can run it.
        """
        targets = self._table.targets_by_pool.get(pool, [])
        now_ms = self._clock.now_ms()
        if request.roles:
            return self._router.choose(request, targets, now_ms)
        preferred = msgspec.structs.replace(request, roles=OUTPUT_ROLES)
        return self._router.choose(
            preferred, targets, now_ms
        ) or self._router.choose(request, targets, now_ms)

    def process_queue(self) -> None:
        """Admit ready requests, refuse expired ones, schedule the next run."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._release_all()
        finally:
            self._is_processing = False
        self._schedule_wake()

    def _release_all(self) -> None:
        for expired in self._queue.pop_expired(self._clock.now_ms()):
            self._end_wait(expired.ticket, expired.refused)
        ready_tickets = self._queue.pop_ready(self._clock.now_ms())
        while ready_tickets:
            for ticket in ready_tickets:
                self._end_wait(ticket, Verdict.admitted)
            ready_tickets = self._queue.pop_ready(self._clock.now_ms())

    def _end_wait(self, ticket: Ticket, verdict: 'Verdict | Refused') -> None:
        waiting = self._waiting_by_request.pop(ticket.request_id, None)
        if waiting is not None:
            waiting.callback(verdict)

    def _withdraw(self, ticket: Ticket) -> None:
        if self._queue.withdraw(ticket, self._clock.now_ms()):
            self._end_wait(ticket, Verdict.withdrawn)

    def _schedule_wake(self) -> None:
        if self._wake_timer is not None and self._wake_timer.active():
            self._wake_timer.cancel()
        self._wake_timer = None
        now_ms = self._clock.now_ms()
        due_ms = self._queue.compute_next_wake_ms(now_ms)
        if due_ms is not None:
            self._wake_timer = self._clock.call_later(
                due_ms - now_ms, self.process_queue
            )


def _make_refusal(refused: Refused) -> RequestRefusedError:
    return RequestRefusedError(
        refused.reason,
        _DETAIL_BY_REFUSAL.get(refused.reason, 'the request was not admitted'),
        retry_after_ms=refused.retry_after_ms,
    )


_DETAIL_BY_REFUSAL = {
    Refusal.deadline_unreachable: 'it cannot be answered before its deadline',
    Refusal.limit_reached: 'a limit of the row is reached',
    Refusal.no_target: 'no target can take the request',
}
