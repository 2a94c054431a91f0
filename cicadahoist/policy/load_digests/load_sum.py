"""Sums of loads by target."""

from cicadahoist.policy.peer_loads import InFlightLoad

LoadByTarget = dict[str, InFlightLoad]
_NO_LOAD = InFlightLoad()


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
