"""Events and actions of drains."""

import msgspec

from cicadahoist.messages import DrainAck, DrainNotice


class DrainAcked(msgspec.Struct, frozen=True):
    """An entry acknowledged a drain."""

    ack: DrainAck


class EntriesChanged(msgspec.Struct, frozen=True):
    """
    The entries that may send work to the target are others than before.

    :param incarnations: their incarnations by name
    """

    incarnations: dict[str, str]


class LoadRead(msgspec.Struct, frozen=True):
    """
    The target's own count was read.

    :param requested_ms: when it was asked for
    :param open_requests: requests that run or wait there
    """

    requested_ms: int
    open_requests: int


class ChangeCancelled(msgspec.Struct, frozen=True):
    """The change is not wanted any more; ignored once it was allowed."""


class ChangeEnded(msgspec.Struct, frozen=True):
    """The outcome of the change is known and it does not go on."""


class ReadLoad(msgspec.Struct, frozen=True):
    """Read the target's own count; answer by ``LoadRead``."""

    target: str
    requested_ms: int


class AllowChange(msgspec.Struct, frozen=True):
    """The target holds no work and gets none: the order may be planned."""

    target: str


class SendNotice(msgspec.Struct, frozen=True):
    """Send a notice to every entry."""

    notice: DrainNotice
