"""Finds and holds the parts of prompts that crash engines."""

from collections.abc import Callable

from cicadahoist.clock import Clock, Timer
from cicadahoist.log import get_logger
from cicadahoist.metrics import PART_HOLDS, Metrics
from cicadahoist.policy.crash_containment import CrashReport, PartHold
from cicadahoist.serving.gossip import Gossip
from cicadahoist.serving.part_news import PartNews

logger = get_logger(__name__)

EXPIRY_PERIOD_MS = 1000
# Evidence is judged this often, for some time after the latest: a crash is
# judged once the reports of all instances have had time to arrive.
DECISION_PERIOD_MS = 30
DECISION_SPAN_MS = 900


class PartWatch:
    """
    Applies evidence of this instance and its peers, and decides on holds.

    :param gossip: evidence and holds, and callbacks for what peers must learn
    :param clock: clock of the process
    :param true_ms: returns the present time, by the corrected wall clock
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_clock',
        '_decision',
        '_decide_until_ms',
        '_expired_ms',
        '_gossip',
        '_holds',
        '_true_ms',
    )

    def __init__(
        self,
        gossip: Gossip,
        clock: Clock,
        true_ms: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._gossip = gossip
        self._clock = clock
        self._decision: Timer | None = None
        self._decide_until_ms = 0
        self._true_ms = true_ms
        self._holds = metrics.counter(PART_HOLDS)
        self._expired_ms = 0

    def record_request(self, parts: tuple[str, ...]) -> None:
        """Count a request that arrives."""
        self._gossip.crash_evidence.record_request(parts)

    def find_held_part(
        self, workspace: str, parts: tuple[str, ...]
    ) -> str | None:
        """Return the part for which a request is held, none if it may run."""
        if self._gossip.held_parts.is_empty:
            return None
        hold = self._gossip.held_parts.find(workspace, parts, self._true_ms())
        return hold.part if hold else None

    def is_suspect(self, parts: tuple[str, ...]) -> bool:
        """Return whether a request may have crashed an engine by its parts."""
        return self._gossip.crash_evidence.is_suspect(parts)

    def record_sound_run(self, parts: tuple[str, ...], true_ms: int) -> None:
        """
        Record a run that did not crash its engine.

        :param parts: digests of the parts that other requests may share
        :param true_ms: time at which the run began
        """
        news = self._gossip.crash_evidence.record_sound_run(parts, true_ms)
        for sound in news:
            self._gossip.on_sound_part(sound)
        if news:
            self._schedule_decision()

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this instance has seen."""
        if self._gossip.crash_evidence.add_crash(report):
            self._gossip.on_crash(report)
            self._schedule_decision()

    def apply_news(self, news: PartNews) -> None:
        """Apply the news of a peer, which may come several times."""
        evidence = self._gossip.crash_evidence
        for hold in news.holds:
            self._apply_hold(hold)
        for sound in news.sounds:
            evidence.apply_sound(sound)
        for report in news.crashes:
            if evidence.add_crash(report):
                self._schedule_decision()

    def drop_expired(self) -> None:
        """Drop evidence and holds that are too old; to be called often."""
        true_ms = self._true_ms()
        if true_ms - self._expired_ms >= EXPIRY_PERIOD_MS:
            self._expired_ms = true_ms
            self._gossip.crash_evidence.drop_expired(true_ms)
            self._gossip.held_parts.drop_expired(true_ms)

    def _apply_hold(self, hold: PartHold) -> None:
        # Also for a hold that was read from the store before.
        self._gossip.crash_evidence.explain(hold.part, hold.workspaces)
        if self._gossip.held_parts.merge(hold):
            _log_hold(hold, 'prompt part held, as a peer decided')

    def _schedule_decision(self) -> None:
        """Decide until the evidence on the latest crash is complete."""
        self._decide_until_ms = self._clock.now_ms() + DECISION_SPAN_MS
        if self._decision is None or not self._decision.active():
            self._decision = self._clock.call_later(
                DECISION_PERIOD_MS, self._decide
            )

    def _decide(self) -> None:
        """Hold the parts that the evidence proves to crash engines."""
        evidence = self._gossip.crash_evidence
        for hold in evidence.find_guilty(self._true_ms()):
            self._gossip.held_parts.merge(hold)
            self._holds.add(1)
            _log_hold(hold, 'prompt part held: engines crash that answer on it')
            self._gossip.on_hold(hold)
        if self._clock.now_ms() < self._decide_until_ms:
            self._decision = self._clock.call_later(
                DECISION_PERIOD_MS, self._decide
            )


def _log_hold(hold: PartHold, text: str) -> None:
    logger.bind(
        part=hold.part,
        workspaces=hold.workspaces,
        crash_count=hold.crash_count,
        targets=hold.targets,
        true_ms=hold.since_ms,
    ).warning(text)
