"""State of one target and capacity of one pool, as one entry sees them."""

from cicadahoist.policy.fleet import Role
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.speed import TargetSpeed
from cicadahoist.table import RouteKind, Target

MAX_URGENT_BACKLOG_MS = 240.0
MAX_BATCH_BACKLOG_MS = 480.0
BATCH_SLOT_SHARE = 0.75
DEFAULT_SERVICE_SLOTS = 256.0


class Attempt:
    """
    An attempt of this entry that runs on a target.

    :param prefill_tokens: its prompt tokens that are not cached
    :param sent_ms: when it was sent
    :param is_urgent: whether its caller waits for the first token
    """

    __slots__ = (
        'is_urgent',
        'prefill_tokens',
        'queued_tokens',
        'sent_ms',
        'started_ms',
        'target',
    )

    def __init__(
        self, target: str, prefill_tokens: int, sent_ms: int, *, is_urgent: bool
    ) -> None:
        self.target = target
        self.prefill_tokens = prefill_tokens
        self.queued_tokens = prefill_tokens
        self.is_urgent = is_urgent
        self.sent_ms = sent_ms
        self.started_ms: int | None = None


class Load:
    """
    Requests and prompt tokens in flight.

    :param open_requests: requests that have not ended
    :param prefill_tokens: prompt tokens of requests before their first token
    :param urgent_prefill_tokens: the capacity of it for urgent requests
    """

    __slots__ = ('open_requests', 'prefill_tokens', 'urgent_prefill_tokens')

    def __init__(
        self,
        open_requests: int = 0,
        prefill_tokens: int = 0,
        urgent_prefill_tokens: int = 0,
    ) -> None:
        self.open_requests = open_requests
        self.prefill_tokens = prefill_tokens
        self.urgent_prefill_tokens = urgent_prefill_tokens

    def add(self, other: 'Load', sign: int = 1) -> None:
        """Add another load, or subtract it with the sign -1."""
        self.open_requests += sign * other.open_requests
        self.prefill_tokens += sign * other.prefill_tokens
        self.urgent_prefill_tokens += sign * other.urgent_prefill_tokens


class TargetState:
    """
    One target: its row, load, speed and health.

    :param row: its row of the table in force
    :param since_ms: when it appeared, none if it was there at the start
    """

    __slots__ = (
        'capacity',
        'is_draining',
        'health',
        'own_load',
        'peer_load',
        'role',
        'row',
        'speed',
        'unexplained_load',
    )

    def __init__(self, row: Target, since_ms: int | None) -> None:
        self.row = row
        self.own_load = Load()
        self.peer_load = Load()
        self.unexplained_load = Load()
        self.speed = TargetSpeed()
        if row.kind is RouteKind.service:
            self.speed.slots = DEFAULT_SERVICE_SLOTS
        self.health = TargetHealth(since_ms)
        self.is_draining = row.draining
        self.role = Role.mixed.value
        self.capacity = PoolCapacity()

    @property
    def open_requests(self) -> int:
        """Open requests of this entry, of its peers and of other entries."""
        known_requests = (
            self.own_load.open_requests + self.peer_load.open_requests
        )
        return known_requests + self.unexplained_load.open_requests

    def count_backlog_tokens(self, *, is_urgent: bool) -> int:
        """
        Return the prompt tokens that are processed before a new request.

        :param is_urgent: whether the new request is urgent, so that only other
            urgent ones precede it; those of peers finish before the views of
            the peers arrive, and are not counted
        """
        if is_urgent:
            return self.own_load.urgent_prefill_tokens
        known_tokens = (
            self.own_load.prefill_tokens + self.peer_load.prefill_tokens
        )
        return known_tokens + self.unexplained_load.prefill_tokens

    def compute_usable_share(self, now_ms: int) -> float:
        """Return the share of its slots that may be used, 0 while it drains."""
        if self.is_draining or self.row.draining:
            return 0
        return self.health.compute_usable_share(now_ms)

    def has_room(self, now_ms: int, *, is_urgent: bool) -> bool:
        """Return whether a request can start here without waiting."""
        if is_urgent and self.role == Role.prefill.value:
            return False
        slots = self.speed.slots * self.compute_usable_share(now_ms)
        max_backlog_ms = MAX_URGENT_BACKLOG_MS
        if not is_urgent:
            slots *= BATCH_SLOT_SHARE
            max_backlog_ms = MAX_BATCH_BACKLOG_MS
        if self.open_requests + 1 > max(1, slots) or not slots:
            return False
        backlog = self.count_backlog_tokens(is_urgent=is_urgent)
        return backlog < max_backlog_ms * self.speed.tokens_per_ms


class PoolCapacity:
    """
    Capacity of one target, or the sum of the targets of a pool.

    :param targets: targets that may take work
    :param slots: concurrent requests, apart from those of peers
    :param free: slots that nobody uses
    :param tokens_per_ms: prefill rate
    :param step_ms: time between tokens, weighted by slots
    :param first_ms: time to the first token of urgent requests, weighted by
        slots
    :param urgent: targets with room for an urgent request
    :param batch: targets with room for a request that is not urgent
    :param cheap: reclaimable targets among ``batch``
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
        """Return the present capacity of one target."""
        capacity = cls()
        share = state.compute_usable_share(now_ms)
        if not share:
            return capacity
        speed = state.speed
        slots = speed.slots * share
        capacity.targets = 1
        capacity.slots = max(1, slots - state.peer_load.open_requests)
        capacity.free = max(0, slots - state.open_requests)
        capacity.tokens_per_ms = speed.tokens_per_ms * share
        capacity.step_ms = speed.step_ms * capacity.slots
        capacity.first_ms = speed.first_ms * capacity.slots
        capacity.urgent = int(state.has_room(now_ms, is_urgent=True))
        capacity.batch = int(state.has_room(now_ms, is_urgent=False))
        capacity.cheap = capacity.batch * int(state.row.reclaimable)
        return capacity

    def add(self, other: 'PoolCapacity', sign: int = 1) -> None:
        """Add another capacity, or subtract it with the sign -1."""
        self.targets += sign * other.targets
        self.slots += sign * other.slots
        self.free += sign * other.free
        self.tokens_per_ms += sign * other.tokens_per_ms
        self.step_ms += sign * other.step_ms
        self.first_ms += sign * other.first_ms
        self.urgent += sign * other.urgent
        self.batch += sign * other.batch
        self.cheap += sign * other.cheap
