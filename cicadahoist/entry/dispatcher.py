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
    """How a wait for admission ended, where it was not refused."""

    admitted = 'admitted'
    withdrawn = 'withdrawn'


class Dispatcher:
    """
    Holds the policy of one entry and runs its queue.

    :param config: checked settings
    :param clock: clock of the process
    :param rng: source of samples and jitter
    """

    __slots__ = (
        '_clock',
        '_demand',
        '_is_pumping',
        '_queue',
        '_router',
        '_table',
        '_wake',
        '_waiting_by_request',
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
        self._demand = PoolDemands()
        self._wake: Timer | None = None
        self._is_pumping = False

    @classmethod
    def from_config(cls, config: Config, clock: Clock) -> 'Dispatcher':
        """Return a dispatcher with the policy that the settings name."""
        return cls(config, clock, Random())

    def apply(self, table: Table) -> None:
        """Take over the targets of a table revision."""
        self._table = table
        self.loads.sync(
            list(table.targets_by_name.values()), self._clock.now_ms()
        )
        self.pump()

    def tick(self) -> None:
        """Sum up the load anew; called every ``TICK_MS``."""
        self.loads.tick(self._clock.now_ms())
        self.pump()

    async def admit(
        self, ticket: Ticket, on_stop: Callable[[Callable[[], None]], None]
    ) -> bool:
        """
        Wait until a request may be sent.

        The caller sends it before it waits for anything else.

        :param on_stop: is given what ends the wait
        :return: false where the wait was ended
        :raises RequestRefusedError: it cannot be answered in time
        """
        offered = self._queue.offer(ticket, self._clock.now_ms())
        self._demand.arrived(ticket, self._clock.now_ms())
        if isinstance(offered, Err):
            self._demand.ended(ticket)
            raise _refusal(offered.unwrap_err())
        waiting: Deferred[Verdict | Refused] = Deferred()
        self._waiting_by_request[ticket.request_id] = waiting
        on_stop(lambda: self._withdraw(ticket))
        self.pump()
        verdict = await waiting
        if verdict is not Verdict.admitted:
            self._demand.ended(ticket)
        if isinstance(verdict, Refused):
            raise _refusal(verdict)
        return verdict is Verdict.admitted

    def finished(self, ticket: Ticket, used_tokens: int) -> None:
        """Count an admitted request as ended."""
        self._demand.ended(ticket)
        self._queue.record_end(ticket, self._clock.now_ms(), used_tokens)
        self.pump()

    def work(self) -> PoolWork:
        """Return the work that arrives here, for planners."""
        return self._demand.work(self._clock.now_ms())

    def choose(self, pool: str, request: RouteRequest) -> Target | None:
        """Return the target of an attempt, counted as sent, or none."""
        target = self._route(pool, request)
        if target is not None:
            self.loads.record_sent(target.name, request, self._clock.now_ms())
            self.prefixes.record_stored(target.name, request.blocks)
        return target

    def has_target(self, pool: str, request: RouteRequest) -> bool:
        """Tell whether any target may take an attempt."""
        return self._route(pool, request) is not None

    def _route(self, pool: str, request: RouteRequest) -> Target | None:
        """
        Return the target that the router chooses.

        Engines for prefill only get what asks for them, or what no other
        engine can take.
        """
        targets = self._table.targets_by_pool.get(pool, [])
        now_ms = self._clock.now_ms()
        if request.roles:
            return self._router.choose(request, targets, now_ms)
        preferred = msgspec.structs.replace(request, roles=OUTPUT_ROLES)
        return self._router.choose(
            preferred, targets, now_ms
        ) or self._router.choose(request, targets, now_ms)

    def pump(self) -> None:
        """Send what may go, refuse what is late, and set the next wake."""
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            self._release_all()
        finally:
            self._is_pumping = False
        self._set_wake()

    def _release_all(self) -> None:
        for expired in self._queue.pop_expired(self._clock.now_ms()):
            self._answer(expired.ticket, expired.refused)
        taken = self._queue.pop_ready(self._clock.now_ms())
        while taken:
            for ticket in taken:
                self._answer(ticket, Verdict.admitted)
            taken = self._queue.pop_ready(self._clock.now_ms())

    def _answer(self, ticket: Ticket, verdict: 'Verdict | Refused') -> None:
        waiting = self._waiting_by_request.pop(ticket.request_id, None)
        if waiting is not None:
            waiting.callback(verdict)

    def _withdraw(self, ticket: Ticket) -> None:
        if self._queue.withdraw(ticket, self._clock.now_ms()):
            self._answer(ticket, Verdict.withdrawn)

    def _set_wake(self) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        self._wake = None
        now_ms = self._clock.now_ms()
        due_ms = self._queue.compute_next_wake_ms(now_ms)
        if due_ms is not None:
            self._wake = self._clock.call_later(due_ms - now_ms, self.pump)


def _refusal(refused: Refused) -> RequestRefusedError:
    return RequestRefusedError(
        refused.reason,
        _DETAILS.get(refused.reason, 'the request was not admitted'),
        retry_after_ms=refused.retry_after_ms,
    )


_DETAILS = {
    Refusal.deadline_unreachable: 'it cannot be answered before its deadline',
    Refusal.limit_reached: 'a limit of the row is reached',
    Refusal.no_target: 'no target can take the request',
}
