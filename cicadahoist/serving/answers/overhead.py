"""Bounds what a target may send besides the body of an answer."""

from typing import Any

import h11

# Bytes that bring a request no part of its answer: heads, interim (1xx) heads,
# framing, trailers, and late answers to earlier requests, which are skipped.
MAX_OVERHEAD_BYTES = 131_072
# Overhead that each byte of a body makes up for. The framing of a chunk of one
# byte takes 5 bytes, or 13 with a padded size.
OVERHEAD_PER_BODY_BYTE = 16
# A target may send some while it works, but reading them costs time.
MAX_INTERIM_HEADS = 100


class AnswerOverhead:
    """
    What the answer to one request has taken besides its body.

    A target exceeds its bounds with the read that goes beyond them.
    """

    __slots__ = ('_interim_head_count', '_overhead_bytes')

    def __init__(self) -> None:
        # Overhead that the body does not make up for.
        self._overhead_bytes = 0
        self._interim_head_count = 0

    @property
    def is_too_long(self) -> bool:
        """Whether the target has sent more than an answer may take."""
        return (
            self._overhead_bytes > MAX_OVERHEAD_BYTES
            or self._interim_head_count > MAX_INTERIM_HEADS
        )

    def record_received(self, received_bytes: int) -> None:
        """Record bytes that were received, whatever they are."""
        self._overhead_bytes += received_bytes

    def record_event(self, event: Any, *, is_skipped: bool) -> None:
        """
        Record an event that was parsed from them.

        :param event: event of h11
        :param is_skipped: whether it is part of a late answer
        """
        if isinstance(event, h11.Data) and not is_skipped:
            made_up_bytes = len(event.data) * (1 + OVERHEAD_PER_BODY_BYTE)
            self._overhead_bytes = max(0, self._overhead_bytes - made_up_bytes)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_head_count += 1
