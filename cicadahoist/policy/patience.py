"""How long a first token may be away for a request to be worth its place."""

# Share of the time left within which a first token must be expected. Longer
# queues serve as many, but all of them late.
MIN_PATIENCE_SHARE = 0.1
# The same where the aim is missed already, as for callers that come back.
LATE_PATIENCE_SHARE = 0.08

# A request that waits behind others for less than this, two prompts' reading,
# takes a place that nobody else could use, however long it takes itself.
FREE_WAIT_MS = 60.0
# A prediction is off by less than this factor unless the target hangs.
SILENCE_FACTOR = 4.0
# Shortest silence that tells anything: some ten steps of a preempting engine.
MIN_SILENCE_MS = 400.0


def compute_silence_bound_ms(predicted_ms: float) -> float:
    """
    Return how long an engine may say nothing before it counts as silent.

    :param predicted_ms: predicted time to its first answer
    """
    return max(MIN_SILENCE_MS, SILENCE_FACTOR * predicted_ms)


def is_worth_accepting(
    first_token_ms: float,
    wait_ms: float,
    patience_ms: float,
    remaining_ms: float,
) -> bool:
    """
    Tell whether a request is to be accepted.

    :param first_ms: predicted time to its first token
    :param wait_ms: part of it that is spent behind other requests
    :param patience: longest expected wait with which it is accepted under load
    :param left_ms: how long the caller goes on waiting
    """
    if first_token_ms >= remaining_ms:
        return False
    return first_token_ms <= patience_ms or wait_ms <= FREE_WAIT_MS


def compute_patience_ms(
    remaining_ms: int, timeout_ms: int, latency_objective_ms: int
) -> float:
    """
    Return the longest expected wait with which a request is accepted.

    Under overload, places go first to requests that can still be answered
    within their aim.

    :param left_ms: how long the caller goes on waiting
    :param timeout_ms: how long it waits from its first attempt on
    :param aim_ms: time in which an answer should begin, from then on
    """
    objective_left_ms = latency_objective_ms - (timeout_ms - remaining_ms)
    if objective_left_ms > 0:
        return min(
            remaining_ms,
            max(objective_left_ms, MIN_PATIENCE_SHARE * remaining_ms),
        )
    return LATE_PATIENCE_SHARE * remaining_ms
