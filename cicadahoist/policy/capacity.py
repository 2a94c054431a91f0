"""What engines of each role can do, and how full an assignment is."""

import math

import msgspec

from cicadahoist.policy.fleet import PoolDemand, Role, TargetView


class RoleSpeed(msgspec.Struct, frozen=True):
    """
    What one engine does at most at the goal between tokens.

    :param prefill: prompt tokens a ms
    :param decode: output tokens a ms, at the same time
    """

    prefill: float
    decode: float


MIXED_PREFILL = 5.8
MIXED_DECODE = 0.66
PREFILL_PREFILL = 9.4
PREFILL_DECODE = 0.05
DECODE_PREFILL = 1.5
DECODE_DECODE = 1.9

DEFAULT_SPEEDS = {
    Role.mixed: RoleSpeed(MIXED_PREFILL, MIXED_DECODE),
    Role.prefill: RoleSpeed(PREFILL_PREFILL, PREFILL_DECODE),
    Role.decode: RoleSpeed(DECODE_PREFILL, DECODE_DECODE),
}


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


def fill(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
) -> float:
    """
    Return how full the scarcest part of an assignment is, 1 for quite full.

    Urgent work runs on mixed and decode engines only, as the long steps of
    prefill engines delay each token. There it goes before other work, so that
    its prompts and its tokens take turns.
    """
    prefill = float(0)
    decode = float(0)
    for role, speed in speeds.items():
        prefill += assignment.count(role) * speed.prefill
        decode += assignment.count(role) * speed.decode
    if not prefill or not decode:
        return math.inf
    return max(
        demand.prefill_per_ms / prefill,
        demand.decode_per_ms / decode,
        _urgent_fill(assignment, demand, speeds),
    )


def _urgent_fill(
    assignment: Assignment,
    demand: PoolDemand,
    speeds: dict[Role, RoleSpeed],
) -> float:
    engines = assignment.mixed + assignment.decode
    if not engines:
        return math.inf
    prefill = demand.urgent_prefill_per_ms / speeds[Role.mixed].prefill
    decode = demand.urgent_decode_per_ms / speeds[Role.decode].decode
    return (prefill + decode) / engines


def best_assignment(
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
    return min(choices, key=lambda choice: fill(choice, demand, speeds))
