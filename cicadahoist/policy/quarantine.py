"""Requests that crash the targets that run them."""

from cicadahoist.messages import Blame, Quarantined

BLAME_LIFE_MS = 600_000
QUARANTINE_MS = 600_000


class Quarantine:
    """Blames, suspects and quarantined digests."""

    __slots__ = ('_until_by_digest',)

    def __init__(self) -> None:
        self._until_by_digest: dict[str, int] = {}

    def refused_for_ms(self, digest: str, now_ms: int) -> int:
        """Return for how long a body is refused, 0 if it is not."""
        return max(0, self._until_by_digest.get(digest, 0) - now_ms)

    def may_start(self, digest: str, now_ms: int) -> bool:
        """Tell whether a body may run now; suspects run one at a time."""
        return True

    def started(self, digest: str, now_ms: int) -> None:
        """Count a run of a body."""

    def ended(self, digest: str, now_ms: int) -> None:
        """Count a run as ended without a crash of its target."""

    def target_died(
        self, target: str, digests: list[str], now_ms: int
    ) -> list[Blame | Quarantined]:
        """Blame the bodies that ran on a target; return what to send."""
        return []

    def hear(self, message: Blame | Quarantined, now_ms: int) -> None:
        """Take over a message of a peer."""
