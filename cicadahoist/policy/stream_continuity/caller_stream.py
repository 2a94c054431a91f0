"""The stream that a caller receives, and where another target continues it."""

from cicadahoist.policy.stream_continuity.event_text import (
    STANDARD_FIELDS,
    find_number,
    list_fields,
    parse_number,
)
from cicadahoist.requests import AnswerHead


class CallerStream:
    """
    Merges the events of several answers into one stream.

    :param resume_after: number of the last event that the caller has received
    """

    __slots__ = ('_last_event', 'head', 'is_counted', 'last_event_id')

    def __init__(self, resume_after: str = '') -> None:
        self.last_event_id = parse_number(resume_after)
        # Whether each event so far had the number after the one before.
        self.is_counted = True
        # Head of the answer that began the stream.
        self.head: AnswerHead | None = None
        self._last_event = b''

    @property
    def may_go_on(self) -> bool:
        """Whether a target can be told where to begin or to continue."""
        return self.head is None or self.last_event_id is not None

    @property
    def resume_after(self) -> str:
        """Number after which a target is to continue, empty for the start."""
        return '' if self.last_event_id is None else str(self.last_event_id)

    @property
    def fields(self) -> frozenset[bytes]:
        """Names of the fields that its events may have."""
        return STANDARD_FIELDS | list_fields(self._last_event)

    def begin(self, head: AnswerHead) -> None:
        """Record the head that is passed on, unless one was before."""
        if self.head is None:
            self.head = head

    def select_new(self, events: list[bytes]) -> list[bytes]:
        """Return the whole events that the caller lacks."""
        return [event for event in events if self._is_new(event)]

    def _is_new(self, event: bytes) -> bool:
        number = find_number(event)
        if number is None:
            return True
        last = self.last_event_id
        if last is not None and number <= last:
            return False
        if last is None:
            self.is_counted = number <= 1
        elif number != last + 1:
            self.is_counted = False
        self.last_event_id = number
        self._last_event = event
        return True
