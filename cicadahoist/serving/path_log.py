"""Tells operators which targets are reached only through peers."""

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.metrics import PATHS_DOWN, Metrics
from cicadahoist.policy.paths.target_paths import TargetPaths

logger = get_logger(__name__)


class PathLog:
    """
    Logs and counts the changes of the paths to targets.

    :param paths: what is known of the paths
    :param clock: clock of the process
    :param metrics: metrics of the process
    """

    __slots__ = ('_clock', '_paths', '_paths_down')

    def __init__(
        self, paths: TargetPaths, clock: Clock, metrics: Metrics
    ) -> None:
        self._paths = paths
        self._clock = clock
        self._paths_down = metrics.counter(PATHS_DOWN)

    def record_change(self, target: str) -> None:
        """Log the new path to a target."""
        path = self._paths.get(target)
        log = logger.bind(
            target=target,
            failure=path.failure and path.failure.value,
            is_cut_off=self._paths.is_cut_off(self._clock.now_ms()),
            targets_down=sorted(self._paths.list_down()),
        )
        if path.is_bypassed:
            self._paths_down.add(1)
            log.warning('target is reached only through peers')
        else:
            log.info('target is reached directly again')
