"""The duty of the engines of one zone: changes, drained and ordered."""

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

DRAIN_TICK_MS = 500
CLEAR_TICKS = 3
IDLE = 'idle'

# Orders that an engine carries out beside its work.
UNDRAINED_KINDS = frozenset(('model', 'adapter'))


class EngineDuty:
    """
    Orders to engines under the lease of a zone.

    :param authority: the lease and its order book
    :param sender: carries single orders
    :param engines: adapter for engines
    :param link: way to the entries
    :param clock: gives the time
    :param targets: targets of the table
    :param zone: the zone
    """

    __slots__ = (
        '_authority',
        '_clears_left',
        '_drains',
        '_epoch',
        '_handle',
        '_number',
        '_sender',
        '_targets',
        '_ticked_ms',
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
            engines, link, clock, targets=targets, plan=self._plan
        )
        self._handle: Callable[[PlanOrder], None] = _ignore
        self._epoch = 0
        self._number = 0
        self._clears_left = 0
        self._targets = targets
        self._zone = zone
        self._ticked_ms = 0

    def use_task(self, handle: Callable[[PlanOrder], None]) -> None:
        """Set what takes plans to the lease task."""
        self._handle = handle

    def changing(self) -> set[str]:
        """Return the targets with a change under way."""
        return self._drains.targets()

    def request(self, plan: PlanOrder) -> bool:
        """
        Begin a change, unless its target has one under way.

        Only to be called while the lease is held.
        """
        if plan.target in self.changing() or not self._is_idle(plan.target):
            return False
        if plan.kind in UNDRAINED_KINDS:
            return self._plan(plan)
        return self._drains.begin(plan, self._next_order())

    def begin_term(self, record: LeaseRecord) -> None:
        """Keep up the drains of orders that the predecessor left open."""
        self._epoch = record.epoch
        self._number = record.seq
        self._clears_left = CLEAR_TICKS
        for entry in record.orders.values():
            if not entry.settled:
                self._drains.inherit(
                    DrainNotice(target=entry.target, order=self._next_order())
                )

    def end_term(self) -> None:
        """Take back what was not ordered."""
        self._drains.abandon()

    def tick(self, now_ms: int) -> None:
        """Go on with the drains."""
        if now_ms - self._ticked_ms >= DRAIN_TICK_MS:
            self._ticked_ms = now_ms
            self._clear_others()
            self._drains.tick()

    async def send(self, entry: JournalEntry) -> OrderEvent:
        """Send an order to its engine."""
        return await self._sender.send(entry)

    async def read(
        self, target: str, token: str
    ) -> TargetRead | TargetGone | None:
        """Read what an engine shows about an order."""
        return await self._sender.read(target, token)

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Give the engine back to the entries."""
        logger.info(
            'order {0} to {1}: {2}', entry.token, entry.target, outcome.value
        )
        self._drains.end(entry.target)

    def _next_order(self) -> str:
        self._number += 1
        return f'{self._epoch}.{self._number}'

    def _clear_others(self) -> None:
        # Several times, as notices may be lost.
        if not self._clears_left or not self._targets.is_loaded:
            return
        self._clears_left -= 1
        for target in self._targets.engines(self._zone):
            self._drains.clear(target.name, self._next_order())

    def _plan(self, plan: PlanOrder) -> bool:
        self._handle(plan)
        return not self._is_idle(plan.target)

    def _is_idle(self, target: str) -> bool:
        return self._authority.book.state_of(target) == IDLE


def _ignore(plan: PlanOrder) -> None:
    """Drop a plan: no task has been set yet."""
