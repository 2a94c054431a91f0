"""Sends load reports to collectors, and acts as one where it is chosen."""

from collections.abc import Callable

from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import (
    DIGEST_CODEC,
    FORWARDED_MARK,
    MARK_BYTES,
    REPORT_MARK,
    SECTION_MARK,
    LoadDigest,
    frame_for_member,
)
from cicadahoist.serving.digest_peers import DigestPeers
from cicadahoist.serving.load_collector import LoadCollector
from cicadahoist.serving.load_messages import LOAD_CODEC, LoadMessage
from cicadahoist.serving.stream_exchange import Address


class CollectorRole:
    """
    The traffic of this instance with collectors, and as a collector.

    It collects if it has chosen itself, and for members that have chosen it.

    :param context: shared parts of the data path
    :param instance: name of this instance
    :param members: addresses of the other instances, and the collectors
    :param collector: sums the reports of members
    :param send: sends a datagram
    """

    __slots__ = ('_collector', '_context', '_instance', '_send', 'members')

    def __init__(
        self,
        context: ServingContext,
        instance: str,
        members: DigestPeers,
        collector: LoadCollector,
        send: Callable[[bytes, Address], None],
    ) -> None:
        self._context = context
        self._instance = instance
        self.members = members
        self._collector = collector
        self._send = send

    @property
    def is_acting(self) -> bool:
        """Whether this instance sends digests."""
        return self.members.is_own_collector or not (
            self._collector.zone.is_empty
        )

    def clear(self) -> None:
        """Forget what others have reported."""
        self._collector.clear()

    def check(self, now_ms: int) -> None:
        """Drop what has expired."""
        self._collector.check(now_ms)

    def compute_wait_ms(self, now_ms: int) -> int | None:
        """Return the time until digests are due, none if this is no task."""
        if not self.is_acting:
            return None
        return self._collector.compute_wait_ms(now_ms)

    def send_report(self, report: LoadMessage, now_ms: int) -> None:
        """Send the own report to the collector, which may be this instance."""
        names = self.members.list_reported_to(now_ms)
        if self._instance in names:
            self._collector.add_report(report, report.true_ms, now_ms)
        else:
            self._collector.zone.drop(self._instance)
        datagram = REPORT_MARK + LOAD_CODEC.encode(report)
        for name in names:
            self._send_to(name, datagram)

    def add_report(self, report: LoadMessage, now_ms: int) -> int:
        """
        Add the report of a member.

        :return: time until the next digest is due
        """
        self._collector.add_report(
            report, self._context.true_time.read_own_ms(), now_ms
        )
        return self._collector.compute_wait_ms(now_ms)

    def add_section(
        self, datagram: bytes, sender: Address, now_ms: int
    ) -> int | None:
        """
        Add the section of another collector, or pass it on to the own one.

        :return: time until the next digest is due, none if this is no task
        :raises WireError: it cannot be decoded
        """
        if not self.is_acting:
            self._pass_on(datagram)
            return None
        digest = DIGEST_CODEC.decode(datagram[MARK_BYTES:])
        if digest.collector != self._instance:
            address = self.members.address_by_name.get(digest.collector)
            is_direct = address == sender
            self._collector.add_section(
                digest,
                self._context.true_time.read_own_ms(),
                now_ms,
                is_direct=is_direct,
            )
            if not is_direct or self._instance in digest.heard:
                self.members.record_far_answer(
                    digest.collector, now_ms, is_direct=is_direct
                )
        return self._collector.compute_wait_ms(now_ms)

    def send_digests(self, now_ms: int) -> tuple[LoadDigest, int]:
        """
        Send the digests of this period.

        :return: the digest for the members, of which this instance is one, and
            the time of its own report in the sum, 0 for none
        """
        self._collector.yield_to_rivals(
            self.members.list_rivals(self._collector.sections.list_collectors())
        )
        section, merged = self._collector.build(
            self._context.true_time.read_own_ms(), now_ms
        )
        datagram = SECTION_MARK + DIGEST_CODEC.encode(section)
        body = DIGEST_CODEC.encode(merged)
        zone = self._collector.zone
        datagram_by_name = {
            name: frame_for_member(zone.get_stamp_ms(name), body)
            for name in zone.members
        }
        sent_bytes = sum(
            self._send_to(name, datagram)
            for name in self._list_other_collectors(now_ms)
        ) + sum(
            self._send_to(name, framed)
            for name, framed in datagram_by_name.items()
        )
        self._collector.record_sent(sent_bytes, now_ms)
        return merged, zone.get_stamp_ms(self._instance)

    def _pass_on(self, datagram: bytes) -> None:
        """Pass a section on, as its sender does not reach the collector."""
        collector = self.members.own_choice.chosen
        if collector is not None and datagram.startswith(SECTION_MARK):
            self._send_to(collector, FORWARDED_MARK + datagram[MARK_BYTES:])

    def _list_other_collectors(self, now_ms: int) -> set[str]:
        names = {
            self.members.choose_own(now_ms),
            *self.members.list_far_collectors(now_ms),
            *self._collector.sections.list_active(now_ms),
        }
        return names - {self._instance}

    def _send_to(self, name: str, datagram: bytes) -> int:
        """Send a datagram to another instance; return the bytes sent."""
        address = self.members.address_by_name.get(name)
        if address is None:
            return 0
        self._send(datagram, address)
        return len(datagram)
