"""Decides whether one request may be sent again."""

from cicadahoist.reasons import Retry
from cicadahoist.requests import RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.attempt_watch import MayAbandon
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

    def get_abandon_check(self, attempt: Attempt) -> MayAbandon | None:
        """
        Return the check before an attempt abandons a silent target.

        :return: spends a retry and returns whether there was one; none if the
            attempt must stay with its target
        """
        if self._route.repeat is RepeatRule.once and attempt.may_run:
            return None
        sent_count = self._sent_count + attempt.may_run
        if self._route.max_sends == 1 or sent_count >= self._route.max_sends:
            return None
        return self._try_spend_abandon_retry

    def _try_spend_abandon_retry(self) -> bool:
        """Spend a retry on abandoning a silent target, where there is one."""
        if not self.try_spend_retry():
            return False
        self._has_reserved_retry = True
        self._context.meters.count_retry(Retry.target_frozen)
        return True
