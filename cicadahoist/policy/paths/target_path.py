"""What is known of the paths to one target."""

from enum import Enum

# Targets are a few ms away and accept a connection within one more. An
# unreachable one is abandoned while there is time to use another.
CONNECT_TIMEOUT_MS = 300
# While the direct path to a target is down, it is tried this often at most.
PROBE_PERIOD_MS = 1000


class PathFailure(Enum):
    """
    Why a direct path is down.

    ``refused``: new connections are refused; open ones may live on.
    ``hanging``: packets get no answer.
    """

    refused = 'refused'
    hanging = 'hanging'


class TargetPath:
    """What the latest attempts have shown about the paths to one target."""

    __slots__ = (
        'failed_ms',
        'failure',
        'heard_ms',
        'is_refused_to_peers',
        'is_relayable',
        'relay_failed_ms',
        'tried_ms',
    )

    def __init__(self) -> None:
        self.failure: PathFailure | None = None
        # When the attempt began that first failed.
        self.failed_ms = 0
        # When the target last accepted a connection or sent a byte, directly.
        self.heard_ms: int | None = None
        # When the latest direct attempt began.
        self.tried_ms: int | None = None
        # Whether the latest attempt through a peer reached the target.
        self.is_relayable = False
        self.relay_failed_ms: int | None = None
        # Whether it refused all peers that were asked last: it has crashed.
        self.is_refused_to_peers = False

    @property
    def is_bypassed(self) -> bool:
        """Whether only peers reach the target."""
        return self.failure is not None and self.is_relayable

    @property
    def is_hanging(self) -> bool:
        """Whether only peers reach the target, and direct bytes vanish."""
        return self.is_bypassed and self.failure is PathFailure.hanging

    @property
    def has_crashed(self) -> bool:
        """Whether the target refuses this instance and its peers."""
        return self.failure is PathFailure.refused and self.is_refused_to_peers

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether the direct attempt that failed first has ended."""
        return self.is_hanging and now_ms - self.failed_ms >= CONNECT_TIMEOUT_MS

    def is_probe_due(self, now_ms: int) -> bool:
        """Return whether a direct path that is down is to be tried again."""
        if self.failure is None:
            return False
        return self.tried_ms is None or (
            now_ms - self.tried_ms >= PROBE_PERIOD_MS
        )

    def has_heard(self, since_ms: int) -> bool:
        """Return whether the direct path has worked since a time."""
        return self.heard_ms is not None and self.heard_ms >= since_ms

    def is_recent(self, since_ms: int) -> bool:
        """Return whether the direct path was tried or used since a time."""
        if self.tried_ms is not None and self.tried_ms >= since_ms:
            return True
        return self.has_heard(since_ms)
