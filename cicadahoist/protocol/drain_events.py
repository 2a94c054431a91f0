"""Events and actions of drains."""

import msgspec

from cicadahoist.messages import DrainAck, DrainNotice


class DrainAcked(msgspec.Struct, frozen=True):
    """An entry acknowledged a drain."""

    ack: DrainAck


class EntriesChanged(msgspec.Struct, frozen=True):
    """
    The set of entries that may send work to the target changed.

    :param incarnations: incarnations of these entries by name
    """

    incarnations: dict[str, str]


class LoadRead(msgspec.Struct, frozen=True):
    """
    The target reported its load.

    :param requested_ms: clock reading at which the load was requested
    :param open_requests: number of requests running or queued at the target
    """

    requested_ms: int
    open_requests: int


class ChangeCancelled(msgspec.Struct, frozen=True):
    """The change was cancelled; ignored once the change is allowed."""


class ChangeEnded(msgspec.Struct, frozen=True):
    """The change has ended, and its outcome is known."""


class ReadLoad(msgspec.Struct, frozen=True):
    """Read the load that the target reports; the answer is ``LoadRead``."""

    target: str
    requested_ms: int


class AllowChange(msgspec.Struct, frozen=True):
    """The target has no work and receives none: the order may be planned."""

    target: str


class SendNotice(msgspec.Struct, frozen=True):
    """Send a notice to every entry."""

    notice: DrainNotice
