"""
Datagrams between instances, on real sockets.

They guard against news that is sent whole and read in part: a version of the
configuration then comes into force only after a silence.
"""

from random import Random

from opentelemetry.sdk.metrics import MeterProvider
from twisted.internet import reactor

from cicadahoist.clock import Clock
from cicadahoist.metrics import Metrics
from cicadahoist.objects import Change, StoredObject
from cicadahoist.policy.crash_containment import (
    BegunRun,
    CrashReport,
    PartHold,
    SoundPart,
)
from cicadahoist.serving.load_exchange import LoadExchange
from cicadahoist.serving.load_messages import LOAD_CODEC, PeerRecord
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.store_follower import KindFollower
from cicadahoist.serving.watch_fanout import WatchFanout
from cicadahoist.serving.watch_news import KindNews
from tests.loopback import LoopbackCase
from tests.test_serving.fake_objects import FakeObjects
from tests.test_serving.world import World

HOST = '127.0.0.1'
KIND = 'config'
CONFIG_BYTES = (200, 4000, 8000, 12_000, 15_000)
# A reader's changes that no datagram can hold, however encoded.
HUGE_BYTES = 400_000
ERA = 0


class Instance:
    """One instance with the socket of its exchange."""

    def __init__(self, case, name, clock):
        # Timers stand still: what happens is due to a datagram only.
        self.clock = clock
        self.world = World(clock)
        self.peers = Peers(name)
        self.world.context.quotas.join(name, f'{name}.n', self.peers.is_alive)
        self.exchange = Exchange(
            self.world.context,
            name,
            f'{name}.n',
            PeerRecord(HOST, 0, 'zone-a'),
            self.peers,
            reactor,
        )
        self.exchange.received = []
        self.fanout = WatchFanout(
            self.clock, f'{name}.n', lambda: True, Metrics(MeterProvider())
        )
        self.objects = FakeObjects()
        self.objects.put(KIND, 'main', 'old')
        self.specs = []
        self.follower = KindFollower(
            self.objects,
            KIND,
            2400,
            self.clock,
            lambda found: self.specs.append(found[0].spec),
            lambda change: self.specs.append(change.stored.spec),
            feed=self.fanout.add_kind(KIND),
        )
        self.fanout.attach(self.exchange)
        run(self.exchange.start())
        case.addCleanup(self.stop)

    @property
    def address(self):
        return (HOST, self.exchange._port.getHost().port)

    def stop(self):
        run(self.follower.stop())
        return self.exchange.close()

    def follow(self):
        run(self.follower.start())


class Exchange(LoadExchange):
    """Keeps the reports that it receives."""

    def close(self):
        """Close the socket; return when it is closed."""
        port, self._port = self._port, None
        run(self.stop())
        return port.stopListening()

    def _receive(self, datagram, sender):
        self.received.append(datagram)
        super()._receive(datagram, sender)


def run(work):
    """Run a coroutine that does not wait."""
    try:
        work.send(None)
    except StopIteration:
        return


class DatagramTests(LoopbackCase):
    """Sends from one instance to another."""

    timeout = 10

    def setUp(self):
        super().setUp()
        self.time = Clock.manual()
        self.time.advance(100_000)
        self.reader = Instance(self, 'reader', self.time)
        self.member = Instance(self, 'member', self.time)
        self.reader.fanout.set_members({'member': self.member.address})
        self.member.fanout.set_members({'reader': self.reader.address})

    def publish(self, revision, spec):
        """Let the reader tell a change after its state before."""
        news = KindNews(
            KIND,
            ERA,
            revision,
            revision,
            0,
            revision - 1,
            (Change(StoredObject('main', revision, spec), is_removed=False),),
        )
        self.reader.fanout._publish(news, self.time.now_ms())

    async def hear_reader(self):
        """Let the member rely on the reader."""
        self.member.follow()
        revision = self.member.objects.revision
        feed = self.member.fanout._feed_by_kind[KIND]
        while not feed.is_usable(ERA):
            news = KindNews(KIND, ERA, revision, revision, 0, revision)
            self.reader.fanout._publish(news, self.time.now_ms())
            await self.clock.sleep(5)
        # Its own watch ends, and it follows the reader from now on.
        self.member.objects.answer_unchanged()
        await self.until(lambda: not self.member.objects.pending_watches)
        return revision

    async def test_news_of_any_length_that_is_sent_is_read(self):
        revision = await self.hear_reader()
        random = Random(1)
        for size in CONFIG_BYTES:
            revision += 1
            spec = random.randbytes(size // 2).hex()
            self.publish(revision, spec)
            await self.until(lambda spec=spec: self.member.specs[-1] == spec)
        assert not self.member.objects.pending_watches

    async def test_changes_left_out_of_news_are_read_from_the_store_at_once(
        self,
    ):
        revision = await self.hear_reader()
        spec = Random(1).randbytes(HUGE_BYTES // 2).hex()
        self.member.objects.put(KIND, 'main', spec)
        self.publish(revision + 1, spec)
        # No second message follows.
        await self.until(lambda: self.member.specs[-1] == spec)

    async def test_news_that_cannot_be_read_makes_a_member_ask_at_once(self):
        await self.hear_reader()
        self.member.objects.put(KIND, 'main', 'new')
        self.reader.exchange.send_datagram(
            b'W\x93\xa4cut ', self.member.address
        )
        await self.until(lambda: self.member.specs[-1] == 'new')

    async def test_the_longest_report_on_prompt_parts_is_read(self):
        gossip = self.reader.world.context.gossip
        for number in range(100):
            part = f'{number:04}' * 200
            run = BegunRun('w1', (part,) * 16)
            now_ms = self.reader.world.context.true_time.now_ms()
            gossip.on_crash(CrashReport(f't{number}', now_ms, (run,) * 32))
            gossip.on_sound_part(SoundPart(part, now_ms))
            gossip.held_parts.merge(
                PartHold(
                    part=part,
                    workspaces=(),
                    since_ms=now_ms,
                    crash_count=5,
                    targets=('t1',),
                )
            )
        load = self.reader.exchange._own_load.collect(self.time.now_ms())
        assert load.part_news is not None
        self.reader.exchange._send(load, {'member': self.member.address})
        await self.until(lambda: self.member.exchange.received)
        report = LOAD_CODEC.decode(self.member.exchange.received[0])
        assert report.part_news == load.part_news
