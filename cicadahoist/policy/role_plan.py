"""Which engines read prompts and which generate answers."""

import math

import msgspec

from cicadahoist.policy.engine_board import DECODE, PREFILL

# Long prompts with short answers: one engine generates for so many readers.
ENGINES_PER_DECODE_ENGINE = 6
# Share of the engines that change their role at a time under load.
MAX_CHANGING_SHARE = 0.25


class EngineView(msgspec.Struct, frozen=True, kw_only=True):
    """One engine as the plan sees it."""

    name: str
    zone: str
    role: str
    is_cheap: bool = False
    is_changing: bool = False


class RoleChange(msgspec.Struct, frozen=True):
    """An engine that should change its role."""

    engine: str
    role: str


def plan_roles(engines: list[EngineView], *, is_idle: bool) -> list[RoleChange]:
    """
    Return the engines that should change now.

    Each availability zone has its own generators, so that it serves alone
    when it is cut off; steady engines generate, as streams last longest.
    """
    by_zone: dict[str, list[EngineView]] = {}
    for listed in engines:
        by_zone.setdefault(listed.zone, []).append(listed)
    changes = []
    for zone in sorted(by_zone):
        changes.extend(_plan_zone(by_zone[zone]))
    # Generators first: without one, nothing is served.
    changes.sort(key=lambda change: change.role)
    if is_idle:
        return changes
    most = max(1, math.floor(MAX_CHANGING_SHARE * len(engines)))
    changing = sum(engine.is_changing for engine in engines)
    return changes[: max(0, most - changing)]


def _plan_zone(engines: list[EngineView]) -> list[RoleChange]:
    wanted = max(1, round(len(engines) / ENGINES_PER_DECODE_ENGINE))
    ranked = sorted(engines, key=_rank_for_decode)
    chosen = {engine.name for engine in ranked[:wanted]}
    # An engine that generates already stays before a steady one changes.
    generating = [engine for engine in ranked if engine.role == DECODE]
    if len(generating) >= wanted:
        chosen = {engine.name for engine in generating[:wanted]}
    changes = []
    for engine in engines:
        role = DECODE if engine.name in chosen else PREFILL
        if engine.role and engine.role != role and not engine.is_changing:
            changes.append(RoleChange(engine.name, role))
    return changes


def _rank_for_decode(engine: EngineView) -> tuple[bool, bool, bool, str]:
    """Rank engines for generating, the best one first."""
    return (
        engine.is_changing,
        engine.is_cheap,
        engine.role != DECODE,
        engine.name,
    )
