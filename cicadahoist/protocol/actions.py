"""Actions that the protocol state machines return to their caller."""

from enum import Enum

import msgspec

from cicadahoist.protocol.records import JournalEntry, LeaseRecord


class ReadObject(msgspec.Struct, frozen=True):
    """Read an object; the answer is ``ObjectRead`` or ``ReadFailed``."""

    name: str


class WriteObject(msgspec.Struct, frozen=True):
    """
    Write an object if its version is the expected one.

    The answer is ``WriteConfirmed``, ``WriteConflict`` or ``WriteUnknown``
    with the same nonce.

    :param expected: version to replace, 0 to create the object
    """

    name: str
    payload: bytes
    expected: int
    nonce: str


class ArmTimer(msgspec.Struct, frozen=True):
    """Arm the kernel timer that ends this process at ``deadline_ms``."""

    deadline_ms: int


class DisarmTimer(msgspec.Struct, frozen=True):
    """Disarm the kernel timer; no order is being sent."""


class LeaseWon(msgspec.Struct, frozen=True):
    """The process became the holder; the record contains the journal."""

    record: LeaseRecord


class RecordWritten(msgspec.Struct, frozen=True):
    """A write of the holder is confirmed to have taken effect."""

    record: LeaseRecord


class StepDown(msgspec.Struct, frozen=True):
    """The process is no longer the holder; abort orders being sent."""

    epoch: int


class SendOrder(msgspec.Struct, frozen=True):
    """
    Send an order in the current reactor turn, without waiting in between.

    The answer is ``OrderDone``, ``OrderRefused`` or ``OrderUnanswered``. An
    order that the target has accepted but not finished is unanswered.
    """

    entry: JournalEntry


class ReadTarget(msgspec.Struct, frozen=True):
    """
    Read a target's state; the answer is ``TargetRead`` or ``ReadFailed``.

    :param token: token of the order in question
    """

    target: str
    token: str


class OrderOutcome(Enum):
    """Final outcome of an order."""

    done = 'done'
    refused = 'refused'
    cancelled = 'cancelled'


class OrderSettled(msgspec.Struct, frozen=True):
    """The outcome of an order is known and recorded in the journal."""

    entry: JournalEntry
    outcome: OrderOutcome


Action = (
    ReadObject
    | WriteObject
    | ArmTimer
    | DisarmTimer
    | LeaseWon
    | RecordWritten
    | StepDown
    | SendOrder
    | ReadTarget
    | OrderSettled
)
