"""Which other collectors are heard."""

from collections.abc import Iterable

# A collector that is not heard for this long is not sent digests any more,
# unless it is chosen.
ACTIVE_MS = 500
# There is one collector a zone, and sometimes two; while many disagree on them,
# the cost is not to grow with their number.
MAX_CONTACTS = 8


class CollectorContacts:
    """When each other collector was heard, and which ones were sent to."""

    __slots__ = (
        '_direct_ms_by_name',
        '_heard_by_name',
        '_heard_ms_by_name',
        '_sent_to',
    )

    def __init__(self) -> None:
        self._direct_ms_by_name: dict[str, int] = {}
        self._heard_ms_by_name: dict[str, int] = {}
        # Collectors that each other one hears itself.
        self._heard_by_name: dict[str, frozenset[str]] = {}
        self._sent_to: frozenset[str] = frozenset()

    def record_heard(
        self,
        name: str,
        heard: Iterable[str],
        now_ms: int,
        *,
        is_direct: bool,
    ) -> bool:
        """
        Record a digest of a collector.

        :param heard: collectors that it hears itself
        :param is_direct: whether no other instance has passed it on
        :return: whether it was not heard before
        """
        is_new = now_ms - self._heard_ms_by_name.get(name, -ACTIVE_MS) > (
            ACTIVE_MS
        )
        self._heard_ms_by_name[name] = now_ms
        self._heard_by_name[name] = frozenset(heard)
        if is_direct:
            self._direct_ms_by_name[name] = now_ms
        return is_new

    def list_direct(self, now_ms: int) -> tuple[str, ...]:
        """Return the collectors that are heard without another instance."""
        return _list_active(self._direct_ms_by_name, now_ms)

    def list_heard(self, now_ms: int) -> tuple[str, ...]:
        """Return the collectors that are heard."""
        return _list_active(self._heard_ms_by_name, now_ms)

    def list_cut_off(self, now_ms: int) -> set[str]:
        """Return the collectors that do not hear all others heard here."""
        direct = set(self.list_direct(now_ms))
        return {
            name
            for name in direct
            if direct - {name} - self._heard_by_name[name]
        }

    def record_sent(self, names: frozenset[str]) -> frozenset[str]:
        """
        Record to which collectors a digest goes.

        :return: those that have not got the last one
        """
        added = names - self._sent_to
        self._sent_to = names
        return added

    def has_sent_to(self, names: Iterable[str]) -> bool:
        """Return whether the last digest went to all of some collectors."""
        return self._sent_to.issuperset(names)

    def clear(self) -> None:
        """Forget all collectors."""
        self._direct_ms_by_name.clear()
        self._heard_ms_by_name.clear()
        self._heard_by_name.clear()
        self._sent_to = frozenset()


def _list_active(ms_by_name: dict[str, int], now_ms: int) -> tuple[str, ...]:
    active = [
        (heard_ms, name)
        for name, heard_ms in ms_by_name.items()
        if now_ms - heard_ms <= ACTIVE_MS
    ]
    active.sort(reverse=True)
    return tuple(name for _, name in active[:MAX_CONTACTS])
