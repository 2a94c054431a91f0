"""Identifies requests that crash the targets that run them."""

import msgspec

# Number of crashes after which a request is not sent any more. The platform
# tolerates three; a request that only runs beside the cause rarely meets as
# many within the lifetime of a blame.
MAX_CRASHES = 3
BLAME_TTL_MS = 60_000
# Losses of one request at one target within this time are one crash, which
# several instances may report.
SAME_CRASH_WINDOW_MS = 1000
MAX_DIGESTS = 4096


class Blame(msgspec.Struct, frozen=True, array_like=True):
    """
    The blame of a request that was running when its target crashed.

    :param digest: digest of path, caller, prompt and body of the request
    :param target: name of the target
    :param true_ms: time of the crash, by the corrected wall clock
    """

    digest: str
    target: str
    true_ms: int


class CrashBlame:
    """Blames by this instance and its peers, by the digests of requests."""

    __slots__ = ('_blames_by_digest',)

    def __init__(self) -> None:
        self._blames_by_digest: dict[str, list[Blame]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is blamed, so that no digest needs computing."""
        return not self._blames_by_digest

    def add(self, blame: Blame) -> bool:
        """
        Add a blame.

        :return: whether its crash was not known yet for this request
        """
        known_blames = self._blames_by_digest.setdefault(blame.digest, [])
        if any(_is_same_crash(blame, other) for other in known_blames):
            return False
        known_blames.append(blame)
        while len(self._blames_by_digest) > MAX_DIGESTS:
            self._blames_by_digest.pop(next(iter(self._blames_by_digest)))
        return True

    def is_quarantined(self, digest: str, true_ms: int) -> bool:
        """Return whether a request has crashed too many targets to be sent."""
        return self._count_crashes(digest, true_ms) >= MAX_CRASHES

    def drop_expired(self, true_ms: int) -> None:
        """Drop the requests whose latest blame has expired."""
        for digest, blames in list(self._blames_by_digest.items()):
            if true_ms - blames[-1].true_ms > BLAME_TTL_MS:
                self._blames_by_digest.pop(digest)

    def _count_crashes(self, digest: str, true_ms: int) -> int:
        blames = self._blames_by_digest.get(digest, ())
        return sum(true_ms - blame.true_ms <= BLAME_TTL_MS for blame in blames)


def _is_same_crash(blame: Blame, other: Blame) -> bool:
    gap_ms = abs(blame.true_ms - other.true_ms)
    return blame.target == other.target and gap_ms < SAME_CRASH_WINDOW_MS
