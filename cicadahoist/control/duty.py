"""What the holder of a lease does under it."""

from typing import Any, Protocol

from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.records import JournalEntry, LeaseRecord


class Duty(Protocol):
    """
    Work that is done under one lease.

    Orders go out only by way of the lease's journal.
    """

    def begin_term(self, record: LeaseRecord) -> None:
        """Begin the work; the record shows the predecessor's journal."""

    def end_term(self) -> None:
        """End the work at once; another process may hold the lease soon."""

    def tick(self, now_ms: int) -> None:
        """Go on with the work; called often while the lease is held."""

    async def send(self, entry: JournalEntry) -> Any:
        """Send an order and return the event that its answer gives."""

    async def read(self, target: str, token: str) -> Any:
        """Read a target's state and return the event, or none."""

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Take note that the outcome of an order is journalled."""
