"""Suspect request bodies and their exclusive claims on targets."""

import msgspec

from cicadahoist.messages import SuspectRun


class Claim:
    """
    The reservation of a target for one suspect.

    :param run: message that announced the claim
    :param since_ms: when the claim was made or received
    """

    __slots__ = ('run', 'since_ms')

    def __init__(self, run: SuspectRun, since_ms: int) -> None:
        self.run = run
        self.since_ms = since_ms

    @property
    def rank(self) -> tuple[int, str, str]:
        """Sort key of claims; of conflicting ones, the lowest wins."""
        return (self.run.number, self.run.claimant, self.run.target)

    def conflicts_with(self, other: 'Claim') -> bool:
        """Return whether another claim has the same target or body."""
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
        """Add a claim of this entry that ranks behind all known ones."""
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
        """Add or remove the claim that a peer announced."""
        key = (run.claimant, run.digest)
        if run.active:
            self._claims_by_key[key] = Claim(run, now_ms)
        else:
            self._claims_by_key.pop(key, None)

    def get_own(self, digest: str) -> Claim | None:
        """Return the claim of this entry for a body, or ``None``."""
        return self._own_by_digest.get(digest)

    def remove_own(self, digest: str) -> SuspectRun | None:
        """Remove a claim of this entry; return the message to all peers."""
        claim = self._own_by_digest.pop(digest, None)
        if claim is None:
            return None
        self._claims_by_key.pop((self._own_name, digest), None)
        return msgspec.structs.replace(claim.run, active=False)

    def is_claimed(self, digest: str) -> bool:
        """Return whether any entry has a claim for a body."""
        return any(
            claim.run.digest == digest for claim in self._claims_by_key.values()
        )

    def list_targets(self) -> set[str]:
        """Return all claimed targets."""
        return {claim.run.target for claim in self._claims_by_key.values()}

    def has_precedence(self, claim: Claim) -> bool:
        """Return whether a claim ranks before all that conflict with it."""
        return not any(
            claim.conflicts_with(other) and other.rank < claim.rank
            for other in self._claims_by_key.values()
        )

    def drop_expired(self, before_ms: int) -> None:
        """Remove claims of peers that were received before a time."""
        for key, claim in list(self._claims_by_key.items()):
            if claim.since_ms < before_ms and key[0] != self._own_name:
                self._claims_by_key.pop(key)


class Suspect:
    """
    A request body that was blamed for the crash of a target.

    ``blamed_ms_by_target`` holds the time of the first blame for each target,
    ``was_alone`` whether it ran alone on a crashed target while it was already
    blamed for another one.
    """

    __slots__ = ('blamed_ms_by_target', 'was_alone')

    def __init__(self) -> None:
        self.blamed_ms_by_target: dict[str, int] = {}
        self.was_alone = False

    def blame(self, target: str, now_ms: int, *, alone: bool) -> None:
        """
        Record a blame for the crash of a target.

        :param alone: whether no other body ran on the target
        """
        if alone and self.blamed_ms_by_target.keys() - {target}:
            self.was_alone = True
        self.blamed_ms_by_target.setdefault(target, now_ms)

    def drop_blames(self, targets: set[str]) -> None:
        """Drop blames for targets that another body crashed."""
        for target in targets:
            self.blamed_ms_by_target.pop(target, None)

    def find_latest_blame_ms(self) -> int:
        """Return the time of the latest blame."""
        return max(self.blamed_ms_by_target.values())

    def find_uncorrelated_targets(self, min_gap_ms: int) -> set[str]:
        """
        Return the targets whose crashes count as separate.

        Targets that crash together share a cause, such as the loss of a zone,
        and count as one.

        :param min_gap_ms: time between crashes that are separate
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
