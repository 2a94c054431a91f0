"""Interface of the work that the holder of a lease does."""

from typing import Any, Protocol

from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.records import JournalEntry, LeaseRecord


class Duty(Protocol):
    """
    Work of the holder of one lease.

    An order is sent only after the journal of the lease has recorded it.
    """

    def begin_term(self, record: LeaseRecord) -> None:
        """
        Start the work of a new term.

        :param record: the lease record, with the journal of the last holder
        """

    def end_term(self) -> None:
        """Stop the work at once: another process may soon hold the lease."""

    def tick(self, now_ms: int) -> None:
        """
        Do the work that is due; called periodically by the lease holder.

        :param now_ms: time on the clock of the process
        """

    async def send(self, entry: JournalEntry) -> Any:
        """
        Send a journalled order.

        :return: the event that describes the response, or None
        """

    async def read(self, target: str, token: str) -> Any:
        """
        Read from a target whether it has carried out an order.

        :param token: identifier of the order
        :return: the event that describes the state, or None if it is unknown
        """

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Handle the outcome of an order once the journal has recorded it."""
