"""Sums of loads by target."""

from collections.abc import Iterable

from cicadahoist.policy.peer_loads import InFlightLoad

LoadByTarget = dict[str, InFlightLoad]
_NO_LOAD = InFlightLoad()


def add_loads(loads: Iterable[LoadByTarget]) -> LoadByTarget:
    """Return the sum of loads by target."""
    total: LoadByTarget = {}
    for by_target in loads:
        for target, load in by_target.items():
            total[target] = _add(total.get(target), load)
    return total


def subtract_load(total: LoadByTarget, part: LoadByTarget) -> LoadByTarget:
    """Return a sum without the contribution of one instance."""
    rest = dict(total)
    for target, load in part.items():
        summed = rest.get(target, _NO_LOAD)
        left = InFlightLoad(
            max(0, summed.prefill_tokens - load.prefill_tokens),
            max(0, summed.run_count - load.run_count),
            max(0, summed.kv_tokens - load.kv_tokens),
        )
        if left == _NO_LOAD:
            rest.pop(target, None)
        else:
            rest[target] = left
    return rest


def _add(total: InFlightLoad | None, load: InFlightLoad) -> InFlightLoad:
    if total is None:
        return load
    return InFlightLoad(
        total.prefill_tokens + load.prefill_tokens,
        total.run_count + load.run_count,
        total.kv_tokens + load.kv_tokens,
    )
