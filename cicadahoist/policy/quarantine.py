"""
Quarantine of request bodies that crash the targets that run them.

A body that was running on a target when the target crashed is a suspect. A
suspect runs only on a target where no other suspect runs, so that a second
crash identifies the cause. Blames from two targets put a body in quarantine and
clear the bodies that ran beside it.
"""

from collections.abc import Iterable

from cicadahoist.messages import Blame, Quarantined, SuspectRun
from cicadahoist.policy.suspects import Claims, Suspect

BLAME_TTL_MS = 600_000
QUARANTINE_MS = 600_000
# Crashes closer together than this have a common cause.
CORRELATED_CRASH_MS = 1000
# Wait after a claim, in which conflicting claims of peers arrive.
CLAIM_WAIT_MS = 1200
CLAIM_TTL_MS = 120_000
# Time after the latest blame of a suspect before it is judged.
BLAME_SETTLE_MS = 1000
MAX_SUSPECTS = 10_000


class Quarantine:
    """
    Blames, suspects and quarantined body digests as known to one entry.

    :param own_name: name of this instance
    """

    __slots__ = ('_claims', '_suspects_by_digest', '_until_by_digest')

    def __init__(self, own_name: str = '') -> None:
        self._until_by_digest: dict[str, int] = {}
        self._suspects_by_digest: dict[str, Suspect] = {}
        self._claims = Claims(own_name)

    def compute_refusal_ms(self, digest: str, now_ms: int) -> int:
        """Return for how many ms a body is still refused, 0 if it is not."""
        return max(0, self._until_by_digest.get(digest, 0) - now_ms)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a body has to run apart from other suspects."""
        return digest in self._suspects_by_digest

    def find_blamed_targets(self, digest: str) -> frozenset[str]:
        """Return the targets that crashed while they ran a body."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return frozenset()
        return frozenset(suspect.blamed_ms_by_target)

    def find_claimed_targets(self) -> frozenset[str]:
        """Return the targets that any entry has reserved for a suspect."""
        return frozenset(self._claims.list_targets())

    def find_excluded_targets(self, digest: str, now_ms: int) -> frozenset[str]:
        """Return the targets on which a body may not run now."""
        if not self.is_suspect(digest):
            return frozenset()
        return self.find_claimed_targets().union(
            self.find_blamed_targets(digest)
        )

    def claim(self, digest: str, target: str, now_ms: int) -> SuspectRun | None:
        """
        Reserve a target for a suspect.

        :return: the message to all peers, or ``None`` while any entry has a
            claim for the same body, so that the caller tries again later
        """
        if self._claims.is_claimed(digest):
            return None
        return self._claims.add_own(digest, target, now_ms)

    def compute_claim_wait_ms(self, digest: str, now_ms: int) -> int:
        """
        Return how many ms a suspect still has to wait after its claim.

        In this time the claim reaches all peers, and pending quarantine
        decisions are made.
        """
        suspect = self._suspects_by_digest.get(digest)
        claim = self._claims.get_own(digest)
        if suspect is None or claim is None:
            return 0
        ready_ms = claim.since_ms + CLAIM_WAIT_MS
        if len(suspect.blamed_ms_by_target) > 1:
            ready_ms = max(
                ready_ms, suspect.find_latest_blame_ms() + 2 * BLAME_SETTLE_MS
            )
        return max(0, ready_ms - now_ms)

    def may_start(self, digest: str, now_ms: int) -> bool:
        """
        Return whether a suspect with a claim may start.

        If it may not although its wait is over, a conflicting claim has
        precedence. The caller then releases the claim by :meth:`release` and
        chooses another target.
        """
        if not self.is_suspect(digest):
            return True
        claim = self._claims.get_own(digest)
        if claim is None or self.compute_claim_wait_ms(digest, now_ms):
            return False
        return self._claims.has_precedence(claim)

    def release(
        self, digest: str, now_ms: int, *, is_complete: bool = False
    ) -> SuspectRun | None:
        """
        Release the claim of a suspect.

        :param is_complete: whether its run completed, which clears it
        :return: the message to all peers, or ``None`` if there was no claim
        """
        if is_complete:
            self._suspects_by_digest.pop(digest, None)
        return self._claims.remove_own(digest)

    def record_target_crash(
        self, target: str, digests: list[str], now_ms: int
    ) -> list[Blame]:
        """
        Blame the bodies that were running on a target when it crashed.

        Not to be called for targets that were reclaimed or are unreachable.

        :return: the messages to all peers
        """
        alone = len(digests) == 1
        blames = [
            Blame(digest=digest, target=target, alone=alone)
            for digest in digests
        ]
        for blame in blames:
            self._blame(blame, now_ms)
        return blames

    def apply(
        self, message: Blame | Quarantined | SuspectRun, now_ms: int
    ) -> None:
        """Apply a message of a peer."""
        match message:
            case Blame():
                self._blame(message, now_ms)
            case Quarantined():
                self._quarantine(message.digest, message.for_ms, now_ms)
            case SuspectRun():
                self._claims.apply(message, now_ms)

    def tick(self, now_ms: int) -> list[Quarantined]:
        """
        Drop what has expired and put guilty suspects in quarantine.

        :return: the new quarantines, as messages to all peers
        """
        self._drop_expired(now_ms)
        suspects = self._suspects_by_digest
        guilty = [
            digest
            for digest, suspect in suspects.items()
            if _is_guilty(suspect, suspects.values(), now_ms)
        ]
        for guilty_digest in guilty:
            self._quarantine(guilty_digest, QUARANTINE_MS, now_ms)
        return [
            Quarantined(digest=digest, for_ms=QUARANTINE_MS)
            for digest in guilty
        ]

    def _blame(self, blame: Blame, now_ms: int) -> None:
        suspects = self._suspects_by_digest
        if blame.digest not in suspects and len(suspects) >= MAX_SUSPECTS:
            suspects.pop(next(iter(suspects)))
        suspect = suspects.setdefault(blame.digest, Suspect())
        suspect.blame(blame.target, now_ms, alone=blame.alone)

    def _quarantine(self, digest: str, for_ms: int, now_ms: int) -> None:
        self._until_by_digest[digest] = now_ms + for_ms
        guilty = self._suspects_by_digest.pop(digest, None)
        if guilty is None:
            return
        for other, suspect in list(self._suspects_by_digest.items()):
            suspect.drop_blames(set(guilty.blamed_ms_by_target))
            if not suspect.blamed_ms_by_target:
                self._suspects_by_digest.pop(other)

    def _drop_expired(self, now_ms: int) -> None:
        for digest, until_ms in list(self._until_by_digest.items()):
            if until_ms <= now_ms:
                self._until_by_digest.pop(digest)
        for blamed, suspect in list(self._suspects_by_digest.items()):
            if now_ms - suspect.find_latest_blame_ms() > BLAME_TTL_MS:
                self._suspects_by_digest.pop(blamed)
        self._claims.drop_expired(now_ms - CLAIM_TTL_MS)


def _is_guilty(
    suspect: Suspect, suspects: Iterable[Suspect], now_ms: int
) -> bool:
    if now_ms - suspect.find_latest_blame_ms() < BLAME_SETTLE_MS:
        return False
    targets = suspect.find_uncorrelated_targets(CORRELATED_CRASH_MS)
    if len(targets) < 2:
        return False
    return suspect.was_alone or not any(
        other is not suspect and targets <= set(other.blamed_ms_by_target)
        for other in suspects
    )
