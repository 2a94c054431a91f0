"""Relays whole events of a stream, and tracks where it can be resumed."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)


class EventRelay:
    """
    Splits a stream into events.

    Only whole events are passed on, so that another target can resume after
    the last of them.

    :param resume_after: number of the last event that the caller has received
    """

    __slots__ = ('_partial_event', 'last_event_id')

    def __init__(self, resume_after: str = '') -> None:
        self._partial_event = b''
        self.last_event_id = (
            int(resume_after) if resume_after.isdigit() else None
        )

    @property
    def partial_bytes(self) -> int:
        """Count of received bytes after the last whole event."""
        return len(self._partial_event)

    def feed(self, piece: bytes) -> bytes:
        """Return the events that the piece completes and the caller lacks."""
        events = self._partial_event + piece
        end = 0
        new_events = []
        for boundary in _EVENT_END.finditer(events):
            event = events[end : boundary.end()]
            end = boundary.end()
            if self._is_new(event):
                new_events.append(event)
        self._partial_event = events[end:]
        return b''.join(new_events)

    def discard_partial_event(self) -> None:
        """Discard a broken event: another target resumes after the last one."""
        self._partial_event = b''

    def flush(self) -> bytes:
        """Return the bytes after the last event of a complete answer."""
        partial_event = self._partial_event
        self._partial_event = b''
        return partial_event

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self.last_event_id is not None and number <= self.last_event_id:
            return False
        self.last_event_id = number
        return True
