"""Suspects and their claims on targets."""

import msgspec

from cicadahoist.messages import SuspectRun


class Claim:
    """
    A target that is reserved for one suspect.

    :param run: the message that announced it
    """

    __slots__ = ('run', 'since_ms')

    def __init__(self, run: SuspectRun, since_ms: int) -> None:
        self.run = run
        self.since_ms = since_ms

    @property
    def rank(self) -> tuple[int, str, str]:
        """The order in which claims go; the lowest goes first."""
        return (self.run.number, self.run.claimant, self.run.target)

    def conflicts_with(self, other: 'Claim') -> bool:
        """Tell whether only one of two claims may go."""
        same_target = self.run.target == other.run.target
        return same_target or self.run.digest == other.run.digest


class Claims:
    """
    Claims of this entry and of its peers.

    :param own_name: name of this instance
    """

    __slots__ = ('_claims_by_key', '_own_by_digest', '_own_name')

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._claims_by_key: dict[tuple[str, str], Claim] = {}
        self._own_by_digest: dict[str, Claim] = {}

    def add_own(self, digest: str, target: str, now_ms: int) -> SuspectRun:
        """Add a claim that goes after all known ones."""
        numbers = [claim.run.number for claim in self._claims_by_key.values()]
        run = SuspectRun(
            digest=digest,
            target=target,
            number=max(numbers, default=0) + 1,
            claimant=self._own_name,
        )
        self._own_by_digest[digest] = Claim(run, now_ms)
        self._claims_by_key[self._own_name, digest] = self._own_by_digest[
            digest
        ]
        return run

    def apply(self, run: SuspectRun, now_ms: int) -> None:
        """Add or remove a claim of a peer."""
        key = (run.claimant, run.digest)
        if run.active:
            self._claims_by_key[key] = Claim(run, now_ms)
        else:
            self._claims_by_key.pop(key, None)

    def get_own(self, digest: str) -> Claim | None:
        """Return the claim of this entry for a body."""
        return self._own_by_digest.get(digest)

    def remove_own(self, digest: str) -> SuspectRun | None:
        """Remove a claim of this entry; return what to tell all peers."""
        claim = self._own_by_digest.pop(digest, None)
        if claim is None:
            return None
        self._claims_by_key.pop((self._own_name, digest), None)
        return msgspec.structs.replace(claim.run, active=False)

    def is_claimed(self, digest: str) -> bool:
        """Tell whether any entry has a claim for a body."""
        return any(
            claim.run.digest == digest for claim in self._claims_by_key.values()
        )

    def list_targets(self) -> set[str]:
        """Return all claimed targets."""
        return {claim.run.target for claim in self._claims_by_key.values()}

    def has_precedence(self, claim: Claim) -> bool:
        """Tell whether a claim goes before all that conflict with it."""
        return not any(
            claim.conflicts_with(other) and other.rank < claim.rank
            for other in self._claims_by_key.values()
        )

    def drop_expired(self, before_ms: int) -> None:
        """Remove claims of peers that were made before a time."""
        for key, claim in list(self._claims_by_key.items()):
            if claim.since_ms < before_ms and key[0] != self._own_name:
                self._claims_by_key.pop(key)


class Suspect:
    """
    A body that was blamed for the end of a target.

    :param blamed_ms: when it was blamed, by target
    """

    __slots__ = ('blamed_ms_by_target', 'was_alone')

    def __init__(self) -> None:
        self.blamed_ms_by_target: dict[str, int] = {}
        self.was_alone = False

    def blame(self, target: str, now_ms: int, *, alone: bool) -> None:
        """Blame it for the end of a target."""
        if alone and self.blamed_ms_by_target.keys() - {target}:
            self.was_alone = True
        self.blamed_ms_by_target.setdefault(target, now_ms)

    def drop_blames(self, targets: set[str]) -> None:
        """Drop blames for targets that another body ended."""
        for target in targets:
            self.blamed_ms_by_target.pop(target, None)

    def find_latest_blame_ms(self) -> int:
        """Return when it was last blamed."""
        return max(self.blamed_ms_by_target.values())

    def find_uncorrelated_targets(self, min_gap_ms: int) -> set[str]:
        """
        Return the targets that ended at different times.

        Targets that end together share a cause, such as the loss of a zone.
        """
        uncorrelated: set[str] = set()
        last_ms = -min_gap_ms
        for target, blamed_ms in sorted(
            self.blamed_ms_by_target.items(), key=lambda blamed: blamed[1]
        ):
            if blamed_ms - last_ms >= min_gap_ms:
                uncorrelated.add(target)
            last_ms = blamed_ms
        return uncorrelated
