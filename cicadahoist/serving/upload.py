"""One request of a caller while it is read, and the memory for its body."""

from collections.abc import Callable
from typing import Protocol

import h11

from cicadahoist.policy.caller_admission.memory_budget import (
    SMALL_BYTES,
    HeldBytes,
    MemoryBudget,
)
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.request_reader import (
    HeadRefusal,
    RawRequest,
    RequestReader,
)


class HeadJudge(Protocol):
    """Decides what the head of a request decides."""

    @property
    def memory(self) -> MemoryBudget:
        """Memory that may be spent on callers."""

    def check_head(self, raw: RawRequest) -> HeadRefusal | None:
        """
        Return how a request is refused whatever its body is.

        :param raw: its head
        """

    def refuse_for_memory(self, raw: RawRequest) -> HeadRefusal:
        """Return how a request is refused for whose body there is no room."""


class Upload:
    """
    A request that is being read.

    Each step returns how the request is refused, none if it goes on.

    :param judge: decides what the head decides
    :param limits: limits on the sizes of the head and of the body
    :param head: the head as h11 has parsed it
    """

    __slots__ = ('_hold', '_is_head_checked', '_judge', '_reader')

    def __init__(
        self, judge: HeadJudge, limits: CallerLimits, head: h11.Request
    ) -> None:
        self._judge = judge
        self._reader = RequestReader(limits, head)
        self._hold: HeldBytes | None = None
        self._is_head_checked = False

    def begin(
        self, on_stalled: Callable[[HeadRefusal], None]
    ) -> HeadRefusal | None:
        """
        Check the head, and take the memory for the body.

        :param on_stalled: refuses the request, as others need its memory
        """
        status = self._reader.check_head()
        if status is not None:
            return HeadRefusal(status)
        stated_bytes = self._reader.stated_bytes
        if stated_bytes == 0:
            return None
        if stated_bytes is None or stated_bytes > SMALL_BYTES:
            refusal = self.check_head()
            if refusal is not None:
                return refusal
        self._hold = self._judge.memory.open()
        self._hold.wait_for_caller(
            lambda: on_stalled(self._judge.refuse_for_memory(self._build()))
        )
        return self._take(stated_bytes or 0)

    def check_head(self) -> HeadRefusal | None:
        """Check, once, what the head decides while the body is incomplete."""
        if self._is_head_checked:
            return None
        self._is_head_checked = True
        return self._judge.check_head(self._build())

    def add(self, piece: bytes) -> HeadRefusal | None:
        """Add a piece of the body; one of unknown length grows with it."""
        grown_bytes = 0
        if self._reader.stated_bytes is None:
            grown_bytes = len(piece)
        refusal = self._take(grown_bytes)
        if refusal is not None:
            return refusal
        status = self._reader.add_body(piece)
        return None if status is None else HeadRefusal(status)

    def finish(self, since_ms: int) -> RawRequest:
        """
        Return the complete request, which now has the memory for its body.

        :param since_ms: earliest time at which its first byte can have arrived
        """
        raw = self._reader.build_request(since_ms)
        if self._hold is not None:
            self._hold.end_wait()
            raw.hold = self._hold
            self._hold = None
        return raw

    def drop(self) -> None:
        """Give the memory back; the request is not read any further."""
        self._reader.clear()
        if self._hold is not None:
            self._hold.release()
            self._hold = None

    def _take(self, count: int) -> HeadRefusal | None:
        if self._hold is None or self._hold.try_grow(count):
            return None
        return self._judge.refuse_for_memory(self._build())

    def _build(self) -> RawRequest:
        """Return the head as a request without a body."""
        return self._reader.build_head()
