"""The attempts of one request: admission, targets, retries, load counts."""

from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.entry.target_choice import TargetChoice
from cicadahoist.ids import new_nonce
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.handoff import ANY_ROLE
from cicadahoist.policy.tickets import Ticket
from cicadahoist.reasons import Retry

TARGET_RECHECK_MS = 250

# After these, the target has not started the request.
_NOT_RUN_RETRIES = frozenset((Retry.connect_failed,))
_CRASH_RETRIES = frozenset((Retry.stream_broken, Retry.target_frozen))


class Attempts:
    """
    Takes one request through admission and its attempts.

    :param context: shared objects of the entry
    :param request: the open request
    :param cost: estimated cost
    :param blocks: hashes of the prompt's blocks, for prefix affinity
    """

    __slots__ = (
        '_choice',
        '_context',
        '_is_admitted',
        '_request',
        '_ticket',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        cost: Cost,
        blocks: tuple[int, ...] = (),
    ) -> None:
        self._context = context
        self._request = request
        self._choice = TargetChoice(context, request, cost, blocks)
        self._is_admitted = False
        self._ticket = Ticket.from_rule(
            request.billing_id,
            request.grant.route.pool,
            request.grant.rule,
            cost,
            context.clock.now_ms(),
        )

    @property
    def is_over(self) -> bool:
        """Whether no further attempt is wanted."""
        return self._request.is_over

    @property
    def cost(self) -> Cost:
        """Estimated cost of the next attempt."""
        return self._choice.cost

    async def admit(self) -> None:
        """
        Wait until the request is admitted.

        :raises RequestRefusedError: admission refuses the request
        """
        self._is_admitted = await self._context.dispatcher.admit(
            self._ticket, self._request.set_canceller
        )
        self._context.dispatcher.budgets.record_first_attempt(
            self._request.grant.route, self._context.clock.now_ms()
        )

    def end_request(self, used_tokens: int) -> None:
        """Record the end of the request, if it was admitted."""
        if self._is_admitted:
            self._is_admitted = False
            self._context.dispatcher.record_end(self._ticket, used_tokens)

    def skip_prefill(self) -> None:
        """Leave the prompt out of the estimated cost of further attempts."""
        self._choice.cost = Cost(0, self.cost.decode_tokens)

    def can_begin_attempt(self, roles: frozenset[str]) -> bool:
        """Return whether an engine with one of the roles may run an attempt."""
        return self._choice.has_target(roles)

    async def begin_attempt(
        self, roles: frozenset[str] = ANY_ROLE
    ) -> SentAttempt | None:
        """
        Choose the target of the next attempt and record it as sent.

        :param roles: engine roles that may run the attempt
        :return: the attempt, none if the request ended during the wait
        :raises RequestRefusedError: no target is available
        """
        self._choice.cheap_only = self._ticket.cheap_only
        sent = await self._reserve_target(roles)
        if sent is None:
            return None
        self._request.expire_if_due()
        if self._request.is_over:
            sent.record_end(0, is_failed=False)
            self._context.isolation.release(self._request, is_complete=False)
            return None
        self._record_sent(sent)
        return sent

    def begin_takeover(self) -> SentAttempt | None:
        """
        Begin another attempt beside those that are open on silent targets.

        A suspect body runs on one target at a time.

        :return: the attempt, none if no target can take over or if the route
            or its retry budget allows no further attempt
        """
        self._request.expire_if_due()
        if self._request.is_over or self._context.isolation.is_suspect(
            self._request.digest
        ):
            return None
        if not self._choice.has_target(ANY_ROLE):
            return None
        if self._plan_retry_ms(Retry.target_frozen) is None:
            return None
        self._context.metrics.count_retry(Retry.target_frozen)
        sent = self._choose(ANY_ROLE)
        if sent is not None:
            self._record_sent(sent)
        return sent

    def end_attempt(
        self, sent: SentAttempt, output_tokens: int, retry: Retry | None
    ) -> None:
        """
        Record the end of an attempt and release its target.

        :param retry: why another attempt is needed, none after a complete
            answer
        """
        is_failed = retry is not None and not self._request.is_over
        sent.record_end(output_tokens, is_failed=is_failed)
        if is_failed and retry in _CRASH_RETRIES:
            sent.report_crash(is_silent=retry is Retry.target_frozen)
        if retry in _NOT_RUN_RETRIES:
            self._request.sent_count -= 1
        self._context.isolation.release(
            self._request, is_complete=retry is None
        )
        self._request.end_attempt(sent.target.name)

    def drop_attempt(self, sent: SentAttempt) -> None:
        """Record the end of an attempt that another one has made needless."""
        sent.record_end(0, is_failed=False)
        self._context.isolation.release(self._request, is_complete=False)
        self._request.end_attempt(sent.target.name)

    async def pause_before_retry(self, retry: Retry) -> None:
        """
        Wait for the backoff before the next attempt.

        :raises RequestRefusedError: the route or its retry budget allows no
            further attempt
        """
        self._request.expire_if_due()
        if self._request.is_over:
            return
        delay_ms = self._plan_retry_ms(retry)
        if delay_ms is None:
            raise self._choice.make_failure_refusal()
        self._context.metrics.count_retry(retry)
        await self._request.pause(self._context.clock, delay_ms)

    def _plan_retry_ms(self, retry: Retry) -> int | None:
        """Spend a retry; return the backoff, none if there is no retry."""
        return self._context.dispatcher.budgets.plan_retry_ms(
            self._request.grant.route,
            len(self._choice.tried_targets),
            self._context.clock.now_ms(),
            not_run=retry in _NOT_RUN_RETRIES,
        )

    def _record_sent(self, sent: SentAttempt) -> None:
        self._choice.tried_targets.add(sent.target.name)
        self._request.targets.add(sent.target.name)
        self._request.sent_count += 1

    def _choose(self, roles: frozenset[str]) -> SentAttempt | None:
        attempt_id = new_nonce()
        target = self._choice.choose(roles, attempt_id)
        if target is None:
            return None
        return SentAttempt(self._context, attempt_id, target)

    async def _reserve_target(
        self, roles: frozenset[str]
    ) -> SentAttempt | None:
        """Wait for a target on which the request may start, and return it."""
        while not self._request.is_over:
            sent = self._choose(roles)
            if sent is None:
                await self._request.pause(
                    self._context.clock, TARGET_RECHECK_MS
                )
            elif await self._context.isolation.reserve(
                self._request, sent.target.name
            ):
                return sent
            else:
                sent.record_end(0, is_failed=False)
        return None
