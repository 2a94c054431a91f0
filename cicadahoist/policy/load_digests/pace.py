"""Decides when load reports and digests are sent."""

from cicadahoist.clock import MS_PER_S

# Time between two load reports of one instance to its collector.
REPORT_PERIOD_MS = 40
# Time between two digests of one collector.
DIGEST_PERIOD_MS = 100
# A report is repeated at least this often, as datagrams may be lost.
REPORT_REPEAT_MS = 400
# So is a digest: one that is lost shall not make the collector count as silent.
DIGEST_REPEAT_MS = 240
# The first report after a pause waits this long in the collector, so that
# several share a digest.
GATHER_MS = 20
# Reports are sent this long before the next digest is due, spread over 15 ms:
# what is sent earlier would only wait in the collector.
MIN_LEAD_MS = 20
LEAD_SPREAD_MS = 15
# The members of a digest are listed this often, and after a change.
LIST_PERIOD_MS = 800
# Share of the link of a collector that digests may use: requests come first.
LINK_SHARE = 0.1
BYTES_PER_S_PER_MBPS = 125_000
# Bandwidth of digests where the link is slow, as of load reports to all peers,
# and where nothing is known of it.
MIN_BYTES_PER_S = 80_000
MAX_BYTES_PER_S = 2_000_000


class ReportPace:
    """
    Pace of the reports of one instance to its collector.

    :param spread: any number, different between instances
    """

    __slots__ = ('_due_ms', '_lead_ms', '_sent_ms')

    def __init__(self, spread: int) -> None:
        self._lead_ms = MIN_LEAD_MS + spread % LEAD_SPREAD_MS
        self._sent_ms = -REPORT_REPEAT_MS
        # Time from which on a change is reported.
        self._due_ms = 0

    def is_due(self, *, is_changed: bool, now_ms: int) -> bool:
        """Return whether a report is to be sent now."""
        if now_ms - self._sent_ms >= REPORT_REPEAT_MS:
            return True
        return is_changed and now_ms >= self._due_ms

    def is_change_due(self, now_ms: int) -> bool:
        """Return whether a change of the load would be reported now."""
        return now_ms >= self._due_ms

    def compute_due_ms(self) -> int:
        """Return the time from which on a change is reported."""
        return self._due_ms

    def record_sent(self, now_ms: int) -> None:
        """Record that a report was sent."""
        self._sent_ms = now_ms
        self._due_ms = max(self._due_ms, now_ms + REPORT_PERIOD_MS)

    def record_digest(self, now_ms: int) -> None:
        """Record a digest of the collector."""
        next_ms = now_ms + DIGEST_PERIOD_MS - self._lead_ms
        self._due_ms = max(self._sent_ms + REPORT_PERIOD_MS, next_ms)

    def compute_wait_ms(self, now_ms: int) -> int:
        """Return the time until the load is to be compared again."""
        wait_ms = self._due_ms - now_ms
        return wait_ms if wait_ms > 0 else REPORT_PERIOD_MS


class DigestPace:
    """
    Pace of the digests of one collector.

    :param bytes_per_s: bandwidth that digests may use
    """

    __slots__ = ('_bytes_per_s', '_changed_ms', '_next_ms', '_sent_ms')

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._sent_ms = -DIGEST_REPEAT_MS
        self._next_ms = 0.0
        self._changed_ms: int | None = None

    @classmethod
    def from_mbps(cls, link_mbps: float) -> 'DigestPace':
        """
        Return the pace of a collector by its link.

        :param link_mbps: bandwidth of the link in Mbit/s, 0 for no limit
        """
        share = link_mbps * BYTES_PER_S_PER_MBPS * LINK_SHARE
        return cls(max(MIN_BYTES_PER_S, share or MAX_BYTES_PER_S))

    def record_change(self, now_ms: int) -> None:
        """Record that the next digest differs from the last one."""
        if self._changed_ms is None:
            self._changed_ms = now_ms

    def compute_wait_ms(self, now_ms: int) -> int:
        """Return the time until the next digest is due, 0 for now."""
        due_ms: float = self._sent_ms + DIGEST_REPEAT_MS
        if self._changed_ms is not None:
            gathered_ms = self._changed_ms + GATHER_MS
            due_ms = min(due_ms, max(self._next_ms, gathered_ms))
        return max(0, round(due_ms - now_ms))

    def record_sent(self, sent_bytes: int, now_ms: int) -> None:
        """Record that a digest was sent, with the bytes to all recipients."""
        self._changed_ms = None
        self._sent_ms = now_ms
        paced_ms = sent_bytes * MS_PER_S / self._bytes_per_s
        self._next_ms = now_ms + max(DIGEST_PERIOD_MS, paced_ms)
