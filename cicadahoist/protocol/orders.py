"""Orders to targets, journalled before they are sent, one per target."""

from typing import Any

import msgspec

from cicadahoist.protocol.actions import (
    Action,
    OrderOutcome,
    RecordWritten,
    StepDown,
)
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.machine import ChartCore, ChartKit
from cicadahoist.protocol.order_events import OrderInherited
from cicadahoist.protocol.order_guards import GUARDS
from cicadahoist.protocol.order_outputs import OUTPUTS
from cicadahoist.protocol.records import JournalEntry, LeaseRecord

ORDER_KIT = ChartKit.load('order', GUARDS, OUTPUTS)


class OrderBook:
    """
    Orders of one lease, by target.

    :param lease: the lease under which orders are sent
    :param kit: chart and functions to run
    """

    __slots__ = ('_by_target', '_kit', '_seq', 'lease', 'unwritten_by_target')

    def __init__(self, lease: LeaseKeeper, kit: ChartKit | None = None) -> None:
        self.lease = lease
        self.unwritten_by_target: dict[str, JournalEntry] = {}
        self._kit = kit or ORDER_KIT
        self._by_target: dict[str, TargetOrder] = {}
        self._seq = 0

    def handle(self, event: Any, now_ms: int) -> list[Action]:
        """Process an event of one target."""
        order = self._by_target.get(event.target)
        if order is None:
            order = TargetOrder(self, self._kit)
            self._by_target[event.target] = order
        return order.handle(event, now_ms)

    def handle_all(
        self, event: Tick | RecordWritten | StepDown, now_ms: int
    ) -> list[Action]:
        """Process an event that concerns every target."""
        actions = []
        for order in self._by_target.values():
            actions.extend(order.handle(event, now_ms))
        return actions

    def inherit(self, record: LeaseRecord, now_ms: int) -> None:
        """
        Resume the unsettled orders of a predecessor.

        :param record: record of the lease that was won
        """
        self._by_target.clear()
        self.unwritten_by_target.clear()
        self._seq = record.seq
        for entry in record.orders.values():
            if not entry.settled:
                order = TargetOrder(self, self._kit)
                order.handle(OrderInherited(entry), now_ms)
                self._by_target[entry.target] = order

    def next_seq(self) -> int:
        """Assign the next sequence number."""
        self._seq += 1
        return self._seq

    def state_of(self, target: str) -> str:
        """Return the chart state of a target's order."""
        order = self._by_target.get(target)
        return order.state if order else self._kit.chart.initial


class TargetOrder(ChartCore):
    """
    The last order to one target.

    :param book: orders of the same lease
    :param kit: chart and functions to run
    """

    __slots__ = ('book', 'entry', 'outcome', 'sent_ms')

    def __init__(self, book: OrderBook, kit: ChartKit) -> None:
        super().__init__(kit)
        self.book = book
        self.entry: JournalEntry | None = None
        self.outcome = OrderOutcome.cancelled
        self.sent_ms = 0

    @property
    def current(self) -> JournalEntry:
        """Journal entry of the order; not to be read in state ``idle``."""
        assert self.entry is not None  # noqa: S101
        return self.entry

    def draft(self, entry: JournalEntry) -> None:
        """Queue an entry for the next write of the journal."""
        self.entry = entry
        self.book.unwritten_by_target[entry.target] = entry

    def settle(self, outcome: OrderOutcome) -> None:
        """Queue the outcome for the next write of the journal."""
        self.outcome = outcome
        self.draft(msgspec.structs.replace(self.current, settled=True))
