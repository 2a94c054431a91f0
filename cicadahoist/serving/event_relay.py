"""Passes on whole events of a stream, and knows where it may go on."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)


class EventRelay:
    """
    Splits a stream into events.

    Only whole events are passed on, so that another target can go on behind
    the last of them.

    :param resume_after: number of the last event that the caller has
    """

    __slots__ = ('_rest', 'last_id')

    def __init__(self, resume_after: str = '') -> None:
        self._rest = b''
        self.last_id = int(resume_after) if resume_after.isdigit() else None

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that are complete now and new."""
        events = self._rest + piece
        end = 0
        passed = []
        for boundary in _EVENT_END.finditer(events):
            event = events[end : boundary.end()]
            end = boundary.end()
            if self._is_new(event):
                passed.append(event)
        self._rest = events[end:]
        return b''.join(passed)

    def begin_again(self) -> None:
        """Drop a broken event: another target goes on behind the last one."""
        self._rest = b''

    def end(self) -> bytes:
        """Return the bytes after the last event of a whole answer."""
        rest = self._rest
        self._rest = b''
        return rest

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
