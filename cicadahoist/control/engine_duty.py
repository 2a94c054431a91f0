"""Duty that changes the engines of one zone, with drains and orders."""

from collections.abc import Callable

from cicadahoist.clock import Clock
from cicadahoist.control.drains import Drains
from cicadahoist.control.engine_orders import EngineSender, OrderEvent
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.targets import Targets
from cicadahoist.log import get_logger
from cicadahoist.messages import DrainNotice
from cicadahoist.outside.engine import EngineAdapter
from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.order_events import (
    PlanOrder,
    TargetGone,
    TargetRead,
)
from cicadahoist.protocol.records import JournalEntry, LeaseRecord

logger = get_logger(__name__)

DRAIN_PERIOD_MS = 500
NOTICE_REPEAT_COUNT = 3
IDLE = 'idle'

# Engines execute these orders while they serve requests.
UNDRAINED_KINDS = frozenset(('model', 'adapter'))


class EngineDuty:
    """
    Drains and orders engines while holding the lease of a zone's engines.

    :param authority: the lease and its order book
    :param engines: engine adapter
    :param link: connection to the entries
    :param clock: clock of the process
    :param targets: targets in the operators' table
    :param zone: the zone
    """

    __slots__ = (
        '_authority',
        '_drain_seq',
        '_drains',
        '_epoch',
        '_handle_plan',
        '_last_tick_ms',
        '_remaining_notice_rounds',
        '_sender',
        '_targets',
        '_zone',
    )

    def __init__(
        self,
        authority: Authority,
        engines: EngineAdapter,
        link: EntryLink,
        clock: Clock,
        targets: Targets,
        zone: str,
    ) -> None:
        self._authority = authority
        self._sender = EngineSender(engines, targets)
        self._drains = Drains(
            engines, link, clock, targets=targets, plan_order=self._plan_order
        )
        self._handle_plan: Callable[[PlanOrder], None] = _drop_plan
        self._epoch = 0
        self._drain_seq = 0
        self._remaining_notice_rounds = 0
        self._targets = targets
        self._zone = zone
        self._last_tick_ms = 0

    def set_plan_handler(self, handle: Callable[[PlanOrder], None]) -> None:
        """Set the function that passes planned orders to the lease task."""
        self._handle_plan = handle

    def list_changing(self) -> set[str]:
        """Return the targets with a change in progress."""
        return self._drains.list_changing()

    def request(self, plan: PlanOrder) -> bool:
        """
        Start a change unless its target has one in progress.

        Call this only while the lease is held.

        :return: whether the change was started
        """
        if plan.target in self.list_changing() or not self._is_idle(
            plan.target
        ):
            return False
        if plan.kind in UNDRAINED_KINDS:
            return self._plan_order(plan)
        return self._drains.begin(plan, self._make_drain_id())

    def begin_term(self, record: LeaseRecord) -> None:
        """Continue the drains of orders that the previous holder left open."""
        self._epoch = record.epoch
        self._drain_seq = record.seq
        self._remaining_notice_rounds = NOTICE_REPEAT_COUNT
        for entry in record.orders.values():
            if not entry.settled:
                self._drains.inherit(
                    DrainNotice(
                        target=entry.target, order=self._make_drain_id()
                    )
                )

    def end_term(self) -> None:
        """End the drains whose order was not planned."""
        self._drains.abandon()

    def tick(self, now_ms: int) -> None:
        """Advance the drains."""
        if now_ms - self._last_tick_ms >= DRAIN_PERIOD_MS:
            self._last_tick_ms = now_ms
            self._retract_stale_notices()
            self._drains.tick()

    async def send(self, entry: JournalEntry) -> OrderEvent:
        """Send an order to its engine."""
        return await self._sender.send(entry)

    async def read(
        self, target: str, token: str
    ) -> TargetRead | TargetGone | None:
        """Read the progress of an order from its engine."""
        return await self._sender.read(target, token)

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """End the drain of the engine, so that entries may use it again."""
        logger.info(
            'order {0} to {1} settled: {2}',
            entry.token,
            entry.target,
            outcome.value,
        )
        self._drains.end(entry.target)

    def _make_drain_id(self) -> str:
        self._drain_seq += 1
        return f'{self._epoch}.{self._drain_seq}'

    def _retract_stale_notices(self) -> None:
        # Notices may be lost, so they are sent several times.
        if not self._remaining_notice_rounds or not self._targets.is_loaded:
            return
        self._remaining_notice_rounds -= 1
        for target in self._targets.list_engines(self._zone):
            self._drains.retract_notice(target.name, self._make_drain_id())

    def _plan_order(self, plan: PlanOrder) -> bool:
        self._handle_plan(plan)
        return not self._is_idle(plan.target)

    def _is_idle(self, target: str) -> bool:
        return self._authority.book.state_of(target) == IDLE


def _drop_plan(plan: PlanOrder) -> None:
    """Ignore a plan, as no lease task has been set yet."""
