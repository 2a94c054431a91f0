"""In-memory targets that record what they saw."""

from cicadahoist.protocol.order_events import OrderProgress
from cicadahoist.protocol.records import JournalEntry, decode_record
from proof.store import FakeStore
from proof.world import LATENCY_MS, Service

SLOW_SHARE = 0.1
DONE_SHARE = 0.3
REFUSED_SHARE = 0.05
CHANGE_MS = (50, 600)


class FakeTarget(Service):
    """
    A target that takes orders; the platform counts as one too.

    Checks each arriving order against what it saw and against the store.

    :param fencing: whether it refuses orders with an old fencing number
    :param lease: name of the lease object under which it gets orders
    :param bound_ms: longest time that an order is on its way
    """

    def __init__(
        self,
        name: str,
        store: FakeStore,
        lease: str,
        fencing: bool,
        bound_ms: int,
    ) -> None:
        super().__init__()
        self.name = name
        self.fencing = fencing
        self.gone = False
        self.seen: list[tuple[int, JournalEntry]] = []
        self._store = store
        self._lease = lease
        self._world = store.world
        self._bound_ms = bound_ms
        self._busy_until_ms = 0
        self._highest = (0, 0)

    def delay_ms(self) -> int:
        """Return how long an order is on its way."""
        random = self._world.random
        if random.random() < SLOW_SHARE:
            return random.randint(LATENCY_MS[0], self._bound_ms - 1)
        return random.randint(*LATENCY_MS)

    def order(self, entry: JournalEntry) -> str:
        """Take an order; ``done``, ``accepted``, ``refused`` or ``gone``."""
        if self.gone:
            return 'gone'
        if self.fencing and entry.epoch < self._highest[0]:
            return 'refused'
        if self._world.random.random() < REFUSED_SHARE:
            return 'refused'
        self._check(entry)
        self._highest = max(self._highest, (entry.epoch, entry.seq))
        now_ms = self._world.now_ms
        self.seen.append((now_ms, entry))
        if self._world.random.random() < DONE_SHARE:
            return 'done'
        self._busy_until_ms = now_ms + self._world.random.randint(*CHANGE_MS)
        return 'accepted'

    def shown(self, token: str) -> OrderProgress | None:
        """Return what the state shows about an order, none where gone."""
        if self.gone:
            return None
        if token not in {entry.token for _, entry in self.seen}:
            return OrderProgress.absent
        if self.seen[-1][1].token == token:
            if self._world.now_ms < self._busy_until_ms:
                return OrderProgress.changing
        return OrderProgress.done

    def _check(self, entry: JournalEntry) -> None:
        who = f'{self.name} got {entry.kind} {entry.token}'
        if (entry.epoch, entry.seq) <= self._highest:
            self._world.violate(f'{who} after {self._highest}')
        if self._world.now_ms < self._busy_until_ms:
            self._world.violate(f'{who} during another change')
        _, payload = self._store.read(self._lease)
        record = decode_record(payload)
        if record.released or record.epoch != entry.epoch:
            self._world.violate(f'{who} from a process without authority')
        journalled = record.orders.get(self.name)
        if journalled is None or journalled.token != entry.token:
            self._world.violate(f'{who} that the journal does not hold')
        elif journalled.settled:
            self._world.violate(f'{who} after its outcome was recorded')
