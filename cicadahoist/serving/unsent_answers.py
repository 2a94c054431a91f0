"""Memory for answers that wait for a slow caller."""

from functools import partial
from typing import Any

from cicadahoist.outside.sockets import count_buffered_bytes
from cicadahoist.policy.caller_admission.memory_budget import (
    SMALL_BYTES,
    HeldBytes,
    MemoryBudget,
)


class UnsentAnswers:
    """
    Counts the answers of one connection until their bytes have left.

    Short ones are not counted: a connection has one at a time.

    The connection is reset where its caller stalls while others need memory.

    :param memory: memory that may be spent on callers
    """

    __slots__ = ('_buffered_bytes', '_hold', '_memory')

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._hold: HeldBytes | None = None
        self._buffered_bytes = 0

    def add(self, answer_bytes: int, transport: Any) -> None:
        """
        Count an answer.

        :param answer_bytes: its length; it was held until now as it was read
        :param transport: the connection
        """
        if answer_bytes <= SMALL_BYTES:
            return
        if self._hold is None:
            self._hold = self._memory.open()
            self._hold.wait_for_caller(partial(self._end_stalled, transport))
        self._hold.grow(answer_bytes)

    def check(self, transport: Any) -> None:
        """Give the memory back once all bytes have left a transport."""
        if self._hold is None:
            return
        buffered_bytes = count_buffered_bytes(transport)
        if not buffered_bytes:
            self.drop()
        elif buffered_bytes != self._buffered_bytes:
            self._buffered_bytes = buffered_bytes
            self._hold.record_progress()

    def drop(self) -> None:
        """Give the memory back."""
        if self._hold is not None:
            self._hold.release()
            self._hold = None

    def _end_stalled(self, transport: Any) -> None:
        self.drop()
        transport.abortConnection()
