"""One request on its way: who waits, until when, and what may have run."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.log import get_logger
from cicadahoist.reasons import Refusal
from cicadahoist.requests import AnswerMeaning, InboundRequest, RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.attempt_watch import AttemptWatch
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.crash_watch import CrashWatch
from cicadahoist.serving.inbound import Exchange
from cicadahoist.serving.reply import LEAST_RETURN_MS, Reply
from cicadahoist.serving.sends import Sends

logger = get_logger(__name__)

HTTP_SERVER_ERROR = 500
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
# Answers have to travel to the caller before its own deadline.
RETURN_TRIP_MS = 15
# Targets that may be tried without a byte having left.
MOST_CONNECTS = 3
# A request that crashes targets is put off until its blames may be forgotten.
BARRED_RETURN_MS = 10_000


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
        '_crashes',
        '_due_ms',
        '_has_counted_run',
        '_reply',
        '_request',
        '_route',
        '_sends',
        '_service',
        '_tried',
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
        self._crashes = CrashWatch(context, request)
        self._request = request
        self._route = route
        self._service = route.service_for(request.attempt_id)
        self._workspace = workspace
        self._urgency = urgency
        self._reply = Reply(context, request, route, exchange)
        self._attempt: Attempt | None = None
        self._tried: list[str] = []
        self._sends = Sends(context, route, self._service)
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
        if self._crashes.is_barred:
            self._refuse(Refusal.quarantined, BARRED_RETURN_MS)
            return
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

    def _suspend_target(self, target: str) -> None:
        """Send a target nothing for a while."""
        raise NotImplementedError

    async def _run(self, attempt: Attempt, silence_ms: float) -> AttemptEnd:
        """
        Run an attempt and take note of what it proves.

        :param silence_ms: time after which the target should have been heard
        """
        name = attempt.listing.name
        self._attempt = attempt
        self._tried.append(name)
        end = await AttemptWatch(self._context).run(
            attempt, silence_ms, self._sends.leave_rule(attempt)
        )
        if self._attempt is attempt:
            self._attempt = None
        if end.is_silent:
            self._suspend_target(name)
        if attempt.is_sent and end.outcome is AttemptOutcome.lost:
            self._crashes.lost(name)
        self._sends.ended(attempt, end)
        if end.outcome is not AttemptOutcome.answered:
            self._log_attempt(name, end)
        if end.head and end.head.meaning is AnswerMeaning.misplaced:
            self._context.fleet.set_aside(name)
        return end

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
            self._context.usage.count_start(self._workspace, true_ms)

    @property
    def _has_perhaps_run(self) -> bool:
        """Whether a target may have begun to run the request."""
        attempt = self._attempt
        if attempt is not None and attempt.is_sent and attempt.may_run:
            return True
        return self._sends.may_have_run

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
