"""
Delegation of this instance's share of each quota to one home.

Each instance owns the same share of a quota, and delegates it to one home at a
time, for a lease. The shares that all homes hold together are never more than
the quota, whichever instances take themselves for homes.
"""

import msgspec

from cicadahoist.ids import fast_hash

# Homes claim the shares this often; a lease outlasts two lost claims.
CLAIM_PERIOD_MS = 1000
LEASE_MS = 2600
# A home that claims no longer than this ago is taken to be at work.
CLAIM_MEMORY_MS = 2200
# An overdraft is granted within a window after it was given; so no window has
# grants from two of an instance.
OVERDRAFT_WINDOWS = 2
DEFAULT_WINDOW_MS = 8000


class Claim(msgspec.Struct, frozen=True):
    """
    A claim of a home for the share of this instance.

    :param term: unique name of the process of the home
    :param stamp_ms: time at which it was sent, by the clock of the home
    :param heard_ms: time at which it was received
    """

    term: str
    stamp_ms: int
    heard_ms: int


class Delegations:
    """
    Homes to which this instance has delegated its shares.

    A process does not know what one before it at the same instance delegated:
    it delegates nothing until such a lease has expired.

    :param started_ms: start of the process
    """

    __slots__ = (
        '_claim_by_home',
        '_lease_by_workspace',
        '_open_ms',
        '_overdraft_due_ms',
        '_overdraft_period_ms',
        '_started_ms',
    )

    def __init__(self, started_ms: int) -> None:
        self._overdraft_period_ms = OVERDRAFT_WINDOWS * DEFAULT_WINDOW_MS
        self._started_ms = started_ms
        self._open_ms = started_ms + LEASE_MS
        self._lease_by_workspace: dict[str, tuple[str, int]] = {}
        self._claim_by_home: dict[str, dict[str, Claim]] = {}
        self._overdraft_due_ms: dict[str, int] = {}

    def mark_first_start(self) -> None:
        """Record that no process ran at this instance before."""
        self._open_ms = self._started_ms

    def set_window(self, window_ms: int) -> None:
        """Set the length of the windows in which the rule on quotas holds."""
        self._overdraft_period_ms = OVERDRAFT_WINDOWS * window_ms

    def record_claim(self, workspace: str, home: str, claim: Claim) -> None:
        """Record that a home claims the share of this instance."""
        self._claim_by_home.setdefault(workspace, {})[home] = claim

    def release(self, workspace: str, home: str) -> None:
        """End a lease whose home has stated that it holds it no more."""
        self._claim_by_home.get(workspace, {}).pop(home, None)
        if self._lease_by_workspace.get(workspace, ('', 0))[0] == home:
            self._lease_by_workspace.pop(workspace)

    def find_home(
        self, workspace: str, now_ms: int
    ) -> tuple[str, Claim] | None:
        """Return the home of highest rank that claims now, none without one."""
        claims = self._claim_by_home.get(workspace, {})
        recent = [
            home
            for home, claim in claims.items()
            if now_ms - claim.heard_ms <= CLAIM_MEMORY_MS
        ]
        if not recent:
            return None
        home = min(recent, key=lambda name: compute_rank(workspace, name))
        return home, claims[home]

    def try_delegate(self, workspace: str, home: str, now_ms: int) -> bool:
        """
        Delegate the share of a quota to a home, or prolong the lease.

        :return: false while another home has it or is to get it
        """
        if now_ms < self._open_ms:
            return False
        holder, expires_ms = self._lease_by_workspace.get(workspace, (home, 0))
        if holder != home and now_ms < expires_ms:
            return False
        best = self.find_home(workspace, now_ms)
        if best is None or best[0] != home:
            return False
        self._lease_by_workspace[workspace] = (home, now_ms + LEASE_MS)
        return True

    def has_lease(self, workspace: str, home: str, now_ms: int) -> bool:
        """Return whether a home holds the share of this instance."""
        holder, expires_ms = self._lease_by_workspace.get(workspace, ('', 0))
        return holder == home and now_ms < expires_ms

    def try_give_overdraft(self, workspace: str, now_ms: int) -> bool:
        """Return whether this instance gives its overdraft now, and note it."""
        first_ms = self._started_ms + self._overdraft_period_ms
        if now_ms < self._overdraft_due_ms.get(workspace, first_ms):
            return False
        due_ms = now_ms + self._overdraft_period_ms
        self._overdraft_due_ms[workspace] = due_ms
        return True


def compute_rank(workspace: str, instance: str) -> tuple[int, str]:
    """Return the rank of an instance as a home; the lowest one is the home."""
    return fast_hash(f'{workspace}\0{instance}'), instance
