"""Lets another target take over a request from a silent one."""

from collections.abc import Callable

from cicadahoist.policy.stream_continuity.answer_check import can_continue
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.serving.attempt import (
    STRANDED,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
)
from cicadahoist.serving.attempt_results import is_final
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.open_attempts import OpenAttempts
from cicadahoist.serving.reply import HTTP_BAD_GATEWAY, Reply
from cicadahoist.serving.retry_allowance import RetryAllowance

# Two targets may be at work on one answer for 400 ms, so that one of them is
# stopped this soon after the silent one has woken up.
REVIEW_PERIOD_MS = 200


class Takeover:
    """
    Opens a second attempt beside one whose target is silent.

    A silent target may go on. It is let go only when another one has brought a
    part of the answer; if it gives a sign of life before, the other one is.

    :param context: shared parts of the data path
    :param open_attempts: open attempts of the request
    :param allowance: retries of the request
    :param reply: the reply to the request
    :param try_start: sends the request to a target that can take over; returns
        whether there is one, and a retry
    """

    __slots__ = (
        '_allowance',
        '_context',
        '_open_attempts',
        '_reply',
        '_try_start',
    )

    def __init__(
        self,
        context: ServingContext,
        open_attempts: OpenAttempts,
        allowance: RetryAllowance,
        reply: Reply,
        try_start: Callable[[], bool],
    ) -> None:
        self._context = context
        self._open_attempts = open_attempts
        self._allowance = allowance
        self._reply = reply
        self._try_start = try_start

    def react_to_silence(self, attempt: Attempt) -> None:
        """Let another target take over from a silent one, where one can."""
        if len(self._open_attempts) > 1:
            return
        may_send = self._allowance.may_send_beside(
            attempt,
            self._open_attempts.count_runs(),
            is_begun=self._reply.is_begun,
        )
        if may_send and self._try_start():
            self._context.meters.count_retry(Retry.target_frozen)
        elif may_send and self._is_cut(attempt) and self._allowance.reserve():
            # A target that was tried can be reached again, through a peer.
            attempt.abandon(STRANDED)
        else:
            self._record_kept(attempt.listing.name)

    def schedule_review(self, attempt: Attempt) -> None:
        """Stop an attempt beside a silent one if that gives a sign of life."""
        if attempt.may_run and len(self._open_attempts) > 1:
            self._context.clock.call_later(
                REVIEW_PERIOD_MS, self._review, attempt
            )

    def is_left_to_other(self, end: AttemptEnd) -> bool:
        """Return whether another attempt decides how the request goes on."""
        if end.outcome is AttemptOutcome.stopped:
            return True
        if not self._open_attempts:
            return False
        if self._allowance.is_run_used_up:
            self._open_attempts.stop_all()
            return False
        if end.outcome is AttemptOutcome.unsent:
            self._allowance.return_retry()
        return True

    def is_given_up(self, *, is_possible: bool) -> bool:
        """
        Return whether another attempt decides, as no target can take over.

        :param is_possible: whether there is a target that accepts the request
        """
        if is_possible or not self._open_attempts:
            return False
        self._allowance.return_retry()
        return True

    def fails_midway(self, end: AttemptEnd) -> bool:
        """Return whether an answer cannot complete the one that is begun."""
        if end.head is None or not self._reply.is_begun:
            return False
        return not can_continue(end.head.meaning)

    def resume_or_fail(self, end: AttemptEnd, *, is_resumable: bool) -> None:
        """
        Let another target resume after the last event, or fail the request.

        :param is_resumable: whether the request may be sent on
        """
        if self._reply.is_over:
            return
        may_retry = is_resumable and not is_final(end)
        if may_retry and self._allowance.try_spend_retry():
            self._context.meters.count_retry(Retry.stream_broken)
            return
        is_failure = end.outcome is AttemptOutcome.answered
        self._reply.fail(
            HTTP_BAD_GATEWAY,
            Refusal.target_failed if is_failure else Refusal.target_lost,
        )

    def _is_cut(self, attempt: Attempt) -> bool:
        """Return whether the path of an attempt is known to be down."""
        path = self._context.fleet.paths.get(attempt.listing.name)
        now_ms = self._context.clock.now_ms()
        return attempt.is_stranded and path.is_confirmed(now_ms)

    def _review(self, attempt: Attempt) -> None:
        oldest = self._open_attempts.get_oldest()
        is_open = self._open_attempts.contains(attempt)
        if oldest is None or oldest is attempt or not is_open:
            return
        if not oldest.may_run:
            # Only one run is at work, and it may be the only one allowed.
            return
        target = oldest.listing.name
        now_ms = self._context.clock.now_ms()
        is_silent = self._context.fleet.answer_watch.is_silent(target, now_ms)
        if is_silent or oldest.is_stranded:
            self.schedule_review(attempt)
        else:
            self._open_attempts.keep_only(target)

    def _record_kept(self, target: str) -> None:
        kept_targets = self._reply.log_fields.setdefault('kept_targets', [])
        if target not in kept_targets:
            kept_targets.append(target)
            self._context.meters.count_kept_silent()
