from hypothesis import given, settings
from hypothesis import strategies as st

from cicadahoist.policy.limits import LimitShares
from tests.test_policy.helpers import make_ticket

NAMES = ['entry-1', 'entry-2', 'entry-3']
ROUND_MS = 500
LIMIT = 120


class Cluster:
    """Entries that exchange demand a round late over links that may fail."""

    def __init__(self, now_ms=0):
        self.now_ms = now_ms
        self.shares_by_name = {name: LimitShares(name) for name in NAMES}
        for shares in self.shares_by_name.values():
            shares.sync_members(NAMES, now_ms)
        self.lost_links = set()
        self.received_ms = {}
        self.in_flight = []
        self.admitted_ms = []

    def request(self, name, count=1):
        granted_count = 0
        for _ in range(count):
            ticket = make_ticket(
                'r', now_ms=self.now_ms, requests_per_minute=LIMIT
            )
            if not self.shares_by_name[name].admit(ticket, self.now_ms):
                self.shares_by_name[name].settle(ticket, self.now_ms, None)
                self.admitted_ms.append(self.now_ms)
                granted_count += 1
        return granted_count

    def count_admitted_in_last_minute(self):
        from_ms = self.now_ms - 60_000
        return sum(1 for at_ms in self.admitted_ms if at_ms > from_ms)

    def step(self):
        self.now_ms += ROUND_MS
        for sender, receiver, demand in self.in_flight:
            self.received_ms[receiver, sender] = self.now_ms
            returned_ms = self.received_ms.get((sender, receiver), 0)
            self.shares_by_name[receiver].apply_demand(
                sender,
                demand,
                self.now_ms,
                is_two_way=self.now_ms - returned_ms < 2000,
            )
        self.in_flight = []
        for sender, shares in self.shares_by_name.items():
            demand = shares.publish(self.now_ms)
            for receiver in NAMES:
                if (
                    receiver != sender
                    and (sender, receiver) not in self.lost_links
                ):
                    self.in_flight.append((sender, receiver, demand))

    def run(self, rounds):
        for _ in range(rounds):
            self.step()


def test_demand_at_one_entry_gets_nearly_the_whole_limit():
    cluster = Cluster()
    cluster.run(20)
    granted_count = 0
    for _ in range(120):
        granted_count += cluster.request('entry-1', 3)
        cluster.step()
    assert granted_count >= 0.8 * LIMIT


def test_a_share_rises_only_once_all_peers_received_the_demand():
    cluster = Cluster()
    cluster.run(20)
    granted_count = 0
    for _ in range(3):
        granted_count += cluster.request('entry-1')
        cluster.step()
    assert cluster.now_ms % 4000 == 3500
    granted_count += cluster.request('entry-1', 60)
    cluster.step()
    granted_count += cluster.request('entry-1', 60)
    cluster.step()
    granted_count += cluster.request('entry-1', 60)
    assert granted_count <= LIMIT // 3
    for _ in range(16):
        granted_count += cluster.request('entry-1', 60)
        cluster.step()
    assert granted_count > LIMIT // 2


def test_a_partitioned_entry_keeps_its_share():
    cluster = Cluster()
    for _ in range(80):
        cluster.request('entry-1', 2)
        cluster.request('entry-2', 2)
        cluster.step()
    cluster.lost_links = {
        pair
        for name in NAMES[1:]
        for pair in ((name, 'entry-1'), ('entry-1', name))
    }
    cluster.run(121)
    granted_count = 0
    for _ in range(120):
        granted_count += cluster.request('entry-1', 2)
        cluster.step()
    assert 0.3 * LIMIT <= granted_count <= 0.5 * LIMIT


def test_a_single_entry_gets_the_whole_limit():
    shares = LimitShares('entry-1')
    shares.sync_members(['entry-1'], 0)
    ticket = make_ticket('r', requests_per_minute=LIMIT)
    granted_count = sum(
        1 for _ in range(200) if not shares.admit(ticket, 10_000)
    )
    assert granted_count == LIMIT


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
def test_entries_together_never_admit_more_than_the_limit(phases):
    cluster = Cluster()
    cluster.run(10)
    for wanted, lost_links, rounds in phases:
        cluster.lost_links = lost_links
        for _ in range(rounds):
            for name, count in zip(NAMES, wanted, strict=True):
                cluster.request(name, count)
            cluster.step()
            assert cluster.count_admitted_in_last_minute() <= LIMIT


def test_a_concurrency_limit_of_one_goes_to_at_most_one_entry():
    cluster = Cluster()
    cluster.run(10)
    rule = make_ticket('r', max_concurrent=1).rule
    open_ticket = make_ticket('r', max_concurrent=1)
    cluster.shares_by_name['entry-2'].admit(open_ticket, cluster.now_ms)
    for _ in range(30):
        cluster.step()
    allowed = [
        cluster.shares_by_name[name].may_start(rule, 0, cluster.now_ms)
        for name in NAMES
    ]
    assert allowed.count(True) <= 1
