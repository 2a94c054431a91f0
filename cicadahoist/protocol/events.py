"""Events of leases; charts refer to them in snake case."""

import msgspec

from cicadahoist.protocol.records import JournalEntry, decode_record


class Tick(msgspec.Struct, frozen=True):
    """Periodic event that lets guards compare the clock."""


class ObjectRead(msgspec.Struct, frozen=True):
    """
    The lease object was read.

    :param version: version of the object, 0 if it does not exist
    :param payload: encoded record, empty if the object does not exist
    :param era: rises each time the store comes back from an older copy
    """

    version: int
    payload: bytes
    era: int = 0


class ReadFailed(msgspec.Struct, frozen=True):
    """A read got no answer from the store."""


class WriteConfirmed(msgspec.Struct, frozen=True):
    """
    A write took effect.

    :param nonce: nonce of the write
    :param version: new version of the object
    """

    nonce: str
    version: int


class WriteConflict(msgspec.Struct, frozen=True):
    """A write was rejected because the object has another version."""

    nonce: str


class WriteUnknown(msgspec.Struct, frozen=True):
    """A write may have taken effect, or may still do so later."""

    nonce: str


class JournalChange(msgspec.Struct, frozen=True):
    """Journal entries are due to be written."""

    entries: tuple[JournalEntry, ...]


class TargetsUnreachable(msgspec.Struct, frozen=True):
    """The instance cannot reach the targets of its zone."""


class TargetsReachable(msgspec.Struct, frozen=True):
    """The instance reaches the targets of its zone again."""


class Leave(msgspec.Struct, frozen=True):
    """The process shuts down and releases its leases."""


def read_nonce(event: ObjectRead | WriteConfirmed) -> str:
    """Return the nonce of the write that an event reports."""
    if isinstance(event, ObjectRead):
        return decode_record(event.payload).nonce
    return event.nonce
