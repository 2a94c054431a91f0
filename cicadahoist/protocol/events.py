"""Events of leases; charts name them in snake case."""

import msgspec

from cicadahoist.protocol.records import JournalEntry, decode_record


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class ObjectRead(msgspec.Struct, frozen=True):
    """
    The lease object was read.

    :param version: version of the object, 0 where it does not exist
    :param payload: stored form, empty where it does not exist
    """

    version: int
    payload: bytes


class ReadFailed(msgspec.Struct, frozen=True):
    """The store did not answer a read."""


class WriteConfirmed(msgspec.Struct, frozen=True):
    """
    A write took effect.

    :param nonce: nonce of the write
    :param version: new version of the object
    """

    nonce: str
    version: int


class WriteConflict(msgspec.Struct, frozen=True):
    """A write met another version of the object."""

    nonce: str


class WriteUnknown(msgspec.Struct, frozen=True):
    """A write may or may not have taken effect, now or later."""

    nonce: str


class JournalChange(msgspec.Struct, frozen=True):
    """Journal entries have to be written."""

    entries: tuple[JournalEntry, ...]


class TargetsUnreachable(msgspec.Struct, frozen=True):
    """The instance cannot reach the targets of its zone."""


class TargetsReachable(msgspec.Struct, frozen=True):
    """The instance reaches the targets of its zone again."""


class Leave(msgspec.Struct, frozen=True):
    """The process is leaving and gives its leases back."""


def read_nonce(event: ObjectRead | WriteConfirmed) -> str:
    """Return the nonce of the write that an event shows."""
    if isinstance(event, ObjectRead):
        return decode_record(event.payload).nonce
    return event.nonce
