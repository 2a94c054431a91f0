"""
Assignment of roles to the engines of a large fleet by the measured load.

Prompts wait for milliseconds, but a stream that finds no slot waits for the end
of another one, for seconds. So fractions of an engine go to decode.
"""

import math

from cicadahoist.policy.engine_board import DECODE, PREFILL
from cicadahoist.policy.role_plan import (
    MAX_CHANGING_SHARE,
    EngineView,
    RoleChange,
)

# Share of the engines that decode before the load is known. With one in six, 22
# engines of 32 slots have as many slots for decode as streams of 3 to 4 s at 22
# a second and the answers to 158 prompts a second take on average.
START_DECODE_SHARE = 1 / 3
# The share is measured from so long after the first load on: twice there and
# back of the mix. Streams of 3 to 4 s have built up by then.
MEASURE_MS = 11_200
# A fraction above this counts as a whole engine.
ROUND_UP_FROM = 0.35
# A zone keeps its decode engines if their number is off by less than this. A
# change of role takes 3 s, after the end of the streams at the engine.
KEPT_DIFFERENCE = 0.85


def plan_roles_by_share(
    engines: list[EngineView],
    decode_share: float,
    max_changing_count: int,
    *,
    leaves_steady: bool,
) -> list[RoleChange]:
    """
    Return the role changes to order now.

    :param decode_share: share of the engines that should decode
    :param max_changing_count: engines that may change their role at a time
    :param leaves_steady: whether steady engines keep their roles, as
        reclaimable ones are about to replace them
    """
    engines_by_zone: dict[str, list[EngineView]] = {}
    for view in engines:
        engines_by_zone.setdefault(view.zone, []).append(view)
    changes = []
    for zone in sorted(engines_by_zone):
        changes.extend(
            _plan_zone(
                engines_by_zone[zone], decode_share, leaves_steady=leaves_steady
            )
        )
    # Changes to decode sort first: without a decode engine, nothing is served.
    changes.sort(key=_get_role)
    changing_count = sum(engine.is_changing for engine in engines)
    return changes[: max(0, max_changing_count - changing_count)]


def compute_max_changing(engine_count: int, wanted_count: int) -> int:
    """
    Return how many engines may change their role at a time under load.

    :param engine_count: engines that take work
    :param wanted_count: engines that should do so; the others may all change
    """
    return max(
        1,
        math.floor(MAX_CHANGING_SHARE * engine_count),
        engine_count - wanted_count,
    )


def _plan_zone(
    engines: list[EngineView], decode_share: float, *, leaves_steady: bool
) -> list[RoleChange]:
    """
    Return the role changes of one zone.

    Steady engines are released once reclaimable ones serve. If they decoded for
    the zone, it would have no decode engine from then until a change of role.
    """
    staying = [engine for engine in engines if engine.is_cheap]
    if staying:
        return _plan_staying(staying, decode_share)
    is_decoding = any(_get_next_role(engine) == DECODE for engine in engines)
    if leaves_steady and is_decoding:
        return []
    return _plan_staying(engines, 0 if leaves_steady else decode_share)


def _plan_staying(
    engines: list[EngineView], decode_share: float
) -> list[RoleChange]:
    decoding = [
        engine for engine in engines if _get_next_role(engine) == DECODE
    ]
    missing = _count_decoding(len(engines), len(decoding), decode_share) - len(
        decoding
    )
    old_role, role = (PREFILL, DECODE) if missing > 0 else (DECODE, PREFILL)
    candidates = [
        engine
        for engine in engines
        if engine.role == old_role and not engine.is_changing
    ]
    candidates.sort(key=_get_name)
    return [
        RoleChange(engine.name, role) for engine in candidates[: abs(missing)]
    ]


def _count_decoding(
    engine_count: int, decoding_count: int, decode_share: float
) -> int:
    """Return the engines of a zone that should decode."""
    exact_count = decode_share * engine_count
    most = max(1, engine_count - 1)
    if (
        1 <= decoding_count <= most
        and abs(exact_count - decoding_count) < KEPT_DIFFERENCE
    ):
        return decoding_count
    return min(most, max(1, math.floor(exact_count + 1 - ROUND_UP_FROM)))


def _get_next_role(engine: EngineView) -> str:
    """Return the role that an engine will have after its present change."""
    if not engine.is_changing:
        return engine.role
    return PREFILL if engine.role == DECODE else DECODE


def _get_role(change: RoleChange) -> str:
    return change.role


def _get_name(engine: EngineView) -> str:
    return engine.name
