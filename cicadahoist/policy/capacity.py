"""Capacity of engines by role, and utilisation of role assignments."""

import msgspec

from cicadahoist.policy.fleet import PoolDemand, Role, TargetView


class RoleSpeed(msgspec.Struct, frozen=True):
    """
    Throughput of one engine that runs only prefill or only decode.

    :param prefill: prompt tokens per ms
    :param decode: output tokens per ms
    """

    prefill: float
    decode: float


MIXED_PREFILL_TOKENS_PER_MS = 7.6
MIXED_DECODE_TOKENS_PER_MS = 2.2
PREFILL_PREFILL_TOKENS_PER_MS = 9.4
PREFILL_DECODE_TOKENS_PER_MS = 0.5
DECODE_PREFILL_TOKENS_PER_MS = 4.4
DECODE_DECODE_TOKENS_PER_MS = 2.2

DEFAULT_SPEEDS = {
    Role.mixed: RoleSpeed(
        MIXED_PREFILL_TOKENS_PER_MS, MIXED_DECODE_TOKENS_PER_MS
    ),
    Role.prefill: RoleSpeed(
        PREFILL_PREFILL_TOKENS_PER_MS, PREFILL_DECODE_TOKENS_PER_MS
    ),
    Role.decode: RoleSpeed(
        DECODE_PREFILL_TOKENS_PER_MS, DECODE_DECODE_TOKENS_PER_MS
    ),
}
MAX_FILL = 4.0
FILL_SEARCH_STEPS = 12


class Assignment(msgspec.Struct, frozen=True):
    """Number of engines in each role."""

    mixed: int = 0
    prefill: int = 0
    decode: int = 0

    @classmethod
    def of_targets(cls, targets: list[TargetView]) -> 'Assignment':
        """Return the present assignment of targets."""
        return cls(
            sum(target.role is Role.mixed for target in targets),
            sum(target.role is Role.prefill for target in targets),
            sum(target.role is Role.decode for target in targets),
        )

    def count(self, role: Role) -> int:
        """Return the number of engines in a role."""
        return int(getattr(self, role.value))

    def remove_one(self, role: Role) -> 'Assignment':
        """Return the assignment without one engine of a role."""
        return msgspec.structs.replace(
            self, **{role.value: self.count(role) - 1}
        )

    def move_one(self, source: Role, goal: Role) -> 'Assignment':
        """Return the assignment with one engine moved to another role."""
        return msgspec.structs.replace(
            self,
            **{
                source.value: self.count(source) - 1,
                goal.value: self.count(goal) + 1,
            },
        )

    def count_moves_to(self, other: 'Assignment') -> int:
        """Return how many engines change role to reach another assignment."""
        return sum(
            max(0, other.count(role) - self.count(role)) for role in Role
        )


def compute_fill(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
) -> float:
    """
    Return the utilisation of an assignment, 1 at full capacity.

    Prefill and decode alternate on an engine. Prefill goes to prefill engines
    first and decode to decode engines; the remainder goes to the others.
    Urgent work runs on mixed and decode engines only, because the long steps
    of prefill engines delay each token.
    """
    low = compute_urgent_fill(assignment, demand, speeds)
    high = MAX_FILL
    if low >= high:
        return low
    if _fits(assignment, demand, speeds, low):
        return low
    for _ in range(FILL_SEARCH_STEPS):
        middle = (low + high) / 2
        if _fits(assignment, demand, speeds, middle):
            high = middle
        else:
            low = middle
    return high


def _fits(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
    share: float,
) -> bool:
    mixed = speeds[Role.mixed]
    decoding = speeds[Role.decode]
    prefill = demand.prefill_per_ms
    prefill -= share * assignment.prefill * speeds[Role.prefill].prefill
    spare = share * assignment.decode - demand.decode_per_ms / decoding.decode
    decode = max(0, -spare) * decoding.decode
    prefill -= max(0, spare) * decoding.prefill
    needed = max(0, prefill) / mixed.prefill + decode / mixed.decode
    return needed <= share * assignment.mixed


def compute_urgent_fill(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
) -> float:
    """Return the utilisation by urgent work of engines that may run it."""
    engines = assignment.mixed + assignment.decode
    if not engines:
        return MAX_FILL
    prefill = demand.urgent_prefill_per_ms / speeds[Role.mixed].prefill
    decode = demand.urgent_decode_per_ms / speeds[Role.mixed].decode
    return (prefill + decode) / engines


def find_best_assignment(
    engines: int, demand: PoolDemand, speeds: dict[Role, RoleSpeed]
) -> Assignment:
    """Return the assignment of engines with the lowest utilisation."""
    if not engines:
        return Assignment()
    choices = [
        Assignment(engines - prefill - decode, prefill, decode)
        for prefill in range(engines)
        for decode in range(engines - prefill + 1)
    ]
    return min(choices, key=lambda choice: compute_fill(choice, demand, speeds))
