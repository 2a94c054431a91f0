"""Tests of the calls that processes make to the store."""

from random import Random

from cicadahoist.clock import Clock
from cicadahoist.mesh.background import Background
from cicadahoist.mesh.store_follower import StoreFollower
from cicadahoist.mesh.table_state import TableState
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel

FLEET = 390
READS_PER_S = 200
STEP_MS = 10


def follow(clock, model, number) -> None:
    follower = StoreFollower(
        MemoryStore(model, clock),
        TableState(clock),
        clock,
        is_watcher=lambda: number % 8 == 0,
        on_loaded=lambda _: None,
        watch_wait_ms=2000,
        random=Random(number),
    )
    Background(clock, follower.step).start()


def advance(clock, time_ms) -> None:
    for _ in range(0, time_ms, STEP_MS):
        clock.advance(STEP_MS)


def test_fleet_that_starts_in_an_outage_comes_back_within_the_rate():
    clock = Clock.manual()
    model = ObjectModel(reads_per_s=READS_PER_S)
    model.faults.outage = True
    for number in range(FLEET):
        follow(clock, model, number)
    advance(clock, 60_000)
    model.faults.outage = False
    model.calls.clear()
    advance(clock, 20_000)
    assert model.calls['refused'] == 0
    assert model.calls['read'] + model.calls['watch'] >= FLEET
