"""Age of the state that a reader of the store tells."""

# Longest silence of a reader that is relied on: three of its heartbeats.
READER_SILENCE_MS = 900
# A reader is relied on once it has been heard for this long, so that the delay
# of its messages is known from several of them.
WARM_UP_MS = 1000
# Delay that all messages of a reader may have had and that cannot be seen.
UNSEEN_DELAY_MS = 300
# Oldest state for which a reader is relied on. It is well below the age at
# which an instance reports that it is not ready.
MAX_STATE_AGE_MS = 2200


class ReaderAge:
    """
    Bounds the age of the state of one reader by the times of its messages.

    Clocks of instances differ by a constant. A message that was delayed more
    than the fastest one made the state look younger than it is, so that its
    additional delay is added to the age.

    :param heard_ms: time at which the first message was received
    """

    __slots__ = ('_heard_ms', '_last_heard_ms', '_least_offset_ms')

    def __init__(self, heard_ms: int) -> None:
        self._heard_ms = heard_ms
        self._last_heard_ms = heard_ms
        self._least_offset_ms: int | None = None

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
        delay_ms = offset_ms - self._least_offset_ms + UNSEEN_DELAY_MS
        return received_ms - age_ms - delay_ms

    def is_reliable(self, confirmed_ms: int, now_ms: int) -> bool:
        """
        Return whether an instance may rely on the reader.

        :param confirmed_ms: time until which its state was complete
        """
        if self._last_heard_ms - self._heard_ms < WARM_UP_MS:
            return False
        is_heard = now_ms - self._last_heard_ms <= READER_SILENCE_MS
        return is_heard and now_ms - confirmed_ms <= MAX_STATE_AGE_MS
