"""The reply to one request: an answer, a refusal or a failure."""

from collections.abc import Callable
from typing import Any

from cicadahoist.log import get_logger
from cicadahoist.policy.caller_admission.promise_status import may_pass_on
from cicadahoist.reasons import Refusal
from cicadahoist.requests import (
    AnswerHead,
    InboundRequest,
    may_have_body,
)
from cicadahoist.rules import RouteRule
from cicadahoist.serving.answers.endings import AnswerEnding
from cicadahoist.serving.attempt import AttemptEnd
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.inbound import Exchange

logger = get_logger(__name__)

HTTP_TOO_MANY_REQUESTS = 429
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
# Retry-After is at most a third of the time until the caller's deadline.
MAX_RETRY_AFTER_SHARE = 0.33
MIN_RETRY_AFTER_MS = 30


class Reply:
    """
    Ends one request, once, towards its caller, the log and the metrics.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: the route of the request
    :param exchange: writes the answer
    :param deadline: when the request ends, cancelled by its end
    """

    __slots__ = (
        '_context',
        '_deadline',
        '_exchange',
        '_first_byte_ms',
        '_request',
        '_route',
        'is_over',
        'log_fields',
        'on_end',
        'on_over',
    )

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        route: RouteRule,
        exchange: Exchange,
        deadline: Deadline,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._exchange = exchange
        self._deadline = deadline
        self._first_byte_ms: int | None = None
        self.is_over = False
        # Grounds of the decisions on the request, for its last log line.
        self.log_fields: dict[str, Any] = {}
        # Called at the end of the request, for its quota and its memory.
        self.on_end: Callable[[], None] = _ignore
        self.on_over: Callable[[], None] = _ignore

    @property
    def is_begun(self) -> bool:
        """Whether the head of an answer was sent to the caller."""
        return self._exchange.is_begun

    @property
    def is_awaited(self) -> bool:
        """Whether the caller still waits for the end of the answer."""
        return self._exchange.is_awaited

    def deliver(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a complete answer of a target that may have run it."""
        if self.is_over:
            return
        if not may_pass_on(head.status):
            self.log_fields['target_status'] = head.status
            self.fail(HTTP_BAD_GATEWAY, Refusal.target_failed)
            return
        self._record_bytes(len(body))
        self._record_first_byte()
        self._exchange.answer(
            head.status,
            head.headers,
            body,
            has_body=may_have_body(self._request.method, head.status),
        )
        self._context.meters.count_answer()
        self.end('answered', status=head.status)

    def begin(self, head: AnswerHead) -> None:
        """Pass on the head of a streamed answer."""
        if not self.is_over and not self._exchange.is_begun:
            self._record_first_byte()
            self._exchange.begin(head.status, head.headers)

    def send(self, piece: bytes) -> None:
        """Pass on a piece of a streamed answer."""
        if not self.is_over:
            self._record_bytes(len(piece))
            self._exchange.send(piece)

    def finish(self, status: int) -> None:
        """End a streamed answer that is complete."""
        if not self.is_over:
            self._exchange.finish()
            self._context.meters.count_answer()
            self.end('answered', status=status)

    def refuse(self, reason: Refusal, retry_after_ms: int) -> None:
        """
        Answer that the request has not run and will not run.

        :param reason: reason for the log and the metrics
        :param retry_after_ms: time after which a retry can succeed
        """
        if self.is_over:
            return
        status = HTTP_UNAVAILABLE
        delay_ms = max(MIN_RETRY_AFTER_MS, retry_after_ms)
        if reason is Refusal.quota_exceeded:
            # An earlier return would be refused again.
            status = HTTP_TOO_MANY_REQUESTS
        else:
            limit_ms = max(
                MIN_RETRY_AFTER_MS,
                round(MAX_RETRY_AFTER_SHARE * self._deadline.remaining_ms),
            )
            delay_ms = min(delay_ms, limit_ms)
        self._context.meters.count_refusal(reason)
        self._exchange.answer(
            status,
            self._context.dialect.own_headers(self._request, delay_ms),
        )
        self.end('refused', reason=reason.name, retry_after_ms=delay_ms)

    def fail(self, status: int, reason: Refusal) -> None:
        """End a request that may have run, without stating that it did not."""
        if self.is_over:
            return
        self._context.meters.count_refusal(reason)
        is_cut = self.is_begun
        # Ends first: a connection that is aborted reports a caller that left.
        self.end('failed', is_cut=is_cut, reason=reason.name, status=status)
        if is_cut:
            self._exchange.abort()
        else:
            self._exchange.answer(
                status, self._context.dialect.own_headers(self._request, None)
            )

    def record_send(self, chosen_ms: int, version: str) -> None:
        """
        Add the times of a send, and its target's version, to the last log line.

        :param chosen_ms: when the target was chosen; the request then waited
            for a connection
        :param version: version of the software of the target
        """
        now_ms = self._context.clock.now_ms()
        sent_ms = self.log_fields.setdefault('sent_ms', [])
        sent_ms.append(now_ms - self._request.arrived_ms)
        opening_ms = self.log_fields.setdefault('opening_ms', [])
        opening_ms.append(now_ms - chosen_ms)
        versions = self.log_fields.setdefault('target_versions', [])
        versions.append(version)

    def record_ending(self, ending: AnswerEnding) -> None:
        """Add how an answer of a target ended to the last log line."""
        endings = self.log_fields.setdefault('endings', [])
        endings.append(ending.value)
        if ending is AnswerEnding.closed:
            self._context.meters.count_ended_by_close()

    def log_attempt(self, target: str, end: AttemptEnd) -> None:
        """Log the end of an attempt without an answer, and its silence."""
        logger.bind(
            request=self._request.attempt_id,
            target=target,
            outcome=end.outcome.value,
            status=end.head.status if end.head else None,
            detail=end.detail,
            silent_ms=end.silent_ms,
            is_reused=end.is_reused,
            skipped=end.skipped_count,
            unsent_bytes=end.unsent_bytes,
            left_ms=self._deadline.remaining_ms,
        ).info('attempt ended')

    def end(
        self, outcome: str, *, is_cut: bool = False, **extra_fields: Any
    ) -> None:
        """
        Record the end of the request and cancel its deadline.

        :param outcome: how it ended, for the log
        :param is_cut: whether its answer was begun and is not completed
        """
        if self.is_over:
            return
        self.is_over = True
        self._deadline.cancel()
        self.on_end()
        self.on_over()
        self._context.meters.count_end(
            is_cut=is_cut, is_beside_change=self._context.is_beside_change
        )
        arrived_ms = self._request.arrived_ms
        now_ms = self._context.clock.now_ms()
        logger.bind(
            request=self._request.attempt_id,
            route=self._route.name,
            outcome=outcome,
            is_cut=is_cut,
            version=self._context.version,
            config_age_ms=self._context.config_age_ms,
            first_ms=self._first_byte_ms and self._first_byte_ms - arrived_ms,
            took_ms=now_ms - arrived_ms,
            late_ms=max(0, -self._deadline.remaining_ms),
            link_wait_ms=round(self._context.compute_link_wait_ms()),
            waited_ms=self._request.read_ms - arrived_ms,
            caller_waits_ms=self._request.patience_ms,
            **self.log_fields,
            **extra_fields,
        ).info('request ended')

    def _record_bytes(self, count: int) -> None:
        self._context.link.record_sent(count, self._context.clock.now_ms())

    def _record_first_byte(self) -> None:
        if self._first_byte_ms is None:
            self._first_byte_ms = self._context.clock.now_ms()
            self._context.meters.record_first_byte(
                self._first_byte_ms - self._request.arrived_ms
            )


def _ignore() -> None:
    """Do nothing."""
