"""Handling of one request: its deadline, its attempts and its reply."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.log import get_logger
from cicadahoist.reasons import Refusal
from cicadahoist.requests import (
    AnswerMeaning,
    InboundRequest,
    RepeatRule,
    SendOptions,
)
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import (
    UNATTRIBUTABLE,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
)
from cicadahoist.serving.attempt_watch import AttemptWatch
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.crash_watch import CrashWatch
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.inbound import Exchange
from cicadahoist.serving.open_attempts import OpenAttempts
from cicadahoist.serving.quota_charge import QuotaCharge
from cicadahoist.serving.quota_gate import QuotaGate
from cicadahoist.serving.record_wait import RecordWait
from cicadahoist.serving.reply import MIN_RETRY_AFTER_MS, Reply
from cicadahoist.serving.request_slots import RequestSlots
from cicadahoist.serving.retry_allowance import RetryAllowance
from cicadahoist.serving.stream_binding import StreamBinding
from cicadahoist.serving.takeover import Takeover

logger = get_logger(__name__)

HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
# Usual length of the head of a request to a target.
HEAD_BYTES = 600
# Attempts of a request that may fail before a byte is sent.
MAX_CONNECT_FAILURES = 3
# Blames of a quarantined request may have expired after this time.
QUARANTINE_RETRY_AFTER_MS = 10_000
# Targets that are started again take this long at least.
NO_TARGET_RETRY_AFTER_MS = 500
# Another instance may know the version that began the stream.
STREAM_RETRY_AFTER_MS = 100


class Flow:
    """
    Handles one request at this instance until its reply is complete.

    Subclasses choose the targets and send the attempts.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: the route of the request
    :param workspace: the workspace of its key, empty on open routes
    :param exchange: receives the answer
    :param urgency: 0 for the most urgent to 9
    """

    __slots__ = (
        '_allowance',
        '_binding',
        '_context',
        '_crash_watch',
        '_deadline',
        '_excluded_targets',
        '_has_counted_run',
        '_open_attempts',
        '_record_wait',
        '_reply',
        '_request',
        '_route',
        '_service',
        '_slots',
        '_takeover',
        '_tried_targets',
        '_urgency',
        '_workspace',
        'gate',
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
        self._crash_watch = CrashWatch(context, request)
        self._request = request
        self._route = route
        self._service = route.choose_service(
            request.resumed_attempt_id or request.attempt_id
        )
        self._binding = StreamBinding(
            context.streams, request, route, self._service
        )
        self._workspace = workspace
        self._urgency = urgency
        self._deadline = Deadline.from_request(request, route, context.clock)
        self._reply = Reply(context, request, route, exchange, self._deadline)
        self._record_wait = RecordWait(
            context, request, route, self._binding, self._reply, self._deadline
        )
        self._open_attempts = OpenAttempts()
        self._tried_targets: list[str] = []
        # Tried targets, without those that another path leads to.
        self._excluded_targets: set[str] = set()
        self._allowance = RetryAllowance(
            context, route, self._service, self._deadline
        )
        self._slots = RequestSlots(
            context,
            self._service,
            route,
            self._deadline,
            self._is_awaited,
            self._refuse,
        )
        self._takeover = Takeover(
            context,
            self._open_attempts,
            self._allowance,
            self._reply,
            self._try_take_over,
        )
        self.gate = QuotaGate(
            QuotaCharge.from_request(context.quotas, workspace, request),
            self._reply,
            self._open_attempts,
            self._allowance,
            self._is_awaited,
            self._refuse,
        )
        self._has_counted_run = False
        self._reply.log_fields.update(
            workspace=self._workspace,
            service=self._service,
            targets=self._tried_targets,
        )
        self._reply.on_over = partial(
            _release_body, request, self._reply, self._open_attempts
        )
        self._deadline.start(self._expire, context.compute_link_wait_ms)

    def start(self) -> None:
        """Start to handle the request, or refuse it if quarantined."""
        self._context.retries.record_request(
            self._service, self._context.clock.now_ms()
        )
        if self._crash_watch.is_quarantined:
            self._refuse(Refusal.quarantined, QUARANTINE_RETRY_AFTER_MS)
            return
        launch(self._serve(), self.fail_on_defect)

    def caller_left(self) -> None:
        """Stop work whose answer no caller awaits, where that is safe."""
        if self._reply.is_over:
            return
        is_run_once = self._route.repeat is RepeatRule.once
        if is_run_once and not self._route.is_streamed:
            if self._open_attempts.has_sent_run:
                # Cutting it off would leave unknown whether it took effect.
                self._reply.log_fields['caller_left'] = True
                return
        self._reply.end('caller-left')
        self._open_attempts.stop_all()

    def give_up(self) -> None:
        """Refuse the request, or fail it if it may have run."""
        self._refuse(Refusal.leaving, MIN_RETRY_AFTER_MS)
        self._open_attempts.stop_all()

    def pause(self) -> None:
        """Stop reading from the target until `resume` is called."""
        self._open_attempts.pause()

    def resume(self) -> None:
        """Continue to read from the target."""
        self._open_attempts.resume()

    async def _serve(self) -> None:
        """Send attempts until the request is over."""
        raise NotImplementedError

    def _try_take_over(self) -> bool:
        """
        Send the request to another target beside a silent one.

        :return: whether there is a target that can take over, and a retry
        """
        raise NotImplementedError

    def _prepare_send(
        self, attempt: Attempt, chosen_ms: int, options: SendOptions
    ) -> SendOptions | None:
        """
        Return what to send along now, none if the request has ended.

        :param chosen_ms: when the target was chosen; a connection was opened
            since then
        """
        now_ms = self._context.clock.now_ms()
        link_wait_ms = round(self._context.compute_link_wait_ms())
        remaining_ms = self._deadline.remaining_ms - link_wait_ms
        is_too_late = remaining_ms <= 0
        # Another open attempt may still answer in time.
        is_alone = len(self._open_attempts) == 1
        if is_too_late and is_alone and not self._reply.is_over:
            self._expire()
        if not self._is_awaited() or is_too_late:
            return None
        self._reply.record_send(chosen_ms, attempt.listing.version)
        self._takeover.schedule_review(attempt)
        self._context.link.record_sent(
            len(self._request.body) + HEAD_BYTES, now_ms
        )
        return msgspec.structs.replace(options, remaining_ms=remaining_ms)

    def _is_awaited(self) -> bool:
        """Return whether to go on; if not, end the request."""
        if not self._reply.is_over and self._deadline.has_passed:
            self._expire()
        if not self._reply.is_over and not self._reply.is_awaited:
            self.caller_left()
        return not self._reply.is_over

    def _suspend_target(self, target: str) -> None:
        """Exclude a silent target from selection for a while."""
        raise NotImplementedError

    async def _run_attempt(
        self, attempt: Attempt, silence_ms: float
    ) -> AttemptEnd:
        """
        Run an attempt and record what its end shows about the target.

        :param attempt: the attempt, not yet sent
        :param silence_ms: time without a sign of life after which the target
            counts as silent
        :return: the end of the attempt
        """
        if not await self.gate.prepare(attempt):
            return AttemptEnd(AttemptOutcome.stopped)
        name = attempt.listing.name
        self._open_attempts.add(attempt)
        attempt.needs_new_connection = name in self._tried_targets
        self._tried_targets.append(name)
        self._excluded_targets.add(name)
        chosen_ms = self._context.clock.now_ms()
        attempt.prepare_send = partial(self._prepare_send, attempt, chosen_ms)
        attempt.on_head = partial(
            self._context.fleet.notices.receive, attempt.listing
        )
        limits = self._context.get_caller_limits(self._request.arrived_ms)
        attempt.max_body_bytes = limits.body_bytes
        attempt.memory = self._context.memory.open()
        end = await AttemptWatch(self._context).run(
            attempt,
            silence_ms + self._context.link.compute_wait_ms(chosen_ms),
            partial(self._takeover.react_to_silence, attempt),
        )
        self._open_attempts.remove(attempt)
        self.gate.settle(attempt, end)
        if end.is_stranded:
            self._excluded_targets.discard(name)
        elif end.is_silent:
            self._suspend_target(name)
        if attempt.is_sent:
            self._crash_watch.record_end(attempt.listing, end)
        self._allowance.record_end(attempt, end)
        _record_meaning(self._context, name, end)
        if end.outcome is not AttemptOutcome.answered:
            self._reply.log_attempt(name, end)
        elif end.ending is not None:
            self._reply.record_ending(end.ending)
        _release_body(self._request, self._reply, self._open_attempts)
        return end

    def _refuse(
        self,
        reason: Refusal,
        retry_after_ms: int,
        failure: Refusal | None = None,
    ) -> None:
        """
        Refuse the request as not run; fail it if a target may have run it.

        :param reason: reason for the log and the metrics
        :param retry_after_ms: time after which a retry can succeed
        :param failure: reason of the failure, if it is another one
        """
        if self._open_attempts.has_sent_run or self._allowance.may_have_run:
            is_late = failure is Refusal.timed_out
            self._reply.fail(
                HTTP_GATEWAY_TIMEOUT if is_late else HTTP_BAD_GATEWAY,
                failure or reason,
            )
        else:
            self._reply.refuse(reason, retry_after_ms)

    def _count_run(self, true_ms: int) -> None:
        """
        Count the request for billing, once, when a target begins to run it.

        :param true_ms: true time at which the run began
        """
        if not self._has_counted_run:
            self._has_counted_run = True
            self._context.usage.count_start(self._workspace, true_ms)

    def _expire(self) -> None:
        self._refuse(
            Refusal.deadline_unreachable, MIN_RETRY_AFTER_MS, Refusal.timed_out
        )
        self._open_attempts.stop_all()

    def fail_on_defect(self, failure: Any) -> None:
        """Fail the request after an unexpected error."""
        logger.bind(request=self._request.attempt_id).error(
            'request handling raised an unexpected error: {0}',
            failure.getTraceback(),
        )
        self._open_attempts.stop_all()
        self._slots.end_all()
        self._reply.fail(HTTP_BAD_GATEWAY, Refusal.internal_error)


def launch(
    serving: Coroutine[Any, Any, None], on_defect: Callable[[Any], None]
) -> None:
    """
    Start a coroutine.

    :param on_defect: called with the failure if it raises an error
    """
    Deferred.fromCoroutine(serving).addErrback(on_defect)


def _release_body(
    request: InboundRequest, reply: Reply, open_attempts: OpenAttempts
) -> None:
    """Drop the body of a request once no attempt can need it."""
    if reply.is_over and not open_attempts:
        request.release_body()


def explain_no_target(
    pause_ms: int | None, *, is_unrecorded: bool = False
) -> tuple[Refusal, int]:
    """
    Return why no target was found, and when callers may come back.

    :param pause_ms: time until the first target ends its pause, none unless all
        of them pause
    :param is_unrecorded: whether there are targets of a software version that
        is not recorded yet
    """
    if is_unrecorded:
        return Refusal.version_unrecorded, STREAM_RETRY_AFTER_MS
    if pause_ms is None:
        return Refusal.no_target, NO_TARGET_RETRY_AFTER_MS
    return Refusal.targets_paused, pause_ms


def _record_meaning(
    context: ServingContext, target: str, end: AttemptEnd
) -> None:
    """Record what the head of an answer says about its target."""
    meaning = end.head.meaning if end.head else None
    if meaning is AnswerMeaning.not_run:
        context.meters.balance.count_rejection(target)
    elif meaning is AnswerMeaning.misplaced:
        context.fleet.exclude(target)
    context.meters.record_attribution(
        end.skipped_count, is_given_up=end.detail in UNATTRIBUTABLE
    )
