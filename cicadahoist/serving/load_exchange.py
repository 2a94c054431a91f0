"""Tells other instances over UDP what this one has in flight."""

from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cicadahoist.clock import Clock, Timer
from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import StoredObject
from cicadahoist.policy.crash_blame import Blame
from cicadahoist.policy.engine_board import PeerLoad
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.crash_watch import CRASH_CHECK_MS
from cicadahoist.serving.peers import Peers

logger = get_logger(__name__)

PEER_KIND = 'cicadahoist-peers'
# Shortest time between two loads; half of the time that a prompt takes.
LOAD_PERIOD_MS = 30
# Added for each peer, so that an instance hears at most 250 loads a second.
PERIOD_PER_PEER_MS = 4
# An unchanged load is repeated this often, as datagrams get lost.
REPEAT_MS = 400
# A blame is told for this long, some four times.
BLAME_TOLD_MS = 1600
# Blames in one datagram: an engine runs at most so many requests.
MOST_BLAMES = 32


class LoadMessage(msgspec.Struct, array_like=True):
    """
    Load of one instance.

    :param sender: name of the instance
    :param true_ms: what it takes the wall-clock time to be
    :param reads_by_engine: prompt tokens in flight
    :param runs_by_engine: requests in flight
    :param held_by_engine: tokens that runs in flight hold
    :param closed_by_engine: for how long engines get no new work, in ms
    :param blames: requests that were running when a target crashed
    """

    sender: str
    true_ms: int
    reads_by_engine: dict[str, int]
    runs_by_engine: dict[str, int]
    held_by_engine: dict[str, int]
    closed_by_engine: dict[str, int] = {}
    blames: tuple[Blame, ...] = ()


class PeerRecord(msgspec.Struct):
    """Where an instance takes loads."""

    host: str
    port: int
    zone: str = ''


_codec: Codec[LoadMessage] = Codec.packed('load of a peer', LoadMessage)


class LoadExchange(DatagramProtocol):
    """
    Sends and takes loads.

    A lost load costs a worse choice of an engine, never a wrong answer.

    :param context: shared parts of the data path
    :param instance: name of this instance
    :param record: where this instance takes loads
    :param peers: takes note of the signs of life of other instances
    """

    transport: Any

    def __init__(
        self,
        context: ServingContext,
        instance: str,
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
        self._addresses_by_peer: dict[str, tuple[str, int]] = {}
        self._sent = LoadMessage(instance, 0, {}, {}, {})
        self._sent_ms = 0
        self._port: Any = None
        self._timer: Timer | None = None
        self._blames_told: list[Blame] = []
        context.on_blame = self._tell_blame

    async def start(self) -> None:
        """Listen, and begin to tell."""
        self._port = self._reactor.listenUDP(
            self._record.port, self, interface=self._record.host
        )
        self._tell()

    async def stop(self) -> None:
        """Stop telling."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._port is not None:
            self._port.stopListening()

    def list_received(self, found: list[StoredObject]) -> None:
        """Take over all instances of the deployment."""
        self._addresses_by_peer = {}
        for stored in found:
            self._add(stored)
        self._count()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take the load of a peer."""
        try:
            load = _codec.decode(datagram)
        except WireError as error:
            logger.info('{0}', error)
            return
        now_ms = self._clock.now_ms()
        self._context.true_time.hear(load.sender, load.true_ms)
        self._peers.heard(load.sender, now_ms)
        for blame in load.blames:
            self._context.blames.blame(blame)
        heard = PeerLoad(
            load.reads_by_engine,
            load.runs_by_engine,
            load.held_by_engine,
            now_ms,
        )
        for board in self._context.fleet.boards.everything():
            board.hear(load.sender, heard)
            for engine, closed_ms in load.closed_by_engine.items():
                if board.get(engine) is not None:
                    board.close(engine, now_ms + closed_ms)

    def _add(self, stored: StoredObject) -> None:
        if stored.name == self._instance:
            return
        try:
            peer = msgspec.convert(stored.spec, PeerRecord)
        except msgspec.ValidationError as error:
            logger.bind(peer=stored.name).warning('odd peer record: {0}', error)
            return
        self._addresses_by_peer[stored.name] = (peer.host, peer.port)

    def _count(self) -> None:
        self._context.count_instances(len(self._addresses_by_peer) + 1)

    def _tell(self) -> None:
        now_ms = self._clock.now_ms()
        message = LoadMessage(
            self._instance, 0, {}, {}, {}, {}, self._open_blames()
        )
        for board in self._context.fleet.boards.everything():
            board.forget_silent(now_ms)
            load = board.own_load()
            message.reads_by_engine.update(load.reads_by_engine)
            message.runs_by_engine.update(load.runs_by_engine)
            message.held_by_engine.update(load.held_by_engine)
            message.closed_by_engine.update(board.closed_for(now_ms))
        is_due = now_ms - self._sent_ms >= REPEAT_MS
        if is_due or message != self._sent:
            self._sent = message
            self._sent_ms = now_ms
            self._send(message)
        peers = len(self._addresses_by_peer)
        period_ms = max(LOAD_PERIOD_MS, PERIOD_PER_PEER_MS * peers)
        self._timer = self._clock.call_later(period_ms, self._tell)

    def _tell_blame(self, blame: Blame) -> None:
        self._blames_told.append(blame)

    def _open_blames(self) -> tuple[Blame, ...]:
        """Return the blames that peers may not have heard of."""
        true_ms = self._context.true_time.now_ms()
        self._context.blames.forget_old(true_ms)
        # A crash is told of only once its target has stayed silent.
        since_ms = true_ms - CRASH_CHECK_MS - BLAME_TOLD_MS
        self._blames_told = [
            blame for blame in self._blames_told if blame.true_ms >= since_ms
        ][-MOST_BLAMES:]
        return tuple(self._blames_told)

    def _send(self, message: LoadMessage) -> None:
        stamped = msgspec.structs.replace(
            message, true_ms=self._context.true_time.own_ms()
        )
        datagram = _codec.encode(stamped)
        for address in self._addresses_by_peer.values():
            try:
                self.transport.write(datagram, address)
            except OSError as error:
                logger.debug('load not sent to {0}: {1}', address, error)
