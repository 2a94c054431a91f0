"""Estimate of how long bytes wait at the link of this instance."""

BYTES_PER_MS_PER_MBPS = 125
# Headers of packets, acknowledgements and connection setup, relative to the
# bytes of messages.
OVERHEAD_FACTOR = 1.08


class LinkQueue:
    """
    Models the queue of bytes that this instance has sent and its link has not.

    Bytes wait there unseen: a target that gets a request late, or an answer
    that comes late, is no sign of a slow target. What is known not to arrive in
    time need not be sent.

    :param bytes_per_ms: bandwidth of the link, none if it is unknown; nothing
        waits then
    """

    __slots__ = ('_busy_until_ms', '_bytes_per_ms')

    def __init__(self, bytes_per_ms: float | None = None) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._busy_until_ms = 0.0

    @classmethod
    def from_mbps(cls, mbps: float | None) -> 'LinkQueue':
        """Return the queue of a link by its bandwidth in Mbit/s."""
        return cls(mbps * BYTES_PER_MS_PER_MBPS if mbps else None)

    def record_sent(self, message_bytes: int, now_ms: int) -> None:
        """Add a message to the queue."""
        if self._bytes_per_ms is not None:
            took_ms = message_bytes * OVERHEAD_FACTOR / self._bytes_per_ms
            self._busy_until_ms = max(self._busy_until_ms, now_ms) + took_ms

    def compute_wait_ms(self, now_ms: int) -> float:
        """Return how long a message that is sent now waits."""
        return max(0.0, self._busy_until_ms - now_ms)
