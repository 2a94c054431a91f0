"""Exchanges loads, blames and usage counts with other instances over UDP."""

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cicadahoist.clock import Clock, Timer
from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import StoredObject
from cicadahoist.policy.crash_blame import Blame
from cicadahoist.policy.engine_board import EngineBoard, RoleClosure
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoad
from cicadahoist.policy.rejection_backoff import MAX_BACKOFF_MS
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.requests import PromptPart
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.crash_watch import CRASH_CHECK_MS
from cicadahoist.serving.load_group import LoadGroup, PrefillStart
from cicadahoist.serving.part_news import PartNews, PartNewsQueue
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.relay_peers import RelayAddress, RelayState
from cicadahoist.serving.stream_exchange import STREAM_MARK, Address
from cicadahoist.serving.usage_copies import UsageCopy

logger = get_logger(__name__)

Receiver = Callable[[bytes, Address], None]

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
# A blame is repeated for this long, some four times, as datagrams may be lost.
BLAME_REPEAT_MS = 1600
# Peers that keep copies of the usage counts, the period of sending them, and
# the windows in a copy: a window is reported within two others.
COPY_COUNT = 2
COPY_PERIOD_MS = 500
COPIED_WINDOW_COUNT = 3
# IP and UDP headers of a datagram.
DATAGRAM_HEADER_BYTES = 28
# Blames in one datagram; an engine runs at most this many requests.
MAX_BLAMES = 32


class LoadMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    Load report of one instance.

    :param sender: name of the instance
    :param true_ms: wall-clock time by the clock of the sender
    :param by_engine: load that the sender has in flight at each engine
    :param closed_by_engine: engines that get no new work, and for how long
    :param blames: requests that were running when a target crashed
    :param prefills: prompts whose prefill has started since the last report
    :param holds_duties: whether the sender holds the lease of the duties
    :param usage: usage counts of the sender, for peers that keep copies of them
    :param part_news: news on prompt parts that crash engines
    :param relay: the sender as a relay to targets
    :param departures: targets that have told the sender that they leave
    :param backoff_ms_by_engine: engines that have rejected work of the sender,
        and for how much longer it leaves them alone
    """

    sender: str
    true_ms: int
    by_engine: dict[str, InFlightLoad]
    closed_by_engine: dict[str, RoleClosure] = {}
    blames: tuple[Blame, ...] = ()
    prefills: tuple[PrefillStart, ...] = ()
    holds_duties: bool = False
    usage: UsageCopy | None = None
    part_news: PartNews | None = None
    relay: RelayState = RelayState()
    departures: tuple[TargetLife, ...] = ()
    backoff_ms_by_engine: dict[str, int] = {}


class PeerRecord(msgspec.Struct):
    """
    Addresses at which an instance receives load reports and relays.

    :param relay_port: TCP port of the relay, 0 for none
    :param relay_token: token that the relay asks for
    """

    host: str
    port: int
    zone: str = ''
    relay_port: int = 0
    relay_token: str = ''


_codec: Codec[LoadMessage] = Codec.packed('load of a peer', LoadMessage)


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
        self._recent_blames: deque[Blame] = deque(maxlen=MAX_BLAMES)
        self._part_news = PartNewsQueue(context.gossip)
        self._incarnation = incarnation
        self._copies_sent_ms = 0
        # Called when a list of all instances lacks this one.
        self.on_unregistered: Callable[[], None] = _ignore
        # Called with the addresses of the peers of the zone after each list.
        self.on_zone_members: Callable[[dict[str, Address]], None] = _ignore
        self._receiver_by_mark: dict[bytes, Receiver] = {
            STREAM_MARK: context.streams.receive,
            context.quotas.mark: context.quotas.receive,
        }
        context.gossip.on_blame = self._recent_blames.append
        context.gossip.on_prefill_started = self._queue_prefill
        context.streams.send = self.send_datagram
        context.fleet.balances.slots.start(
            instance, peers.list_alive, self.send_datagram
        )
        context.fleet.notices.on_departure = self._announce

    def add_receiver(self, mark: bytes, receiver: Receiver) -> None:
        """Pass datagrams with a first byte to a receiver."""
        self._receiver_by_mark[mark] = receiver

    async def start(self) -> None:
        """Listen, and begin to send load reports."""
        self._port = self._reactor.listenUDP(
            self._record.port, self, interface=self._record.host
        )
        self._send_due_loads()

    async def stop(self) -> None:
        """Send the last usage counts to peers, and stop."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._send_copies(self._collect_load(self._clock.now_ms()))
        if self._port is not None:
            self._port.stopListening()

    def apply_list(self, found: list[StoredObject]) -> None:
        """Replace the known peers by all instances of the deployment."""
        self._near.addresses.clear()
        self._far.addresses.clear()
        names = {stored.name for stored in found}
        if self._instance not in names:
            self.on_unregistered()
        zone_by_instance = {self._instance: self._record.zone}
        relays: dict[str, RelayAddress] = {}
        for stored in found:
            peer = self._decode_peer(stored)
            if peer is not None:
                group = (
                    self._near if peer.zone == self._record.zone else self._far
                )
                group.addresses[stored.name] = (peer.host, peer.port)
                zone_by_instance[stored.name] = peer.zone
                if peer.relay_port:
                    relays[stored.name] = _get_relay_address(peer)
        self.on_zone_members(self._near.addresses)
        self._context.gossip.relays.set_addresses(relays)
        self._context.set_instance_count(len(zone_by_instance))
        addresses = {**self._near.addresses, **self._far.addresses}
        self._context.streams.set_peers(addresses, zone_by_instance)
        self._context.quotas.connect(self.send_datagram, addresses)
        self._context.fleet.balances.slots.set_peers(addresses)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Apply the load report of a peer; drop a datagram that is none."""
        receiver = self._receiver_by_mark.get(datagram[:1])
        if receiver is not None:
            receiver(datagram, addr)
            return
        if self._context.fleet.balances.receive(datagram):
            return
        try:
            load = _codec.decode(datagram)
        except WireError as error:
            logger.info('{0}', error)
            return
        now_ms = self._clock.now_ms()
        self._context.true_time.record_peer_time(load.sender, load.true_ms)
        self._peers.mark_alive(
            load.sender, now_ms, holds_duties=load.holds_duties
        )
        gossip = self._context.gossip
        gossip.relays.record_state(load.sender, load.relay)
        if load.usage is not None:
            gossip.usage_copies.keep(load.usage, now_ms)
        for blame in load.blames:
            gossip.blames.add(blame)
        if load.part_news is not None:
            self._context.fleet.part_watch.apply_news(load.part_news)
        self._context.fleet.notices.apply_peer_departures(load.departures)
        self._apply_loads(load, now_ms)

    def _apply_loads(self, load: LoadMessage, now_ms: int) -> None:
        fleet = self._context.fleet
        fleet.balances.apply_peer_load(load.sender, load.by_engine, now_ms)
        for board in fleet.boards.list_boards():
            _apply_load(board, load, now_ms)

    def _decode_peer(self, stored: StoredObject) -> PeerRecord | None:
        if stored.name == self._instance:
            return None
        try:
            return msgspec.convert(stored.spec, PeerRecord)
        except msgspec.ValidationError as error:
            logger.bind(peer=stored.name).warning(
                'invalid peer record ignored: {0}', error
            )
            return None

    def _queue_prefill(
        self, engine: str, parts: tuple[PromptPart, ...]
    ) -> None:
        prefill = PrefillStart(engine, parts)
        self._near.prefills.append(prefill)
        self._far.prefills.append(prefill)
        self._schedule_check(PREFILL_DELAY_MS)

    def _announce(self) -> None:
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
        load = self._collect_load(now_ms)
        for group in (self._near, self._far):
            if group.is_due(load, now_ms):
                prefills = group.take_prefills(now_ms)
                datagram_bytes = self._send(
                    msgspec.structs.replace(load, prefills=prefills),
                    group.addresses,
                )
                group.record_sent(load, datagram_bytes, now_ms)
        if now_ms - self._copies_sent_ms >= COPY_PERIOD_MS:
            self._copies_sent_ms = now_ms
            self._send_copies(load)
        self._schedule_check(CHECK_PERIOD_MS)

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

    def _collect_load(self, now_ms: int) -> LoadMessage:
        self._context.fleet.balances.peer_loads.drop_expired(now_ms)
        by_engine = self._context.fleet.plain_targets.snapshot_own_load()
        closed_by_engine: dict[str, RoleClosure] = {}
        backoff_ms_by_engine: dict[str, int] = {}
        for board in self._context.fleet.boards.list_boards():
            board.peer_loads.drop_expired(now_ms)
            by_engine.update(board.snapshot_own_load())
            closed_by_engine.update(board.list_closures(now_ms))
            backoff_ms_by_engine.update(board.backoffs.list_own(now_ms))
        self._context.fleet.part_watch.drop_expired()
        gossip = self._context.gossip
        return LoadMessage(
            sender=self._instance,
            true_ms=0,
            by_engine=by_engine,
            closed_by_engine=closed_by_engine,
            blames=self._collect_blames(),
            holds_duties=gossip.holds_duties(),
            part_news=self._part_news.collect(self._context.true_time.now_ms()),
            relay=RelayState(gossip.relays.is_accepting(), gossip.is_cut_off()),
            departures=self._context.fleet.notices.list_departures(),
            backoff_ms_by_engine=backoff_ms_by_engine,
        )

    def _collect_blames(self) -> tuple[Blame, ...]:
        """Return the blames that peers may not have received yet."""
        true_ms = self._context.true_time.now_ms()
        self._context.gossip.blames.drop_expired(true_ms)
        # A blame is found only once its target has stayed silent for this long.
        since_ms = true_ms - CRASH_CHECK_MS - BLAME_REPEAT_MS
        while self._recent_blames and self._recent_blames[0].true_ms < since_ms:
            self._recent_blames.popleft()
        return tuple(self._recent_blames)

    def _send(
        self, load: LoadMessage, addresses: dict[str, tuple[str, int]]
    ) -> int:
        """Send a load to peers; return the size of one datagram."""
        stamped = msgspec.structs.replace(
            load, true_ms=self._context.true_time.read_own_ms()
        )
        datagram = _codec.encode(stamped)
        for address in addresses.values():
            self.send_datagram(datagram, address)
        return len(datagram) + DATAGRAM_HEADER_BYTES

    def send_datagram(self, datagram: bytes, address: Address) -> None:
        """Send a datagram to a peer and count its bytes."""
        sent_bytes = len(datagram) + DATAGRAM_HEADER_BYTES
        self._context.meters.count_load_bytes(sent_bytes)
        self._context.link.record_sent(sent_bytes, self._clock.now_ms())
        try:
            self.transport.write(datagram, address)
        except OSError as error:
            logger.debug('datagram not sent to {0}: {1}', address, error)


def _get_relay_address(peer: PeerRecord) -> RelayAddress:
    return RelayAddress(peer.host, peer.relay_port, peer.relay_token, peer.zone)


def _apply_load(board: EngineBoard, load: LoadMessage, now_ms: int) -> None:
    board.peer_loads.apply(load.sender, PeerLoad(load.by_engine, now_ms))
    for engine, closure in load.closed_by_engine.items():
        if board.get(engine) is not None:
            board.close_role(engine, closure.role, now_ms + closure.expires_ms)
    for engine, left_ms in load.backoff_ms_by_engine.items():
        if board.get(engine) is not None:
            left_ms = min(left_ms, MAX_BACKOFF_MS)
            board.backoffs.apply_peer_backoff(engine, now_ms + left_ms)
    for prefill in load.prefills:
        board.record_prefill(prefill.engine, prefill.parts)


def _ignore(*news: Any) -> None:
    """Do nothing: no task registers this instance again."""
