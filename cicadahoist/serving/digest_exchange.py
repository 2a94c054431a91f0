"""Exchanges load digests between the instances of a large fleet."""

from collections import deque
from typing import Any

import msgspec

from cicadahoist.clock import Timer
from cicadahoist.ids import fast_hash
from cicadahoist.log import get_logger
from cicadahoist.policy.load_digests.pace import ReportPace
from cicadahoist.serving.collector_role import CollectorRole
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import (
    FORWARDED_MARK,
    MARK_BYTES,
    MEMBER_MARK,
    REPORT_MARK,
    SECTION_MARK,
    UNSERVED_MARK,
    MemberDigest,
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
from cicadahoist.serving.received_loads import ReceivedLoads
from cicadahoist.serving.stream_exchange import Address

logger = get_logger(__name__)

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
        '_loads',
        '_instance',
        '_own_load',
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
        self._prefills: deque[PrefillStart] = deque(
            maxlen=MAX_PREFILLS_PER_DATAGRAM
        )
        self._summary: Any = None
        self._loads = ReceivedLoads(receiver)
        self._timer: Timer | None = None
        self._timer_due_ms = 0

    @property
    def collector(self) -> str | None:
        """The instance that the load is reported to, none if to all."""
        return self._role.members.own_choice.chosen

    def apply_records(self, record_by_name: dict[str, PeerRecord]) -> None:
        """Replace the records of the other instances."""
        self._role.members.set_records(record_by_name)
        if not self._context.gossip.uses_load_digests:
            self.stop()
        elif self._timer is None:
            logger.info('load reports go to collectors')
            self._schedule(0)

    def stop(self) -> None:
        """Send nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._loads.end_digests(self._context.clock.now_ms())
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

    def apply_direct(self, report: LoadMessage, now_ms: int) -> None:
        """Apply the load of a peer that it has sent directly."""
        self._loads.apply(report, now_ms)

    def select_direct(
        self, address_by_name: dict[str, Address]
    ) -> dict[str, Address]:
        """Return the peers that are to be sent load reports directly."""
        if self._timer is None:
            return address_by_name
        now_ms = self._context.clock.now_ms()
        return {
            name: address_by_name[name]
            for name in self._loads.list_direct(address_by_name, now_ms)
        }

    def frame_direct(self, peer: str, datagram: bytes) -> bytes:
        """Return a load report to a peer that is sent directly."""
        is_served = self._timer is None or self._loads.is_served(
            self._context.clock.now_ms()
        )
        if is_served or not self._role.members.takes_digests(peer):
            return datagram
        return UNSERVED_MARK + datagram

    def receive(self, datagram: bytes, sender: Address) -> None:
        """
        Apply a datagram of load digests.

        :raises WireError: it cannot be decoded
        """
        kind = datagram[:MARK_BYTES]
        if kind in {REPORT_MARK, UNSERVED_MARK}:
            self._apply_report(
                LOAD_CODEC.decode(datagram[MARK_BYTES:]),
                is_member=kind == REPORT_MARK,
            )
        elif kind == MEMBER_MARK:
            stamp_ms, digest = parse_for_member(datagram)
            self._apply_answer(digest, stamp_ms)
        elif kind not in {SECTION_MARK, FORWARDED_MARK}:
            logger.info('unknown kind of load digest dropped: {0}', kind)
        elif self._timer is not None:
            now_ms = self._context.clock.now_ms()
            self._role.add_section(datagram, sender, now_ms)
            self._schedule(self._role.compute_wait_ms(now_ms))

    def _apply_report(self, report: LoadMessage, *, is_member: bool) -> None:
        """
        Apply a report.

        :param is_member: whether its sender has chosen this instance as its
            collector; otherwise it gets no digests
        """
        now_ms = self._context.clock.now_ms()
        if self._timer is None or not is_member:
            self._receiver.apply_report(report, now_ms)
            self._loads.apply(report, now_ms)
        if not is_member:
            self._loads.record_unserved(report.sender, now_ms)
        if self._timer is not None:
            self._receiver.apply_sender(report, now_ms)
            self._role.add_report(report, now_ms, is_member=is_member)
            self._schedule(self._role.compute_wait_ms(now_ms))

    def _apply_answer(self, digest: MemberDigest, stamp_ms: int) -> None:
        """Apply a digest for the members of its collector."""
        if self._timer is None:
            return
        now_ms = self._context.clock.now_ms()
        if stamp_ms:
            self._role.members.own_choice.record_answer(
                digest.collector, now_ms
            )
        is_chosen = self._role.members.choose_own(now_ms) == digest.collector
        if is_chosen and stamp_ms and not self._role.is_acting:
            self._pace.record_digest(now_ms)
            self._loads.apply_digest(digest, stamp_ms, now_ms)
            self._schedule(self._pace.compute_wait_ms(now_ms))

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
        """Send what is due; an error does not end the checks."""
        now_ms = self._context.clock.now_ms()
        try:
            self._send_due(now_ms)
        finally:
            self._schedule(
                min(
                    self._pace.compute_wait_ms(now_ms),
                    max(1, self._role.compute_wait_ms(now_ms)),
                )
            )

    def _send_due(self, now_ms: int) -> None:
        self._role.check(now_ms)
        self._loads.drop_expired(now_ms)
        self._report_if_due(now_ms)
        if self._role.compute_wait_ms(now_ms) == 0:
            digest, stamp_ms = self._role.send_digests(now_ms)
            if digest is not None:
                self._pace.record_digest(now_ms)
                self._loads.apply_digest(digest, stamp_ms, now_ms)

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
        self._loads.own_reports.add(report.true_ms, report.by_engine)
        self._role.send_report(report, now_ms)
