"""Events and actions of claims."""

import msgspec

from cicadahoist.reasons import Refusal


class RequestArrived(msgspec.Struct, frozen=True):
    """A request that may not be repeated arrived."""


class ClaimCreated(msgspec.Struct, frozen=True):
    """The store created the claim object."""

    version: int


class ClaimExists(msgspec.Struct, frozen=True):
    """A claim object of that name already exists."""


class CreateUnknown(msgspec.Struct, frozen=True):
    """The claim may have been created, or may still be created later."""


class ClaimRead(msgspec.Struct, frozen=True):
    """
    The claim was read.

    :param version: version of the object, 0 if it does not exist
    :param payload: encoded record, empty if the object does not exist
    """

    version: int
    payload: bytes


class RequestEnded(msgspec.Struct, frozen=True):
    """
    The request was sent and has ended.

    :param outcome: encoded outcome, which may also be ``unknown``
    """

    outcome: bytes


class OutcomeWritten(msgspec.Struct, frozen=True):
    """The outcome was written to the claim."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A write of the outcome may or may not have taken effect."""


class GiveUp(msgspec.Struct, frozen=True):
    """The time allowed for the store's answers has run out."""


class CreateClaim(msgspec.Struct, frozen=True):
    """
    Create an object.

    The answer is ``ClaimCreated``, ``ClaimExists`` or ``CreateUnknown``.
    """

    name: str
    payload: bytes


class ReadClaim(msgspec.Struct, frozen=True):
    """Read an object; the answer is ``ClaimRead``, or a later ``Tick``."""

    name: str


class RunRequest(msgspec.Struct, frozen=True):
    """Send the request to one target, once; the answer is ``RequestEnded``."""

    name: str


class WriteOutcome(msgspec.Struct, frozen=True):
    """
    Write the outcome if the object's version is the expected one.

    The answer is ``OutcomeWritten`` or ``OutcomeUnknown``.

    :param expected: version to replace
    """

    name: str
    payload: bytes
    expected: int


class RefuseClaim(msgspec.Struct, frozen=True):
    """Refuse the request, which never runs."""

    refusal: Refusal


class ReplayOutcome(msgspec.Struct, frozen=True):
    """Answer the caller with the recorded outcome."""

    outcome: bytes
