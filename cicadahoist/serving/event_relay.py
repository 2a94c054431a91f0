"""Selects the events that a caller lacks, and where its stream is resumed."""

import re

# Longer numbers are no numbers of events.
_MAX_DIGITS = 18
_EVENT_ID = re.compile(rb'^id:[ ]?(\d{1,18})\r?$', re.MULTILINE)


def parse_number(text: str) -> int | None:
    """Return the number of an event from a header, none if it is no number."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None


class EventRelay:
    """
    Merges the events of several attempts into one stream.

    :param resume_after: number of the last event that the caller has received
    """

    __slots__ = ('last_event_id',)

    def __init__(self, resume_after: str = '') -> None:
        self.last_event_id = parse_number(resume_after)

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
