"""What engines of each role can do, and how full an assignment is."""

import msgspec

from cicadahoist.policy.fleet import PoolDemand, Role, TargetView


class RoleSpeed(msgspec.Struct, frozen=True):
    """
    What one engine does when it does nothing else.

    :param prefill: prompt tokens a ms
    :param decode: output tokens a ms
    """

    prefill: float
    decode: float


MIXED_PREFILL = 7.6
MIXED_DECODE = 2.2
PREFILL_PREFILL = 9.4
PREFILL_DECODE = 0.5
DECODE_PREFILL = 4.4
DECODE_DECODE = 2.2

DEFAULT_SPEEDS = {
    Role.mixed: RoleSpeed(MIXED_PREFILL, MIXED_DECODE),
    Role.prefill: RoleSpeed(PREFILL_PREFILL, PREFILL_DECODE),
    Role.decode: RoleSpeed(DECODE_PREFILL, DECODE_DECODE),
}
OVERFULL = 4.0
FILL_STEPS = 12


class Assignment(msgspec.Struct, frozen=True):
    """Number of engines in each role."""

    mixed: int = 0
    prefill: int = 0
    decode: int = 0

    @classmethod
    def of_targets(cls, targets: list[TargetView]) -> 'Assignment':
        """Return the roles that targets have now."""
        return cls(
            sum(target.role is Role.mixed for target in targets),
            sum(target.role is Role.prefill for target in targets),
            sum(target.role is Role.decode for target in targets),
        )

    def count(self, role: Role) -> int:
        """Return the number of engines in a role."""
        return int(getattr(self, role.value))

    def without(self, role: Role) -> 'Assignment':
        """Return the assignment while one engine of a role is away."""
        return msgspec.structs.replace(
            self, **{role.value: self.count(role) - 1}
        )

    def moved(self, source: Role, goal: Role) -> 'Assignment':
        """Return the assignment with one engine moved to another role."""
        return msgspec.structs.replace(
            self,
            **{
                source.value: self.count(source) - 1,
                goal.value: self.count(goal) + 1,
            },
        )

    def moves_to(self, other: 'Assignment') -> int:
        """Return how many engines have to change to reach another one."""
        return sum(
            max(0, other.count(role) - self.count(role)) for role in Role
        )


def compute_fill(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
) -> float:
    """
    Return how full an assignment is, 1 for quite full.

    Prompts and tokens take turns on an engine. Prompts go to prefill engines
    first and tokens to decode engines; what is left goes to the others.
    Urgent work runs on mixed and decode engines only, as the long steps of
    prefill engines delay each token.
    """
    low = compute_urgent_fill(assignment, demand, speeds)
    high = OVERFULL
    if low >= high:
        return low
    if _fits(assignment, demand, speeds, low):
        return low
    for _ in range(FILL_STEPS):
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
    """Return how full urgent work makes the engines that may take it."""
    engines = assignment.mixed + assignment.decode
    if not engines:
        return OVERFULL
    prefill = demand.urgent_prefill_per_ms / speeds[Role.mixed].prefill
    decode = demand.urgent_decode_per_ms / speeds[Role.mixed].decode
    return (prefill + decode) / engines


def find_best_assignment(
    engines: int, demand: PoolDemand, speeds: dict[Role, RoleSpeed]
) -> Assignment:
    """Return the least full assignment of a number of engines."""
    if not engines:
        return Assignment()
    choices = [
        Assignment(engines - prefill - decode, prefill, decode)
        for prefill in range(engines)
        for decode in range(engines - prefill + 1)
    ]
    return min(choices, key=lambda choice: compute_fill(choice, demand, speeds))
