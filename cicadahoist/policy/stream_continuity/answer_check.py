"""Checks one answer: whether it is a stream, the rest of one, and complete."""

from enum import Enum

from cicadahoist.policy.stream_continuity.caller_stream import CallerStream
from cicadahoist.policy.stream_continuity.event_text import (
    find_number,
    is_comment,
    list_fields,
    parse_number,
)
from cicadahoist.requests import AnswerHead, AnswerMeaning

EVENT_STREAM_TYPE = b'text/event-stream'


class StreamFlaw(Enum):
    """
    Why an answer is no stream, not the rest of one, or not complete.

    ``inside_event`` and ``no_event``: its framing ended inside an event, or
    before the first one. ``other_kind``: its head is not that of the stream
    that it is to continue. ``foreign_text``: it holds what is no event.
    ``misplaced_event``: it starts before the event after which it was to
    continue, or leaves one out.
    """

    inside_event = 'inside-event'
    no_event = 'no-event'
    other_kind = 'other-kind'
    foreign_text = 'foreign-text'
    misplaced_event = 'misplaced-event'


# Flaws of what a target sends, which are no sign that it has crashed.
STRAY_FLAWS = frozenset(
    (
        StreamFlaw.other_kind,
        StreamFlaw.foreign_text,
        StreamFlaw.misplaced_event,
    )
)


def can_continue(meaning: AnswerMeaning) -> bool:
    """Return whether an answer may be the rest of a stream that has begun."""
    return meaning is AnswerMeaning.whole


class AnswerCheck:
    """
    Checks one answer, from its head to its end.

    :param resume_after: number of the event after which the target was asked to
        continue, empty for the start
    :param stream: the stream of the caller, none if it gets this answer only
    """

    __slots__ = (
        '_begun_stream',
        '_fields',
        '_has_events',
        '_last_number',
        '_resume_after',
        '_states_stream',
        '_stream',
    )

    def __init__(
        self, resume_after: str = '', stream: CallerStream | None = None
    ) -> None:
        self._resume_after = resume_after
        self._stream = stream
        # The stream that the answer is to continue, none if it begins one.
        self._begun_stream: CallerStream | None = None
        # Names of the fields that its events may have.
        self._fields: frozenset[bytes] = frozenset()
        self._last_number = 0
        self._has_events = False
        self._states_stream = False

    def find_head_flaw(self, head: AnswerHead) -> StreamFlaw | None:
        """Return why an answer cannot continue the stream that has begun."""
        stream = self._stream
        if stream is None or stream.head is None:
            return None
        self._begun_stream = stream
        self._fields = stream.fields
        media_type = head.media_type
        self._states_stream = media_type == EVENT_STREAM_TYPE
        is_same_type = media_type == stream.head.media_type
        if not stream.head.media_type:
            is_same_type = self._states_stream or not media_type
        is_same_status = head.status == stream.head.status
        if not (can_continue(head.meaning) and is_same_status and is_same_type):
            return StreamFlaw.other_kind
        number = parse_number(self._resume_after)
        if number is None:
            return StreamFlaw.misplaced_event
        self._last_number = number
        return None

    def select_sound(
        self, events: list[bytes]
    ) -> tuple[list[bytes], StreamFlaw | None]:
        """
        Return the events before the first flaw, and the flaw, if any.

        :param events: the next events of the answer
        """
        if self._begun_stream is None:
            self._has_events = self._has_events or bool(events)
            return events, None
        sound_events: list[bytes] = []
        for event in events:
            if is_comment(event):
                continue
            flaw = self._find_event_flaw(event, self._begun_stream)
            if flaw is not None:
                return sound_events, flaw
            self._has_events = True
            sound_events.append(event)
        return sound_events, None

    def find_end_flaw(
        self, *, is_inside_event: bool, is_stated: bool
    ) -> StreamFlaw | None:
        """
        Return why an answer is incomplete although its framing has ended.

        A target that is asked to continue after the last event has none left.

        :param is_inside_event: whether bytes of an unfinished event are left
        :param is_stated: whether the framing states the end, other than by the
            close of the connection
        """
        if is_inside_event:
            return StreamFlaw.inside_event
        may_be_empty = bool(self._resume_after)
        if self._begun_stream is not None:
            may_be_empty = self._states_stream and is_stated
        if not self._has_events and not may_be_empty:
            return StreamFlaw.no_event
        return None

    def _find_event_flaw(
        self, event: bytes, stream: CallerStream
    ) -> StreamFlaw | None:
        number = find_number(event)
        if number is None or not list_fields(event) <= self._fields:
            return StreamFlaw.foreign_text
        if not self._has_events and number == self._last_number:
            # The last event that the caller has received, once more.
            return None
        if number <= self._last_number:
            return StreamFlaw.misplaced_event
        if stream.is_counted and number != self._last_number + 1:
            return StreamFlaw.misplaced_event
        self._last_number = number
        return None
