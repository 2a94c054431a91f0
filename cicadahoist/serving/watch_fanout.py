"""
Shares the watches of one reader of the store with all of its zone.

Without it, the calls to the store grow with the instances: each holds a watch
of each kind, and each change wakes all of them.
"""

from collections.abc import Callable

import msgspec

from cicadahoist.clock import Clock, Timer
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.metrics import WATCH_GAPS, WATCH_NEWS_SENT, Metrics
from cicadahoist.policy.shared_watch.reader_age import ReaderAge
from cicadahoist.policy.shared_watch.readers import select_reader
from cicadahoist.serving.load_exchange import LoadExchange
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.watch_feed import WatchFeed
from cicadahoist.serving.watch_news import (
    PACKED_MARK,
    WATCH_MARK,
    KindNews,
    WatchMessage,
    decode_news,
    encode_news,
)

logger = get_logger(__name__)

Address = tuple[str, int]
# Period at which a reader tells the age of its state.
HEARTBEAT_PERIOD_MS = 300
# Readers that ended stay known for some time; this bounds their number.
MAX_SENDERS = 64


class WatchFanout:
    """
    Tells the zone what this instance reads, and passes on what readers tell.

    :param clock: clock of the process
    :param incarnation: unique name of this process
    :param is_enabled: returns whether the deployment shares watches
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_address_by_peer',
        '_age_by_sender',
        '_clock',
        '_feed_by_kind',
        '_gaps',
        '_incarnation',
        '_is_enabled',
        '_is_reader',
        '_news_sent',
        'send',
    )

    def __init__(
        self,
        clock: Clock,
        incarnation: str,
        is_enabled: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._is_enabled = is_enabled
        self._gaps = metrics.counter(WATCH_GAPS)
        self._news_sent = metrics.counter(WATCH_NEWS_SENT)
        self._address_by_peer: dict[str, Address] = {}
        self._age_by_sender: dict[str, ReaderAge] = {}
        self._feed_by_kind: dict[str, WatchFeed] = {}
        self._is_reader = False
        # Sends a datagram to a peer; the task that has the socket sets it.
        self.send: Callable[[bytes, Address], None] = _drop

    @property
    def is_reader(self) -> bool:
        """Whether this instance watches the store for its zone."""
        return self._is_reader and self._is_enabled()

    def add_kind(self, kind: str) -> WatchFeed:
        """Return the feed of a kind that a follower watches."""
        feed = WatchFeed(
            kind,
            self._clock,
            lambda: self.is_reader,
            self._publish,
            lambda: self._gaps.add(1),
        )
        self._feed_by_kind[kind] = feed
        return feed

    def set_members(self, address_by_peer: dict[str, Address]) -> None:
        """Replace the known other instances of the zone."""
        self._address_by_peer = dict(address_by_peer)

    def attach(self, exchange: LoadExchange) -> None:
        """Send and receive through the task that has the socket."""
        for mark in (WATCH_MARK, PACKED_MARK):
            exchange.add_receiver(mark, self.receive)
        exchange.on_zone_members = self.set_members
        self.send = exchange.send_datagram

    def update_role(self, instance: str, peers: Peers) -> None:
        """Decide whether this instance watches the store for its zone."""
        now_ms = self._clock.now_ms()
        alive = [
            peer
            for peer in self._address_by_peer
            if peers.is_alive(peer, now_ms)
        ]
        was_reader = self._is_reader
        # An instance that hears nobody may be one that has just started.
        self._is_reader = (
            bool(alive) and select_reader([instance, *alive]) == instance
        )
        if self.is_reader != (was_reader and self._is_enabled()):
            logger.bind(is_reader=self.is_reader, alive=len(alive)).info(
                'role as reader of the store changed'
            )

    def beat(self) -> None:
        """Tell the zone the age of what this instance has read."""
        for feed in self._feed_by_kind.values():
            feed.drop_silent()
        if not self.is_reader:
            return
        told = []
        for feed in self._feed_by_kind.values():
            if feed.latest is not None:
                news, confirmed_ms = feed.latest
                heartbeat = msgspec.structs.replace(news, changes=())
                told.append((heartbeat, confirmed_ms))
        if told:
            self._send(told)

    def receive(self, datagram: bytes, address: Address) -> None:
        """
        Process a datagram of a reader.

        One that cannot be read may have told changes of any kind.
        """
        try:
            message = decode_news(datagram)
        except WireError as error:
            logger.info('{0}', error)
            self._record_unread(address)
            return
        if not self._is_enabled():
            return
        if message.news:
            self._receive_news(message, address)
        elif message.asked_ms is None:
            self._send_clock(address, message.sent_ms)
        else:
            age = self._age_by_sender.get(message.sender)
            if age is not None:
                age.record_answer(message.asked_ms, message.sent_ms)

    def _record_unread(self, address: Address) -> None:
        if address in self._address_by_peer.values():
            for feed in self._feed_by_kind.values():
                feed.record_unread()

    def _receive_news(self, message: WatchMessage, address: Address) -> None:
        now_ms = self._clock.now_ms()
        age = self._age_by_sender.get(message.sender)
        if age is None:
            if len(self._age_by_sender) >= MAX_SENDERS:
                self._age_by_sender.clear()
            age = ReaderAge(now_ms)
            self._age_by_sender[message.sender] = age
        if age.begin_question(now_ms):
            self._send_clock(address)
        for news in message.news:
            feed = self._feed_by_kind.get(news.kind)
            confirmed_ms = age.record(message.sent_ms, news.age_ms, now_ms)
            if feed is not None:
                feed.receive(message.sender, news, confirmed_ms, age)

    def _send_clock(
        self, address: Address, asked_ms: int | None = None
    ) -> None:
        """Ask a reader for its clock, or answer such a question."""
        message = WatchMessage(
            self._incarnation, self._clock.now_ms(), (), asked_ms
        )
        self.send(encode_news(message), address)

    def _publish(self, news: KindNews, confirmed_ms: int) -> None:
        self._send([(news, confirmed_ms)])

    def _send(self, told: list[tuple[KindNews, int]]) -> None:
        now_ms = self._clock.now_ms()
        message = WatchMessage(
            self._incarnation,
            now_ms,
            tuple(
                msgspec.structs.replace(news, age_ms=now_ms - confirmed_ms)
                for news, confirmed_ms in told
            ),
        )
        datagram = encode_news(message)
        for address in self._address_by_peer.values():
            self.send(datagram, address)
        self._news_sent.add(len(self._address_by_peer))


class WatchFanoutTask:
    """
    Sends the heartbeats of a reader.

    :param instance: name of this instance
    :param peers: which other instances are alive
    """

    __slots__ = ('_clock', '_fanout', '_instance', '_peers', '_timer')

    def __init__(
        self, fanout: WatchFanout, instance: str, peers: Peers, clock: Clock
    ) -> None:
        self._clock = clock
        self._fanout = fanout
        self._instance = instance
        self._peers = peers
        self._timer: Timer | None = None

    async def start(self) -> None:
        """Begin to send heartbeats."""
        self._tick()

    async def stop(self) -> None:
        """Stop; members notice the silence. The socket closes after this."""
        self._fanout.send = _drop
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(HEARTBEAT_PERIOD_MS, self._tick)
        self._fanout.update_role(self._instance, self._peers)
        self._fanout.beat()


def _drop(datagram: bytes, address: Address) -> None:
    """Send nothing: the exchange with peers has not started."""
