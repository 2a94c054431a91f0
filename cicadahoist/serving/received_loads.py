"""Loads received in digests, and from peers directly."""

from collections.abc import Iterable

from cicadahoist.policy.load_digests.collector_choice import SILENT_MS
from cicadahoist.policy.load_digests.load_sum import (
    LoadByTarget,
    subtract_load,
)
from cicadahoist.policy.load_digests.own_reports import OwnReports
from cicadahoist.policy.peer_loads import PEER_LOAD_TTL_MS
from cicadahoist.serving.digest_messages import MemberDigest
from cicadahoist.serving.load_messages import LoadMessage
from cicadahoist.serving.load_receiver import LoadReceiver

# Source of the load from digests; no instance has this name.
DIGEST_SOURCE = ''
# What peers have sent directly counts after this time without a digest: a new
# collector would have sent one by then.
DIGEST_TTL_MS = 1000
# Reports to other zones are repeated each 800 ms.
UNSERVED_TTL_MS = 1000


class ReceivedLoads:
    """
    Counts each peer either by the digests or by its own reports.

    :param receiver: applies loads
    """

    __slots__ = (
        '_covered',
        '_digest_ms',
        '_held',
        '_receiver',
        '_unserved_ms_by_peer',
        'own_reports',
    )

    def __init__(self, receiver: LoadReceiver) -> None:
        self._receiver = receiver
        self.own_reports = OwnReports()
        self._digest_ms = -DIGEST_TTL_MS
        # Instances whose loads are in the digests.
        self._covered: frozenset[str] = frozenset()
        # Reports of these, which count once the digests no longer do.
        self._held: dict[str, tuple[LoadByTarget, int]] = {}
        # When peers that get no digests have sent their loads.
        self._unserved_ms_by_peer: dict[str, int] = {}

    def apply(self, report: LoadMessage, now_ms: int) -> None:
        """Apply the load of a report, or keep it."""
        if report.sender in self._covered:
            self._held[report.sender] = (report.by_engine, now_ms)
        else:
            self._receiver.apply_load(report.sender, report.by_engine, now_ms)

    def record_unserved(self, peer: str, now_ms: int) -> None:
        """Record that a peer gets no digests."""
        self._unserved_ms_by_peer[peer] = now_ms

    def apply_digest(
        self, digest: MemberDigest, stamp_ms: int, now_ms: int
    ) -> None:
        """
        Apply a digest, less the own load in it.

        :param stamp_ms: time of the own report in the sum, 0 for none
        """
        self._digest_ms = now_ms
        own_load = self.own_reports.get(stamp_ms)
        self._receiver.apply_load(
            DIGEST_SOURCE, subtract_load(digest.by_engine, own_load), now_ms
        )
        self._receiver.apply_news(digest.news, now_ms)
        if digest.marks is not None:
            self._receiver.apply_marks(digest.marks, digest.true_ms, now_ms)
            self._covered = frozenset(digest.marks)
            self._receiver.drop_loads(self._covered)
            self._apply_held(now_ms)

    def is_served(self, now_ms: int) -> bool:
        """Return whether digests arrive."""
        return now_ms - self._digest_ms <= SILENT_MS

    def drop_expired(self, now_ms: int) -> None:
        """Count what peers have sent instead of a digest that is too old."""
        if now_ms - self._digest_ms > DIGEST_TTL_MS:
            self.end_digests(now_ms)

    def end_digests(self, now_ms: int) -> None:
        """Count what peers have sent directly."""
        self._digest_ms = now_ms - DIGEST_TTL_MS
        self._receiver.drop_loads([DIGEST_SOURCE])
        self._covered = frozenset()
        self._apply_held(now_ms)

    def list_direct(self, peers: Iterable[str], now_ms: int) -> set[str]:
        """
        Return the peers that need the load of this instance directly.

        :return: those whose loads are in no digest, or that get none, or all if
            this instance gets none
        """
        for peer, heard_ms in list(self._unserved_ms_by_peer.items()):
            if now_ms - heard_ms > UNSERVED_TTL_MS:
                self._unserved_ms_by_peer.pop(peer)
        needy = set(peers)
        if not self.is_served(now_ms):
            return needy
        unserved = needy & self._unserved_ms_by_peer.keys()
        return (needy - self._covered) | unserved

    def _apply_held(self, now_ms: int) -> None:
        """Count the peers that have sent their loads and are not covered."""
        for peer in self._held.keys() - self._covered:
            load, received_ms = self._held.pop(peer)
            if now_ms - received_ms <= PEER_LOAD_TTL_MS:
                self._receiver.apply_load(peer, load, received_ms)
