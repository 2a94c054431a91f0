"""Readers of a zone that fail, follow one another, or tell old states."""

import pytest

from cicadahoist.objects import Change, StoredObject
from cicadahoist.policy.shared_watch.reader_age import (
    READER_SILENCE_MS,
    ReaderAge,
)
from cicadahoist.policy.shared_watch.readers import select_reader
from cicadahoist.serving.watch_news import (
    KindNews,
    WatchMessage,
    encode_news,
)
from tests.coroutines import Pending
from tests.test_serving.test_watch_fanout import STEP_MS, Member, Zone

# A changed configuration is in force after this time.
CONFIG_MS = 3000


@pytest.mark.parametrize('change_ms', range(2400, 3700, 100))
def test_a_new_reader_tells_of_changes_that_it_was_told(change_ms):
    # Guards against a change that is lost for good: the next reader had it from
    # a reader instead of the store, and its heartbeats did not tell of it.
    zone = Zone(14)
    first = zone.readers[0]
    second = select_reader(name for name in zone.by_name if name != first.name)
    first.stop()
    zone.run(change_ms)
    victim = next(one for one in zone.members if one.name != second)
    zone.is_lost = lambda sender, name: name == victim.name and sender == second
    zone.objects.put('config', 'main', 1)
    zone.run(4000)
    assert victim.specs['main'] == 1


@pytest.mark.parametrize('value', ['short', 'x' * 10_000])
def test_a_reader_that_lags_does_not_hide_a_missed_change(value):
    # Guards against members that never read a change, as a reader without the
    # store tells its old state between the news of the other one.
    zone = Zone(14)
    zone.readers[0].is_store_reachable = False
    zone.objects.break_watches()
    zone.run(200)
    zone.is_lost = lambda sender, name: True
    zone.objects.put('config', 'main', value)
    zone.run(STEP_MS)
    zone.is_lost = lambda sender, name: False
    zone.run(CONFIG_MS - STEP_MS)
    assert all(member.specs['main'] == value for member in zone.members)


def tell(member, sender, sent_ms, *news):
    """Deliver news of a reader."""
    message = WatchMessage(sender, sent_ms, news)
    member.fanout.receive(encode_news(message), ('i0', 0))


def test_the_first_news_of_a_reader_do_not_make_a_state_recent():
    # Guards against keys that are used because the first messages of a reader
    # waited for long: nothing shows yet that they did.
    zone = Zone(14)
    member = zone.members[0]
    revision = zone.objects.revision
    confirmed_ms = member.follower.confirmed_ms
    news = KindNews('config', 0, revision, revision, 0)
    tell(member, 'late', zone.clock.now_ms() - 5000, news)
    assert member.follower.confirmed_ms == confirmed_ms


def test_messages_that_all_wait_do_not_make_a_state_recent():
    # Guards against keys that are used because the links are full all the time,
    # so that no message was faster than the others.
    zone = Zone(14)
    zone.delay_ms = 3000
    joined = zone.by_name['i14'] = Member(zone, 'i14')
    zone.run(8000)
    assert joined in zone.members
    for member in (joined, *zone.readers):
        member.is_store_reachable = False
    zone.objects.break_watches()
    cut_ms = zone.clock.now_ms()
    for _ in range(200):
        zone.run(STEP_MS)
        assert joined.follower.confirmed_ms <= cut_ms + STEP_MS


def test_news_that_overlap_never_apply_an_older_version():
    # Guards against a target that leaves and is used again for a moment, as two
    # readers gather changes into different batches.
    zone = Zone(14)
    member = zone.members[0]
    base = zone.objects.revision
    changes = [
        Change(StoredObject('t', base + number, number), number in {1, 4})
        for number in range(1, 6)
    ]
    seen = []
    member.follower._on_change = seen.append
    for last in (2, 5):
        news = KindNews(
            'config', 0, base + last, base + last, 0, base, changes[:last]
        )
        tell(member, 'i0.n', zone.clock.now_ms(), news)
    assert [change.stored.spec for change in seen] == [1, 2, 3, 4, 5]


def test_a_change_while_an_instance_stops_does_not_end_the_watch():
    # Guards against an error in the follower of a reader that stops: the socket
    # closes before the follower stops.
    zone = Zone(14)
    reader = zone.readers[0]
    reader.fanout.send = None
    Pending(reader.task.stop())
    pages = zone.objects.calls.count(('page', 'config'))
    zone.objects.put('config', 'main', 1)
    zone.run(1000)
    assert zone.objects.calls.count(('page', 'config')) == pages


def test_a_reader_that_is_silent_for_its_time_is_not_waited_for_again():
    # Guards against members that wait twice for a reader that has ended.
    age = ReaderAge(0)
    age.begin_question(0)
    age.record_answer(0, 0)
    age.record(0, 0, 0)
    assert not age.is_reliable(0, READER_SILENCE_MS)


def test_an_outage_is_noticed_before_the_changes_after_it():
    # Guards against targets that are dropped after an outage of the store, in
    # which their entries expired, instead of being kept until they are back.
    zone = Zone(14)
    zone.objects.put('config', 'expired', 1)
    zone.run(1000)
    noticed = []
    for member in zone.members:
        member.follower._on_change = lambda change, follower=member.follower: (
            noticed.append(follower.outage_ended_ms is not None)
        )
    zone.objects.failure = 'down'
    zone.objects.break_watches()
    zone.run(8000)
    # The readers reach the store first.
    for member in zone.members:
        member.is_store_reachable = False
    zone.objects.drop('config', 'expired')
    zone.objects.failure = None
    zone.run(1000)
    assert len(noticed) >= len(zone.members)
    assert all(noticed)


def test_an_outage_in_which_calls_wait_is_noticed():
    # Guards against an outage that members do not notice, as the first call
    # that the store answers after it began in the middle of it.
    zone = Zone(14)
    member, reader = zone.members[0], zone.readers[0]
    zone.is_lost = lambda sender, name: True
    zone.objects.failure = 'down'
    zone.objects.break_watches()
    zone.run(4200)
    base = zone.objects.revision
    change = Change(StoredObject('t', base + 1, 1), True)
    waited_ms = 1700
    news = KindNews(
        'config',
        0,
        base + 1,
        base + 1,
        waited_ms,
        base,
        (change,),
        waited_ms,
    )
    tell(member, f'{reader.name}.n', zone.clock.now_ms(), news)
    zone.run(500)
    assert member.follower.revision == base + 1
    assert member.follower.outage_ended_ms is not None
