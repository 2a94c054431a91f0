"""Counts what one request has sent, and whether it may be sent again."""

from cicadahoist.reasons import Retry
from cicadahoist.requests import RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.attempt_watch import MayLeave
from cicadahoist.serving.context import ServingContext

_RUN_PERHAPS = frozenset(
    (AttemptOutcome.lost, AttemptOutcome.answered, AttemptOutcome.stopped)
)


class Sends:
    """
    The attempts of one request.

    :param context: shared parts of the data path
    :param route: the route of the request
    :param service: the service that serves it
    """

    __slots__ = (
        '_context',
        '_count',
        '_has_repeat',
        '_route',
        '_service',
        'may_have_run',
        'unreached',
    )

    def __init__(
        self, context: ServingContext, route: RouteRule, service: str
    ) -> None:
        self._context = context
        self._route = route
        self._service = service
        self._count = 0
        # Whether a repeat was taken from the budget and is not used yet.
        self._has_repeat = False
        self.may_have_run = False
        # Attempts of which no byte left.
        self.unreached = 0

    def ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Count what an attempt used up, and whether it may have run."""
        if attempt.is_sent and attempt.may_run and end.outcome in _RUN_PERHAPS:
            self.may_have_run = True
        if end.outcome is AttemptOutcome.unsent:
            self.unreached += 1
        elif attempt.may_run or end.outcome is AttemptOutcome.not_run:
            self._count += 1

    def may_repeat(self) -> bool:
        """Take one repeat, where the route and the shared budget allow it."""
        if self._has_repeat:
            self._has_repeat = False
            return True
        if self._count >= self._route.max_sends:
            return False
        return self._context.retries.try_spend_retry(
            self._service, self._context.clock.now_ms()
        )

    def leave_rule(self, attempt: Attempt) -> MayLeave | None:
        """Return what allows to leave a silent target, none if nothing may."""
        if self._route.repeat is RepeatRule.once and attempt.may_run:
            return None
        sends = self._count + attempt.may_run
        if self._route.max_sends == 1 or sends >= self._route.max_sends:
            return None
        return self._may_leave

    def _may_leave(self) -> bool:
        """Take a repeat for leaving a silent target, where one is left."""
        if not self.may_repeat():
            return False
        self._has_repeat = True
        self._context.meters.retried(Retry.target_frozen)
        return True
