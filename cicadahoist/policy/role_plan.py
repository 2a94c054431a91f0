"""Assignment of the prefill and the decode role to engines."""

import math

import msgspec

from cicadahoist.policy.engine_board import DECODE, PREFILL

# Prompts are long and answers short, so that one engine in so many decodes.
ENGINES_PER_DECODE_ENGINE = 6
# Highest share of the engines that change their role at a time under load.
MAX_CHANGING_SHARE = 0.25


class EngineView(msgspec.Struct, frozen=True, kw_only=True):
    """
    One engine, as input of the plan.

    :param role: present role, empty if unknown
    :param is_cheap: whether it is reclaimable
    :param is_changing: whether a role change is under way
    """

    name: str
    zone: str
    role: str
    is_cheap: bool = False
    is_changing: bool = False


class RoleChange(msgspec.Struct, frozen=True):
    """
    A role change to order.

    :param role: the new role
    """

    engine: str
    role: str


def plan_roles(engines: list[EngineView], *, is_idle: bool) -> list[RoleChange]:
    """
    Return the role changes to order now.

    Each availability zone has its own decode engines, so that it can serve
    while it is cut off. Engines that are not reclaimable decode by preference,
    because streams run longest.

    :param is_idle: whether no requests arrive, so that all may change at once
    """
    engines_by_zone: dict[str, list[EngineView]] = {}
    for view in engines:
        engines_by_zone.setdefault(view.zone, []).append(view)
    changes = []
    for zone in sorted(engines_by_zone):
        changes.extend(_plan_zone(engines_by_zone[zone]))
    # Changes to decode sort first: without a decode engine, nothing is served.
    changes.sort(key=lambda change: change.role)
    if is_idle:
        return changes
    max_count = max(1, math.floor(MAX_CHANGING_SHARE * len(engines)))
    changing_count = sum(engine.is_changing for engine in engines)
    return changes[: max(0, max_count - changing_count)]


def _plan_zone(engines: list[EngineView]) -> list[RoleChange]:
    wanted_count = max(1, round(len(engines) / ENGINES_PER_DECODE_ENGINE))
    ranked = sorted(engines, key=_rank_for_decode)
    decode_names = {engine.name for engine in ranked[:wanted_count]}
    # If present decode engines suffice, they keep the role, even reclaimable
    # ones.
    decoding = [engine for engine in ranked if engine.role == DECODE]
    if len(decoding) >= wanted_count:
        decode_names = {engine.name for engine in decoding[:wanted_count]}
    changes = []
    for engine in engines:
        role = DECODE if engine.name in decode_names else PREFILL
        if engine.role and engine.role != role and not engine.is_changing:
            changes.append(RoleChange(engine.name, role))
    return changes


def _rank_for_decode(engine: EngineView) -> tuple[bool, bool, bool, str]:
    """Return the sort key for the decode role; the best engine sorts first."""
    return (
        engine.is_changing,
        engine.is_cheap,
        engine.role != DECODE,
        engine.name,
    )
