"""Actions that protocol machines return for the caller to carry out."""

from enum import Enum

import msgspec

from cicadahoist.protocol.records import JournalEntry, LeaseRecord


class ReadObject(msgspec.Struct, frozen=True):
    """Read an object; answer by ``ObjectRead`` or ``ReadFailed``."""

    name: str


class WriteObject(msgspec.Struct, frozen=True):
    """
    Write an object conditionally.

    Answer by ``WriteConfirmed``, ``WriteConflict`` or ``WriteUnknown`` with
    the same nonce.

    :param expected: version to replace, 0 to create
    """

    name: str
    payload: bytes
    expected: int
    nonce: str


class ArmTimer(msgspec.Struct, frozen=True):
    """Let the kernel end this process at ``deadline_ms`` of its clock."""

    deadline_ms: int


class DisarmTimer(msgspec.Struct, frozen=True):
    """Stop the kernel's timer; no order is on the stack."""


class LeaseWon(msgspec.Struct, frozen=True):
    """The process became the holder; the record shows the journal."""

    record: LeaseRecord


class RecordWritten(msgspec.Struct, frozen=True):
    """A write of the holder is known to have taken effect."""

    record: LeaseRecord


class StepDown(msgspec.Struct, frozen=True):
    """The process is no longer the holder; break off what is being sent."""

    epoch: int


class SendOrder(msgspec.Struct, frozen=True):
    """
    Send an order in this turn of the reactor, without waiting in between.

    Answer by ``OrderDone``, ``OrderRefused`` or ``OrderUnanswered``. A target
    that has accepted the order but not finished it counts as unanswered.
    """

    entry: JournalEntry


class ReadTarget(msgspec.Struct, frozen=True):
    """Read a target's state; answer by ``TargetRead`` or ``ReadFailed``."""

    target: str
    token: str


class OrderOutcome(Enum):
    """How an order ended."""

    done = 'done'
    refused = 'refused'
    cancelled = 'cancelled'


class OrderSettled(msgspec.Struct, frozen=True):
    """The outcome of an order is known and journalled."""

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
