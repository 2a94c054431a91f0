"""Random faults during target orders, checked on the platform side."""

import random

import pytest

from tests.test_control.holders import STEP_MS, TIMING
from tests.test_control.target_world import ARRIVAL_MS, BATCH_RATE, World

SEEDS = (1, 2, 3, 4, 5)
FAULT_ROUNDS = 60
FIRST_PURCHASE_MS = 10_000
MOST_ORDERED = 2
QUIET_MS = 200_000
LONGEST_FAULT_MS = 12_000


class Faults:
    """Injects one fault at a time into a zone with two processes."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = World(most_ordered=MOST_ORDERED, seed=seed)
        self.world.begin('first')
        self.world.begin('second')
        self.world.batch_rate = BATCH_RATE
        self._started = 2

    def run(self) -> None:
        choices = [
            self.lose_platform_answers,
            self.cut_platform_off,
            self.slow_platform_down,
            self.sell_nothing,
            self.lose_store_answers,
            self.take_store_away,
            self.kill_holder,
            self.reclaim,
            self.change_demand,
        ]
        # Make sure that each seed buys at least one target.
        self._advance(FIRST_PURCHASE_MS)
        for _ in range(FAULT_ROUNDS):
            self.random.choice(choices)()
            self._advance(self.random.randrange(0, LONGEST_FAULT_MS, STEP_MS))
            self.end_faults()

    def end_faults(self) -> None:
        platform = self.world.platform
        platform.loses_answers = False
        platform.is_cut_off = False
        platform.send_ms = 0
        platform.read_ms = 0
        platform.market.unavailable_zones.clear()
        self.world.model.faults.outage = False
        self.world.model.faults.lose_share = 0

    def lose_platform_answers(self) -> None:
        self.world.platform.loses_answers = True

    def cut_platform_off(self) -> None:
        self.world.platform.is_cut_off = True

    def slow_platform_down(self) -> None:
        # The adapter times out within the order bound.
        self.world.platform.send_ms = TIMING.order_bound_ms - STEP_MS
        self.world.platform.read_ms = self.random.randrange(100, 5000)

    def sell_nothing(self) -> None:
        self.world.platform.market.unavailable_zones.add('a')

    def lose_store_answers(self) -> None:
        self.world.model.faults.lose_share = 0.5

    def take_store_away(self) -> None:
        self.world.model.faults.outage = True

    def kill_holder(self) -> None:
        for process in list(self.world.processes):
            if process.task.is_holder:
                process.kill()
                self.world.processes.remove(process)
                self._started += 1
                self.world.begin(f'process-{self._started}')

    def reclaim(self) -> None:
        delay_ms = self.random.randrange(2000, 20_000)
        at_ms = self.world.clock.now_ms() + delay_ms
        self.world.platform.market.schedule_reclaim('a', '', at_ms)

    def change_demand(self) -> None:
        self.world.batch_rate = BATCH_RATE * self.random.randrange(3)

    def _advance(self, time_ms: int) -> None:
        for _ in range(0, time_ms, STEP_MS):
            self.world.advance(STEP_MS)
            market = self.world.platform.market
            # This includes targets that are bought but not running yet.
            assert len(market._running) <= MOST_ORDERED


@pytest.mark.parametrize('seed', SEEDS)
def test_platform_sees_no_conflicting_order(seed):
    faults = Faults(seed)
    faults.run()
    world = faults.world
    assert world.platform.market.counts.taken > 0
    world.batch_rate = BATCH_RATE
    world.advance(QUIET_MS + TIMING.takeover_ms + ARRIVAL_MS)
    by_url = {row.url for row in world.ordered()}
    assert len(by_url) == len(world.ordered())
    bought = {f'http://{name}' for name in world.platform.running()}
    assert by_url == bought
    assert bought
