"""Decides whether one request may be sent again."""

from cicadahoist.requests import RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline

_MAY_HAVE_RUN = frozenset(
    (AttemptOutcome.lost, AttemptOutcome.answered, AttemptOutcome.stopped)
)


class RetryAllowance:
    """
    Counts the attempts of one request against its route and the retry budget.

    :param context: shared parts of the data path
    :param route: the route of the request
    :param service: the service that serves it, whose retry budget is used
    :param deadline: after it the request may not be sent again
    """

    __slots__ = (
        '_context',
        '_deadline',
        '_has_prefilled',
        '_has_reserved_retry',
        '_route',
        '_sent_count',
        '_service',
        'may_have_run',
        'unreached_count',
    )

    def __init__(
        self,
        context: ServingContext,
        route: RouteRule,
        service: str,
        deadline: Deadline,
    ) -> None:
        self._context = context
        self._deadline = deadline
        self._route = route
        self._service = service
        self._sent_count = 0
        self._has_prefilled = False
        # Whether a retry was spent from the budget and is not used yet.
        self._has_reserved_retry = False
        self.may_have_run = False
        # Attempts that ended before a byte was sent.
        self.unreached_count = 0

    def record_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Count an ended attempt, and record whether it may have run."""
        if attempt.is_sent and attempt.may_run and end.outcome in _MAY_HAVE_RUN:
            self.may_have_run = True
        if end.outcome is AttemptOutcome.unsent:
            self.unreached_count += 1
        elif attempt.may_run or end.outcome is AttemptOutcome.not_run:
            self._sent_count += 1

    @property
    def is_run_used_up(self) -> bool:
        """Whether a request that may run once may have run."""
        return self.may_have_run and self._route.repeat is RepeatRule.once

    def try_spend_retry(self) -> bool:
        """
        Spend one retry, where deadline, route and shared budget allow it.

        :return: whether the request may be sent again
        """
        if self._deadline.has_passed:
            return False
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            return True
        if self._sent_count >= self._route.max_sends:
            return False
        return self._context.retries.try_spend_retry(
            self._service, self._context.clock.now_ms()
        )

    def record_prefill(self) -> None:
        """Record that an engine has prefilled the prompt."""
        self._has_prefilled = True

    def try_spend_prefill(self) -> bool:
        """
        Return whether the prompt may be prefilled apart from its run.

        Each prefill after the first one takes a retry.
        """
        return not self._has_prefilled or self.try_spend_retry()

    def may_send_beside(
        self, attempt: Attempt, open_run_count: int, *, is_begun: bool
    ) -> bool:
        """
        Return whether another attempt may be sent while one is open.

        :param attempt: the open attempt, whose target is silent
        :param open_run_count: open attempts that are more than a prefill
        :param is_begun: whether the caller has a part of an answer
        """
        if is_begun and self._route.repeat is not RepeatRule.resumable:
            return False
        if self._route.repeat is RepeatRule.once and attempt.may_run:
            return False
        if self._route.max_sends == 1:
            return False
        return self._sent_count + open_run_count < self._route.max_sends

    def reserve(self) -> bool:
        """
        Spend one retry for an attempt that is sent later.

        :return: whether the request may be sent again
        """
        self._has_reserved_retry = self.try_spend_retry()
        return self._has_reserved_retry

    def return_retry(self) -> None:
        """Take back a retry whose attempt was not sent."""
        self._has_reserved_retry = True
