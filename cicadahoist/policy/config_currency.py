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
        '_has_changed',
        '_newest_told',
        '_own_version',
        '_told_ms',
    )

    def __init__(self) -> None:
        self._own_version: int | None = None
        # When the first version came into force, and whether a newer one did.
        self._first_ms = 0
        self._has_changed = False
        # None before any other instance was heard.
        self._newest_told: int | None = None
        self._told_ms = 0

    def record_own(self, version: int, now_ms: int) -> None:
        """Record the version that comes into force here."""
        if self._own_version is None:
            self._first_ms = now_ms
        else:
            self._has_changed = True
        self._own_version = version

    def record_told(self, version: int, now_ms: int) -> None:
        """Record the version that is in force at another instance."""
        if self._newest_told is None or version > self._newest_told:
            self._newest_told = version
            self._told_ms = now_ms

    def is_reliable(self, now_ms: int, *, has_peers: bool) -> bool:
        """
        Return whether no newer version is known, or can be, for long.

        :param has_peers: whether there are other instances to hear of
        """
        if self._own_version is None:
            return False
        if self._newest_told is None:
            waited_ms = now_ms - self._first_ms
            is_settled = self._has_changed or waited_ms >= HEAR_TIMEOUT_MS
            return is_settled or not has_peers
        if self._newest_told <= self._own_version:
            return True
        return self._has_changed and now_ms - self._told_ms < MAX_LAG_MS
