"""Load balancing among the targets of plain services."""

from cicadahoist.ids import fast_hash
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.balancing.slot_messages import Candidate
from cicadahoist.policy.failure_share import FailureShare
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.policy.target_pauses import TargetLife, TargetPauses
from cicadahoist.serving.balances import Balances

NONE_BARRED: frozenset[str] = frozenset()
# Open attempts by which others must be busier before a failing target is used.
FAILING_PENALTY_COUNT = 4
# Where a home grants the slots, each open request counts as this long.
REQUEST_COST_MS = 30


class PlainTargets:
    """
    Open attempts of this instance and health, by target of a plain service.

    :param directory: the listed targets
    :param answer_watch: reports which targets are silent
    :param zone: availability zone of this instance
    :param pauses: targets that want no requests for a while
    :param balances: services with few slots
    """

    __slots__ = (
        '_answer_watch',
        '_balances',
        '_directory',
        '_failures_by_target',
        '_health_by_target',
        '_open_count_by_target',
        '_pauses',
        '_started_ms_by_target',
        '_zone',
    )

    def __init__(
        self,
        directory: TargetDirectory,
        answer_watch: AnswerWatch,
        zone: str,
        pauses: TargetPauses,
        balances: Balances,
    ) -> None:
        self._balances = balances
        self._directory = directory
        self._answer_watch = answer_watch
        self._started_ms_by_target: dict[str, int] = {}
        self._zone = zone
        self._pauses = pauses
        self._open_count_by_target: dict[str, int] = {}
        self._health_by_target: dict[str, TargetHealth] = {}
        self._failures_by_target: dict[str, FailureShare] = {}

    def choose(
        self,
        service: str,
        request_id: str,
        tried: frozenset[str],
        now_ms: int,
        version: str | None = None,
        barred: frozenset[str] = NONE_BARRED,
    ) -> Listing | None:
        """
        Return the target of a service with the fewest open attempts, or none.

        An ejected or silent target is chosen only where no other is left, and
        one that fails requests only where the others are busier by some. Ties
        go to the zone of this instance, then to a hash of the request.

        :param service: name of the service
        :param request_id: id of the attempt as the caller sent it
        :param tried: targets that are excluded
        :param now_ms: time of the process clock
        :param version: software version of the target, none for any
        :param barred: software versions at which it may not run
        """
        candidates = self._list_untried(service, tried, now_ms, version, barred)
        if not candidates:
            return None
        if self._balances.is_scarce(service):
            sound = self._filter_sound(candidates, now_ms)
            own_counts = [
                self._count_open(listing.name, now_ms) for listing in sound
            ]
            return self._balances.draw(sound, own_counts, request_id, now_ms)
        return min(
            candidates,
            key=lambda listing: (
                not self.get_health(listing.name).compute_usable_share(now_ms),
                self._answer_watch.is_silent(listing.name, now_ms),
                self._count_open(listing.name, now_ms),
                listing.zone != self._zone,
                fast_hash(request_id + listing.name),
            ),
        )

    def list_candidates(
        self,
        service: str,
        tried: frozenset[str],
        now_ms: int,
        version: str | None = None,
        barred: frozenset[str] = NONE_BARRED,
    ) -> tuple[Candidate, ...]:
        """
        Return the targets among which a home of the service may choose.

        :param tried: targets that are excluded
        :param version: software version of the target, none for any
        :param barred: software versions at which it may not run
        """
        listings = self._list_untried(service, tried, now_ms, version, barred)
        return tuple(
            Candidate(
                listing.name,
                listing.slots,
                REQUEST_COST_MS * (1 + self._get_penalty(listing.name, now_ms)),
            )
            for listing in self._filter_sound(listings, now_ms)
        )

    def compute_pause_ms(self, service: str, now_ms: int) -> int | None:
        """
        Return the time until the first target takes requests again.

        :return: none unless all targets of the service pause
        """
        lives = map(_get_life, self._directory.list_usable(service))
        return self._pauses.compute_wait_ms(lives, now_ms)

    def is_sound(self, target: str, now_ms: int) -> bool:
        """Return whether a target is neither ejected nor silent."""
        if not self.get_health(target).compute_usable_share(now_ms):
            return False
        return not self._answer_watch.is_silent(target, now_ms)

    def get_health(self, target: str) -> TargetHealth:
        """Return the health of a target, new ones being healthy."""
        health = self._health_by_target.get(target)
        if health is None:
            health = TargetHealth()
            self._health_by_target[target] = health
        return health

    def record_answer(
        self,
        target: str,
        now_ms: int,
        *,
        is_failure: bool,
        is_whole: bool = True,
    ) -> None:
        """
        Record an answer, which may state a failure.

        :param is_whole: false for a failure that is no answer by its bytes;
            whole answers, also of failures, end the failures in a row
        """
        if is_whole:
            self.get_health(target).record_success()
        failures = self._failures_by_target.setdefault(target, FailureShare())
        failures.record(now_ms, is_failure=is_failure)

    def _count_open(self, target: str, now_ms: int) -> int:
        """Return the open attempts, more of them for a failing target."""
        open_count = self._open_count_by_target.get(target, 0)
        return open_count + self._get_penalty(target, now_ms)

    def _get_penalty(self, target: str, now_ms: int) -> int:
        failures = self._failures_by_target.get(target)
        if failures is not None and failures.is_failing(now_ms):
            return FAILING_PENALTY_COUNT
        return 0

    def _list_untried(
        self,
        service: str,
        tried: frozenset[str],
        now_ms: int,
        version: str | None,
        barred: frozenset[str],
    ) -> list[Listing]:
        return [
            listing
            for listing in self._directory.list_usable(service)
            if listing.name not in tried
            and version in {None, listing.version}
            and listing.version not in barred
            and not self._pauses.is_paused(_get_life(listing), now_ms)
        ]

    def _filter_sound(
        self, listings: list[Listing], now_ms: int
    ) -> list[Listing]:
        """Return the sound targets, all if none is sound."""
        sound = [
            listing
            for listing in listings
            if self.is_sound(listing.name, now_ms)
        ]
        return sound or listings

    def end_ejection(self, target: str) -> None:
        """End the ejection of a target that has not failed itself."""
        health = self._health_by_target.get(target)
        if health is not None:
            health.end_ejection()

    def record_start(self, target: str) -> None:
        """Count an attempt as open."""
        self._open_count_by_target[target] = (
            self._open_count_by_target.get(target, 0) + 1
        )

    def record_end(self, target: str) -> None:
        """Count an attempt as no longer open."""
        open_count = self._open_count_by_target.get(target, 1) - 1
        if open_count > 0:
            self._open_count_by_target[target] = open_count
        else:
            self._open_count_by_target.pop(target, None)

    def snapshot_own_load(self) -> dict[str, InFlightLoad]:
        """Return the open attempts at targets of services with few slots."""
        loads: dict[str, InFlightLoad] = {}
        for target, open_count in self._open_count_by_target.items():
            listing = self._directory.get(target)
            if listing and self._balances.is_scarce(listing.service):
                loads[target] = InFlightLoad(run_count=open_count)
        return loads

    def sync(self) -> None:
        """Discard the health of targets that were removed or restarted."""
        started_ms_by_target = {
            listing.name: listing.started_ms
            for listing in self._directory.list_all()
        }
        for target in list(self._health_by_target):
            if started_ms_by_target.get(
                target
            ) != self._started_ms_by_target.get(target):
                self._health_by_target.pop(target)
                self._failures_by_target.pop(target, None)
        self._started_ms_by_target = started_ms_by_target


def _get_life(listing: Listing) -> TargetLife:
    return TargetLife(listing.name, listing.started_ms)
