"""Recovery of a fleet that starts during a store outage.

If the processes do not spread their retries, their calls exceed the rate limit
of the store when it returns, and are refused.
"""

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


def start_follower(clock, model, number) -> None:
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


def test_fleet_started_in_an_outage_recovers_within_the_read_rate():
    clock = Clock.manual()
    model = ObjectModel(reads_per_s=READS_PER_S)
    model.faults.outage = True
    for number in range(FLEET):
        start_follower(clock, model, number)
    advance(clock, 60_000)
    model.faults.outage = False
    model.calls.clear()
    advance(clock, 20_000)
    assert model.calls['refused'] == 0
    assert model.calls['read'] + model.calls['watch'] >= FLEET
