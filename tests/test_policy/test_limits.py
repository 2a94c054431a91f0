from hypothesis import given, settings
from hypothesis import strategies as st

from cicadahoist.policy.limits import LimitShares
from tests.test_policy.helpers import make_ticket

NAMES = ['entry-1', 'entry-2', 'entry-3']
ROUND_MS = 500
LIMIT = 120


class Cluster:
    """Entries that exchange demand with a lag, some pairs cut off."""

    def __init__(self, now_ms=0):
        self.now_ms = now_ms
        self.by_name = {name: LimitShares(name) for name in NAMES}
        for shares in self.by_name.values():
            shares.sync_members(NAMES, now_ms)
        self.cuts = set()
        self.heard_ms = {}
        self.on_the_way = []
        self.admitted = []

    def ask(self, name, times=1):
        granted = 0
        for _ in range(times):
            ticket = make_ticket(
                'r', now_ms=self.now_ms, requests_per_minute=LIMIT
            )
            if not self.by_name[name].admit(ticket, self.now_ms):
                self.by_name[name].settle(ticket, self.now_ms, None)
                self.admitted.append(self.now_ms)
                granted += 1
        return granted

    def in_last_minute(self):
        from_ms = self.now_ms - 60_000
        return sum(1 for at_ms in self.admitted if at_ms > from_ms)

    def step(self):
        self.now_ms += ROUND_MS
        for sender, receiver, demand in self.on_the_way:
            self.heard_ms[receiver, sender] = self.now_ms
            back_ms = self.heard_ms.get((sender, receiver), 0)
            self.by_name[receiver].apply_demand(
                sender,
                demand,
                self.now_ms,
                is_two_way=self.now_ms - back_ms < 2000,
            )
        self.on_the_way = []
        for sender, shares in self.by_name.items():
            demand = shares.publish(self.now_ms)
            for receiver in NAMES:
                if receiver != sender and (sender, receiver) not in self.cuts:
                    self.on_the_way.append((sender, receiver, demand))

    def run(self, rounds):
        for _ in range(rounds):
            self.step()


def test_demand_at_one_entry_gets_nearly_the_whole():
    cluster = Cluster()
    cluster.run(20)
    granted = 0
    for _ in range(120):
        granted += cluster.ask('entry-1', 3)
        cluster.step()
    assert granted >= 0.8 * LIMIT


def test_a_share_rises_only_once_others_have_heard_of_the_demand():
    cluster = Cluster()
    cluster.run(20)
    granted = 0
    for _ in range(3):
        granted += cluster.ask('entry-1')
        cluster.step()
    assert cluster.now_ms % 4000 == 3500
    granted += cluster.ask('entry-1', 60)
    cluster.step()
    granted += cluster.ask('entry-1', 60)
    cluster.step()
    granted += cluster.ask('entry-1', 60)
    assert granted <= LIMIT // 3
    for _ in range(16):
        granted += cluster.ask('entry-1', 60)
        cluster.step()
    assert granted > LIMIT // 2


def test_a_cut_off_entry_keeps_its_share():
    cluster = Cluster()
    for _ in range(80):
        cluster.ask('entry-1', 2)
        cluster.ask('entry-2', 2)
        cluster.step()
    cluster.cuts = {
        pair
        for name in NAMES[1:]
        for pair in ((name, 'entry-1'), ('entry-1', name))
    }
    cluster.run(121)
    granted = 0
    for _ in range(120):
        granted += cluster.ask('entry-1', 2)
        cluster.step()
    assert 0.3 * LIMIT <= granted <= 0.5 * LIMIT


def test_a_single_entry_gets_the_whole():
    shares = LimitShares('entry-1')
    shares.sync_members(['entry-1'], 0)
    ticket = make_ticket('r', requests_per_minute=LIMIT)
    granted = sum(1 for _ in range(200) if not shares.admit(ticket, 10_000))
    assert granted == LIMIT


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.lists(st.integers(0, 40), min_size=3, max_size=3),
            st.sets(st.sampled_from([(a, b) for a in NAMES for b in NAMES])),
            st.integers(1, 60),
        ),
        min_size=1,
        max_size=8,
    )
)
def test_entries_never_admit_more_than_the_whole(phases):
    cluster = Cluster()
    cluster.run(10)
    for wanted, cuts, rounds in phases:
        cluster.cuts = cuts
        for _ in range(rounds):
            for name, times in zip(NAMES, wanted, strict=True):
                cluster.ask(name, times)
            cluster.step()
            assert cluster.in_last_minute() <= LIMIT


def test_limit_on_open_requests_of_one_goes_to_where_demand_is():
    cluster = Cluster()
    cluster.run(10)
    rule = make_ticket('r', max_concurrent=1).rule
    open_ticket = make_ticket('r', max_concurrent=1)
    cluster.by_name['entry-2'].admit(open_ticket, cluster.now_ms)
    for _ in range(30):
        cluster.step()
    allowed = [
        cluster.by_name[name].may_start(rule, 0, cluster.now_ms)
        for name in NAMES
    ]
    assert allowed.count(True) <= 1
