"""Duty that buys, drains and releases the targets of one zone."""

from collections.abc import Callable

from cicadahoist.clock import Clock
from cicadahoist.control.drains import Drains
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.target_orders import (
    BUY,
    DEDICATED,
    RECLAIMABLE,
    RELEASE,
    OrderEvent,
    TargetSender,
)
from cicadahoist.control.target_slots import Slot
from cicadahoist.control.targets import Targets
from cicadahoist.log import get_logger
from cicadahoist.outside.engine import EngineAdapter
from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.order_events import PlanOrder, TargetRead
from cicadahoist.protocol.records import JournalEntry, LeaseRecord

logger = get_logger(__name__)

DRAIN_PERIOD_MS = 500
READ_PERIOD_MS = 1000
IDLE = 'idle'

# A release is final, so its drain takes precedence over drains for changes
# of the engine, whose numbers are lower.
RELEASE_EPOCH = 1_000_000_000


class TargetDuty:
    """
    Orders targets while holding the lease of a zone's targets.

    :param authority: the lease and its order book
    :param sender: sends single orders
    :param engines: engine adapter
    :param link: connection to the entries
    :param clock: clock of the process
    :param targets: targets in the operators' table
    """

    __slots__ = (
        '_authority',
        '_clock',
        '_drain_seq',
        '_drains',
        '_handle_plan',
        '_last_tick_ms',
        '_read_ms_by_slot',
        '_sender',
        '_slot_by_row',
        'refused_ms_by_kind',
    )

    def __init__(
        self,
        authority: Authority,
        sender: TargetSender,
        engines: EngineAdapter,
        link: EntryLink,
        clock: Clock,
        targets: Targets,
    ) -> None:
        self._authority = authority
        self._sender = sender
        self._clock = clock
        self._drains = Drains(
            engines, link, clock, targets=targets, plan_order=self._plan_order
        )
        self._handle_plan: Callable[[PlanOrder], None] = _drop_plan
        self._drain_seq = 0
        self._last_tick_ms = 0
        self._slot_by_row: dict[str, Slot] = {}
        self._read_ms_by_slot: dict[str, int] = {}
        self.refused_ms_by_kind: dict[str, int] = {}

    def set_plan_handler(self, handle: Callable[[PlanOrder], None]) -> None:
        """Set the function that passes planned orders to the lease task."""
        self._handle_plan = handle

    def journal(self) -> dict[str, JournalEntry]:
        """Return the last order of each slot, by slot name."""
        return dict(self._authority.lease.record.orders)

    def buy(self, slot: str, *, reclaimable: bool) -> None:
        """Order a target for a slot unless it has an open order."""
        if self._is_idle(slot):
            kind = RECLAIMABLE if reclaimable else DEDICATED
            logger.info('buying a {0} target for {1}', kind, slot)
            self._handle_plan(PlanOrder(slot, BUY, kind))

    def release(self, slot: Slot) -> None:
        """Drain the target of a slot, then order its release."""
        if slot.row in self._drains.list_changing() or not self._is_idle(
            slot.name
        ):
            return
        self._slot_by_row[slot.row] = slot
        self._drain_seq += 1
        epoch = RELEASE_EPOCH + self._authority.lease.record.epoch
        plan = PlanOrder(slot.row, RELEASE, slot.target)
        self._drains.begin(plan, f'{epoch}.{self._drain_seq}')

    def list_draining(self) -> set[str]:
        """Return the rows with a drain or release in progress."""
        return self._drains.list_changing()

    def begin_term(self, record: LeaseRecord) -> None:
        """Reset; the order book has the open orders of the previous holder."""
        self._drain_seq = 0
        self._slot_by_row.clear()
        self._read_ms_by_slot.clear()

    def end_term(self) -> None:
        """End the drains whose order was not planned."""
        self._drains.abandon()
        self._slot_by_row.clear()

    def tick(self, now_ms: int) -> None:
        """Advance the drains."""
        if now_ms - self._last_tick_ms >= DRAIN_PERIOD_MS:
            self._last_tick_ms = now_ms
            self._drains.tick()

    async def send(self, entry: JournalEntry) -> OrderEvent:
        """Send an order to the platform."""
        event = await self._sender.send(entry)
        self._read_ms_by_slot.pop(entry.target, None)
        return event

    async def read(self, target: str, token: str) -> TargetRead | None:
        """Read the progress of an order, at most once per period."""
        now_ms = self._clock.now_ms()
        last_ms = self._read_ms_by_slot.get(target)
        if last_ms is not None and now_ms - last_ms < READ_PERIOD_MS:
            return None
        self._read_ms_by_slot[target] = now_ms
        return await self._sender.read(target, token)

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Record a refusal and end the drain of a release."""
        logger.info(
            'target order {0} ({1} for {2}) settled: {3}',
            entry.token,
            entry.kind,
            entry.target,
            outcome.value,
        )
        if outcome is OrderOutcome.refused:
            self.refused_ms_by_kind[entry.argument] = self._clock.now_ms()
        for row, slot in list(self._slot_by_row.items()):
            if slot.name == entry.target:
                self._slot_by_row.pop(row)
                self._drains.end(row)

    def _plan_order(self, plan: PlanOrder) -> bool:
        slot = self._slot_by_row.get(plan.target)
        if slot is None or not self._is_idle(slot.name):
            return False
        self._handle_plan(PlanOrder(slot.name, plan.kind, plan.argument))
        return not self._is_idle(slot.name)

    def _is_idle(self, slot: str) -> bool:
        return self._authority.book.state_of(slot) == IDLE


def _drop_plan(plan: PlanOrder) -> None:
    """Ignore a plan, as no lease task has been set yet."""
