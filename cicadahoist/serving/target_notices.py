"""Applies what targets state about themselves in the heads of their answers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.log import get_logger
from cicadahoist.metrics import TARGETS_LEAVING, TARGETS_PAUSED, Metrics
from cicadahoist.policy.target_pauses import TargetLife, TargetPauses
from cicadahoist.requests import AnswerHead, AnswerMeaning

logger = get_logger(__name__)

# Load reports repeat a departure for this long, as datagrams may be lost.
DEPARTURE_REPEAT_MS = 3000


class TargetNotices:
    """
    Takes targets that leave, or that ask for a pause, out of selection.

    A leaving target has not failed: nothing is held against it.

    :param directory: the listed targets
    :param clock: clock of the process
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_heard_ms_by_life',
        '_leaving_counter',
        '_paused_counter',
        'on_departure',
        'pauses',
    )

    def __init__(
        self, directory: TargetDirectory, clock: Clock, metrics: Metrics
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._leaving_counter = metrics.counter(TARGETS_LEAVING)
        self._paused_counter = metrics.counter(TARGETS_PAUSED)
        # Departures that targets have told this instance, oldest first.
        self._heard_ms_by_life: OrderedDict[TargetLife, int] = OrderedDict()
        self.pauses = TargetPauses()
        # Called when a target has told this instance that it leaves.
        self.on_departure: Callable[[], None] = _ignore

    def receive(self, listing: Listing, head: AnswerHead) -> None:
        """
        Apply the head of an answer.

        :param listing: the target as it was listed when the request was sent
        """
        if head.meaning in {AnswerMeaning.misplaced, AnswerMeaning.foreign}:
            # Another target has sent it, or it was meant for another request.
            return
        life = get_life(listing)
        if head.is_target_leaving:
            self.record_departure(life)
        if head.pause_ms is not None:
            pause_ms = self.pauses.record(
                life, head.pause_ms, self._clock.now_ms()
            )
            self._paused_counter.add(1)
            logger.bind(target=life.name, pause_ms=pause_ms).info(
                'target wants no requests for a while'
            )

    def record_departure(self, life: TargetLife) -> None:
        """Record that a target has told this instance that it leaves."""
        if self._directory.mark_leaving(life.name, life.started_ms):
            self._heard_ms_by_life[life] = self._clock.now_ms()
            self._leaving_counter.add(1)
            logger.bind(target=life.name).info('target says that it leaves')
            self.on_departure()

    def record_engine_departure(self, engine: str) -> None:
        """Record that an engine has said so in answer to an order."""
        listing = self._directory.get(engine)
        if listing is not None:
            self.record_departure(get_life(listing))

    def apply_peer_departures(self, lives: Iterable[TargetLife]) -> None:
        """Apply the departures that a peer has heard from the targets."""
        for life in lives:
            if self._directory.mark_leaving(life.name, life.started_ms):
                logger.bind(target=life.name).info(
                    'a peer has heard that the target leaves'
                )

    def list_departures(self) -> tuple[TargetLife, ...]:
        """Return the departures that peers may not have heard of yet."""
        since_ms = self._clock.now_ms() - DEPARTURE_REPEAT_MS
        while self._heard_ms_by_life:
            oldest = next(iter(self._heard_ms_by_life))
            if self._heard_ms_by_life[oldest] >= since_ms:
                break
            self._heard_ms_by_life.popitem(last=False)
        return tuple(self._heard_ms_by_life)


def get_life(listing: Listing) -> TargetLife:
    """Return the process of a target that a listing stands for."""
    return TargetLife(listing.name, listing.started_ms)


def _ignore() -> None:
    """Send nothing."""
