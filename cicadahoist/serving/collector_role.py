"""Sends load reports to collectors, and acts as one where it is chosen."""

from collections.abc import Callable

from cicadahoist.log import get_logger
from cicadahoist.policy.load_digests.collector_contacts import (
    CollectorContacts,
)
from cicadahoist.policy.load_digests.pace import REPORT_REPEAT_MS
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import (
    FORWARDED_MARK,
    MARK_BYTES,
    REPORT_MARK,
    SECTION_CODEC,
    SECTION_MARK,
    MemberDigest,
    SectionDigest,
    encode_for_members,
    frame_for_member,
)
from cicadahoist.serving.digest_peers import DigestPeers
from cicadahoist.serving.load_collector import LoadCollector
from cicadahoist.serving.load_messages import LOAD_CODEC, LoadMessage
from cicadahoist.serving.stream_exchange import Address

logger = get_logger(__name__)

# A new collector waits this long for the first reports of its members, and up
# to the longer time for the other collectors: its members go on with the last
# digest. They hold it for silent after 500 ms.
MIN_WARM_UP_MS = 100
MAX_WARM_UP_MS = 400


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

    __slots__ = (
        '_collector',
        '_contacts',
        '_context',
        '_instance',
        '_send',
        '_since_ms',
        'members',
    )

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
        self._contacts = CollectorContacts()
        # Since when this instance collects, none if it does not.
        self._since_ms: int | None = None

    @property
    def is_acting(self) -> bool:
        """Whether this instance collects."""
        return self._since_ms is not None

    def clear(self) -> None:
        """Forget what others have reported."""
        self._collector.clear()
        self._contacts.clear()
        self._since_ms = None

    def check(self, now_ms: int) -> None:
        """Drop what has expired, and begin or cease to collect."""
        self._collector.drop_expired(now_ms)
        is_own = self.members.choose_own(now_ms) == self._instance
        if self.is_acting and not self._contacts.has_sent_to(
            self.members.list_far_collectors(now_ms)
        ):
            self._collector.pace.record_change(now_ms)
        if is_own or self._list_members(now_ms):
            if self._since_ms is None:
                self._since_ms = now_ms
                logger.info('this instance collects load reports')
        elif self._since_ms is not None:
            logger.info('this instance no longer collects load reports')
            self.clear()

    def compute_wait_ms(self, now_ms: int) -> int:
        """Return the time until digests are due, or this is to be asked."""
        if not self.is_acting:
            return REPORT_REPEAT_MS
        return self._collector.pace.compute_wait_ms(now_ms)

    def send_report(self, report: LoadMessage, now_ms: int) -> None:
        """Send the own report to the collector, which may be this instance."""
        names = self.members.list_reported_to(now_ms)
        if self._instance in names:
            self._collector.add_report(report, report.true_ms, now_ms)
        datagram = REPORT_MARK + LOAD_CODEC.encode(report)
        for name in names:
            self._send_to(name, datagram)

    def add_report(
        self, report: LoadMessage, now_ms: int, *, is_member: bool
    ) -> None:
        """
        Add the report of another instance.

        :param is_member: whether this instance is its collector; otherwise it
            has none
        """
        if is_member or self.is_acting:
            self._collector.add_report(
                report,
                self._context.true_time.read_own_ms(),
                now_ms,
                is_member=is_member,
            )
            self.check(now_ms)

    def add_section(
        self, datagram: bytes, sender: Address, now_ms: int
    ) -> None:
        """
        Add the loads of another collector, or pass them on to the own one.

        :raises WireError: it cannot be decoded
        """
        if not self.is_acting:
            # Its sender does not reach the collector of this zone.
            collector = self.members.choose_own(now_ms)
            if datagram.startswith(SECTION_MARK):
                self._send_to(collector, FORWARDED_MARK + datagram[MARK_BYTES:])
            return
        digest = SECTION_CODEC.decode(datagram[MARK_BYTES:])
        if digest.collector != self._instance:
            self._collector.add_section(
                digest, self._context.true_time.read_own_ms(), now_ms
            )
            address = self.members.address_by_name.get(digest.collector)
            self._record_contact(digest, now_ms, is_direct=address == sender)

    def send_digests(self, now_ms: int) -> tuple[MemberDigest | None, int]:
        """
        Send the digests of this period.

        :return: the digest for the members, of which this instance is one, none
            if it does not know enough yet; and the time of the own report in
            the sum, 0 for none
        """
        true_ms = self._context.true_time.read_own_ms()
        sent_bytes = self._send_to_collectors(true_ms, now_ms)
        digest = None
        if self._is_ready(now_ms):
            digest = self._collector.build_for_members(true_ms, now_ms)
            sent_bytes.extend(self._send_to_members(digest, now_ms))
        self._collector.pace.record_sent(sum(sent_bytes), now_ms)
        contributions = self._collector.contributions
        return digest, contributions.get_stamp_ms(self._instance)

    def _send_to_collectors(self, true_ms: int, now_ms: int) -> list[int]:
        heard = self._contacts.list_direct(now_ms)
        names = self._list_other_collectors(now_ms)
        # Those that were not sent the last digest, or lack loads.
        relayed = self._contacts.record_sent(names)
        relayed |= self._contacts.list_cut_off(now_ms) & names
        section = self._collector.build_section(true_ms, now_ms, heard)
        datagram = SECTION_MARK + SECTION_CODEC.encode(section)
        sent_bytes = [self._send_to(name, datagram) for name in names - relayed]
        if relayed:
            relay = self._collector.build_relay(true_ms, now_ms, heard)
            datagram = SECTION_MARK + SECTION_CODEC.encode(relay)
            sent_bytes.extend(self._send_to(name, datagram) for name in relayed)
        return sent_bytes

    def _send_to_members(self, digest: MemberDigest, now_ms: int) -> list[int]:
        body = encode_for_members(digest)
        contributions = self._collector.contributions
        return [
            self._send_to(
                name, frame_for_member(contributions.get_stamp_ms(name), body)
            )
            for name in self._list_members(now_ms)
        ]

    def _is_ready(self, now_ms: int) -> bool:
        """Return whether the members and other collectors have reported."""
        collecting_ms = now_ms - (self._since_ms or now_ms)
        if collecting_ms < MIN_WARM_UP_MS:
            return False
        if collecting_ms >= MAX_WARM_UP_MS:
            return True
        return self.members.has_heard_all(self._contacts.list_heard(now_ms))

    def _list_members(self, now_ms: int) -> list[str]:
        members = self._collector.contributions.list_members(now_ms)
        return [name for name in members if name != self._instance]

    def _record_contact(
        self, digest: SectionDigest, now_ms: int, *, is_direct: bool
    ) -> None:
        if self._contacts.record_heard(
            digest.collector, digest.heard, now_ms, is_direct=is_direct
        ):
            # It is to learn soon that it is heard.
            self._collector.pace.record_change(now_ms)
        if not is_direct or self._instance in digest.heard:
            self.members.record_far_answer(
                digest.collector, now_ms, is_direct=is_direct
            )

    def _list_other_collectors(self, now_ms: int) -> frozenset[str]:
        names = {
            *self.members.list_reported_to(now_ms),
            *self.members.list_far_collectors(now_ms),
            *self._contacts.list_direct(now_ms),
        }
        return frozenset(names - {self._instance})

    def _send_to(self, name: str, datagram: bytes) -> int:
        """Send a datagram to another instance; return the bytes sent."""
        address = self.members.address_by_name.get(name)
        if address is None:
            return 0
        self._send(datagram, address)
        return len(datagram)
