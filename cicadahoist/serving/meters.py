"""Metrics of the data path."""

from cicadahoist.metrics import (
    ANSWERED,
    ENDED_BY_CLOSE,
    FIRST_BYTE,
    LOAD_BYTES,
    READ_WAIT,
    Metrics,
)
from cicadahoist.reasons import Refusal, Retry


class Meters:
    """
    Counts the ends of requests and their retries.

    :param metrics: metrics of the process
    """

    __slots__ = (
        '_answered',
        '_ended_by_close',
        '_first_byte',
        '_load_bytes',
        '_metrics',
        '_read_wait',
    )

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._answered = metrics.counter(ANSWERED)
        self._ended_by_close = metrics.counter(ENDED_BY_CLOSE)
        self._first_byte = metrics.histogram(FIRST_BYTE)
        self._load_bytes = metrics.counter(LOAD_BYTES)
        self._read_wait = metrics.histogram(READ_WAIT)

    def count_answer(self) -> None:
        """Count a complete answer."""
        self._answered.add(1)

    def count_ended_by_close(self) -> None:
        """Count an answer whose only end was that of its connection."""
        self._ended_by_close.add(1)

    def record_first_byte(self, took_ms: int) -> None:
        """Record the time from arrival to the first byte of the answer."""
        self._first_byte.record(took_ms)

    def record_read_wait(self, waited_ms: int) -> None:
        """Record how long a request can have waited until it was read."""
        self._read_wait.record(waited_ms)

    def count_load_bytes(self, sent_bytes: int) -> None:
        """Count bytes of load reports sent to other instances."""
        self._load_bytes.add(sent_bytes)

    def count_refusal(self, reason: Refusal) -> None:
        """Count a refusal."""
        self._metrics.count_refusal(reason)

    def count_retry(self, reason: Retry) -> None:
        """Count a retry."""
        self._metrics.count_retry(reason)
