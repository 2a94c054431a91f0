"""Age of the last confirmation that the table is the newest."""

# Longer than any age limit: about 31 years.
UNKNOWN_AGE_MS = 1_000_000_000_000
_NEVER = -1


class Freshness:
    """
    Time up to which no revision newer than the own one was committed.

    Only the store confirms this.  A confirmation passed on by a peer counts
    from the time at which this process sent the newest batch that the peer
    had received, so that late messages and partitioned zones never look
    fresh.
    """

    __slots__ = ('_confirmed_ms',)

    def __init__(self) -> None:
        self._confirmed_ms = _NEVER

    def confirm(self, at_ms: int) -> None:
        """Record that the table was the newest at a time of the own clock."""
        self._confirmed_ms = max(self._confirmed_ms, at_ms)

    def confirm_by_peer(self, echoed_ms: int, peer_age_ms: int) -> None:
        """
        Record the confirmation of a peer that has the same revision.

        :param echoed_ms: when this process sent the newest batch that the
            peer had received, by the own clock; negative for none
        :param peer_age_ms: age that the peer reported, negative if unknown
        """
        if echoed_ms >= 0 and peer_age_ms >= 0:
            self.confirm(echoed_ms - peer_age_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return the age, ``UNKNOWN_AGE_MS`` before any confirmation."""
        if self._confirmed_ms == _NEVER:
            return UNKNOWN_AGE_MS
        return now_ms - self._confirmed_ms

    def is_known(self) -> bool:
        """Return whether the table was ever confirmed."""
        return self._confirmed_ms != _NEVER
