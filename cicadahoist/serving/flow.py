"""One request on its way: who waits, until when, and how it ends."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Timer
from cicadahoist.log import get_logger
from cicadahoist.reasons import Refusal
from cicadahoist.requests import AnswerHead, InboundRequest, RepeatRule
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.inbound import Exchange

logger = get_logger(__name__)

HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
# Answers have to travel to the caller before its own deadline.
RETURN_TRIP_MS = 15
# Callers come back no later than a third of the time that they have left.
RETURN_SHARE = 0.33
LEAST_RETURN_MS = 30

_RUN_PERHAPS = frozenset(
    (AttemptOutcome.lost, AttemptOutcome.answered, AttemptOutcome.stopped)
)


class Flow:
    """
    One request at this instance.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: its route
    :param service: the service that runs it
    :param workspace: the workspace of its key, empty on open routes
    :param exchange: takes the answer
    """

    __slots__ = (
        '_attempt',
        '_began_ms',
        '_context',
        '_deadline',
        '_due_ms',
        '_exchange',
        '_has_counted_run',
        '_is_over',
        '_may_have_run',
        '_notes',
        '_request',
        '_route',
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
        service: str,
        workspace: str,
        exchange: Exchange,
        urgency: int,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._workspace = workspace
        self._exchange = exchange
        self._urgency = urgency
        self._attempt: Attempt | None = None
        self._tried: list[str] = []
        self._may_have_run = False
        self._has_counted_run = False
        self._is_over = False
        self._began_ms: int | None = None
        self._notes: dict[str, Any] = {}
        wait_ms = route.timeout_ms
        if request.patience_ms is not None:
            wait_ms = min(wait_ms, request.patience_ms - RETURN_TRIP_MS)
        self._due_ms = request.arrived_ms + wait_ms
        self._deadline: Timer = context.clock.call_later(
            max(0, self._due_ms - context.clock.now_ms()), self._expire
        )

    def start(self) -> None:
        """Begin to work on the request."""
        self._context.retries(self._service).requested(
            self._context.clock.now_ms()
        )
        running = Deferred.fromCoroutine(self._serve())
        running.addErrback(self._fail)

    def caller_left(self) -> None:
        """End work that nobody waits for, where it may be ended."""
        if self._is_over:
            return
        if self._route.repeat is RepeatRule.once and not self._route.streams:
            # It runs to its end: cutting it would leave its effect unknown.
            self._notes['caller_left'] = True
            return
        self._end('caller-left')
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
    def _has_perhaps_run(self) -> bool:
        """Whether a target may have begun to run the request."""
        attempt = self._attempt
        if attempt is not None and attempt.is_sent and attempt.may_run:
            return True
        return self._may_have_run

    @property
    def _left_ms(self) -> int:
        return self._due_ms - self._context.clock.now_ms()

    def _deliver(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a whole answer of a target."""
        if self._is_over:
            return
        self._first_byte()
        self._exchange.answer(head.status, head.headers, body)
        self._context.answered.add(1)
        self._end('answered', status=head.status)

    def _first_byte(self) -> None:
        if self._began_ms is None:
            now_ms = self._context.clock.now_ms()
            self._began_ms = now_ms
            self._context.first_byte.record(now_ms - self._request.arrived_ms)

    def _count_run(self, true_ms: int) -> None:
        """Bill the request once, where a target began to run it."""
        if not self._has_counted_run:
            self._has_counted_run = True
            self._context.usage.began(self._workspace, true_ms)

    def _refuse(self, reason: Refusal, retry_after_ms: int) -> None:
        """
        Answer that the request has not run and will not.

        :param retry_after_ms: when coming back helps
        """
        if self._is_over:
            return
        if self._has_perhaps_run:
            self._fail_request(HTTP_BAD_GATEWAY, reason)
            return
        bound_ms = max(LEAST_RETURN_MS, round(RETURN_SHARE * self._left_ms))
        back_ms = min(max(LEAST_RETURN_MS, retry_after_ms), bound_ms)
        self._context.metrics.refused(reason)
        self._exchange.answer(
            HTTP_UNAVAILABLE,
            self._context.dialect.own_headers(self._request, back_ms),
        )
        self._end('refused', reason=reason.name, retry_after_ms=back_ms)

    def _fail_request(self, status: int, reason: Refusal) -> None:
        """End a request that may have run, without an answer of its own."""
        if self._is_over:
            return
        self._context.metrics.refused(reason)
        if self._exchange.is_begun:
            self._exchange.abort()
        else:
            self._exchange.answer(
                status, self._context.dialect.own_headers(self._request, None)
            )
        self._end('failed', reason=reason.name, status=status)

    def _expire(self) -> None:
        if self._is_over:
            return
        if self._has_perhaps_run:
            self._fail_request(HTTP_GATEWAY_TIMEOUT, Refusal.timed_out)
        else:
            self._refuse(Refusal.deadline_unreachable, LEAST_RETURN_MS)
        self._stop_attempt()

    def _stop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.stop()

    async def _run(self, attempt: Attempt) -> AttemptEnd:
        """Run an attempt and take note of what it proves."""
        self._attempt = attempt
        self._tried.append(attempt.listing.name)
        end = await attempt.run(self._context.connections)
        if self._attempt is attempt:
            self._attempt = None
        if end.outcome in _RUN_PERHAPS and attempt.may_run and attempt.is_sent:
            self._may_have_run = True
        if end.outcome is not AttemptOutcome.answered:
            self._log_attempt(attempt.listing.name, end)
        return end

    def _may_repeat(self, sends: int) -> bool:
        """Take one repeat, where the route and the shared budget allow it."""
        if sends >= self._route.max_sends:
            return False
        return self._context.retries(self._service).may_repeat(
            self._context.instances, self._context.clock.now_ms()
        )

    def _log_attempt(self, target: str, end: AttemptEnd) -> None:
        logger.bind(
            request=self._request.attempt_id,
            target=target,
            outcome=end.outcome.value,
            status=end.head.status if end.head else None,
            detail=end.detail,
            left_ms=self._left_ms,
        ).info('attempt ended')

    def _end(self, outcome: str, **notes: Any) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._deadline.active():
            self._deadline.cancel()
        now_ms = self._context.clock.now_ms()
        began_ms = self._began_ms
        deployment = self._context.deployment
        logger.bind(
            request=self._request.attempt_id,
            workspace=self._workspace,
            route=self._route.name,
            service=self._service,
            outcome=outcome,
            targets=self._tried,
            version=deployment.version if deployment else None,
            first_ms=began_ms and began_ms - self._request.arrived_ms,
            took_ms=now_ms - self._request.arrived_ms,
            **self._notes,
            **notes,
        ).info('request ended')

    def _fail(self, failure: Any) -> None:
        logger.bind(request=self._request.attempt_id).error(
            'request failed by a defect: {0}', failure.getTraceback()
        )
        self._stop_attempt()
        self._fail_request(HTTP_BAD_GATEWAY, Refusal.internal_error)
