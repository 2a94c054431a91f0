"""Speed and slots of a target, learned from its answers."""

LEARNING_RATE = 0.2
INITIAL_PREFILL_TOKENS_PER_MS = 8.0
INITIAL_STEP_MS = 30.0
STEP_GOAL_MS = 60.0
INITIAL_SLOTS = 24.0
MIN_SLOTS = 4.0
MAX_SLOTS = 256.0
INITIAL_FIRST_TOKEN_MS = 60.0
FIRST_TOKEN_RISE_RATE = 0.2
FIRST_TOKEN_FALL_RATE = 0.05
SLOT_SHRINK_FACTOR = 0.9
SLOT_GROWTH = 8.0
MIN_LEARNED_TOKENS = 400


class TargetSpeed:
    """
    Prefill rate, time between tokens and concurrency limit of one target.

    The slots follow the time between tokens by additive increase and
    multiplicative decrease: they grow while it is at most the goal and shrink
    while it is above. Answers that ran at the same time shrink them at most
    once, because all of them met the same congestion.
    """

    __slots__ = (
        '_last_shrink_ms',
        'first_ms',
        'slots',
        'step_ms',
        'tokens_per_ms',
    )

    def __init__(self) -> None:
        self.tokens_per_ms = INITIAL_PREFILL_TOKENS_PER_MS
        self.step_ms = INITIAL_STEP_MS
        self.slots = INITIAL_SLOTS
        self.first_ms = INITIAL_FIRST_TOKEN_MS
        self._last_shrink_ms = 0

    @classmethod
    def of_role(cls, role: str) -> 'TargetSpeed':
        """Return the initial speed of an engine in a role."""
        speed = cls()
        speed.tokens_per_ms *= _PREFILL_FACTOR_BY_ROLE.get(role, 1)
        speed.step_ms *= _STEP_FACTOR_BY_ROLE.get(role, 1)
        return speed

    def observe_prefill(self, tokens: int, elapsed_ms: int) -> None:
        """
        Learn the prefill rate from a first token.

        :param tokens: prompt tokens in the queue up to it, its own included
        :param elapsed_ms: time from sending to the first token
        """
        if tokens >= MIN_LEARNED_TOKENS and elapsed_ms > 0:
            measured = tokens / elapsed_ms
            self.tokens_per_ms += LEARNING_RATE * (
                measured - self.tokens_per_ms
            )

    def observe_first_token(self, elapsed_ms: int) -> None:
        """
        Learn the time to the first token of urgent requests.

        The estimate follows an upper quantile, about four fifths.
        """
        excess_ms = elapsed_ms - self.first_ms
        weight = (
            FIRST_TOKEN_RISE_RATE if excess_ms > 0 else FIRST_TOKEN_FALL_RATE
        )
        self.first_ms += weight * excess_ms

    def observe_decode(
        self,
        output_tokens: int,
        started_ms: int,
        now_ms: int,
        open_requests: int,
    ) -> None:
        """
        Learn the time between tokens from an ended answer and adapt the slots.

        :param started_ms: when its first token arrived
        :param open_requests: requests that ran at the same time
        """
        if output_tokens < 2:
            return
        measured = (now_ms - started_ms) / (output_tokens - 1)
        self.step_ms += LEARNING_RATE * (measured - self.step_ms)
        if measured <= STEP_GOAL_MS:
            if open_requests * 2 >= self.slots:
                self.slots = min(
                    MAX_SLOTS, self.slots + SLOT_GROWTH / self.slots
                )
        elif started_ms >= self._last_shrink_ms:
            self._last_shrink_ms = now_ms
            self.slots = max(MIN_SLOTS, self.slots * SLOT_SHRINK_FACTOR)


_PREFILL_FACTOR_BY_ROLE = {'prefill': 1.5, 'decode': 0.3}
_STEP_FACTOR_BY_ROLE = {'prefill': 5.0, 'decode': 0.7}
