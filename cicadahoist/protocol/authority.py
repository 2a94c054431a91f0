"""A lease and the orders that its holder sends to targets."""

from typing import Any

from cicadahoist.config import Config
from cicadahoist.protocol.actions import (
    Action,
    LeaseWon,
    RecordWritten,
    StepDown,
)
from cicadahoist.protocol.events import JournalChange, Tick
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.orders import OrderBook


class Authority:
    """
    Coordinates a lease with its order book.

    Orders are journalled in the lease record, and changes of the lease are
    passed on to the orders.

    :param lease: the lease
    :param book: orders sent under the lease
    """

    __slots__ = ('book', 'lease')

    def __init__(self, lease: LeaseKeeper, book: OrderBook) -> None:
        self.lease = lease
        self.book = book

    @classmethod
    def from_config(cls, config: Config, name: str, holder: str) -> 'Authority':
        """
        Return an authority whose durations come from the settings.

        :param name: name of the lease object
        :param holder: name and incarnation of this process
        """
        lease = LeaseKeeper.from_config(config, name, holder)
        return cls(lease, OrderBook(lease))

    def handle(self, event: Any, now_ms: int) -> list[Action]:
        """
        Process an event of the lease or of one target.

        :param now_ms: clock reading, taken before the actions run
        :return: actions to carry out in order
        """
        if hasattr(event, 'target'):
            actions = self.book.handle(event, now_ms)
        else:
            actions = self._handle_lease(event, now_ms)
        actions.extend(self._write_journal(now_ms))
        return actions

    def _handle_lease(self, event: Any, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for action in self.lease.handle(event, now_ms):
            actions.append(action)
            if isinstance(action, LeaseWon):
                self.book.inherit(action.record, now_ms)
            if isinstance(action, (RecordWritten, StepDown)):
                actions.extend(self.book.handle_all(action, now_ms))
            if isinstance(action, StepDown):
                self.book.unwritten_by_target.clear()
        if isinstance(event, Tick):
            actions.extend(self.book.handle_all(event, now_ms))
        return actions

    def _write_journal(self, now_ms: int) -> list[Action]:
        unwritten = self.book.unwritten_by_target
        if self.lease.state != 'holding' or not unwritten:
            return []
        change = JournalChange(tuple(unwritten.values()))
        unwritten.clear()
        return self.lease.handle(change, now_ms)
