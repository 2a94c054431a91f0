"""What an entry knows about one target and one pool."""

from cicadahoist.policy.fleet import Role
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.speed import TargetSpeed
from cicadahoist.table import RouteKind, Target

URGENT_WINDOW_MS = 240.0
BATCH_WINDOW_MS = 480.0
BATCH_SLOT_SHARE = 0.75
SERVICE_SLOTS = 256.0


class Attempt:
    """
    An attempt of this entry that runs on a target.

    :param prefill: its prompt tokens that are not cached
    """

    __slots__ = (
        'prefill',
        'queued_tokens',
        'sent_ms',
        'started_ms',
        'target',
        'urgent',
    )

    def __init__(
        self, target: str, prefill: int, sent_ms: int, *, urgent: bool
    ) -> None:
        self.target = target
        self.prefill = prefill
        self.queued_tokens = prefill
        self.urgent = urgent
        self.sent_ms = sent_ms
        self.started_ms: int | None = None


class Load:
    """
    Requests and prompt tokens in flight.

    :param open_requests: requests that have not ended
    :param prefill: prompt tokens before their first output token
    :param urgent_prefill: the urgent part of ``prefill``
    """

    __slots__ = ('open_requests', 'prefill', 'urgent_prefill')

    def __init__(
        self,
        open_requests: int = 0,
        prefill: int = 0,
        urgent_prefill: int = 0,
    ) -> None:
        self.open_requests = open_requests
        self.prefill = prefill
        self.urgent_prefill = urgent_prefill

    def add(self, other: 'Load', sign: int = 1) -> None:
        """Add another load, or take it away."""
        self.open_requests += sign * other.open_requests
        self.prefill += sign * other.prefill
        self.urgent_prefill += sign * other.urgent_prefill


class TargetState:
    """
    One target: its row, load, speed and health.

    :param row: the row in force
    :param since_ms: when the target came, none if it was there at the start
    """

    __slots__ = (
        'capacity',
        'draining',
        'health',
        'own',
        'peers',
        'role',
        'row',
        'speed',
        'unexplained',
    )

    def __init__(self, row: Target, since_ms: int | None) -> None:
        self.row = row
        self.own = Load()
        self.peers = Load()
        self.unexplained = Load()
        self.speed = TargetSpeed()
        if row.kind is RouteKind.service:
            self.speed.slots = SERVICE_SLOTS
        self.health = TargetHealth(since_ms)
        self.draining = row.draining
        self.role = Role.mixed.value
        self.capacity = PoolCapacity()

    @property
    def open_requests(self) -> int:
        """Requests that run on the target, as far as known."""
        known = self.own.open_requests + self.peers.open_requests
        return known + self.unexplained.open_requests

    def count_backlog_tokens(self, *, urgent: bool) -> int:
        """
        Return the prompt tokens that go before a new request.

        :param urgent: whether the new request is urgent, so that only other
            urgent ones go before it; those of peers are done before their
            views arrive, and are not counted
        """
        if urgent:
            return self.own.urgent_prefill
        known = self.own.prefill + self.peers.prefill
        return known + self.unexplained.prefill

    def compute_usable_share(self, now_ms: int) -> float:
        """Return the share of its slots that may be used."""
        if self.draining or self.row.draining:
            return 0
        return self.health.compute_usable_share(now_ms)

    def has_room(self, now_ms: int, *, urgent: bool) -> bool:
        """Tell whether a request can start here without waiting."""
        if urgent and self.role == Role.prefill.value:
            return False
        slots = self.speed.slots * self.compute_usable_share(now_ms)
        window_ms = URGENT_WINDOW_MS
        if not urgent:
            slots *= BATCH_SLOT_SHARE
            window_ms = BATCH_WINDOW_MS
        if self.open_requests + 1 > max(1, slots) or not slots:
            return False
        backlog = self.count_backlog_tokens(urgent=urgent)
        return backlog < window_ms * self.speed.tokens_per_ms


class PoolCapacity:
    """
    What one target brings to its pool.

    :param targets: 1 if it may take work
    :param slots: requests that it runs at once, those of peers left out
    :param free: slots that nobody uses
    :param tokens_per_ms: its prefill rate
    :param step_ms: its time between tokens, weighted by slots
    :param first_ms: its time to the first token of urgent requests, weighted
        by slots
    :param urgent: 1 if it has room for an urgent request
    :param batch: 1 if it has room for another request
    :param cheap: 1 if it is reclaimable and has room for another request
    """

    __slots__ = (
        'batch',
        'cheap',
        'first_ms',
        'free',
        'slots',
        'step_ms',
        'targets',
        'tokens_per_ms',
        'urgent',
    )

    def __init__(self) -> None:
        self.targets = 0
        self.slots = float(0)
        self.free = float(0)
        self.tokens_per_ms = float(0)
        self.step_ms = float(0)
        self.first_ms = float(0)
        self.urgent = 0
        self.batch = 0
        self.cheap = 0

    @classmethod
    def of_target(cls, state: TargetState, now_ms: int) -> 'PoolCapacity':
        """Return the part that a target brings now."""
        part = cls()
        share = state.compute_usable_share(now_ms)
        if not share:
            return part
        speed = state.speed
        slots = speed.slots * share
        part.targets = 1
        part.slots = max(1, slots - state.peers.open_requests)
        part.free = max(0, slots - state.open_requests)
        part.tokens_per_ms = speed.tokens_per_ms * share
        part.step_ms = speed.step_ms * part.slots
        part.first_ms = speed.first_ms * part.slots
        part.urgent = int(state.has_room(now_ms, urgent=True))
        part.batch = int(state.has_room(now_ms, urgent=False))
        part.cheap = part.batch * int(state.row.reclaimable)
        return part

    def add(self, other: 'PoolCapacity', sign: int = 1) -> None:
        """Add another part, or take it away."""
        self.targets += sign * other.targets
        self.slots += sign * other.slots
        self.free += sign * other.free
        self.tokens_per_ms += sign * other.tokens_per_ms
        self.step_ms += sign * other.step_ms
        self.first_ms += sign * other.first_ms
        self.urgent += sign * other.urgent
        self.batch += sign * other.batch
        self.cheap += sign * other.cheap
