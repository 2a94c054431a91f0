"""Metrics of the data path."""

from cicadahoist.metrics import (
    ANSWERED,
    ANSWERS_SKIPPED,
    ANSWERS_UNATTRIBUTED,
    CLOSED_UNDER_REQUEST,
    COLLECTOR_CHANGES,
    CUT_BESIDE_CHANGE,
    CUT_OTHERWISE,
    ENDED_BESIDE_CHANGE,
    ENDED_BY_CLOSE,
    ENDED_OTHERWISE,
    FIRST_BYTE,
    LOAD_BYTES,
    LOAD_DATAGRAMS_RECEIVED,
    LOAD_DATAGRAMS_SENT,
    READ_WAIT,
    RECORD_WAITS,
    SILENT_KEPT,
    Metrics,
)
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.serving.balance_meters import BalanceMeters
from cicadahoist.serving.capacity_meters import CapacityMeters
from cicadahoist.serving.relay_meters import RelayMeters


class Meters:
    """
    Counts the ends of requests and their retries.

    :param metrics: metrics of the process
    """

    __slots__ = (
        '_answered',
        '_answers_skipped',
        '_answers_unattributed',
        '_closed_under_request',
        '_collector_changes',
        '_cut_beside_change',
        '_cut_otherwise',
        '_ended_beside_change',
        '_ended_by_close',
        '_ended_otherwise',
        '_first_byte',
        '_load_bytes',
        '_load_datagrams_received',
        '_load_datagrams_sent',
        '_metrics',
        '_read_wait',
        '_record_waits',
        '_received_count',
        '_sent_bytes',
        '_sent_count',
        '_silent_kept',
        'capacity',
        'balance',
        'relays',
    )

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._answered = metrics.counter(ANSWERED)
        self._answers_skipped = metrics.counter(ANSWERS_SKIPPED)
        self._answers_unattributed = metrics.counter(ANSWERS_UNATTRIBUTED)
        self._closed_under_request = metrics.counter(CLOSED_UNDER_REQUEST)
        self._cut_beside_change = metrics.counter(CUT_BESIDE_CHANGE)
        self._cut_otherwise = metrics.counter(CUT_OTHERWISE)
        self._ended_beside_change = metrics.counter(ENDED_BESIDE_CHANGE)
        self._ended_by_close = metrics.counter(ENDED_BY_CLOSE)
        self._ended_otherwise = metrics.counter(ENDED_OTHERWISE)
        self._first_byte = metrics.histogram(FIRST_BYTE)
        self._collector_changes = metrics.counter(COLLECTOR_CHANGES)
        self._load_bytes = metrics.counter(LOAD_BYTES)
        self._load_datagrams_received = metrics.counter(LOAD_DATAGRAMS_RECEIVED)
        self._load_datagrams_sent = metrics.counter(LOAD_DATAGRAMS_SENT)
        # Datagrams that the metrics do not have yet.
        self._sent_bytes = 0
        self._sent_count = 0
        self._received_count = 0
        self._read_wait = metrics.histogram(READ_WAIT)
        self._record_waits = metrics.counter(RECORD_WAITS)
        self._silent_kept = metrics.counter(SILENT_KEPT)
        self.capacity = CapacityMeters(metrics)
        self.balance = BalanceMeters(metrics)
        self.relays = RelayMeters(metrics)

    def count_answer(self) -> None:
        """Count a complete answer."""
        self._answered.add(1)

    def count_ended_by_close(self) -> None:
        """Count an answer whose only end was that of its connection."""
        self._ended_by_close.add(1)

    def record_attribution(
        self, skipped_count: int, *, is_given_up: bool
    ) -> None:
        """
        Record whether the answer to an attempt could be told from others.

        :param skipped_count: answers to other requests that came before it
        :param is_given_up: whether the attempt ended as it could not be told
        """
        if skipped_count:
            self._answers_skipped.add(skipped_count)
        if is_given_up:
            self._answers_unattributed.add(1)

    def count_end(self, *, is_cut: bool, is_beside_change: bool) -> None:
        """
        Count the end of a request.

        :param is_cut: whether its answer was begun and not completed
        :param is_beside_change: whether the configuration has just changed
        """
        ended = self._ended_otherwise
        cut = self._cut_otherwise
        if is_beside_change:
            ended = self._ended_beside_change
            cut = self._cut_beside_change
        ended.add(1)
        if is_cut:
            cut.add(1)

    def count_closed_under_request(self) -> None:
        """Count a connection closed with a request that got no answer."""
        self._closed_under_request.add(1)

    def count_kept_silent(self) -> None:
        """Count an attempt that stays with a silent target."""
        self._silent_kept.add(1)

    def count_record_wait(self) -> None:
        """Count a wait until a software version was recorded."""
        self._record_waits.add(1)

    def record_first_byte(self, took_ms: int) -> None:
        """Record the time from arrival to the first byte of the answer."""
        self._first_byte.record(took_ms)

    def record_read_wait(self, waited_ms: int) -> None:
        """Record how long a request can have waited until it was read."""
        self._read_wait.record(waited_ms)

    def count_load_sent(self, sent_bytes: int) -> None:
        """Count a datagram sent to another instance."""
        self._sent_bytes += sent_bytes
        self._sent_count += 1

    def count_load_received(self) -> None:
        """Count a datagram received from another instance."""
        self._received_count += 1

    def flush_load_counts(self) -> None:
        """Add the datagrams since the last call to the metrics."""
        self._load_bytes.add(self._sent_bytes)
        self._load_datagrams_sent.add(self._sent_count)
        self._load_datagrams_received.add(self._received_count)
        self._sent_bytes = 0
        self._sent_count = 0
        self._received_count = 0

    def count_collector_change(self) -> None:
        """Count a change of the collector of this instance."""
        self._collector_changes.add(1)

    def count_refusal(self, reason: Refusal) -> None:
        """Count a refusal."""
        self._metrics.count_refusal(reason)

    def count_retry(self, reason: Retry) -> None:
        """Count a retry."""
        self._metrics.count_retry(reason)
