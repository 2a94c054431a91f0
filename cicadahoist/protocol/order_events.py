"""Events of orders; charts refer to them in snake case."""

from enum import Enum

import msgspec

from cicadahoist.protocol.records import JournalEntry


class OrderProgress(Enum):
    """Progress of an order according to the target's state."""

    absent = 'absent'
    changing = 'changing'
    done = 'done'


class PlanOrder(msgspec.Struct, frozen=True):
    """
    Request to send an order to a target.

    :param kind: kind of the order in terms of the target's interface
    """

    target: str
    kind: str
    argument: str = ''


class OrderInherited(msgspec.Struct, frozen=True):
    """The predecessor's journal contains an order without an outcome."""

    entry: JournalEntry


class OrderDone(msgspec.Struct, frozen=True):
    """The target carried out an order."""

    target: str
    token: str


class OrderRefused(msgspec.Struct, frozen=True):
    """The target refused an order and will not carry it out."""

    target: str
    token: str


class OrderUnanswered(msgspec.Struct, frozen=True):
    """An order may or may not be carried out: no answer, or target busy."""

    target: str
    token: str


class TargetRead(msgspec.Struct, frozen=True):
    """
    The state of a target was read.

    :param token: token of the order in question
    :param progress: progress of that order
    """

    target: str
    token: str
    progress: OrderProgress


class TargetGone(msgspec.Struct, frozen=True):
    """A target no longer exists."""

    target: str
