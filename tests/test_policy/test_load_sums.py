"""Sums of a pool, kept up to date instead of made anew."""

from random import Random

import pytest

from cicadahoist.messages import LoadView
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.load import PEER_VIEW_TTL_MS, TargetLoads
from cicadahoist.policy.tickets import RouteRequest
from cicadahoist.table import Target

NAMES = [f't{number}' for number in range(6)]


def fleet() -> list[Target]:
    return [
        Target(name=name, pool='p', url=f'http://{name}', zone='a')
        for name in NAMES
    ]


def sums(loads) -> list[float]:
    totals = loads.get_totals('p')
    return [getattr(totals, name) for name in totals.__slots__]


class Steps:
    """Random events of an entry, with its peers' views."""

    def __init__(self, seed) -> None:
        self.random = Random(seed)
        self.loads = TargetLoads()
        self.now_ms = 1000
        self.open: list[str] = []
        self.heard: dict[str, tuple[int, list[str]]] = {}
        self.loads.sync(fleet(), self.now_ms)

    def step(self) -> None:
        self.now_ms += self.random.randint(1, 400)
        kind = self.random.choice(
            ['send', 'end', 'fail', 'crash', 'hear', 'drain', 'tick']
        )
        getattr(self, kind)()

    def send(self) -> None:
        attempt = f'a{self.now_ms}'
        self.open.append(attempt)
        wanted = RouteRequest(
            attempt=attempt, workspace='w', route='r', cost=Cost(900, 50)
        )
        self.loads.record_sent(self.random.choice(NAMES), wanted, self.now_ms)

    def end(self, *, failed=False) -> None:
        if self.open:
            attempt = self.open.pop()
            self.loads.record_end(attempt, self.now_ms, failed=failed)

    def fail(self) -> None:
        self.end(failed=True)

    def crash(self) -> None:
        self.loads.record_crash(self.random.choice(NAMES), self.now_ms)

    def hear(self) -> None:
        names = self.random.sample(NAMES, 2)
        view = LoadView(by_target={name: (500, 2) for name in names})
        peer = self.random.choice('xyz')
        self.heard[peer] = (self.now_ms, names)
        self.loads.apply_peer_view(peer, view, self.now_ms)

    def peers_on(self, target) -> int:
        """Return the peers' open requests that count."""
        return sum(
            2
            for heard_ms, names in self.heard.values()
            if target in names and self.now_ms - heard_ms <= PEER_VIEW_TTL_MS
        )

    def drain(self) -> None:
        self.loads.set_draining(
            self.random.choice(NAMES),
            self.now_ms,
            active=self.random.random() < 0.5,
        )

    def tick(self) -> None:
        self.loads.tick(self.now_ms)


@pytest.mark.parametrize('seed', range(8))
def test_sums_after_a_tick_are_those_made_anew(seed):
    steps = Steps(seed)
    for _ in range(200):
        steps.step()
        steps.loads.tick(steps.now_ms)
        kept = sums(steps.loads)
        for name in NAMES:
            peers = steps.loads.get_state(name).peer_load.open_requests
            assert peers == steps.peers_on(name)
        steps.loads.sync(fleet(), steps.now_ms)
        assert kept == pytest.approx(sums(steps.loads))
