"""Events and actions of claims."""

import msgspec

from cicadahoist.reasons import Refusal


class RequestArrived(msgspec.Struct, frozen=True):
    """A request that may not be repeated arrived."""


class ClaimCreated(msgspec.Struct, frozen=True):
    """The store created the claim."""

    version: int


class ClaimExists(msgspec.Struct, frozen=True):
    """The store holds a claim of that name."""


class CreateUnknown(msgspec.Struct, frozen=True):
    """The claim may be created, now or later."""


class ClaimRead(msgspec.Struct, frozen=True):
    """
    The claim was read.

    :param version: its version, 0 where it does not exist
    :param payload: stored form, empty where it does not exist
    """

    version: int
    payload: bytes


class RequestEnded(msgspec.Struct, frozen=True):
    """
    The request ran.

    :param outcome: encoded outcome; ``unknown`` is an outcome too
    """

    outcome: bytes


class OutcomeWritten(msgspec.Struct, frozen=True):
    """The claim holds the outcome."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The claim may or may not hold the outcome."""


class GiveUp(msgspec.Struct, frozen=True):
    """The time for the store's answers is over."""


class CreateClaim(msgspec.Struct, frozen=True):
    """
    Create an object.

    Answer by ``ClaimCreated``, ``ClaimExists`` or ``CreateUnknown``.
    """

    name: str
    payload: bytes


class ReadClaim(msgspec.Struct, frozen=True):
    """Read an object; answer by ``ClaimRead``, or by a later ``Tick``."""

    name: str


class RunRequest(msgspec.Struct, frozen=True):
    """Send the request to one target, once; answer by ``RequestEnded``."""

    name: str


class WriteOutcome(msgspec.Struct, frozen=True):
    """
    Write the outcome; answer by ``OutcomeWritten`` or ``OutcomeUnknown``.

    :param expected: version to replace
    """

    name: str
    payload: bytes
    expected: int


class RefuseClaim(msgspec.Struct, frozen=True):
    """Refuse the request; it never runs."""

    refusal: Refusal


class ReplayOutcome(msgspec.Struct, frozen=True):
    """Answer with the outcome that was recorded."""

    outcome: bytes
