"""The listed targets, with their load, health and connections."""

from cicadahoist.clock import Clock
from cicadahoist.listings import TargetDirectory
from cicadahoist.metrics import Metrics
from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.serving.balances import Balances
from cicadahoist.serving.engine_boards import EngineBoards
from cicadahoist.serving.part_watch import PartWatch
from cicadahoist.serving.plain_targets import PlainTargets
from cicadahoist.serving.target_connections import TargetConnections
from cicadahoist.serving.target_crashes import TargetCrashes
from cicadahoist.serving.target_notices import TargetNotices

# A target that is not at its listed address is used again after this time: its
# entry expires after three missed heartbeats of 1.2 s.
EXCLUSION_MS = 4000


class Fleet:
    """
    The listed targets, with their load, health and connections.

    :param zone: availability zone of this instance
    :param connections: connections to the targets
    :param clock: clock of the process
    :param part_watch: finds the prompt parts that crash engines
    :param target_crashes: finds the targets that crash
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_clock',
        'answer_watch',
        'balances',
        'boards',
        'connections',
        'directory',
        'is_settled',
        'notices',
        'part_watch',
        'paths',
        'plain_targets',
        'target_crashes',
    )

    def __init__(
        self,
        zone: str,
        connections: TargetConnections,
        clock: Clock,
        part_watch: PartWatch,
        target_crashes: TargetCrashes,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self.part_watch = part_watch
        self.target_crashes = target_crashes
        self.directory = TargetDirectory()
        self.balances = Balances(self.directory, clock)
        self.connections = connections
        self.paths = connections.paths
        self.answer_watch = AnswerWatch()
        self.notices = TargetNotices(self.directory, clock, metrics)
        self.boards = EngineBoards(
            self.directory,
            self.answer_watch,
            zone,
            self.notices.pauses,
            self.balances,
        )
        self.plain_targets = PlainTargets(
            self.directory,
            self.answer_watch,
            zone,
            self.notices.pauses,
            self.balances,
        )
        # Whether orders to targets may be based on the list of targets.
        self.is_settled = False
        self.directory.on_change(self._sync)
        self.paths.on_change(self._follow_path)

    def exclude(self, target: str) -> None:
        """Exclude a target for a while: it is not at its listed address."""
        self.directory.exclude(target)
        self._clock.call_later(EXCLUSION_MS, self.directory.restore, target)

    def is_cut_off(self) -> bool:
        """Return whether this instance reaches most targets only by peers."""
        return self.paths.is_cut_off(self._clock.now_ms())

    def _follow_path(self, target: str) -> None:
        """Judge a target afresh whose path has changed."""
        if self.paths.get(target).is_bypassed:
            self.answer_watch.release(target)
        self.plain_targets.end_ejection(target)
        self.boards.end_ejection(target)

    def _sync(self) -> None:
        names = {listing.name for listing in self.directory.list_all()}
        self.connections.retain(names)
        self.answer_watch.retain(names)
        self.balances.sync()
        self.plain_targets.sync()
        self.boards.sync()
