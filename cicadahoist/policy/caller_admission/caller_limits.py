"""Limits on callers that hold while they hear of a new configuration."""

import msgspec

from cicadahoist.rules import CallerLimits

# Callers know a configuration this long after its acknowledgement.
DEFAULT_NOTICE_MS = 2000


class CallerLimitHistory:
    """
    Limits in force, and those replaced a short time ago.

    A caller that has begun to wait, or to send a request, relies on the limits
    that it knew then. These may be limits that were replaced up to the notice
    before.

    :param notice_ms: time in which callers hear of a new configuration
    """

    __slots__ = ('_current', '_replaced', 'notice_ms')

    def __init__(self, notice_ms: int = DEFAULT_NOTICE_MS) -> None:
        self.notice_ms = notice_ms
        self._current = CallerLimits()
        # When each of the earlier limits was replaced, oldest first.
        self._replaced: list[tuple[int, CallerLimits]] = []

    def apply(self, limits: CallerLimits, now_ms: int) -> None:
        """Replace the limits in force."""
        if limits == self._current:
            return
        self._replaced.append((now_ms, self._current))
        self._current = limits
        self._drop_expired(now_ms)

    def get_since(self, since_ms: int) -> CallerLimits:
        """
        Return the limits for what a caller began at a time.

        :param since_ms: begin of its wait, or of its request
        :return: each limit at its widest since the notice before that time
        """
        limits = self._current
        for replaced_ms, earlier in self._replaced:
            if replaced_ms >= since_ms - self.notice_ms:
                limits = _merge_widest(limits, earlier)
        return limits

    def _drop_expired(self, now_ms: int) -> None:
        longest_ms = max(
            max(limits.idle_timeout_ms, limits.header_timeout_ms)
            for _, limits in self._replaced
        )
        since_ms = now_ms - longest_ms - self.notice_ms
        self._replaced = [
            (replaced_ms, limits)
            for replaced_ms, limits in self._replaced
            if replaced_ms >= since_ms
        ]


def _merge_widest(first: CallerLimits, second: CallerLimits) -> CallerLimits:
    widest = {
        field: max(getattr(first, field), getattr(second, field))
        for field in first.__struct_fields__
    }
    return msgspec.convert(widest, CallerLimits)
