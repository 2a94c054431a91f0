"""What the end of an attempt means for its request."""

from cicadahoist.policy.caller_admission.promise_status import may_pass_on
from cicadahoist.policy.stream_continuity.answer_check import StreamFlaw
from cicadahoist.requests import AnswerMeaning
from cicadahoist.serving.answers.endings import AnswerLoss
from cicadahoist.serving.attempt import AttemptEnd, AttemptOutcome

HTTP_SERVER_ERROR = 500
# How a target ends an answer that it does not complete. All other losses are
# attempts that this instance ended: for what the target sent, or its silence.
_BROKEN_OFF = frozenset(
    cause.value
    for cause in (
        AnswerLoss.closed,
        AnswerLoss.reset,
        StreamFlaw.inside_event,
        StreamFlaw.no_event,
    )
)
# What no target sends that works: no HTTP, the answer to another request, two
# answers in one, or more than an answer may hold.
_JUNK = frozenset(
    cause.value
    for cause in (
        AnswerLoss.malformed,
        AnswerLoss.foreign,
        AnswerLoss.joined,
        AnswerLoss.too_long,
    )
)


def is_final(end: AttemptEnd) -> bool:
    """Return whether an attempt brought an answer that no retry can improve."""
    head = end.head
    if end.outcome is not AttemptOutcome.answered or head is None:
        return False
    if head.meaning is not AnswerMeaning.failure:
        return True
    return head.status < HTTP_SERVER_ERROR and may_pass_on(head.status)


def has_failed(end: AttemptEnd) -> bool:
    """Return whether a target, not the path to it, has lost an attempt."""
    if has_sent_junk(end):
        return True
    if end.detail == AnswerLoss.no_memory.value:
        return False
    return end.outcome is AttemptOutcome.lost and not end.is_stranded


def has_sent_junk(end: AttemptEnd) -> bool:
    """
    Return whether an attempt was ended for what its target has sent.

    It is the fault of the target whatever path the bytes have taken, and also
    where they begin with the statement that the request was not run.
    """
    return end.detail in _JUNK


def is_broken_off(end: AttemptEnd) -> bool:
    """Return whether a target broke off an attempt, as one that crashes."""
    return end.outcome is AttemptOutcome.lost and end.detail in _BROKEN_OFF
