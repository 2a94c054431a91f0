"""In-memory targets that record the orders that they receive."""

from cicadahoist.protocol.order_events import OrderProgress
from cicadahoist.protocol.records import JournalEntry, decode_record
from proof.store import FakeStore
from proof.world import LATENCY_MS, Service

SLOW_SHARE = 0.1
DONE_SHARE = 0.3
REFUSED_SHARE = 0.05
CHANGE_DURATION_MS = (50, 600)


class FakeTarget(Service):
    """
    A target that receives orders; the platform is modelled as one, too.

    Checks each order against the earlier ones and the journal in the store.

    :param lease_name: object of the lease that protects its orders
    :param has_fencing: whether it refuses orders with an old fencing token
    :param order_bound_ms: upper bound on the delivery time of an order
    """

    def __init__(
        self,
        name: str,
        store: FakeStore,
        lease_name: str,
        has_fencing: bool,
        order_bound_ms: int,
    ) -> None:
        super().__init__()
        self.name = name
        self.has_fencing = has_fencing
        self.is_gone = False
        self.received_orders: list[tuple[int, JournalEntry]] = []
        self._store = store
        self._lease_name = lease_name
        self._world = store.world
        self._order_bound_ms = order_bound_ms
        self._busy_until_ms = 0
        self._highest_epoch_and_seq = (0, 0)

    def draw_delay_ms(self) -> int:
        """Return a random delivery time of an order."""
        random = self._world.random
        if random.random() < SLOW_SHARE:
            return random.randint(LATENCY_MS[0], self._order_bound_ms - 1)
        return random.randint(*LATENCY_MS)

    def receive_order(self, entry: JournalEntry) -> str:
        """
        Receive an order.

        :return: ``done``, ``accepted``, ``refused`` or ``gone``
        """
        if self.is_gone:
            return 'gone'
        if self.has_fencing and entry.epoch < self._highest_epoch_and_seq[0]:
            return 'refused'
        if self._world.random.random() < REFUSED_SHARE:
            return 'refused'
        self._check_order(entry)
        self._highest_epoch_and_seq = max(
            self._highest_epoch_and_seq, (entry.epoch, entry.seq)
        )
        now_ms = self._world.now_ms
        self.received_orders.append((now_ms, entry))
        if self._world.random.random() < DONE_SHARE:
            return 'done'
        self._busy_until_ms = now_ms + self._world.random.randint(
            *CHANGE_DURATION_MS
        )
        return 'accepted'

    def read_progress(self, token: str) -> OrderProgress | None:
        """Return the progress of an order, or none if the target is gone."""
        if self.is_gone:
            return None
        if token not in {entry.token for _, entry in self.received_orders}:
            return OrderProgress.absent
        if self.received_orders[-1][1].token == token:
            if self._world.now_ms < self._busy_until_ms:
                return OrderProgress.changing
        return OrderProgress.done

    def _check_order(self, entry: JournalEntry) -> None:
        subject = f'{self.name} got {entry.kind} {entry.token}'
        if (entry.epoch, entry.seq) <= self._highest_epoch_and_seq:
            self._world.record_violation(
                f'{subject} after {self._highest_epoch_and_seq}'
            )
        if self._world.now_ms < self._busy_until_ms:
            self._world.record_violation(f'{subject} during another change')
        _, payload = self._store.read(self._lease_name)
        record = decode_record(payload)
        if record.released or record.epoch != entry.epoch:
            self._world.record_violation(
                f'{subject} from a process without authority'
            )
        journal_entry = record.orders.get(self.name)
        if journal_entry is None or journal_entry.token != entry.token:
            self._world.record_violation(
                f'{subject} that the journal does not hold'
            )
        elif journal_entry.settled:
            self._world.record_violation(
                f'{subject} after its outcome was recorded'
            )
