"""Messages on quotas between instances."""

import msgspec

from cicadahoist.codec import Codec

# First byte of these datagrams; no load report begins with it.
QUOTA_MARK = b'Q'


class Delegation(msgspec.Struct, frozen=True, array_like=True):
    """
    The answer of an instance to a claim.

    :param term: process of the home, as in the claim
    :param stamp_ms: time of the claim, by the clock of the home
    :param has_share: whether the instance delegates its share
    :param has_overdraft: whether it gives its share of the overdraft
    """

    workspace: str
    term: str
    stamp_ms: int
    has_share: bool
    has_overdraft: bool


class Question(msgspec.Struct, frozen=True, array_like=True):
    """
    A question for the tokens of a request.

    :param number: number of the question at the process that asks
    """

    number: int
    workspace: str
    tokens: float


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """
    The answer of a home to a question.

    :param wait_ms: time until the tokens are available, none if granted
    """

    number: int
    workspace: str
    wait_ms: int | None = None


class Return(msgspec.Struct, frozen=True, array_like=True):
    """Return of the tokens that a home has granted, or may have granted."""

    number: int
    workspace: str


class QuotaMessage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """
    One datagram on quotas.

    :param sender: name of the instance
    :param term: unique name of its process
    :param instance_count: registered instances that it knows of
    :param stamp_ms: time at which it was sent, by the clock of the sender
    :param claims: workspaces whose shares the sender claims as their home
    :param releases: workspaces whose shares the sender gives up
    :param is_leaving: whether the sender ends
    """

    sender: str
    term: str
    instance_count: int
    stamp_ms: int
    claims: tuple[str, ...] = ()
    releases: tuple[str, ...] = ()
    is_leaving: bool = False
    delegations: tuple[Delegation, ...] = ()
    questions: tuple[Question, ...] = ()
    answers: tuple[Answer, ...] = ()
    returns: tuple[Return, ...] = ()


Entry = Delegation | Question | Answer | Return

codec: Codec[QuotaMessage] = Codec.packed('quota message', QuotaMessage)
