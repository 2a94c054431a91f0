"""Age of the state that a reader of the store tells."""

# Longest silence of a reader that is relied on: three of its heartbeats.
READER_SILENCE_MS = 900
# Oldest state for which a reader is relied on. It is well below the age at
# which an instance reports that it is not ready.
MAX_STATE_AGE_MS = 2200
# Period of the questions for the clock of a reader. A later answer is of no
# use: messages that wait for so long tell a state that is too old.
QUESTION_PERIOD_MS = 2000
# Time of a state whose age is not known.
UNKNOWN_MS = 0


class ReaderAge:
    """
    Bounds the age of the state of one reader by the times of its messages.

    Clocks of instances differ by a constant. A reader reads its clock for an
    answer after the question was sent, which bounds the difference however long
    messages wait; without an answer, the age is unknown.

    :param heard_ms: time at which the first message was received
    """

    __slots__ = (
        '_answered_offset_ms',
        '_asked_ms',
        '_last_heard_ms',
        '_least_offset_ms',
    )

    def __init__(self, heard_ms: int) -> None:
        self._last_heard_ms = heard_ms
        self._least_offset_ms: int | None = None
        self._asked_ms: int | None = None
        self._answered_offset_ms: int | None = None

    def begin_question(self, now_ms: int) -> bool:
        """Return whether the reader is to be asked for its clock now."""
        asked_ms = self._asked_ms
        if asked_ms is not None and now_ms - asked_ms < QUESTION_PERIOD_MS:
            return False
        self._asked_ms = now_ms
        return True

    def record_answer(self, asked_ms: int, sent_ms: int) -> None:
        """
        Record an answer to the last question; ignore one to another question.

        :param asked_ms: time of the question
        :param sent_ms: reading of the clock of the reader
        """
        if asked_ms != self._asked_ms:
            return
        offset_ms = asked_ms - sent_ms
        known_ms = self._answered_offset_ms
        if known_ms is None or offset_ms > known_ms:
            self._answered_offset_ms = offset_ms

    def record(self, sent_ms: int, age_ms: int, received_ms: int) -> int:
        """
        Record a message.

        :param sent_ms: reading of the clock of the reader
        :param age_ms: age of the state by that clock
        :return: time of the own clock until which the state was complete
        """
        offset_ms = received_ms - sent_ms
        if self._least_offset_ms is None or offset_ms < self._least_offset_ms:
            self._least_offset_ms = offset_ms
        self._last_heard_ms = received_ms
        if self._answered_offset_ms is None:
            return UNKNOWN_MS
        # No message arrives before it is sent: this corrects clocks that drift.
        bound_ms = min(self._answered_offset_ms, self._least_offset_ms)
        return sent_ms + bound_ms - age_ms

    def is_reliable(self, confirmed_ms: int, now_ms: int) -> bool:
        """
        Return whether an instance may rely on the reader.

        :param confirmed_ms: time until which its state was complete
        """
        if self._answered_offset_ms is None:
            return False
        is_heard = now_ms - self._last_heard_ms < READER_SILENCE_MS
        return is_heard and now_ms - confirmed_ms <= MAX_STATE_AGE_MS
