"""Watches that one reader of a zone holds for all of its instances."""

from random import Random

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreUnavailableError
from cicadahoist.metrics import Metrics
from cicadahoist.objects import Changes
from cicadahoist.policy.shared_watch.readers import select_reader
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.store_follower import KindFollower
from cicadahoist.serving.watch_fanout import WatchFanout, WatchFanoutTask
from tests.coroutines import Pending
from tests.test_serving.fake_objects import FakeObjects

WAIT_MS = 2400
STEP_MS = 20
# Time after which a withdrawn key must not be accepted any more, less what
# instances keep in reserve (a fifth of 5 s).
KEY_AGE_MS = 4000


class TimedObjects(FakeObjects):
    """A store as one instance sees it; its watches end after their wait."""

    def __init__(self, shared, clock):
        super().__init__()
        self.__dict__ = shared.__dict__
        self.clock = clock

    async def watch(self, kind, after, wait_ms):
        watching = Deferred.fromCoroutine(super().watch(kind, after, wait_ms))
        if watching.called:
            return await watching
        entry = self.pending_watches[-1]
        timer = self.clock.call_later(wait_ms, self.end_watch, entry)
        try:
            return await watching
        finally:
            if timer.active():
                timer.cancel()

    def end_watch(self, entry):
        self.pending_watches.remove(entry)
        entry[2].callback(Changes([], self.revision, self.era))


class Member:
    """An instance that follows one kind."""

    def __init__(self, zone, name):
        self.zone = zone
        self.name = name
        self.is_up = True
        self.is_store_reachable = True
        self.specs = {}
        self.calls = 0
        self.peers = Peers(name)
        self.fanout = WatchFanout(
            zone.clock,
            f'{name}.n',
            lambda: zone.is_large,
            Metrics(MeterProvider()),
        )
        self.fanout.send = self.send
        self.follower = KindFollower(
            self,
            'config',
            WAIT_MS,
            zone.clock,
            self.apply_list,
            self.apply_change,
            feed=self.fanout.add_kind('config'),
        )
        self.task = WatchFanoutTask(self.fanout, name, self.peers, zone.clock)
        Pending(self.follower.start())
        Pending(self.task.start())

    def send(self, datagram, address):
        self.zone.carry(self, address[0], datagram)

    async def read_page(self, kind, **options):
        self._call()
        return await self.zone.objects.read_page(kind, **options)

    async def watch(self, kind, after, wait_ms):
        self._call()
        return await self.zone.objects.watch(kind, after, wait_ms)

    def _call(self):
        self.calls += 1
        if not self.is_store_reachable:
            raise StoreUnavailableError('cut off', remedy='again')

    def apply_list(self, found):
        self.specs = {stored.name: stored.spec for stored in found}

    def apply_change(self, change):
        if change.is_removed:
            self.specs.pop(change.stored.name, None)
        else:
            self.specs[change.stored.name] = change.stored.spec

    def stop(self):
        self.is_up = False
        Pending(self.task.stop())
        Pending(self.follower.stop())

    @property
    def age_ms(self):
        return self.follower.age_ms(self.zone.clock.now_ms())


class Zone:
    """Instances of one zone, and the network between them."""

    def __init__(self, count, *, is_large=True, seed=1):
        self.clock = Clock.manual()
        self.clock.advance(100_000)
        self.objects = TimedObjects(FakeObjects(), self.clock)
        self.objects.put('config', 'main', 0)
        self.is_large = is_large
        self.random = Random(seed)
        self.lost_share = 0
        self.is_lost = lambda sender, name: False
        self.delay_ms = 1
        self.datagrams = 0
        self.by_name = {}
        for number in range(count):
            self.by_name[f'i{number}'] = Member(self, f'i{number}')
        self.run(6000)

    def carry(self, sender, name, datagram):
        self.datagrams += 1
        is_lost = self.random.random() < self.lost_share
        if sender.is_up and not is_lost and not self.is_lost(sender.name, name):
            self.clock.call_later(
                self.delay_ms, self.deliver, name, datagram, (sender.name, 0)
            )

    def deliver(self, name, datagram, address):
        member = self.by_name[name]
        if member.is_up:
            member.fanout.receive(datagram, address)

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            up = [member for member in self.by_name.values() if member.is_up]
            for member in up:
                others = [other.name for other in up if other is not member]
                known = {name: (name, 0) for name in self.by_name}
                known.pop(member.name)
                member.fanout.set_members(known)
                for other in others:
                    member.peers.mark_alive(other, self.clock.now_ms())
            self.clock.advance(STEP_MS)

    def count_calls(self, duration_ms):
        before = sum(member.calls for member in self.by_name.values())
        self.run(duration_ms)
        return sum(member.calls for member in self.by_name.values()) - before

    @property
    def readers(self):
        return [
            member
            for member in self.by_name.values()
            if member.is_up and member.fanout.is_reader
        ]

    @property
    def members(self):
        return [
            member
            for member in self.by_name.values()
            if member.is_up and not member.fanout.is_reader
        ]


@pytest.fixture
def zone():
    return Zone(14)


@pytest.mark.parametrize('count', [14, 65])
def test_calls_do_not_grow_with_the_instances(count):
    # Guards against a watch of each instance: 8,379 calls on a day of 67.
    zone = Zone(count)
    assert len(zone.readers) == 1
    calls = zone.count_calls(12_000)
    # One reader, with watches of at most 1.2 s.
    assert calls <= 12_000 / 1200 + 1


def test_small_fleets_send_nothing():
    # Guards against messages on deployments that are served without them.
    zone = Zone(9, is_large=False)
    assert zone.datagrams == 0
    assert zone.count_calls(2400 * 5) >= 9 * 4


def test_a_change_reaches_all_without_further_calls(zone):
    zone.objects.put('config', 'main', 1)
    before = [member.calls for member in zone.members]
    zone.run(100)
    assert all(member.specs['main'] == 1 for member in zone.by_name.values())
    assert [member.calls for member in zone.members] == before


def test_a_removed_object_is_removed_at_all(zone):
    zone.objects.put('config', 'other', 1)
    zone.run(100)
    zone.objects.drop('config', 'other')
    zone.run(100)
    assert all('other' not in member.specs for member in zone.members)


def test_the_state_of_a_member_is_never_old_in_calm(zone):
    # Guards against instances that report not ready (3 s) for lack of news.
    for _ in range(300):
        zone.run(STEP_MS)
        assert max(member.age_ms for member in zone.members) < 3000


def test_a_lost_change_is_read_from_the_store(zone):
    # Guards against an instance that goes on with a withdrawn key.
    victim = zone.members[0]
    zone.is_lost = lambda sender, name: name == victim.name
    zone.objects.put('config', 'main', 1)
    zone.run(60)
    zone.is_lost = lambda sender, name: False
    assert victim.specs['main'] == 0
    zone.run(1000)
    assert victim.specs['main'] == 1


def test_changes_that_are_too_long_are_read_from_the_store(zone):
    # Bytes that compression does not shorten below the bound.
    spec = Random(1).randbytes(40_000).hex()
    zone.objects.put('config', 'main', spec)
    zone.run(1000)
    assert all(member.specs['main'] == spec for member in zone.members)


@pytest.mark.parametrize('count', [1, 2])
def test_members_go_on_when_readers_end(zone, count):
    for _ in range(count):
        zone.readers[0].stop()
        zone.run(5000)
    zone.objects.put('config', 'main', 2)
    zone.run(2000)
    assert all(member.specs['main'] == 2 for member in zone.members)
    zone.run(6000)
    assert len([reader for reader in zone.readers if reader.is_up]) == 1
    assert zone.count_calls(6000) <= 5 + 1


def test_members_go_on_when_readers_are_cut_off_from_the_store(zone):
    for reader in zone.readers:
        reader.is_store_reachable = False
    zone.objects.break_watches()
    zone.run(1000)
    zone.objects.put('config', 'main', 3)
    zone.run(KEY_AGE_MS - 1000)
    assert all(member.specs['main'] == 3 for member in zone.members)
    assert max(member.age_ms for member in zone.members) < KEY_AGE_MS


def test_a_member_that_hears_no_reader_watches_itself(zone):
    victim = zone.members[0]
    zone.is_lost = lambda sender, name: name == victim.name
    zone.run(2000)
    zone.objects.put('config', 'main', 4)
    zone.run(100)
    assert victim.specs['main'] == 4


def test_old_messages_do_not_make_a_state_look_recent(zone):
    # Guards against keys that are used because news wait in a full link: a
    # state that is told late has to count as old as it is.
    for reader in zone.readers:
        reader.is_store_reachable = False
    zone.objects.break_watches()
    zone.delay_ms = 3000
    cut_ms = zone.clock.now_ms()
    for member in zone.members:
        member.is_store_reachable = False
    for _ in range(200):
        zone.run(STEP_MS)
        told_ms = max(m.follower.confirmed_ms for m in zone.members)
        assert told_ms <= cut_ms + STEP_MS


def test_a_store_of_a_new_era_is_listed_by_all(zone):
    zone.objects.put('config', 'main', 5)
    zone.run(100)
    zone.objects.come_back(zone.objects.revision - 1)
    zone.objects.put('config', 'main', 6)
    zone.run(4000)
    assert all(member.specs == {'main': 6} for member in zone.members)


def test_following_readers_is_no_outage_of_the_store(zone):
    # Guards against removed targets that are kept, as after an outage.
    for reader in zone.readers:
        reader.stop()
    zone.run(8000)
    assert all(m.follower.outage_ended_ms is None for m in zone.members)


def test_an_outage_of_the_store_is_noticed_by_all(zone):
    zone.objects.failure = 'down'
    zone.objects.break_watches()
    zone.run(10_000)
    zone.objects.failure = None
    zone.run(3000)
    assert all(m.follower.outage_ended_ms is not None for m in zone.members)


@pytest.mark.parametrize('seed', range(12))
def test_all_reach_the_state_of_the_store_after_random_faults(seed):
    # Guards against changes that are lost between readers and members.
    zone = Zone(14, seed=seed)
    zone.lost_share = 0.3
    for step in range(120):
        zone.delay_ms = zone.random.choice([1, 1, 40, 300])
        name = f'o{zone.random.randrange(5)}'
        if name in zone.objects.names('config') and zone.random.random() < 0.3:
            zone.objects.drop('config', name)
        else:
            zone.objects.put('config', name, step)
        if zone.random.random() < 0.05:
            zone.objects.break_watches()
        if step == 60:
            zone.readers[0].stop()
        zone.run(zone.random.choice([20, 100, 400]))
    zone.lost_share = 0
    zone.delay_ms = 1
    zone.run(4000)
    stored = zone.objects.kinds['config']
    expected = {name: entry.spec for name, entry in stored.items()}
    for member in zone.by_name.values():
        if member.is_up:
            assert member.specs == expected


def test_the_reader_is_the_same_from_each_view():
    names = [f'i{number}' for number in range(30)]
    assert select_reader(names) == select_reader(reversed(names))
