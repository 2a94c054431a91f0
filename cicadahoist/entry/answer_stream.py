"""
One streamed answer across all its attempts.

A broken stream is resumed after the last token that the caller has received.
Chunks are therefore ordered by token offset: a chunk that the caller has
received already is dropped, and a gap ends the attempt.
"""

from enum import Enum
from typing import Any

import msgspec

from cicadahoist.entry.events import (
    DONE,
    Chunk,
    Usage,
    decode_chunk,
    encode_event,
)


class Progress(Enum):
    """State of the answer after an event."""

    going_on = 'going on'
    complete = 'complete'
    broken = 'broken'


class AnswerStream:
    """
    Merges the events of several attempts into one answer.

    ``record`` collects the events for the caller, unless it is none.

    :param wants_usage: whether the caller requested a usage chunk
    """

    __slots__ = (
        '_answer_id',
        '_expected_id',
        '_is_finished',
        '_must_rewrite',
        '_wants_usage',
        'next_offset',
        'record',
        'usage',
    )

    def __init__(self, *, wants_usage: bool) -> None:
        self.next_offset = 0
        self.usage = Usage()
        self.record: list[bytes] | None = None
        self._wants_usage = wants_usage
        self._is_finished = False
        self._answer_id = ''
        self._expected_id = ''
        self._must_rewrite = False

    @property
    def has_begun(self) -> bool:
        """Whether a chunk of any attempt was accepted."""
        return bool(self._answer_id or self.next_offset)

    @property
    def is_complete(self) -> bool:
        """Whether the chunk with the finish reason was accepted."""
        return self._is_finished

    def begin_attempt(self, expected_id: str) -> None:
        """
        Start a new attempt, to which all further events belong.

        :param expected_id: id of the attempt's chunks, empty if unknown
        """
        self._expected_id = expected_id
        self._must_rewrite = bool(self._answer_id)

    def accept(self, payload: bytes, out: list[bytes]) -> Progress:
        """
        Process one event of the current attempt.

        :param payload: payload of the event
        :param out: the encoded events for the caller are appended to it,
            except for the end of the stream
        :return: state of the answer after the event
        """
        if payload == DONE:
            return Progress.complete if self._is_finished else Progress.broken
        try:
            chunk = decode_chunk(payload)
        except msgspec.MsgspecError:
            return Progress.broken
        if chunk.error is not None:
            return Progress.broken
        if self._expected_id not in {'', chunk.id}:
            # A delayed or misrouted chunk of another attempt.
            return Progress.going_on
        return self._accept_chunk(chunk, payload, out)

    def _accept_chunk(
        self, chunk: Chunk, payload: bytes, out: list[bytes]
    ) -> Progress:
        self._answer_id = self._answer_id or chunk.id
        if chunk.usage is not None:
            self._accept_usage(chunk.usage)
        if chunk.choices:
            return self._accept_tokens(chunk, payload, out)
        if chunk.usage is not None and self._wants_usage:
            out.append(self._encode(payload))
        return Progress.going_on

    def _accept_tokens(
        self, chunk: Chunk, payload: bytes, out: list[bytes]
    ) -> Progress:
        choice = chunk.choices[0]
        token_count = chunk.tokens
        if chunk.token_offset is None:
            token_count = int(choice.has_output)
        elif chunk.token_offset != self.next_offset:
            return self._handle_misplaced(chunk.token_offset + token_count)
        is_end = choice.finish_reason is not None
        if self._is_repeated(token_count, is_end=is_end):
            return Progress.going_on
        self.next_offset += token_count
        self._is_finished = self._is_finished or is_end
        out.append(self._encode(payload))
        return Progress.going_on

    def _handle_misplaced(self, end_offset: int) -> Progress:
        if end_offset <= self.next_offset:
            return Progress.going_on
        return Progress.broken

    def _is_repeated(self, token_count: int, *, is_end: bool) -> bool:
        """Return whether an earlier attempt has sent this chunk already."""
        if is_end:
            return self._is_finished
        return self._must_rewrite and not token_count

    def _accept_usage(self, usage: Usage) -> None:
        self.usage.prompt_tokens = usage.prompt_tokens
        self.usage.completion_tokens = max(
            usage.completion_tokens, self.next_offset
        )

    def _encode(self, payload: bytes) -> bytes:
        if self._must_rewrite:
            return encode_event(self._rewrite(payload))
        return encode_event(payload)

    def _rewrite(self, payload: bytes) -> bytes:
        """Return a chunk of a later attempt with the id of the first one."""
        fields: dict[str, Any] = msgspec.json.decode(
            payload, type=dict[str, Any]
        )
        fields['id'] = self._answer_id
        if fields.get('usage'):
            prompt = self.usage.prompt_tokens
            output = self.usage.completion_tokens
            fields['usage']['completion_tokens'] = output
            fields['usage']['total_tokens'] = prompt + output
        return msgspec.json.encode(fields)
