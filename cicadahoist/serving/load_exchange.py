"""Exchanges loads, blames and usage counts with other instances over UDP."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cicadahoist.clock import Clock, Timer
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import StoredObject
from cicadahoist.policy.load_digests.pace import DigestPace
from cicadahoist.requests import PromptPart
from cicadahoist.serving.collector_role import CollectorRole
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.datagrams import listen_for_datagrams
from cicadahoist.serving.digest_exchange import DigestExchange
from cicadahoist.serving.digest_messages import DIGEST_MARK
from cicadahoist.serving.digest_peers import DigestPeers
from cicadahoist.serving.load_collector import LoadCollector
from cicadahoist.serving.load_group import LoadGroup, PrefillStart
from cicadahoist.serving.load_messages import (
    LOAD_CODEC,
    LoadMessage,
    PeerRecord,
)
from cicadahoist.serving.load_receiver import LoadReceiver
from cicadahoist.serving.own_load import OwnLoad
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.stream_exchange import STREAM_MARK, Address
from cicadahoist.serving.usage_copies import UsageCopy

logger = get_logger(__name__)

PEER_KIND = 'cicadahoist-peers'
# The load is checked for changes this often: half of the time that the prefill
# of a prompt takes.
CHECK_PERIOD_MS = 30
# The start of a prefill is reported after this delay, so that several share a
# datagram.
PREFILL_DELAY_MS = 4
# Peers of the own zone get each change at once where their bandwidth allows it.
# Peers of other zones cost traffic between zones: an instance receives some 300
# loads a second from them.
FAR_PERIOD_PER_PEER_MS = 3
# Bandwidth of the loads to peers of the own zone, and to those of other zones.
# Loads share the link of the instance with requests, which come first.
NEAR_BYTES_PER_S = 40_000
FAR_BYTES_PER_S = 40_000
# A load is repeated at least this often: datagrams may be lost, and a peer that
# is not heard counts as gone.
NEAR_REPEAT_MS = 400
FAR_REPEAT_MS = 800
# Loads that go to a collector leave only the copies of the usage counts here.
COPY_CHECK_MS = 100
# Peers that keep copies of the usage counts, the period of sending them, and
# the windows in a copy: a window is reported within two others.
COPY_COUNT = 2
COPY_PERIOD_MS = 500
COPIED_WINDOW_COUNT = 3
# IP and UDP headers of a datagram.
DATAGRAM_HEADER_BYTES = 28


Receiver = Callable[[bytes, Address], None]
_Recipients = tuple[LoadGroup, dict[str, Address]]


class LoadExchange(DatagramProtocol):
    """
    Sends and receives load reports, and carries the stream messages.

    A lost report may lead to a worse choice of an engine, never to a wrong
    answer.

    :param context: shared parts of the data path
    :param instance: name of this instance
    :param incarnation: unique name of this process
    :param record: address at which this instance receives reports
    :param peers: records which other instances are alive
    """

    transport: Any

    def __init__(
        self,
        context: ServingContext,
        instance: str,
        incarnation: str,
        record: PeerRecord,
        peers: Peers,
        reactor: Any,
    ) -> None:
        self._context = context
        self._peers = peers
        self._clock: Clock = context.clock
        self._instance = instance
        self._record = record
        self._reactor = reactor
        self._near = LoadGroup(0, NEAR_REPEAT_MS, NEAR_BYTES_PER_S)
        self._far = LoadGroup(
            FAR_PERIOD_PER_PEER_MS, FAR_REPEAT_MS, FAR_BYTES_PER_S
        )
        self._port: Any = None
        self._timer: Timer | None = None
        self._check_due_ms = 0
        self._incarnation = incarnation
        self._copies_sent_ms = 0
        # Whether there are peers that get load reports directly.
        self._has_direct = True
        self._own_load = OwnLoad(context, instance)
        self._receiver = LoadReceiver(context, instance, peers)
        self.digests = DigestExchange(
            context,
            instance,
            CollectorRole(
                context,
                instance,
                DigestPeers(instance, record, peers, context.meters),
                LoadCollector(instance, DigestPace.from_mbps(record.link_mbps)),
                self.send_datagram,
            ),
            self._own_load,
            self._receiver,
        )
        # Called when a list of all instances lacks the record of this process.
        self.on_unregistered: Callable[[], None] = _ignore
        # Called with the addresses of the peers of the zone after each list.
        self.on_zone_members: Callable[[dict[str, Address]], None] = _ignore
        self._receiver_by_mark: dict[bytes, Receiver] = {
            STREAM_MARK: context.streams.receive,
            DIGEST_MARK: self.digests.receive,
            context.quotas.mark: context.quotas.receive,
        }
        context.fleet.balances.slots.start(
            instance, peers.list_alive, self.send_datagram
        )
        context.gossip.on_prefill_started = self._queue_prefill
        context.streams.send = self.send_datagram
        context.fleet.notices.on_departure = self._announce

    def add_receiver(self, mark: bytes, receiver: Receiver) -> None:
        """Pass datagrams with a first byte to a receiver."""
        self._receiver_by_mark[mark] = receiver

    async def start(self) -> None:
        """Listen, and begin to send load reports."""
        self._port = listen_for_datagrams(
            self._reactor, self._record.port, self, self._record.host
        )
        self._send_due_loads()

    async def stop(self) -> None:
        """Send the last usage counts to peers, and stop."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.digests.stop()
        self._send_copies(self._own_load.collect(self._clock.now_ms()))
        if self._port is not None:
            self._port.stopListening()

    def apply_list(self, found: list[StoredObject]) -> None:
        """Replace the known peers by all instances of the deployment."""
        self._near.addresses.clear()
        self._far.addresses.clear()
        zone_by_instance = {self._instance: self._record.zone}
        relays = {}
        records = self._decode_records(found)
        # An older copy of the store may have that of an earlier process.
        if records.pop(self._instance, None) != self._record:
            self.on_unregistered()
        for name, peer in records.items():
            group = self._near if peer.zone == self._record.zone else self._far
            group.addresses[name] = (peer.host, peer.port)
            zone_by_instance[name] = peer.zone
            if peer.relay_port:
                relays[name] = peer.relay_address
        self.on_zone_members(self._near.addresses)
        self._context.gossip.relays.set_addresses(relays)
        self._context.set_instance_count(len(zone_by_instance))
        addresses = {**self._near.addresses, **self._far.addresses}
        self._context.streams.set_peers(addresses, zone_by_instance)
        self._context.quotas.connect(self.send_datagram, addresses)
        self._context.fleet.balances.slots.set_peers(addresses)
        self.digests.apply_records(records)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Apply a datagram of a peer; drop one that is of no known kind."""
        # Many datagrams may be read at once.
        self._clock.run_prompt_calls()
        self._context.meters.count_load_received()
        if self._context.fleet.balances.receive(datagram):
            return
        try:
            self._receive(datagram, addr)
        except WireError as error:
            logger.info('{0}', error)

    def _receive(self, datagram: bytes, sender: Address) -> None:
        receiver = self._receiver_by_mark.get(datagram[:1])
        if receiver is not None:
            receiver(datagram, sender)
            return
        load = LOAD_CODEC.decode(datagram)
        now_ms = self._clock.now_ms()
        self._receiver.apply_report(load, now_ms)
        self.digests.apply_direct(load, now_ms)

    def _decode_records(
        self, found: list[StoredObject]
    ) -> dict[str, PeerRecord]:
        records: dict[str, PeerRecord] = {}
        for stored in found:
            try:
                records[stored.name] = msgspec.convert(stored.spec, PeerRecord)
            except msgspec.ValidationError as error:
                logger.bind(peer=stored.name).warning(
                    'invalid peer record ignored: {0}', error
                )
        return records

    def _queue_prefill(
        self, engine: str, parts: tuple[PromptPart, ...]
    ) -> None:
        prefill = PrefillStart(engine, parts)
        self._near.prefills.append(prefill)
        self._far.prefills.append(prefill)
        self.digests.queue_prefill(prefill)
        self._announce()

    def _announce(self) -> None:
        self.digests.announce()
        if self._has_direct:
            self._schedule_check(PREFILL_DELAY_MS)

    def _schedule_check(self, wait_ms: int) -> None:
        """Check the load after a delay, or earlier if that is scheduled."""
        due_ms = self._clock.now_ms() + wait_ms
        if self._timer is not None and self._timer.active():
            if self._check_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._check_due_ms = due_ms
        self._timer = self._clock.call_later(wait_ms, self._send_due_loads)

    def _send_due_loads(self) -> None:
        """Send the load to groups that need a change or a repetition."""
        now_ms = self._clock.now_ms()
        recipients = [
            (group, self.digests.select_direct(group.addresses))
            for group in (self._near, self._far)
        ]
        self._has_direct = not self._context.gossip.uses_load_digests or any(
            addresses for _, addresses in recipients
        )
        if self._has_direct:
            self._send_direct(recipients, now_ms)
        if now_ms - self._copies_sent_ms >= COPY_PERIOD_MS:
            self._copies_sent_ms = now_ms
            self._context.meters.flush_load_counts()
            self._send_copies(self._own_load.collect(now_ms))
        self._schedule_check(
            CHECK_PERIOD_MS if self._has_direct else COPY_CHECK_MS
        )

    def _send_direct(
        self,
        recipients: list[_Recipients],
        now_ms: int,
    ) -> None:
        load = self._own_load.collect(now_ms)
        for group, addresses in recipients:
            if group.is_due(load, now_ms):
                prefills = group.take_prefills(now_ms)
                datagram_bytes = self._send(
                    msgspec.structs.replace(load, prefills=prefills), addresses
                )
                group.record_sent(load, datagram_bytes, now_ms)

    def _send_copies(self, load: LoadMessage) -> None:
        """Send the usage counts of this process to peers that keep copies."""
        addresses = {**self._near.addresses, **self._far.addresses}
        alive = self._peers.list_alive(self._clock.now_ms())
        recipients = [peer for peer in alive if peer in addresses][:COPY_COUNT]
        windows = self._context.usage.snapshot(COPIED_WINDOW_COUNT)
        self._send(
            msgspec.structs.replace(
                load, usage=UsageCopy(self._incarnation, windows)
            ),
            {peer: addresses[peer] for peer in recipients},
        )

    def _send(
        self, load: LoadMessage, addresses: dict[str, tuple[str, int]]
    ) -> int:
        """Send a load to peers; return the size of one datagram."""
        stamped = msgspec.structs.replace(
            load, true_ms=self._context.true_time.read_own_ms()
        )
        datagram = LOAD_CODEC.encode(stamped)
        for name, address in addresses.items():
            framed = self.digests.frame_direct(name, datagram)
            self.send_datagram(framed, address)
        return len(datagram) + DATAGRAM_HEADER_BYTES

    def send_datagram(self, datagram: bytes, address: Address) -> None:
        """Send a datagram to a peer and count its bytes."""
        sent_bytes = len(datagram) + DATAGRAM_HEADER_BYTES
        self._context.meters.count_load_sent(sent_bytes)
        self._context.link.record_sent(sent_bytes, self._clock.now_ms())
        try:
            self.transport.write(datagram, address)
        except OSError as error:
            logger.debug('datagram not sent to {0}: {1}', address, error)


def _ignore(*news: Any) -> None:
    """Do nothing: no task registers this instance again."""
