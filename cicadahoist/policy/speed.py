"""Speed of a target, learned from its answers."""

LEARN = 0.2
PREFILL_TOKENS_PER_MS = 8.0
STEP_MS = 30.0
STEP_GOAL_MS = 60.0
FIRST_SLOTS = 24.0
MIN_SLOTS = 4.0
MAX_SLOTS = 256.0
FIRST_MS = 60.0
FIRST_RISE = 0.2
FIRST_FALL = 0.05
SHRINK = 0.9
GROWTH = 8.0
MIN_LEARNED_TOKENS = 400


class TargetSpeed:
    """
    Prefill rate, time between tokens and slots of one target.

    Slots follow the time between tokens: they grow while it is below the
    goal and shrink once it is above. They shrink at most once for answers
    that ran at the same time, as these all saw the same congestion.
    """

    __slots__ = ('_shrunk_ms', 'first_ms', 'slots', 'step_ms', 'tokens_per_ms')

    def __init__(self) -> None:
        self.tokens_per_ms = PREFILL_TOKENS_PER_MS
        self.step_ms = STEP_MS
        self.slots = FIRST_SLOTS
        self.first_ms = FIRST_MS
        self._shrunk_ms = 0

    @classmethod
    def of_role(cls, role: str) -> 'TargetSpeed':
        """Return the speed expected of an engine in a role."""
        speed = cls()
        speed.tokens_per_ms *= _PREFILL_BY_ROLE.get(role, 1)
        speed.step_ms *= _STEP_BY_ROLE.get(role, 1)
        return speed

    def observe_prefill(self, tokens: int, elapsed_ms: int) -> None:
        """
        Learn from a first token.

        :param tokens: prompt tokens that were ahead, its own included
        :param elapsed_ms: time from sending to the first token
        """
        if tokens >= MIN_LEARNED_TOKENS and elapsed_ms > 0:
            seen = tokens / elapsed_ms
            self.tokens_per_ms += LEARN * (seen - self.tokens_per_ms)

    def observe_first(self, elapsed_ms: int) -> None:
        """
        Learn the time to the first token of urgent requests.

        Follows an upper quantile, about four fifths.
        """
        excess_ms = elapsed_ms - self.first_ms
        weight = FIRST_RISE if excess_ms > 0 else FIRST_FALL
        self.first_ms += weight * excess_ms

    def observe_decode(
        self,
        output_tokens: int,
        started_ms: int,
        now_ms: int,
        open_requests: int,
    ) -> None:
        """
        Learn from an answer's end and adapt the slots.

        :param started_ms: when its first token came
        :param open_requests: requests that ran beside it
        """
        if output_tokens < 2:
            return
        seen = (now_ms - started_ms) / (output_tokens - 1)
        self.step_ms += LEARN * (seen - self.step_ms)
        if seen <= STEP_GOAL_MS:
            if open_requests * 2 >= self.slots:
                self.slots = min(MAX_SLOTS, self.slots + GROWTH / self.slots)
        elif started_ms >= self._shrunk_ms:
            self._shrunk_ms = now_ms
            self.slots = max(MIN_SLOTS, self.slots * SHRINK)


_PREFILL_BY_ROLE = {'prefill': 1.5, 'decode': 0.3}
_STEP_BY_ROLE = {'prefill': 5.0, 'decode': 0.7}
