"""Tests of the removal of expired claims."""

import pytest
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.control.claim_sweeper import (
    CLAIM_TTL_MS,
    SWEEP_PERIOD_MS,
    ClaimSweeper,
)
from cicadahoist.protocol.claim_records import (
    ClaimRecord,
    claim_name,
    encode_claim,
)
from cicadahoist.standin.memory import MemoryStore
from tests.test_mesh.cluster import run

DAY_MS = 86_400_000


class Sweep:
    def __init__(self) -> None:
        self.clock = Clock.manual()
        self.store = MemoryStore.from_seed(0, self.clock)
        self.is_holder = True
        self.sweeper = ClaimSweeper(
            self.store,
            self.clock,
            lambda now_ms: self.is_holder,
            read_wall_ms=lambda: self.clock.now_ms() + DAY_MS,
        )
        Deferred.fromCoroutine(self.sweeper.start())

    def claim(self, key) -> str:
        name = claim_name('tayside', 'filing', key)
        created_ms = self.clock.now_ms() + DAY_MS
        record = ClaimRecord(nonce='n', digest='d', created_ms=created_ms)
        run(self.store.write(name, encode_claim(record), 0))
        return name

    def names(self) -> list[str]:
        return sorted(run(self.store.list_versions('claims/')))

    def advance(self, time_ms) -> None:
        for _ in range(0, time_ms, SWEEP_PERIOD_MS):
            self.clock.advance(SWEEP_PERIOD_MS)


@pytest.fixture
def sweep():
    return Sweep()


def test_only_expired_claims_are_removed(sweep):
    old = sweep.claim('old')
    sweep.advance(DAY_MS)
    young = sweep.claim('young')
    assert sweep.names() == sorted([old, young])
    sweep.advance(CLAIM_TTL_MS - DAY_MS + 2 * SWEEP_PERIOD_MS)
    assert sweep.names() == [young]


def test_nothing_is_removed_without_the_lease(sweep):
    sweep.is_holder = False
    old = sweep.claim('old')
    sweep.advance(2 * CLAIM_TTL_MS)
    assert sweep.names() == [old]


def test_a_claim_is_read_once_before_it_may_have_expired(sweep):
    sweep.claim('one')
    before = sweep.store.model.calls['read']
    sweep.advance(DAY_MS)
    assert sweep.store.model.calls['read'] - before <= 1


def test_sweeping_resumes_after_a_store_outage(sweep):
    old = sweep.claim('old')
    sweep.store.model.faults.outage = True
    sweep.advance(CLAIM_TTL_MS)
    sweep.store.model.faults.outage = False
    assert sweep.names() == [old]
    sweep.advance(3 * SWEEP_PERIOD_MS)
    assert not sweep.names()
