"""How long ago a process last knew that its table was the newest."""

# Longer than any age limit: some 31 years.
UNKNOWN_AGE_MS = 1_000_000_000_000
_NEVER = -1


class Freshness:
    """
    Time up to which every committed revision is known.

    Only the store proves it.  A peer's proof counts from the time at which
    this process sent the batch that the peer had heard when it spoke, so
    that late messages and cut-off zones never look fresh.
    """

    __slots__ = ('_confirmed_ms',)

    def __init__(self) -> None:
        self._confirmed_ms = _NEVER

    def confirm(self, at_ms: int) -> None:
        """Note that nothing newer was committed at a time."""
        self._confirmed_ms = max(self._confirmed_ms, at_ms)

    def confirm_by_peer(self, echoed_ms: int, peer_age_ms: int) -> None:
        """
        Note the proof of a peer that has the same revision.

        :param echoed_ms: when the newest batch that it had heard was sent
        :param peer_age_ms: the age that it gave, negative for unknown
        """
        if echoed_ms >= 0 and peer_age_ms >= 0:
            self.confirm(echoed_ms - peer_age_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return the age, ``UNKNOWN_AGE_MS`` where nothing is proved."""
        if self._confirmed_ms == _NEVER:
            return UNKNOWN_AGE_MS
        return now_ms - self._confirmed_ms

    def is_known(self) -> bool:
        """Tell whether anything was ever proved."""
        return self._confirmed_ms != _NEVER
