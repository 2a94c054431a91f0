"""Exchanges load digests between the instances of a large fleet."""

from collections import deque
from typing import Any

import msgspec

from cicadahoist.clock import Timer
from cicadahoist.ids import fast_hash
from cicadahoist.log import get_logger
from cicadahoist.policy.load_digests.load_sum import subtract_load
from cicadahoist.policy.load_digests.own_reports import OwnReports
from cicadahoist.policy.load_digests.pace import ReportPace
from cicadahoist.policy.peer_loads import PEER_LOAD_TTL_MS
from cicadahoist.serving.collector_role import CollectorRole
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import (
    FORWARDED_MARK,
    MARK_BYTES,
    MEMBER_MARK,
    REPORT_MARK,
    SECTION_MARK,
    LoadDigest,
    parse_for_member,
)
from cicadahoist.serving.load_group import (
    MAX_PREFILLS_PER_DATAGRAM,
    PrefillStart,
)
from cicadahoist.serving.load_messages import (
    LOAD_CODEC,
    LoadMessage,
    PeerRecord,
)
from cicadahoist.serving.load_receiver import LoadReceiver
from cicadahoist.serving.own_load import OwnLoad
from cicadahoist.serving.stream_exchange import Address

logger = get_logger(__name__)

# Source of the load from digests; no instance has this name.
DIGEST_SOURCE = ''
# News wait this long, so that several share a report.
NEWS_DELAY_MS = 4


class DigestExchange:
    """
    Reports the own load to a collector, and is one where it is chosen.

    Nothing runs unless the fleet is large.

    :param context: shared parts of the data path
    :param instance: name of this instance
    :param role: sends to the collectors, and collects
    :param own_load: the load of this instance
    :param receiver: applies what others report
    """

    __slots__ = (
        '_context',
        '_covered',
        '_digest_ms',
        '_instance',
        '_own_load',
        '_own_reports',
        '_pace',
        '_prefills',
        '_receiver',
        '_role',
        '_summary',
        '_timer',
        '_timer_due_ms',
    )

    def __init__(
        self,
        context: ServingContext,
        instance: str,
        role: CollectorRole,
        own_load: OwnLoad,
        receiver: LoadReceiver,
    ) -> None:
        self._context = context
        self._instance = instance
        self._role = role
        self._own_load = own_load
        self._receiver = receiver
        self._pace = ReportPace(fast_hash(instance))
        self._own_reports = OwnReports()
        self._prefills: deque[PrefillStart] = deque(
            maxlen=MAX_PREFILLS_PER_DATAGRAM
        )
        self._summary: Any = None
        # Instances whose loads are in the digests, and the time of the last.
        self._covered: frozenset[str] = frozenset()
        self._digest_ms = 0
        self._timer: Timer | None = None
        self._timer_due_ms = 0

    @property
    def collector(self) -> str | None:
        """The instance that the load is reported to, none if to all."""
        return self._role.members.own_choice.chosen

    def apply_records(self, record_by_name: dict[str, PeerRecord]) -> None:
        """Replace the records of the other instances."""
        self._role.members.set_records(record_by_name)
        if not self._context.is_large_fleet:
            self.stop()
        elif self._timer is None:
            logger.info('load reports go to collectors: the fleet is large')
            self._schedule(0)

    def stop(self) -> None:
        """Send nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._covered = frozenset()
        self._role.clear()

    def queue_prefill(self, prefill: PrefillStart) -> None:
        """Report the start of a prefill."""
        if self._timer is not None:
            self._prefills.append(prefill)
            self.announce()

    def announce(self) -> None:
        """Report news soon."""
        if self._timer is not None:
            wait_ms = self._pace.compute_due_ms() - self._context.clock.now_ms()
            self._schedule(max(NEWS_DELAY_MS, wait_ms))

    def covers(self, peer: str) -> bool:
        """Return whether digests contain the load of a peer."""
        if peer not in self._covered:
            return False
        age_ms = self._context.clock.now_ms() - self._digest_ms
        return age_ms <= PEER_LOAD_TTL_MS

    def select_direct(
        self, address_by_name: dict[str, Address]
    ) -> dict[str, Address]:
        """
        Return the peers that are to be sent load reports directly.

        :return: those whose loads are in no digest, as they do not send theirs
            to a collector, or all if this instance gets no digests
        """
        if self._timer is None:
            return address_by_name
        now_ms = self._context.clock.now_ms()
        choice = self._role.members.own_choice
        if not self._role.members.is_own_collector and not choice.is_answered(
            now_ms
        ):
            return address_by_name
        return {
            name: address_by_name[name]
            for name in address_by_name.keys() - self._covered
        }

    def receive(self, datagram: bytes, sender: Address) -> None:
        """
        Apply a datagram of load digests.

        :raises WireError: it cannot be decoded
        """
        kind = datagram[:MARK_BYTES]
        if kind == REPORT_MARK:
            self._apply_report(LOAD_CODEC.decode(datagram[MARK_BYTES:]))
        elif kind == MEMBER_MARK:
            stamp_ms, digest = parse_for_member(datagram)
            self._apply_answer(digest, stamp_ms)
        elif kind in {SECTION_MARK, FORWARDED_MARK}:
            self._apply_section(datagram, sender)
        else:
            logger.info('unknown kind of load digest dropped: {0}', kind)

    def _apply_report(self, report: LoadMessage) -> None:
        """Apply the report of an instance that has chosen this one."""
        now_ms = self._context.clock.now_ms()
        if self._timer is None:
            # The sender counts the fleet as large before this instance does.
            self._receiver.apply_report(report, now_ms)
            self._receiver.apply_load(report.sender, report.by_engine, now_ms)
            return
        self._receiver.apply_sender(report, now_ms)
        self._schedule(self._role.add_report(report, now_ms))

    def _apply_section(self, datagram: bytes, sender: Address) -> None:
        if self._timer is not None:
            now_ms = self._context.clock.now_ms()
            wait_ms = self._role.add_section(datagram, sender, now_ms)
            if wait_ms is not None:
                self._schedule(wait_ms)

    def _apply_answer(self, digest: LoadDigest, stamp_ms: int) -> None:
        """Apply a digest for the members of its collector."""
        if self._timer is None:
            return
        now_ms = self._context.clock.now_ms()
        if stamp_ms:
            self._role.members.own_choice.record_answer(
                digest.collector, now_ms
            )
        is_chosen = self._role.members.choose_own(now_ms) == digest.collector
        if is_chosen and not self._role.is_acting:
            self._apply_digest(digest, stamp_ms, now_ms)
            self._schedule(self._pace.compute_wait_ms(now_ms))

    def _apply_digest(
        self, digest: LoadDigest, stamp_ms: int, now_ms: int
    ) -> None:
        self._pace.record_digest(now_ms)
        self._digest_ms = now_ms
        own_load = self._own_reports.get(stamp_ms)
        self._receiver.apply_load(
            DIGEST_SOURCE, subtract_load(digest.by_engine, own_load), now_ms
        )
        self._receiver.apply_news(digest.news, now_ms)
        if digest.marks is not None:
            self._receiver.apply_marks(digest.marks, digest.true_ms, now_ms)
            self._covered = frozenset(digest.marks)
            self._receiver.drop_loads(self._covered)

    def _schedule(self, wait_ms: float) -> None:
        """Check after a delay, or earlier if that is scheduled."""
        due_ms = self._context.clock.now_ms() + round(wait_ms)
        if self._timer is not None and self._timer.active():
            if self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._context.clock.call_later(wait_ms, self._check)

    def _check(self) -> None:
        """Send the report and the digests that are due."""
        now_ms = self._context.clock.now_ms()
        self._role.check(now_ms)
        self._report_if_due(now_ms)
        digest_wait_ms = self._role.compute_wait_ms(now_ms)
        if digest_wait_ms == 0:
            merged, stamp_ms = self._role.send_digests(now_ms)
            self._apply_digest(merged, stamp_ms, now_ms)
            digest_wait_ms = self._role.compute_wait_ms(now_ms)
        wait_ms = self._pace.compute_wait_ms(now_ms)
        if digest_wait_ms is not None:
            wait_ms = min(wait_ms, digest_wait_ms)
        self._schedule(wait_ms)

    def _report_if_due(self, now_ms: int) -> None:
        if not self._pace.is_change_due(now_ms):
            return
        summary = self._own_load.summarize(now_ms)
        is_changed = bool(self._prefills) or summary != self._summary
        if not self._pace.is_due(is_changed=is_changed, now_ms=now_ms):
            return
        self._summary = summary
        self._pace.record_sent(now_ms)
        report = msgspec.structs.replace(
            self._own_load.collect(now_ms),
            prefills=tuple(reversed(self._prefills)),
            true_ms=self._context.true_time.read_own_ms(),
        )
        self._prefills.clear()
        self._own_reports.add(report.true_ms, report.by_engine)
        self._role.send_report(report, now_ms)
