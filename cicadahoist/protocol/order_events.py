"""Events of orders; charts name them in snake case."""

from enum import Enum

import msgspec

from cicadahoist.protocol.records import JournalEntry


class OrderProgress(Enum):
    """What the state of a target shows about an order."""

    absent = 'absent'
    changing = 'changing'
    done = 'done'


class PlanOrder(msgspec.Struct, frozen=True):
    """
    A target is to get an order.

    :param kind: kind of the order, as the target's interface names it
    """

    target: str
    kind: str
    argument: str = ''


class OrderInherited(msgspec.Struct, frozen=True):
    """The journal of the predecessor shows an order without outcome."""

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
    """An order may or may not be carried out; the target was busy or silent."""

    target: str
    token: str


class TargetRead(msgspec.Struct, frozen=True):
    """
    The state of a target was read.

    :param token: the order that the read was for
    :param progress: what the target shows about it
    """

    target: str
    token: str
    progress: OrderProgress


class TargetGone(msgspec.Struct, frozen=True):
    """A target does not exist any more."""

    target: str
