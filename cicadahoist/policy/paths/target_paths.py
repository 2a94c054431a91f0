"""Choice of the path to each target: direct, or through a peer."""

from collections.abc import Callable
from enum import Enum

from cicadahoist.policy.paths.target_path import PathFailure, TargetPath

# Targets are a few ms away: a connection that takes longer than this is also
# opened through a peer.
RELAY_DELAY_MS = 100
# After peers did not reach a target, they are asked again this much later. An
# instance that is cut off depends on peers and asks sooner.
RELAY_RETRY_MS = 1000
CUT_OFF_RETRY_MS = 250
# Targets used within this time show whether this instance is cut off.
RECENT_MS = 5000
# After a direct path was found to hang, kept connections to other targets are
# in doubt for this time, unless bytes arrived from these targets since.
DOUBT_MS = 3000


class Opening(Enum):
    """
    How to open a connection to a target.

    ``direct``: directly, and through a peer if that fails or takes long.
    ``relayed``: through a peer. ``none``: no path was found a moment ago.
    """

    direct = 'direct'
    relayed = 'relayed'
    none = 'none'


class TargetPaths:
    """
    Decides how this instance opens connections to targets.

    The path to a target is decided by the attempts at this target alone, so
    that a cut of some targets is the same case as a cut of all.
    """

    __slots__ = ('_hang_began_ms', '_on_change', '_paths_by_target')

    def __init__(self) -> None:
        self._paths_by_target: dict[str, TargetPath] = {}
        # When the latest direct attempt began that hung.
        self._hang_began_ms: int | None = None
        self._on_change: list[Callable[[str], None]] = []

    def on_change(self, action: Callable[[str], None]) -> None:
        """
        Call ``action`` with a target after each change of its path.

        The path changes when the direct one is found to be down while a peer
        reaches the target, and when a direct path is no longer down.
        """
        self._on_change.append(action)

    def get(self, target: str) -> TargetPath:
        """Return what is known of the paths to a target."""
        return self._paths_by_target.setdefault(target, TargetPath())

    def choose_opening(self, target: str, now_ms: int) -> Opening:
        """Return how to open a connection to a target."""
        path = self.get(target)
        if path.failure is None:
            return Opening.direct
        if path.is_relayable:
            return Opening.relayed
        if path.is_probe_due(now_ms):
            return Opening.direct
        if self.may_try_relay(target, now_ms):
            return Opening.relayed
        return Opening.none

    def may_try_relay(self, target: str, now_ms: int) -> bool:
        """Return whether to ask a peer for a connection to a target."""
        path = self.get(target)
        if path.is_relayable or path.relay_failed_ms is None:
            return True
        is_cut_off = self.is_cut_off(now_ms, counts_crashed=True)
        retry_ms = CUT_OFF_RETRY_MS if is_cut_off else RELAY_RETRY_MS
        return now_ms - path.relay_failed_ms >= retry_ms

    def may_reuse_direct(self, target: str, now_ms: int) -> bool:
        """Return whether kept direct connections to a target can be used."""
        path = self.get(target)
        if path.failure is PathFailure.hanging:
            return False
        began_ms = self._hang_began_ms
        if began_ms is None or now_ms - began_ms > DOUBT_MS:
            return True
        return path.has_heard(began_ms)

    def list_down(self) -> list[str]:
        """Return the targets whose direct path is down."""
        return [
            target
            for target, path in self._paths_by_target.items()
            if path.failure is not None
        ]

    def is_cut_off(self, now_ms: int, *, counts_crashed: bool = False) -> bool:
        """
        Return whether most targets used lately have no direct path.

        :param counts_crashed: whether targets count that refuse peers as well:
            they have crashed, which peers may not have shown yet
        """
        recent = [
            path
            for path in self._paths_by_target.values()
            if path.is_recent(now_ms - RECENT_MS)
            and (counts_crashed or not path.has_crashed)
        ]
        down = [path for path in recent if path.failure is not None]
        # A single target that nobody reaches has crashed.
        is_evident = len(down) > 1 or any(path.is_relayable for path in down)
        return is_evident and 2 * len(down) > len(recent)

    def record_direct_start(self, target: str, now_ms: int) -> None:
        """Record that a direct connection is being opened."""
        self.get(target).tried_ms = now_ms

    def record_heard(
        self, target: str, now_ms: int, *, is_new: bool = False
    ) -> None:
        """
        Record that a target was heard directly.

        :param is_new: whether it has accepted a new connection; otherwise, it
            sent bytes on an open one
        """
        path = self.get(target)
        path.heard_ms = now_ms
        if is_new:
            path.is_refused_to_peers = False
        if path.failure is None:
            return
        if is_new or path.failure is PathFailure.hanging:
            path.failure = None
            path.is_refused_to_peers = False
            self._report_change(target)

    def record_direct_failure(
        self, target: str, failure: PathFailure, began_ms: int
    ) -> None:
        """
        Record that a direct connection was not opened, or not in time.

        :param began_ms: when the attempt began
        """
        path = self.get(target)
        is_outdated = path.heard_ms is not None and path.heard_ms > began_ms
        if is_outdated and failure is PathFailure.hanging:
            return
        was_bypassed = path.is_bypassed
        if path.failure is None:
            path.failed_ms = began_ms
        path.failure = failure
        if failure is PathFailure.hanging:
            self._hang_began_ms = max(began_ms, self._hang_began_ms or 0)
        self._report_begin(target, was_bypassed=was_bypassed)

    def record_relay_open(self, target: str) -> None:
        """Record that a peer has opened a connection to a target."""
        path = self.get(target)
        was_bypassed = path.is_bypassed
        path.is_relayable = True
        path.is_refused_to_peers = False
        self._report_begin(target, was_bypassed=was_bypassed)

    def record_relay_failure(
        self, target: str, now_ms: int, *, is_refused: bool = False
    ) -> None:
        """
        Record that no peer that was asked has opened a connection.

        :param is_refused: whether the target refused enough of them, and no
            other cause is known
        """
        path = self.get(target)
        path.is_relayable = False
        path.is_refused_to_peers = is_refused
        path.relay_failed_ms = now_ms

    def forget(self, target: str) -> None:
        """Forget a target that was removed or restarted."""
        self._paths_by_target.pop(target, None)

    def _report_begin(self, target: str, *, was_bypassed: bool) -> None:
        if not was_bypassed and self.get(target).is_bypassed:
            self._report_change(target)

    def _report_change(self, target: str) -> None:
        for action in self._on_change:
            action(target)
