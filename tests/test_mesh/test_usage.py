"""Usage counts under kills, partitions, lost answers and store outages.

A count must be neither lost nor counted twice, whether the entry writes it or
peers adopt their copies after its heartbeats stop.
"""

from random import Random

import pytest
from twisted.internet.defer import Deferred

from cicadahoist.mesh.usage import UsageLedger
from cicadahoist.mesh.usage_record import decode_record, make_window_prefix
from cicadahoist.mesh.usage_replication import COPY_TIMEOUT_MS
from cicadahoist.messages import UsageCount
from cicadahoist.protocol.usage_figures import UsageTotal
from tests.test_mesh.cluster import STEP_MS, run
from tests.test_mesh.fleet import Fleet

FLUSH_MS = 2000
WINDOW_MS = 60_000
# Two message delays and two coalescing delays, rounded up to clock steps.
COPY_MS = 50


class LedgerFleet(Fleet):
    """Fleet whose instances record usage."""

    def __init__(self, sizes, **faults) -> None:
        self.ledgers: dict[str, UsageLedger] = {}
        self._requests = 0
        super().__init__(sizes, **faults)
        self.advance(5000)

    def start(self, name):
        node = super().start(name)
        self.ledgers[name] = UsageLedger(
            node,
            self.stores[name],
            self.clock,
            flush_period_ms=FLUSH_MS,
            window_ms=WINDOW_MS,
            read_wall_ms=self.clock.now_ms,
            random=Random(len(self.ledgers)),
        )
        run(self.ledgers[name].start())
        return node

    def kill(self, name):
        super().kill(name)
        ledger = self.ledgers.pop(name)
        ledger._background.stop()

    def record_request(self, entry: str, request: str = '') -> Deferred:
        """Record one request of 10 prompt and 5 output tokens."""
        self._requests += 1
        count = UsageCount(
            request=request or f'request-{self._requests}',
            entry=entry,
            window=self.clock.now_ms() // WINDOW_MS,
            workspace='w',
            route='r',
            prompt_tokens=10,
            output_tokens=5,
        )
        return Deferred.fromCoroutine(self.ledgers[entry].record(count))

    def sum_stored(self, window: int = 0) -> UsageTotal:
        """Return the sum of all stored records of a window."""
        total = UsageTotal()
        for name in self.model.list_versions(make_window_prefix(window)):
            record = decode_record(self.model.get(name).payload)
            for each in record.totals.by_workspace.values():
                total = total.plus(each)
        return total


def make_total(number: int) -> UsageTotal:
    return UsageTotal(10 * number, 5 * number, number)


@pytest.fixture
def fleet() -> LedgerFleet:
    return LedgerFleet({'a': 4})


def test_count_is_durable_once_two_peers_hold_it(fleet):
    done = fleet.record_request('a0')
    assert not done.called
    fleet.advance(COPY_MS)
    assert done.called
    holders = [len(ledger._copies) for ledger in fleet.ledgers.values()]
    assert sorted(holders) == [0, 0, 1, 1]


def test_copies_are_dropped_once_they_are_stored(fleet):
    fleet.record_request('a0')
    fleet.advance(FLUSH_MS + 600)
    assert [len(ledger._copies) for ledger in fleet.ledgers.values()] == [0] * 4
    assert fleet.sum_stored() == make_total(1)


@pytest.mark.parametrize('after_ms', [50, 1000, 2000, 2500, 4000])
def test_killed_entry_loses_and_duplicates_no_count(fleet, after_ms):
    finished = [fleet.record_request('a0') for _ in range(5)]
    fleet.advance(after_ms)
    finished.append(fleet.record_request('a0'))
    fleet.advance(COPY_MS)
    assert all(done.called for done in finished)
    fleet.kill('a0')
    fleet.advance(10_000)
    assert fleet.sum_stored() == make_total(6)


def test_restarted_entry_does_not_hide_the_counts_of_the_killed_one(fleet):
    fleet.record_request('a0')
    fleet.advance(COPY_MS)
    fleet.kill('a0')
    fleet.start('a0')
    fleet.advance(5000)
    fleet.record_request('a0')
    fleet.advance(10_000)
    assert fleet.sum_stored() == make_total(2)


def test_paused_entry_and_its_adopters_count_each_request_once(fleet):
    fleet.record_request('a0')
    fleet.advance(COPY_MS)
    others = [f'{name}:1' for name in ('a1', 'a2', 'a3')]
    fleet.network.cut_between(['a0:1'], others)
    fleet.cut_store(['a0'])
    fleet.advance(10_000)
    assert fleet.sum_stored() == make_total(1)
    fleet.record_request('a0')
    fleet.network.heal()
    fleet.cut_store(['a0'], type(fleet.stores['a1'].cut).none)
    fleet.advance(15_000)
    assert fleet.sum_stored() == make_total(2)


def test_lost_answers_of_the_store_duplicate_no_count(fleet):
    fleet.model.faults.lose_share = 0.5
    for _ in range(10):
        fleet.record_request('a0')
        fleet.advance(500)
    fleet.kill('a0')
    fleet.advance(30_000)
    assert fleet.sum_stored() == make_total(10)


def test_store_outage_delays_but_loses_no_count(fleet):
    fleet.model.faults.outage = True
    done = fleet.record_request('a0')
    fleet.advance(COPY_MS)
    assert done.called
    fleet.kill('a0')
    fleet.advance(20_000)
    fleet.model.faults.outage = False
    fleet.advance(15_000)
    assert fleet.sum_stored() == make_total(1)


def test_wait_for_lost_copies_ends_at_the_timeout(fleet):
    fleet.network.loss = 1
    done = fleet.record_request('a0')
    fleet.advance(COPY_TIMEOUT_MS + STEP_MS)
    assert done.called
    assert fleet.sum_stored() == make_total(1)


def test_copy_to_a_silent_peer_is_sent_to_another(fleet):
    first = fleet.ledgers['a0']._replication
    done = fleet.record_request('a0')
    silent = next(iter(first._pending_by_request.values())).requested_peers[0]
    fleet.network.cut(f'{silent}:1', 'a0:1')
    fleet.advance(150)
    assert done.called


def test_entry_without_peers_waits_for_the_store():
    fleet = LedgerFleet({'a': 1})
    done = fleet.record_request('a0')
    assert done.called
    assert fleet.sum_stored() == make_total(1)


def test_request_recorded_twice_counts_once(fleet):
    fleet.record_request('a0', 'same')
    fleet.record_request('a0', 'same')
    fleet.advance(5000)
    assert fleet.sum_stored() == make_total(1)


def test_every_entry_closes_an_ended_window_even_without_counts(fleet):
    fleet.advance(WINDOW_MS + 2 * FLUSH_MS)
    records = [
        decode_record(fleet.model.get(name).payload)
        for name in fleet.model.list_versions(make_window_prefix(0))
    ]
    assert len(records) == 4
    assert all(record.totals.closed for record in records)


def test_stopping_entry_writes_its_counts(fleet):
    fleet.record_request('a0')
    run(fleet.ledgers['a0'].stop())
    assert fleet.sum_stored() == make_total(1)
