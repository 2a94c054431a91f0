"""Choice among the targets of a plain service."""

from cicadahoist.ids import fast_hash
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.health import TargetHealth


class PlainTargets:
    """
    Targets of plain services: own open requests and health.

    :param directory: the targets of this moment
    :param answers: tells which targets are silent
    :param zone: availability zone of this instance
    """

    __slots__ = (
        '_answers',
        '_born_by_target',
        '_directory',
        '_health_by_target',
        '_open_by_target',
        '_zone',
    )

    def __init__(
        self, directory: TargetDirectory, answers: AnswerWatch, zone: str
    ) -> None:
        self._directory = directory
        self._answers = answers
        self._born_by_target: dict[str, int] = {}
        self._zone = zone
        self._open_by_target: dict[str, int] = {}
        self._health_by_target: dict[str, TargetHealth] = {}

    def choose(
        self, service: str, request_id: str, tried: set[str], now_ms: int
    ) -> Listing | None:
        """
        Return the least used target of a service, or none.

        An ejected or silent target is used only where no other is left.
        """
        left = [
            listing
            for listing in self._directory.usable(service)
            if listing.name not in tried
        ]
        if not left:
            return None
        return min(
            left,
            key=lambda listing: (
                not self.health(listing.name).compute_usable_share(now_ms),
                self._answers.is_silent(listing.name, now_ms),
                self._open_by_target.get(listing.name, 0),
                listing.zone != self._zone,
                fast_hash(request_id + listing.name),
            ),
        )

    def health(self, target: str) -> TargetHealth:
        """Return the health of a target."""
        health = self._health_by_target.get(target)
        if health is None:
            health = TargetHealth()
            self._health_by_target[target] = health
        return health

    def opened(self, target: str) -> None:
        """Count an attempt at a target."""
        self._open_by_target[target] = self._open_by_target.get(target, 0) + 1

    def closed(self, target: str) -> None:
        """Count an attempt as ended."""
        left = self._open_by_target.get(target, 1) - 1
        if left > 0:
            self._open_by_target[target] = left
        else:
            self._open_by_target.pop(target, None)

    def sync(self) -> None:
        """Forget the health of targets that are gone or started again."""
        born = {
            listing.name: listing.born_ms
            for listing in self._directory.everything()
        }
        for target in list(self._health_by_target):
            if born.get(target) != self._born_by_target.get(target):
                self._health_by_target.pop(target)
        self._born_by_target = born
