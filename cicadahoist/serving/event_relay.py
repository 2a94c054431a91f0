"""Selects the events that a caller lacks, and where its stream is resumed."""

import re

_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)


class EventRelay:
    """
    Merges the events of several attempts into one stream.

    :param resume_after: number of the last event that the caller has received
    """

    __slots__ = ('last_event_id',)

    def __init__(self, resume_after: str = '') -> None:
        self.last_event_id = (
            int(resume_after) if resume_after.isdigit() else None
        )

    def select_new(self, events: list[bytes]) -> list[bytes]:
        """Return the whole events that the caller lacks."""
        return [event for event in events if self._is_new(event)]

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self.last_event_id is not None and number <= self.last_event_id:
            return False
        self.last_event_id = number
        return True
