"""Splits a stream into whole events."""

import re

from cicadahoist.outside.bodies import MAX_EVENT_BYTES
from cicadahoist.policy.stream_continuity.answer_check import AnswerCheck
from cicadahoist.rules import RouteRule

# The line end before the blank line may be LF or CRLF; both end in LF.
_EVENT_END = re.compile(rb'\n\r?\n')
_MAX_END_BYTES = 3
_LINE_END_BYTES = b'\r\n'


class EventStream:
    """
    Splits the body of one answer into whole events.

    Lines end in LF or CRLF. Each byte is searched about once, however the
    stream is split into pieces.

    :param check: checks the answer, by default one from the start of a stream
    """

    __slots__ = ('_partial_event', 'check')

    def __init__(self, check: AnswerCheck | None = None) -> None:
        self._partial_event = bytearray()
        self.check = check or AnswerCheck()

    @classmethod
    def from_route(
        cls, route: RouteRule, check: AnswerCheck
    ) -> 'EventStream | None':
        """Return a stream for one answer, none if the route has no streams."""
        return cls(check) if route.is_streamed else None

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream would be broken off if it ended here."""
        return bool(self._partial_event.strip(_LINE_END_BYTES))

    @property
    def is_too_long(self) -> bool:
        """Whether the unfinished event is longer than any event may be."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, piece: bytes) -> list[bytes]:
        """Return the events that the piece completes."""
        buffer = self._partial_event
        search_start = max(0, len(buffer) - _MAX_END_BYTES + 1)
        buffer += piece
        events = []
        event_start = 0
        for boundary in _EVENT_END.finditer(buffer, search_start):
            events.append(bytes(buffer[event_start : boundary.end()]))
            event_start = boundary.end()
        if events:
            self._partial_event = buffer[event_start:]
        return events

    def take_rest(self) -> bytes:
        """Return the bytes after the last whole event, and forget them."""
        rest = bytes(self._partial_event)
        self._partial_event.clear()
        return rest
