"""One request on its way: who waits, until when, and what may have run."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.log import get_logger
from cicadahoist.reasons import Refusal
from cicadahoist.requests import AnswerMeaning, InboundRequest, RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.inbound import Exchange
from cicadahoist.serving.reply import LEAST_RETURN_MS, Reply

logger = get_logger(__name__)

HTTP_SERVER_ERROR = 500
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
# Answers have to travel to the caller before its own deadline.
RETURN_TRIP_MS = 15
# Targets that may be tried without a byte having left.
MOST_CONNECTS = 3
# A target that is not where it is listed is asked again after this time: its
# entry lapses after three missed heartbeats of 1.2 s.
SET_ASIDE_MS = 4000

_RUN_PERHAPS = frozenset(
    (AttemptOutcome.lost, AttemptOutcome.answered, AttemptOutcome.stopped)
)


class Flow:
    """
    One request at this instance.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: its route
    :param workspace: the workspace of its key, empty on open routes
    :param exchange: takes the answer
    :param urgency: 0 for the most urgent to 9
    """

    __slots__ = (
        '_attempt',
        '_context',
        '_due_ms',
        '_has_counted_run',
        '_may_have_run',
        '_reply',
        '_request',
        '_route',
        '_sends',
        '_service',
        '_tried',
        '_unreached',
        '_urgency',
        '_workspace',
    )

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        route: RouteRule,
        workspace: str,
        exchange: Exchange,
        urgency: int,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = route.service_for(request.attempt_id)
        self._workspace = workspace
        self._urgency = urgency
        self._reply = Reply(context, request, route, exchange)
        self._attempt: Attempt | None = None
        self._tried: list[str] = []
        self._sends = 0
        self._unreached = 0
        self._may_have_run = False
        self._has_counted_run = False
        wait_ms = route.timeout_ms
        if request.patience_ms is not None:
            wait_ms = min(wait_ms, request.patience_ms - RETURN_TRIP_MS)
        self._due_ms = request.arrived_ms + wait_ms
        self._reply.timer = context.clock.call_later(
            max(0, self._due_ms - context.clock.now_ms()), self._expire
        )

    def start(self) -> None:
        """Begin to work on the request."""
        self._context.retries.requested(
            self._service, self._context.clock.now_ms()
        )
        self._reply.notes.update(
            workspace=self._workspace,
            service=self._service,
            targets=self._tried,
        )
        running = Deferred.fromCoroutine(self._serve())
        running.addErrback(self._fail)

    def caller_left(self) -> None:
        """End work that nobody waits for, where it may be ended."""
        if self._reply.is_over:
            return
        if self._route.repeat is RepeatRule.once and not self._route.streams:
            # It runs to its end: cutting it would leave its effect unknown.
            self._reply.notes['caller_left'] = True
            return
        self._reply.end('caller-left')
        self._stop_attempt()

    def pause(self) -> None:
        """Read no more from the target for now."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """Read from the target again."""
        if self._attempt is not None:
            self._attempt.resume()

    async def _serve(self) -> None:
        """Work on the request until it is over."""
        raise NotImplementedError

    @property
    def _left_ms(self) -> int:
        return self._due_ms - self._context.clock.now_ms()

    async def _run(self, attempt: Attempt) -> AttemptEnd:
        """Run an attempt and take note of what it proves."""
        self._attempt = attempt
        self._tried.append(attempt.listing.name)
        end = await attempt.run(self._context.fleet.connections)
        if self._attempt is attempt:
            self._attempt = None
        if attempt.is_sent and attempt.may_run and end.outcome in _RUN_PERHAPS:
            self._may_have_run = True
        if end.outcome is AttemptOutcome.unsent:
            self._unreached += 1
        elif attempt.may_run or end.outcome is AttemptOutcome.not_run:
            self._sends += 1
        if end.outcome is not AttemptOutcome.answered:
            self._log_attempt(attempt.listing.name, end)
        if end.head and end.head.meaning is AnswerMeaning.misplaced:
            self._set_aside(attempt.listing.name)
        return end

    def _set_aside(self, target: str) -> None:
        """Use a target that is not where it is listed no more for now."""
        directory = self._context.fleet.directory
        directory.set_aside(target)
        self._context.clock.call_later(
            SET_ASIDE_MS, directory.take_back, target
        )

    def _may_repeat(self) -> bool:
        """Take one repeat, where the route and the shared budget allow it."""
        if self._sends >= self._route.max_sends:
            return False
        return self._context.retries.may_repeat(
            self._service, self._context.clock.now_ms()
        )

    def _refuse(self, reason: Refusal, retry_after_ms: int) -> None:
        """Refuse as not run, or fail where a target may have begun to run."""
        if self._has_perhaps_run:
            self._reply.fail(HTTP_BAD_GATEWAY, reason)
        else:
            self._reply.refuse(reason, retry_after_ms, self._left_ms)

    def _count_run(self, true_ms: int) -> None:
        """Bill the request once, where a target began to run it."""
        if not self._has_counted_run:
            self._has_counted_run = True
            self._context.usage.began(self._workspace, true_ms)

    @property
    def _has_perhaps_run(self) -> bool:
        """Whether a target may have begun to run the request."""
        attempt = self._attempt
        if attempt is not None and attempt.is_sent and attempt.may_run:
            return True
        return self._may_have_run

    def _expire(self) -> None:
        if self._has_perhaps_run:
            self._reply.fail(HTTP_GATEWAY_TIMEOUT, Refusal.timed_out)
        else:
            self._refuse(Refusal.deadline_unreachable, LEAST_RETURN_MS)
        self._stop_attempt()

    def _stop_attempt(self) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is not None:
            attempt.stop()

    def _log_attempt(self, target: str, end: AttemptEnd) -> None:
        logger.bind(
            request=self._request.attempt_id,
            target=target,
            outcome=end.outcome.value,
            status=end.head.status if end.head else None,
            detail=end.detail,
            left_ms=self._left_ms,
        ).info('attempt ended')

    def _fail(self, failure: Any) -> None:
        logger.bind(request=self._request.attempt_id).error(
            'request failed by a defect: {0}', failure.getTraceback()
        )
        self._stop_attempt()
        self._reply.fail(HTTP_BAD_GATEWAY, Refusal.internal_error)
