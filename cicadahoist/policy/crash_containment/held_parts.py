"""Parts of prompts that crash engines, whose requests are held back."""

import msgspec

# Time for which a part is held after it was found to crash engines.
HOLD_MS = 600_000
MAX_HOLDS = 256


class PartHold(msgspec.Struct, frozen=True, kw_only=True):
    """
    Decision that no request with a part is sent to an engine.

    :param part: digest of the part
    :param workspaces: sorted workspaces whose requests are held, all if empty
    :param since_ms: time of the decision, by the corrected wall clock
    :param crash_count: crashes that are the evidence
    :param targets: targets that crashed
    :param released_ms: time at which an operator let the part go, 0 if none did
    """

    part: str
    workspaces: tuple[str, ...]
    since_ms: int
    crash_count: int
    targets: tuple[str, ...]
    released_ms: int = 0

    @property
    def is_released(self) -> bool:
        """Whether an operator has let the part go since the decision."""
        return self.released_ms >= self.since_ms

    def has_expired(self, true_ms: int) -> bool:
        """Return whether the time of the hold is over, released or not."""
        return true_ms - self.since_ms >= HOLD_MS

    def is_in_force(self, true_ms: int) -> bool:
        """Return whether requests with the part are held at a time."""
        return not self.is_released and not self.has_expired(true_ms)

    def covers(self, workspace: str) -> bool:
        """Return whether the requests of a workspace are held."""
        return not self.workspaces or workspace in self.workspaces


class HeldParts:
    """
    Holds that this instance decided on or learned, by the digest of the part.

    Only crashes create entries, so requests with made-up parts evict none.
    """

    __slots__ = ('_hold_by_part',)

    def __init__(self) -> None:
        self._hold_by_part: dict[str, PartHold] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no entry, so that no request needs a look-up."""
        return not self._hold_by_part

    def merge(self, hold: PartHold) -> bool:
        """
        Add a hold, or join it with the one known of the same part.

        The result does not depend on the order in which holds arrive.

        :return: whether anything changed
        """
        known = self._hold_by_part.get(hold.part)
        joined = hold if known is None else join_holds(known, hold)
        if joined == known:
            return False
        self._hold_by_part[hold.part] = joined
        if len(self._hold_by_part) > MAX_HOLDS:
            self._hold_by_part.pop(
                min(self._hold_by_part.values(), key=_get_age_key).part
            )
        return hold.part in self._hold_by_part

    def find(
        self, workspace: str, parts: tuple[str, ...], true_ms: int
    ) -> PartHold | None:
        """
        Return the hold that a request falls under.

        :param workspace: workspace of the request
        :param parts: digests of all parts of its prompt
        :param true_ms: present time, by the corrected wall clock
        :return: the hold in force, ``None`` if the request may be sent
        """
        for part in parts:
            hold = self._hold_by_part.get(part)
            if hold is None or not hold.covers(workspace):
                continue
            if hold.is_in_force(true_ms):
                return hold
        return None

    def release(self, part: str, true_ms: int) -> PartHold | None:
        """
        Let a part go; a later decision holds it again.

        :return: the released hold, which peers must learn, ``None`` if the part
            is not held
        """
        hold = self._hold_by_part.get(part)
        if hold is None or not hold.is_in_force(true_ms):
            return None
        # The clocks of instances differ by some ms.
        released_ms = max(true_ms, hold.since_ms)
        released = msgspec.structs.replace(hold, released_ms=released_ms)
        self._hold_by_part[part] = released
        return released

    def list_holds(self, true_ms: int) -> list[PartHold]:
        """Return the holds in force, the oldest first."""
        holds = sorted(self._hold_by_part.values(), key=_get_age_key)
        return [hold for hold in holds if hold.is_in_force(true_ms)]

    def list_known(self, true_ms: int) -> list[PartHold]:
        """Return the holds that have not expired, released ones as well."""
        holds = sorted(self._hold_by_part.values(), key=_get_age_key)
        return [hold for hold in holds if not hold.has_expired(true_ms)]

    def drop_expired(self, true_ms: int) -> None:
        """Drop the holds whose time is over, released ones as well."""
        for part, hold in list(self._hold_by_part.items()):
            if hold.has_expired(true_ms):
                self._hold_by_part.pop(part)


def join_holds(known: PartHold, other: PartHold) -> PartHold:
    """Return the hold that two decisions on one part amount to."""
    holds_all = not known.workspaces or not other.workspaces
    workspaces = set(known.workspaces).union(other.workspaces)
    return PartHold(
        part=known.part,
        workspaces=() if holds_all else tuple(sorted(workspaces)),
        since_ms=max(known.since_ms, other.since_ms),
        crash_count=max(known.crash_count, other.crash_count),
        targets=tuple(sorted(set(known.targets).union(other.targets))),
        released_ms=max(known.released_ms, other.released_ms),
    )


def _get_age_key(hold: PartHold) -> tuple[int, str]:
    return hold.since_ms, hold.part
