"""Bounds on the expected time to first token of accepted requests."""

# Share of the remaining time within which the first token must be expected.
# With longer queues as many requests are served, but all of them late.
MIN_PATIENCE_SHARE = 0.1
# The same share if the latency objective is missed already, as it is for
# callers that retry.
LATE_PATIENCE_SHARE = 0.08

# A request that waits behind others for less than this, the prefill time of two
# prompts, uses capacity that no other request could use, however long its own
# prefill is.
FREE_WAIT_MS = 60.0
# A predicted time is exceeded by less than this factor unless the target hangs.
SILENCE_FACTOR = 4.0
# Shortest silence that indicates a fault: an engine that preempts requests is
# silent for some ten steps.
MIN_SILENCE_MS = 400.0


def compute_silence_bound_ms(predicted_ms: float) -> float:
    """
    Return the time without response after which an engine counts as silent.

    :param predicted_ms: predicted time to its first response
    :return: bound in ms
    """
    return max(MIN_SILENCE_MS, SILENCE_FACTOR * predicted_ms)


def is_worth_accepting(
    first_token_ms: float,
    wait_ms: float,
    patience_ms: float,
    remaining_ms: float,
) -> bool:
    """
    Return whether a request is to be accepted.

    :param first_token_ms: predicted time to first token
    :param wait_ms: part of it that is spent behind other requests
    :param patience_ms: longest time to first token that is accepted under load
    :param remaining_ms: time until the caller gives up
    """
    if first_token_ms >= remaining_ms:
        return False
    return first_token_ms <= patience_ms or wait_ms <= FREE_WAIT_MS


def compute_patience_ms(
    remaining_ms: int, timeout_ms: int, latency_objective_ms: int
) -> float:
    """
    Return the longest time to first token that is accepted under load.

    Under overload, requests that can still meet their latency objective are
    preferred.

    :param remaining_ms: time until the caller gives up
    :param timeout_ms: time from the caller's first attempt until it gives up
    :param latency_objective_ms: time from the first attempt within which an
        answer should begin
    :return: time in ms
    """
    objective_left_ms = latency_objective_ms - (timeout_ms - remaining_ms)
    if objective_left_ms > 0:
        return min(
            remaining_ms,
            max(objective_left_ms, MIN_PATIENCE_SHARE * remaining_ms),
        )
    return LATE_PATIENCE_SHARE * remaining_ms
