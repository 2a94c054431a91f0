"""
Whether the configuration that an instance has may be relied on for keys.

An instance that starts takes what the store has. Where the store has just come
back from an older copy, that may be an earlier version, with keys that were
withdrawn since. Instances that run know the version in force.
"""

# An instance that starts waits this long to hear of the version of others,
# which report twice a second.
HEAR_TIMEOUT_MS = 1000
# One that runs may be this much later than others to apply a version.
MAX_LAG_MS = 1000


class ConfigCurrency:
    """The version of this instance, and the newest one that others tell."""

    __slots__ = (
        '_first_ms',
        '_is_doubtful',
        '_newest_told',
        '_own_version',
        '_told_ms',
    )

    def __init__(self) -> None:
        self._own_version: int | None = None
        # When the first version came into force.
        self._first_ms = 0
        # Whether others had a newer one when they were first heard.
        self._is_doubtful = False
        # None before any other instance was heard.
        self._newest_told: int | None = None
        self._told_ms = 0

    def record_own(self, version: int, now_ms: int) -> None:
        """Record the version that comes into force here."""
        told = self._newest_told
        if self._own_version is None:
            self._first_ms = now_ms
            self._is_doubtful = told is not None and told > version
        elif told is None or told <= version:
            self._is_doubtful = False
        self._own_version = version

    def record_told(self, version: int, now_ms: int) -> None:
        """Record the version that is in force at another instance."""
        own = self._own_version
        if own is not None and version > own and self._is_starting(now_ms):
            self._is_doubtful = True
        if self._newest_told is None or version > self._newest_told:
            self._newest_told = version
            self._told_ms = now_ms

    def is_reliable(self, now_ms: int, *, has_peers: bool) -> bool:
        """
        Return whether no newer version is known, or can be, for long.

        :param has_peers: whether there are other instances to hear of
        """
        if self._own_version is None or self._is_doubtful:
            return False
        if self._newest_told is None:
            return not has_peers or not self._is_starting(now_ms)
        is_newest = self._newest_told <= self._own_version
        return is_newest or now_ms - self._told_ms < MAX_LAG_MS

    def _is_starting(self, now_ms: int) -> bool:
        """Return whether some other instance may not have been heard yet."""
        return now_ms - self._first_ms < HEAR_TIMEOUT_MS
