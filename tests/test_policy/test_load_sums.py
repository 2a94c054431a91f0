"""The capacity of a pool is updated incrementally, not recomputed."""

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


def read_capacity(loads) -> list[float]:
    capacity = loads.get_totals('p')
    return [getattr(capacity, name) for name in capacity.__slots__]


class RandomEvents:
    """Applies random events and views of peers to the loads of an entry."""

    def __init__(self, seed) -> None:
        self.random = Random(seed)
        self.loads = TargetLoads()
        self.now_ms = 1000
        self.open: list[str] = []
        self.received: dict[str, tuple[int, list[str]]] = {}
        self.loads.sync(fleet(), self.now_ms)

    def step(self) -> None:
        self.now_ms += self.random.randint(1, 400)
        kind = self.random.choice(
            ['send', 'end', 'fail', 'crash', 'receive_view', 'drain', 'tick']
        )
        getattr(self, kind)()

    def send(self) -> None:
        attempt = f'a{self.now_ms}'
        self.open.append(attempt)
        request = RouteRequest(
            attempt_id=attempt, workspace='w', route='r', cost=Cost(900, 50)
        )
        self.loads.record_sent(self.random.choice(NAMES), request, self.now_ms)

    def end(self, *, failed=False) -> None:
        if self.open:
            attempt = self.open.pop()
            self.loads.record_end(attempt, self.now_ms, failed=failed)

    def fail(self) -> None:
        self.end(failed=True)

    def crash(self) -> None:
        self.loads.record_crash(self.random.choice(NAMES), self.now_ms)

    def receive_view(self) -> None:
        names = self.random.sample(NAMES, 2)
        view = LoadView(by_target={name: (500, 2) for name in names})
        peer = self.random.choice('xyz')
        self.received[peer] = (self.now_ms, names)
        self.loads.apply_peer_view(peer, view, self.now_ms)

    def count_peer_requests(self, target) -> int:
        """Return the open requests in views of peers that have not expired."""
        return sum(
            2
            for received_ms, names in self.received.values()
            if target in names and self.now_ms - received_ms <= PEER_VIEW_TTL_MS
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
def test_incremental_capacity_equals_the_recomputed_one(seed):
    events = RandomEvents(seed)
    for _ in range(200):
        events.step()
        events.loads.tick(events.now_ms)
        incremental = read_capacity(events.loads)
        for name in NAMES:
            peer_requests = events.loads.get_state(name).peer_load.open_requests
            assert peer_requests == events.count_peer_requests(name)
        events.loads.sync(fleet(), events.now_ms)
        assert incremental == pytest.approx(read_capacity(events.loads))
